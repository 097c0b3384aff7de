// The record against a naive model under random ops, packed, stored as snapshots and restored on the way.
#include "record_model.h"

using namespace record_model;

namespace
{

// Rows as changed() told of them: whoever listens holds the same as the record.
struct Listener {
    std::map<int64_t, std::vector<std::tuple<int, int64_t, int64_t, std::string>>> rows;
    const record *r = nullptr;

    static std::tuple<int, int64_t, int64_t, std::string> seen(const struct row *row)
    {
        return {row->state, row->attempt, row->failures, row->checkpoint ? row->checkpoint : ""};
    }
    static void hear(void *arg, struct job *job, int64_t no)
    {
        Listener *l = (Listener *)arg;
        if (no >= 0) {
            l->rows[job->spec.id].at((size_t)no) = seen(&job->rows[no]);
        } else if (!job->rows || record_job(l->r, job->spec.id) != job) {
            l->rows.erase(job->spec.id);
        } else {
            auto &list = l->rows[job->spec.id];
            list.clear();
            for (int64_t i = 0; i < job->repetitions * job->tasks; i++)
                list.push_back(seen(&job->rows[i]));
        }
    }
    void compare()
    {
        ASSERT_EQ((int64_t)rows.size(), r->n_live);
        for (const struct job *j = r->oldest; j; j = j->next)
            for (int64_t i = 0; i < j->repetitions * j->tasks; i++)
                ASSERT_EQ(rows[j->spec.id].at((size_t)i), seen(&j->rows[i])) << j->spec.id << " row " << i;
    }
};

struct Trial {
    std::mt19937_64 random;
    Model model;
    int64_t now = 10000;

    explicit Trial(uint64_t seed) : random(seed) {}
    int64_t pick(int64_t n) { return (int64_t)(random() % (uint64_t)n); }
    int64_t any_job() { return pick(40) - 3; }

    void some_config(Batch &b)
    {
        std::vector<Queue> list;
        for (const char *name : {"a", "b", "c", "d"})
            if (pick(5))
                list.push_back({name, pick(4)});
        int64_t base = pick(4) ? model.version : model.version - 1, to = model.version + pick(3);
        b.conf(now, base, to, list, "raw" + std::to_string(random()));
        if (to >= 1)
            model.config(base, to, list);
    }
    void some_job(Batch &b)
    {
        int64_t id = any_job();
        size_t spec = (size_t)pick((int64_t)specs.size());
        std::string queue(1, (char)('a' + pick(5)));
        b.job(now, id, specs[spec], queue);
        model.add(id, spec, queue, now);
    }
    void some_place(Batch &b)
    {
        std::vector<run_ref> runs;
        std::string incarnation = "life-" + std::to_string(pick(12));
        for (int64_t n = 1 + pick(3); n > 0; n--) {
            ModelJob *j = model.job(any_job());
            if (!j || !j->rows_there)
                continue;
            auto at = std::next(j->rows.begin(), pick((int64_t)j->rows.size()));
            auto [repetition, step, index] = at->first;
            bool whole = model.step(*j, step).gang && pick(8);
            for (auto &[place, row] : j->rows)
                if (std::get<0>(place) == repetition && std::get<1>(place) == step &&
                    (whole || std::get<2>(place) == index))
                    runs.push_back(
                        {j->id, task_of(repetition, step, std::get<2>(place)), row.attempt + (pick(20) ? 1 : 0)});
            if (!runs.empty() && !pick(20))
                runs.push_back(runs[(size_t)pick((int64_t)runs.size())]);
        }
        b.place(now, incarnation, pick(5), runs);
        model.place(incarnation, runs, now);
    }
    void some_ends(Batch &b)
    {
        std::vector<End> ends;
        for (int64_t n = 1 + pick(4); n > 0; n--) {
            ModelJob *j = model.job(any_job());
            if (!j || !j->rows_there)
                continue;
            auto at = std::next(j->rows.begin(), pick((int64_t)j->rows.size()));
            auto [repetition, step, index] = at->first;
            ends.push_back({j->id, task_of(repetition, step, index), at->second.attempt - (pick(10) ? 0 : 1),
                            pick(2) ? (int64_t)END_DONE : END_DONE + pick(7),
                            pick(3) ? "" : "s" + std::to_string(pick(1000))});
        }
        b.end(now, ends);
        for (const End &e : ends)
            model.end(e, now);
    }
    void some_op(Batch &b)
    {
        now += pick(5);
        int64_t id = any_job(), kind = pick(100);
        if (kind < 3)
            some_config(b);
        else if (kind < 15)
            some_job(b);
        else if (kind < 18)
            b.cancel(now, id), model.cancel(id, now);
        else if (kind < 24)
            b.forget(now, {id, id + 1}), model.forget(id), model.forget(id + 1);
        else if (kind < 65)
            some_place(b);
        else
            some_ends(b);
    }
};

TEST(RecordModel, HoldsWhatTheModelHolds)
{
    std::map<int64_t, int64_t> states;
    for (uint64_t seed = 1; seed <= 4; seed++) {
        Trial trial(seed);
        Listener listener;
        record one, other; // one: packed and restored; other: op by op
        record_start(&one);
        record_start(&other);
        one.changed = Listener::hear, one.arg = &listener, listener.r = &one;
        for (int round = 0; round < 1200; round++) {
            Batch b;
            for (int64_t n = 1 + trial.pick(3); n > 0; n--)
                trial.some_op(b);
            bytes packed = {};
            schema_pack(&record_batch_schema, &b.batch, &packed);
            record_result result = {};
            ASSERT_EQ(record_apply_batch(&one, &packed, &result), 0);
            bytes_free(&packed);
            ASSERT_EQ(result.n, b.batch.n);
            for (int64_t i = 0; i < b.batch.n; i++)
                ASSERT_EQ(record_apply(&other, &b.batch.ops[i]), result.errors[i]);
            schema_free(&record_result_schema, &result);
            ASSERT_NO_FATAL_FAILURE(trial.model.compare(&one)) << "seed " << seed << " round " << round;
            ASSERT_NO_FATAL_FAILURE(listener.compare()) << "seed " << seed << " round " << round;
            if (round % 50 == 7) {
                std::string snapshot = snapshot_of(&one);
                ASSERT_EQ(snapshot, snapshot_of(&other));
                bytes from = {(uint8_t *)snapshot.data(), (int64_t)snapshot.size(), (int64_t)snapshot.size()};
                ASSERT_EQ(record_restore(&one, &from), 0);
                ASSERT_EQ(one.arg, &listener);
                ASSERT_EQ(snapshot_of(&one), snapshot);
                ASSERT_NO_FATAL_FAILURE(trial.model.compare(&one));
            }
            for (auto &[id, j] : trial.model.jobs)
                states[j.state]++;
        }
        record_end(&one);
        record_end(&other);
    }
    for (int64_t state = JOB_PENDING; state <= JOB_CANCELLED; state++)
        EXPECT_GT(states[state], 100) << "the trial hardly ever came to state " << state;
}

} // namespace
