/* Single-decree consensus (Paxos) of the seeds on the first voters.
 * The acceptors are the seeds as configured at the first start. A list of voters is chosen once a majority of them has
 * accepted it under one ballot; a proposer with a later ballot learns of it from a promise and proposes it again. The
 * seeds are also the proposers, in the order of their addresses, each after a longer silence than the one before.
 * An acceptor syncs its state before it replies. A seed without a disk has lost that state after a restart, so it takes
 * part only at its first start. */
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "controller/controller_state.h"

enum {
    TAKE_OVER_MS = 800, /* silence before a seed proposes, for each seed of a lower rank */
    AGAIN_MS = 3000,    /* wait after a restart: a log may already exist */
    RETRY_MS = 200
};
/* A ballot number is (round * RANDOM + random) * RANKS + rank, so it is unique to its proposer. */
enum { RANKS = 8, RANDOM = 1 << 20 };

/* Position of addr in the order of the acceptors' addresses; -1: not an acceptor. */
static int64_t rank_of(const struct controller *c, int64_t addr)
{
    int64_t rank = 0, found = 0;
    for (int64_t i = 0; i < c->acceptor.n_seeds; i++) {
        rank += c->acceptor.seeds[i] < addr;
        found |= c->acceptor.seeds[i] == addr;
    }
    return found ? rank : -1;
}

static int save(struct controller *c, const struct acceptor *next)
{
    return c->votes ? log_save_schema(c->w, "founding-ballot", &acceptor_schema, next) : ERROR_NONE;
}

/* Participation in the first start is synced before the first message is sent. */
int ballot_load(struct controller *c)
{
    int rc = ERROR_NOT_FOUND;
    if (c->votes)
        rc = log_load_schema(c->w, "founding-ballot", &acceptor_schema, &c->acceptor);
    c->proposer.start_ms = world_ms(c->w) + (rc ? 0 : AGAIN_MS);
    c->may_bootstrap = !rc;
    if (rc != ERROR_NOT_FOUND || !c->setup.first_start)
        return rc == ERROR_NOT_FOUND ? ERROR_NONE : rc;
    c->may_bootstrap = 1;
    for (int64_t i = 0; i < c->n_seeds; i++)
        *array_add(c->acceptor.seeds, c->acceptor.n_seeds) = c->seeds[i];
    return rank_of(c, (int64_t)c->w->self) >= 0 ? save(c, &c->acceptor) : ERROR_NONE;
}

int ballot_over(const struct controller *c) { return c->directory.term || c->log.term > 1 || c->log.commit; }

/* --- acceptor ------------------------------------------------------------------ */

/* Promises request->ballot and, if accepted is set, accepts its members. On an error nothing has changed. */
static int persist(struct controller *c, int64_t accepted, const struct ballot *request)
{
    struct acceptor next = c->acceptor;
    next.promised = request->ballot;
    if (accepted) {
        next.accepted = request->ballot;
        next.members = request->members;
    }
    int rc = save(c, &next);
    if (rc)
        return rc;
    if (accepted) {
        schema_free(&log_members_schema, &c->acceptor.members);
        schema_copy(&log_members_schema, &next.members, &request->members);
    }
    c->acceptor = next;
    return ERROR_NONE;
}

/* The acceptor's reply to a request; its members belong to the acceptor. Returns 0, and no reply, on a disk error. */
static int acceptor_answer(struct controller *c, const struct ballot *request, struct ballot_reply *to)
{
    struct acceptor *a = &c->acceptor;
    int rc = ERROR_NONE;
    if (request->ballot > a->promised && request->phase == BALLOT_PREPARE)
        rc = persist(c, 0, request);
    else if (request->ballot >= a->promised && request->phase == BALLOT_ACCEPT && request->ballot != a->accepted)
        rc = persist(c, 1, request);
    *to = (struct ballot_reply){.ballot = request->ballot,
                                .phase = request->phase,
                                .promised = a->promised,
                                .accepted = a->accepted,
                                .log_exists = ballot_over(c),
                                .members = a->members};
    return !rc;
}

/* --- proposer ------------------------------------------------------------------- */

static void give_up(struct controller *c, int64_t wait_ms)
{
    struct proposer *p = &c->proposer;
    int64_t start_ms = world_ms(c->w) + wait_ms;
    p->ballot = p->phase = p->best_accepted = 0;
    p->start_ms = start_ms > p->start_ms ? start_ms : p->start_ms;
    schema_free(&log_members_schema, &p->members);
    p->members = (struct log_members){0};
}

static void on_reply(struct controller *c, int64_t from, const struct ballot_reply *reply);

/* Sends the request of the current phase to all acceptors; the local one first, which persists the ballot so that it is
 * never used twice. */
static void send_ballot(struct controller *c)
{
    struct proposer *p = &c->proposer;
    struct ballot m = {.ballot = p->ballot, .phase = p->phase};
    int64_t self = (int64_t)c->w->self, phase = p->phase;
    struct ballot_reply reply;
    if (phase == BALLOT_ACCEPT)
        m.members = p->members;
    if (!(p->agreed >> rank_of(c, self) & 1)) {
        if (!acceptor_answer(c, &m, &reply))
            return;
        on_reply(c, self, &reply);
    }
    for (int64_t i = 0; i < c->acceptor.n_seeds && p->ballot == m.ballot && p->phase == phase; i++)
        if (c->acceptor.seeds[i] != self) /* also those that replied: it keeps them from proposing */
            controller_send(c, c->acceptor.seeds[i], FRAME_BALLOT, &ballot_schema, &m);
}

static int majority_answered(const struct controller *c)
{
    return __builtin_popcountll((unsigned long long)c->proposer.agreed) > c->acceptor.n_seeds / 2;
}

/* After promises of a majority: proposes the list accepted under the highest ballot, else a list of its own choice. */
static void begin_accept(struct controller *c)
{
    struct proposer *p = &c->proposer;
    if (!p->members.n)
        bootstrap_pick(c, &p->members);
    if (!p->members.n)
        return;
    p->phase = BALLOT_ACCEPT;
    p->agreed = 0;
    send_ballot(c);
}

static void on_reply(struct controller *c, int64_t from, const struct ballot_reply *reply)
{
    struct proposer *p = &c->proposer;
    int64_t rank = rank_of(c, from);
    if (rank < 0)
        return;
    if (reply->promised > p->highest_promised)
        p->highest_promised = reply->promised;
    if (!p->ballot || reply->ballot != p->ballot || reply->phase != p->phase)
        return;
    if (reply->log_exists || reply->promised > p->ballot) {
        give_up(c, reply->log_exists ? AGAIN_MS : RETRY_MS + (int64_t)(world_random(c->w) % RETRY_MS));
        return;
    }
    p->agreed |= 1LL << rank;
    if (p->phase == BALLOT_PREPARE && reply->accepted > p->best_accepted) {
        p->best_accepted = reply->accepted;
        schema_free(&log_members_schema, &p->members);
        schema_copy(&log_members_schema, &p->members, &reply->members);
    }
    if (!majority_answered(c))
        return;
    if (p->phase == BALLOT_ACCEPT)
        bootstrap_chosen(c, &p->members);
    else if (p->best_accepted)
        begin_accept(c);
}

void ballot_on_timer(struct controller *c)
{
    struct proposer *p = &c->proposer;
    int64_t now_ms = world_ms(c->w), rank = rank_of(c, (int64_t)c->w->self), top = p->highest_promised;
    if (!p->ballot) {
        int64_t since_ms = p->heard_ms > p->start_ms ? p->heard_ms : p->start_ms;
        if (now_ms < since_ms + rank * TAKE_OVER_MS || rank >= RANKS)
            return;
        if (c->acceptor.promised > top)
            top = c->acceptor.promised;
        int64_t round = top / RANKS / RANDOM + 1;
        p->ballot = (round * RANDOM + (int64_t)(world_random(c->w) % RANDOM)) * RANKS + rank;
        p->phase = BALLOT_PREPARE;
        p->agreed = 0;
    } else if (p->phase == BALLOT_PREPARE && majority_answered(c)) {
        begin_accept(c);
        if (p->phase != BALLOT_PREPARE)
            return;
    }
    send_ballot(c);
}

void ballot_take(struct controller *c, const struct frame *frame)
{
    union {
        struct ballot ballot;
        struct ballot_reply reply;
    } m = {0};
    const struct schema *schema = frame->kind == FRAME_BALLOT ? &ballot_schema : &ballot_reply_schema;
    int64_t from = (int64_t)frame->from;
    struct ballot_reply reply;
    if (!c->may_bootstrap || c->log.broken || rank_of(c, (int64_t)c->w->self) < 0 || rank_of(c, from) < 0 ||
        schema_unpack(schema, &m, frame->body, frame->len))
        return;
    if (frame->kind == FRAME_BALLOT_REPLY) {
        if (!c->chosen_members.n)
            on_reply(c, from, &m.reply);
    } else if ((m.ballot.phase == BALLOT_PREPARE || (m.ballot.phase == BALLOT_ACCEPT && m.ballot.members.n)) &&
               acceptor_answer(c, &m.ballot, &reply)) {
        if (m.ballot.ballot == c->acceptor.promised)
            c->proposer.heard_ms = world_ms(c->w);
        controller_send(c, from, FRAME_BALLOT_REPLY, &ballot_reply_schema, &reply);
    }
    schema_free(schema, &m);
}

void ballot_end(struct controller *c)
{
    schema_free(&acceptor_schema, &c->acceptor);
    schema_free(&log_members_schema, &c->proposer.members);
}
