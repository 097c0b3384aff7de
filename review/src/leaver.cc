// An executor that leaves by DELETE alone and serves on leaves some calls unanswered meanwhile: does a task that runs
// there begin on another executor?
#include "stand.hpp"

static int long_runs(const Executor &executor)
{
    int n = 0;
    for (auto &[task, run] : executor.active)
        n += run.work_ms > 1000;
    return n;
}

int main(int argc, char **argv)
{
    trial_begin(argc, argv);
    Site site(3, 3, 5);
    site.start();
    site.configure();
    sleep_ms(1500);
    // long tasks, a third of the room
    for (int i = 0; i < 5; i++)
        if (!site.submit("/pufi791/", site.job_name(),
                         "{\"spec\":\"ms=7000 cpu=4800\",\"stages\":[{\"taskCount\":1,\"vcpus\":4800,"
                         "\"memoryRequestMb\":2000,\"estimatedRuntimeMs\":7000}]}",
                         5000, (size_t)i))
            site.finish(2);
    // and the usual short ones meanwhile, so that there is traffic to the other executors
    std::atomic<bool> traffic{true};
    std::thread client([&] {
        for (size_t i = 0; traffic; i++, sleep_ms(120))
            site.submit("/lohu930/", site.job_name(),
                        "{\"spec\":\"ms=240 cpu=1500\",\"stages\":[{\"taskCount\":6,\"vcpus\":1500,"
                        "\"memoryRequestMb\":500,\"estimatedRuntimeMs\":240}]}",
                        3000, i);
    });
    auto finish = [&](int code) {
        traffic = false;
        client.join();
        site.finish(code);
    };
    sleep_ms(1000);
    // the executor with most runs leaves; it never says draining
    Executor *leaver = nullptr;
    {
        std::lock_guard<std::mutex> lock(world_lock);
        for (auto &executor : site.executors)
            if (long_runs(*executor) && (!leaver || long_runs(*executor) > long_runs(*leaver)))
                leaver = executor.get();
    }
    if (!leaver || leaver->leave() / 100 != 2)
        finish(2);
    int64_t left = now_ms(), quiet_from = left + 300, quiet_to = quiet_from + 1500, window_to = left + 5500;
    int64_t before = 0, after = 0;
    for (auto &executor : site.executors)
        before += executor->calls;
    if (trouble()) {
        std::lock_guard<std::mutex> lock(world_lock);
        leaver->unanswered = [=](const string &) { return now_ms() >= quiet_from && now_ms() < quiet_to ? 2000 : 0; };
    }
    // it serves on for drainMs and a little longer
    sleep_ms(left + bounds.drain + 1500 - now_ms());
    leaver->end("ends, as it said");
    sleep_ms(window_to - now_ms());
    for (auto &executor : site.executors)
        after += executor->calls;
    traffic = false;
    record("calls to executors in the %lld ms since the DELETE: %lld, left unanswered: %lld", (long long)(now_ms() - left),
           (long long)(after - before), (long long)leaver->calls_unanswered);
    sleep_ms(10000);
    int broken = judge_twice();
    record("runs at once: %d", broken);
    finish(broken ? 1 : 0);
}
