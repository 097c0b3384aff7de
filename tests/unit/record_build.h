// Builders of jobs, configurations and batches of ops for tests of the record. All of them own their content.
#ifndef SAGEHITCH_TESTS_RECORD_BUILD_H
#define SAGEHITCH_TESTS_RECORD_BUILD_H
#include <algorithm>
#include <string>
#include <vector>

extern "C" {
#include "base/error.h"
#include "dispatch/record.h"
}

namespace record_build
{

// A step of a job in short form.
struct Step {
    int64_t tasks;
    std::vector<int64_t> after;
    bool gang = false, long_running = false;
};
struct Spec {
    std::vector<Step> steps;
    int64_t repeats = 0;
};
const Spec two = {{{2, {}}, {1, {0}}}, 0};
const Spec gang = {{{3, {}, true}, {1, {0}}}, 0};

// list_more() for C++; the list is freed by its schema.
template <class T> T &more_of(T *&items, int64_t &n)
{
    items = (T *)must_grow(items, sizeof(T) * (size_t)(n + 1));
    return items[n++] = T{};
}

inline char *dup(const std::string &text) { return must_dup(text.c_str()); }

inline job_spec spec_of(int64_t id, const Spec &from, const std::string &text = "text")
{
    job_spec spec = {};
    spec.id = id;
    spec.text = dup(text);
    spec.repeats = from.repeats;
    spec.start_ms = from.repeats ? 5000 : 0;
    spec.interval_ms = from.repeats ? 100 : 0;
    spec.n_steps = (int64_t)from.steps.size();
    spec.steps = (step_spec *)must_alloc(sizeof(step_spec) * from.steps.size());
    for (size_t s = 0; s < from.steps.size(); s++) {
        step_spec &step = spec.steps[s];
        step.task_count = from.steps[s].tasks;
        step.cpu_milli = 100;
        step.gang = from.steps[s].gang;
        step.long_running = from.steps[s].long_running;
        step.n_depends_on = (int64_t)from.steps[s].after.size();
        if (step.n_depends_on)
            step.depends_on = (int64_t *)must_alloc(sizeof(int64_t) * from.steps[s].after.size());
        std::copy(from.steps[s].after.begin(), from.steps[s].after.end(), step.depends_on);
    }
    return spec;
}

struct Queue {
    std::string name;
    int64_t attempts_max;
};

inline config config_of(int64_t version, const std::vector<Queue> &queues, const std::string &raw)
{
    config made = {};
    made.version = version;
    made.n_services = 1;
    made.services = (service_config *)must_alloc(sizeof(service_config));
    made.services[0].name = dup("work");
    made.n_queues = (int64_t)queues.size();
    made.queues = (queue_config *)must_alloc(sizeof(queue_config) * queues.size());
    for (size_t i = 0; i < queues.size(); i++) {
        queue_config &q = made.queues[i];
        q.name = dup(queues[i].name);
        q.host = dup("host.example");
        q.prefix = dup("/" + queues[i].name + "/");
        q.service = dup("work");
        q.attempts_max = queues[i].attempts_max;
        q.timeout_ms = 1000;
    }
    bytes_add(&made.raw, raw.data(), (int64_t)raw.size());
    return made;
}

struct End {
    int64_t job, task, attempt, how;
    std::string checkpoint;
};

// The ops of one batch, freed with it.
struct Batch {
    record_batch batch = {};
    ~Batch() { schema_free(&record_batch_schema, &batch); }
    // Adds an op without a kind.
    record_op &more(int64_t at_ms)
    {
        record_op &op = more_of(batch.ops, batch.n);
        op.at_ms = at_ms;
        return op;
    }
    void conf(int64_t at_ms, int64_t base, int64_t version, const std::vector<Queue> &queues, const std::string &raw)
    {
        config_change &op = *record_op_make_config(&more(at_ms));
        op.base = base;
        op.config = config_of(version, queues, raw);
    }
    void job(int64_t at_ms, int64_t id, const Spec &spec, const std::string &queue, const std::string &text = "text")
    {
        job_op &op = *record_op_make_job(&more(at_ms));
        op.spec = spec_of(id, spec, text);
        op.queue = dup(queue);
    }
    void cancel(int64_t at_ms, int64_t id) { record_op_make_cancel(&more(at_ms), id); }
    void place(int64_t at_ms, const std::string &incarnation, int64_t agent, const std::vector<run_ref> &runs)
    {
        place_op &op = *record_op_make_place(&more(at_ms));
        op.incarnation = dup(incarnation);
        op.agent = agent;
        for (const run_ref &run : runs)
            more_of(op.runs, op.n_runs) = run;
    }
    void end(int64_t at_ms, const std::vector<End> &ends)
    {
        end_op &op = *record_op_make_end(&more(at_ms));
        for (const End &end : ends) {
            run_ended &to = more_of(op.ended, op.n_ended);
            to.job = end.job, to.task = end.task, to.attempt = end.attempt, to.how = end.how;
            to.checkpoint = end.checkpoint.empty() ? nullptr : dup(end.checkpoint);
        }
    }
    void forget(int64_t at_ms, const std::vector<int64_t> &ids)
    {
        forget_op &op = *record_op_make_forget(&more(at_ms));
        for (int64_t id : ids)
            more_of(op.jobs, op.n_jobs) = id;
    }
};

inline std::string snapshot_of(const record *r)
{
    bytes to = {};
    record_snapshot(r, &to);
    std::string text((const char *)to.at, (size_t)to.len);
    bytes_free(&to);
    return text;
}

} // namespace record_build
#endif
