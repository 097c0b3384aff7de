// Explores log and controller under all interleavings within the bounds of each study (studies.cc).
//   SAGEHITCH_MODEL_STATES=N, _ODD=N, _SECONDS=N    set other bounds
//   SAGEHITCH_MODEL_REPLAY="study: choices"         replays a printed line (Replay.*)
#include <gtest/gtest.h>

#include <cstdlib>

#include "explorer.h"

namespace model
{

namespace
{

constexpr int DEPTH = 400; /* of choices; longer than every path within the bounds on odd choices */

double bound(const char *name, double otherwise)
{
    const char *given = getenv(name);
    return given ? atof(given) : otherwise;
}

class Model : public testing::TestWithParam<size_t>
{
};

TEST_P(Model, HoldsWithinItsBounds)
{
    const Study &study = studies()[GetParam()];
    Bounds bounds = {(int)bound("SAGEHITCH_MODEL_ODD", study.odd_choices), DEPTH,
                     (int64_t)bound("SAGEHITCH_MODEL_STATES", 1e6), bound("SAGEHITCH_MODEL_SECONDS", 0)};
    SearchResult result = explore(study, bounds);
    printf("model %-10s %8lld states, depth %d, every run with up to %d odd choices%s, %.0f states a second\n",
           study.name, (long long)result.states, result.depth, result.odd_choices,
           result.exhaustive ? "" : " and part of the next", (double)result.steps / (result.seconds + 1e-9));
    EXPECT_EQ(result.violation, "") << "SAGEHITCH_MODEL_REPLAY=\"" << study.name << ": " << result.trace << "\"";
}

// Replays a line as printed above, "study: choices"; by default a run in which two nodes lead in turn.
TEST(Replay, LineIsReplayed)
{
    const char *given = getenv("SAGEHITCH_MODEL_REPLAY");
    std::string line = given ? given : "copies: G0 Z0 T1 * G0 T1 *";
    const Study *study = study_named(line.substr(0, line.find(':')));
    ASSERT_NE(study, nullptr) << line;
    EXPECT_EQ(replay(*study, line.substr(line.find(':') + 1)), "") << line;
}

INSTANTIATE_TEST_SUITE_P(Studies, Model, testing::Range<size_t>(0, studies().size()),
                         [](const testing::TestParamInfo<size_t> &info) { return studies()[info.param].name; });

} // namespace
} // namespace model
