/* Life of a controller: connects the log, the record, dispatch and the other modules of this folder, and hands each
 * frame to the module it is for. */
#include "controller/controller_state.h"

#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/error.h"

enum {
    HEARTBEAT_MS = 100,
    ELECTION_MS = 500,
    SNAPSHOT_EVERY = 2000,
    KEEP_ENTRIES = 500,
    SERVE_ON_MS = 2500,  /* after a request to stop: callers may still have this address */
    HAND_OVER_MS = 1000, /* a leader steps down if its successor has not been elected by then */
    REOPEN_MS = 1000     /* after a disk error, until the log is read again */
};

/* --- state machine of the log: the record --------------------------------------------------- */

static void apply(void *arg, int64_t index, const struct bytes *op, struct bytes *out)
{
    struct controller *c = arg;
    struct record_result result = {0};
    (void)index;
    if (record_apply_batch(&c->record, op, out ? &result : NULL))
        return;
    if (out)
        schema_pack(&record_result_schema, &result, out);
    schema_free(&record_result_schema, &result);
}

static void snapshot(void *arg, struct bytes *to) { record_snapshot(&((struct controller *)arg)->record, to); }

/* Replaces the contents of the record by fresh, which it then owns. Its observer stays. */
static void record_swap(struct record *record, const struct record *fresh)
{
    struct record former = *record;
    *record = *fresh;
    record->changed = former.changed;
    record->arg = former.arg;
    record->patch_config = former.patch_config;
    record_end(&former);
}

static void record_clear(struct record *record)
{
    struct record fresh;
    record_start(&fresh);
    record_swap(record, &fresh);
}

/* All or nothing: what cannot be read leaves the record as it was. */
static int restore(void *arg, const struct bytes *from)
{
    struct controller *c = arg;
    struct record fresh;
    record_start(&fresh);
    int rc = record_restore(&fresh, from);
    if (rc) {
        record_end(&fresh);
        return rc;
    }
    if (c->dispatch && dispatch_is_leader(c->dispatch))
        dispatch_become_follower(c->dispatch); /* its belief points into the record */
    record_swap(&c->record, &fresh);
    return ERROR_NONE;
}

/* --- calls of dispatch ------------------------------------------------------- */

static void committed(void *arg, int64_t tag, int error, const struct bytes *result)
{
    dispatch_committed(((struct controller *)arg)->dispatch, tag, error, result);
}

static void propose(void *arg, const struct bytes *batch, int64_t tag)
{
    struct controller *c = arg;
    if (c->votes)
        log_propose(&c->log, ENTRY_OP, batch, committed, c, tag);
    else
        dispatch_committed(c->dispatch, tag, ERROR_NOT_LEADER, NULL);
}

static void answer(void *arg, int64_t ticket, const struct api_response *answer) { relay_answer(arg, ticket, answer); }

static void orders(void *arg, int64_t agent, const struct agent_orders *orders)
{
    controller_send(arg, agent, FRAME_ORDERS, &agent_orders_schema, orders);
}

static int holds_lease(void *arg)
{
    struct controller *c = arg;
    return c->votes && log_has_lease(&c->log);
}

static void confirmed(void *arg, int64_t tag, int error, const struct bytes *unused)
{
    (void)unused;
    dispatch_barrier(((struct controller *)arg)->dispatch, tag, error);
}

static void barrier(void *arg, int64_t tag)
{
    struct controller *c = arg;
    if (c->votes)
        log_read(&c->log, confirmed, c, tag);
    else
        dispatch_barrier(c->dispatch, tag, ERROR_NOT_LEADER);
}

/* --- life ------------------------------------------------------------------------------ */

static int open_log(struct controller *c)
{
    const struct log_machine machine = {.arg = c, .apply = apply, .snapshot = snapshot, .restore = restore};
    log_start(&c->log, c->w, c->cluster, GROUP_JOBS, c->id, &machine);
    c->log.settings.heartbeat_ms = HEARTBEAT_MS;
    c->log.settings.election_ms = ELECTION_MS;
    c->log.settings.snapshot_every = c->setup.log.snapshot_every ? c->setup.log.snapshot_every : SNAPSHOT_EVERY;
    c->log.settings.keep_entries = c->setup.log.keep_entries ? c->setup.log.keep_entries : KEEP_ENTRIES;
    if (c->setup.log.segment_bytes)
        c->log.settings.segment_bytes = c->setup.log.segment_bytes;
    log_election_reset(&c->log);
    int rc = log_load(&c->log);
    if (!rc && !controller_empty(c))
        c->log.no_vote_before_ms = world_ms(c->w) + ELECTION_MS;
    return rc;
}

struct controller *controller_new(struct world *w, const struct controller_setup *setup)
{
    struct controller *c = must_alloc(sizeof *c);
    const struct dispatch_calls calls = {.propose = propose,
                                         .answer = answer,
                                         .orders = orders,
                                         .holds_lease = holds_lease,
                                         .barrier = barrier,
                                         .arg = c};
    int rc = ERROR_NONE;
    c->w = w;
    c->setup = *setup;
    c->cluster = (uint32_t)hash_text(setup->cluster);
    c->zone = must_dup(setup->zone);
    c->votes = setup->disk;
    record_start(&c->record);
    c->record.patch_config = setup->codec->patch_config;
    directory_start(&c->directory, w, c->cluster, NULL, 0, 1, setup->disk, setup->boot);
    controller_set_seeds(c, setup->seeds, setup->n_seeds);
    if (c->votes && !(rc = log_identity(w, c->cluster, &c->id)))
        rc = open_log(c);
    if (!rc)
        rc = bootstrap_load(c);
    if (rc) {
        controller_free(c);
        return NULL;
    }
    c->dispatch = dispatch_new(w, &c->record, &setup->dispatch, &calls);
    return c;
}

void controller_free(struct controller *c)
{
    if (c->dispatch)
        dispatch_free(c->dispatch);
    relay_end(c);
    bootstrap_end(c);
    members_end(c);
    if (c->votes)
        log_end(&c->log);
    record_end(&c->record);
    free(c->zone);
    free(c);
}

void controller_send(struct controller *c, int64_t to, enum frame_kind kind, const struct schema *schema,
                     const void *msg)
{
    struct blob *out = blob_new();
    frame_build(&out->bytes, kind, c->cluster, c->w->self, schema, msg);
    c->w->calls->send(c->w, (uint64_t)to, out, 0);
    blob_drop(out);
}

int controller_empty(const struct controller *c) { return !c->log.members.n && !log_last(&c->log) && !c->log.term; }

void controller_set_seeds(struct controller *c, const int64_t *seeds, int64_t n_seeds)
{
    c->n_seeds = 0;
    for (int64_t i = 0; i < n_seeds && i < COUNT_OF(c->seeds); i++)
        c->seeds[c->n_seeds++] = seeds[i];
    directory_set_seeds(&c->directory, c->seeds, c->n_seeds);
}

/* After a disk error: reads the log again as after a restart, when only what was synced counts. Until then nothing is
 * sent under this identity. */
static void reopen_log(struct controller *c)
{
    int64_t now_ms = world_ms(c->w);
    if (!c->log.broken)
        return;
    if (!c->broken_ms)
        c->broken_ms = now_ms;
    if (now_ms - c->broken_ms < REOPEN_MS)
        return;
    c->broken_ms = now_ms;
    log_on_timer(&c->log); /* fails pending proposals and reads */
    if (dispatch_is_leader(c->dispatch))
        dispatch_become_follower(c->dispatch);
    log_end(&c->log);
    record_clear(&c->record);
    if (open_log(c))
        c->log.broken = 1;
    else
        c->broken_ms = 0;
}

/* Starts or stops dispatch, and tells the directory, as the role in the log has changed. */
static void apply_log_role(struct controller *c)
{
    struct log *log = &c->log;
    int fit = log->role == LOG_LEADER && !log->broken;
    if (!fit && dispatch_is_leader(c->dispatch))
        dispatch_become_follower(c->dispatch);
    /* all that former leaders committed is in the record once an entry of the own term is committed */
    if (fit && !dispatch_is_leader(c->dispatch) && log_term_at(log, log->commit) == log->term)
        dispatch_become_leader(c->dispatch, log->term);
    if (fit && log_has_lease(log))
        directory_learn_leader(&c->directory, log->term, (int64_t)c->w->self);
    else if (c->directory.leader == (int64_t)c->w->self)
        directory_suspect_leader(&c->directory);
    if (!fit && log->leader_addr && log->leader_addr != (int64_t)c->w->self && log->heard_leader_ms &&
        world_ms(c->w) - log->heard_leader_ms < 2LL * HEARTBEAT_MS)
        directory_learn_leader(&c->directory, log->term, log->leader_addr);
}

/* A voter that leaves lets the others be elected first; but not for longer than one election takes: it may hold
 * entries that they lack, and then none of them can be elected without it standing for election itself. */
static void defer_election(struct controller *c)
{
    struct log *log = &c->log;
    int64_t now_ms = world_ms(c->w), since_ms = c->leave_ms;
    if (log->heard_leader_ms > since_ms)
        since_ms = log->heard_leader_ms;
    if (log->handed_over_ms > since_ms)
        since_ms = log->handed_over_ms;
    if (now_ms - since_ms < 2LL * ELECTION_MS && log->election_due_ms < now_ms + ELECTION_MS)
        log->election_due_ms = now_ms + ELECTION_MS;
}

/* Planned shutdown: hands leadership over and stands for no election; see also leaving.c. */
static void leave_on_timer(struct controller *c)
{
    struct log *log = &c->log;
    int64_t now_ms = world_ms(c->w);
    if (log->role == LOG_LEADER && log->handed_over_ms && now_ms - log->handed_over_ms > HAND_OVER_MS)
        log_become_follower(log, log->term, 0);
    if (!c->leaving)
        return;
    if (!c->leave_waits && now_ms - c->leave_ms >= SERVE_ON_MS && !leaving_may_end(c)) {
        c->leave_waits = 1;
        world_note(c->w, EV_LEAVE_WAITS, "log=%s commit=%lld", log->name, (long long)log->commit);
    }
    int in_haste = now_ms - c->leave_ms >= c->setup.grace_ms - 1000 - HAND_OVER_MS;
    if (log->role == LOG_LEADER && !log->handed_over_ms && now_ms >= c->next_hand_over_ms &&
        leaving_may_hand_over(c, in_haste)) {
        c->next_hand_over_ms = now_ms + 2LL * HEARTBEAT_MS;
        log_hand_over(log);
    } else if (log->role == LOG_FOLLOWER) {
        defer_election(c);
    }
}

void controller_on_timer(struct controller *c)
{
    if (c->votes) {
        log_on_timer(&c->log);
        reopen_log(c);
        leave_on_timer(c);
        apply_log_role(c);
    }
    if (!c->log.broken)
        bootstrap_on_timer(c);
    if (c->votes && !c->log.broken) {
        members_on_timer(c);
        leaving_on_timer(c);
    }
    directory_on_timer(&c->directory);
    dispatch_on_timer(c->dispatch);
    relay_on_timer(c);
    controller_flush(c);
}

void controller_flush(struct controller *c)
{
    if (dispatch_is_leader(c->dispatch))
        dispatch_flush(c->dispatch);
    if (c->votes)
        log_flush(&c->log);
}

static void take_report(struct controller *c, const struct frame *frame)
{
    struct agent_report report = {0};
    if (dispatch_is_leader(c->dispatch) && !schema_unpack(&agent_report_schema, &report, frame->body, frame->len))
        dispatch_report(c->dispatch, (int64_t)frame->from, &report);
    schema_free(&agent_report_schema, &report);
}

static void take_join(struct controller *c, const struct frame *frame)
{
    struct join join = {0};
    if (c->votes && c->log.role == LOG_LEADER && !schema_unpack(&join_schema, &join, frame->body, frame->len))
        members_on_join(c, &join);
    schema_free(&join_schema, &join);
}

static void take_leaving(struct controller *c, const struct frame *frame)
{
    struct leaving message = {0};
    if (c->votes && !c->log.broken && !schema_unpack(&leaving_schema, &message, frame->body, frame->len))
        leaving_on_message(c, (int64_t)frame->from, &message);
    schema_free(&leaving_schema, &message);
}

static int take_log(struct controller *c, const struct frame *frame)
{
    if (!c->votes || c->log.broken)
        return ERROR_NONE;
    int rc = log_on_frame(&c->log, frame);
    apply_log_role(c);
    return rc;
}

void controller_on_frame(struct controller *c, const uint8_t *at, int64_t len)
{
    struct frame frame;
    int rc = frame_parse(&frame, at, len, c->cluster);
    if (!rc && !directory_on_frame(&c->directory, &frame)) {
        if (frame_is_for_log(frame.kind))
            rc = take_log(c, &frame);
        else if (frame.kind == FRAME_JOIN)
            take_join(c, &frame);
        else if (frame.kind == FRAME_LEAVING)
            take_leaving(c, &frame);
        else if (frame.kind == FRAME_COLLECT || frame.kind == FRAME_BOOTSTRAP_MEMBERS || frame.kind == FRAME_BALLOT ||
                 frame.kind == FRAME_BALLOT_REPLY)
            bootstrap_on_frame(c, &frame);
        else if (frame.kind == FRAME_REQUEST || frame.kind == FRAME_RESPONSE)
            relay_take(c, &frame);
        else if (frame.kind == FRAME_REPORT)
            take_report(c, &frame);
        else
            rc = ERROR_BAD_FRAME;
    }
    if (rc)
        world_note(c->w, EV_FRAME_DROPPED, "from=%s", rc == ERROR_BAD_FRAME ? "?" : addr_text(frame.from));
}

void controller_request(struct controller *c, int64_t slot, const struct http_request *request)
{
    relayed_request(c, slot, request);
}

void controller_give_up(struct controller *c) { relay_give_up(c); }

void controller_leave(struct controller *c)
{
    c->leaving = 1;
    c->leave_ms = world_ms(c->w);
    if (c->votes)
        leave_on_timer(c);
}

int controller_left(const struct controller *c)
{
    int64_t gone_ms = world_ms(c->w) - c->leave_ms;
    return c->leaving && (gone_ms >= c->setup.grace_ms - 1000 ||
                          (gone_ms >= SERVE_ON_MS && !c->requests.used && !c->served.used && leaving_may_end(c)));
}

const struct record *controller_record(const struct controller *c) { return &c->record; }

int controller_leads(const struct controller *c) { return dispatch_is_leader(c->dispatch); }

static uint64_t list_hash(const struct log_members *list)
{
    uint64_t hash = list->n ? 1 : 0;
    for (int64_t i = 0; i < list->n; i++)
        hash = hash_mix(hash, (uint64_t)list->members[i].id);
    return hash;
}

uint64_t controller_bootstrap_hash(const struct controller *c) { return list_hash(&c->bootstrap_members); }
uint64_t controller_chosen_hash(const struct controller *c) { return list_hash(&c->chosen_members); }
