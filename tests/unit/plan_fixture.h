// What the tests of placing share: a record built by hand, and seats.
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

// A record built by hand, its seats, and one round after another.
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
        struct queue *q = more(r.queues, r.n_queues);
        q->config.name = must_printf("q%d", (int)r.n_queues);
        q->config.service = must_dup(service);
        q->config.priority = priority, q->config.stretch_pct = 150, q->config.target_ms = target_ms;
        q->config.attempts_max = 4;
        return r.n_queues - 1;
    }
    int64_t candidate_add(int64_t cpu, const char *rack = "r0", const char *service = "s", const char *label = nullptr,
                          int64_t gpus = 0)
    {
        candidate s = {};
        s.incarnation = name("l" + std::to_string(candidates.size())), s.service = name(service), s.rack = name(rack);
        if (label) {
            labelled.push_back(name(label));
            s.labels = static_cast<char **>(must_alloc(sizeof(char *)));
            s.labels[0] = labelled.back(), s.n_labels = 1;
            owned.push_back(s.labels);
        }
        s.incarnation_no = r.n_incarnations;
        struct incarnation *l = more(r.incarnations, r.n_incarnations);
        l->name = must_dup(s.incarnation);
        s.cpu_milli = s.cpu_free = cpu, s.memory_mb = s.memory_free = cpu, s.gpus = s.gpus_free = gpus;
        s.open = 1, s.departs_ms = INT64_MAX, s.duration_pct = 100;
        candidates.push_back(s);
        return (int64_t)candidates.size() - 1;
    }
    static step_spec step(int64_t tasks, int64_t cpu, int64_t estimate_ms = 1000)
    {
        step_spec s = {};
        s.task_count = tasks, s.cpu_milli = cpu, s.memory_mb = cpu, s.estimate_ms = estimate_ms;
        return s;
    }
    job *add(int64_t queue, std::vector<step_spec> steps, int64_t accepted_ms = WALL, int64_t repeats = 0,
             int64_t start_ms = 0, int64_t interval_ms = 0)
    {
        job *j = static_cast<job *>(must_alloc(sizeof *j));
        j->spec.id = next_id++;
        j->spec.n_steps = (int64_t)steps.size();
        j->spec.steps = static_cast<step_spec *>(must_alloc(sizeof(step_spec) * steps.size()));
        for (size_t i = 0; i < steps.size(); i++)
            j->spec.steps[i] = steps[i];
        j->spec.repeats = repeats, j->spec.start_ms = start_ms, j->spec.interval_ms = interval_ms;
        j->queue = queue, j->accepted_ms = accepted_ms, j->index = r.next_index++;
        job_open(j);
        record_add(&r, j);
        record_link(&r, j);
        return j;
    }
    void move(job *j, int64_t no, int state, int64_t candidate = -1)
    {
        row *w = &j->rows[no];
        int64_t repetition, s, index, group;
        job_row_position(j, no, &repetition, &s, &index);
        group = repetition * j->spec.n_steps + s;
        const step_spec *spec = &j->spec.steps[s];
        if (w->state == ROW_PLACED) {
            struct candidate *at = &candidates[(size_t)w->incarnation];
            at->cpu_free += spec->cpu_milli, at->memory_free += spec->memory_mb, at->gpus_free += spec->gpus;
            j->n_placed--, r.incarnations[w->incarnation].placed--;
        } else if (w->state == ROW_WAITING) {
            j->waiting[group]--;
        }
        if (state == ROW_PLACED) {
            struct candidate *at = &candidates[(size_t)candidate];
            at->cpu_free -= spec->cpu_milli, at->memory_free -= spec->memory_mb, at->gpus_free -= spec->gpus;
            j->n_placed++, r.incarnations[candidate].placed++;
        } else if (state == ROW_DONE) {
            j->left[group]--, j->n_done++;
        } else if (state == ROW_WAITING) {
            j->waiting[group]++;
        }
        w->state = state, w->incarnation = (int32_t)candidate, w->since_ms = wall_ms;
    }
    static int is_busy(void *arg, const job *j, int64_t no) { return (int)((PlanFixture *)arg)->busy.count({j, no}); }
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
    // What the record holds once a round was committed; the round has taken the room already.
    void commit()
    {
        for (int64_t i = 0; i < p.n; i++) {
            const placement *at = &p.placements[i];
            const step_spec *s = &at->job->spec.steps[at->step];
            candidate *to = &candidates[(size_t)at->candidate];
            to->cpu_free += s->cpu_milli, to->memory_free += s->memory_mb, to->gpus_free += s->gpus;
            move(at->job, at->no, ROW_PLACED, at->candidate);
            at->job->rows[at->no].attempt = (int32_t)at->attempt;
        }
    }
    std::vector<victim> victims(int64_t at_most)
    {
        std::vector<victim> v((size_t)at_most);
        plan_input in = input();
        v.resize((size_t)plan_victims(&in, v.data(), at_most));
        return v;
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
