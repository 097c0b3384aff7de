// Two tasks that last run on the only executor with the label that they require. An urgent job waits there for a task
// that needs nearly the whole executor. One of the two tasks fails, as it may at any time. It has to run again: three
// quarters of the executor are free.
#include "site.h"

using namespace review;

int main(int argc, char **argv)
{
    enum { EXECUTORS = 11, FAILS_AFTER_MS = 14000, WATCHED_MS = 45000 };
    Site site(EXECUTORS, 3, argc > 1 ? argv[1] : "record.txt");
    Executor &special = *site.fleet.executors.back();
    special.labels[0] = "b";
    site.begin();
    const std::string lasting = "1000000000000001", waiting = "2000000000000002", failing = lasting + ".0.0.0";
    Step lasts;
    lasts.tasks = 2;
    lasts.vcpus = 4000;
    lasts.lasts = true;
    lasts.requirement = "b";
    lasts.estimate_ms = 6000;
    bool trouble = site.trouble;
    lasts.plan = [trouble](int index, int64_t attempt) {
        return trouble && index == 0 && attempt == 1 ? RunPlan{FAILS_AFTER_MS, "failed"} : RunPlan{0, ""};
    };
    site.submit_until_taken(2, lasting, {lasts});
    for (int i = 0; i < 50 && site.running(lasting + ".") < 2; i++)
        sleep_ms(100);
    if (site.running(lasting + ".") < 2)
        site.give_up("the tasks that last did not start");
    sleep_ms(2000);
    Step wide;
    wide.vcpus = 14000;
    wide.requirement = "b";
    wide.estimate_ms = 300;
    wide.plan = [](int, int64_t) { return RunPlan{300, "done"}; };
    site.submit_until_taken(0, waiting, {wide});

    /* LOST: for 3 s, and from 6 s after its last run, the task has no run, although there is room for it twice over and
     * under half of the room of the service is in use. */
    int64_t until_ms = now_ms() + WATCHED_MS, without_ms = 0, free_ms = 0, longest_ms = 0;
    while (now_ms() < until_ms) {
        int64_t now = now_ms(), used = 0, total = 0, places = 0;
        {
            std::lock_guard<std::recursive_mutex> held(site.fleet.lock);
            for (auto &executor : site.fleet.executors) {
                used += executor->used_vcpus();
                total += executor->vcpus;
            }
            places = (special.vcpus - special.used_vcpus()) / lasts.vcpus;
        }
        if (site.running(failing) > 0)
            without_ms = 0;
        else if (!without_ms)
            without_ms = now;
        bool has_room = places >= 2 && used * 2 < total;
        if (!without_ms || !has_room || now - without_ms < 6000)
            free_ms = 0;
        else if (!free_ms)
            free_ms = now;
        if (free_ms)
            longest_ms = std::max(longest_ms, now - free_ms);
        sleep_ms(20);
    }
    site.state(2, lasting);
    site.state(0, waiting);
    return site.finish(longest_ms >= 3000, "from 6 s after its last run, the task had no run for " +
                                               std::to_string(longest_ms) + " ms while there was room for it");
}
