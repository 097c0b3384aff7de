// Compares the record with a naive model under random ops, which are packed; snapshots are stored and restored in
// between.
#include "record_model.h"

using namespace record_model;

namespace
{

// The rows as reported by the callback `changed`: they must be the same as those of the record.
struct Listener {
    std::map<int64_t, std::vector<std::tuple<int, int64_t, int64_t, std::string>>> rows;
    const record *r = nullptr;

    static std::tuple<int, int64_t, int64_t, std::string> seen(const struct row *row)
    {
        return {row->state, row->attempt, row->failures, row->checkpoint ? row->checkpoint : ""};
    }
    static void on_changed(void *arg, struct job *job, int64_t row_index)
    {
        Listener *listener = (Listener *)arg;
        if (row_index >= 0) {
            listener->rows[job->spec.id].at((size_t)row_index) = seen(&job->rows[row_index]);
        } else if (!job->rows || record_job(listener->r, job->spec.id) != job) {
            listener->rows.erase(job->spec.id);
        } else {
            auto &list = listener->rows[job->spec.id];
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

struct RandomOps {
    std::mt19937_64 random;
    Model model;
    int64_t now = 10000;

    explicit RandomOps(uint64_t seed) : random(seed) {}
    int64_t pick(int64_t n) { return (int64_t)(random() % (uint64_t)n); }
    int64_t random_job_id() { return pick(40) - 3; }

    void add_random_config(Batch &b)
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
    void add_random_job(Batch &b)
    {
        int64_t id = random_job_id();
        size_t spec = (size_t)pick((int64_t)specs.size());
        std::string queue(1, (char)('a' + pick(5)));
        b.job(now, id, specs[spec], queue);
        model.add(id, spec, queue, now);
    }
    void add_random_place(Batch &b)
    {
        std::vector<run_ref> runs;
        std::string incarnation = "life-" + std::to_string(pick(12));
        for (int64_t n = 1 + pick(3); n > 0; n--) {
            ModelJob *j = model.job(random_job_id());
            if (!j || !j->has_rows)
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
    void add_random_ends(Batch &b)
    {
        std::vector<End> ends;
        for (int64_t n = 1 + pick(4); n > 0; n--) {
            ModelJob *j = model.job(random_job_id());
            if (!j || !j->has_rows)
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
    void add_random_op(Batch &b)
    {
        now += pick(5);
        int64_t id = random_job_id(), kind = pick(100);
        if (kind < 3)
            add_random_config(b);
        else if (kind < 15)
            add_random_job(b);
        else if (kind < 18)
            b.cancel(now, id), model.cancel(id, now);
        else if (kind < 24)
            b.forget(now, {id, id + 1}), model.forget(id), model.forget(id + 1);
        else if (kind < 65)
            add_random_place(b);
        else
            add_random_ends(b);
    }
};

TEST(RecordModel, MatchesModel)
{
    std::map<int64_t, int64_t> states;
    for (uint64_t seed = 1; seed <= 4; seed++) {
        RandomOps random_ops(seed);
        Listener listener;
        record one, other; // one: ops are packed, and snapshots restored; other: ops are applied one by one
        record_start(&one);
        record_start(&other);
        one.changed = Listener::on_changed, one.arg = &listener, listener.r = &one;
        for (int round = 0; round < 1200; round++) {
            Batch b;
            for (int64_t n = 1 + random_ops.pick(3); n > 0; n--)
                random_ops.add_random_op(b);
            bytes packed = {};
            schema_pack(&record_batch_schema, &b.batch, &packed);
            record_result result = {};
            ASSERT_EQ(record_apply_batch(&one, &packed, &result), 0);
            bytes_free(&packed);
            ASSERT_EQ(result.n, b.batch.n);
            for (int64_t i = 0; i < b.batch.n; i++)
                ASSERT_EQ(record_apply(&other, &b.batch.ops[i]), result.errors[i]);
            schema_free(&record_result_schema, &result);
            ASSERT_NO_FATAL_FAILURE(random_ops.model.compare(&one)) << "seed " << seed << " round " << round;
            ASSERT_NO_FATAL_FAILURE(listener.compare()) << "seed " << seed << " round " << round;
            if (round % 50 == 7) {
                std::string snapshot = snapshot_of(&one);
                ASSERT_EQ(snapshot, snapshot_of(&other));
                bytes from = {(uint8_t *)snapshot.data(), (int64_t)snapshot.size(), (int64_t)snapshot.size()};
                ASSERT_EQ(record_restore(&one, &from), 0);
                ASSERT_EQ(one.arg, &listener);
                ASSERT_EQ(snapshot_of(&one), snapshot);
                ASSERT_NO_FATAL_FAILURE(random_ops.model.compare(&one));
            }
            for (auto &[id, j] : random_ops.model.jobs)
                states[j.state]++;
        }
        record_end(&one);
        record_end(&other);
    }
    for (int64_t state = JOB_PENDING; state <= JOB_CANCELLED; state++)
        EXPECT_GT(states[state], 100) << "jobs were too rarely in state " << state;
}

} // namespace
