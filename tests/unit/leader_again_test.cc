// Requests that are resent after their response was lost, while the configuration changed in between. A request that
// was accepted is acknowledged again or answered with ERROR_OUTCOME_UNKNOWN, but never refused.
#include "leader_rig.h"

using namespace leader_rig;

namespace
{

struct ResentRequests : testing::Test {
    Rig rig;
    const std::vector<step_spec> one = {Rig::step(1, 100)};
    int64_t version = 1;

    // Applies the next configuration, with these queues (name and prefix).
    void configure(const std::vector<std::pair<std::string, std::string>> &queues)
    {
        record_op op = {};
        config_change &change = *record_op_make_config(&op);
        change.base = version++;
        std::vector<record_build::Queue> list;
        for (auto &[name, prefix] : queues)
            list.push_back({name, 1000});
        change.config = record_build::config_of(version, list, "raw " + std::to_string(version));
        for (size_t i = 0; i < queues.size(); i++) {
            free(change.config.queues[i].prefix);
            change.config.queues[i].prefix = must_dup(queues[i].second.c_str());
        }
        ASSERT_EQ(record_apply(&rig.record, &op), 0);
        schema_free(&record_op_schema, &op);
    }
    int64_t answer_to(int64_t ticket)
    {
        rig.settle();
        EXPECT_EQ(rig.answers[ticket].size(), 1u);
        return rig.answers[ticket].empty() ? -99 : rig.answers[ticket][0].error;
    }
    int64_t job(int64_t id, const std::vector<step_spec> &steps)
    {
        return answer_to(rig.request_job(id, NORMAL, steps));
    }
    int64_t state(int64_t id) { return answer_to(rig.request_state(id)); }
    int64_t cancel(int64_t id)
    {
        return answer_to(rig.request(NORMAL, [&](api_request &a) { api_request_make_cancel(&a, id); }));
    }
    void remove_queue() { configure({{"urgent", "/urgent/"}}); }
    void replace_queue() { configure({{"urgent", "/urgent/"}, {"other", "/normal/"}}); }
};

TEST_F(ResentRequests, JobOfRemovedQueueIsAnsweredGaveUp)
{
    rig.add(1, NORMAL, one);
    remove_queue();
    EXPECT_EQ(job(1, one), ERROR_OUTCOME_UNKNOWN) << "it was accepted before";
    EXPECT_EQ(job(1, {Rig::step(2, 100)}), ERROR_NOT_FOUND) << "this one was not accepted";
    EXPECT_EQ(job(2, one), ERROR_NOT_FOUND);
    EXPECT_EQ(rig.record.n_jobs, 1);
    rig.run(100);
    configure({{"normal", "/normal/"}});
    EXPECT_EQ(job(1, one), 0);
    EXPECT_EQ(job(1, {Rig::step(2, 100)}), ERROR_KEY_TAKEN);
}

TEST_F(ResentRequests, JobWhosePathBelongsToAnotherQueueIsAcknowledged)
{
    rig.add(1, NORMAL, one);
    replace_queue();
    EXPECT_EQ(job(1, one), 0);
    EXPECT_EQ(job(1, {Rig::step(2, 100)}), ERROR_KEY_TAKEN);
    EXPECT_EQ(state(1), 0) << "an accepted job must not be reported as gone";
    EXPECT_EQ(cancel(1), 0);
    EXPECT_EQ(record_job(&rig.record, 1)->state, JOB_CANCELLED);
    EXPECT_EQ(job(2, one), 0);
    EXPECT_STREQ(rig.record.queues[record_job(&rig.record, 2)->queue].config.name, "other")
        << "a new job belongs to the new queue";
}

TEST_F(ResentRequests, CancelOfJobOfRemovedQueueIsAnsweredGaveUp)
{
    rig.add(1, NORMAL, one);
    rig.add(2, NORMAL, one);
    EXPECT_EQ(cancel(1), 0);
    EXPECT_EQ(cancel(1), 0) << "resent";
    remove_queue();
    EXPECT_EQ(cancel(1), ERROR_OUTCOME_UNKNOWN) << "it was accepted before";
    EXPECT_EQ(cancel(2), ERROR_NOT_FOUND) << "this one was not accepted";
    EXPECT_NE(record_job(&rig.record, 2)->state, JOB_CANCELLED);
}

TEST_F(ResentRequests, EndedJobIsAcknowledgedAndNotRunAgain)
{
    rig.add(1, NORMAL, one);
    EXPECT_EQ(cancel(1), 0);
    EXPECT_EQ(job(1, one), 0);
    EXPECT_EQ(record_job(&rig.record, 1)->state, JOB_CANCELLED);
    rig.now += 600000, rig.wall += 600000; /* past its retention time */
    rig.run(100);
    EXPECT_EQ(record_job(&rig.record, 1), nullptr);
    EXPECT_EQ(cancel(1), ERROR_GONE);
}

} // namespace

// Guards against runs that lapse while they run: a report of a former incarnation, overtaken by reports of the next
// one, was taken for the proof that the next one had ended.
TEST(LeaderReports, OvertakenReportIsIgnored)
{
    Rig rig;
    rig.executor();
    rig.run(500);
    rig.executors.push_back(rig.executors.front());
    Executor &former = rig.executors.front(), &next = rig.executors.back();
    former.up = false;
    next.incarnation = "N";
    rig.report(next);
    job *j = rig.add(1, NORMAL, {Rig::step(1, 500)});
    rig.run(300);
    ASSERT_EQ(next.active.size(), 1u);
    rig.report(former, 400);
    rig.run(300);
    EXPECT_EQ(j->n_placed, 1);
    EXPECT_EQ(j->rows[0].attempt, 1);
    EXPECT_EQ(rig.executor_of(j), &next);
}
