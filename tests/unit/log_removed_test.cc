// A removed voter returns with its old disk, according to which it is still a voter. It must neither raise the term of
// the other members nor depose a leader.
#include "log_pair.h"

using namespace log_pair;

namespace
{

const int64_t THIRD = 3, ADDED = 4;

// Three voters and a learner that replaces the third voter while that is disconnected.
struct Cluster {
    Node leader{1}, member{2}, removed{3}, added{4};
    std::vector<Node *> all{&leader, &member, &removed, &added};
    std::map<int64_t, bool> disconnected;
    int vote_requests = 0, real_vote_requests = 0; // sent by the removed voter; those that are not pre-votes

    // replace: the third voter is replaced as if its disk were lost; second_disconnected: the second misses the change
    explicit Cluster(bool replace = false, bool second_disconnected = false)
    {
        struct log_members members = {};
        members.members = (struct log_member *)must_alloc(3 * sizeof *members.members);
        for (int64_t id = 1; id <= 3; id++)
            members.members[members.n++] = member_of(id);
        for (int64_t id = 1; id <= 3; id++)
            EXPECT_EQ(log_bootstrap(&all[(size_t)id - 1]->log, &members), 0);
        schema_free(&log_members_schema, &members);
        for (Node *node : all) /* the nodes' random numbers are all equal */
            node->log.settings.election_ms = 700 + 100 * (node->log.id % 4);
        leader.log.term = 2;
        log_become_leader(&leader.log);
        run(300);
        EXPECT_EQ(log_change_member(&leader.log, ADDED, ADDED << 16 | 7000, "z", LOG_LEARNER, 0), 0);
        run(500);
        disconnected[THIRD] = true;
        run(300);
        disconnected[MEMBER] = second_disconnected;
        EXPECT_EQ((replace ? log_replace : log_exchange)(&leader.log, THIRD, ADDED), 0);
        run(300);
        EXPECT_EQ(log_finish_exchange(&leader.log), replace ? ERROR_NOT_FOUND : 0);
        run(300);
        EXPECT_EQ(!log_member(&member.log, THIRD), !second_disconnected);
        EXPECT_EQ(leader.log.commit, log_last(&leader.log));
        vote_requests = real_vote_requests = 0; // do not count those before it was disconnected
    }
    void count(const std::string &text)
    {
        struct frame f;
        struct log_vote_request request = {};
        EXPECT_EQ(frame_parse(&f, (const uint8_t *)text.data(), (int64_t)text.size(), 9), 0);
        if (f.kind != FRAME_VOTE_REQUEST)
            return;
        EXPECT_EQ(schema_unpack(&log_vote_request_schema, &request, f.body, f.len), 0);
        vote_requests++;
        real_vote_requests += !request.pre;
    }
    void deliver_all()
    {
        for (bool any = true; any;) {
            any = false;
            for (Node *from : all)
                while (!from->sent.empty()) {
                    std::string text = from->pop_sent();
                    any = true;
                    if (from == &removed)
                        count(text);
                    if (disconnected[from->log.id])
                        continue;
                    for (Node *to : all) /* only the addressed node handles it */
                        if (to != from && !disconnected[to->log.id])
                            to->take(text);
                }
        }
    }
    void run(int ms)
    {
        for (int i = 0; i < ms; i += 20) {
            for (Node *node : all) {
                node->now += 20;
                if (disconnected[node->log.id])
                    continue;
                log_on_timer(&node->log);
                log_flush(&node->log);
            }
            deliver_all();
        }
    }
};

std::string vote_request(const struct log_vote_request &request)
{
    struct bytes out = {};
    frame_build(&out, FRAME_VOTE_REQUEST, 9, (uint64_t)THIRD << 16 | 7000, &log_vote_request_schema, &request);
    std::string frame((const char *)out.at, (size_t)out.len);
    bytes_free(&out);
    return frame;
}

} // namespace

// It asks for pre-votes before it raises its own term, and members that hear the leader do not reply.
TEST(LogRemoved, GetsNoVoteWhileALeaderIsHeard)
{
    Cluster cluster;
    int64_t term = cluster.leader.log.term, old_term = cluster.removed.log.term;
    cluster.disconnected[THIRD] = false;
    cluster.run(10000);
    EXPECT_TRUE(log_is_voter(&cluster.removed.log, THIRD)); // according to its own log
    EXPECT_GT(cluster.vote_requests, 5);
    EXPECT_EQ(cluster.real_vote_requests, 0);
    EXPECT_EQ(cluster.removed.log.term, old_term);
    EXPECT_EQ(cluster.leader.log.role, LOG_LEADER);
    for (Node *node : {&cluster.leader, &cluster.member, &cluster.added})
        EXPECT_EQ(node->log.term, term);
}

// Without a leader its pre-vote is denied because it lacks the entry that removed it. It raises no term, and one of the
// others is elected after as many terms as without it.
TEST(LogRemoved, IsNotElectedAfterALeaderFailure)
{
    int64_t terms[2];
    for (bool reconnect : {false, true}) {
        Cluster cluster;
        cluster.disconnected[THIRD] = !reconnect;
        cluster.disconnected[LEADER] = true;
        cluster.run(10000);
        EXPECT_EQ(cluster.vote_requests > 0, reconnect);
        EXPECT_EQ(cluster.real_vote_requests, 0);
        EXPECT_NE(cluster.removed.log.role, LOG_LEADER);
        EXPECT_TRUE(cluster.member.log.role == LOG_LEADER || cluster.added.log.role == LOG_LEADER);
        terms[reconnect] = std::max(cluster.member.log.term, cluster.added.log.term);
        EXPECT_LE(cluster.removed.log.term, terms[reconnect]);
    }
    EXPECT_EQ(terms[0], terms[1]);
}

// The same after log_replace(): members that have the change do not elect it.
TEST(LogRemoved, IsNotElectedAfterAReplacement)
{
    Cluster cluster(true);
    cluster.disconnected[THIRD] = false;
    cluster.disconnected[LEADER] = true;
    cluster.run(10000);
    EXPECT_GT(cluster.vote_requests, 0);
    EXPECT_EQ(cluster.real_vote_requests, 0);
    EXPECT_NE(cluster.removed.log.role, LOG_LEADER);
    EXPECT_TRUE(cluster.member.log.role == LOG_LEADER || cluster.added.log.role == LOG_LEADER);
}

// Even a real vote request with a higher term, which needs a majority of pre-votes, is ignored by members that hear a
// leader. A member that hears none adopts the term, but does not grant the vote.
TEST(LogRemoved, VoteRequestDoesNotDeposeTheLeader)
{
    Cluster cluster;
    int64_t term = cluster.leader.log.term;
    struct log_vote_request request = {};
    request.group = GROUP_JOBS, request.term = term + 5, request.from = THIRD, request.to = LEADER;
    request.last_index = log_last(&cluster.removed.log);
    request.last_term = log_term_at(&cluster.removed.log, request.last_index);
    cluster.leader.take(vote_request(request));
    request.to = MEMBER;
    cluster.member.take(vote_request(request));
    EXPECT_EQ(cluster.leader.log.role, LOG_LEADER);
    EXPECT_EQ(cluster.leader.log.term, term);
    EXPECT_EQ(cluster.member.log.term, term);
    cluster.member.now += 2000; // no leader is heard any more
    cluster.member.take(vote_request(request));
    EXPECT_EQ(cluster.member.log.term, term + 5);
    EXPECT_EQ(cluster.member.log.vote, 0);
}

// An append that it sent as the leader of an earlier term is refused with the newer term and changes nothing.
TEST(LogRemoved, StaleAppendChangesNothing)
{
    Cluster cluster;
    int64_t last = log_last(&cluster.member.log), term = cluster.member.log.term;
    struct log_append append = {};
    append.group = GROUP_JOBS, append.term = 1, append.from = THIRD, append.to = MEMBER, append.commit = last;
    append.prev_index = log_last(&cluster.removed.log);
    append.prev_term = log_term_at(&cluster.removed.log, append.prev_index);
    struct bytes out = {};
    frame_build(&out, FRAME_APPEND, 9, (uint64_t)THIRD << 16 | 7000, &log_append_schema, &append);
    cluster.member.sent.clear();
    cluster.member.take(std::string((const char *)out.at, (size_t)out.len));
    bytes_free(&out);
    EXPECT_EQ(cluster.member.log.leader_id, LEADER);
    EXPECT_EQ(log_last(&cluster.member.log), last);
    EXPECT_EQ(cluster.member.log.term, term);
}

// A hand-over of an earlier term does not start an election.
TEST(LogRemoved, StaleLeadNowIsIgnored)
{
    Cluster cluster;
    struct log_lead_now now = {.group = GROUP_JOBS, .term = cluster.removed.log.term - 1, .from = LEADER, .to = THIRD};
    struct bytes out = {};
    frame_build(&out, FRAME_LEAD_NOW, 9, (uint64_t)LEADER << 16 | 7000, &log_lead_now_schema, &now);
    cluster.removed.sent.clear();
    cluster.removed.take(std::string((const char *)out.at, (size_t)out.len));
    bytes_free(&out);
    EXPECT_TRUE(cluster.removed.sent.empty());
    EXPECT_EQ(cluster.removed.log.role, LOG_FOLLOWER);
}
