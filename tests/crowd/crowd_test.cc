// Clients that do not behave against the real processes, at every address of controllers and agents. Whatever they
// send, each process must live, stay within the memory and the descriptors of its machine, and answer an ordinary
// request while the crowd is there and after it. The limits in the settings are lower than those of real machines, so
// that a small crowd suffices. No test depends on how fast the machine is.
#include <gtest/gtest.h>

#include "crowd.h"
#include "fleet.h"

extern "C" {
#include "base/frame.h"
}

using namespace crowd;

namespace
{

enum { MIB = 1 << 20, BODY_MAX = 8 << 20 /* the largest body that is served (docs/api.md) */ };

const MachineLimits CONTROLLER_LIMITS = {96, 400}, AGENT_LIMITS = {48, 400};
// The machines of the users' deployments (SYSTEM page).
const MachineLimits DEPLOYED_CONTROLLER_LIMITS = {260, 4100}, DEPLOYED_AGENT_LIMITS = {128, 4096};

const char *const TARGET_NAMES[] = {"Callers", "Operators", "Readiness", "Agent"};

const Shape SHAPES[] = {
    {"WholeBodies", 24, BODY_MAX - 1024, CONTENT_LENGTH, 0, MIB, 1},
    {"ShortOfTheirEnd", 24, BODY_MAX - 1024, CONTENT_LENGTH, 0, MIB, 6},
    {"PieceByPiece", 24, BODY_MAX - 1024, CONTENT_LENGTH, 0, 16 << 10, 6},
    {"LargeChunks", 24, BODY_MAX - 1024, CHUNKED, 256 << 10, MIB, 6},
    {"SmallChunks", 24, BODY_MAX - 1024, CHUNKED, 16, 64 << 10, 6},
    {"OverTheLimitAnnounced", 24, 4 * BODY_MAX, CONTENT_LENGTH, 0, MIB, 6},
    {"OverTheLimitSent", 24, 4 * BODY_MAX, CHUNKED, 64 << 10, MIB, 6},
};

// Of an ordinary request, with a member that nobody reads.
std::string body_for(Target target, const std::string &more)
{
    switch (target) {
    case OPERATORS: return Fleet::configuration(1000001, more);
    case AGENT: return Fleet::heartbeat(1000, more);
    default: return Fleet::job(more);
    }
}
std::string padded_body(Target target, size_t size)
{
    size_t bare = body_for(target, ",\"pad\":\"\"").size();
    return body_for(target, ",\"pad\":\"" + std::string(size - bare, 'x') + "\"");
}
// As long as size, of as many empty objects as fit.
std::string body_of_small_values(Target target, size_t size)
{
    size_t bare = body_for(target, ",\"pad\":[]").size();
    std::string values = "{}";
    while (values.size() + 3 <= size - bare)
        values += ",{}";
    return body_for(target, ",\"pad\":[" + values + "]");
}

// The head of the request that goes with body_for(), without the lines of its framing. base: If-Match of a
// configuration.
std::string head_for(Target target, int64_t number, int64_t base)
{
    switch (target) {
    case OPERATORS:
        return "PUT /sagehitch/configuration HTTP/1.1\r\nHost: x\r\nIf-Match: " + std::to_string(base) + "\r\n";
    case AGENT: return "PUT /sagehitch/executors/e-crowd HTTP/1.1\r\nHost: x\r\n";
    case READINESS: return "GET /sagehitch/readiness HTTP/1.1\r\nHost: x\r\n";
    default: return "POST /jobs/" + Fleet::job_name(1000000 + number) + " HTTP/1.1\r\nHost: jobs.example\r\n";
    }
}

// A fleet whose limits are watched.
struct Watched {
    Fleet fleet;
    std::string problems; // what was first found over the limits
    Watched(const MachineLimits &of_controllers, const MachineLimits &of_agent)
        : fleet(SAGEHITCH_BINARY, of_controllers, of_agent)
    {
    }
    void look()
    {
        if (problems.empty())
            problems = fleet.over_limits();
    }
    // A crowd sends this body to an address; returns the process that it attacks.
    const Controller &attack(Crowd &crowd, Target target, const Shape &shape, const std::string &body)
    {
        const Controller &attacked = fleet.attacked(target);
        crowd.open(attacked.address(), fleet.port(target), shape, body,
                   [target](int i) { return head_for(target, i, 1000000); });
        crowd.run(shape.piece, [this] { look(); });
        look();
        printf("%s\n", crowd.summary().c_str());
        return attacked;
    }
    void judge()
    {
        look();
        printf("%s\n", fleet.sizes().c_str());
        EXPECT_EQ(problems, "");
    }
};

class Crowds : public testing::TestWithParam<std::tuple<Target, Shape>>
{
};

} // namespace

TEST_P(Crowds, LeaveTheProcessesWithinTheirLimits)
{
    auto [target, shape] = GetParam();
    Watched watched(CONTROLLER_LIMITS, AGENT_LIMITS);
    Fleet &fleet = watched.fleet;
    ASSERT_TRUE(fleet.start());
    Crowd crowd;
    const Controller &attacked = watched.attack(crowd, target, shape, padded_body(target, shape.body));
    EXPECT_TRUE(fleet.ordinary(target, attacked)) << "no answer beside the crowd";
    watched.look();
    crowd.leave();
    EXPECT_TRUE(fleet.ordinary(target, attacked)) << "no answer after the crowd";
    watched.judge();
}

INSTANTIATE_TEST_SUITE_P(
    Every, Crowds, testing::Combine(testing::Values(CALLERS, OPERATORS, READINESS, AGENT), testing::ValuesIn(SHAPES)),
    [](const auto &info) { return std::string(TARGET_NAMES[std::get<0>(info.param)]) + std::get<1>(info.param).name; });

// Machines as deployed, and a crowd whose bodies are of the largest size that these serve: most connections hold
// memory until they have to give way. A configuration of 1 MiB gets through beside them.
class DeployedCrowds : public testing::TestWithParam<std::tuple<Target, Shape>>
{
};
TEST_P(DeployedCrowds, LeaveTheProcessesWithinTheirLimits)
{
    auto [target, shape] = GetParam();
    Watched watched(DEPLOYED_CONTROLLER_LIMITS, DEPLOYED_AGENT_LIMITS);
    Fleet &fleet = watched.fleet;
    ASSERT_TRUE(fleet.start());
    Crowd crowd;
    const Controller &attacked = watched.attack(crowd, target, shape, padded_body(target, shape.body));
    EXPECT_TRUE(fleet.ordinary(target, attacked)) << "no answer beside the crowd";
    bool configured = target == AGENT || fleet.configure(attacked, ",\"pad\":\"" + std::string(MIB, 'x') + "\"");
    EXPECT_TRUE(configured) << "no answer to a large configuration beside the crowd";
    watched.judge();
}
INSTANTIATE_TEST_SUITE_P(
    Every, DeployedCrowds,
    testing::Combine(testing::Values(CALLERS, OPERATORS, AGENT),
                     testing::Values(Shape{"ShortOfTheirEnd", 60, BODY_MAX, CONTENT_LENGTH, 0, MIB, 6},
                                     Shape{"LargeChunks", 60, BODY_MAX, CHUNKED, 256 << 10, MIB, 6})),
    [](const auto &info) { return std::string(TARGET_NAMES[std::get<0>(info.param)]) + std::get<1>(info.param).name; });

// A job that requires a label as long as a body allows.
static std::string job_of_one_long_text()
{
    std::string job = Fleet::job();
    size_t at = job.find("\"vcpus\"");
    return job.insert(at, "\"requirements\":\"" + std::string(BODY_MAX - 4096, 'x') + "\",");
}

// Whole jobs with this body, which are kept if they are accepted.
static void expect_service_beside_jobs(const Shape &shape, const std::string &body)
{
    Watched watched(CONTROLLER_LIMITS, AGENT_LIMITS);
    Fleet &fleet = watched.fleet;
    ASSERT_TRUE(fleet.start());
    Crowd crowd;
    const Controller &attacked = watched.attack(crowd, CALLERS, shape, body);
    EXPECT_TRUE(fleet.ordinary(CALLERS, attacked)) << "no answer beside the crowd";
    watched.judge();
}

// Each of one text as long as a body.
TEST(Jobs, OfLongTextsLeaveTheProcessesWithinTheirLimits)
{
    expect_service_beside_jobs({"LongTexts", 24, 0, CONTENT_LENGTH, 0, MIB, 1}, job_of_one_long_text());
}

// Small bodies of legal jobs, each of the most tasks that a job may have.
TEST(Jobs, OfManyTasksLeaveTheProcessesWithinTheirLimits)
{
    expect_service_beside_jobs({"ManyTasks", 200, 0, CONTENT_LENGTH, 0, MIB, 1},
                               R"({"spec":"wait","stages":[{"taskCount":20000,"vcpus":100}]})");
}

class Connections : public testing::TestWithParam<Target>
{
};

// More connections than descriptors, each with half of a head.
TEST_P(Connections, LeaveTheProcessesWithinTheirLimits)
{
    const Shape shape = {"Heads", 700, 0, CONTENT_LENGTH, 0, 4096, 0};
    Target target = GetParam();
    Watched watched(CONTROLLER_LIMITS, AGENT_LIMITS);
    Fleet &fleet = watched.fleet;
    ASSERT_TRUE(fleet.start());
    const Controller &attacked = fleet.attacked(target);
    Crowd crowd;
    crowd.open(attacked.address(), fleet.port(target), shape, "x",
               [](int) { return "POST /jobs/x HTTP/1.1\r\nX-Long: " + std::string(3000, 'h'); });
    crowd.run(shape.piece, [&] { watched.look(); });
    watched.look();
    printf("%s\n", crowd.summary().c_str());
    EXPECT_TRUE(fleet.ordinary(target, attacked)) << "no answer beside the crowd";
    watched.judge();
}
INSTANTIATE_TEST_SUITE_P(Every, Connections, testing::Values(CALLERS, OPERATORS, READINESS, AGENT),
                         [](const auto &info) { return std::string(TARGET_NAMES[info.param]); });

// Clients that ask the leader for a configuration of 2 MiB again and again and take nothing of the answers.
TEST(Responses, ThatNobodyTakesLeaveTheProcessesWithinTheirLimits)
{
    enum { CONNECTIONS = 60, REQUESTS = 8, RECEIVE_BUFFER = 4096, TURNS = 40 };
    Watched watched(CONTROLLER_LIMITS, AGENT_LIMITS);
    Fleet &fleet = watched.fleet;
    ASSERT_TRUE(fleet.start());
    const Controller &attacked = fleet.attacked(CALLERS); // the leader
    ASSERT_TRUE(fleet.configure(attacked, ",\"pad\":\"" + std::string(2 * MIB, 'x') + "\""));
    std::string requests;
    for (int i = 0; i < REQUESTS; i++)
        requests += "GET /sagehitch/configuration HTTP/1.1\r\nHost: x\r\n\r\n";
    std::vector<int> fds;
    for (int i = 0; i < CONNECTIONS; i++) {
        fds.push_back(connect_to(attacked.address(), fleet.port(OPERATORS), RECEIVE_BUFFER));
        EXPECT_EQ(send(fds.back(), requests.data(), requests.size(), MSG_NOSIGNAL), (ssize_t)requests.size());
    }
    // the requests are answered one after the other, as ordinary ones are
    for (int i = 0; i < TURNS; i++) {
        EXPECT_TRUE(fleet.ordinary(READINESS, attacked));
        watched.look();
    }
    EXPECT_TRUE(fleet.ordinary(OPERATORS, attacked)) << "no answer beside the crowd";
    watched.look();
    for (int fd : fds)
        close(fd);
    printf("%s\n", fleet.sizes().c_str());
    EXPECT_EQ(watched.problems, "");
}

// Whole configurations of 2 MiB to every controller at once, none of which is on the version in force: they are copied
// on their way to the leader and to the other voters.
TEST(Configurations, SentToEveryControllerLeaveTheProcessesWithinTheirLimits)
{
    const Shape shape = {"Configurations", 32, 2 * MIB, CONTENT_LENGTH, 0, MIB, 1};
    Watched watched(CONTROLLER_LIMITS, AGENT_LIMITS);
    Fleet &fleet = watched.fleet;
    ASSERT_TRUE(fleet.start());
    Crowd crowd;
    for (const Controller *c : fleet.of_controllers())
        crowd.open(c->address(), fleet.port(OPERATORS), shape, padded_body(OPERATORS, shape.body),
                   [](int) { return head_for(OPERATORS, 0, 1000000); });
    crowd.run(shape.piece, [&] { watched.look(); });
    watched.look();
    printf("%s\n", crowd.summary().c_str());
    EXPECT_TRUE(fleet.configure(fleet.attacked(OPERATORS), ",\"pad\":\"" + std::string(MIB, 'x') + "\""))
        << "no answer to a large configuration beside the crowd";
    EXPECT_TRUE(fleet.ordinary(CALLERS, fleet.attacked(CALLERS))) << "no answer to a caller beside the crowd";
    watched.judge();
}

class FramePorts : public testing::TestWithParam<Target>
{
};

// Frames for the port of other processes that are announced as large and stop short of their end, and more connections
// than descriptors that send nothing.
TEST_P(FramePorts, LeaveTheProcessesWithinTheirLimits)
{
    enum { FRAME_BYTES = 60 * MIB, SENT_BYTES = 8 * MIB };
    const Shape large = {"Frames", 24, SENT_BYTES, CONTENT_LENGTH, 0, MIB, 0};
    const Shape idle = {"Idle", 300, 1, CONTENT_LENGTH, 0, MIB, 0};
    Watched watched(CONTROLLER_LIMITS, AGENT_LIMITS);
    Fleet &fleet = watched.fleet;
    ASSERT_TRUE(fleet.start());
    const Controller &attacked = fleet.attacked(GetParam());
    uint8_t head[FRAME_HEAD] = {'S', 'H', FRAME_VERSION, FRAME_REPORT};
    le_put(head + 4, hash_text("sagehitch"), 4);
    le_put(head + 16, FRAME_BYTES, 4);
    Crowd crowd;
    crowd.open(attacked.address(), fleet.frame_port(attacked), large, std::string(SENT_BYTES, 'x'),
               [&head](int) { return std::string((const char *)head, sizeof head); });
    crowd.run(large.piece, [&] { watched.look(); });
    Crowd idlers;
    idlers.open(attacked.address(), fleet.frame_port(attacked), idle, "x", [](int) { return std::string("S"); });
    idlers.run(idle.piece, [&] { watched.look(); });
    watched.look();
    printf("%s\n", crowd.summary().c_str());
    EXPECT_TRUE(fleet.ordinary(GetParam(), attacked)) << "no answer beside the crowd";
    EXPECT_TRUE(fleet.ordinary(CALLERS, fleet.attacked(CALLERS))) << "no answer to a caller beside the crowd";
    watched.judge();
}
INSTANTIATE_TEST_SUITE_P(Every, FramePorts, testing::Values(CALLERS, OPERATORS, AGENT),
                         [](const auto &info) { return std::string(TARGET_NAMES[info.param]); });

// A single request in calm: where it is sent, and whether that is the leader.
struct Place {
    const char *name;
    Target target;
    bool at_leader;
};
static std::ostream &operator<<(std::ostream &out, const Place &place) { return out << place.name; }

const Place PLACES[] = {{"Callers", CALLERS, true},
                        {"CallersOfAnother", CALLERS, false},
                        {"Operators", OPERATORS, false},
                        {"OperatorsOfTheLeader", OPERATORS, true},
                        {"Agent", AGENT, false}};

// Fleets of machines as deployed.
class Single : public testing::TestWithParam<Place>
{
  protected:
    Watched watched{DEPLOYED_CONTROLLER_LIMITS, DEPLOYED_AGENT_LIMITS};
    Fleet &fleet = watched.fleet;

    void SetUp() override { ASSERT_TRUE(fleet.start()); }
    // Sends one request with this body; the status, 0: no complete answer.
    int64_t send_one(const std::string &body)
    {
        const Place &place = GetParam();
        const Controller &c =
            place.target == AGENT ? fleet.agent() : fleet.attacked(place.at_leader ? CALLERS : OPERATORS);
        switch (place.target) {
        case OPERATORS:
            return fleet.once("PUT", fleet.url(c, OPERATORS, "/sagehitch/configuration"), body,
                              {"If-Match: " + std::to_string(fleet.current_version()), "Expect:"});
        case AGENT: return fleet.once("PUT", fleet.url(c, AGENT, "/sagehitch/executors/e-1"), body, {"Expect:"});
        default:
            return fleet.once("POST", fleet.url(c, CALLERS, "/jobs/" + Fleet::job_name(2000000)), body,
                              {"Host: jobs.example", "Expect:"});
        }
    }
    // All processes go on within their limits, and ordinary requests are answered.
    void expect_service()
    {
        watched.look();
        EXPECT_TRUE(fleet.ordinary(CALLERS, fleet.attacked(CALLERS))) << "no answer to a caller after it";
        EXPECT_TRUE(fleet.ordinary(AGENT, fleet.agent())) << "no answer to an executor after it";
        watched.judge();
    }
};

// The largest body is served.
TEST_P(Single, RequestOfTheLargestSizeIsServed)
{
    EXPECT_EQ(send_one(padded_body(GetParam().target, BODY_MAX)), 200);
    expect_service();
}

// A body may become much larger once it is read; it is answered, and nothing ends.
TEST_P(Single, RequestOfSmallValuesIsAnswered)
{
    EXPECT_NE(send_one(body_of_small_values(GetParam().target, BODY_MAX)), 0);
    expect_service();
}

// A text that the product keeps may be as long as a body; it is answered, and the service goes on.
TEST_P(Single, RequestOfOneLongTextIsAnswered)
{
    std::string text(BODY_MAX - 4096, 'x');
    std::string body;
    switch (GetParam().target) {
    case OPERATORS:
        body = Fleet::configuration(fleet.current_version() + 1);
        body.replace(body.find("\"name\":\"s\""), strlen("\"name\":\"s\""),
                     "\"name\":\"s\",\"healthCheckPath\":\"" + text + "\"");
        break;
    case AGENT: body = Fleet::heartbeat(1000); break;
    default: body = job_of_one_long_text(); break;
    }
    if (GetParam().target == AGENT)
        body.replace(body.find("r1-3"), strlen("r1-3"), text);
    EXPECT_NE(send_one(body), 0);
    expect_service();
}
INSTANTIATE_TEST_SUITE_P(Every, Single, testing::ValuesIn(PLACES),
                         [](const auto &info) { return std::string(info.param.name); });

int main(int argc, char **argv)
{
    testing::InitGoogleTest(&argc, argv);
    signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    int rc = RUN_ALL_TESTS();
    curl_global_cleanup();
    return rc;
}
