// Two fronts without a disk, both among the seeds, are killed within the first second of the first start and are back at
// once. Does the system ever take its first configuration, and a job?
#include "stand.hpp"

int main(int argc, char **argv)
{
    trial_begin(argc, argv);
    Site site(7, 1, 3); // the seeds are the first three
    site.controllers[3]->disk = site.controllers[4]->disk = true;
    site.controllers[3]->zone = "hall-vasteras";
    site.controllers[4]->zone = "hall-karlstad";
    site.controllers[1]->zone = site.controllers[2]->zone = "hall-orebro";
    site.start();
    sleep_ms(400 - now_ms());
    if (trouble()) {
        for (size_t i = 1; i < 3; i++) {
            record("platform: %s is killed", site.controllers[i]->name.c_str());
            site.controllers[i]->end(SIGKILL);
        }
        sleep_ms(500);
        for (size_t i = 1; i < 3; i++)
            site.controllers[i]->start(false);
    }
    int status = 0;
    const string body = Site::configuration(3);
    for (size_t i = 0; now_ms() < 60000 && status != 200; i++, sleep_ms(200)) {
        int before = status;
        status = call(site.control(i), "PUT", "/sagehitch/configuration", "If-Match: 0\r\n", body, 1000);
        if (status != before)
            record("operator: the first configuration at %s: %d", site.control(i).str().c_str(), status);
    }
    int ready = 0, ended = 0, served = 0;
    for (auto &machine : site.controllers) {
        ended += machine->ended();
        ready += call({machine->ip, base_port + P_READY}, "GET", "/sagehitch/readiness", "", "", 1000) == 200;
    }
    for (size_t i = 0; i < 7 && !served; i++)
        served = call(site.front(i), "POST", "/lohu930/" + site.job_name(), "Host: nony24.example\r\nDeadline-Ms: 3000\r\n",
                      "{\"spec\":\"ms=240 cpu=1500\",\"stages\":[{\"taskCount\":1,\"vcpus\":1500,\"memoryRequestMb\":500,"
                      "\"estimatedRuntimeMs\":240}]}",
                      3000) == 200;
    record("after %.1f s: configuration %s, fronts ready %d of 7, a job %s, processes ended %d", (double)now_ms() / 1000.,
           status == 200 ? "taken" : "never taken", ready, served ? "accepted" : "refused everywhere", ended);
    if (ended)
        site.finish(2);
    site.finish(status == 200 && served ? 0 : 1);
}
