// A job is handed in at a front that is frozen just then. The client gives up and cancels the job at another front, which
// answers. Does the job run once the first front wakes?
#include "stand.hpp"

int main(int argc, char **argv)
{
    trial_begin(argc, argv);
    Site site(4, 3, 3);
    site.start();
    site.configure();
    sleep_ms(1500);
    const string prefix = "/lohu930/", host = "Host: nony24.example\r\nDeadline-Ms: 1000\r\n";
    const string body = "{\"spec\":\"ms=240 cpu=1500\",\"stages\":[{\"taskCount\":2,\"vcpus\":1500,"
                        "\"memoryRequestMb\":500,\"estimatedRuntimeMs\":240}]}";
    Machine &front = *site.controllers[3]; // no disk: it does not count as a loss
    string job = site.job_name(), control = site.job_name();
    // an open connection to the front, as clients have
    if (!site.submit(prefix, control, body, 3000, 3))
        site.finish(2);
    int64_t frozen = now_ms();
    if (trouble()) {
        front.signal(SIGSTOP);
        record("platform: %s freezes", front.name.c_str());
    }
    int status = call(site.front(3), "POST", prefix + job, host, body, 1000);
    record("client: POST %s%s at %s: %d", prefix.c_str(), job.c_str(), front.name.c_str(), status);
    int cancel = 0;
    for (size_t i = 0; i < 3 && cancel / 100 != 2 && cancel != 410; i++) {
        cancel = call(site.front(i), "DELETE", prefix + job, host, "", 1000);
        record("client: DELETE %s%s at %s: %d", prefix.c_str(), job.c_str(), site.front(i).str().c_str(), cancel);
    }
    int64_t cancelled = now_ms();
    if (cancel / 100 != 2 && cancel != 410)
        site.finish(2);
    if (trouble()) {
        sleep_ms(frozen + 4900 - now_ms());
        front.signal(SIGCONT);
        record("platform: %s wakes", front.name.c_str());
    }
    sleep_ms(6000);
    record("client: GET %s: %s", job.c_str(), site.state(prefix, job).c_str());
    int broken = 0;
    world_lock.lock();
    for (const Interval &run : intervals)
        if (run.task.compare(0, 16, job) == 0 && run.from > cancelled + 3000) { // cancel_ms
            broken++;
            record("UNASKED: task %s starts %lld ms after its job's cancelling was answered", run.task.c_str(),
                   (long long)(run.from - cancelled));
        }
    world_lock.unlock();
    site.finish(broken ? 1 : 0);
}
