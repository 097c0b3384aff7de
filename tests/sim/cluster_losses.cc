// How machines of a cluster are lost and come back, and how far a repair is.
#include "cluster_losses.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>

extern "C" {
#include "agent/agent.h"
}

namespace losses
{

bool has_log(const host *h) { return h->up && h->controller && h->controller->votes && !h->controller->log.broken; }

const char *name_of(Loss loss)
{
    static const char *const names[] = {"killed, a learner is there",
                                        "disk wiped at the same address",
                                        "replaced at another address",
                                        "frozen",
                                        "cut off",
                                        "cut off one way, hears the others",
                                        "cut off one way, is heard"};
    return names[loss];
}

const char *name_of(Step step)
{
    static const char *const names[] = {"at once",         "learner added",    "learner caught up",
                                        "change proposed", "change committed", "former voter removed"};
    return names[step];
}

bool has_spare(Loss loss) { return loss != WIPED && loss != REPLACED; }

Losses::Losses(uint64_t seed, int n, Loss first, int agents) : kind(first), voters(n)
{
    cluster_start_tolerating(&c, seed, voters / 2, voters + has_spare(first), 1, agents);
    cluster_run(&c, 1000);
    if (agents)
        operator_first_config(&c);
    cluster_run(&c, 9000); // learners hold the log by now
    EXPECT_EQ(n_voters(), voters) << trace();
}

Losses::~Losses()
{
    EXPECT_EQ(c.n_violations, 0) << trace();
    cluster_free(&c);
}

bool Losses::is_away(const host *h) const { return std::find(away.begin(), away.end(), h) != away.end(); }

host *Losses::leader()
{
    host *best = nullptr;
    for (int64_t i = 0; i < c.n; i++) {
        host *h = c.hosts[i];
        if (!has_log(h) || is_away(h) || !controller_leads(h->controller))
            continue;
        if (!best || h->controller->log.term > best->controller->log.term)
            best = h;
    }
    return best;
}

struct log *Losses::log()
{
    host *leads = leader();
    return leads ? &leads->controller->log : nullptr;
}

std::vector<host *> Losses::followers()
{
    std::vector<host *> all;
    for (int64_t i = 0; cluster_controller(&c, i); i++)
        if (cluster_controller(&c, i)->with_disk && cluster_controller(&c, i) != leader())
            all.push_back(cluster_controller(&c, i));
    return all;
}

int64_t Losses::n_voters()
{
    int64_t n = 0;
    struct log *l = log();
    for (int64_t i = 0; l && i < l->members.n; i++)
        n += log_votes_after_change(&l->members.members[i]);
    return n;
}

host *Losses::host_of(const struct log_member &member)
{
    for (int64_t i = 0; i < c.n; i++)
        if (has_log(c.hosts[i]) && c.hosts[i]->controller->id == member.id && !is_away(c.hosts[i]))
            return c.hosts[i];
    return nullptr;
}

host *Losses::pick_voter()
{
    for (;;) {
        host *h = cluster_any_controller(&c);
        if (has_log(h) && log_is_voter(&h->controller->log, h->controller->id) && !is_away(h))
            return h;
    }
}

host *Losses::pick_learner()
{
    struct log *l = log();
    std::vector<host *> learners;
    for (int64_t i = 0; l && i < l->members.n; i++) {
        const struct log_member &m = l->members.members[i];
        if ((m.voter == LOG_LEARNER || m.voter == LOG_INCOMING_VOTER) && host_of(m))
            learners.push_back(host_of(m));
    }
    return learners.empty() ? nullptr : learners[(size_t)cluster_pick(&c, (int64_t)learners.size())];
}

void Losses::lose_first()
{
    lost = pick_voter();
    lost_id = lost->controller->id;
    fresh_addr = (int64_t)lost->base.self;
    lost_us = c.now_us;
    c.fault_free = 0;
    if (kind == WIPED)
        host_disk_copy(lost);
    lose(lost, kind, 20000);
    if (kind == REPLACED)
        fresh_addr = (int64_t)c.hosts[c.n - 1]->base.self;
}

void Losses::apply_cuts()
{
    memset(c.cut, 0, sizeof c.cut);
    for (const Cut &of : cuts)
        for (int64_t i = 0; i < c.n; i++) {
            if (c.hosts[i] == of.h)
                continue;
            c.cut[of.h->index][i] |= of.loss != RECEIVES_CUT;
            c.cut[i][of.h->index] |= of.loss != SENDS_CUT;
        }
    cluster_note_controller_fault(&c);
}

void Losses::cut(host *h, Loss loss)
{
    cluster_trace(&c, 0, "%s is %s", h->name, name_of(loss));
    cuts.push_back({h, loss});
    h->last_fault_us = c.now_us;
    apply_cuts();
}

void Losses::heal(host *h)
{
    cluster_trace(&c, 0, "%s is no longer cut off", h->name);
    cuts.erase(std::remove_if(cuts.begin(), cuts.end(), [h](const Cut &of) { return of.h == h; }), cuts.end());
    h->last_fault_us = c.now_us;
    apply_cuts();
}

void Losses::part(const std::vector<host *> &side)
{
    auto on_side = [&side](const host *h) { return std::find(side.begin(), side.end(), h) != side.end(); };
    for (int64_t i = 0; i < c.n; i++)
        for (int64_t k = 0; k < c.n; k++)
            if (c.hosts[i]->with_disk && c.hosts[k]->with_disk && on_side(c.hosts[i]) != on_side(c.hosts[k]))
                c.cut[i][k] = 1;
    for (host *h : side)
        cluster_trace(&c, 0, "%s is on the other side of a partition", h->name);
    cluster_note_controller_fault(&c);
}

void Losses::heal_all()
{
    cuts.clear();
    cluster_heal(&c);
}

void Losses::lose(host *h, Loss loss, int64_t frozen_ms)
{
    switch (loss) {
    case KILLED: host_kill(h, (int)cluster_pick(&c, 2)); break;
    case WIPED:
        host_kill(h, (int)cluster_pick(&c, 2));
        host_wipe(h);
        cluster_run(&c, 300);
        host_boot(h, 0);
        return;
    case REPLACED: cluster_replace(h); return;
    case FROZEN: host_freeze(h, frozen_ms); break;
    default: cut(h, loss);
    }
    away.push_back(h);
}

void Losses::reread_seeds()
{
    for (int64_t i = 0; i < c.n; i++) {
        host *h = c.hosts[i];
        if (h->up && h->controller)
            controller_set_seeds(h->controller, c.seeds, c.n_seeds);
        else if (h->up)
            agent_set_seeds(h->agent, c.seeds, c.n_seeds);
    }
}

void Losses::restore(host *h, Loss loss)
{
    if (loss == KILLED)
        host_boot(h, 0);
    else if (loss == FROZEN)
        cluster_run(&c, std::max<int64_t>(0, (h->thaw_us - c.now_us) / 1000 + 1));
    else if (loss >= CUT_OFF)
        heal(h);
    away.erase(std::remove(away.begin(), away.end(), h), away.end());
}

bool Losses::restore_first()
{
    if (kind == FROZEN && lost->frozen)
        return false;
    if (kind == WIPED) {
        host_kill(lost, 0);
        host_disk_rewind(lost);
        host_boot(lost, 0);
        return true;
    }
    if (kind == REPLACED) {
        lost->removed = 0;
        host_boot(lost, 0);
        return true;
    }
    restore(lost, kind);
    return true;
}

Step Losses::step()
{
    struct log *l = log();
    const struct log_member *former = l ? log_member(l, lost_id) : nullptr;
    if (!l)
        return LOST;
    bool committed = l->members_index <= l->commit;
    if (!former)
        return committed ? REMOVED : COMMITTED;
    if (former->voter == LOG_OUTGOING_VOTER)
        return committed ? COMMITTED : PROPOSED;
    Step at = LOST;
    for (int64_t i = 0; i < l->members.n; i++) {
        const struct log_member *m = &l->members.members[i];
        if (!m->voter && (has_spare(kind) || m->addr == fresh_addr))
            at = std::max(at, log_caught_up(l, m->id) ? CAUGHT_UP : LEARNS);
    }
    return at;
}

bool Losses::run_to(Step wanted)
{
    for (int64_t ms = 0; ms < 15000; ms++) {
        if (step() >= wanted)
            return true;
        EXPECT_LE(n_voters(), voters) << "a repair makes a majority larger\n" << trace();
        cluster_run(&c, 1);
    }
    return false;
}

int64_t Losses::serves_within(int64_t within_ms)
{
    int64_t before = c.n_accepted, from_us = c.now_us;
    while (c.n_accepted < before + 2 && c.now_us - from_us < within_ms * 1000)
        cluster_run(&c, 20);
    return c.n_accepted < before + 2 ? -1 : (c.now_us - from_us) / 1000;
}

void Losses::run_until_thawed()
{
    for (int64_t i = 0; i < c.n; i++)
        if (c.hosts[i]->frozen && c.hosts[i]->thaw_us > c.now_us)
            cluster_run(&c, (c.hosts[i]->thaw_us - c.now_us) / 1000 + 1);
    away.clear();
}

} // namespace losses
