// How the control plane grows: frames, bytes, syncs a second, idle and loaded, for
// one, three and about nine times today's fleet. What grows faster than the fleet
// fails here.
#include <cmath>
#include <cstdio>

#include "fleet.h"

namespace
{

struct Size {
    int nodes, executors;
};
const Size kSizes[] = {{15, 11}, {51, 33}, {147, 100}};

struct Cost {
    double frames, bytes, calls, syncs;
};

Cost cost(Fleet &f, int64_t ms)
{
    int64_t frames = f.s.frames, bytes = f.s.bytes, calls = f.s.n_calls, syncs = 0;
    for (int i = 1; i <= 3; i++)
        syncs -= f.at("keeper" + std::to_string(i))->disk.syncs;
    f.run(ms);
    for (int i = 1; i <= 3; i++)
        syncs += f.at("keeper" + std::to_string(i))->disk.syncs;
    double s = (double)ms / 1000;
    return {(double)(f.s.frames - frames) / s, (double)(f.s.bytes - bytes) / s, (double)(f.s.n_calls - calls) / s,
            (double)syncs / s};
}

TEST(Scale, NothingGrowsFasterThanTheFleet)
{
    std::vector<Cost> idle, loaded;
    for (const Size &size : kSizes) {
        Fleet f(1, size.nodes, size.executors);
        f.planted = true;           // sizes are measured, the day is not closed
        f.s.no_oracle_requests = 1; // only what the fleet itself does is counted
        f.run(70000);
        idle.push_back(cost(f, 5000));
        caller *load = sim_load(&f.s, 510 * size.executors / 11, 6);
        f.run(1000);
        loaded.push_back(cost(f, 4000));
        EXPECT_EQ(f.settle(load), 0);
        EXPECT_EQ(sim_load_state(&f.s, "done"), load->n_jobs);
        EXPECT_EQ(f.breaches(), "");
        const Cost &i = idle.back(), &l = loaded.back();
        printf("%3d processes %3d executors: idle %6.0f frames %8.0f bytes %5.0f calls %4.0f syncs a second; loaded "
               "%6.0f frames %8.0f bytes %5.0f calls %4.0f syncs, %d jobs a minute\n",
               size.nodes + 3, size.executors, i.frames, i.bytes, i.calls, i.syncs, l.frames, l.bytes, l.calls, l.syncs,
               510 * size.executors / 11);
    }
    // The exponent of growth from the middle to the largest: 1 is as the fleet. Below
    // 24 nodes the owners of the 24 shards still grow in number, and with them who is told.
    double grown = std::log(150.0 / 54.0);
    double frames = std::log(idle[2].frames / idle[1].frames) / grown,
           bytes = std::log(idle[2].bytes / idle[1].bytes) / grown;
    double frames2 = std::log(loaded[2].frames / loaded[1].frames) / grown,
           bytes2 = std::log(loaded[2].bytes / loaded[1].bytes) / grown;
    printf("growth: idle frames %.2f bytes %.2f, loaded frames %.2f bytes %.2f\n", frames, bytes, frames2, bytes2);
    EXPECT_LE(frames, 1.25);
    EXPECT_LE(bytes, 1.25);
    EXPECT_LE(frames2, 1.25);
    EXPECT_LE(bytes2, 1.25);
}

} // namespace
