/* Bootstrap of the log. At the first start of a fleet every controller with a disk announces itself to the seeds
 * (FRAME_COLLECT); the seeds agree on a list of voters (ballot.c) and send it to those (FRAME_BOOTSTRAP_MEMBERS), which
 * start the log with it. A voter receives a list only after a majority of the seeds has accepted it, and never takes a
 * second. */
#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/error.h"
#include "controller/controller_state.h"

enum {
    TELL_MS = 200,    /* between two announcements */
    QUIET_MS = 600,   /* no new candidate for so long: all are probably known */
    ENOUGH_MS = 1200, /* after the first candidate: enough candidates suffice */
    LONG_MS = 3000,   /* after the first candidate: any number suffices */
    VOTERS_LEAST = 3
};

int64_t controller_voters_wanted(const struct controller *c, int64_t there)
{
    int64_t lost = c->setup.machines_lost > c->setup.zones_lost ? c->setup.machines_lost : c->setup.zones_lost;
    int64_t want = 2 * lost + 1 > VOTERS_LEAST ? 2 * lost + 1 : VOTERS_LEAST;
    if (want > there)
        want = there;
    return want & 1 ? want : want - 1;
}

/* Is this identity among the bootstrap members? */
static int is_bootstrap_voter(const struct controller *c)
{
    for (int64_t i = 0; i < c->bootstrap_members.n; i++)
        if (c->bootstrap_members.members[i].id == c->id)
            return 1;
    return 0;
}

int bootstrap_load(struct controller *c)
{
    int rc = ballot_load(c);
    if (rc || !c->votes)
        return rc;
    rc = log_load_schema(c->w, "founding", &log_members_schema, &c->bootstrap_members);
    if (rc)
        return rc == ERROR_NOT_FOUND ? ERROR_NONE : rc;
    return is_bootstrap_voter(c) && controller_empty(c) ? log_bootstrap(&c->log, &c->bootstrap_members) : ERROR_NONE;
}

/* Starts the log with the chosen members, synced first. Only an empty disk does so, and only with a list that has its
 * identity, which was created together with that disk. */
static void take_members(struct controller *c, const struct log_members *members)
{
    struct log_members copy = {0};
    if (!c->votes || c->bootstrap_members.n || !controller_empty(c))
        return;
    schema_copy(&log_members_schema, &copy, members);
    struct log_members old = c->bootstrap_members;
    c->bootstrap_members = copy;
    if (!is_bootstrap_voter(c) || log_save_schema(c->w, "founding", &log_members_schema, members)) {
        schema_free(&log_members_schema, &copy);
        c->bootstrap_members = old;
        return;
    }
    c->bootstrapped_ms = world_ms(c->w);
    log_bootstrap(&c->log, members);
    world_note(c->w, EV_FOUNDED, "voters=%lld", (long long)members->n);
}

/* --- seeds ------------------------------------------------------------ */

static void on_collect(struct controller *c, const struct bootstrap_announcement *announced)
{
    struct bootstrap_candidate *at = NULL;
    int64_t now_ms = world_ms(c->w);
    for (int64_t i = 0; i < c->n_candidates && !at; i++)
        if (c->candidates[i].announced.addr == announced->addr)
            at = &c->candidates[i];
    if (!at) {
        if (c->n_candidates == CANDIDATES_MAX)
            return;
        at = array_add(c->candidates, c->n_candidates);
        c->newest_candidate_ms = now_ms;
        if (!c->first_candidate_ms)
            c->first_candidate_ms = now_ms;
    }
    schema_free(&bootstrap_announcement_schema, &at->announced);
    schema_copy(&bootstrap_announcement_schema, &at->announced, announced);
    at->heard_ms = now_ms;
}

/* Only candidates heard lately become voters; a silent one would have to be replaced at once. */
static int is_heard(const struct controller *c, const struct bootstrap_candidate *one)
{
    return world_ms(c->w) - one->heard_ms <= QUIET_MS;
}

static int by_zone(const void *a, const void *b)
{
    const struct bootstrap_candidate *x = a, *y = b;
    int zones = strcmp(x->announced.zone ? x->announced.zone : "", y->announced.zone ? y->announced.zone : "");
    return zones ? zones : x->announced.addr < y->announced.addr ? -1 : x->announced.addr > y->announced.addr;
}

static int64_t in_zone(const struct log_members *members, const char *zone)
{
    int64_t n = 0;
    for (int64_t i = 0; i < members->n; i++)
        n += !strcmp(members->members[i].zone, zone);
    return n;
}

/* Adds up to want voters to the list, one at a time, each from the zone that has the fewest so far. */
static void pick(struct controller *c, struct log_members *to, int64_t want)
{
    char *taken = must_alloc((size_t)c->n_candidates + 1);
    qsort(c->candidates, (size_t)c->n_candidates, sizeof *c->candidates, by_zone);
    while (to->n < want) {
        int64_t best = -1;
        for (int64_t i = 0; i < c->n_candidates; i++) {
            const struct bootstrap_announcement *announced = &c->candidates[i].announced;
            if (!taken[i] && announced->empty && is_heard(c, &c->candidates[i]) &&
                (best < 0 || in_zone(to, announced->zone) < in_zone(to, c->candidates[best].announced.zone)))
                best = i;
        }
        if (best < 0)
            break;
        taken[best] = 1;
        const struct bootstrap_announcement *announced = &c->candidates[best].announced;
        *array_add(to->members, to->n) = (struct log_member){
            .id = announced->id, .addr = announced->addr, .voter = LOG_VOTER, .zone = must_dup(announced->zone)};
    }
    free(taken);
}

void bootstrap_pick(struct controller *c, struct log_members *to)
{
    int64_t now_ms = world_ms(c->w), empty = 0, since_ms = now_ms - c->first_candidate_ms;
    if (!c->first_candidate_ms || c->directory.term)
        return;
    for (int64_t i = 0; i < c->n_candidates; i++) {
        const struct bootstrap_announcement *announced = &c->candidates[i].announced;
        if (announced->members.n) {
            schema_copy(&log_members_schema, to, &announced->members); /* it took a list, so that list was chosen */
            return;
        }
        empty += is_heard(c, &c->candidates[i]) && announced->empty;
    }
    int enough = empty >= controller_voters_wanted(c, INT64_MAX) &&
                 ((since_ms >= QUIET_MS && now_ms - c->newest_candidate_ms >= QUIET_MS) || since_ms >= ENOUGH_MS);
    if (empty && (enough || since_ms >= LONG_MS))
        pick(c, to, controller_voters_wanted(c, empty));
}

/* Sends the chosen list to each of its voters that has not announced yet that it took it. */
static void tell_chosen(struct controller *c)
{
    for (int64_t i = 0; i < c->chosen_members.n; i++) {
        const struct log_member *m = &c->chosen_members.members[i];
        int accepted = 0;
        for (int64_t k = 0; k < c->n_candidates; k++)
            accepted |= c->candidates[k].announced.id == m->id && c->candidates[k].announced.members.n > 0;
        if (accepted)
            continue;
        if (m->addr == (int64_t)c->w->self)
            take_members(c, &c->chosen_members);
        else
            controller_send(c, m->addr, FRAME_BOOTSTRAP_MEMBERS, &log_members_schema, &c->chosen_members);
    }
}

void bootstrap_chosen(struct controller *c, const struct log_members *members)
{
    if (c->chosen_members.n)
        return;
    schema_copy(&log_members_schema, &c->chosen_members, members);
    tell_chosen(c);
}

/* --- all controllers ---------------------------------------------------------------------------- */

/* Does this controller announce itself? Until it is certain that the log is running. */
static int announces(const struct controller *c)
{
    int recently = c->bootstrapped_ms && world_ms(c->w) - c->bootstrapped_ms < 2LL * LONG_MS;
    return c->votes && c->may_bootstrap && (c->bootstrap_members.n ? recently || !c->log.commit : controller_empty(c));
}

static int is_seed(const struct controller *c, int64_t addr)
{
    for (int64_t i = 0; i < c->acceptor.n_seeds; i++)
        if (c->acceptor.seeds[i] == addr)
            return 1;
    return 0;
}

void bootstrap_on_timer(struct controller *c)
{
    int64_t now_ms = world_ms(c->w), self = (int64_t)c->w->self;
    if (!c->may_bootstrap || now_ms < c->next_bootstrap_ms)
        return;
    c->next_bootstrap_ms = now_ms + TELL_MS;
    if (announces(c)) {
        struct bootstrap_announcement announced = {.id = c->id,
                                                   .addr = self,
                                                   .zone = c->zone,
                                                   .empty = !c->bootstrap_members.n,
                                                   .members = c->bootstrap_members};
        for (int64_t i = 0; i < c->acceptor.n_seeds; i++) {
            if (c->acceptor.seeds[i] == self)
                on_collect(c, &announced);
            else
                controller_send(c, c->acceptor.seeds[i], FRAME_COLLECT, &bootstrap_announcement_schema, &announced);
        }
    }
    if (!is_seed(c, self) || ballot_over(c))
        return;
    if (c->chosen_members.n)
        tell_chosen(c);
    else
        ballot_on_timer(c);
}

void bootstrap_on_frame(struct controller *c, const struct frame *frame)
{
    if (frame->kind == FRAME_BALLOT || frame->kind == FRAME_BALLOT_REPLY) {
        ballot_take(c, frame);
        return;
    }
    if (frame->kind == FRAME_COLLECT) {
        struct bootstrap_announcement announced = {0};
        if (c->may_bootstrap && !schema_unpack(&bootstrap_announcement_schema, &announced, frame->body, frame->len) &&
            announced.zone)
            on_collect(c, &announced);
        schema_free(&bootstrap_announcement_schema, &announced);
        return;
    }
    struct log_members members = {0};
    if (!schema_unpack(&log_members_schema, &members, frame->body, frame->len))
        take_members(c, &members);
    schema_free(&log_members_schema, &members);
}

void bootstrap_end(struct controller *c)
{
    ballot_end(c);
    for (int64_t i = 0; i < c->n_candidates; i++)
        schema_free(&bootstrap_announcement_schema, &c->candidates[i].announced);
    free(c->candidates);
    schema_free(&log_members_schema, &c->bootstrap_members);
    schema_free(&log_members_schema, &c->chosen_members);
}
