// Compares the rows of a shard with a simple reference model under random ops, checks that a snapshot restores the same
// state, and that batches are applied once, in order and only under the current epoch.
#include <gtest/gtest.h>

#include <map>
#include <random>
#include <vector>

extern "C" {
#include "base/error.h"
#include "shard/rows.h"
}

namespace
{

struct Model {
    struct Row {
        int state = ROW_READY, attempt = 0, failures = 0;
    };
    struct Job {
        int state = JOB_ACTIVE;
        std::vector<Row> rows; // a step of two tasks, then a step of one that depends on it
    };
    std::map<int64_t, Job> jobs;

    static bool ended(const Row &row) { return row.state >= ROW_DONE; }
    void unblock(Job &job)
    {
        if (job.rows[0].state == ROW_DONE && job.rows[1].state == ROW_DONE && job.rows[2].state == ROW_BLOCKED)
            job.rows[2].state = ROW_READY;
    }
    void finish(Job &job)
    {
        for (Row &row : job.rows)
            if (!ended(row))
                return;
        job.state = job.state == JOB_CANCELLING ? JOB_CANCELLED : job.state == JOB_FAILING ? JOB_FAILED : JOB_DONE;
    }
    void cancel_unplaced(Job &job)
    {
        for (Row &row : job.rows)
            if (row.state == ROW_READY || row.state == ROW_BLOCKED)
                row.state = ROW_CANCELLED;
    }
    bool add(int64_t id)
    {
        if (jobs.count(id))
            return false;
        jobs[id].rows.resize(3);
        jobs[id].rows[2].state = ROW_BLOCKED;
        return true;
    }
    bool place(int64_t id, std::vector<int> nos, int attempt)
    {
        if (!jobs.count(id) || jobs[id].state != JOB_ACTIVE)
            return false;
        for (int no : nos)
            if (jobs[id].rows[no].state != ROW_READY || jobs[id].rows[no].attempt + 1 != attempt)
                return false;
        for (int no : nos)
            jobs[id].rows[no].state = ROW_PLACED, jobs[id].rows[no].attempt = attempt;
        return true;
    }
    bool end(int64_t id, int no, int attempt, int state, bool failed, bool nack)
    {
        if (!jobs.count(id) || jobs[id].state >= JOB_DONE)
            return false;
        Job &job = jobs[id];
        Row &row = job.rows[no];
        if (ended(row) || row.attempt != attempt || (nack && row.state != ROW_PLACED) ||
            (row.state == ROW_BLOCKED && state == ROW_DONE))
            return false;
        row.failures += failed;
        if (nack) {
            row.state = job.state == JOB_ACTIVE ? (int)ROW_READY : (int)ROW_CANCELLED;
        } else {
            row.state = state;
            if (state != ROW_DONE && job.state == JOB_ACTIVE)
                job.state = JOB_FAILING, cancel_unplaced(job);
            else if (job.state == JOB_ACTIVE)
                unblock(job);
        }
        finish(job);
        return true;
    }
    bool cancel(int64_t id)
    {
        if (!jobs.count(id) || jobs[id].state >= JOB_CANCELLING)
            return false;
        jobs[id].state = JOB_CANCELLING;
        cancel_unplaced(jobs[id]);
        finish(jobs[id]);
        return true;
    }
    bool drop(int64_t id) { return jobs.count(id) && jobs[id].state >= JOB_DONE && jobs.erase(id); }
};

const char kSpec[] =
    R"({"key":"%s","service":"s","queue":"q","steps":[{"name":"a","tasks":[{"kind":"c"},{"kind":"c"}]},)"
    R"({"name":"b","after":["a"],"tasks":[{"kind":"c","payload":"p"}]}]})";

bool apply_op(rows *rows, op &op) { return rows_apply_op(rows, &op) == ERROR_NONE; }

void expect_same(const Model &model, const rows *rows)
{
    ASSERT_EQ((size_t)rows->n_jobs, model.jobs.size());
    int64_t live = 0;
    for (auto &[id, expected] : model.jobs) {
        const job *actual = rows_find_job(rows, id);
        ASSERT_NE(actual, nullptr);
        ASSERT_EQ(actual->state, expected.state) << id;
        for (size_t i = 0; i < expected.rows.size(); i++) {
            ASSERT_EQ(actual->rows[i].state, expected.rows[i].state) << id << "/" << i;
            ASSERT_EQ(actual->rows[i].attempt, expected.rows[i].attempt);
            ASSERT_EQ(actual->rows[i].failures, expected.rows[i].failures);
            live += !Model::ended(expected.rows[i]);
        }
    }
    ASSERT_EQ(rows->n_live, live);
}

TEST(Rows, RandomOpsMatchTheReferenceModel)
{
    for (unsigned seed = 1; seed <= 30; seed++) {
        std::mt19937 random(seed);
        Model model;
        rows shard_rows;
        rows_start(&shard_rows, 0);
        for (int step = 0; step < 600; step++) {
            int64_t id = 1 + random() % 12;
            int no = (int)(random() % 3), attempt = (int)(random() % 4);
            op operation = {};
            operation.job = id, operation.no = no, operation.attempt = attempt, operation.time_ms = step;
            bool expected = false;
            placement placements[2] = {};
            char name[] = "e1";
            switch (random() % 7) {
            case 0: {
                char body[400], key[20];
                validation_error error;
                snprintf(key, sizeof key, "k%lld", (long long)id);
                snprintf(body, sizeof body, kSpec, key);
                job_spec spec = {};
                ASSERT_EQ(schema_from_text(&job_spec_schema, &spec, body, (int64_t)strlen(body), &error), ERROR_NONE);
                operation.kind = OP_JOB, operation.spec = &spec;
                expected = model.add(id);
                ASSERT_EQ(apply_op(&shard_rows, operation), expected);
                schema_free(&job_spec_schema, &spec);
                continue;
            }
            case 1:
            case 2: {
                operation.kind = OP_PLACED, operation.placements = placements,
                operation.n_placements = 1 + (int)(random() % 2);
                std::vector<int> nos;
                for (int i = 0; i < operation.n_placements; i++) {
                    placements[i].no = (no + i) % 3, placements[i].attempt = attempt, placements[i].executor = name;
                    nos.push_back((int)placements[i].no);
                }
                expected = model.place(id, nos, attempt);
                break;
            }
            case 3:
                operation.kind = OP_NACK, operation.failed = random() % 2;
                expected = model.end(id, no, attempt, 0, operation.failed, true);
                break;
            case 4:
                operation.kind = OP_END, operation.failed = random() % 2,
                operation.state = ROW_DONE + (int)(random() % 5);
                expected = model.end(id, no, attempt, (int)operation.state, operation.failed, false);
                break;
            case 5:
                operation.kind = OP_CANCEL;
                expected = random() % 3 ? false : true;
                if (!expected)
                    continue;
                expected = model.cancel(id);
                break;
            default: operation.kind = OP_DROP; expected = model.drop(id);
            }
            ASSERT_EQ(apply_op(&shard_rows, operation), expected)
                << "seed " << seed << " step " << step << " kind " << operation.kind;
            if (step % 50 == 0) {
                bytes snapshot = {}, again = {};
                rows_snapshot(&shard_rows, &snapshot);
                ASSERT_EQ(rows_restore(&shard_rows, &snapshot), ERROR_NONE);
                rows_snapshot(&shard_rows, &again);
                ASSERT_EQ(snapshot.len, again.len);
                ASSERT_EQ(memcmp(snapshot.at, again.at, (size_t)snapshot.len), 0);
                bytes_free(&snapshot);
                bytes_free(&again);
            }
            expect_same(model, &shard_rows);
        }
        rows_end(&shard_rows);
    }
}

TEST(Rows, BatchesAreAppliedOnceInOrderAndUnderTheCurrentEpochOnly)
{
    rows shard_rows;
    rows_start(&shard_rows, 0);
    op redirect = {};
    char key[] = "k";
    redirect.kind = OP_REDIRECT, redirect.key = key, redirect.to_shard = 3;
    auto apply = [&](int64_t epoch, int64_t open, int64_t seq, int64_t n) {
        batch entry = {};
        op ops[2] = {redirect, redirect};
        entry.epoch = epoch, entry.open = open, entry.seq = seq, entry.ops = ops, entry.n_ops = n;
        batch_result result = {};
        rows_apply_batch(&shard_rows, &entry, &result);
        return result;
    };
    EXPECT_EQ(apply(1, 0, 1, 1).error, ERROR_EPOCH);
    EXPECT_EQ(apply(1, 1, 0, 0).error, ERROR_NONE);
    EXPECT_EQ(apply(1, 0, 1, 2).seq, 2);
    EXPECT_EQ(apply(1, 0, 1, 2).seq, 2);
    EXPECT_EQ(apply(1, 0, 4, 1).error, ERROR_REJECTED);
    EXPECT_EQ(apply(3, 1, 0, 0).epoch, 3);
    EXPECT_EQ(apply(2, 1, 0, 0).error, ERROR_EPOCH);
    EXPECT_EQ(apply(1, 0, 3, 1).error, ERROR_EPOCH);
    EXPECT_EQ(apply(3, 0, 1, 1).seq, 1);
    EXPECT_EQ(rows_find_key(&shard_rows, "k"), -4);
    EXPECT_EQ(shard_rows.n_redirects, 1);
    rows_end(&shard_rows);
}

} // namespace
