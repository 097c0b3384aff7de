/* Owner of an executor: reports of executors, and messages of shard owners about reservations, starts, stops and
 * checks. */
#include "executor_owner/executor_owner.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/error.h"
#include "node/node.h"

enum { DENIED_KEEP_MS = 400 };

struct executor_owner *executor_owner_find(struct node *node, const char *name)
{
    for (int64_t i = 0; name && i < node->n_executor_owners; i++)
        if (!strcmp(node->executor_owners[i]->name, name))
            return node->executor_owners[i];
    return NULL;
}

static void executor_owner_free(struct executor_owner *owner)
{
    for (int64_t i = 0; i < owner->n_rows; i++)
        allocation_free(&owner->rows[i]);
    free(owner->rows);
    free(owner->acks);
    schema_free(&exec_state_schema, &owner->state);
    free(owner->name);
    free(owner);
}

void executor_owner_drop(struct node *node, struct executor_owner *owner)
{
    world_note(node->w, EV_HOME_LOST, "executor=%s epoch=%lld", owner->name, (long long)owner->epoch);
    for (int64_t i = 0; i < node->n_executor_owners; i++)
        if (node->executor_owners[i] == owner)
            node->executor_owners[i] = node->executor_owners[--node->n_executor_owners];
    executor_owner_free(owner);
}

void executor_owners_end(struct node *node)
{
    while (node->n_executor_owners)
        executor_owner_free(node->executor_owners[--node->n_executor_owners]);
    free(node->executor_owners);
    node->executor_owners = NULL;
}

struct executor_owner *executor_owner_start(struct node *node, const char *name, int64_t epoch)
{
    struct executor_owner *owner = executor_owner_find(node, name);
    if (owner && owner->epoch >= epoch)
        return owner;
    if (owner)
        executor_owner_drop(node, owner);
    owner = must_alloc(sizeof *owner);
    owner->name = must_dup(name);
    owner->epoch = epoch;
    owner->started_ms = owner->last_response_ms = world_ms(node->w);
    /* the former owner could receive tickets until its admission closed, at most ADMISSION_MS after this */
    owner->ticket_ms = owner->started_ms + ADMISSION_MS;
    struct executor_summary *summary = executor_summary_find(node, name); /* as the former owner sent it */
    owner->addr = summary ? summary->addr : 0;
    *array_add(node->executor_owners, node->n_executor_owners) = owner;
    return owner;
}

/* --- reports ------------------------------------------------------------------------ */

static void on_ownership_proposed(struct node *node, int64_t request, int error, const struct bytes *result)
{
    (void)error, (void)result;
    api_error(node, request, ERROR_NO_OWNER, "the owner of this executor is being assigned");
}

/* For an executor without an owner: proposes this node, as the one that received its report. */
static void propose_ownership(struct node *node, int64_t request, const char *name)
{
    struct config_tree_op op = {.kind = CONFIG_OP_OWNERSHIPS};
    struct bytes bytes = {0};
    struct ownership *ownership = array_add(op.ownerships, op.n_ownerships);
    ownership->name = must_printf("home/%s", name);
    ownership->owner = (int64_t)node->w->self;
    ownership->boot = node->boot;
    ownership->epoch = 1;
    schema_pack(&config_tree_op_schema, &op, &bytes);
    node_propose(node, GROUP_CONTROL, &bytes, 2000, on_ownership_proposed, request);
    schema_free(&config_tree_op_schema, &op);
}

static void answer_owner_address(struct node *node, int64_t request)
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
    struct executor_owner *owner = executor_owner_find(node, state.name);
    snprintf(name, sizeof name, "home/%s", state.name);
    const struct ownership *ownership = config_tree_ownership(&node->config_tree, name);
    if (strcmp(state.cluster, node->cluster_name))
        api_error(node, request, ERROR_BAD_FIELD, "this is another cluster");
    else if (!addr_parse(state.address))
        api_error(node, request, ERROR_BAD_FIELD, "address must be IP:PORT");
    else if (owner) {
        executor_owner_apply_state(node, owner, &state, 0);
        answer_owner_address(node, request);
    } else if (ownership && ownership->owner != (int64_t)node->w->self)
        api_forward(node, request, ownership->owner,
                    &(struct api_call){.shard = -1, .method = "POST", .path = "/v1/executors/report", .body = body});
    else if (!ownership && admission_open(node))
        propose_ownership(node, request, state.name);
    else
        api_error(node, request, ERROR_UNAVAILABLE, "the executor has no owner yet");
    schema_free(&exec_state_schema, &state);
}

/* --- messages of shard owners ---------------------------------------------------------- */

/* Rejects an epoch of a shard lower than one seen before, from the shard's owner or in the configuration tree: a new
 * executor owner has not received any from shard owners yet. */
static int accept_shard_epoch(struct node *node, struct executor_owner *owner, int64_t shard, int64_t epoch)
{
    if (shard < 0 || shard >= SHARD_COUNT || epoch < owner->shard_epochs[shard] || epoch < node->shards[shard].epoch)
        return 0;
    owner->shard_epochs[shard] = epoch;
    return 1;
}

/* Whether a reservation may take capacity; left_cores, left_mb: what would remain free. Capacity that becomes free is
 * kept for DENIED_KEEP_MS for the most urgent reservation that was denied, since the shard owners, on many nodes, each
 * see only their own tasks. A lower urgency is more urgent. */
static int capacity_allows(struct node *node, struct executor_owner *owner, int64_t urgency, int64_t left_cores,
                           int64_t left_mb)
{
    int64_t now_ms = world_ms(node->w);
    int keeps_capacity = owner->denied_until_ms > now_ms;
    if (left_cores < 0 || left_mb < 0) {
        if (keeps_capacity && urgency >= owner->denied_urgency)
            return 0;
        int64_t cores, mem_mb;
        allocations_free_capacity(owner, &cores, &mem_mb);
        owner->denied_urgency = urgency;
        owner->denied_cores = cores - left_cores;
        owner->denied_mb = mem_mb - left_mb;
        owner->denied_until_ms = now_ms + DENIED_KEEP_MS;
        return 0;
    }
    if (keeps_capacity && urgency > owner->denied_urgency &&
        (left_cores < owner->denied_cores || left_mb < owner->denied_mb))
        return 0;
    if (keeps_capacity && urgency <= owner->denied_urgency)
        owner->denied_until_ms = 0;
    return 1;
}

static int may_reserve(struct node *node, struct executor_owner *owner, const struct reserve_request *message)
{
    int64_t cores, mem_mb;
    if (!owner || owner->epoch != message->executor_epoch || !owner->opened ||
        owner->incarnation != message->incarnation || !admission_open(node) || node->leaving ||
        !accept_shard_epoch(node, owner, message->shard, message->shard_epoch))
        return 0;
    int64_t state = executor_owner_summary_state(node, owner);
    if (state != EXECUTOR_OPEN && state != EXECUTOR_PROBATION)
        return 0;
    allocations_free_capacity(owner, &cores, &mem_mb);
    for (int64_t i = 0; i < message->n_tasks; i++) {
        cores -= message->tasks[i].cores;
        mem_mb -= message->tasks[i].mem_mb;
    }
    if (state == EXECUTOR_PROBATION && owner->n_rows)
        return 0; /* one reservation at a time until the probation is over */
    return capacity_allows(node, owner, message->urgency, cores, mem_mb);
}

void executor_owner_on_reserve(struct node *node, int64_t from, const struct reserve_request *message)
{
    struct executor_owner *owner = executor_owner_find(node, message->executor);
    struct reserve_reply reply = {.req = message->req, .executor = message->executor, .error = ERROR_REJECTED};
    if (may_reserve(node, owner, message)) {
        reply.error = ERROR_NONE;
        for (int64_t i = 0; i < message->n_tasks; i++) {
            const struct task_ref *ref = &message->tasks[i];
            if (allocation_find(owner, ref->job, ref->no, ref->attempt))
                continue;
            struct executor_allocation *allocation = array_add(owner->rows, owner->n_rows);
            allocation->ref = *ref;
            allocation->state = ALLOCATION_RESERVED;
            allocation->since_ms = world_ms(node->w);
        }
    }
    node_send(node, from, FRAME_RESERVED, &reserve_reply_schema, &reply);
}

void executor_owner_on_release(struct node *node, int64_t from, const struct reserve_request *message)
{
    struct executor_owner *owner = executor_owner_find(node, message->executor);
    (void)from;
    for (int64_t i = 0; owner && i < message->n_tasks; i++) {
        struct executor_allocation *allocation =
            allocation_find(owner, message->tasks[i].job, message->tasks[i].no, message->tasks[i].attempt);
        if (allocation && allocation->state == ALLOCATION_RESERVED)
            allocation_remove(owner, allocation);
    }
    node->summaries_due_ms = 0;
}

/* Without a reservation, for example because it expired, the start is accepted only if there is capacity. A start that
 * is not accepted is reported as OUTCOME_NOT_STARTED, which is final. */
void executor_owner_on_start(struct node *node, int64_t from, struct start_order *message)
{
    struct executor_owner *owner = executor_owner_find(node, message->executor);
    (void)from;
    if (!owner || owner->epoch != message->executor_epoch || !owner->opened ||
        !accept_shard_epoch(node, owner, message->shard, message->shard_epoch) || !admission_open(node))
        return;
    const struct exec_start *start = &message->start;
    struct executor_allocation *allocation = allocation_find(owner, start->job, start->no, start->attempt);
    int64_t cores, mem_mb;
    if (allocation && allocation->state != ALLOCATION_RESERVED)
        return;
    if (!allocation) {
        allocations_free_capacity(owner, &cores, &mem_mb);
        allocation = array_add(owner->rows, owner->n_rows);
        allocation->ref = (struct task_ref){.job = start->job,
                                            .no = start->no,
                                            .attempt = start->attempt,
                                            .cores = start->cores,
                                            .mem_mb = start->mem_mb};
        allocation->since_ms = world_ms(node->w);
        if (cores < start->cores || mem_mb < start->mem_mb) {
            allocation_end(node, owner, allocation, OUTCOME_NOT_STARTED, "no capacity left");
            return;
        }
    }
    allocation->lease_ms = start->lease_ms;
    allocation->stall_ms = start->stall_ms;
    /* the executor may have given reserved capacity to other work meanwhile */
    allocations_free_capacity(owner, &cores, &mem_mb);
    if (cores < 0 || mem_mb < 0) {
        allocation_end(node, owner, allocation, OUTCOME_NOT_STARTED, "its capacity was taken by other work meanwhile");
        return;
    }
    if (message->incarnation != owner->incarnation) {
        allocation_end(node, owner, allocation, OUTCOME_NOT_STARTED, "the executor was restarted");
        return;
    }
    int64_t state = executor_owner_summary_state(node, owner);
    if (state == EXECUTOR_LEAVING || state == EXECUTOR_CLOSED) {
        allocation_end(node, owner, allocation, OUTCOME_NOT_STARTED, "the executor is leaving");
        return;
    }
    node_journal_add(node, start->job, start->no, start->attempt, start->hold ? "hold ordered" : "start ordered",
                     owner->name);
    allocation->state = ALLOCATION_STARTING;
    allocation->since_ms = world_ms(node->w);
    allocation->start = must_alloc(sizeof *allocation->start);
    *allocation->start = *start;
    message->start = (struct exec_start){0}; /* the allocation owns its strings now */
    owner->dirty = 1;
}

void executor_owner_on_stop(struct node *node, int64_t from, const struct check_request *message)
{
    struct executor_owner *owner = executor_owner_find(node, message->executor);
    (void)from;
    if (!owner || !owner->opened || owner->epoch != message->executor_epoch ||
        !accept_shard_epoch(node, owner, message->shard, message->shard_epoch))
        return;
    for (int64_t i = 0; i < message->n_tasks; i++) {
        const struct task_ref *ref = &message->tasks[i];
        struct executor_allocation *allocation = allocation_find(owner, ref->job, ref->no, ref->attempt);
        if (!allocation || allocation->state == ALLOCATION_ENDED)
            continue; /* its state is sent in response to a check */
        if (allocation->state == ALLOCATION_RESERVED) {
            allocation_end(node, owner, allocation, OUTCOME_NOT_STARTED, "stopped before its start");
        } else if (!allocation->stop_requested) {
            allocation->stop_requested = 1;
            owner->dirty = 1;
        }
    }
}

/* All members of a gang are held: those on this executor may run. */
void executor_owner_on_go(struct node *node, const struct check_request *message)
{
    struct executor_owner *owner = executor_owner_find(node, message->executor);
    if (!owner || owner->epoch != message->executor_epoch ||
        !accept_shard_epoch(node, owner, message->shard, message->shard_epoch) || !admission_open(node))
        return;
    for (int64_t i = 0; i < message->n_tasks; i++) {
        struct executor_allocation *allocation =
            allocation_find(owner, message->tasks[i].job, message->tasks[i].no, message->tasks[i].attempt);
        if (!allocation || allocation->state != ALLOCATION_HELD || allocation->go_requested ||
            allocation->stop_requested)
            continue;
        allocation->go_requested = 1;
        owner->dirty = 1;
    }
}

void executor_owner_on_check(struct node *node, int64_t from, const struct check_request *message)
{
    struct executor_owner *owner = executor_owner_find(node, message->executor);
    if (!owner || !accept_shard_epoch(node, owner, message->shard, message->shard_epoch) || !admission_open(node))
        return;
    struct check_reply reply = {
        .executor = message->executor, .executor_epoch = owner->epoch, .incarnation = owner->incarnation};
    for (int64_t i = 0; i < message->n_tasks; i++) {
        const struct task_ref *ref = &message->tasks[i];
        struct executor_allocation *allocation = allocation_find(owner, ref->job, ref->no, ref->attempt);
        struct check_result result = {.job = ref->job, .no = ref->no, .attempt = ref->attempt, .state = CHECK_UNKNOWN};
        if (allocation)
            result.state = allocation_check_state(allocation);
        else if (!owner->opened && owner->leases_expired)
            result.state = CHECK_LOST;
        else if (!owner->opened)
            continue; /* unknown until the executor has answered this owner */
        *array_add(reply.tasks, reply.n_tasks) = result;
    }
    if (reply.n_tasks)
        node_send(node, from, FRAME_CHECKED, &check_reply_schema, &reply);
    free(reply.tasks);
}

void executor_owner_on_ended_ack(struct node *node, const struct ended *message)
{
    struct executor_owner *owner = executor_owner_find(node, message->executor);
    struct executor_allocation *allocation =
        owner ? allocation_find(owner, message->job, message->no, message->attempt) : NULL;
    if (!allocation || allocation->state != ALLOCATION_ENDED)
        return;
    *array_add(owner->acks, owner->n_acks) =
        (struct exec_task_order){.job = message->job, .no = message->no, .attempt = message->attempt};
    allocation_remove(owner, allocation);
    owner->dirty = 1;
    (void)node;
}
