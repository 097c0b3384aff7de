// Tests of the season's oracle: it must detect violations that are inserted into a valid history.
#include "season_driver.h"

using namespace season;

namespace
{

struct SeasonOracleTest : testing::Test {
    static History &valid_history()
    {
        static History history = [] {
            SeasonDriver driver(3);
            for (int64_t no = 0; no < 2; no++)
                driver.day(no, true);
            for (int64_t no = 2; no < 6 && driver.leader->r.n_live; no++)
                driver.day(no, false);
            return driver.history;
        }();
        return history;
    }
    static size_t find(const History &history, std::function<bool(const Event &)> wanted)
    {
        for (size_t i = history.size() / 3; i < history.size(); i++)
            if (wanted(history[i]))
                return i;
        ADD_FAILURE() << "nothing to tamper with";
        return 0;
    }
    static bool detected(const History &history, const std::string &what)
    {
        SeasonOracle oracle(history);
        for (const std::string &violation : oracle.violations)
            if (violation.find(what) != std::string::npos)
                return true;
        return false;
    }
};

TEST_F(SeasonOracleTest, AValidHistoryHasNoViolations) { expect_no_violations(SeasonOracle(valid_history())); }

TEST_F(SeasonOracleTest, AJobUnderAnotherRule)
{
    History history = valid_history();
    history[find(history, [](const Event &event) { return event.kind == JOB_RULES_READ; })].values["inTurn"] ^= 3;
    EXPECT_TRUE(detected(history, "shown under rules other"));
}

TEST_F(SeasonOracleTest, AJobUnderAnOlderVersion)
{
    History history = valid_history();
    history[find(history, [](const Event &event) { return event.kind == JOB_SUBMITTED; })].of_head += 1000;
    EXPECT_TRUE(detected(history, "older rules"));
    history = valid_history();
    history[find(history, [](const Event &event) { return event.kind == JOB_RULES_READ; })].of_head--;
    EXPECT_TRUE(detected(history, "versions other"));
}

TEST_F(SeasonOracleTest, AnAdjustmentLost)
{
    History history = valid_history();
    history[find(history, [](const Event &event) { return event.kind == OUTLET_RULES_READ && !event.values.empty(); })]
        .values.clear();
    EXPECT_TRUE(detected(history, "adjustments lost"));
}

TEST_F(SeasonOracleTest, AChangeThatIsNotInForce)
{
    History history = valid_history();
    history[find(history, [](const Event &event) { return event.kind == CHANGE_ACKNOWLEDGED; })].of_head++;
    EXPECT_TRUE(detected(history, "acknowledged that is not in force"));
}

TEST_F(SeasonOracleTest, ATaskThatRanTwice)
{
    History history = valid_history();
    size_t at = find(history, [](const Event &event) { return event.kind == TASK_STARTED; });
    history.insert(history.begin() + (long)at, history[at]);
    EXPECT_TRUE(detected(history, "ran twice"));
    history = valid_history();
    at = find(history, [](const Event &event) { return event.kind == TASK_ENDED && event.how == END_DONE; });
    history.insert(history.begin() + (long)at, history[at]);
    EXPECT_TRUE(detected(history, "done twice"));
}

TEST_F(SeasonOracleTest, AJobThatNeverEnds)
{
    History history = valid_history();
    history.erase(std::remove_if(history.begin() + (long)(history.size() * 9 / 10), history.end(),
                                 [](const Event &event) { return event.kind == COMMIT; }),
                  history.end());
    EXPECT_TRUE(detected(history, "never came to its end"));
}

// Applies a function to every op of a history.
void rewrite(History &history, std::function<void(record_op &)> how)
{
    for (Event &event : history) {
        record_batch batch = {};
        struct bytes packed = {};
        if (event.kind != COMMIT || schema_unpack(&record_batch_schema, &batch, (const uint8_t *)event.batch.data(),
                                                  (int64_t)event.batch.size()))
            continue;
        for (int64_t i = 0; i < batch.n; i++)
            how(batch.ops[i]);
        schema_pack(&record_batch_schema, &batch, &packed);
        event.batch.assign((const char *)packed.at, (size_t)packed.len);
        bytes_free(&packed);
        schema_free(&record_batch_schema, &batch);
    }
}

// Swaps the placements of two jobs that follow each other in one outlet and queue.
TEST_F(SeasonOracleTest, AJobOutOfTurn)
{
    std::map<std::string, int64_t> last;
    std::vector<std::pair<int64_t, int64_t>> pairs;
    std::set<int64_t> follows; // jobs that start once the earlier ones have started
    History history = valid_history();
    for (const Event &event : history)
        if (event.kind == JOB_RULES_READ && event.values.count("inTurn") && event.values.at("inTurn") == TURN_BEGUN)
            follows.insert(event.job);
    rewrite(history, [&](record_op &op) {
        const job_op *job = op.kind == OP_JOB ? record_op_job(&op) : nullptr;
        if (!job || !job->spec.outlet)
            return;
        int64_t &before = last[std::string(job->spec.outlet) + " " + job->queue];
        if (before && follows.count(job->spec.id))
            pairs.push_back({before, job->spec.id});
        before = job->spec.id;
    });
    int found = 0;
    ASSERT_GT(pairs.size(), 50u);
    for (size_t i = 0; i < 8 && !found; i++) {
        auto [a, b] = pairs[pairs.size() / 8 * i];
        history = valid_history();
        rewrite(history, [a = a, b = b](record_op &op) {
            for (int64_t k = 0; op.kind == OP_PLACE && k < record_op_place(&op)->n_runs; k++) {
                int64_t &job = record_op_append_place(&op)->runs[k].job;
                job = job == a ? b : job == b ? a : job;
            }
        });
        found = detected(history, "placed before one that was accepted earlier");
    }
    EXPECT_TRUE(found);
}

// A task that starts before an earlier job has ended, and while its outlet runs as many tasks as its rules allow.
TEST_F(SeasonOracleTest, AStartTooEarly)
{
    History history = valid_history();
    // without the ends of tasks, every later start comes too early
    history.erase(
        std::remove_if(history.begin(), history.end(), [](const Event &event) { return event.kind == TASK_ENDED; }),
        history.end());
    EXPECT_TRUE(detected(history, "before an earlier one was over"));
    EXPECT_TRUE(detected(history, "more of its outlet at work"));
}

// Without the committed ends, the number of placed tasks grows beyond the limits.
TEST_F(SeasonOracleTest, MorePlacedThanTheRulesAllow)
{
    History history = valid_history();
    rewrite(history, [](record_op &op) {
        if (op.kind == OP_END)
            record_op_append_end(&op)->n_ended = 0;
    });
    EXPECT_TRUE(detected(history, "more of its outlet placed"));
}

TEST_F(SeasonOracleTest, AJobStartedOutsideItsOpeningHours)
{
    History history = valid_history();
    int64_t shift_ms = 6 * 3600000;
    rewrite(history, [shift_ms](record_op &op) { op.at_ms += shift_ms; });
    EXPECT_TRUE(detected(history, "outside its hours"));
}

} // namespace
