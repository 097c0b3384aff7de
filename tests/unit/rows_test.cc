// The fold of the jobs log against a plain model, under random operations; and
// its snapshot, which must bring the same state back.
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
        std::vector<Row> rows; // one step of two, then one of one that waits for it
    };
    std::map<int64_t, Job> jobs;

    static bool over(const Row &r) { return r.state >= ROW_DONE; }
    void unblock(Job &j)
    {
        if (j.rows[0].state == ROW_DONE && j.rows[1].state == ROW_DONE && j.rows[2].state == ROW_BLOCKED)
            j.rows[2].state = ROW_READY;
    }
    void settle(Job &j)
    {
        for (Row &r : j.rows)
            if (!over(r))
                return;
        j.state = j.state == JOB_CANCELLING ? JOB_CANCELLED : j.state == JOB_FAILING ? JOB_FAILED : JOB_DONE;
    }
    void stop_rest(Job &j)
    {
        for (Row &r : j.rows)
            if (r.state == ROW_READY || r.state == ROW_BLOCKED)
                r.state = ROW_CANCELLED;
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
        Job &j = jobs[id];
        Row &r = j.rows[no];
        if (over(r) || r.attempt != attempt || (nack && r.state != ROW_PLACED) ||
            (r.state == ROW_BLOCKED && state == ROW_DONE))
            return false;
        r.failures += failed;
        if (nack) {
            r.state = j.state == JOB_ACTIVE ? (int)ROW_READY : (int)ROW_CANCELLED;
        } else {
            r.state = state;
            if (state != ROW_DONE && j.state == JOB_ACTIVE)
                j.state = JOB_FAILING, stop_rest(j);
            else if (j.state == JOB_ACTIVE)
                unblock(j);
        }
        settle(j);
        return true;
    }
    bool cancel(int64_t id)
    {
        if (!jobs.count(id) || jobs[id].state >= JOB_CANCELLING)
            return false;
        jobs[id].state = JOB_CANCELLING;
        stop_rest(jobs[id]);
        settle(jobs[id]);
        return true;
    }
    bool drop(int64_t id) { return jobs.count(id) && jobs[id].state >= JOB_DONE && jobs.erase(id); }
};

const char kSpec[] =
    R"({"key":"%s","service":"s","queue":"q","steps":[{"name":"a","tasks":[{"kind":"c"},{"kind":"c"}]},)"
    R"({"name":"b","after":["a"],"tasks":[{"kind":"c","payload":"p"}]}]})";

bool fold(rows *r, op &o) { return rows_fold(r, &o) == ERROR_NONE; }

void same(const Model &model, const rows *r)
{
    ASSERT_EQ((size_t)r->n_jobs, model.jobs.size());
    int64_t live = 0;
    for (auto &[id, want] : model.jobs) {
        const job *have = rows_find_job(r, id);
        ASSERT_NE(have, nullptr);
        ASSERT_EQ(have->state, want.state) << id;
        for (size_t i = 0; i < want.rows.size(); i++) {
            ASSERT_EQ(have->rows[i].state, want.rows[i].state) << id << "/" << i;
            ASSERT_EQ(have->rows[i].attempt, want.rows[i].attempt);
            ASSERT_EQ(have->rows[i].failures, want.rows[i].failures);
            live += !Model::over(want.rows[i]);
        }
    }
    ASSERT_EQ(r->n_live, live);
}

TEST(Rows, FoldIsWhatThePlainModelSays)
{
    for (unsigned seed = 1; seed <= 30; seed++) {
        std::mt19937 random(seed);
        Model model;
        rows r;
        rows_start(&r, 0);
        for (int step = 0; step < 600; step++) {
            int64_t id = 1 + random() % 12;
            int no = (int)(random() % 3), attempt = (int)(random() % 4);
            op o = {};
            o.job = id, o.no = no, o.attempt = attempt, o.time_ms = step;
            bool want = false;
            place places[2] = {};
            char name[] = "e1";
            switch (random() % 7) {
            case 0: {
                char body[400], key[20];
                validation_error f;
                snprintf(key, sizeof key, "k%lld", (long long)id);
                snprintf(body, sizeof body, kSpec, key);
                job_spec spec = {};
                ASSERT_EQ(schema_from_text(&job_spec_schema, &spec, body, (int64_t)strlen(body), &f), ERROR_NONE);
                o.kind = OP_JOB, o.spec = &spec;
                want = model.add(id);
                ASSERT_EQ(fold(&r, o), want);
                schema_free(&job_spec_schema, &spec);
                continue;
            }
            case 1:
            case 2: {
                o.kind = OP_PLACED, o.places = places, o.n_places = 1 + (int)(random() % 2);
                std::vector<int> nos;
                for (int i = 0; i < o.n_places; i++) {
                    places[i].no = (no + i) % 3, places[i].attempt = attempt, places[i].executor = name;
                    nos.push_back((int)places[i].no);
                }
                want = model.place(id, nos, attempt);
                break;
            }
            case 3:
                o.kind = OP_NACK, o.failed = random() % 2;
                want = model.end(id, no, attempt, 0, o.failed, true);
                break;
            case 4:
                o.kind = OP_END, o.failed = random() % 2, o.state = ROW_DONE + (int)(random() % 5);
                want = model.end(id, no, attempt, (int)o.state, o.failed, false);
                break;
            case 5:
                o.kind = OP_CANCEL;
                want = random() % 3 ? false : true;
                if (!want)
                    continue;
                want = model.cancel(id);
                break;
            default: o.kind = OP_DROP; want = model.drop(id);
            }
            ASSERT_EQ(fold(&r, o), want) << "seed " << seed << " step " << step << " kind " << o.kind;
            if (step % 50 == 0) {
                bytes snapshot = {}, again = {};
                rows_snapshot(&r, &snapshot);
                ASSERT_EQ(rows_restore(&r, &snapshot), ERROR_NONE);
                rows_snapshot(&r, &again);
                ASSERT_EQ(snapshot.len, again.len);
                ASSERT_EQ(memcmp(snapshot.at, again.at, (size_t)snapshot.len), 0);
                bytes_free(&snapshot);
                bytes_free(&again);
            }
            same(model, &r);
        }
        rows_end(&r);
    }
}

TEST(Rows, BatchesAreTakenOnceInOrderAndUnderTheCurrentEpochOnly)
{
    rows r;
    rows_start(&r, 0);
    op redirect = {};
    char key[] = "k";
    redirect.kind = OP_REDIRECT, redirect.key = key, redirect.to_shard = 3;
    auto apply = [&](int64_t epoch, int64_t open, int64_t seq, int64_t n) {
        batch b = {};
        op ops[2] = {redirect, redirect};
        b.epoch = epoch, b.open = open, b.seq = seq, b.ops = ops, b.n_ops = n;
        batch_result result = {};
        rows_apply_batch(&r, &b, &result);
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
    EXPECT_EQ(rows_find_key(&r, "k"), -4);
    EXPECT_EQ(r.n_redirects, 1);
    rows_end(&r);
}

} // namespace
