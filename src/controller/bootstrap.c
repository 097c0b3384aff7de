/* Bootstrap of the log. At the first start of a fleet, each controller with a disk announces itself to the seeds
 * (FRAME_COLLECT). The seeds agree on a list of voters (ballot.c) and send it to these voters
 * (FRAME_BOOTSTRAP_MEMBERS), which start the log with it. The list is sent only after a majority of the seeds has
 * accepted it, and no voter accepts a second list. */
#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/error.h"
#include "controller/controller_state.h"

enum {
    ANNOUNCE_MS = 200,      /* between two announcements */
    QUIET_MS = 600,         /* time without a new candidate after which all are probably known */
    ENOUGH_WAIT_MS = 1200,  /* time after the first candidate at which the wanted number of candidates suffices */
    LONGEST_WAIT_MS = 3000, /* time after the first candidate at which any number of candidates suffices */
    VOTERS_MIN = 3          /* least number of voters that is wanted */
};

int64_t controller_voters_wanted(const struct controller *controller, int64_t available)
{
    int64_t lost = controller->setup.machines_lost > controller->setup.zones_lost ? controller->setup.machines_lost
                                                                                  : controller->setup.zones_lost;
    int64_t wanted = 2 * lost + 1 > VOTERS_MIN ? 2 * lost + 1 : VOTERS_MIN;
    if (wanted > available)
        wanted = available;
    return wanted & 1 ? wanted : wanted - 1;
}

/* Whether this controller's identity is among the bootstrap members. */
static int is_bootstrap_voter(const struct controller *controller)
{
    for (int64_t i = 0; i < controller->bootstrap_members.n; i++)
        if (controller->bootstrap_members.members[i].id == controller->id)
            return 1;
    return 0;
}

int bootstrap_load(struct controller *controller)
{
    schema_free(&log_members_schema, &controller->bootstrap_members);
    controller->bootstrap_members = (struct log_members){0};
    int rc = ballot_load(controller);
    if (rc || !controller->votes)
        return rc;
    rc = log_load_schema(controller->w, "founding", &log_members_schema, &controller->bootstrap_members);
    if (rc)
        return rc == ERROR_NOT_FOUND ? ERROR_NONE : rc;
    return is_bootstrap_voter(controller) && controller_empty(controller)
               ? log_bootstrap(&controller->log, &controller->bootstrap_members)
               : ERROR_NONE;
}

/* Starts the log with the chosen members, after they are synced. Does nothing unless the log has been read and is empty
 * and the list has the identity of this controller, which was created together with its disk. */
static void start_log(struct controller *controller, const struct log_members *members)
{
    struct log_members copy = {0};
    if (!controller->votes || controller->log.broken || controller->bootstrap_members.n ||
        !controller_empty(controller))
        return;
    schema_copy(&log_members_schema, &copy, members);
    struct log_members old = controller->bootstrap_members;
    controller->bootstrap_members = copy;
    if (!is_bootstrap_voter(controller) || log_save_schema(controller->w, "founding", &log_members_schema, members)) {
        schema_free(&log_members_schema, &copy);
        controller->bootstrap_members = old;
        return;
    }
    controller->bootstrapped_ms = world_ms(controller->w);
    log_bootstrap(&controller->log, members);
    world_note(controller->w, EV_FOUNDED, "voters=%lld", (long long)members->n);
}

/* --- seeds ------------------------------------------------------------ */

static void on_announcement(struct controller *controller, const struct bootstrap_announcement *announced)
{
    struct bootstrap_candidate *candidate = NULL;
    int64_t now_ms = world_ms(controller->w);
    for (int64_t i = 0; i < controller->n_candidates && !candidate; i++)
        if (controller->candidates[i].announced.addr == announced->addr)
            candidate = &controller->candidates[i];
    if (!candidate) {
        if (controller->n_candidates == CANDIDATES_MAX)
            return;
        candidate = array_add(controller->candidates, controller->n_candidates);
        controller->newest_candidate_ms = now_ms;
        if (!controller->first_candidate_ms)
            controller->first_candidate_ms = now_ms;
    }
    schema_free(&bootstrap_announcement_schema, &candidate->announced);
    schema_copy(&bootstrap_announcement_schema, &candidate->announced, announced);
    candidate->heard_ms = now_ms;
}

/* Only candidates heard recently become voters: a silent one would have to be replaced at once. */
static int heard_recently(const struct controller *controller, const struct bootstrap_candidate *candidate)
{
    return world_ms(controller->w) - candidate->heard_ms <= QUIET_MS;
}

static int by_zone(const void *a, const void *b)
{
    const struct bootstrap_candidate *x = a, *y = b;
    int zones = strcmp(x->announced.zone ? x->announced.zone : "", y->announced.zone ? y->announced.zone : "");
    return zones ? zones : x->announced.addr < y->announced.addr ? -1 : x->announced.addr > y->announced.addr;
}

static int64_t voters_in_zone(const struct log_members *members, const char *zone)
{
    int64_t n = 0;
    for (int64_t i = 0; i < members->n; i++)
        n += !strcmp(members->members[i].zone, zone);
    return n;
}

/* Adds voters to the list until it has the wanted number, each from the zone that has the fewest voters so far. */
static void pick_voters(struct controller *controller, struct log_members *to, int64_t wanted)
{
    char *taken = must_alloc((size_t)controller->n_candidates + 1);
    qsort(controller->candidates, (size_t)controller->n_candidates, sizeof *controller->candidates, by_zone);
    while (to->n < wanted) {
        int64_t best = -1;
        for (int64_t i = 0; i < controller->n_candidates; i++) {
            const struct bootstrap_announcement *announced = &controller->candidates[i].announced;
            if (!taken[i] && announced->empty && heard_recently(controller, &controller->candidates[i]) &&
                (best < 0 ||
                 voters_in_zone(to, announced->zone) < voters_in_zone(to, controller->candidates[best].announced.zone)))
                best = i;
        }
        if (best < 0)
            break;
        taken[best] = 1;
        const struct bootstrap_announcement *announced = &controller->candidates[best].announced;
        *array_add(to->members, to->n) = (struct log_member){
            .id = announced->id, .addr = announced->addr, .voter = LOG_VOTER, .zone = must_dup(announced->zone)};
    }
    free(taken);
}

void bootstrap_pick(struct controller *controller, struct log_members *to)
{
    int64_t now_ms = world_ms(controller->w), empty = 0, since_ms = now_ms - controller->first_candidate_ms;
    if (!controller->first_candidate_ms || controller->directory.term)
        return;
    for (int64_t i = 0; i < controller->n_candidates; i++) {
        const struct bootstrap_announcement *announced = &controller->candidates[i].announced;
        if (announced->members.n) {
            schema_copy(&log_members_schema, to, &announced->members); /* a log is started only with the chosen list */
            return;
        }
        empty += heard_recently(controller, &controller->candidates[i]) && announced->empty;
    }
    int enough =
        empty >= controller_voters_wanted(controller, INT64_MAX) &&
        ((since_ms >= QUIET_MS && now_ms - controller->newest_candidate_ms >= QUIET_MS) || since_ms >= ENOUGH_WAIT_MS);
    if (empty && (enough || since_ms >= LONGEST_WAIT_MS))
        pick_voters(controller, to, controller_voters_wanted(controller, empty));
}

/* Sends the chosen list to those of its voters that have not yet announced that their log was started with it. */
static void send_chosen(struct controller *controller)
{
    for (int64_t i = 0; i < controller->chosen_members.n; i++) {
        const struct log_member *member = &controller->chosen_members.members[i];
        int accepted = 0;
        for (int64_t k = 0; k < controller->n_candidates; k++)
            accepted |= controller->candidates[k].announced.id == member->id &&
                        controller->candidates[k].announced.members.n > 0;
        if (accepted)
            continue;
        if (member->addr == (int64_t)controller->w->self)
            start_log(controller, &controller->chosen_members);
        else
            controller_send(controller, member->addr, FRAME_BOOTSTRAP_MEMBERS, &log_members_schema,
                            &controller->chosen_members);
    }
}

void bootstrap_chosen(struct controller *controller, const struct log_members *members)
{
    if (controller->chosen_members.n)
        return;
    schema_copy(&log_members_schema, &controller->chosen_members, members);
    send_chosen(controller);
}

/* --- all controllers ---------------------------------------------------------------------------- */

/* Whether this controller announces itself: it does so until it is certain that the log is running. */
static int must_announce(const struct controller *controller)
{
    int recently =
        controller->bootstrapped_ms && world_ms(controller->w) - controller->bootstrapped_ms < 2LL * LONGEST_WAIT_MS;
    return controller->votes && controller->may_bootstrap &&
           (controller->bootstrap_members.n ? recently || !controller->log.commit : controller_empty(controller));
}

static int is_seed(const struct controller *controller, int64_t addr)
{
    for (int64_t i = 0; i < controller->acceptor.n_seeds; i++)
        if (controller->acceptor.seeds[i] == addr)
            return 1;
    return 0;
}

void bootstrap_on_timer(struct controller *controller)
{
    int64_t now_ms = world_ms(controller->w), self = (int64_t)controller->w->self;
    if (!controller->may_bootstrap || now_ms < controller->next_bootstrap_ms)
        return;
    controller->next_bootstrap_ms = now_ms + ANNOUNCE_MS;
    if (must_announce(controller)) {
        struct bootstrap_announcement announced = {.id = controller->id,
                                                   .addr = self,
                                                   .zone = controller->zone,
                                                   .empty = !controller->bootstrap_members.n,
                                                   .members = controller->bootstrap_members};
        for (int64_t i = 0; i < controller->acceptor.n_seeds; i++) {
            if (controller->acceptor.seeds[i] == self)
                on_announcement(controller, &announced);
            else
                controller_send(controller, controller->acceptor.seeds[i], FRAME_COLLECT,
                                &bootstrap_announcement_schema, &announced);
        }
    }
    if (!is_seed(controller, self) || ballot_finished(controller))
        return;
    if (controller->chosen_members.n)
        send_chosen(controller);
    else
        ballot_on_timer(controller);
}

void bootstrap_on_frame(struct controller *controller, const struct frame *frame)
{
    if (frame->kind == FRAME_BALLOT || frame->kind == FRAME_BALLOT_REPLY) {
        ballot_on_frame(controller, frame);
        return;
    }
    if (frame->kind == FRAME_COLLECT) {
        struct bootstrap_announcement announced = {0};
        if (controller->may_bootstrap &&
            !schema_unpack(&bootstrap_announcement_schema, &announced, frame->body, frame->len) && announced.zone)
            on_announcement(controller, &announced);
        schema_free(&bootstrap_announcement_schema, &announced);
        return;
    }
    struct log_members members = {0};
    if (!schema_unpack(&log_members_schema, &members, frame->body, frame->len))
        start_log(controller, &members);
    schema_free(&log_members_schema, &members);
}

void bootstrap_end(struct controller *controller)
{
    ballot_end(controller);
    for (int64_t i = 0; i < controller->n_candidates; i++)
        schema_free(&bootstrap_announcement_schema, &controller->candidates[i].announced);
    free(controller->candidates);
    schema_free(&log_members_schema, &controller->bootstrap_members);
    schema_free(&log_members_schema, &controller->chosen_members);
}
