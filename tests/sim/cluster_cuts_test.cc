// A controller that is cut off for 20 s: its connections are reset and new ones refused, or it reaches everybody but
// the seed addresses, or all its connections are reset again and again. Operators write to and read from each side,
// most of their answers are lost, and callers ask. SAGEHITCH_SEEDS=N or FIRST-LAST for a longer sweep.
#include <tuple>

#include "cluster_operators.h"

namespace
{

enum Role { LEADER, FOLLOWER, OUTER };
enum Commands { BY_CALL, BY_BEAT };
enum { CUT_MS = 20000, SERVED_MS = 3000, FOUND_MS = 5000, RESET_PAUSE_MS = 630 };

class ClusterCuts : public ::testing::TestWithParam<std::tuple<Role, Commands>>
{
  public:
    Role role() const { return std::get<0>(GetParam()); }

    // Runs body over seeds, with so many voters, the first three of which are the seed addresses.
    template <class Body> void play(int voters, Body body, int fixed = 1)
    {
        for (uint64_t seed : seeds(fixed)) {
            SCOPED_TRACE("seed " + std::to_string(seed));
            Cluster s(seed, {voters, 1, 8, voters / 2, std::get<1>(GetParam()) == BY_BEAT, {}, 0, 0});
            s.seed_ = seed;
            callers_load(&s.c, 3, CUT_MS + 6000);
            operators_run(s, 2000, 8);
            s.c.fault_free = 0;
            s.c.lost_responses_pct = 60;
            body(s);
            operators_run(s, 4000, 8);
            operators_finish(s);
            s.close();
        }
    }
    host *pick(Cluster &s, int voters)
    {
        host *leader = s.leader();
        if (role() == LEADER)
            return leader;
        if (role() == OUTER)
            return s.core(voters);
        host *follower = leader;
        while (follower == leader)
            follower = s.core(cluster_pick(&s.c, voters));
        return follower;
    }
};

class ClusterStarts : public ClusterCuts
{
};

// From now on to the first answer of h that has the newest configuration acknowledged by now, in ms.
int64_t newest_served_ms(Cluster &s, const char *kind, host *h)
{
    int64_t first = s.c.n_config_calls, newest = s.c.acked_version, began_us = s.c.now_us, took_ms = INT64_MAX;
    s.c.lost_responses_pct = 0;
    while (took_ms == INT64_MAX && s.c.now_us - began_us < 10 * 1000000) {
        operator_read_from(&s.c, h);
        s.run(10);
        for (int64_t i = first; i < s.c.n_config_calls; i++) {
            const config_call &call = s.c.config_calls[i];
            if (call.change < 0 && call.began_us >= began_us && call.outcome == CONFIG_TAKEN && call.version >= newest)
                took_ms = std::min(took_ms, (call.ended_us - began_us) / 1000);
        }
    }
    if (getenv("SAGEHITCH_FIGURES"))
        printf("newest served after %s by %s: %lld ms\n", kind, h->name, (long long)took_ms);
    return took_ms;
}

void cut(host *h, host *other, int way)
{
    if (way != 1)
        host_cut_one_way(h, other, LINK_REFUSED);
    if (way != 2)
        host_cut_one_way(other, h, LINK_REFUSED);
}

void cut_from_seeds(Cluster &s, host *h)
{
    int refused = (int)cluster_pick(&s.c, 2);
    cluster_trace(&s.c, 0, "%s reaches no seed, %s", h->name, refused ? "refused" : "silent");
    for (int i = 0; i < 3; i++) {
        if (s.core(i) == h)
            continue;
        if (refused)
            cut(h, s.core(i), 0);
        else
            host_cut(h, s.core(i), 0);
    }
}

void kill_and_boot(Cluster &s, host *h)
{
    host_kill(h, 0);
    s.run(2500);
    host_boot(h, 0);
    s.run(1500);
}

void reset_again(struct cluster *c, void *arg, int64_t until_ms)
{
    host_reset_connections((host *)arg);
    if (c->now_us < until_ms * 1000)
        cluster_schedule(c, 30 + cluster_pick(c, RESET_PAUSE_MS - 30), reset_again, arg, until_ms);
}

std::string name_of(const ::testing::TestParamInfo<std::tuple<Role, Commands>> &info)
{
    const char *const roles[] = {"Leader", "Follower", "OuterNode"}, *const commands[] = {"ByCall", "ByBeat"};
    return std::string(roles[std::get<0>(info.param)]) + commands[std::get<1>(info.param)];
}

} // namespace

INSTANTIATE_TEST_SUITE_P(Each, ClusterCuts,
                         ::testing::Combine(::testing::Values(LEADER, FOLLOWER, OUTER),
                                            ::testing::Values(BY_CALL, BY_BEAT)),
                         name_of);

INSTANTIATE_TEST_SUITE_P(Each, ClusterStarts,
                         ::testing::Combine(::testing::Values(OUTER), ::testing::Values(BY_CALL, BY_BEAT)), name_of);

// Both ways, or one: nothing reaches it (1), nothing comes from it (2).
TEST_P(ClusterCuts, ConnectionsAreRefused)
{
    play(3, [&](Cluster &s) {
        host *h = pick(s, 3);
        int way = (int)cluster_pick(&s.c, 3);
        cluster_trace(&s.c, 0, "connections of %s are refused, way %d", h->name, way);
        for (int64_t i = 0; i < s.c.n; i++)
            if (s.c.hosts[i] != h)
                cut(h, s.c.hosts[i], way);
        operators_run(s, CUT_MS, 8);
        cluster_heal(&s.c);
        EXPECT_LE(newest_served_ms(s, "refusals", h), SERVED_MS) << s.trace();
    });
}

// Nothing goes through for 20 s, then all that was sent comes at once; datagrams pass or not.
TEST_P(ClusterCuts, ConnectionsStandStill)
{
    play(3, [&](Cluster &s) {
        host *h = pick(s, 3);
        int way = (int)cluster_pick(&s.c, 3);
        cluster_trace(&s.c, 0, "connections of %s stand still, way %d", h->name, way);
        s.c.loss_pct = cluster_pick(&s.c, 2) * 100;
        for (int64_t i = 0; i < s.c.n; i++) {
            if (s.c.hosts[i] == h)
                continue;
            if (way != 1)
                link_stall(h, s.c.hosts[i], CUT_MS);
            if (way != 2)
                link_stall(s.c.hosts[i], h, CUT_MS);
        }
        operators_run(s, CUT_MS, 8);
        s.c.loss_pct = 0;
        EXPECT_LE(newest_served_ms(s, "a stall", h), SERVED_MS) << s.trace();
    });
}

// With three voters, all of them are seeds; with five, two are not.
TEST_P(ClusterCuts, SeedsAreOutOfReach)
{
    for (int voters : {3, 5})
        play(voters, [&](Cluster &s) {
            host *h = pick(s, voters);
            cut_from_seeds(s, h);
            operators_run(s, CUT_MS, 8);
            cluster_heal(&s.c);
            EXPECT_LE(newest_served_ms(s, "a cut from the seeds", h), SERVED_MS) << s.trace();
        });
}

// Another voter leads. A node that starts while it knows no other address than the seeds is found by that leader.
TEST_P(ClusterStarts, WhileSeedsAreOutOfReach)
{
    play(5, [&](Cluster &s) {
        host *h = pick(s, 5);
        while (s.leader()->index < 3)
            kill_and_boot(s, s.leader());
        operators_run(s, 2000, 8);
        cut_from_seeds(s, h);
        host_restart(h);
        EXPECT_LE(newest_served_ms(s, "a start out of the seeds' reach", h), FOUND_MS) << s.trace();
        operators_run(s, CUT_MS / 2, 8);
        cluster_heal(&s.c);
    });
}

TEST_P(ClusterCuts, ConnectionsAreResetAgainAndAgain)
{
    play(3, [&](Cluster &s) {
        host *h = pick(s, 3);
        reset_again(&s.c, h, s.c.now_us / 1000 + CUT_MS - RESET_PAUSE_MS);
        operators_run(s, CUT_MS, 8);
        host_reset_connections(h);
        EXPECT_LE(newest_served_ms(s, "resets", h), SERVED_MS) << s.trace();
    });
}
