/* Life cycle of a controller: connects the log, the record, dispatch and the other modules of this folder, and passes
 * each frame to the module that handles it. */
#include "controller/controller_state.h"

#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/error.h"

enum {
    SERVE_WHILE_LEAVING_MS = 2500, /* time after a request to stop while callers may still use this address */
    HAND_OVER_MS = 1000            /* a leader that handed over steps down if no successor is elected in this time */
};

/* --- calls of dispatch ------------------------------------------------------- */

static void on_committed(void *arg, int64_t tag, int error, const struct bytes *result)
{
    dispatch_committed(((struct controller *)arg)->dispatch, tag, error, result);
}

static void propose(void *arg, const struct bytes *batch, int64_t tag)
{
    struct controller *controller = arg;
    if (controller->votes)
        log_propose(&controller->log, ENTRY_OP, batch, on_committed, controller, tag);
    else
        dispatch_committed(controller->dispatch, tag, ERROR_NOT_LEADER, NULL);
}

static void on_dispatch_response(void *arg, int64_t ticket, const struct api_response *response)
{
    relay_response(arg, ticket, response);
}

static void send_orders(void *arg, int64_t agent, const struct agent_orders *orders)
{
    controller_send(arg, agent, FRAME_ORDERS, &agent_orders_schema, orders);
}

static int holds_lease(void *arg)
{
    struct controller *controller = arg;
    return controller->votes && log_has_lease(&controller->log);
}

static void on_read_confirmed(void *arg, int64_t tag, int error, const struct bytes *unused)
{
    (void)unused;
    dispatch_barrier(((struct controller *)arg)->dispatch, tag, error);
}

static void barrier(void *arg, int64_t tag)
{
    struct controller *controller = arg;
    if (controller->votes)
        log_read(&controller->log, on_read_confirmed, controller, tag);
    else
        dispatch_barrier(controller->dispatch, tag, ERROR_NOT_LEADER);
}

/* --- life cycle ------------------------------------------------------------------------ */

struct controller *controller_new(struct world *w, const struct controller_setup *setup)
{
    struct controller *controller = must_alloc(sizeof *controller);
    const struct dispatch_calls calls = {.propose = propose,
                                         .answer = on_dispatch_response,
                                         .orders = send_orders,
                                         .holds_lease = holds_lease,
                                         .barrier = barrier,
                                         .arg = controller};
    controller->w = w;
    controller->setup = *setup;
    controller->cluster = (uint32_t)hash_text(setup->cluster);
    controller->zone = must_dup(setup->zone);
    controller->votes = setup->disk;
    record_start(&controller->record);
    controller->record.patch_config = setup->codec->patch_config;
    directory_start(&controller->directory, w, controller->cluster, NULL, 0, 1, setup->disk, setup->boot);
    controller_set_seeds(controller, setup->seeds, setup->n_seeds);
    if (controller->votes)
        storage_open(controller);
    else
        bootstrap_load(controller);
    controller->dispatch = dispatch_new(w, &controller->record, &setup->dispatch, &calls);
    return controller;
}

void controller_free(struct controller *controller)
{
    if (controller->dispatch)
        dispatch_free(controller->dispatch);
    relay_end(controller);
    bootstrap_end(controller);
    members_end(controller);
    if (controller->votes)
        log_end(&controller->log);
    record_end(&controller->record);
    free(controller->zone);
    free(controller);
}

void controller_send(struct controller *controller, int64_t to, enum frame_kind kind, const struct schema *schema,
                     const void *msg)
{
    struct blob *out = blob_new();
    frame_build(&out->bytes, kind, controller->cluster, controller->w->self, schema, msg);
    controller->w->calls->send(controller->w, (uint64_t)to, out, 0);
    blob_drop(out);
}

int controller_empty(const struct controller *controller)
{
    return !controller->log.members.n && !log_last(&controller->log) && !controller->log.term;
}

void controller_set_seeds(struct controller *controller, const int64_t *seeds, int64_t n_seeds)
{
    controller->n_seeds = 0;
    for (int64_t i = 0; i < n_seeds && i < COUNT_OF(controller->seeds); i++)
        controller->seeds[controller->n_seeds++] = seeds[i];
    directory_set_seeds(&controller->directory, controller->seeds, controller->n_seeds);
}

/* Starts or stops dispatch and updates the directory to match this controller's role in the log. */
static void apply_log_role(struct controller *controller)
{
    struct log *log = &controller->log;
    int is_leader = log->role == LOG_LEADER && !log->broken;
    if (!is_leader && dispatch_is_leader(controller->dispatch))
        dispatch_become_follower(controller->dispatch);
    /* the record has all entries committed by earlier leaders once an entry of this leader's term is committed */
    if (is_leader && !dispatch_is_leader(controller->dispatch) && log_term_at(log, log->commit) == log->term)
        dispatch_become_leader(controller->dispatch, log->term);
    if (is_leader && log_has_lease(log))
        directory_learn_leader(&controller->directory, log->term, (int64_t)controller->w->self);
    else if (controller->directory.leader == (int64_t)controller->w->self)
        directory_suspect_leader(&controller->directory);
    if (!is_leader && log->leader_addr && log->leader_addr != (int64_t)controller->w->self && log->heard_leader_ms &&
        world_ms(controller->w) - log->heard_leader_ms < 2LL * HEARTBEAT_MS)
        directory_learn_leader(&controller->directory, log->term, log->leader_addr);
}

/* Delays the own candidacy of a leaving voter, so that another voter is elected first; but not for longer than an
 * election takes: if this voter holds entries that the others lack, none of them can be elected, and it must become a
 * candidate itself. */
static void defer_election(struct controller *controller)
{
    struct log *log = &controller->log;
    int64_t now_ms = world_ms(controller->w), since_ms = controller->leave_ms;
    if (log->heard_leader_ms > since_ms)
        since_ms = log->heard_leader_ms;
    if (log->handed_over_ms > since_ms)
        since_ms = log->handed_over_ms;
    if (now_ms - since_ms < 2LL * ELECTION_MS && log->election_due_ms < now_ms + ELECTION_MS)
        log->election_due_ms = now_ms + ELECTION_MS;
}

/* Planned shutdown: hands over leadership and delays the own candidacy; see also leaving.c. */
static void leave_on_timer(struct controller *controller)
{
    struct log *log = &controller->log;
    int64_t now_ms = world_ms(controller->w);
    if (log->role == LOG_LEADER && log->handed_over_ms && now_ms - log->handed_over_ms > HAND_OVER_MS)
        log_become_follower(log, log->term, 0);
    if (!controller->leaving)
        return;
    if (!controller->leave_wait_reported && now_ms - controller->leave_ms >= SERVE_WHILE_LEAVING_MS &&
        !leaving_may_end(controller)) {
        controller->leave_wait_reported = 1;
        world_note(controller->w, EV_LEAVE_WAITS, "log=%s commit=%lld", log->name, (long long)log->commit);
    }
    int urgent = now_ms - controller->leave_ms >= controller->setup.grace_ms - 1000 - HAND_OVER_MS;
    if (log->role == LOG_LEADER && !log->handed_over_ms && now_ms >= controller->next_hand_over_ms &&
        leaving_may_hand_over(controller, urgent)) {
        controller->next_hand_over_ms = now_ms + 2LL * HEARTBEAT_MS;
        log_hand_over(log);
    } else if (log->role == LOG_FOLLOWER) {
        defer_election(controller);
    }
}

void controller_on_timer(struct controller *controller)
{
    if (controller->votes) {
        log_on_timer(&controller->log);
        storage_on_timer(controller);
        leave_on_timer(controller);
        apply_log_role(controller);
    }
    if (!controller->log.broken)
        bootstrap_on_timer(controller);
    if (controller->votes && !controller->log.broken) {
        members_on_timer(controller);
        leaving_on_timer(controller);
    }
    directory_on_timer(&controller->directory);
    dispatch_on_timer(controller->dispatch);
    relay_on_timer(controller);
    controller_flush(controller);
}

void controller_flush(struct controller *controller)
{
    if (dispatch_is_leader(controller->dispatch))
        dispatch_flush(controller->dispatch);
    if (controller->votes)
        log_flush(&controller->log);
}

static void on_report(struct controller *controller, const struct frame *frame)
{
    struct agent_report report = {0};
    if (dispatch_is_leader(controller->dispatch) &&
        !schema_unpack(&agent_report_schema, &report, frame->body, frame->len))
        dispatch_report(controller->dispatch, (int64_t)frame->from, &report);
    schema_free(&agent_report_schema, &report);
}

static void on_join(struct controller *controller, const struct frame *frame)
{
    struct join join = {0};
    if (controller->votes && controller->log.role == LOG_LEADER &&
        !schema_unpack(&join_schema, &join, frame->body, frame->len))
        members_on_join(controller, &join);
    schema_free(&join_schema, &join);
}

static void on_leaving(struct controller *controller, const struct frame *frame)
{
    struct leaving message = {0};
    if (controller->votes && !controller->log.broken &&
        !schema_unpack(&leaving_schema, &message, frame->body, frame->len))
        leaving_on_message(controller, (int64_t)frame->from, &message);
    schema_free(&leaving_schema, &message);
}

static int on_log_frame(struct controller *controller, const struct frame *frame)
{
    if (!controller->votes || controller->log.broken)
        return ERROR_NONE;
    int rc = log_on_frame(&controller->log, frame);
    apply_log_role(controller);
    return rc;
}

void controller_on_frame(struct controller *controller, const uint8_t *data, int64_t len)
{
    struct frame frame;
    int rc = frame_parse(&frame, data, len, controller->cluster);
    if (!rc && !directory_on_frame(&controller->directory, &frame)) {
        if (frame_is_for_log(frame.kind))
            rc = on_log_frame(controller, &frame);
        else if (frame.kind == FRAME_JOIN)
            on_join(controller, &frame);
        else if (frame.kind == FRAME_LEAVING)
            on_leaving(controller, &frame);
        else if (frame.kind == FRAME_COLLECT || frame.kind == FRAME_BOOTSTRAP_MEMBERS || frame.kind == FRAME_BALLOT ||
                 frame.kind == FRAME_BALLOT_REPLY)
            bootstrap_on_frame(controller, &frame);
        else if (frame.kind == FRAME_REQUEST || frame.kind == FRAME_RESPONSE)
            relay_on_frame(controller, &frame);
        else if (frame.kind == FRAME_REPORT)
            on_report(controller, &frame);
        else
            rc = ERROR_BAD_FRAME;
    }
    if (rc)
        world_note(controller->w, EV_FRAME_DROPPED, "from=%s", rc == ERROR_BAD_FRAME ? "?" : addr_text(frame.from));
}

void controller_request(struct controller *controller, int64_t slot, const struct http_request *request)
{
    relay_request(controller, slot, request);
}

void controller_give_up(struct controller *controller) { relay_give_up(controller); }

void controller_leave(struct controller *controller)
{
    controller->leaving = 1;
    controller->leave_ms = world_ms(controller->w);
    if (controller->votes)
        leave_on_timer(controller);
}

int controller_has_left(const struct controller *controller)
{
    int64_t leaving_for_ms = world_ms(controller->w) - controller->leave_ms;
    return controller->leaving && (leaving_for_ms >= controller->setup.grace_ms - 1000 ||
                                   (leaving_for_ms >= SERVE_WHILE_LEAVING_MS && !controller->requests.used &&
                                    !controller->served.used && leaving_may_end(controller)));
}

const struct record *controller_record(const struct controller *controller) { return &controller->record; }

int controller_leads(const struct controller *controller) { return dispatch_is_leader(controller->dispatch); }

static uint64_t members_hash(const struct log_members *list)
{
    uint64_t hash = list->n ? 1 : 0;
    for (int64_t i = 0; i < list->n; i++)
        hash = hash_mix(hash, (uint64_t)list->members[i].id);
    return hash;
}

uint64_t controller_bootstrap_hash(const struct controller *controller)
{
    return members_hash(&controller->bootstrap_members);
}
uint64_t controller_chosen_hash(const struct controller *controller)
{
    return members_hash(&controller->chosen_members);
}
