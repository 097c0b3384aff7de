// The history of a simulated season and an oracle that checks it. The oracle is a second, simple implementation: it
// keeps rules as maps by name and replays the committed log and the events of the executors one by one.
#ifndef SAGEHITCH_TESTS_SEASON_JUDGE_H
#define SAGEHITCH_TESTS_SEASON_JUDGE_H
#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "base/error.h"
#include "dispatch/record.h"
}

namespace season
{

using Values = std::map<std::string, int64_t>; // only the rules that are set
inline Values values_of(const rule_values &from)
{
    Values to;
    for (int i = 0; i < rule_values_schema.n; i++)
        if (*rule_at(&from, i) != RULE_UNSET)
            to[rule_values_schema.fields[i].name] = *rule_at(&from, i);
    return to;
}

enum EventKind {
    COMMIT,              // a batch of ops was committed to the log
    JOB_SUBMITTED,       // a caller sends a job for the first time; these versions are known to be in force
    CHANGE_ACKNOWLEDGED, // a change of head office's or an outlet's rules was acknowledged
    JOB_RULES_READ,      // the API returned these rules of a job, or these adjustments of an outlet
    OUTLET_RULES_READ,
    TASK_STARTED,
    TASK_ENDED,
    TASK_LOST // an executor crashed with the task running, or done but not reported
};
struct Event {
    EventKind kind;
    int64_t ms = 0; // time of day
    std::string batch, outlet;
    int64_t job = 0, task = 0, attempt = 0, how = 0, of_head = 0, of_outlet = 0;
    Values values;
};
using History = std::vector<Event>;

class SeasonOracle
{
    struct HeadRules {
        int64_t version = 0;
        std::map<std::string, std::tuple<int64_t, int64_t, int64_t>> rules; // value, least, most
    };
    struct OutletRules {
        int64_t version = 0;
        Values values;
        std::set<std::string> queues;
    };
    struct Job {
        std::string outlet, turn_key;
        int64_t of_head = 0, of_outlet = 0, tasks = 0;
        std::set<int64_t> done;
        std::set<std::pair<int64_t, int64_t>> failed_once; // task, attempt
        Values values;
        bool placed = false, over = false, failed = false;
        std::map<int64_t, int64_t> failures, ends, active, lost; // by task
    };
    HeadRules head;
    std::map<std::string, OutletRules> outlets;
    std::map<int64_t, Job> jobs;
    std::map<std::string, std::vector<int64_t>> jobs_by_turn; // by outlet and queue, in order of acceptance
    std::map<std::string, std::multiset<int64_t>> running;    // by outlet: the job of each running task
    std::map<std::string, std::map<std::pair<int64_t, int64_t>, int64_t>>
        placed; // by outlet: attempt of each placed task
    std::map<int64_t, std::pair<int64_t, int64_t>> submitted;
    std::map<std::string, Values> acknowledged; // by outlet: the adjustments last acknowledged
    int64_t now = 0;

    void report_violation(int64_t job, const std::string &what)
    {
        violations.push_back("job " + std::to_string(job) + ": " + what);
    }
    static int64_t get(const Values &v, const std::string &name, int64_t otherwise)
    {
        return v.count(name) ? v.at(name) : otherwise;
    }
    Values in_force(const OutletRules &own) const
    {
        Values to;
        for (auto &[name, rule] : head.rules) {
            auto [value, least, most] = rule;
            int64_t v = get(own.values, name, value);
            to[name] = v < least ? least : v > most ? most : v;
        }
        return to;
    }
    void change(const rules_change &proposed)
    {
        if (!proposed.outlet) {
            if (proposed.base != head.version || proposed.head.version <= head.version)
                return;
            Values value = values_of(proposed.head.value), least = values_of(proposed.head.least),
                   most = values_of(proposed.head.most);
            head = {proposed.head.version, {}};
            for (auto &[name, v] : value)
                head.rules[name] = {v, least[name], most[name]};
            return;
        }
        auto &now = outlets[proposed.outlet];
        Values own = values_of(proposed.to.own);
        bool ok = proposed.base == now.version && proposed.to.version > now.version;
        for (auto &[name, v] : own) {
            bool kept = now.values.count(name) && now.values[name] == v;
            bool may =
                head.rules.count(name) && v >= std::get<1>(head.rules[name]) && v <= std::get<2>(head.rules[name]);
            ok &= kept || may;
        }
        if (ok)
            now = {proposed.to.version, own, {proposed.to.queues, proposed.to.queues + proposed.to.n_queues}};
        else if (!now.version)
            outlets.erase(proposed.outlet);
    }
    void accept(const job_op &op)
    {
        std::string outlet = op.spec.outlet ? op.spec.outlet : "";
        for (auto &[name, own] : outlets)
            if (outlet.empty() && own.queues.count(op.queue))
                outlet = name;
        if (jobs.count(op.spec.id) || outlet.empty() || !outlets.count(outlet))
            return;
        Job job;
        job.outlet = outlet, job.turn_key = outlet + " " + op.queue, job.tasks = job_spec_tasks(&op.spec);
        job.of_head = head.version, job.of_outlet = outlets[outlet].version, job.values = in_force(outlets[outlet]);
        int64_t most = get(job.values, "runningMost", 0);
        for (int64_t s = 0; s < op.spec.n_steps; s++)
            if (op.spec.steps[s].gang && most && op.spec.steps[s].task_count > most)
                return;
        if (submitted.count(op.spec.id) &&
            (job.of_head < submitted[op.spec.id].first || job.of_outlet < submitted[op.spec.id].second))
            report_violation(op.spec.id, "accepted under older rules than were in force when it was sent");
        jobs[op.spec.id] = job;
        jobs_by_turn[job.turn_key].push_back(op.spec.id);
    }
    // Whether all earlier jobs of its outlet and queue have ended (if over is set), or have been placed.
    bool in_turn(int64_t id, const Job &job, bool over)
    {
        for (int64_t other : jobs_by_turn[job.turn_key]) {
            if (other == id)
                return true;
            const Job &o = jobs[other];
            int64_t active = 0;
            for (auto &[task, n] : o.active)
                active += n;
            if (over ? !o.over || active : !o.over && !o.placed)
                return false;
        }
        return true;
    }
    void place(int64_t id, int64_t at_ms)
    {
        Job &job = jobs[id];
        if (job.placed)
            return;
        if (get(job.values, "inTurn", 0) == TURN_BEGUN && !in_turn(id, job, false))
            report_violation(id, "placed before one that was accepted earlier");
        job.placed = true;
        int64_t opens = get(job.values, "opensAtMin", -1), closes = get(job.values, "closesAtMin", -1);
        int64_t minute = at_ms / 60000 % DAY_MIN;
        bool open = opens < closes ? minute >= opens && minute < closes : minute >= opens || minute < closes;
        if (opens >= 0 && closes >= 0 && opens != closes && !open)
            report_violation(id, "begun outside its hours");
    }
    // The tasks of a batch may be counted in any order, so those with the lowest limits are counted first.
    void place_all(const std::vector<run_ref> &runs)
    {
        std::map<std::string, std::vector<std::pair<int64_t, run_ref>>> by_outlet;
        for (const run_ref &run : runs) {
            Job &job = jobs[run.job];
            int64_t most = get(job.values, "runningMost", 0);
            if (!job.over && !placed[job.outlet].count({run.job, run.task}))
                by_outlet[job.outlet].push_back({most ? most : INT64_MAX, run});
        }
        for (auto &[outlet, list] : by_outlet) {
            std::sort(list.begin(), list.end(), [](auto &a, auto &b) { return a.first < b.first; });
            for (auto &[most, run] : list) {
                placed[outlet][{run.job, run.task}] = run.attempt;
                if ((int64_t)placed[outlet].size() > most)
                    report_violation(run.job, "more of its outlet placed than the rules allow");
            }
        }
    }
    void end(const run_ended &event)
    {
        Job &job = jobs[event.job];
        auto &outlet_placed = placed[job.outlet];
        if (outlet_placed.count({event.job, event.task}) && outlet_placed[{event.job, event.task}] == event.attempt)
            outlet_placed.erase({event.job, event.task});
        if (event.how == END_DONE)
            job.done.insert(event.task);
        if (event.how == END_FAILED && job.failed_once.insert({event.task, event.attempt}).second &&
            ++job.failures[event.task] >= get(job.values, "attemptsMax", 4))
            job.over = job.failed = true;
        job.over |= (int64_t)job.done.size() == job.tasks;
    }
    void commit(const Event &event)
    {
        record_batch batch = {};
        std::vector<run_ref> runs;
        if (schema_unpack(&record_batch_schema, &batch, (const uint8_t *)event.batch.data(),
                          (int64_t)event.batch.size()))
            return violations.push_back("a batch that cannot be read");
        for (int64_t i = 0; i < batch.n; i++) {
            const record_op &op = batch.ops[i];
            if (op.kind == OP_RULES)
                change(*record_op_rules(&op));
            else if (op.kind == OP_JOB)
                accept(*record_op_job(&op));
            for (int64_t k = 0; op.kind == OP_PLACE && k < record_op_place(&op)->n_runs; k++) {
                const run_ref &run = record_op_place(&op)->runs[k];
                if (jobs.count(run.job)) {
                    place(run.job, op.at_ms);
                    runs.push_back(run);
                }
            }
            for (int64_t k = 0; op.kind == OP_END && k < record_op_end(&op)->n_ended; k++)
                if (jobs.count(record_op_end(&op)->ended[k].job))
                    end(record_op_end(&op)->ended[k]);
        }
        place_all(runs);
        schema_free(&record_batch_schema, &batch);
    }
    void task_started(const Event &event)
    {
        Job &job = jobs[event.job];
        bool first = job.active.empty() && job.ends.empty();
        if (!job.placed)
            report_violation(event.job, "begun and not placed");
        if (first && get(job.values, "inTurn", 0) == TURN_OVER && !in_turn(event.job, job, true))
            report_violation(event.job, "begun before an earlier one was over");
        if (++job.active[event.task] > 1 || job.ends[event.task] > job.lost[event.task])
            report_violation(event.job, "a task ran twice");
        // Tasks may start in another order than they were placed, so it is enough that one of the running jobs allows
        // as many.
        running[job.outlet].insert(event.job);
        for (int64_t other : running[job.outlet]) {
            int64_t most = get(jobs[other].values, "runningMost", 0);
            if (!most || (int64_t)running[job.outlet].size() <= most)
                return;
        }
        report_violation(event.job, "more of its outlet at work than the rules allow");
    }
    void remove_running(Job &job, const Event &event)
    {
        auto &at = running[job.outlet];
        if (at.count(event.job))
            at.erase(at.find(event.job));
        job.active[event.task]--;
    }
    void task_ended(const Event &event)
    {
        Job &job = jobs[event.job];
        remove_running(job, event);
        if (event.how == END_DONE && ++job.ends[event.task] > 1 + job.lost[event.task])
            report_violation(event.job, "a task was done twice");
    }
    void task_lost(const Event &event)
    {
        Job &job = jobs[event.job];
        if (event.how)
            job.lost[event.task]++; // done, but not reported
        else
            remove_running(job, event);
    }
    void check_job_rules(const Event &event)
    {
        const Job &job = jobs[event.job];
        if (job.of_head != event.of_head || job.of_outlet != event.of_outlet || job.outlet != event.outlet)
            report_violation(event.job, "shown under versions other than it was accepted under");
        if (job.values != event.values)
            report_violation(event.job, "shown under rules other than those in force when it was accepted");
    }
    void check_outlet_rules(const Event &event)
    {
        if (outlets[event.outlet].values != event.values ||
            (acknowledged.count(event.outlet) && acknowledged[event.outlet] != event.values))
            violations.push_back("outlet " + event.outlet + ": adjustments lost");
    }

  public:
    std::vector<std::string> violations;
    int64_t n_over = 0, n_failed = 0, n_turns = 0;

    explicit SeasonOracle(const History &history)
    {
        for (const Event &event : history) {
            now = event.ms;
            switch (event.kind) {
            case COMMIT: commit(event); break;
            case JOB_SUBMITTED: submitted[event.job] = {event.of_head, event.of_outlet}; break;
            case CHANGE_ACKNOWLEDGED:
                if (!event.outlet.empty())
                    acknowledged[event.outlet] = event.values;
                if ((event.outlet.empty() ? head.version : outlets[event.outlet].version) != event.of_head)
                    violations.push_back("a change was acknowledged that is not in force");
                break;
            case JOB_RULES_READ: check_job_rules(event); break;
            case OUTLET_RULES_READ: check_outlet_rules(event); break;
            case TASK_STARTED: task_started(event); break;
            case TASK_ENDED: task_ended(event); break;
            case TASK_LOST: task_lost(event); break;
            }
        }
        for (auto &[id, job] : jobs) {
            if (!job.over)
                report_violation(id, "never came to its end");
            n_over += job.over, n_failed += job.failed, n_turns += get(job.values, "inTurn", 0) != 0;
        }
    }
};

} // namespace season
#endif
