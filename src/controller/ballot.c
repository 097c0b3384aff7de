/* Single-decree consensus (Paxos) among the seeds on the first voters.
 * The acceptors are the seeds as configured at the first start. A list of voters is chosen once a majority of the
 * acceptors has accepted it under the same ballot; a proposer with a higher ballot learns the list from a promise and
 * proposes it again. The seeds are also the proposers. They take over in the order of their addresses: the higher the
 * rank of a seed, the longer the silence after which it proposes.
 * An acceptor syncs its state before it replies. A seed without a disk loses that state in a restart, so it takes part
 * only at its first start. */
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "controller/controller_state.h"

enum {
    TAKE_OVER_MS = 800,     /* silence before a seed proposes, times its rank */
    RESTART_WAIT_MS = 3000, /* wait after a restart, when a log may already exist, or after a reply that one exists */
    RETRY_MS = 200          /* least time before the next proposal after a refusal */
};
/* A ballot number is (round * RANDOM_RANGE + random) * RANKS + rank, so no two proposers use the same one. */
enum { RANKS = 8, RANDOM_RANGE = 1 << 20 };

/* Position of addr among the sorted addresses of the acceptors; -1: not an acceptor. */
static int64_t rank_of(const struct controller *controller, int64_t addr)
{
    int64_t rank = 0, found = 0;
    for (int64_t i = 0; i < controller->acceptor.n_seeds; i++) {
        rank += controller->acceptor.seeds[i] < addr;
        found |= controller->acceptor.seeds[i] == addr;
    }
    return found ? rank : -1;
}

static int save_acceptor(struct controller *controller, const struct acceptor *next)
{
    return controller->votes ? log_save_schema(controller->w, "founding-ballot", &acceptor_schema, next) : ERROR_NONE;
}

/* That this acceptor takes part in the first start is synced before its first message is sent. */
int ballot_load(struct controller *controller)
{
    int rc = ERROR_NOT_FOUND;
    schema_free(&acceptor_schema, &controller->acceptor);
    controller->acceptor = (struct acceptor){0};
    if (controller->votes)
        rc = log_load_schema(controller->w, "founding-ballot", &acceptor_schema, &controller->acceptor);
    controller->proposer.start_ms = world_ms(controller->w) + (rc ? 0 : RESTART_WAIT_MS);
    controller->may_bootstrap = !rc;
    if (rc != ERROR_NOT_FOUND || !controller->setup.first_start)
        return rc == ERROR_NOT_FOUND ? ERROR_NONE : rc;
    controller->may_bootstrap = 1;
    for (int64_t i = 0; i < controller->n_seeds; i++)
        *array_add(controller->acceptor.seeds, controller->acceptor.n_seeds) = controller->seeds[i];
    return rank_of(controller, (int64_t)controller->w->self) >= 0 ? save_acceptor(controller, &controller->acceptor)
                                                                  : ERROR_NONE;
}

int ballot_finished(const struct controller *controller)
{
    return controller->directory.term || controller->log.term > 1 || controller->log.commit;
}

/* --- acceptor ------------------------------------------------------------------ */

/* Promises request->ballot and, if accepted is set, also accepts its members. Changes nothing on an error. */
static int update_acceptor(struct controller *controller, int64_t accepted, const struct ballot *request)
{
    struct acceptor next = controller->acceptor;
    next.promised = request->ballot;
    if (accepted) {
        next.accepted = request->ballot;
        next.members = request->members;
    }
    int rc = save_acceptor(controller, &next);
    if (rc)
        return rc;
    if (accepted) {
        schema_free(&log_members_schema, &controller->acceptor.members);
        schema_copy(&log_members_schema, &next.members, &request->members);
    }
    controller->acceptor = next;
    return ERROR_NONE;
}

/* Handles a request as an acceptor and fills in the reply, whose members stay owned by the acceptor. Returns 0 on a
 * disk error: no reply must be sent then. */
static int acceptor_reply(struct controller *controller, const struct ballot *request, struct ballot_reply *to)
{
    struct acceptor *acceptor = &controller->acceptor;
    int rc = ERROR_NONE;
    if (request->ballot > acceptor->promised && request->phase == BALLOT_PREPARE)
        rc = update_acceptor(controller, 0, request);
    else if (request->ballot >= acceptor->promised && request->phase == BALLOT_ACCEPT &&
             request->ballot != acceptor->accepted)
        rc = update_acceptor(controller, 1, request);
    *to = (struct ballot_reply){.ballot = request->ballot,
                                .phase = request->phase,
                                .promised = acceptor->promised,
                                .accepted = acceptor->accepted,
                                .log_exists = ballot_finished(controller),
                                .members = acceptor->members};
    return !rc;
}

/* --- proposer ------------------------------------------------------------------- */

static void abandon_ballot(struct controller *controller, int64_t wait_ms)
{
    struct proposer *proposer = &controller->proposer;
    int64_t start_ms = world_ms(controller->w) + wait_ms;
    proposer->ballot = proposer->phase = proposer->best_accepted = 0;
    proposer->start_ms = start_ms > proposer->start_ms ? start_ms : proposer->start_ms;
    schema_free(&log_members_schema, &proposer->members);
    proposer->members = (struct log_members){0};
}

static void on_reply(struct controller *controller, int64_t from, const struct ballot_reply *reply);

/* Sends the request of the current phase to all acceptors, first to the local one: it saves the ballot, so that the
 * ballot is never used twice. */
static void send_ballot(struct controller *controller)
{
    struct proposer *proposer = &controller->proposer;
    struct ballot message = {.ballot = proposer->ballot, .phase = proposer->phase};
    int64_t self = (int64_t)controller->w->self, phase = proposer->phase;
    struct ballot_reply reply;
    if (phase == BALLOT_ACCEPT)
        message.members = proposer->members;
    if (!(proposer->agreed >> rank_of(controller, self) & 1)) {
        if (!acceptor_reply(controller, &message, &reply))
            return;
        on_reply(controller, self, &reply);
    }
    for (int64_t i = 0;
         i < controller->acceptor.n_seeds && proposer->ballot == message.ballot && proposer->phase == phase; i++)
        if (controller->acceptor.seeds[i] != self) /* also to those that replied: it keeps them from proposing */
            controller_send(controller, controller->acceptor.seeds[i], FRAME_BALLOT, &ballot_schema, &message);
}

static int majority_agreed(const struct controller *controller)
{
    return __builtin_popcountll((unsigned long long)controller->proposer.agreed) > controller->acceptor.n_seeds / 2;
}

/* Called after a majority has promised: proposes the list that was accepted under the highest ballot, or else a list of
 * its own choice. */
static void begin_accept(struct controller *controller)
{
    struct proposer *proposer = &controller->proposer;
    if (!proposer->members.n)
        bootstrap_pick(controller, &proposer->members);
    if (!proposer->members.n)
        return;
    proposer->phase = BALLOT_ACCEPT;
    proposer->agreed = 0;
    send_ballot(controller);
}

static void on_reply(struct controller *controller, int64_t from, const struct ballot_reply *reply)
{
    struct proposer *proposer = &controller->proposer;
    int64_t rank = rank_of(controller, from);
    if (rank < 0)
        return;
    if (reply->promised > proposer->highest_promised)
        proposer->highest_promised = reply->promised;
    if (!proposer->ballot || reply->ballot != proposer->ballot || reply->phase != proposer->phase)
        return;
    if (reply->log_exists || reply->promised > proposer->ballot) {
        abandon_ballot(controller, reply->log_exists ? RESTART_WAIT_MS
                                                     : RETRY_MS + (int64_t)(world_random(controller->w) % RETRY_MS));
        return;
    }
    proposer->agreed |= 1LL << rank;
    if (proposer->phase == BALLOT_PREPARE && reply->accepted > proposer->best_accepted) {
        proposer->best_accepted = reply->accepted;
        schema_free(&log_members_schema, &proposer->members);
        schema_copy(&log_members_schema, &proposer->members, &reply->members);
    }
    if (!majority_agreed(controller))
        return;
    if (proposer->phase == BALLOT_ACCEPT)
        bootstrap_chosen(controller, &proposer->members);
    else if (proposer->best_accepted)
        begin_accept(controller);
}

void ballot_on_timer(struct controller *controller)
{
    struct proposer *proposer = &controller->proposer;
    int64_t now_ms = world_ms(controller->w), rank = rank_of(controller, (int64_t)controller->w->self),
            highest = proposer->highest_promised;
    if (!proposer->ballot) {
        int64_t since_ms = proposer->heard_ms > proposer->start_ms ? proposer->heard_ms : proposer->start_ms;
        if (now_ms < since_ms + rank * TAKE_OVER_MS || rank >= RANKS)
            return;
        if (controller->acceptor.promised > highest)
            highest = controller->acceptor.promised;
        int64_t round = highest / RANKS / RANDOM_RANGE + 1;
        proposer->ballot =
            (round * RANDOM_RANGE + (int64_t)(world_random(controller->w) % RANDOM_RANGE)) * RANKS + rank;
        proposer->phase = BALLOT_PREPARE;
        proposer->agreed = 0;
    } else if (proposer->phase == BALLOT_PREPARE && majority_agreed(controller)) {
        begin_accept(controller);
        if (proposer->phase != BALLOT_PREPARE)
            return;
    }
    send_ballot(controller);
}

void ballot_on_frame(struct controller *controller, const struct frame *frame)
{
    union {
        struct ballot ballot;
        struct ballot_reply reply;
    } message = {0};
    const struct schema *schema = frame->kind == FRAME_BALLOT ? &ballot_schema : &ballot_reply_schema;
    int64_t from = (int64_t)frame->from;
    struct ballot_reply reply;
    if (!controller->may_bootstrap || controller->log.broken || rank_of(controller, (int64_t)controller->w->self) < 0 ||
        rank_of(controller, from) < 0 || schema_unpack(schema, &message, frame->body, frame->len))
        return;
    if (frame->kind == FRAME_BALLOT_REPLY) {
        if (!controller->chosen_members.n)
            on_reply(controller, from, &message.reply);
    } else if ((message.ballot.phase == BALLOT_PREPARE ||
                (message.ballot.phase == BALLOT_ACCEPT && message.ballot.members.n)) &&
               acceptor_reply(controller, &message.ballot, &reply)) {
        if (message.ballot.ballot == controller->acceptor.promised)
            controller->proposer.heard_ms = world_ms(controller->w);
        controller_send(controller, from, FRAME_BALLOT_REPLY, &ballot_reply_schema, &reply);
    }
    schema_free(schema, &message);
}

void ballot_end(struct controller *controller)
{
    schema_free(&acceptor_schema, &controller->acceptor);
    schema_free(&log_members_schema, &controller->proposer.members);
}
