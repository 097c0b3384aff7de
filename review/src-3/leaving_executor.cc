// A job's only task runs on an executor that leaves in order: it says draining, serves on, sends DELETE and ends. The
// ten other executors are empty, so the task has to be started again on one of them.
#include "site.h"

using namespace review;

int main(int argc, char **argv)
{
    enum { EXECUTORS = 11, WATCHED_MS = 20000, SERVES_ON_MS = 500 };
    Site site(EXECUTORS, 3, argc > 1 ? argv[1] : "record.txt");
    site.begin();
    Step step;
    step.vcpus = 4000;
    step.estimate_ms = 100000;
    step.plan = [](int, int64_t) { return RunPlan{100000, "done"}; };
    const std::string id = "1000000000000001";
    site.submit_until_taken(2, id, {step});
    site.say("traffic-ends", "one job accepted");
    sleep_ms(site.machines.bounds.finish_s * 1000);
    Executor *leaver = nullptr;
    {
        std::lock_guard<std::recursive_mutex> held(site.fleet.lock);
        for (auto &executor : site.fleet.executors)
            if (!executor->runs.empty())
                leaver = executor.get();
    }
    if (!leaver)
        site.give_up("the task does not run");
    if (site.trouble)
        leaver->leave(site.machines.bounds.drain_ms + SERVES_ON_MS);
    int64_t until_ms = now_ms() + WATCHED_MS, free_ms = 0, longest_ms = 0;
    while (now_ms() < until_ms) {
        int64_t now = now_ms(), used = 0, total = 0, places = 0;
        {
            std::lock_guard<std::recursive_mutex> held(site.fleet.lock);
            for (auto &executor : site.fleet.executors) {
                if (executor->gone || executor->draining)
                    continue;
                used += executor->used_vcpus();
                total += executor->vcpus;
                places += (executor->vcpus - executor->used_vcpus()) / step.vcpus;
            }
        }
        if (site.running(id + ".") > 0 || places < 2 || used * 2 >= total)
            free_ms = 0;
        else if (!free_ms)
            free_ms = now;
        if (free_ms)
            longest_ms = std::max(longest_ms, now - free_ms);
        sleep_ms(10);
    }
    site.state(2, id);
    return site.finish(longest_ms >= 3000, "from finish_s on, the job had nothing running for " +
                                               std::to_string(longest_ms) + " ms in one stretch while there was room");
}
