// Orders sent again after a lost answer, with another configuration taken in between: what was taken
// is acknowledged again or left without a clear answer, never refused.
#include "leader_rig.h"

using namespace leader_rig;

namespace
{

struct SentAgain : testing::Test {
    Rig t;
    const std::vector<step_spec> one = {Rig::step(1, 100)};
    int64_t version = 1;

    // The next configuration; its queues are these, by name and prefix.
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
        ASSERT_EQ(record_apply(&t.r, &op), 0);
        schema_free(&record_op_schema, &op);
    }
    int64_t told(int64_t ticket)
    {
        t.settle();
        EXPECT_EQ(t.answers[ticket].size(), 1u);
        return t.answers[ticket].empty() ? -99 : t.answers[ticket][0].error;
    }
    int64_t job(int64_t id, const std::vector<step_spec> &steps) { return told(t.request_job(id, NORMAL, steps)); }
    int64_t state(int64_t id) { return told(t.request_state(id)); }
    int64_t cancel(int64_t id)
    {
        return told(t.request(NORMAL, [&](api_request &a) { api_request_make_cancel(&a, id); }));
    }
    void dropped() { configure({{"urgent", "/urgent/"}}); }
    void replaced() { configure({{"urgent", "/urgent/"}, {"other", "/normal/"}}); }
};

TEST_F(SentAgain, AJobWhoseQueueWasDroppedGetsNoClearAnswer)
{
    t.add(1, NORMAL, one);
    dropped();
    EXPECT_EQ(job(1, one), ERROR_OUTCOME_UNKNOWN) << "it was taken";
    EXPECT_EQ(job(1, {Rig::step(2, 100)}), ERROR_NOT_FOUND) << "this one was not";
    EXPECT_EQ(job(2, one), ERROR_NOT_FOUND);
    EXPECT_EQ(t.r.n_jobs, 1);
    t.run(100);
    configure({{"normal", "/normal/"}});
    EXPECT_EQ(job(1, one), 0);
    EXPECT_EQ(job(1, {Rig::step(2, 100)}), ERROR_KEY_TAKEN);
}

TEST_F(SentAgain, AJobWhosePathIsAnotherQueuesIsAcknowledgedAndKnown)
{
    t.add(1, NORMAL, one);
    replaced();
    EXPECT_EQ(job(1, one), 0);
    EXPECT_EQ(job(1, {Rig::step(2, 100)}), ERROR_KEY_TAKEN);
    EXPECT_EQ(state(1), 0) << "an accepted job is never said to be gone";
    EXPECT_EQ(cancel(1), 0);
    EXPECT_EQ(record_job(&t.r, 1)->state, JOB_CANCELLED);
    EXPECT_EQ(job(2, one), 0);
    EXPECT_STREQ(t.r.queues[record_job(&t.r, 2)->queue].config.name, "other") << "a new one is the new queue's";
}

TEST_F(SentAgain, ACancelWhoseQueueWasDroppedGetsNoClearAnswer)
{
    t.add(1, NORMAL, one);
    t.add(2, NORMAL, one);
    EXPECT_EQ(cancel(1), 0);
    EXPECT_EQ(cancel(1), 0) << "sent again";
    dropped();
    EXPECT_EQ(cancel(1), ERROR_OUTCOME_UNKNOWN) << "it was taken";
    EXPECT_EQ(cancel(2), ERROR_NOT_FOUND) << "this one was not";
    EXPECT_NE(record_job(&t.r, 2)->state, JOB_CANCELLED);
}

TEST_F(SentAgain, AJobThatIsOverIsAcknowledgedAndNotRunAgain)
{
    t.add(1, NORMAL, one);
    EXPECT_EQ(cancel(1), 0);
    EXPECT_EQ(job(1, one), 0);
    EXPECT_EQ(record_job(&t.r, 1)->state, JOB_CANCELLED);
    t.now += 600000, t.wall += 600000; /* past its time to be shown */
    t.run(100);
    EXPECT_EQ(record_job(&t.r, 1), nullptr);
    EXPECT_EQ(cancel(1), ERROR_GONE);
}

} // namespace
