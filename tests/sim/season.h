// Simulation of the rules of head office and outlets in virtual time: three nodes with a record and a dispatcher each
// over one replicated log, and executors with their agents. The load is in season_driver.h, the checks in
// season_oracle.h.
#ifndef SAGEHITCH_TESTS_SEASON_H
#define SAGEHITCH_TESTS_SEASON_H
#include <deque>
#include <functional>
#include <memory>
#include <random>

extern "C" {
#include "dispatch/leader.h"
#include "rules/rules_view.h"
}
#include "season_oracle.h"

namespace season
{

const int64_t TIMER_MS = 50, REPORT_EVERY_MS = 200, MONO_BASE = 100000;

struct Season;
struct Node : world {
    Season *season;
    record r = {};
    struct dispatch *d = nullptr;
    size_t applied = 0; // batches of the log that this node has applied
};

// An executor and its agent. Messages are never lost, but the executor may crash.
struct SimulatedExecutor {
    struct Run {
        int64_t attempt, ends_ms, how;
    };
    int64_t no, incarnations = 0, epoch = 0, seq = 0, down_until_ms = 0, next_ms = 0;
    std::string incarnation;
    std::vector<std::string> lost;
    std::map<std::pair<int64_t, int64_t>, Run> runs; // key: job, task
    std::map<std::pair<int64_t, int64_t>, int64_t> stopped_attempts;
    std::vector<run_ended> ended;
};

// A request that is resent until a leader responds.
struct Request {
    api_request request = {};
    int64_t ticket = 0;
    std::function<void(const api_response &)> done;
    ~Request() { schema_free(&api_request_schema, &request); }
};

struct Season {
    std::mt19937 random;
    int64_t now_ms = 0, wall_base = INT64_C(1800000000000) / 86400000 * 86400000;
    world_calls table = {};
    std::vector<std::unique_ptr<Node>> nodes;
    Node *leader = nullptr;
    int64_t epoch = 0, next_ticket = 1;
    std::vector<std::string> log;
    struct Proposal {
        std::string batch;
        int64_t tag, commit_ms;
    };
    std::deque<Proposal> proposals;
    std::vector<SimulatedExecutor> executors;
    std::vector<std::unique_ptr<Request>> requests;
    History history;
    int64_t fail_pct = 8;

    int64_t random_below(int64_t n) { return (int64_t)(random() % (uint64_t)n); }
    int64_t wall() const { return wall_base + now_ms; }
    Event &note(EventKind kind)
    {
        history.emplace_back();
        history.back().kind = kind, history.back().ms = wall();
        return history.back();
    }

    explicit Season(unsigned seed, int64_t n_executors = 6) : random(seed)
    {
        table.mono_ms = [](struct world *w) { return MONO_BASE + static_cast<Node *>(w)->season->now_ms; };
        table.wall_ms = [](struct world *w) { return static_cast<Node *>(w)->season->wall(); };
        table.random = [](struct world *) -> uint64_t { return 4; };
        table.note = [](struct world *, int, const char *) {};
        for (int i = 0; i < 3; i++) {
            nodes.push_back(std::make_unique<Node>());
            Node *n = nodes.back().get();
            n->calls = &table, n->self = (uint64_t)i + 1, n->season = this;
            record_start(&n->r);
            dispatch_settings settings = {};
            settings.lease_ms = 3000, settings.gang_timeout_ms = 5000, settings.restore_ms = 600;
            settings.early_ms = 100, settings.job_retention_ms = 4 * 3600000, settings.remote_data_pct = 150;
            dispatch_calls calls = {};
            calls.propose = propose, calls.answer = answer, calls.orders = orders, calls.arg = n;
            calls.holds_lease = [](void *) { return 1; };
            calls.barrier = [](void *, int64_t) {};
            n->d = dispatch_new(n, &n->r, &settings, &calls);
        }
        for (int64_t i = 0; i < n_executors; i++) {
            executors.push_back({});
            executors.back().no = i;
            new_incarnation(executors.back());
        }
        elect(0);
    }
    ~Season()
    {
        requests.clear();
        for (auto &n : nodes) {
            n->season = this;
            dispatch_free(n->d);
            record_end(&n->r);
        }
    }

    // --- the replicated log -----------------------------------------------------
    static void propose(void *arg, const struct bytes *batch, int64_t tag)
    {
        Season *s = static_cast<Node *>(arg)->season;
        s->proposals.push_back(
            {std::string((const char *)batch->at, (size_t)batch->len), tag,
             s->now_ms + 20 + s->random_below(150)}); // long enough that planning rounds overlap with pending ops
    }
    void apply(Node *n, const std::string &batch, record_result *result)
    {
        record_batch ops = {};
        ASSERT_EQ(schema_unpack(&record_batch_schema, &ops, (const uint8_t *)batch.data(), (int64_t)batch.size()), 0);
        for (int64_t i = 0; i < ops.n; i++) {
            int64_t rc = record_apply(&n->r, &ops.ops[i]);
            if (result)
                result->errors[result->n++] = rc;
        }
        schema_free(&record_batch_schema, &ops);
        n->applied++;
    }
    void catch_up(Node *n)
    {
        while (n->applied < log.size())
            apply(n, log[n->applied], nullptr);
    }
    void append_log(const std::string &batch)
    {
        log.push_back(batch);
        note(COMMIT).batch = batch;
    }
    void commit()
    {
        while (!proposals.empty() && proposals.front().commit_ms <= now_ms) {
            Proposal p = proposals.front();
            proposals.pop_front();
            append_log(p.batch);
            std::vector<int64_t> errors(4096);
            record_result result = {errors.data(), 0};
            apply(leader, p.batch, &result);
            struct bytes packed = {};
            schema_pack(&record_result_schema, &result, &packed);
            dispatch_committed(leader->d, p.tag, 0, &packed);
            bytes_free(&packed);
        }
    }
    void elect(size_t no)
    {
        if (leader) {
            while (!proposals.empty() && random_below(2)) { // committed, but the old leader did not learn of it
                append_log(proposals.front().batch);
                proposals.pop_front();
            }
            proposals.clear();
            dispatch_become_follower(leader->d);
        }
        leader = nodes[no].get();
        catch_up(leader);
        dispatch_become_leader(leader->d, ++epoch);
    }
    // A node restarts from its snapshot, or with an empty disk from the whole log.
    void restart(size_t no)
    {
        Node *n = nodes[no].get();
        if (n == leader)
            return;
        struct bytes snapshot = {};
        record_snapshot(&n->r, &snapshot);
        record_end(&n->r);
        record_start(&n->r);
        if (random_below(2))
            EXPECT_EQ(record_restore(&n->r, &snapshot), 0);
        else
            n->applied = 0;
        bytes_free(&snapshot);
    }

    // --- executors ------------------------------------------------------------
    void new_incarnation(SimulatedExecutor &e)
    {
        e.incarnation = "life-" + std::to_string(e.no) + "-" + std::to_string(++e.incarnations);
    }
    void crash(SimulatedExecutor &e)
    {
        for (auto &[at, run] : e.runs)
            lost(at.first, at.second, 0);
        for (run_ended &end : e.ended)
            if (end.how == END_DONE)
                lost(end.job, end.task, 1);
        e.runs.clear(), e.ended.clear(), e.stopped_attempts.clear();
        e.lost.push_back(e.incarnation);
        e.down_until_ms = now_ms + 1000 + random_below(4000);
        new_incarnation(e);
    }
    void lost(int64_t job, int64_t task, int64_t done)
    {
        Event &event = note(TASK_LOST);
        event.job = job, event.task = task, event.how = done;
    }
    static void orders(void *arg, int64_t agent, const agent_orders *o)
    {
        Node *n = static_cast<Node *>(arg);
        n->season->on_orders(n->season->executors[(size_t)agent - 100], *o);
    }
    void on_orders(SimulatedExecutor &e, const agent_orders &o)
    {
        if (o.epoch < e.epoch)
            return;
        e.epoch = o.epoch;
        for (int64_t i = 0; i < o.n_incarnations_seen; i++)
            e.lost.erase(std::remove(e.lost.begin(), e.lost.end(), o.incarnations_seen[i]), e.lost.end());
        if (!o.incarnation || e.incarnation != o.incarnation || now_ms < e.down_until_ms)
            return;
        auto acknowledged = [&](const run_ended &end) { return end.seq && end.seq <= o.seen; };
        e.ended.erase(std::remove_if(e.ended.begin(), e.ended.end(), acknowledged), e.ended.end());
        for (int64_t i = 0; i < o.n_ends_seen; i++) {
            auto absent = [&](const run_ended &end) {
                return !end.seq && end.job == o.ends_seen[i].job && end.task == o.ends_seen[i].task;
            };
            e.ended.erase(std::remove_if(e.ended.begin(), e.ended.end(), absent), e.ended.end());
        }
        for (int64_t i = 0; i < o.n_stops; i++)
            stop(e, o.stops[i]);
        for (int64_t i = 0; i < o.n_starts; i++)
            start(e, o.starts[i]);
    }
    void stop(SimulatedExecutor &e, const run_ref &ref)
    {
        auto at = std::make_pair(ref.job, ref.task);
        e.stopped_attempts[at] = std::max(e.stopped_attempts[at], ref.attempt);
        auto run = e.runs.find(at);
        for (const run_ended &end : e.ended)
            if (end.job == ref.job && end.task == ref.task && end.attempt == ref.attempt)
                return;
        if (run != e.runs.end() && run->second.attempt == ref.attempt)
            finish(e, run, END_STOPPED);
        else
            e.ended.push_back({0, ref.job, ref.task, ref.attempt, END_NEVER_RAN, nullptr});
        e.next_ms = 0;
    }
    void start(SimulatedExecutor &e, const run_start &s)
    {
        auto at = std::make_pair(s.job, s.task);
        for (const run_ended &end : e.ended)
            if (end.job == s.job && end.task == s.task && end.attempt >= s.attempt)
                return;
        if (e.runs.count(at) || (e.stopped_attempts.count(at) && e.stopped_attempts[at] >= s.attempt))
            return;
        int64_t how = random_below(100) < fail_pct ? END_FAILED : END_DONE;
        e.runs[at] = {s.attempt, now_ms + 100 + random_below(1500), how};
        Event &event = note(TASK_STARTED);
        event.job = s.job, event.task = s.task, event.attempt = s.attempt;
        e.next_ms = 0;
    }
    std::map<std::pair<int64_t, int64_t>, SimulatedExecutor::Run>::iterator
    finish(SimulatedExecutor &e, std::map<std::pair<int64_t, int64_t>, SimulatedExecutor::Run>::iterator run,
           int64_t how)
    {
        Event &event = note(TASK_ENDED);
        event.job = run->first.first, event.task = run->first.second, event.how = how;
        e.ended.push_back({++e.seq, run->first.first, run->first.second, run->second.attempt, how, nullptr});
        e.next_ms = 0;
        return e.runs.erase(run);
    }
    void run_and_report(SimulatedExecutor &e)
    {
        for (auto run = e.runs.begin(); run != e.runs.end();)
            run = run->second.ends_ms <= now_ms ? finish(e, run, run->second.how) : std::next(run);
        if (now_ms < e.next_ms)
            return;
        e.next_ms = now_ms + REPORT_EVERY_MS;
        agent_report report = {};
        std::vector<run_active> active;
        std::vector<char *> gone;
        char service[] = "work", zone[] = "z", rack[] = "r";
        for (auto &[at, run] : e.runs)
            active.push_back({at.first, at.second, run.attempt, now_ms / TIMER_MS % 100, nullptr});
        for (std::string &incarnation : e.lost)
            gone.push_back(&incarnation[0]);
        report.stamp_ms = now_ms + 1, report.boot = 1, report.epoch = e.epoch;
        report.present = now_ms >= e.down_until_ms, report.ready = report.present;
        report.executor.incarnation = &e.incarnation[0], report.executor.service = service;
        report.executor.zone = zone, report.executor.rack = rack;
        report.executor.cpu_milli = 8000, report.executor.memory_mb = 8000;
        report.lost_incarnations = gone.data(), report.n_lost_incarnations = (int64_t)gone.size();
        report.active = active.data(), report.n_active = (int64_t)active.size();
        std::vector<run_ended> ended = e.ended;
        report.ended = ended.data(), report.n_ended = (int64_t)ended.size();
        dispatch_report(leader->d, 100 + e.no, &report);
    }

    // --- requests -------------------------------------------------------------
    // Adds a request; the caller fills it in.
    api_request &request(std::function<void(const api_response &)> done)
    {
        requests.push_back(std::make_unique<Request>());
        requests.back()->done = done;
        return requests.back()->request;
    }
    static void answer(void *arg, int64_t ticket, const api_response *a)
    {
        Season *s = static_cast<Node *>(arg)->season;
        for (size_t i = 0; i < s->requests.size(); i++) {
            if (s->requests[i]->ticket != ticket)
                continue;
            if (a->error == ERROR_NOT_LEADER) {
                s->requests[i]->ticket = 0;
                return;
            }
            std::unique_ptr<Request> mine = std::move(s->requests[i]);
            s->requests.erase(s->requests.begin() + (long)i);
            mine->done(*a);
            return;
        }
    }
    void send()
    {
        for (size_t i = 0; i < requests.size(); i++) {
            Request *r = requests[i].get();
            if (r->ticket)
                continue;
            r->ticket = next_ticket++;
            size_t before = requests.size();
            dispatch_request(leader->d, r->ticket, &r->request);
            i -= before > requests.size(); // got its response within dispatch_request()
        }
    }
    void on_timer()
    {
        now_ms += TIMER_MS;
        commit();
        for (SimulatedExecutor &e : executors)
            run_and_report(e);
        send();
        dispatch_on_timer(leader->d);
        dispatch_flush(leader->d);
    }
    bool idle() const
    {
        for (const SimulatedExecutor &e : executors)
            if (!e.runs.empty() || !e.ended.empty())
                return false;
        return proposals.empty() && requests.empty();
    }
};

} // namespace season
#endif
