// Fixture of the planner's tests: a record and candidates, built without ops.
#ifndef SAGEHITCH_TESTS_PLAN_SITE_H
#define SAGEHITCH_TESTS_PLAN_SITE_H
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "dispatch/plan.h"
#include "dispatch/record_internal.h"
}

namespace
{

const int64_t WALL = 1000000000, EARLY = 1000;

template <class T> T *more(T *&items, int64_t &n)
{
    items = static_cast<T *>(must_grow(items, sizeof(T) * (size_t)(n + 1)));
    items[n] = T{};
    return &items[n++];
}

// A record with candidates, on which the tests run planning rounds.
struct PlanFixture {
    record r = {};
    std::deque<std::string> names;
    std::vector<char *> labelled;
    std::vector<candidate> candidates;
    std::set<std::pair<const job *, int64_t>> busy;
    plan p = {};
    int64_t wall_ms = WALL, max_placements = 300, next_id = 1;

    PlanFixture() { record_start(&r); }
    ~PlanFixture()
    {
        plan_free(&p);
        record_end(&r);
    }
    char *name(const std::string &text)
    {
        names.push_back(text);
        return &names.back()[0];
    }
    int64_t queue(int64_t priority, int64_t target_ms = 1000000, const char *service = "s")
    {
        struct queue *added = more(r.queues, r.n_queues);
        added->config.name = must_printf("q%d", (int)r.n_queues);
        added->config.service = must_dup(service);
        added->config.priority = priority, added->config.stretch_pct = 150, added->config.target_ms = target_ms;
        added->config.attempts_max = 4;
        return r.n_queues - 1;
    }
    int64_t candidate_add(int64_t cpu, const char *rack = "r0", const char *service = "s", const char *label = nullptr,
                          int64_t gpus = 0)
    {
        candidate added = {};
        added.incarnation = name("l" + std::to_string(candidates.size())), added.service = name(service),
        added.rack = name(rack);
        if (label) {
            labelled.push_back(name(label));
            added.labels = static_cast<char **>(must_alloc(sizeof(char *)));
            added.labels[0] = labelled.back(), added.n_labels = 1;
            owned.push_back(added.labels);
        }
        added.incarnation_no = r.n_incarnations;
        struct incarnation *incarnation = more(r.incarnations, r.n_incarnations);
        incarnation->name = must_dup(added.incarnation);
        added.cpu_milli = added.cpu_free = cpu, added.memory_mb = added.memory_free = cpu,
        added.gpus = added.gpus_free = gpus;
        added.open = 1, added.departs_ms = INT64_MAX, added.duration_pct = 100;
        candidates.push_back(added);
        return (int64_t)candidates.size() - 1;
    }
    static step_spec step(int64_t tasks, int64_t cpu, int64_t estimate_ms = 1000)
    {
        step_spec spec = {};
        spec.task_count = tasks, spec.cpu_milli = cpu, spec.memory_mb = cpu, spec.estimate_ms = estimate_ms;
        return spec;
    }
    job *add(int64_t queue, std::vector<step_spec> steps, int64_t accepted_ms = WALL, int64_t repeats = 0,
             int64_t start_ms = 0, int64_t interval_ms = 0)
    {
        job *added = static_cast<job *>(must_alloc(sizeof *added));
        added->spec.id = next_id++;
        added->spec.n_steps = (int64_t)steps.size();
        added->spec.steps = static_cast<step_spec *>(must_alloc(sizeof(step_spec) * steps.size()));
        for (size_t i = 0; i < steps.size(); i++)
            added->spec.steps[i] = steps[i];
        added->spec.repeats = repeats, added->spec.start_ms = start_ms, added->spec.interval_ms = interval_ms;
        added->queue = queue, added->accepted_ms = accepted_ms, added->index = r.next_index++;
        job_alloc_rows(added);
        record_index_job(&r, added);
        record_link(&r, added);
        return added;
    }
    void move(job *j, int64_t row_index, int state, int64_t candidate = -1)
    {
        row *moved = &j->rows[row_index];
        int64_t repetition, step, index, group;
        job_row_position(j, row_index, &repetition, &step, &index);
        group = repetition * j->spec.n_steps + step;
        const step_spec *spec = &j->spec.steps[step];
        if (moved->state == ROW_PLACED) {
            struct candidate *at = &candidates[(size_t)moved->incarnation];
            at->cpu_free += spec->cpu_milli, at->memory_free += spec->memory_mb, at->gpus_free += spec->gpus;
            j->n_placed--, r.incarnations[moved->incarnation].placed--;
        } else if (moved->state == ROW_WAITING) {
            j->waiting[group]--;
        }
        if (state == ROW_PLACED) {
            struct candidate *at = &candidates[(size_t)candidate];
            at->cpu_free -= spec->cpu_milli, at->memory_free -= spec->memory_mb, at->gpus_free -= spec->gpus;
            j->n_placed++, r.incarnations[candidate].placed++;
        } else if (state == ROW_DONE) {
            j->unfinished[group]--, j->n_done++;
        } else if (state == ROW_WAITING) {
            j->waiting[group]++;
        }
        moved->state = state, moved->incarnation = (int32_t)candidate, moved->since_ms = wall_ms;
    }
    static int is_busy(void *arg, const job *j, int64_t row_index)
    {
        return (int)((PlanFixture *)arg)->busy.count({j, row_index});
    }
    plan_input input()
    {
        plan_input in = {};
        in.record = &r, in.candidates = candidates.data(), in.n_candidates = (int64_t)candidates.size();
        in.now_ms = 5000, in.wall_ms = wall_ms, in.early_ms = EARLY, in.remote_data_pct = 150,
        in.max_placements = max_placements;
        in.busy = is_busy, in.arg = this;
        return in;
    }
    void round()
    {
        plan_input in = input();
        plan_make(&in, &p);
    }
    // Applies the placements of the round to the record. The round has already subtracted their capacity.
    void commit()
    {
        for (int64_t i = 0; i < p.n; i++) {
            const placement *at = &p.placements[i];
            const step_spec *spec = &at->job->spec.steps[at->step];
            candidate *to = &candidates[(size_t)at->candidate];
            to->cpu_free += spec->cpu_milli, to->memory_free += spec->memory_mb, to->gpus_free += spec->gpus;
            move(at->job, at->row_index, ROW_PLACED, at->candidate);
            at->job->rows[at->row_index].attempt = (int32_t)at->attempt;
        }
    }
    std::vector<victim> victims(int64_t max_victims)
    {
        std::vector<victim> chosen((size_t)max_victims);
        plan_input in = input();
        chosen.resize((size_t)plan_victims(&in, chosen.data(), max_victims));
        return chosen;
    }
    int64_t placed_of(const job *j) const
    {
        int64_t n = 0;
        for (int64_t i = 0; i < p.n; i++)
            n += p.placements[i].job == j;
        return n;
    }
    int64_t placed_on(const job *j) const
    {
        for (int64_t i = 0; i < p.n; i++)
            if (p.placements[i].job == j)
                return p.placements[i].candidate;
        return -1;
    }
    std::vector<char **> owned;
    void drop()
    {
        for (char **at : owned)
            free(at);
    }
};

} // namespace
#endif
