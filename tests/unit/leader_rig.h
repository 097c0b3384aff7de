// Dispatch on a leader, with a log that commits on request and executors that the tests control.
#ifndef SAGEHITCH_TESTS_LEADER_RIG_H
#define SAGEHITCH_TESTS_LEADER_RIG_H
#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <tuple>

#include "record_build.h"

extern "C" {
#include "base/events.h"
#include "dispatch/leader.h"
}

namespace leader_rig
{

const int64_t LEASE = 2000, EARLY = 1000;
enum { URGENT, NORMAL, PATIENT };

using Ref = std::tuple<int64_t, int64_t, int64_t>; // job, task, attempt
inline run_ref ref_of(const Ref &ref) { return {std::get<0>(ref), std::get<1>(ref), std::get<2>(ref)}; }

// Orders that were sent to an agent.
struct Orders {
    int64_t agent = 0, at_ms = 0;
    struct agent_orders message = {};
    ~Orders() { schema_free(&agent_orders_schema, &message); }
    bool starts(const Ref &ref) const
    {
        for (int64_t i = 0; i < message.n_starts; i++)
            if (Ref(message.starts[i].job, message.starts[i].task, message.starts[i].attempt) == ref)
                return true;
        return false;
    }
    bool stops(const Ref &ref) const
    {
        for (int64_t i = 0; i < message.n_stops; i++)
            if (Ref(message.stops[i].job, message.stops[i].task, message.stops[i].attempt) == ref)
                return true;
        return false;
    }
};

// An executor and its agent, as its reports describe them. It starts the runs that it is ordered to start unless it is
// deaf, and does nothing else by itself.
struct Executor {
    int64_t agent;
    std::string incarnation;
    int64_t cpu = 1000, epoch = 1, silent_ms = 0, lease_left_ms = 5000, draining = 0, seq = 0, percent = -1;
    int64_t orders_taken = 0;
    bool up = true, deaf = false; // up: it sends reports; deaf: orders do not reach it
    std::set<Ref> active;
    std::vector<std::pair<Ref, std::pair<int64_t, int64_t>>> ended; // seq, how
    std::map<Ref, std::string> checkpoint;
    std::map<Ref, int64_t> refused;
    int64_t end(Ref ref, int64_t how)
    {
        active.erase(ref);
        refused.erase(ref);
        ended.push_back({ref, {how == END_NEVER_RAN ? 0 : ++seq, how}});
        return seq;
    }
};

// A proposed log entry.
struct Batch {
    int64_t tag;
    record_batch batch = {};
    ~Batch() { schema_free(&record_batch_schema, &batch); }
    // Index of the first op of this kind, -1: none.
    int64_t find(int64_t kind) const
    {
        for (int64_t i = 0; i < batch.n; i++)
            if (batch.ops[i].kind == kind)
                return i;
        return -1;
    }
    // How the run ends by the ops of the batch (enum run_end), 0: it does not.
    int64_t end_of(const Ref &ref) const
    {
        for (int64_t i = 0; i < batch.n; i++)
            for (int64_t k = 0; batch.ops[i].kind == OP_END && k < record_op_end(&batch.ops[i])->n_ended; k++) {
                const run_ended &ended = record_op_end(&batch.ops[i])->ended[k];
                if (Ref(ended.job, ended.task, ended.attempt) == ref)
                    return ended.how;
            }
        return 0;
    }
};

struct Answer {
    int64_t error, state;
};

struct Rig : world {
    struct world_calls table = {};
    int64_t now = 1000, wall = 1000000, epoch = 1;
    struct record record = {};
    struct dispatch *dispatch = nullptr;
    bool holds_lease = true, auto_commit = true;
    std::deque<std::unique_ptr<Batch>> log; // proposed, not committed
    std::vector<int64_t> barriers;
    std::map<int64_t, std::vector<Answer>> answers; // by ticket
    std::vector<std::unique_ptr<Orders>> orders;    // sent, the oldest first
    std::deque<Executor> executors;
    int64_t quarantines = 0, ticket = 0;
    std::vector<std::pair<int, std::string>> events; // logged: number and text
    std::function<void(const Batch &)> on_propose = [](const Batch &) {};
    struct dispatch_settings settings = {};

    static Rig *of(void *arg) { return static_cast<Rig *>(arg); }
    static Rig *of(struct world *world) { return static_cast<Rig *>(world); }
    static int64_t mono(struct world *world) { return of(world)->now; }
    static int64_t wall_ms(struct world *world) { return of(world)->wall; }
    static uint64_t random(struct world *) { return 4; }
    static void note(struct world *world, int event, const char *text)
    {
        of(world)->quarantines += event == EV_QUARANTINE;
        of(world)->events.push_back({event, text});
    }
    static void propose(void *arg, const struct bytes *packed, int64_t tag)
    {
        auto batch = std::make_unique<Batch>();
        batch->tag = tag;
        ASSERT_EQ(schema_unpack(&record_batch_schema, &batch->batch, packed->at, packed->len), 0);
        of(arg)->on_propose(*batch);
        of(arg)->log.push_back(std::move(batch));
    }
    static void answer(void *arg, int64_t ticket, const struct api_response *response)
    {
        of(arg)->answers[ticket].push_back(
            {response->error, response->kind == REQUEST_STATE ? api_response_state(response) : 0});
    }
    static void take_orders(void *arg, int64_t agent, const struct agent_orders *message)
    {
        auto copy = std::make_unique<Orders>();
        copy->agent = agent;
        copy->at_ms = of(arg)->now;
        schema_copy(&agent_orders_schema, &copy->message, message);
        for (Executor &e : of(arg)->executors)
            if (e.agent == agent && e.up && !e.deaf)
                e.orders_taken = message->number;
        for (Executor &e : of(arg)->executors)
            for (int64_t i = 0; i < message->n_starts && e.agent == agent && e.up && !e.deaf; i++)
                e.active.insert({message->starts[i].job, message->starts[i].task, message->starts[i].attempt});
        of(arg)->orders.push_back(std::move(copy));
    }
    static int leads_now(void *arg) { return of(arg)->holds_lease; }
    static void barrier(void *arg, int64_t tag) { of(arg)->barriers.push_back(tag); }

    Rig() : world()
    {
        table.mono_ms = mono;
        table.wall_ms = wall_ms;
        table.random = random;
        table.note = note;
        this->calls = &table;
        self = 9;
        record_start(&record);
        record_op op = {};
        config &config = record_op_make_config(&op)->config;
        config = record_build::config_of(1, {{"urgent", 1000}, {"normal", 1000}, {"patient", 1000}}, "raw");
        for (int64_t i = 0; i < 3; i++) {
            config.queues[i].priority = i * 2;
            config.queues[i].target_ms = 1000000;
            config.queues[i].stretch_pct = 150;
        }
        EXPECT_EQ(record_apply(&record, &op), 0);
        schema_free(&record_op_schema, &op);
        begin();
        dispatch_become_leader(dispatch, epoch);
    }
    ~Rig()
    {
        dispatch_free(dispatch);
        record_end(&record);
    }
    void begin()
    {
        settings.lease_ms = LEASE;
        settings.early_ms = EARLY;
        settings.job_retention_ms = 60000;
        settings.remote_data_pct = 150;
        settings.gang_timeout_ms = 3000;
        settings.restore_ms = 600;
        struct dispatch_calls callbacks = {propose, answer, take_orders, leads_now, barrier, static_cast<void *>(this)};
        dispatch = dispatch_new(this, &record, &settings, &callbacks);
    }
    // Replaces the leader by another controller that has the same record and no volatile state.
    void new_leader()
    {
        dispatch_free(dispatch);
        log.clear();
        orders.clear();
        begin();
        dispatch_become_leader(dispatch, ++epoch);
    }

    // --- the log
    void commit_next(bool applied = true)
    {
        ASSERT_FALSE(log.empty());
        auto batch = std::move(log.front());
        log.pop_front();
        record_result result = {};
        for (int64_t i = 0; i < batch->batch.n; i++)
            record_build::more_of(result.errors, result.n) =
                applied ? record_apply(&record, &batch->batch.ops[i]) : ERROR_STALE;
        struct bytes packed = {};
        schema_pack(&record_result_schema, &result, &packed);
        dispatch_committed(dispatch, batch->tag, 0, &packed);
        bytes_free(&packed);
        schema_free(&record_result_schema, &result);
    }
    void drop_next()
    {
        auto batch = std::move(log.front());
        log.pop_front();
        dispatch_committed(dispatch, batch->tag, ERROR_OUTCOME_UNKNOWN, nullptr);
    }
    // Flushes and commits until nothing more is proposed.
    void settle()
    {
        dispatch_flush(dispatch);
        for (int i = 0; i < 50 && !log.empty(); i++) {
            while (!log.empty())
                commit_next();
            dispatch_flush(dispatch);
        }
    }

    // --- time
    void tick()
    {
        dispatch_on_timer(dispatch);
        auto_commit ? settle() : dispatch_flush(dispatch);
    }
    // Runs the event loop every 10 ms; executors that are up report every 100 ms.
    void run(int64_t ms)
    {
        for (int64_t i = 0; i < ms; i += 10) {
            now += 10, wall += 10;
            for (Executor &e : executors)
                if (e.up && now % 100 == 0)
                    report(e);
            tick();
        }
    }

    // --- callers
    static step_spec step(int64_t tasks, int64_t cpu, int64_t estimate_ms = 1000, bool gang = false)
    {
        step_spec spec = {};
        spec.task_count = tasks, spec.cpu_milli = cpu, spec.estimate_ms = estimate_ms, spec.gang = gang;
        return spec;
    }
    int64_t request(int64_t queue, const std::function<void(api_request &)> &fill)
    {
        static const char *const paths[] = {"/urgent/x", "/normal/x", "/patient/x"};
        api_request message = {};
        message.host = (char *)"host.example";
        message.path = (char *)paths[queue];
        fill(message);
        dispatch_request(dispatch, ++ticket, &message);
        return ticket;
    }
    int64_t request_job(int64_t id, int64_t queue, std::vector<step_spec> steps, int64_t start_ms = 0)
    {
        return request(queue, [&](api_request &message) {
            job_spec &spec = *api_request_make_job(&message);
            spec.id = id, spec.text = (char *)"text";
            spec.steps = steps.data(), spec.n_steps = (int64_t)steps.size();
            spec.repeats = start_ms > 0, spec.start_ms = start_ms, spec.interval_ms = start_ms ? 100000 : 0;
        });
    }
    job *add(int64_t id, int64_t queue, const std::vector<step_spec> &steps, int64_t start_ms = 0)
    {
        int64_t request = request_job(id, queue, steps, start_ms);
        settle();
        EXPECT_EQ(answers[request].size(), 1u);
        EXPECT_EQ(answers[request].empty() ? -99 : answers[request][0].error, 0);
        return record_job(&record, id);
    }
    int64_t request_state(int64_t id, int64_t queue = NORMAL)
    {
        return request(queue, [&](api_request &message) { api_request_make_state(&message, id); });
    }

    // --- agents
    Executor &executor(int64_t cpu = 1000)
    {
        executors.push_back({});
        Executor &e = executors.back();
        e.agent = 100 + (int64_t)executors.size();
        e.incarnation = "L" + std::to_string(executors.size());
        e.cpu = cpu;
        e.epoch = epoch;
        report(e);
        return e;
    }
    // age_ms: since the agent sent the report, which newer ones may have overtaken.
    void report(Executor &e, int64_t age_ms = 0)
    {
        struct agent_report message = {};
        message.stamp_ms = now - age_ms, message.boot = 1, message.epoch = e.epoch, message.present = 1,
        message.ready = 1;
        message.orders_taken = e.orders_taken;
        message.executor.incarnation = must_dup(e.incarnation.c_str());
        message.executor.service = must_dup("work");
        message.executor.rack = must_dup("r0");
        message.executor.zone = must_dup("z");
        message.executor.cpu_milli = e.cpu, message.executor.memory_mb = 100000;
        message.executor.draining = e.draining, message.executor.silent_ms = e.silent_ms,
        message.executor.lease_left_ms = e.lease_left_ms;
        for (const Ref &run : e.active)
            record_build::more_of(message.active, message.n_active) = {std::get<0>(run), std::get<1>(run),
                                                                       std::get<2>(run), e.percent, nullptr};
        for (const auto &end : e.ended) {
            run_ref ref = ref_of(end.first);
            char *text = e.checkpoint.count(end.first) ? must_dup(e.checkpoint[end.first].c_str()) : nullptr;
            record_build::more_of(message.ended, message.n_ended) = {end.second.first, ref.job,           ref.task,
                                                                     ref.attempt,      end.second.second, text};
        }
        for (const auto &refusal : e.refused) {
            run_ref ref = ref_of(refusal.first);
            record_build::more_of(message.refused, message.n_refused) = {ref.job, ref.task, ref.attempt,
                                                                         refusal.second};
        }
        dispatch_report(dispatch, e.agent, &message);
        schema_free(&agent_report_schema, &message);
    }
    // The executor on which the row is placed in the record, NULL: it is not placed.
    Executor *executor_of(const job *j, int64_t row_index = 0)
    {
        for (Executor &e : executors)
            if (j->rows && j->rows[row_index].state == ROW_PLACED &&
                e.incarnation == record.incarnations[j->rows[row_index].incarnation].name)
                return &e;
        return nullptr;
    }
    // How many of the orders from index mark on start, or stop, this run.
    int64_t starts(const Ref &run, size_t mark = 0) const
    {
        int64_t n = 0;
        for (size_t i = mark; i < orders.size(); i++)
            n += orders[i]->starts(run);
        return n;
    }
    int64_t stops(const Ref &run, size_t mark = 0) const
    {
        int64_t n = 0;
        for (size_t i = mark; i < orders.size(); i++)
            n += orders[i]->stops(run);
        return n;
    }
    // The seq up to which the newest orders acknowledge ends, -1: no orders were sent.
    int64_t newest_seen(const Executor &e) const
    {
        int64_t seen = -1;
        for (const auto &o : orders)
            if (o->agent == e.agent)
                seen = o->message.seen;
        return seen;
    }
};

} // namespace leader_rig
#endif
