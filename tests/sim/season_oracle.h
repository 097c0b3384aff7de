// What happened in a season, in one line of time, and a naive judge of it: it knows rules as
// maps of names, and follows the agreed log and the executors event by event.
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

using Values = std::map<std::string, int64_t>; // only what is said
inline Values values_of(const rule_values &from)
{
    Values to;
    for (int i = 0; i < rule_values_schema.n; i++)
        if (*rule_at(&from, i) != RULE_UNSET)
            to[rule_values_schema.fields[i].name] = *rule_at(&from, i);
    return to;
}

enum Kind {
    COMMIT, // a batch of ops, in the order of the agreed log
    SENT,   // a caller sends a job for the first time, knowing these versions to be in force
    TAKEN,  // a change of rules or of an outlet's own was acknowledged
    JOB_SHOWN,
    OUTLET_SHOWN, // what the door said
    BEGUN,
    ENDED,
    LOST // at an executor; LOST: it went down, with what it did or had done unseen
};
struct Event {
    Kind kind;
    int64_t ms = 0; // time of day
    std::string batch, outlet;
    int64_t job = 0, task = 0, attempt = 0, how = 0, of_head = 0, of_outlet = 0;
    Values values;
};
using History = std::vector<Event>;

class Judge
{
    struct Head {
        int64_t version = 0;
        std::map<std::string, std::tuple<int64_t, int64_t, int64_t>> rules; // value, least, most
    };
    struct Own {
        int64_t version = 0;
        Values values;
        std::set<std::string> queues;
    };
    struct Job {
        std::string outlet, line;
        int64_t of_head = 0, of_outlet = 0, tasks = 0;
        std::set<int64_t> done;
        std::set<std::pair<int64_t, int64_t>> failed_once; // task, attempt
        Values values;
        bool placed = false, over = false, failed = false;
        std::map<int64_t, int64_t> failures, ends, active, lost; // by task
    };
    Head head;
    std::map<std::string, Own> outlets;
    std::map<int64_t, Job> jobs;
    std::map<std::string, std::vector<int64_t>> lines;     // of each outlet and queue, in order of acceptance
    std::map<std::string, std::multiset<int64_t>> running; // by outlet: its jobs, once a task at work
    std::map<std::string, std::map<std::pair<int64_t, int64_t>, int64_t>> placed; // by outlet: attempts
    std::map<int64_t, std::pair<int64_t, int64_t>> sent;
    std::map<std::string, Values> taken; // newest own of an outlet that was acknowledged
    int64_t now = 0;

    void say(int64_t job, const std::string &what) { breaches.push_back("job " + std::to_string(job) + ": " + what); }
    static int64_t get(const Values &v, const std::string &name, int64_t otherwise)
    {
        return v.count(name) ? v.at(name) : otherwise;
    }
    Values in_force(const Own &own) const
    {
        Values to;
        for (auto &[name, rule] : head.rules) {
            auto [value, least, most] = rule;
            int64_t v = get(own.values, name, value);
            to[name] = v < least ? least : v > most ? most : v;
        }
        return to;
    }
    void change(const rules_change &c)
    {
        if (!c.outlet) {
            if (c.base != head.version || c.head.version <= head.version)
                return;
            Values value = values_of(c.head.value), least = values_of(c.head.least), most = values_of(c.head.most);
            head = {c.head.version, {}};
            for (auto &[name, v] : value)
                head.rules[name] = {v, least[name], most[name]};
            return;
        }
        auto &now = outlets[c.outlet];
        Values own = values_of(c.to.own);
        bool ok = c.base == now.version && c.to.version > now.version;
        for (auto &[name, v] : own) {
            bool kept = now.values.count(name) && now.values[name] == v;
            bool may =
                head.rules.count(name) && v >= std::get<1>(head.rules[name]) && v <= std::get<2>(head.rules[name]);
            ok &= kept || may;
        }
        if (ok)
            now = {c.to.version, own, {c.to.queues, c.to.queues + c.to.n_queues}};
        else if (!now.version)
            outlets.erase(c.outlet);
    }
    void accept(const job_op &op)
    {
        std::string outlet = op.spec.outlet ? op.spec.outlet : "";
        for (auto &[name, own] : outlets)
            if (outlet.empty() && own.queues.count(op.queue))
                outlet = name;
        if (jobs.count(op.spec.id) || outlet.empty() || !outlets.count(outlet))
            return;
        Job j;
        j.outlet = outlet, j.line = outlet + " " + op.queue, j.tasks = job_spec_tasks(&op.spec);
        j.of_head = head.version, j.of_outlet = outlets[outlet].version, j.values = in_force(outlets[outlet]);
        int64_t most = get(j.values, "runningMost", 0);
        for (int64_t s = 0; s < op.spec.n_steps; s++)
            if (op.spec.steps[s].gang && most && op.spec.steps[s].task_count > most)
                return;
        if (sent.count(op.spec.id) && (j.of_head < sent[op.spec.id].first || j.of_outlet < sent[op.spec.id].second))
            say(op.spec.id, "accepted under older rules than were in force when it was sent");
        jobs[op.spec.id] = j;
        lines[j.line].push_back(op.spec.id);
    }
    // All before it in its line are over, or have begun.
    bool in_turn(int64_t id, const Job &j, bool over)
    {
        for (int64_t other : lines[j.line]) {
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
        Job &j = jobs[id];
        if (j.placed)
            return;
        if (get(j.values, "inTurn", 0) == TURN_BEGUN && !in_turn(id, j, false))
            say(id, "placed before one that was accepted earlier");
        j.placed = true;
        int64_t opens = get(j.values, "opensAtMin", -1), closes = get(j.values, "closesAtMin", -1);
        int64_t minute = at_ms / 60000 % DAY_MIN;
        bool open = opens < closes ? minute >= opens && minute < closes : minute >= opens || minute < closes;
        if (opens >= 0 && closes >= 0 && opens != closes && !open)
            say(id, "begun outside its hours");
    }
    // Each within its limit, in some order: those with the narrowest first.
    void place_all(const std::vector<run_ref> &runs)
    {
        std::map<std::string, std::vector<std::pair<int64_t, run_ref>>> of;
        for (const run_ref &run : runs) {
            Job &j = jobs[run.job];
            int64_t most = get(j.values, "runningMost", 0);
            if (!j.over && !placed[j.outlet].count({run.job, run.task}))
                of[j.outlet].push_back({most ? most : INT64_MAX, run});
        }
        for (auto &[outlet, list] : of) {
            std::sort(list.begin(), list.end(), [](auto &a, auto &b) { return a.first < b.first; });
            for (auto &[most, run] : list) {
                placed[outlet][{run.job, run.task}] = run.attempt;
                if ((int64_t)placed[outlet].size() > most)
                    say(run.job, "more of its outlet placed than the rules allow");
            }
        }
    }
    void end(const run_ended &e)
    {
        Job &j = jobs[e.job];
        auto &there = placed[j.outlet];
        if (there.count({e.job, e.task}) && there[{e.job, e.task}] == e.attempt)
            there.erase({e.job, e.task});
        if (e.how == END_DONE)
            j.done.insert(e.task);
        if (e.how == END_FAILED && j.failed_once.insert({e.task, e.attempt}).second &&
            ++j.failures[e.task] >= get(j.values, "attemptsMax", 4))
            j.over = j.failed = true;
        j.over |= (int64_t)j.done.size() == j.tasks;
    }
    void commit(const Event &e)
    {
        record_batch batch = {};
        std::vector<run_ref> runs;
        if (schema_unpack(&record_batch_schema, &batch, (const uint8_t *)e.batch.data(), (int64_t)e.batch.size()))
            return breaches.push_back("a batch that cannot be read");
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
    void begun(const Event &e)
    {
        Job &j = jobs[e.job];
        bool first = j.active.empty() && j.ends.empty();
        if (!j.placed)
            say(e.job, "begun and not placed");
        if (first && get(j.values, "inTurn", 0) == TURN_OVER && !in_turn(e.job, j, true))
            say(e.job, "begun before an earlier one was over");
        if (++j.active[e.task] > 1 || j.ends[e.task] > j.lost[e.task])
            say(e.job, "a task ran twice");
        /* begun in another order than placed; never more than one of those at work may see */
        running[j.outlet].insert(e.job);
        for (int64_t other : running[j.outlet]) {
            int64_t most = get(jobs[other].values, "runningMost", 0);
            if (!most || (int64_t)running[j.outlet].size() <= most)
                return;
        }
        say(e.job, "more of its outlet at work than the rules allow");
    }
    void off(Job &j, const Event &e)
    {
        auto &at = running[j.outlet];
        if (at.count(e.job))
            at.erase(at.find(e.job));
        j.active[e.task]--;
    }
    void ended(const Event &e)
    {
        Job &j = jobs[e.job];
        off(j, e);
        if (e.how == END_DONE && ++j.ends[e.task] > 1 + j.lost[e.task])
            say(e.job, "a task was done twice");
    }
    void lost(const Event &e)
    {
        Job &j = jobs[e.job];
        if (e.how)
            j.lost[e.task]++; // done, and nobody was told
        else
            off(j, e);
    }
    void shown(const Event &e)
    {
        const Job &j = jobs[e.job];
        if (j.of_head != e.of_head || j.of_outlet != e.of_outlet || j.outlet != e.outlet)
            say(e.job, "shown under versions other than it was accepted under");
        if (j.values != e.values)
            say(e.job, "shown under rules other than those in force when it was accepted");
    }
    void outlet_shown(const Event &e)
    {
        if (outlets[e.outlet].values != e.values || (taken.count(e.outlet) && taken[e.outlet] != e.values))
            breaches.push_back("outlet " + e.outlet + ": adjustments lost");
    }

  public:
    std::vector<std::string> breaches;
    int64_t n_over = 0, n_failed = 0, n_turns = 0;

    explicit Judge(const History &history)
    {
        for (const Event &e : history) {
            now = e.ms;
            switch (e.kind) {
            case COMMIT: commit(e); break;
            case SENT: sent[e.job] = {e.of_head, e.of_outlet}; break;
            case TAKEN:
                if (!e.outlet.empty())
                    taken[e.outlet] = e.values;
                if ((e.outlet.empty() ? head.version : outlets[e.outlet].version) != e.of_head)
                    breaches.push_back("a change was acknowledged that is not in force");
                break;
            case JOB_SHOWN: shown(e); break;
            case OUTLET_SHOWN: outlet_shown(e); break;
            case BEGUN: begun(e); break;
            case ENDED: ended(e); break;
            case LOST: lost(e); break;
            }
        }
        for (auto &[id, j] : jobs) {
            if (!j.over)
                say(id, "never came to its end");
            n_over += j.over, n_failed += j.failed, n_turns += get(j.values, "inTurn", 0) != 0;
        }
    }
};

} // namespace season
#endif
