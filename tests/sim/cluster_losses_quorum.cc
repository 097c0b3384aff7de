// What the logs of a cluster say: whether a majority is left, and whether all agree.
#include "cluster_losses.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>

#include "config_register.h"

namespace losses
{

namespace
{

bool counted_as_voter(const struct log *log, const struct log_member &member)
{
    bool changing = log->members_index > log->commit;
    return log_votes_after_change(&member) || (changing && member.voter == LOG_OUTGOING_VOTER);
}

// Not older than the other's: whoever has it gets the other's vote.
bool not_older(const struct log *log, const struct log *other)
{
    int64_t term = log_term_at(log, log_last(log)), other_term = log_term_at(other, log_last(other));
    return term > other_term || (term == other_term && log_last(log) >= log_last(other));
}

// A majority of those with the right to vote is among the ids.
template <class Right>
bool has_majority(const struct log_members &members, const std::vector<int64_t> &ids, Right right)
{
    int64_t n = 0, there = 0;
    for (int64_t i = 0; i < members.n; i++) {
        if (!right(members.members[i]))
            continue;
        n++;
        there += std::count(ids.begin(), ids.end(), members.members[i].id);
    }
    return there >= n / 2 + 1;
}

void expect_same_committed(const struct log *one, const struct log *other, const std::string &trace)
{
    int64_t from = std::max(one->first_index, other->first_index), upto = std::min(one->commit, other->commit);
    for (int64_t index = from; index <= upto; index++) {
        const struct log_entry &a = one->entries[index - one->first_index];
        const struct log_entry &b = other->entries[index - other->first_index];
        bool same = a.term == b.term && a.kind == b.kind && a.body.len == b.body.len &&
                    (!a.body.len || !memcmp(a.body.at, b.body.at, (size_t)a.body.len));
        ASSERT_TRUE(same) << "entry " << index << " is committed twice, differently\n" << trace;
    }
}

} // namespace

bool Losses::electable(const std::vector<host *> &without)
{
    std::vector<host *> there;
    for (int64_t i = 0; i < c.n; i++) {
        host *h = c.hosts[i];
        if (has_log(h) && !is_away(h) && std::find(without.begin(), without.end(), h) == without.end())
            there.push_back(h);
    }
    for (host *candidate : there) {
        const struct log *l = &candidate->controller->log;
        std::vector<int64_t> granting;
        for (host *h : there)
            if (not_older(l, &h->controller->log))
                granting.push_back(h->controller->id);
        bool changing = l->members_index > l->commit;
        bool by_new =
            has_majority(l->members, granting, [](const struct log_member &m) { return log_votes_after_change(&m); });
        bool by_former = has_majority(l->members, granting, [](const struct log_member &m) {
            return m.voter == LOG_VOTER || m.voter == LOG_OUTGOING_VOTER;
        });
        if (log_is_voter(l, candidate->controller->id) && by_new && (!changing || by_former))
            return true;
    }
    return false;
}

bool Losses::bears_from(size_t n, size_t first, std::vector<host *> &without)
{
    if (!n)
        return electable(without);
    for (size_t i = first; i < (size_t)c.n; i++) {
        if (!has_log(c.hosts[i]) || is_away(c.hosts[i]))
            continue;
        without.push_back(c.hosts[i]);
        bool bears = bears_from(n - 1, i + 1, without);
        without.pop_back();
        if (!bears)
            return false;
    }
    return true;
}

bool Losses::bears(size_t n)
{
    std::vector<host *> without;
    return bears_from(n, 0, without);
}

bool Losses::whole()
{
    struct log *l = log();
    if (!l || l->members_index > l->commit || n_voters() != voters)
        return false;
    for (int64_t i = 0; i < l->members.n; i++) {
        const struct log_member &m = l->members.members[i];
        if (counted_as_voter(l, m) && (m.voter != LOG_VOTER || !host_of(m)))
            return false;
    }
    return true;
}

bool Losses::run_until_whole()
{
    for (int64_t ms = 0; ms < 25000; ms += 10) {
        if (whole())
            return true;
        cluster_run(&c, 10);
    }
    return false;
}

void Losses::expect_one_log()
{
    uint64_t one = 0;
    for (int64_t i = 0; i < c.n; i++) {
        uint64_t founders = host_bootstrap_hash(c.hosts[i]);
        EXPECT_TRUE(!one || !founders || founders == one) << trace();
        one = one ? one : founders;
    }
}

void Losses::expect_agreement()
{
    for (int64_t i = 0; i < c.n; i++)
        for (int64_t k = i + 1; k < c.n; k++)
            if (has_log(c.hosts[i]) && has_log(c.hosts[k]))
                expect_same_committed(&c.hosts[i]->controller->log, &c.hosts[k]->controller->log, trace());
    EXPECT_EQ(config_register::check(config_register::calls_of(&c)), "") << trace();
}

} // namespace losses
