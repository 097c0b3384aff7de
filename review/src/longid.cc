// Executors crash and come back with new ids, which are long. Do jobs that are accepted after that run?
#include "stand.hpp"

int main(int argc, char **argv)
{
    trial_begin(argc, argv);
    Site site(3, 3, 3);
    site.start();
    site.configure();
    sleep_ms(1500);
    const string prefix = "/lohu930/";
    std::vector<string> jobs;
    auto submit = [&](int n) {
        for (int i = 0; i < n; i++, sleep_ms(150)) {
            jobs.push_back(site.job_name());
            if (!site.submit(prefix, jobs.back(),
                             "{\"spec\":\"ms=240 cpu=1500\",\"stages\":[{\"taskCount\":4,\"vcpus\":1500,"
                             "\"memoryRequestMb\":500,\"estimatedRuntimeMs\":240}]}",
                             5000, (size_t)i))
                site.finish(2);
        }
    };
    submit(10);
    // one executor after the other crashes, and returns with a new id after some seconds
    for (size_t i = 0; i < 3 && trouble(); i++) {
        sleep_ms(1000);
        site.executors[i]->end("crashes");
        sleep_ms(3000);
        auto next = std::make_unique<Executor>();
        next->side = site.agents[i].get();
        next->id = text("i-%s.%s.bokning.mellansverige.%08x-0b7e-4c1d-9f60-5e2d8a1b%04x", next->side->zone.c_str(),
                        next->side->name.c_str(), (unsigned)rand(), (unsigned)rand() & 0xffff);
        if (getenv("SHORT_IDS")) // a control: the same crashes, with short ids
            next->id.erase(20);
        next->rack = text("r1-%zu", i + 1);
        next->clock_offset = 1000 + rand() % 100000;
        next->begin();
        std::lock_guard<std::mutex> lock(world_lock);
        site.executors.push_back(std::move(next));
    }
    sleep_ms(4000);
    submit(60);
    sleep_ms(14000); // finish_s
    int lost = 0;
    for (auto &job : jobs) {
        string answer = site.state(prefix, job);
        if (answer.find("completed") == string::npos) {
            lost++;
            record("LOST: accepted job %s: %s", job.c_str(), answer.c_str());
        }
    }
    size_t running = 0;
    world_lock.lock();
    for (auto &executor : site.executors)
        running += executor->active.size();
    world_lock.unlock();
    record("jobs %zu, not completed %d, tasks running %zu", jobs.size(), lost, running);
    site.finish(lost ? 1 : 0);
}
