// At the first start one of the three controllers loses its disk at once and is back within half a second. Later, when
// that machine no longer counts as lost, another one loses its disk right after a configuration was acknowledged.
#include "site.h"

using namespace review;

int main(int argc, char **argv)
{
    enum { AGENTS = 3, FIRST_LOSS_MS = 100, FIRST_BACK_MS = 400, CATCH_UP_MS = 4000, SECOND_LOSS_MS = 5200, AWAY_MS = 1000,
           RECOVERY_MS = 12000, READ_MS = 15000 };
    Site site(AGENTS, 3, argc > 1 ? argv[1] : "record.txt");
    Machine &first = site.machines.controllers[2];
    int64_t start_ms = now_ms();
    auto wait_until = [&](int64_t ms) {
        while (now_ms() < start_ms + ms)
            sleep_ms(2);
    };
    site.machines.start_all();
    site.fleet.begin();
    if (site.trouble) {
        wait_until(FIRST_LOSS_MS);
        site.machines.kill_hard(first);
        site.machines.empty_disk(first);
        site.say("lost", first.ip + " is killed and loses its disk");
        wait_until(FIRST_BACK_MS);
        site.machines.start(first, false);
        site.say("back", first.ip + " runs again, its disk is empty");
    }
    /* the first configuration is sent until it is taken */
    while (!site.put_configuration())
        if (now_ms() > start_ms + SECOND_LOSS_MS - 500)
            site.give_up("the first configuration was not taken in time");
    std::vector<std::string> jobs;
    Step step;
    step.plan = [](int, int64_t) { return RunPlan{60000, "done"}; };
    for (int i = 0; i < 3; i++) {
        jobs.push_back("100000000000000" + std::to_string(i));
        site.submit_until_taken(1, jobs.back(), {step});
    }
    wait_until(FIRST_BACK_MS + CATCH_UP_MS + 200);
    site.routes[0].target_ms += 50;
    while (!site.put_configuration())
        if (now_ms() > start_ms + SECOND_LOSS_MS + 2000)
            site.give_up("the second configuration was not taken in time");
    wait_until(SECOND_LOSS_MS);
    Machine *second = site.machines.leader();
    if (!second || (site.trouble && second == &first))
        site.give_up("no other controller leads");
    site.machines.kill_hard(*second);
    site.machines.empty_disk(*second);
    site.say("lost", second->ip + " is killed and loses its disk, " + std::to_string(now_ms() - start_ms) +
                         " ms after the first start");
    sleep_ms(AWAY_MS);
    site.machines.start(*second, false);
    site.say("back", second->ip + " runs again, its disk is empty");
    sleep_ms(RECOVERY_MS);
    /* CONFIG: read back, the configuration is older than the newest acknowledged one, or does not come */
    int64_t until_ms = now_ms() + READ_MS;
    bool is_read = false;
    const std::string wanted = "\"revision\":" + std::to_string(site.revision);
    for (size_t node = 0; now_ms() < until_ms && !is_read; node++) {
        const Machine &controller = site.machines.controllers[node % 3];
        Answer answer = call(site.machines.control(controller), "GET", "/sagehitch/configuration", "", {}, 1000);
        is_read = answer.status == 200 && answer.body.find(wanted) != std::string::npos;
        site.say("GET", "configuration at " + controller.ip + ": " + std::to_string(answer.status) + " " +
                            answer.body.substr(0, 40));
        sleep_ms(250);
    }
    int known = 0;
    for (const std::string &id : jobs) {
        bool is_known = false;
        for (size_t node = 0; node < 3 && !is_known; node++)
            is_known = isalpha((unsigned char)site.state(1, id, node)[0]) != 0;
        known += is_known;
    }
    return site.finish(!is_read, std::string("the configuration ") + (is_read ? "was read back" : "did not come") + ", " +
                                     std::to_string(known) + " of " + std::to_string(jobs.size()) +
                                     " accepted jobs are known");
}
