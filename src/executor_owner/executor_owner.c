/* The home's side of reservations, starts, stops and checks. */
#include "executor_owner/executor_owner.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/error.h"
#include "node/node.h"

enum { WANT_MS = 400 };

struct executor_owner *executor_owner_find(struct node *node, const char *name)
{
    for (int64_t i = 0; name && i < node->n_executor_owners; i++)
        if (!strcmp(node->executor_owners[i]->name, name))
            return node->executor_owners[i];
    return NULL;
}

static void home_free(struct executor_owner *executor_owner)
{
    for (int64_t i = 0; i < executor_owner->n_rows; i++)
        account_free(&executor_owner->rows[i]);
    free(executor_owner->rows);
    free(executor_owner->acks);
    schema_free(&exec_state_schema, &executor_owner->state);
    free(executor_owner->name);
    free(executor_owner);
}

void executor_owner_drop(struct node *node, struct executor_owner *executor_owner)
{
    world_note(node->w, EV_HOME_LOST, "executor=%s epoch=%lld", executor_owner->name, (long long)executor_owner->epoch);
    for (int64_t i = 0; i < node->n_executor_owners; i++)
        if (node->executor_owners[i] == executor_owner)
            node->executor_owners[i] = node->executor_owners[--node->n_executor_owners];
    home_free(executor_owner);
}

void executor_owners_end(struct node *node)
{
    while (node->n_executor_owners)
        home_free(node->executor_owners[--node->n_executor_owners]);
    free(node->executor_owners);
    node->executor_owners = NULL;
}

struct executor_owner *executor_owner_start(struct node *node, const char *name, int64_t epoch)
{
    struct executor_owner *executor_owner = executor_owner_find(node, name);
    if (executor_owner && executor_owner->epoch >= epoch)
        return executor_owner;
    if (executor_owner)
        executor_owner_drop(node, executor_owner);
    executor_owner = must_alloc(sizeof *executor_owner);
    executor_owner->name = must_dup(name);
    executor_owner->epoch = epoch;
    executor_owner->started_ms = executor_owner->heard_ms = world_ms(node->w);
    /* the former home may have been given tickets until its gate closed */
    executor_owner->ticket_ms = executor_owner->started_ms + ADMISSION_MS;
    struct executor_summary *executor_summary =
        executor_summary_find(node, name); /* what the former home told everybody */
    executor_owner->addr = executor_summary ? executor_summary->addr : 0;
    *array_add(node->executor_owners, node->n_executor_owners) = executor_owner;
    return executor_owner;
}

/* --- reports ------------------------------------------------------------------------ */

static void claimed(struct node *node, int64_t request, int error, const struct bytes *result)
{
    (void)error, (void)result;
    api_error(node, request, ERROR_NO_OWNER, "this executor is being given a home");
}

/* An executor nobody knows: whoever hears first proposes to be its home. */
static void claim(struct node *node, int64_t request, const char *name)
{
    struct config_tree_op op = {.kind = CONFIG_OP_OWNERSHIPS};
    struct bytes bytes = {0};
    struct ownership *ownership = array_add(op.ownerships, op.n_ownerships);
    ownership->name = must_printf("home/%s", name);
    ownership->owner = (int64_t)node->w->self;
    ownership->boot = node->boot;
    ownership->epoch = 1;
    schema_pack(&config_tree_op_schema, &op, &bytes);
    node_propose(node, GROUP_CONTROL, &bytes, 2000, claimed, request);
    schema_free(&config_tree_op_schema, &op);
}

static void answer_home(struct node *node, int64_t request)
{
    api_json(node, request, 200, json_pack("{s:s}", "home", addr_text(node->w->http_addr)));
}

void executor_owner_on_report(struct node *node, int64_t request, const char *body, int64_t len)
{
    struct exec_state state = {0};
    struct validation_error validation_error = {0};
    char name[140];
    if (schema_from_text(&exec_state_schema, &state, body, len, &validation_error)) {
        api_validation_error(node, request, &validation_error);
        return;
    }
    struct executor_owner *executor_owner = executor_owner_find(node, state.name);
    snprintf(name, sizeof name, "home/%s", state.name);
    const struct ownership *ownership = config_tree_ownership(&node->config_tree, name);
    if (strcmp(state.cluster, node->cluster_name))
        api_error(node, request, ERROR_BAD_FIELD, "this is another cluster");
    else if (!addr_parse(state.address))
        api_error(node, request, ERROR_BAD_FIELD, "address must be IP:PORT");
    else if (executor_owner) {
        home_take_state(node, executor_owner, &state, 0);
        answer_home(node, request);
    } else if (ownership && ownership->owner != (int64_t)node->w->self)
        api_forward(node, request, ownership->owner,
                    &(struct api_call){.shard = -1, .method = "POST", .path = "/v1/executors/report", .body = body});
    else if (!ownership && admission_open(node))
        claim(node, request, state.name);
    else
        api_error(node, request, ERROR_UNAVAILABLE, "no home yet");
    schema_free(&exec_state_schema, &state);
}

/* --- what owners ask ------------------------------------------------------------------ */

/* Neither below what was heard from the shard here, nor below its duty in the
 * configuration tree: a home that is new has heard from nobody yet. */
static int epoch_ok(struct node *node, struct executor_owner *executor_owner, int64_t shard, int64_t epoch)
{
    if (shard < 0 || shard >= SHARD_COUNT || epoch < executor_owner->shard_epochs[shard] ||
        epoch < node->shards[shard].epoch)
        return 0;
    executor_owner->shard_epochs[shard] = epoch;
    return 1;
}

/* Room that becomes free is kept a moment for the most urgent that was denied:
 * owners on many nodes ask, each sees only its own order. left: what would
 * remain after this reservation. */
static int room_for(struct node *node, struct executor_owner *executor_owner, int64_t urgency, int64_t left_cores,
                    int64_t left_mb)
{
    int64_t now_ms = world_ms(node->w);
    int waits = executor_owner->want_until_ms > now_ms;
    if (left_cores < 0 || left_mb < 0) {
        if (waits && urgency >= executor_owner->want_urgency)
            return 0;
        int64_t cores, mem_mb;
        account_room(executor_owner, &cores, &mem_mb);
        executor_owner->want_urgency = urgency;
        executor_owner->want_cores = cores - left_cores;
        executor_owner->want_mb = mem_mb - left_mb;
        executor_owner->want_until_ms = now_ms + WANT_MS;
        return 0;
    }
    if (waits && urgency > executor_owner->want_urgency &&
        (left_cores < executor_owner->want_cores || left_mb < executor_owner->want_mb))
        return 0;
    if (waits && urgency <= executor_owner->want_urgency)
        executor_owner->want_until_ms = 0;
    return 1;
}

static int may_reserve(struct node *node, struct executor_owner *executor_owner, const struct reserve_request *m)
{
    int64_t cores, mem_mb;
    if (!executor_owner || executor_owner->epoch != m->executor_epoch || !executor_owner->opened ||
        executor_owner->incarnation != m->incarnation || !admission_open(node) || node->leaving ||
        !epoch_ok(node, executor_owner, m->shard, m->shard_epoch))
        return 0;
    int64_t state = home_room_state(node, executor_owner);
    if (state != EXECUTOR_OPEN && state != EXECUTOR_PROBATION)
        return 0;
    account_room(executor_owner, &cores, &mem_mb);
    for (int64_t i = 0; i < m->n_tasks; i++) {
        cores -= m->tasks[i].cores;
        mem_mb -= m->tasks[i].mem_mb;
    }
    if (state == EXECUTOR_PROBATION && executor_owner->n_rows)
        return 0; /* one at a time until it has proved itself */
    return room_for(node, executor_owner, m->urgency, cores, mem_mb);
}

void executor_owner_on_reserve(struct node *node, int64_t from, const struct reserve_request *m)
{
    struct executor_owner *executor_owner = executor_owner_find(node, m->executor);
    struct reserve_reply reply = {.req = m->req, .executor = m->executor, .error = ERROR_REJECTED};
    if (may_reserve(node, executor_owner, m)) {
        reply.error = ERROR_NONE;
        for (int64_t i = 0; i < m->n_tasks; i++) {
            const struct task_ref *ref = &m->tasks[i];
            if (account_find(executor_owner, ref->job, ref->no, ref->attempt))
                continue;
            struct account *row = array_add(executor_owner->rows, executor_owner->n_rows);
            row->ref = *ref;
            row->state = ALLOCATION_RESERVED;
            row->since_ms = world_ms(node->w);
        }
    }
    node_send(node, from, FRAME_RESERVED, &reserve_reply_schema, &reply);
}

void executor_owner_on_release(struct node *node, int64_t from, const struct reserve_request *m)
{
    struct executor_owner *executor_owner = executor_owner_find(node, m->executor);
    (void)from;
    for (int64_t i = 0; executor_owner && i < m->n_tasks; i++) {
        struct account *row = account_find(executor_owner, m->tasks[i].job, m->tasks[i].no, m->tasks[i].attempt);
        if (row && row->state == ALLOCATION_RESERVED)
            account_remove(executor_owner, row);
    }
    node->summaries_due_ms = 0;
}

/* A start whose reservation has lapsed is taken only if there is room anew;
 * otherwise it is told to have ended unstarted, and stays so. */
void executor_owner_on_start(struct node *node, int64_t from, struct start_order *m)
{
    struct executor_owner *executor_owner = executor_owner_find(node, m->executor);
    (void)from;
    if (!executor_owner || executor_owner->epoch != m->executor_epoch || !executor_owner->opened ||
        !epoch_ok(node, executor_owner, m->shard, m->shard_epoch) || !admission_open(node))
        return;
    const struct exec_start *s = &m->start;
    struct account *row = account_find(executor_owner, s->job, s->no, s->attempt);
    int64_t cores, mem_mb;
    if (row && row->state != ALLOCATION_RESERVED)
        return;
    if (!row) {
        account_room(executor_owner, &cores, &mem_mb);
        row = array_add(executor_owner->rows, executor_owner->n_rows);
        row->ref = (struct task_ref){
            .job = s->job, .no = s->no, .attempt = s->attempt, .cores = s->cores, .mem_mb = s->mem_mb};
        row->since_ms = world_ms(node->w);
        if (cores < s->cores || mem_mb < s->mem_mb) {
            account_end(node, executor_owner, row, OUT_UNSTARTED, "no room left");
            return;
        }
    }
    row->lease_ms = s->lease_ms;
    row->stall_ms = s->stall_ms;
    /* its room was reserved; what the executor gave to others since then is gone all the same */
    account_room(executor_owner, &cores, &mem_mb);
    if (cores < 0 || mem_mb < 0) {
        account_end(node, executor_owner, row, OUT_UNSTARTED, "its room went to other work meanwhile");
        return;
    }
    if (m->incarnation != executor_owner->incarnation) {
        account_end(node, executor_owner, row, OUT_UNSTARTED, "the executor came back anew");
        return;
    }
    int64_t state = home_room_state(node, executor_owner);
    if (state == EXECUTOR_LEAVING || state == EXECUTOR_CLOSED) {
        account_end(node, executor_owner, row, OUT_UNSTARTED, "the executor is leaving");
        return;
    }
    node_journal_add(node, s->job, s->no, s->attempt, s->hold ? "hold ordered" : "start ordered", executor_owner->name);
    row->state = ALLOCATION_STARTING;
    row->since_ms = world_ms(node->w);
    row->start = must_alloc(sizeof *row->start);
    *row->start = *s;
    m->start = (struct exec_start){0}; /* its strings are ours now */
    executor_owner->dirty = 1;
}

void executor_owner_on_stop(struct node *node, int64_t from, const struct check_request *m)
{
    struct executor_owner *executor_owner = executor_owner_find(node, m->executor);
    (void)from;
    if (!executor_owner || !executor_owner->opened || executor_owner->epoch != m->executor_epoch ||
        !epoch_ok(node, executor_owner, m->shard, m->shard_epoch))
        return;
    for (int64_t i = 0; i < m->n_tasks; i++) {
        const struct task_ref *ref = &m->tasks[i];
        struct account *row = account_find(executor_owner, ref->job, ref->no, ref->attempt);
        if (!row || row->state == ALLOCATION_ENDED)
            continue; /* a check tells what became of it */
        if (row->state == ALLOCATION_RESERVED) {
            account_end(node, executor_owner, row, OUT_UNSTARTED, "stopped before its start");
        } else if (!row->stop_asked) {
            row->stop_asked = 1;
            executor_owner->dirty = 1;
        }
    }
}

/* The whole gang is held: this part of it may begin. */
void executor_owner_on_go(struct node *node, const struct check_request *m)
{
    struct executor_owner *executor_owner = executor_owner_find(node, m->executor);
    if (!executor_owner || executor_owner->epoch != m->executor_epoch ||
        !epoch_ok(node, executor_owner, m->shard, m->shard_epoch) || !admission_open(node))
        return;
    for (int64_t i = 0; i < m->n_tasks; i++) {
        struct account *row = account_find(executor_owner, m->tasks[i].job, m->tasks[i].no, m->tasks[i].attempt);
        if (!row || row->state != ALLOCATION_HELD || row->go_asked || row->stop_asked)
            continue;
        row->go_asked = 1;
        executor_owner->dirty = 1;
    }
}

void executor_owner_on_check(struct node *node, int64_t from, const struct check_request *m)
{
    struct executor_owner *executor_owner = executor_owner_find(node, m->executor);
    if (!executor_owner || !epoch_ok(node, executor_owner, m->shard, m->shard_epoch) || !admission_open(node))
        return;
    struct check_reply reply = {
        .executor = m->executor, .executor_epoch = executor_owner->epoch, .incarnation = executor_owner->incarnation};
    for (int64_t i = 0; i < m->n_tasks; i++) {
        const struct task_ref *ref = &m->tasks[i];
        struct account *row = account_find(executor_owner, ref->job, ref->no, ref->attempt);
        struct check_result t = {.job = ref->job, .no = ref->no, .attempt = ref->attempt, .state = CHECK_UNKNOWN};
        if (row)
            t.state = account_check_state(row);
        else if (!executor_owner->opened && executor_owner->gone)
            t.state = CHECK_GONE;
        else if (!executor_owner->opened)
            continue; /* nothing can be said before the executor answered us */
        *array_add(reply.tasks, reply.n_tasks) = t;
    }
    if (reply.n_tasks)
        node_send(node, from, FRAME_CHECKED, &check_reply_schema, &reply);
    free(reply.tasks);
}

void executor_owner_on_ended_ack(struct node *node, const struct ended *m)
{
    struct executor_owner *executor_owner = executor_owner_find(node, m->executor);
    struct account *row = executor_owner ? account_find(executor_owner, m->job, m->no, m->attempt) : NULL;
    if (!row || row->state != ALLOCATION_ENDED)
        return;
    *array_add(executor_owner->acks, executor_owner->n_acks) =
        (struct exec_task_order){.job = m->job, .no = m->no, .attempt = m->attempt};
    account_remove(executor_owner, row);
    executor_owner->dirty = 1;
    (void)node;
}
