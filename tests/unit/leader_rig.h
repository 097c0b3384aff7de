// The leader's side of dispatch between a log that commits when told and executors moved by hand.
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
inline run_ref ref_of(const Ref &r) { return {std::get<0>(r), std::get<1>(r), std::get<2>(r)}; }

struct Orders {
    int64_t agent = 0, at_ms = 0;
    struct agent_orders o = {};
    ~Orders() { schema_free(&agent_orders_schema, &o); }
    bool starts(const Ref &r) const
    {
        for (int64_t i = 0; i < o.n_starts; i++)
            if (Ref(o.starts[i].job, o.starts[i].task, o.starts[i].attempt) == r)
                return true;
        return false;
    }
    bool stops(const Ref &r) const
    {
        for (int64_t i = 0; i < o.n_stops; i++)
            if (Ref(o.stops[i].job, o.stops[i].task, o.stops[i].attempt) == r)
                return true;
        return false;
    }
};

// An executor and its agent, as its reports tell of them. It begins what it is told to
// unless deaf, and does nothing else by itself.
struct Executor {
    int64_t agent;
    std::string incarnation;
    int64_t cpu = 1000, epoch = 1, silent_ms = 0, lease_left_ms = 5000, draining = 0, seq = 0, percent = -1;
    int64_t orders_taken = 0;
    bool up = true, deaf = false;
    std::set<Ref> active;
    std::vector<std::pair<Ref, std::pair<int64_t, int64_t>>> ended; // seq, how
    std::map<Ref, std::string> checkpoint;
    std::map<Ref, int64_t> refused;
    int64_t end(Ref r, int64_t how)
    {
        active.erase(r);
        refused.erase(r);
        ended.push_back({r, {how == END_NEVER_RAN ? 0 : ++seq, how}});
        return seq;
    }
};

struct Batch {
    int64_t tag;
    record_batch batch = {};
    ~Batch() { schema_free(&record_batch_schema, &batch); }
    // number of the first op of this kind, -1: none
    int64_t find(int64_t kind) const
    {
        for (int64_t i = 0; i < batch.n; i++)
            if (batch.ops[i].kind == kind)
                return i;
        return -1;
    }
    // how the end of this run stands in it, 0: it does not
    int64_t end_of(const Ref &r) const
    {
        for (int64_t i = 0; i < batch.n; i++)
            for (int64_t k = 0; batch.ops[i].kind == OP_END && k < record_op_end(&batch.ops[i])->n_ended; k++) {
                const run_ended &e = record_op_end(&batch.ops[i])->ended[k];
                if (Ref(e.job, e.task, e.attempt) == r)
                    return e.how;
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
    record r = {};
    struct dispatch *d = nullptr;
    bool holds_lease = true, auto_commit = true;
    std::deque<std::unique_ptr<Batch>> log; // proposed, not committed
    std::vector<int64_t> barriers;
    std::map<int64_t, std::vector<Answer>> answers; // by ticket
    std::vector<std::unique_ptr<Orders>> orders;
    std::deque<Executor> executors;
    int64_t quarantines = 0, ticket = 0;
    std::function<void(const Batch &)> on_propose = [](const Batch &) {};
    struct dispatch_settings settings = {};

    static Rig *of(void *arg) { return static_cast<Rig *>(arg); }
    static Rig *of(struct world *w) { return static_cast<Rig *>(w); }
    static int64_t mono(struct world *w) { return of(w)->now; }
    static int64_t wall_ms(struct world *w) { return of(w)->wall; }
    static uint64_t random(struct world *) { return 4; }
    static void note(struct world *w, int event, const char *) { of(w)->quarantines += event == EV_QUARANTINE; }
    static void propose(void *arg, const struct bytes *packed, int64_t tag)
    {
        auto b = std::make_unique<Batch>();
        b->tag = tag;
        ASSERT_EQ(schema_unpack(&record_batch_schema, &b->batch, packed->at, packed->len), 0);
        of(arg)->on_propose(*b);
        of(arg)->log.push_back(std::move(b));
    }
    static void answer(void *arg, int64_t ticket, const struct api_response *a)
    {
        of(arg)->answers[ticket].push_back({a->error, a->kind == REQUEST_STATE ? api_response_state(a) : 0});
    }
    static void take_orders(void *arg, int64_t agent, const struct agent_orders *o)
    {
        auto copy = std::make_unique<Orders>();
        copy->agent = agent;
        copy->at_ms = of(arg)->now;
        schema_copy(&agent_orders_schema, &copy->o, o);
        for (Executor &e : of(arg)->executors)
            if (e.agent == agent && e.up && !e.deaf)
                e.orders_taken = o->number;
        for (Executor &e : of(arg)->executors)
            for (int64_t i = 0; i < o->n_starts && e.agent == agent && e.up && !e.deaf; i++)
                e.active.insert({o->starts[i].job, o->starts[i].task, o->starts[i].attempt});
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
        record_start(&r);
        record_op op = {};
        config &config = record_op_make_config(&op)->config;
        config = record_build::config_of(1, {{"urgent", 1000}, {"normal", 1000}, {"patient", 1000}}, "raw");
        for (int64_t i = 0; i < 3; i++) {
            config.queues[i].priority = i * 2;
            config.queues[i].target_ms = 1000000;
            config.queues[i].stretch_pct = 150;
        }
        EXPECT_EQ(record_apply(&r, &op), 0);
        schema_free(&record_op_schema, &op);
        begin();
        dispatch_become_leader(d, epoch);
    }
    ~Rig()
    {
        dispatch_free(d);
        record_end(&r);
    }
    void begin()
    {
        settings.lease_ms = LEASE;
        settings.early_ms = EARLY;
        settings.job_retention_ms = 60000;
        settings.remote_data_pct = 150;
        settings.gang_timeout_ms = 3000;
        settings.restore_ms = 600;
        struct dispatch_calls c = {propose, answer, take_orders, leads_now, barrier, static_cast<void *>(this)};
        d = dispatch_new(this, &r, &settings, &c);
    }
    // Another controller leads, which holds the same record and believes nothing.
    void new_leader()
    {
        dispatch_free(d);
        log.clear();
        orders.clear();
        begin();
        dispatch_become_leader(d, ++epoch);
    }

    // --- the log
    void commit_next(bool applied = true)
    {
        ASSERT_FALSE(log.empty());
        auto b = std::move(log.front());
        log.pop_front();
        record_result result = {};
        for (int64_t i = 0; i < b->batch.n; i++)
            record_build::more_of(result.errors, result.n) = applied ? record_apply(&r, &b->batch.ops[i]) : ERROR_STALE;
        struct bytes packed = {};
        schema_pack(&record_result_schema, &result, &packed);
        dispatch_committed(d, b->tag, 0, &packed);
        bytes_free(&packed);
        schema_free(&record_result_schema, &result);
    }
    void drop_next()
    {
        auto b = std::move(log.front());
        log.pop_front();
        dispatch_committed(d, b->tag, ERROR_OUTCOME_UNKNOWN, nullptr);
    }
    // One turn after another until nothing new is proposed.
    void settle()
    {
        dispatch_flush(d);
        for (int i = 0; i < 50 && !log.empty(); i++) {
            while (!log.empty())
                commit_next();
            dispatch_flush(d);
        }
    }

    // --- time
    void turn()
    {
        dispatch_on_timer(d);
        auto_commit ? settle() : dispatch_flush(d);
    }
    // In turns of 10 ms; who is up reports every 100 ms.
    void run(int64_t ms)
    {
        for (int64_t i = 0; i < ms; i += 10) {
            now += 10, wall += 10;
            for (Executor &e : executors)
                if (e.up && now % 100 == 0)
                    report(e);
            turn();
        }
    }

    // --- callers
    static step_spec step(int64_t tasks, int64_t cpu, int64_t estimate_ms = 1000, bool gang = false)
    {
        step_spec s = {};
        s.task_count = tasks, s.cpu_milli = cpu, s.estimate_ms = estimate_ms, s.gang = gang;
        return s;
    }
    int64_t request(int64_t queue, const std::function<void(api_request &)> &fill)
    {
        static const char *const paths[] = {"/urgent/x", "/normal/x", "/patient/x"};
        api_request a = {};
        a.host = (char *)"host.example";
        a.path = (char *)paths[queue];
        fill(a);
        dispatch_request(d, ++ticket, &a);
        return ticket;
    }
    int64_t request_job(int64_t id, int64_t queue, std::vector<step_spec> steps, int64_t start_ms = 0)
    {
        return request(queue, [&](api_request &a) {
            job_spec &spec = *api_request_make_job(&a);
            spec.id = id, spec.text = (char *)"text";
            spec.steps = steps.data(), spec.n_steps = (int64_t)steps.size();
            spec.repeats = start_ms > 0, spec.start_ms = start_ms, spec.interval_ms = start_ms ? 100000 : 0;
        });
    }
    job *add(int64_t id, int64_t queue, const std::vector<step_spec> &steps, int64_t start_ms = 0)
    {
        int64_t t = request_job(id, queue, steps, start_ms);
        settle();
        EXPECT_EQ(answers[t].size(), 1u);
        EXPECT_EQ(answers[t].empty() ? -99 : answers[t][0].error, 0);
        return record_job(&r, id);
    }
    int64_t request_state(int64_t id, int64_t queue = NORMAL)
    {
        return request(queue, [&](api_request &a) { api_request_make_state(&a, id); });
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
    void report(Executor &e)
    {
        struct agent_report to = {};
        to.stamp_ms = now, to.boot = 1, to.epoch = e.epoch, to.present = 1, to.ready = 1;
        to.orders_taken = e.orders_taken;
        to.executor.incarnation = must_dup(e.incarnation.c_str());
        to.executor.service = must_dup("work");
        to.executor.rack = must_dup("r0");
        to.executor.zone = must_dup("z");
        to.executor.cpu_milli = e.cpu, to.executor.memory_mb = 100000;
        to.executor.draining = e.draining, to.executor.silent_ms = e.silent_ms,
        to.executor.lease_left_ms = e.lease_left_ms;
        for (const Ref &a : e.active)
            record_build::more_of(to.active, to.n_active) = {std::get<0>(a), std::get<1>(a), std::get<2>(a), e.percent,
                                                             nullptr};
        for (const auto &end : e.ended) {
            run_ref x = ref_of(end.first);
            char *text = e.checkpoint.count(end.first) ? must_dup(e.checkpoint[end.first].c_str()) : nullptr;
            record_build::more_of(to.ended, to.n_ended) = {end.second.first,  x.job, x.task, x.attempt,
                                                           end.second.second, text};
        }
        for (const auto &f : e.refused) {
            run_ref x = ref_of(f.first);
            record_build::more_of(to.refused, to.n_refused) = {x.job, x.task, x.attempt, f.second};
        }
        dispatch_report(d, e.agent, &to);
        schema_free(&agent_report_schema, &to);
    }
    // The executor that has the row, by the record; NULL: it is not placed.
    Executor *home_of(const job *j, int64_t no = 0)
    {
        for (Executor &e : executors)
            if (j->rows && j->rows[no].state == ROW_PLACED &&
                e.incarnation == r.incarnations[j->rows[no].incarnation].name)
                return &e;
        return nullptr;
    }
    // How often a run was told to start, or to stop, since the mark-th order.
    int64_t starts(const Ref &x, size_t mark = 0) const
    {
        int64_t n = 0;
        for (size_t i = mark; i < orders.size(); i++)
            n += orders[i]->starts(x);
        return n;
    }
    int64_t stops(const Ref &x, size_t mark = 0) const
    {
        int64_t n = 0;
        for (size_t i = mark; i < orders.size(); i++)
            n += orders[i]->stops(x);
        return n;
    }
    int64_t newest_seen(const Executor &e) const
    {
        int64_t seen = -1;
        for (const auto &o : orders)
            if (o->agent == e.agent)
                seen = o->o.seen;
        return seen;
    }
};

} // namespace leader_rig
#endif
