// A voter that was removed comes back with its old disk, on which it still votes: it moves no term and unseats nobody.
#include "log_pair.h"

using namespace log_pair;

namespace
{

const int64_t THIRD = 3, FRESH = 4;

// Three voters and a learner; the learner takes the vote of the third while that one is away.
struct Site {
    Node lead{1}, member{2}, removed{3}, fresh{4};
    std::vector<Node *> all{&lead, &member, &removed, &fresh};
    std::map<int64_t, bool> away;
    int asked = 0, real = 0; // requests for votes by the removed one; those of them that raise its term

    // in_place: the third's disk is taken for gone for good; one_away: the second sleeps through the change
    explicit Site(bool in_place = false, bool one_away = false)
    {
        struct log_members members = {};
        members.members = (struct log_member *)must_alloc(3 * sizeof *members.members);
        for (int64_t id = 1; id <= 3; id++)
            members.members[members.n++] = member_of(id);
        for (int64_t id = 1; id <= 3; id++)
            EXPECT_EQ(log_bootstrap(&all[(size_t)id - 1]->log, &members), 0);
        schema_free(&log_members_schema, &members);
        for (Node *node : all) /* the rig's random numbers are all the same */
            node->log.settings.election_ms = 700 + 100 * (node->log.id % 4);
        lead.log.term = 2;
        log_lead(&lead.log);
        run(300);
        EXPECT_EQ(log_change_member(&lead.log, FRESH, FRESH << 16 | 7000, "z", LOG_LEARNER, 0), 0);
        run(500);
        away[THIRD] = true;
        run(300);
        away[MEMBER] = one_away;
        EXPECT_EQ((in_place ? log_replace : log_exchange)(&lead.log, THIRD, FRESH), 0);
        run(300);
        EXPECT_EQ(log_finish_exchange(&lead.log), in_place ? ERROR_NOT_FOUND : 0);
        run(300);
        EXPECT_EQ(!log_member(&member.log, THIRD), !one_away);
        EXPECT_EQ(lead.log.commit, log_last(&lead.log));
        asked = real = 0; // those before it was away
    }
    void count(const std::string &text)
    {
        struct frame f;
        struct log_vote_request request = {};
        EXPECT_EQ(frame_parse(&f, (const uint8_t *)text.data(), (int64_t)text.size(), 9), 0);
        if (f.kind != FRAME_VOTE_REQUEST)
            return;
        EXPECT_EQ(schema_unpack(&log_vote_request_schema, &request, f.body, f.len), 0);
        asked++;
        real += !request.pre;
    }
    void carry()
    {
        for (bool any = true; any;) {
            any = false;
            for (Node *from : all)
                while (!from->sent.empty()) {
                    std::string text = from->next();
                    any = true;
                    if (from == &removed)
                        count(text);
                    if (away[from->log.id])
                        continue;
                    for (Node *to : all) /* each takes only what names it */
                        if (to != from && !away[to->log.id])
                            to->take(text);
                }
        }
    }
    void run(int ms)
    {
        for (int i = 0; i < ms; i += 20) {
            for (Node *node : all) {
                node->now += 20;
                if (away[node->log.id])
                    continue;
                log_on_timer(&node->log);
                log_flush(&node->log);
            }
            carry();
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

// It asks before it raises its own term, and nobody that hears the leader answers.
TEST(LogRemoved, AsksInVainWhileALeaderIsHeard)
{
    Site s;
    int64_t term = s.lead.log.term, old_term = s.removed.log.term;
    s.away[THIRD] = false;
    s.run(10000);
    EXPECT_TRUE(log_is_voter(&s.removed.log, THIRD)); // as far as it knows
    EXPECT_GT(s.asked, 5);
    EXPECT_EQ(s.real, 0);
    EXPECT_EQ(s.removed.log.term, old_term);
    EXPECT_EQ(s.lead.log.role, LOG_LEADER);
    for (Node *node : {&s.lead, &s.member, &s.fresh})
        EXPECT_EQ(node->log.term, term);
}

// Where no leader is heard it is told no: it lacks the entry that removed it. It raises no term, and one of the
// others is elected, in as many terms as without it.
TEST(LogRemoved, IsElectedByNobodyWhereTheLeaderIsGone)
{
    int64_t terms[2];
    for (bool back : {false, true}) {
        Site s;
        s.away[THIRD] = !back;
        s.away[LEADER] = true;
        s.run(10000);
        EXPECT_EQ(s.asked > 0, back);
        EXPECT_EQ(s.real, 0);
        EXPECT_NE(s.removed.log.role, LOG_LEADER);
        EXPECT_TRUE(s.member.log.role == LOG_LEADER || s.fresh.log.role == LOG_LEADER);
        terms[back] = std::max(s.member.log.term, s.fresh.log.term);
        EXPECT_LE(s.removed.log.term, terms[back]);
    }
    EXPECT_EQ(terms[0], terms[1]);
}

// Replaced in place, as one whose disk is gone for good, it is elected by nobody that holds the change.
TEST(LogRemoved, ReplacedInPlaceIsElectedByNobodyThatKnows)
{
    Site s(true);
    s.away[THIRD] = false;
    s.away[LEADER] = true;
    s.run(10000);
    EXPECT_GT(s.asked, 0);
    EXPECT_EQ(s.real, 0);
    EXPECT_NE(s.removed.log.role, LOG_LEADER);
    EXPECT_TRUE(s.member.log.role == LOG_LEADER || s.fresh.log.role == LOG_LEADER);
}

// Even a real request under a higher term, which it sends only after a majority said yes to its question, is not
// heard by whoever hears a leader; where none is heard it raises a term, and wins no vote.
TEST(LogRemoved, RealRequestUnseatsNobody)
{
    Site s;
    int64_t term = s.lead.log.term;
    struct log_vote_request request = {};
    request.group = GROUP_JOBS, request.term = term + 5, request.from = THIRD, request.to = LEADER;
    request.last_index = log_last(&s.removed.log);
    request.last_term = log_term_at(&s.removed.log, request.last_index);
    s.lead.take(vote_request(request));
    request.to = MEMBER;
    s.member.take(vote_request(request));
    EXPECT_EQ(s.lead.log.role, LOG_LEADER);
    EXPECT_EQ(s.lead.log.term, term);
    EXPECT_EQ(s.member.log.term, term);
    s.member.now += 2000; // no leader is heard any more
    s.member.take(vote_request(request));
    EXPECT_EQ(s.member.log.term, term + 5);
    EXPECT_EQ(s.member.log.vote, 0);
}

// What it sent as the leader of a former term is told the newer term, and changes nothing.
TEST(LogRemoved, AppendOfAFormerTermChangesNothing)
{
    Site s;
    int64_t last = log_last(&s.member.log), term = s.member.log.term;
    struct log_append append = {};
    append.group = GROUP_JOBS, append.term = 1, append.from = THIRD, append.to = MEMBER, append.commit = last;
    append.prev_index = log_last(&s.removed.log);
    append.prev_term = log_term_at(&s.removed.log, append.prev_index);
    struct bytes out = {};
    frame_build(&out, FRAME_APPEND, 9, (uint64_t)THIRD << 16 | 7000, &log_append_schema, &append);
    s.member.sent.clear();
    s.member.take(std::string((const char *)out.at, (size_t)out.len));
    bytes_free(&out);
    EXPECT_EQ(s.member.log.leader_id, LEADER);
    EXPECT_EQ(log_last(&s.member.log), last);
    EXPECT_EQ(s.member.log.term, term);
}

// Told to lead in a former term, it asks nobody.
TEST(LogRemoved, LeadNowOfAFormerTermIsNotTaken)
{
    Site s;
    struct log_lead_now now = {.group = GROUP_JOBS, .term = s.removed.log.term - 1, .from = LEADER, .to = THIRD};
    struct bytes out = {};
    frame_build(&out, FRAME_LEAD_NOW, 9, (uint64_t)LEADER << 16 | 7000, &log_lead_now_schema, &now);
    s.removed.sent.clear();
    s.removed.take(std::string((const char *)out.at, (size_t)out.len));
    bytes_free(&out);
    EXPECT_TRUE(s.removed.sent.empty());
    EXPECT_EQ(s.removed.log.role, LOG_FOLLOWER);
}
