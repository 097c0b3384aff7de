// A naive model of the record: it finds rows by their position, and counts by going through all rows.
#ifndef SAGEHITCH_TESTS_RECORD_MODEL_H
#define SAGEHITCH_TESTS_RECORD_MODEL_H
#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>
#include <tuple>

#include "record_build.h"

namespace record_model
{

using namespace record_build;

using Position = std::tuple<int64_t, int64_t, int64_t>; // repetition, step, index

struct ModelRow {
    int state = ROW_WAITING;
    int64_t failures = 0, attempt = 0, since_ms = 0;
    std::string incarnation, checkpoint;
};
struct ModelJob {
    int64_t id, state = JOB_PENDING, accepted_ms, ended_ms = 0;
    size_t spec;
    std::string queue;
    bool has_rows = true;
    std::map<Position, ModelRow> rows;
    std::set<std::tuple<int64_t, int64_t, int64_t>> failed_attempts; // gangs: repetition, step, attempt
    bool over() const { return state >= JOB_DONE; }
};

const std::vector<Spec> specs = {
    two,
    gang,
    {{{2, {}, false, true}, {1, {}}}, 0},
    {{{2, {}}, {3, {0}, true}, {1, {0, 1}}}, 3},
    {{{2, {}, true, true}}, 2},
    {{{1, {}}}, 0},
};

struct Model {
    std::map<std::string, int64_t> attempts_max; // by queue, from the newest configuration that has it
    std::set<std::string> queues;                // of the current configuration
    int64_t version = 0;
    std::map<int64_t, ModelJob> jobs;
    std::vector<int64_t> order;           // live jobs, in order of acceptance
    std::map<int64_t, int64_t> cancelled; // times of cancellations of jobs that were not known

    const Step &step(const ModelJob &j, int64_t s) { return specs[j.spec].steps[(size_t)s]; }
    ModelJob *job(int64_t id) { return jobs.count(id) ? &jobs[id] : nullptr; }
    ModelRow *row(int64_t id, int64_t task)
    {
        ModelJob *j = job(id);
        Position at{task_repetition(task), task_step(task), task_index(task)};
        return j && j->has_rows && j->rows.count(at) ? &j->rows[at] : nullptr;
    }
    bool ready(ModelJob &j, int64_t task)
    {
        for (auto &[at, row] : j.rows)
            for (int64_t before : step(j, task_step(task)).after)
                if (std::get<0>(at) == task_repetition(task) && std::get<1>(at) == before && row.state != ROW_DONE)
                    return false;
        return true;
    }
    void update_state(ModelJob &j, int64_t now)
    {
        bool done = true, placed = false;
        for (auto &[at, row] : j.rows)
            done &= row.state == ROW_DONE, placed |= row.state == ROW_PLACED;
        if (!j.over() && done)
            j.state = JOB_DONE, j.ended_ms = now;
        if (j.has_rows && j.over() && !placed) {
            j.has_rows = false;
            j.rows.clear();
            order.erase(std::find(order.begin(), order.end(), j.id));
        }
    }
    void config(int64_t base, int64_t to, const std::vector<Queue> &list)
    {
        if (base != version || to <= version)
            return;
        version = to;
        queues.clear();
        for (const Queue &q : list)
            queues.insert(q.name), attempts_max[q.name] = q.attempts_max;
    }
    void add(int64_t id, size_t spec, const std::string &queue, int64_t now)
    {
        if (jobs.count(id) || !queues.count(queue))
            return;
        ModelJob &j = jobs[id];
        j.id = id, j.spec = spec, j.queue = queue, j.accepted_ms = now;
        for (int64_t t = 0; t < std::max<int64_t>(1, specs[spec].repeats); t++)
            for (size_t s = 0; s < specs[spec].steps.size(); s++)
                for (int64_t i = 0; i < specs[spec].steps[s].tasks; i++)
                    j.rows[{t, s, i}].since_ms = now;
        order.push_back(id);
        if (cancelled.count(id) && now - cancelled[id] <= CANCELLED_ID_KEEP_MS)
            cancel(id, now);
    }
    void cancel(int64_t id, int64_t now)
    {
        ModelJob *j = job(id);
        if (!j)
            cancelled[id] = now;
        if (j && !j->over())
            j->state = JOB_CANCELLED, j->ended_ms = now, update_state(*j, now);
    }
    void place(const std::string &incarnation, const std::vector<run_ref> &runs, int64_t now)
    {
        std::set<std::tuple<int64_t, int64_t, int64_t>> refused, seen;
        std::vector<bool> ok;
        for (const run_ref &run : runs) {
            ModelRow *r = row(run.job, run.task);
            ModelJob *j = job(run.job);
            bool good = r && !j->over() && r->state == ROW_WAITING && run.attempt > r->attempt && ready(*j, run.task) &&
                        !seen.count({run.job, run.task, 0});
            if (good)
                seen.insert({run.job, run.task, 0});
            else if (r && step(*j, task_step(run.task)).gang)
                refused.insert({run.job, task_repetition(run.task), task_step(run.task)});
            ok.push_back(good);
        }
        for (size_t i = 0; i < runs.size(); i++) {
            const run_ref &run = runs[i];
            if (!ok[i] || refused.count({run.job, task_repetition(run.task), task_step(run.task)}))
                continue;
            ModelRow *r = row(run.job, run.task);
            r->state = ROW_PLACED, r->attempt = run.attempt, r->incarnation = incarnation, r->since_ms = now;
            if (job(run.job)->state == JOB_PENDING)
                job(run.job)->state = JOB_ACTIVE;
        }
    }
    static void transition(ModelRow &r, int state, int64_t now)
    {
        r.state = state, r.incarnation = "", r.since_ms = now;
    }
    void end(const End &e, int64_t now)
    {
        ModelRow *r = row(e.job, e.task);
        if (!r || r->attempt != e.attempt || e.attempt < 1)
            return;
        ModelJob &j = *job(e.job);
        const Step &s = step(j, task_step(e.task));
        std::vector<ModelRow *> group;
        for (auto &[at, other] : j.rows)
            if (&other == r ||
                (s.gang && std::get<0>(at) == task_repetition(e.task) && std::get<1>(at) == task_step(e.task)))
                group.push_back(&other);
        if (j.over()) {
            if (r->state == ROW_PLACED)
                transition(*r, ROW_WAITING, now), update_state(j, now);
            return;
        }
        if (e.how == END_DONE && !s.long_running) {
            if (r->state != ROW_PLACED && !(r->state == ROW_WAITING && ready(j, e.task)))
                return;
            for (ModelRow *g : group)
                transition(*g, ROW_DONE, now), g->checkpoint = "";
            update_state(j, now);
            return;
        }
        if (r->state != ROW_PLACED)
            return;
        transition(*r, ROW_WAITING, now);
        for (ModelRow *g : group)
            if (!e.checkpoint.empty())
                g->checkpoint = e.checkpoint;
        if (e.how != END_FAILED || s.long_running ||
            (s.gang && !j.failed_attempts.insert({task_repetition(e.task), task_step(e.task), e.attempt}).second))
            return;
        for (ModelRow *g : group)
            g->failures++;
        if (r->failures >= std::max<int64_t>(1, attempts_max[j.queue])) {
            transition(*r, ROW_FAILED, now);
            j.state = JOB_FAILED, j.ended_ms = now;
            update_state(j, now);
        }
    }
    void forget(int64_t id)
    {
        if (jobs.count(id) && jobs[id].over() && !jobs[id].has_rows)
            jobs.erase(id);
    }

    void compare_job(const record *r, ModelJob &m)
    {
        const struct job *j = record_job(r, m.id);
        ASSERT_NE(j, nullptr);
        ASSERT_EQ(j->state, m.state);
        ASSERT_EQ(j->accepted_ms, m.accepted_ms);
        ASSERT_EQ(j->ended_ms, m.ended_ms);
        ASSERT_EQ(r->queues[j->queue].config.name, m.queue);
        ASSERT_EQ(j->rows != nullptr, m.has_rows);
        if (!m.has_rows)
            return;
        int64_t n_placed = 0, n_done = 0, row_index = 0;
        std::map<std::pair<int64_t, int64_t>, int64_t> left, waiting;
        for (auto &[at, row] : m.rows) { // in the order of the record's rows
            auto [repetition, step, index] = at;
            const struct row *is = &j->rows[row_index];
            ASSERT_EQ(job_row(j, task_of(repetition, step, index)), row_index++);
            ASSERT_EQ(is->state, row.state) << m.id << " " << repetition << " " << step << " " << index;
            ASSERT_EQ(is->failures, row.failures);
            ASSERT_EQ(is->attempt, row.attempt);
            ASSERT_EQ(is->since_ms, row.since_ms);
            ASSERT_EQ(is->checkpoint ? is->checkpoint : "", row.checkpoint);
            ASSERT_EQ(is->incarnation < 0 ? "" : r->incarnations[is->incarnation].name, row.incarnation);
            n_placed += row.state == ROW_PLACED;
            n_done += row.state == ROW_DONE;
            left[{repetition, step}] += row.state != ROW_DONE;
            waiting[{repetition, step}] += row.state == ROW_WAITING;
        }
        ASSERT_EQ(row_index, j->repetitions * j->tasks);
        ASSERT_EQ(j->n_placed, n_placed);
        ASSERT_EQ(j->n_done, n_done);
        for (auto &[at, n] : left) {
            ASSERT_EQ(j->unfinished[at.first * j->spec.n_steps + at.second], n);
            ASSERT_EQ(j->waiting[at.first * j->spec.n_steps + at.second], waiting[at]);
        }
    }
    void compare(const record *r)
    {
        std::map<std::string, int64_t> placed, live;
        ASSERT_EQ(r->config.version, version);
        ASSERT_EQ(r->n_jobs, (int64_t)jobs.size());
        ASSERT_EQ(r->n_live, (int64_t)order.size());
        const struct job *at = r->oldest, *last = nullptr;
        for (int64_t id : order) {
            ASSERT_NE(at, nullptr);
            ASSERT_EQ(at->spec.id, id);
            ASSERT_EQ(at->prev, last);
            last = at, at = at->next;
        }
        ASSERT_EQ(at, nullptr);
        ASSERT_EQ(r->newest, last);
        for (auto &[id, m] : jobs) {
            ASSERT_NO_FATAL_FAILURE(compare_job(r, m));
            live[m.queue] += m.has_rows;
            for (auto &[place, row] : m.rows)
                placed[row.incarnation] += row.state == ROW_PLACED;
        }
        for (int64_t i = 0; i < r->n_incarnations; i++)
            ASSERT_EQ(r->incarnations[i].placed, placed[r->incarnations[i].name]);
        for (int64_t i = 0; i < r->n_queues; i++) {
            ASSERT_EQ(r->queues[i].live, live[r->queues[i].config.name]);
            ASSERT_EQ(!r->queues[i].removed, queues.count(r->queues[i].config.name) == 1);
            ASSERT_EQ(r->queues[i].config.attempts_max, attempts_max[r->queues[i].config.name]);
        }
    }
};

} // namespace record_model
#endif
