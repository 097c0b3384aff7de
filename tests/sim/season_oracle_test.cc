// A judge that notices nothing proves nothing: breaches planted into a good history.
#include "season_driver.h"

using namespace season;

namespace
{

struct Planted : testing::Test {
    static History &good()
    {
        static History history = [] {
            Office office(3);
            for (int64_t no = 0; no < 2; no++)
                office.day(no, true);
            for (int64_t no = 2; no < 6 && office.leader->r.n_live; no++)
                office.day(no, false);
            return office.history;
        }();
        return history;
    }
    static size_t find(const History &h, std::function<bool(const Event &)> wanted)
    {
        for (size_t i = h.size() / 3; i < h.size(); i++)
            if (wanted(h[i]))
                return i;
        ADD_FAILURE() << "nothing to tamper with";
        return 0;
    }
    static bool noticed(const History &h, const std::string &what)
    {
        Judge judge(h);
        for (const std::string &breach : judge.breaches)
            if (breach.find(what) != std::string::npos)
                return true;
        return false;
    }
};

TEST_F(Planted, NoneIsNoticedInTheGoodHistory) { expect_quiet(Judge(good())); }

TEST_F(Planted, AJobUnderAnotherRule)
{
    History h = good();
    h[find(h, [](const Event &e) { return e.kind == JOB_SHOWN; })].values["inTurn"] ^= 3;
    EXPECT_TRUE(noticed(h, "shown under rules other"));
}

TEST_F(Planted, AJobUnderAnOlderVersion)
{
    History h = good();
    h[find(h, [](const Event &e) { return e.kind == SENT; })].of_head += 1000;
    EXPECT_TRUE(noticed(h, "older rules"));
    h = good();
    h[find(h, [](const Event &e) { return e.kind == JOB_SHOWN; })].of_head--;
    EXPECT_TRUE(noticed(h, "versions other"));
}

TEST_F(Planted, AnAdjustmentLost)
{
    History h = good();
    h[find(h, [](const Event &e) { return e.kind == OUTLET_SHOWN && !e.values.empty(); })].values.clear();
    EXPECT_TRUE(noticed(h, "adjustments lost"));
}

TEST_F(Planted, AChangeThatIsNotInForce)
{
    History h = good();
    h[find(h, [](const Event &e) { return e.kind == TAKEN; })].of_head++;
    EXPECT_TRUE(noticed(h, "acknowledged that is not in force"));
}

TEST_F(Planted, ATaskThatRanTwice)
{
    History h = good();
    size_t at = find(h, [](const Event &e) { return e.kind == BEGUN; });
    h.insert(h.begin() + (long)at, h[at]);
    EXPECT_TRUE(noticed(h, "ran twice"));
    h = good();
    at = find(h, [](const Event &e) { return e.kind == ENDED && e.how == END_DONE; });
    h.insert(h.begin() + (long)at, h[at]);
    EXPECT_TRUE(noticed(h, "done twice"));
}

TEST_F(Planted, AJobThatNeverEnds)
{
    History h = good();
    h.erase(
        std::remove_if(h.begin() + (long)(h.size() * 9 / 10), h.end(), [](const Event &e) { return e.kind == COMMIT; }),
        h.end());
    EXPECT_TRUE(noticed(h, "never came to its end"));
}

// Changes every batch of a history.
void rewrite(History &h, std::function<void(record_op &)> how)
{
    for (Event &e : h) {
        record_batch batch = {};
        struct bytes packed = {};
        if (e.kind != COMMIT ||
            schema_unpack(&record_batch_schema, &batch, (const uint8_t *)e.batch.data(), (int64_t)e.batch.size()))
            continue;
        for (int64_t i = 0; i < batch.n; i++)
            how(batch.ops[i]);
        schema_pack(&record_batch_schema, &batch, &packed);
        e.batch.assign((const char *)packed.at, (size_t)packed.len);
        bytes_free(&packed);
        schema_free(&record_batch_schema, &batch);
    }
}

// Two jobs that follow each other in one line are placed in each other's stead.
TEST_F(Planted, AJobOutOfTurn)
{
    std::map<std::string, int64_t> last;
    std::vector<std::pair<int64_t, int64_t>> pairs;
    std::set<int64_t> follows; // begin once the one before has begun
    History h = good();
    for (const Event &e : h)
        if (e.kind == JOB_SHOWN && e.values.count("inTurn") && e.values.at("inTurn") == TURN_BEGUN)
            follows.insert(e.job);
    rewrite(h, [&](record_op &op) {
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
        h = good();
        rewrite(h, [a = a, b = b](record_op &op) {
            for (int64_t k = 0; op.kind == OP_PLACE && k < record_op_place(&op)->n_runs; k++) {
                int64_t &job = record_op_append_place(&op)->runs[k].job;
                job = job == a ? b : job == b ? a : job;
            }
        });
        found = noticed(h, "placed before one that was accepted earlier");
    }
    EXPECT_TRUE(found);
}

// An executor that begins before the one before is over, more than its outlet may, or at night.
TEST_F(Planted, AStartTooEarly)
{
    History h = good();
    // as if none had ended before the next began
    h.erase(std::remove_if(h.begin(), h.end(), [](const Event &e) { return e.kind == ENDED; }), h.end());
    EXPECT_TRUE(noticed(h, "before an earlier one was over"));
    EXPECT_TRUE(noticed(h, "more of its outlet at work"));
}

// Ends that nobody agreed on: the record's own count of placed tasks grows past the limits.
TEST_F(Planted, MorePlacedThanTheRulesAllow)
{
    History h = good();
    rewrite(h, [](record_op &op) {
        if (op.kind == OP_END)
            record_op_append_end(&op)->n_ended = 0;
    });
    EXPECT_TRUE(noticed(h, "more of its outlet placed"));
}

TEST_F(Planted, AJobBegunAtNight)
{
    History h = good();
    int64_t shift_ms = 6 * 3600000;
    rewrite(h, [shift_ms](record_op &op) { op.at_ms += shift_ms; });
    EXPECT_TRUE(noticed(h, "outside its hours"));
}

} // namespace
