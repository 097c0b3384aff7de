// The record: single rules of its ops.
#include <gtest/gtest.h>

#include <algorithm>
#include <ctime>
#include <utility>

#include "record_build.h"

using namespace record_build;

namespace
{

struct Record : testing::Test {
    struct record r = {};
    std::vector<std::pair<int64_t, int64_t>> notified; // calls of changed: job id, row index
    int64_t now = 1000;

    static void on_changed(void *arg, struct job *job, int64_t row_index)
    {
        ((Record *)arg)->notified.emplace_back(job->spec.id, row_index);
    }
    void SetUp() override
    {
        record_start(&r);
        r.changed = on_changed;
        r.arg = this;
        ASSERT_EQ(config(0, 3, {{"a", 2}, {"b", 0}}, "three"), 0);
    }
    void TearDown() override { record_end(&r); }

    template <class F> int apply(F fill)
    {
        Batch b;
        fill(b);
        return record_apply(&r, &b.batch.ops[0]);
    }
    int config(int64_t base, int64_t version, const std::vector<Queue> &queues, const std::string &raw)
    {
        return apply([&](Batch &b) { b.conf(now, base, version, queues, raw); });
    }
    int add(int64_t id, const Spec &spec, const std::string &queue = "a", const std::string &text = "text")
    {
        return apply([&](Batch &b) { b.job(now, id, spec, queue, text); });
    }
    int cancel(int64_t id)
    {
        return apply([&](Batch &b) { b.cancel(now, id); });
    }
    int place(const std::vector<run_ref> &runs, const std::string &incarnation = "life-1")
    {
        return apply([&](Batch &b) { b.place(now, incarnation, 7, runs); });
    }
    int end(const std::vector<End> &ends)
    {
        return apply([&](Batch &b) { b.end(now, ends); });
    }
    int forget(int64_t id)
    {
        return apply([&](Batch &b) { b.forget(now, {id}); });
    }
    struct job *job(int64_t id) { return record_job(&r, id); }
    bool was_notified(int64_t id, int64_t row_index)
    {
        return std::find(notified.begin(), notified.end(), std::make_pair(id, row_index)) != notified.end();
    }
};

TEST_F(Record, ConfigIsAppliedOnceAndOnlyOnItsBase)
{
    EXPECT_EQ(config(0, 3, {{"a", 2}, {"b", 0}}, "three"), 0); // resent
    EXPECT_EQ(config(0, 3, {{"a", 2}}, "other"), ERROR_STALE);
    EXPECT_EQ(config(0, 5, {{"a", 2}}, "five"), ERROR_STALE);
    EXPECT_EQ(config(3, 2, {{"a", 2}}, "two"), ERROR_STALE);
    EXPECT_EQ(add(1, two, "b"), 0);
    EXPECT_EQ(config(3, 5, {{"c", 1}, {"a", 4}}, "five"), 0);
    EXPECT_EQ(r.n_queues, 3);
    EXPECT_EQ(r.queues[0].config.attempts_max, 4);
    EXPECT_TRUE(r.queues[1].removed);
    EXPECT_STREQ(r.queues[1].config.name, "b");
    EXPECT_EQ(r.queues[1].live, 1);
    EXPECT_EQ(add(2, two, "b"), ERROR_NOT_FOUND);
    EXPECT_EQ(add(1, two, "b"), 0); // resent after its queue was removed
    EXPECT_EQ(config(5, 6, {{"b", 1}}, "six"), 0);
    EXPECT_FALSE(r.queues[1].removed);
    EXPECT_TRUE(r.queues[0].removed);
    EXPECT_EQ(add(2, two, "b"), 0);
}

// The response to a change may be lost, and later changes applied after it. If it is resent, it is acknowledged.
TEST_F(Record, ConfigResentAfterLaterChangesIsAcknowledged)
{
    EXPECT_EQ(config(3, 5, {{"a", 5}}, "five"), 0);
    EXPECT_EQ(config(5, 9, {{"a", 9}}, "nine"), 0);
    std::string before = snapshot_of(&r);
    EXPECT_EQ(config(3, 5, {{"a", 5}}, "five"), 0);
    EXPECT_EQ(config(0, 3, {{"a", 2}, {"b", 0}}, "three"), 0);
    EXPECT_EQ(config(5, 9, {{"a", 9}}, "nine"), 0);
    EXPECT_EQ(snapshot_of(&r), before) << "resent changes must have no effect";
    EXPECT_EQ(r.config.version, 9);
    EXPECT_EQ(config(3, 5, {{"a", 5}}, "fife"), ERROR_STALE) << "another body with the same version";
    EXPECT_EQ(config(0, 5, {{"a", 5}}, "five"), ERROR_STALE) << "another base";
    EXPECT_EQ(config(3, 4, {{"a", 5}}, "four"), ERROR_STALE)
        << "another change of this base was first, as the history shows";
    EXPECT_EQ(config(3, 7, {{"a", 5}}, "seven"), ERROR_STALE);
    EXPECT_EQ(config(5, 10, {{"a", 5}}, "ten"), ERROR_STALE);
}

// A configuration of 4 MiB with 20000 queues, and a second one that removes half of them. Applying them must take much
// less time than a leader may be silent; the limit of 3 s allows for a machine that is twenty times slower.
TEST_F(Record, ConfigWithManyQueuesIsAppliedQuickly)
{
    std::vector<Queue> all, half;
    for (int i = 0; i < 20000; i++) {
        all.push_back({"queue-" + std::to_string(i), 3});
        if (i % 2)
            half.push_back(all.back());
    }
    std::string raw(4u << 20, 'x');
    clock_t begun = clock();
    EXPECT_EQ(config(3, 5, all, raw), 0);
    EXPECT_EQ(config(5, 7, half, raw + "y"), 0);
    EXPECT_LT((double)(clock() - begun) / CLOCKS_PER_SEC, 3.0);
    EXPECT_EQ(r.n_queues, 20002);
    EXPECT_TRUE(r.queues[record_queue(&r, "queue-4")].removed);
    EXPECT_FALSE(r.queues[record_queue(&r, "queue-5")].removed);
    EXPECT_EQ(config(3, 5, all, raw), 0) << "resent";
    all[9].name = all[8].name;
    EXPECT_EQ(config(7, 8, all, raw), ERROR_BAD_FIELD);
}

TEST_F(Record, TwoConfigsWithSameVersion)
{
    EXPECT_EQ(config(3, 5, {{"a", 5}}, "mine"), 0);
    EXPECT_EQ(config(3, 5, {{"a", 5}}, "your"), ERROR_STALE);
    EXPECT_EQ(config(3, 5, {{"a", 5}}, "mine"), 0);
    EXPECT_EQ(config(5, 6, {{"a", 6}}, "six"), 0);
    EXPECT_EQ(config(3, 5, {{"a", 5}}, "your"), ERROR_STALE);
    EXPECT_EQ(config(3, 5, {{"a", 5}}, "mine"), 0);
}

TEST_F(Record, ConfigOlderThanHistoryIsAnsweredGaveUp)
{
    auto version = [](int64_t n) { return 3 + 2 * n; };
    auto change = [&](int64_t n) {
        return config(version(n - 1), version(n), {{"a", n}}, "body " + std::to_string(n));
    };
    for (int64_t n = 1; n < CHANGES_KEPT; n++)
        ASSERT_EQ(change(n), 0);
    EXPECT_EQ(config(0, 3, {{"a", 2}, {"b", 0}}, "three"), 0) << "the history still has all changes";
    EXPECT_EQ(config(0, 2, {{"a", 2}}, "two"), ERROR_STALE);
    ASSERT_EQ(change(CHANGES_KEPT), 0);
    ASSERT_EQ(change(CHANGES_KEPT + 1), 0);
    EXPECT_EQ(config(0, 3, {{"a", 2}, {"b", 0}}, "three"), ERROR_OUTCOME_UNKNOWN);
    EXPECT_EQ(config(0, 2, {{"a", 2}}, "two"), ERROR_OUTCOME_UNKNOWN);
    EXPECT_EQ(change(1), ERROR_OUTCOME_UNKNOWN);
    EXPECT_EQ(change(2), 0) << "the oldest change in the history";
    EXPECT_EQ(config(version(1), version(2), {{"a", 2}}, "other"), ERROR_STALE);
    EXPECT_EQ(config(version(2), version(2) + 1, {{"a", 2}}, "other"), ERROR_STALE);
    // the same after restoring a snapshot
    struct record other = {};
    record_start(&other);
    std::string packed = snapshot_of(&r);
    bytes from = {};
    bytes_add(&from, packed.data(), (int64_t)packed.size());
    ASSERT_EQ(record_restore(&other, &from), 0);
    bytes_free(&from);
    EXPECT_EQ(snapshot_of(&other), packed);
    std::swap(r, other);
    EXPECT_EQ(change(1), ERROR_OUTCOME_UNKNOWN);
    EXPECT_EQ(change(2), 0);
    EXPECT_EQ(change(CHANGES_KEPT + 1), 0);
    EXPECT_EQ(config(version(2), version(2) + 1, {{"a", 2}}, "other"), ERROR_STALE);
    EXPECT_LT(packed.size(), 16u << 10) << "size of a snapshot with a full history";
    record_end(&other);
}

TEST_F(Record, ResentJobIsOneJob)
{
    EXPECT_EQ(add(-5, two), 0);
    EXPECT_EQ(add(-5, two), 0);
    EXPECT_EQ(r.n_jobs, 1);
    EXPECT_EQ(add(-5, two, "a", "other"), ERROR_KEY_TAKEN);
    EXPECT_EQ(add(-5, two, "b"), ERROR_KEY_TAKEN);
    EXPECT_EQ(add(-5, gang), ERROR_KEY_TAKEN);
    EXPECT_EQ(add(6, two, "x"), ERROR_NOT_FOUND);
    EXPECT_EQ(cancel(-5), 0);
    EXPECT_EQ(job(-5)->rows, nullptr);
    EXPECT_EQ(add(-5, two), 0);
    EXPECT_EQ(add(-5, gang), ERROR_KEY_TAKEN);
    EXPECT_EQ(job(-5)->state, JOB_CANCELLED);
    EXPECT_EQ(forget(-5), 0);
    EXPECT_EQ(cancel(-5), ERROR_GONE);
    EXPECT_EQ(forget(-5), ERROR_GONE);
}

TEST_F(Record, StepsWaitForDependenciesAndJobEndsAsDone)
{
    add(1, two);
    EXPECT_EQ(place({{1, task_of(0, 1, 0), 1}}), ERROR_STALE);
    EXPECT_EQ(job(1)->state, JOB_PENDING);
    EXPECT_EQ(place({{1, 0, 1}, {1, 1, 1}, {1, 2, 1}, {9, 0, 1}, {1, task_of(1, 0, 0), 1}, {1, 0, 2}}), 0);
    EXPECT_EQ(job(1)->state, JOB_ACTIVE);
    EXPECT_EQ(r.incarnations[0].placed, 2);
    EXPECT_EQ(end({{1, 0, 2, END_DONE, ""}}), ERROR_STALE);
    EXPECT_EQ(end({{1, 0, 1, END_DONE, ""}, {1, 0, 1, END_DONE, ""}, {1, 1, 1, END_STOPPED, "half"}}), 0);
    EXPECT_EQ(end({{1, 0, 1, END_DONE, ""}}), ERROR_STALE);
    EXPECT_STREQ(job(1)->rows[1].checkpoint, "half");
    EXPECT_EQ(job(1)->n_done, 1);
    EXPECT_EQ(job(1)->waiting[0], 1);
    now = 2000;
    EXPECT_EQ(end({{1, 1, 1, END_DONE, ""}}), 0); // the stopped attempt was done after all
    EXPECT_TRUE(job_step_is_ready(job(1), 0, 1));
    EXPECT_EQ(place({{1, task_of(0, 1, 0), 1}}), 0);
    notified.clear();
    EXPECT_EQ(end({{1, task_of(0, 1, 0), 1, END_DONE, ""}}), 0);
    EXPECT_EQ(job(1)->state, JOB_DONE);
    EXPECT_EQ(job(1)->ended_ms, 2000);
    EXPECT_EQ(job(1)->rows, nullptr);
    EXPECT_EQ(r.oldest, nullptr);
    EXPECT_EQ(r.n_live, 0);
    EXPECT_EQ(r.incarnations[0].placed, 0);
    EXPECT_EQ(notified, (std::vector<std::pair<int64_t, int64_t>>{{1, 2}, {1, -1}}));
}

TEST_F(Record, OneMemberDoneEndsTheGang)
{
    add(1, gang);
    EXPECT_EQ(place({{1, 0, 1}, {1, 1, 1}, {1, 2, 0}}), ERROR_STALE); // a gang is placed as a whole or not at all
    EXPECT_EQ(place({{1, 0, 1}, {1, 1, 1}, {1, 1, 1}, {1, 2, 1}}), ERROR_STALE);
    EXPECT_EQ(job(1)->n_placed, 0);
    EXPECT_EQ(place({{1, 0, 1}, {1, 1, 1}, {1, 2, 1}}), 0);
    EXPECT_EQ(end({{1, 2, 1, END_BROKEN, ""}}), 0);
    notified.clear();
    EXPECT_EQ(end({{1, 1, 1, END_DONE, ""}}), 0);
    EXPECT_EQ(job(1)->n_done, 3);
    EXPECT_EQ(job(1)->n_placed, 0);
    EXPECT_EQ(r.incarnations[0].placed, 0);
    EXPECT_EQ(notified.size(), 3u);
    EXPECT_TRUE(job_step_is_ready(job(1), 0, 1));
    EXPECT_EQ(end({{1, 0, 1, END_FAILED, ""}}), ERROR_STALE);
}

TEST_F(Record, GangFailureCountsOncePerAttempt)
{
    add(1, gang);
    place({{1, 0, 1}, {1, 1, 1}, {1, 2, 1}});
    EXPECT_EQ(end({{1, 0, 1, END_FAILED, "s1"}, {1, 1, 1, END_FAILED, ""}}), 0);
    for (int row_index = 0; row_index < 3; row_index++) {
        EXPECT_EQ(job(1)->rows[row_index].failures, 1);
        EXPECT_STREQ(job(1)->rows[row_index].checkpoint, "s1");
    }
    EXPECT_EQ(job(1)->rows[2].state, ROW_PLACED);
    EXPECT_EQ(job(1)->rows[3].failures, 0);
    EXPECT_EQ(end({{1, 2, 1, END_BROKEN, "s2"}}), 0);
    EXPECT_STREQ(job(1)->rows[0].checkpoint, "s2");
    place({{1, 0, 2}, {1, 1, 2}, {1, 2, 2}});
    notified.clear();
    now = 3000;
    EXPECT_EQ(end({{1, 1, 2, END_FAILED, ""}}), 0);
    EXPECT_EQ(job(1)->state, JOB_FAILED);
    EXPECT_EQ(job(1)->ended_ms, 3000);
    EXPECT_TRUE(was_notified(1, -1));
    EXPECT_EQ(job(1)->rows[1].state, ROW_FAILED);
    EXPECT_EQ(r.incarnations[0].placed, 2); // the other members are still placed
    EXPECT_EQ(r.n_live, 1);
    EXPECT_EQ(forget(1), ERROR_GONE);
    EXPECT_EQ(end({{1, 0, 2, END_DONE, ""}}), 0);
    EXPECT_EQ(job(1)->n_done, 0);
    EXPECT_EQ(end({{1, 2, 2, END_FAILED, ""}}), 0);
    EXPECT_EQ(job(1)->rows, nullptr);
    EXPECT_EQ(r.n_live, 0);
    EXPECT_EQ(job(1)->ended_ms, 3000);
}

TEST_F(Record, CancelledJobKeepsPlacedRows)
{
    add(1, two);
    add(2, two);
    place({{1, 0, 1}});
    EXPECT_EQ(cancel(1), 0);
    EXPECT_TRUE(job_over(job(1)));
    EXPECT_EQ(r.oldest, job(1));
    EXPECT_EQ(r.incarnations[0].placed, 1);
    EXPECT_EQ(place({{1, 1, 1}}), ERROR_STALE);
    EXPECT_EQ(cancel(1), 0);
    notified.clear();
    EXPECT_EQ(end({{1, 0, 1, END_STOPPED, ""}}), 0);
    EXPECT_EQ(notified, (std::vector<std::pair<int64_t, int64_t>>{{1, 0}, {1, -1}}));
    EXPECT_EQ(job(1)->rows, nullptr);
    EXPECT_EQ(job(1)->state, JOB_CANCELLED);
    EXPECT_EQ(r.oldest, job(2));
    EXPECT_EQ(r.queues[0].live, 1);
}

TEST_F(Record, LongRunningTasksContinueUntilCancelled)
{
    add(1, {{{2, {}, false, true}}, 0}, "b");
    for (int attempt = 1; attempt < 6; attempt++) {
        EXPECT_EQ(place({{1, 0, attempt}}), 0);
        EXPECT_EQ(end({{1, 0, attempt, attempt % 2 ? END_FAILED : END_DONE, attempt == 2 ? "kept" : ""}}), 0);
        EXPECT_EQ(end({{1, 0, attempt, END_DONE, ""}}), ERROR_STALE);
        EXPECT_EQ(job(1)->rows[0].state, ROW_WAITING);
    }
    EXPECT_EQ(job(1)->rows[0].failures, 0);
    EXPECT_EQ(job(1)->state, JOB_ACTIVE);
    EXPECT_STREQ(job(1)->rows[0].checkpoint, "kept");
}

TEST_F(Record, AttemptsMaxZeroCountsAsOne)
{
    add(1, two, "b");
    place({{1, 0, 1}});
    EXPECT_EQ(end({{1, 0, 1, END_FAILED, ""}}), 0);
    EXPECT_EQ(job(1)->state, JOB_FAILED);
    EXPECT_EQ(job(1)->rows, nullptr);
}

TEST_F(Record, RepetitionsAreIndependent)
{
    add(1, {{{2, {}}, {3, {0}}}, 3});
    struct job *j = job(1);
    EXPECT_EQ(j->repetitions, 3);
    EXPECT_EQ(job_due_ms(j, 2), 5200);
    for (int64_t row_index = 0; row_index < 15; row_index++) {
        int64_t repetition, step, index;
        job_row_position(j, row_index, &repetition, &step, &index);
        EXPECT_EQ(row_index, repetition * 5 + (step ? 2 : 0) + index);
        EXPECT_EQ(job_row(j, job_task(j, row_index)), row_index);
    }
    EXPECT_EQ(job_row(j, task_of(3, 0, 0)), -1);
    EXPECT_EQ(job_row(j, task_of(0, 2, 0)), -1);
    EXPECT_EQ(job_row(j, task_of(0, 0, 2)), -1);
    EXPECT_EQ(job_row(j, -1), -1);
    place({{1, task_of(1, 0, 0), 1}, {1, task_of(1, 0, 1), 1}});
    end({{1, task_of(1, 0, 0), 1, END_DONE, ""}, {1, task_of(1, 0, 1), 1, END_DONE, ""}});
    EXPECT_TRUE(job_step_is_ready(j, 1, 1));
    EXPECT_FALSE(job_step_is_ready(j, 0, 1));
}

TEST_F(Record, IncarnationsWithoutRowsAreReused)
{
    add(1, two);
    place({{1, 0, 1}}, "x");
    place({{1, 1, 1}}, "y");
    end({{1, 0, 1, END_LAPSED, ""}});
    place({{1, 0, 2}}, "y");
    EXPECT_EQ(job(1)->rows[0].incarnation, 1);
    end({{1, 0, 2, END_LAPSED, ""}});
    place({{1, 0, 3}}, "z");
    EXPECT_EQ(r.n_incarnations, 2);
    EXPECT_STREQ(r.incarnations[0].name, "z");
    EXPECT_EQ(job(1)->rows[0].incarnation, 0);
}

TEST_F(Record, TruncatedSnapshotIsRefused)
{
    add(1, gang);
    add(2, two);
    place({{1, 0, 1}, {1, 1, 1}, {1, 2, 1}});
    cancel(2);
    std::string whole = snapshot_of(&r);
    for (size_t len = 0; len < whole.size(); len++) {
        struct record to;
        record_start(&to);
        bytes part = {(uint8_t *)whole.data(), (int64_t)len, (int64_t)len};
        EXPECT_NE(record_restore(&to, &part), 0);
        EXPECT_EQ(to.n_jobs, 0);
        record_end(&to);
    }
    bytes nonsense = {(uint8_t *)whole.data(), 3, 3};
    EXPECT_EQ(record_apply_batch(&r, &nonsense, nullptr), ERROR_BAD_FRAME);
}

} // namespace
