// The cases of this review that are scripts: `cases NAME RECORD` plays one and judges what clients and executors saw.
// Exit 0: the rule held; 1: it was broken; 2: the case could not run. TROUBLE=0 plays it without the disruption.
#include <atomic>

#include "fleet.h"

namespace
{

using namespace review;

enum { HELD = 0, BROKEN = 1, CANNOT_RUN = 2 };
enum { IDLE_MS = 3000 }; // the rule LOST: for 3 s a job has nothing running

std::string route(const std::string &name, const std::string &prefix, const std::string &service)
{
    return "{\"name\":\"" + name + "\",\"host\":\"jobs.example\",\"pathPrefix\":\"" + prefix +
           "\",\"routeType\":\"non_idempotent\",\"timeoutMs\":3000,\"targetLatencyMs\":1000,\"priority\":1,"
           "\"service\":\"" +
           service + "\",\"maxAttempts\":4,\"extension\":2.2}";
}

std::string configuration(int revision, const std::vector<std::string> &routes, const std::vector<std::string> &services)
{
    std::string text = "{\"revision\":" + std::to_string(revision) + ",\"routes\":[";
    for (size_t i = 0; i < routes.size(); i++)
        text += (i ? "," : "") + routes[i];
    text += "],\"services\":[";
    for (size_t i = 0; i < services.size(); i++)
        text += std::string(i ? "," : "") + "{\"name\":\"" + services[i] +
                "\",\"healthCheckPath\":\"/healthcheck\",\"maxConnections\":64,\"protocol\":\"h1\","
                "\"tlsEnabled\":false,\"constraints\":true}";
    return text + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
                  "\"idleTimeoutMs\":15000}}";
}

// A job of one step. more: further members of the step.
std::string job(const std::string &spec, int tasks, int estimate_ms, const std::string &more = "")
{
    return "{\"spec\":\"" + spec + "\",\"stages\":[{\"taskCount\":" + std::to_string(tasks) +
           ",\"vcpus\":1000,\"memoryRequestMb\":256,\"estimatedRuntimeMs\":" + std::to_string(estimate_ms) + more + "}]}";
}

std::string job_id(int number)
{
    char id[20];
    snprintf(id, sizeof id, "5c0e7a21d94b%04x", number);
    return id;
}

// The longest time from from_ms to to_ms for which the job had nothing running.
int64_t longest_idle_ms(Record &record, const std::string &id, int64_t from_ms, int64_t to_ms)
{
    int64_t idle_since_ms = from_ms, longest_ms = 0;
    std::vector<RunSeen> runs = record.runs();
    for (;;) {
        const RunSeen *next = nullptr;
        bool present = false;
        for (const RunSeen &run : runs)
            if (run.job() == id && run.started_ms <= idle_since_ms && (!run.ended_ms || run.ended_ms > idle_since_ms)) {
                present = true;
                idle_since_ms = run.ended_ms ? run.ended_ms : to_ms;
            }
        if (idle_since_ms >= to_ms)
            return longest_ms;
        if (present)
            continue;
        for (const RunSeen &run : runs)
            if (run.job() == id && run.started_ms > idle_since_ms && (!next || run.started_ms < next->started_ms))
                next = &run;
        int64_t until_ms = next && next->started_ms < to_ms ? next->started_ms : to_ms;
        longest_ms = std::max(longest_ms, until_ms - idle_since_ms);
        if (!next || next->started_ms >= to_ms)
            return longest_ms;
        idle_since_ms = next->started_ms;
    }
}

struct Accepted {
    std::string id;
    int64_t at_ms;
};

// When the last run of the job that ended `done` did; now, if none has.
int64_t last_done_ms(Record &record, const std::string &id)
{
    int64_t last_ms = 0;
    for (const RunSeen &run : record.runs())
        if (run.job() == id && run.how == "done")
            last_ms = std::max(last_ms, run.ended_ms);
    return last_ms ? last_ms : now_ms();
}

int64_t starts_of(Record &record, const std::string &id)
{
    int64_t n = 0;
    for (const RunSeen &run : record.runs())
        n += run.job() == id;
    return n;
}

// A job whose only task takes five minutes (TROUBLE=0: 20 s) on an executor that is sound and otherwise idle.
int long_task(Record &record, bool trouble)
{
    enum { WORK_MS = 300000, SHORT_WORK_MS = 20000, WATCHED_MS = 70000 };
    Fleet fleet(record);
    std::vector<Side> sides(6, {"alpha", "a"});
    sides[5].kind = "b";
    if (!fleet.begin(sides) || !fleet.configure(0, configuration(3, {route("r-long", "/long/", "alpha")}, {"alpha"})))
        return CANNOT_RUN;
    sleep_ms(5000); // heartbeats of all executors
    std::string id = job_id(1), path = "/long/" + id;
    int work_ms = trouble ? WORK_MS : SHORT_WORK_MS;
    std::string body = job("work=" + std::to_string(work_ms), 1, work_ms, ",\"requirements\":\"b\"");
    if (fleet.client("POST", path, body).status != 200)
        return CANNOT_RUN;
    int64_t accepted_ms = now_ms();
    std::string state;
    while (now_ms() - accepted_ms < WATCHED_MS && state.find("completed") == std::string::npos) {
        sleep_ms(2000);
        state = fleet.client("GET", path, "").body;
        if (fleet.a_process_ended())
            return BROKEN;
    }
    int64_t idle_ms = longest_idle_ms(record, id, accepted_ms, now_ms()), starts = starts_of(record, id);
    record.note("state %s, %lld starts of its only task, nothing running for up to %lld ms", state.c_str(),
                (long long)starts, (long long)idle_ms);
    return idle_ms >= IDLE_MS ? BROKEN : HELD;
}

// Jobs of a small service, one of which can never be done (TROUBLE=0: all can).
int hopeless_job(Record &record, bool trouble)
{
    enum { JOBS = 40, HOPELESS = 14, EVERY_MS = 400, FINISH_MS = 14000 };
    Fleet fleet(record);
    std::vector<Side> sides(8, {"alpha", "a"});
    sides[6].service = sides[7].service = "beta";
    std::string first =
        configuration(3, {route("r-alpha", "/alpha/", "alpha"), route("r-beta", "/beta/", "beta")}, {"alpha", "beta"});
    if (!fleet.begin(sides) || !fleet.configure(0, first))
        return CANNOT_RUN;
    sleep_ms(5000);
    std::vector<Accepted> handed;
    for (int i = 0; i < JOBS; i++, sleep_ms(EVERY_MS)) {
        bool hopeless = trouble && i == HOPELESS;
        std::string id = job_id(i), body = hopeless ? job("fail=60", 14, 60) : job("work=300", 1, 300);
        if (fleet.client("POST", "/beta/" + id, body).status != 200)
            return CANNOT_RUN;
        if (!hopeless)
            handed.push_back({id, now_ms()});
    }
    sleep_ms(FINISH_MS);
    int64_t longest_ms = 0;
    for (const Accepted &one : handed) {
        int64_t idle_ms = longest_idle_ms(record, one.id, one.at_ms, last_done_ms(record, one.id));
        if (idle_ms >= IDLE_MS)
            record.note("job %s had nothing running for %lld ms", one.id.c_str(), (long long)idle_ms);
        longest_ms = std::max(longest_ms, idle_ms);
    }
    record.note("nothing running for up to %lld ms", (long long)longest_ms);
    if (fleet.a_process_ended())
        return BROKEN;
    return longest_ms >= IDLE_MS ? BROKEN : HELD;
}

// A route is removed and another gets its place; later a route of the first one's name comes at another place
// (TROUBLE=0: it has a name of its own). A job that was accepted at the first place is asked for and cancelled there.
int reused_name(Record &record, bool trouble)
{
    enum { APPLY_MS = 2000, VISIBLE_MS = 3000, CANCEL_MS = 3000, WATCHED_MS = 8000, TASKS = 400 };
    Fleet fleet(record);
    std::vector<Side> sides(4, {"alpha", "a"});
    if (!fleet.begin(sides) || !fleet.configure(0, configuration(3, {route("r-one", "/one/", "alpha")}, {"alpha"})))
        return CANNOT_RUN;
    sleep_ms(5000);
    std::string id = job_id(1), path = "/one/" + id;
    if (fleet.client("POST", path, job("work=4000", TASKS, 4000)).status != 200) // 64 at a time
        return CANNOT_RUN;
    int64_t accepted_ms = now_ms();
    std::string two = route("r-two", "/one/", "alpha"), three = route(trouble ? "r-one" : "r-three", "/three/", "alpha");
    if (!fleet.configure(3, configuration(5, {two}, {"alpha"})))
        return CANNOT_RUN;
    sleep_ms(APPLY_MS);
    Message before = fleet.client("GET", path, "");
    if (!fleet.configure(5, configuration(8, {two, three}, {"alpha"})))
        return CANNOT_RUN;
    sleep_ms(std::max<int64_t>(APPLY_MS, accepted_ms + VISIBLE_MS + 500 - now_ms()));
    Message state = fleet.client("GET", path, ""), cancelled = fleet.client("DELETE", path, "");
    int64_t cancelled_ms = now_ms(), late = 0;
    record.note("state %d before, %d after; cancel %d", before.status, state.status, cancelled.status);
    sleep_ms(WATCHED_MS);
    for (const RunSeen &run : record.runs())
        late += run.job() == id && run.started_ms > cancelled_ms + CANCEL_MS;
    bool acknowledged = cancelled.status / 100 == 2 || cancelled.status == 410;
    record.note("%lld starts later than %d ms after the cancelling was acknowledged", (long long)late, CANCEL_MS);
    if (before.status != 200)
        return CANNOT_RUN;
    return state.status == 410 || (acknowledged && late) ? BROKEN : HELD;
}

// Changes of the configuration, each of which removes its 2800 idle routes and adds as many others, under names that were
// not used before (TROUBLE=0: under the same names). Callers hand in eight small jobs a second meanwhile.
int new_names(Record &record, bool trouble)
{
    enum { ROUTES = 2800, CHANGES = 4, PAUSE_MS = 1500, CHANGES_MS = 40000, HAND_IN_MS = 125 };
    enum { AFTER_MS = 3000, FINISH_MS = 14000, READ_BACK_MS = 10000 };
    Fleet fleet(record);
    std::vector<Side> sides(4, {"alpha", "a"});
    std::string used = route("r-used", "/used/", "alpha");
    if (!fleet.begin(sides) || !fleet.configure(0, configuration(1, {used}, {"alpha"})))
        return CANNOT_RUN;
    sleep_ms(5000);
    std::mutex mutex;
    std::vector<Accepted> accepted;
    std::atomic<bool> handing_in(true);
    int64_t hand_in_end_ms = now_ms() + CHANGES_MS + AFTER_MS;
    std::thread callers([&] {
        std::vector<std::thread> calls;
        for (int i = 0; handing_in; i++, sleep_ms(HAND_IN_MS))
            calls.emplace_back([&, i] {
                if (fleet.client("POST", "/used/" + job_id(i), job("work=200", 2, 200), hand_in_end_ms).status != 200)
                    return;
                std::lock_guard<std::mutex> lock(mutex);
                accepted.push_back({job_id(i), now_ms()});
            });
        for (std::thread &one : calls)
            one.join();
    });
    int64_t version = 1, name = 0, changes_end_ms = now_ms() + CHANGES_MS;
    for (int change = 0; change < CHANGES && now_ms() < changes_end_ms; change++, sleep_ms(PAUSE_MS)) {
        std::vector<std::string> routes = {used};
        for (int i = 0; i < ROUTES; i++) {
            std::string own = std::to_string(trouble ? name++ : i);
            routes.push_back(route("r-idle" + own, "/idle" + own + "/", "alpha"));
        }
        if (!fleet.configure(version, configuration((int)version + 1, routes, {"alpha"}),
                             changes_end_ms - now_ms()))
            break;
        version++;
    }
    record.note("newest version that was acknowledged: %lld", (long long)version);
    sleep_ms(AFTER_MS);
    handing_in = false;
    callers.join();
    // jobs are asked for FINISH_MS
    int64_t end_ms = now_ms() + FINISH_MS;
    std::atomic<size_t> unanswered(0);
    std::vector<std::thread> askers;
    for (const Accepted &one : accepted)
        askers.emplace_back([&, id = one.id] {
            bool answered = false;
            while (!answered && now_ms() < end_ms) {
                Message state = fleet.client("GET", "/used/" + id, "", end_ms);
                answered = state.status == 200 && now_ms() <= end_ms;
            }
            unanswered += !answered;
        });
    for (std::thread &one : askers)
        one.join();
    bool read_back = fleet.read_back(version, READ_BACK_MS);
    int64_t longest_ms = 0, idle_jobs = 0;
    for (const Accepted &one : accepted) {
        int64_t idle_ms = longest_idle_ms(record, one.id, one.at_ms, last_done_ms(record, one.id));
        longest_ms = std::max(longest_ms, idle_ms);
        idle_jobs += idle_ms >= IDLE_MS;
    }
    record.note("%zu jobs accepted, %zu of them without an answer in time, %lld with nothing running for 3 s (longest "
                "%lld ms); configuration read back: %s",
                accepted.size(), (size_t)unanswered, (long long)idle_jobs, (long long)longest_ms,
                read_back ? "yes" : "no");
    if (fleet.a_process_ended())
        return BROKEN;
    return unanswered || idle_jobs || !read_back ? BROKEN : HELD;
}

// A zone may be lost. The only controller with a disk of the zone west is replaced for good by an empty one (TROUBLE=0: it
// stays); long after that, the zone north loses its disks and comes back.
int replaced_in_zone(Record &record, bool trouble)
{
    enum { SETTLE_MS = 12000, REPLACED_MS = 20000, DOWN_MS = 1200, RECOVERY_MS = 12000, READ_BACK_MS = 15000, JOBS = 5 };
    enum { NORTH_1, NORTH_2, EAST_1, EAST_2, WEST, SUCCESSOR = 6 };
    Fleet fleet(record, {{1, "north"}, {2, "north"}, {3, "east"}, {4, "east"}, {5, "west"}}, {1, 3, 5}, 1);
    if (!fleet.begin({}) || !fleet.configure(0, configuration(3, {route("r-one", "/one/", "alpha")}, {"alpha"})))
        return CANNOT_RUN;
    for (int i = 0; i < JOBS; i++)
        if (fleet.client("POST", "/one/" + job_id(i), job("work=200", 1, 200)).status != 200)
            return CANNOT_RUN;
    sleep_ms(SETTLE_MS);
    if (trouble)
        fleet.replace(fleet.edge(WEST), SUCCESSOR);
    sleep_ms(REPLACED_MS);
    if (!fleet.configure(3, configuration(5, {route("r-one", "/one/", "alpha")}, {"alpha"})))
        return CANNOT_RUN;
    for (int i : {NORTH_1, NORTH_2})
        fleet.stop(fleet.edge((size_t)i));
    sleep_ms(DOWN_MS);
    for (int i : {NORTH_1, NORTH_2})
        fleet.start_again(fleet.edge((size_t)i), true);
    sleep_ms(RECOVERY_MS);
    bool read_back = fleet.read_back(5, READ_BACK_MS);
    int answered = 0;
    for (int i = 0; i < JOBS; i++)
        answered += fleet.client("GET", "/one/" + job_id(i), "", now_ms() + 3000).status == 200;
    record.note("configuration read back: %s; %d of %d jobs answered", read_back ? "yes" : "no", answered, JOBS);
    if (fleet.a_process_ended())
        return BROKEN;
    return read_back && answered == JOBS ? HELD : BROKEN;
}

// A zone may be lost. The zone west is lost from 0.05 s after the first start on, for 3.5 s, its disks are kept (TROUBLE=0: it
// is not); long after that, the zone east loses its disks and comes back.
int late_zone(Record &record, bool trouble)
{
    enum { LOST_AT_MS = 50, LOST_FOR_MS = 3500, SETTLE_MS = 25000, DOWN_MS = 1200 };
    enum { RECOVERY_MS = 12000, READ_BACK_MS = 15000, JOBS = 5 };
    enum { EAST_1 = 2, EAST_2, WEST_1, WEST_2 };
    Fleet fleet(record, {{1, "north"}, {2, "north"}, {3, "east"}, {4, "east"}, {5, "west"}, {6, "west"}}, {1, 2, 3}, 1);
    if (!fleet.begin({}))
        return CANNOT_RUN;
    sleep_ms(LOST_AT_MS);
    for (int i : {WEST_1, WEST_2})
        if (trouble)
            fleet.stop(fleet.edge((size_t)i));
    sleep_ms(LOST_FOR_MS);
    for (int i : {WEST_1, WEST_2})
        if (trouble)
            fleet.start_again(fleet.edge((size_t)i), false);
    if (!fleet.configure(0, configuration(3, {route("r-one", "/one/", "alpha")}, {"alpha"})))
        return CANNOT_RUN;
    for (int i = 0; i < JOBS; i++)
        if (fleet.client("POST", "/one/" + job_id(i), job("work=200", 1, 200)).status != 200)
            return CANNOT_RUN;
    sleep_ms(SETTLE_MS);
    if (!fleet.configure(3, configuration(5, {route("r-one", "/one/", "alpha")}, {"alpha"})))
        return CANNOT_RUN;
    for (int i : {EAST_1, EAST_2})
        fleet.stop(fleet.edge((size_t)i));
    sleep_ms(DOWN_MS);
    for (int i : {EAST_1, EAST_2})
        fleet.start_again(fleet.edge((size_t)i), true);
    sleep_ms(RECOVERY_MS);
    bool read_back = fleet.read_back(5, READ_BACK_MS);
    int answered = 0;
    for (int i = 0; i < JOBS; i++)
        answered += fleet.client("GET", "/one/" + job_id(i), "", now_ms() + 3000).status == 200;
    record.note("configuration read back: %s; %d of %d jobs answered", read_back ? "yes" : "no", answered, JOBS);
    if (fleet.a_process_ended())
        return BROKEN;
    return read_back && answered == JOBS ? HELD : BROKEN;
}

} // namespace

int main(int argc, char **argv)
{
    const char *trouble = getenv("TROUBLE");
    bool with_trouble = !trouble || strcmp(trouble, "0");
    std::string name = argc == 3 ? argv[1] : "";
    if (argc != 3)
        return CANNOT_RUN;
    Record record(argv[2]);
    if (!record.open())
        return CANNOT_RUN;
    int outcome = name == "long-task"      ? long_task(record, with_trouble)
                  : name == "hopeless-job" ? hopeless_job(record, with_trouble)
                  : name == "reused-name"  ? reused_name(record, with_trouble)
                  : name == "new-names"    ? new_names(record, with_trouble)
                  : name == "zone"         ? replaced_in_zone(record, with_trouble)
                  : name == "late-zone"    ? late_zone(record, with_trouble)
                                           : CANNOT_RUN;
    record.note("exit %d", outcome);
    fflush(nullptr);
    _exit(outcome); // the stand-ins' threads end with the process
}
