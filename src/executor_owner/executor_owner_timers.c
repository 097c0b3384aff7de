/* Timers of an executor's owner: expiry of reservations and leases, repeated messages about ended tasks. */
#include "executor_owner/executor_owner.h"

#include "base/error.h"
#include "base/events.h"
#include "node/node.h"

enum { RESERVATION_TTL_MS = 8000, ENDED_RESEND_MS = 300, SUMMARIES_MIN_INTERVAL_MS = 40 };

static void expire_reservations(struct executor_owner *owner, int64_t now_ms)
{
    for (int64_t i = 0; i < owner->n_rows; i++)
        if (owner->rows[i].state == ALLOCATION_RESERVED && now_ms - owner->rows[i].since_ms > RESERVATION_TTL_MS)
            allocation_remove(owner, &owner->rows[i--]);
}

static void send_ended(struct node *node, struct executor_owner *owner, int64_t now_ms)
{
    for (int64_t i = 0; i < owner->n_rows; i++) {
        struct executor_allocation *allocation = &owner->rows[i];
        if (allocation->state != ALLOCATION_ENDED || now_ms - allocation->ended_sent_ms < ENDED_RESEND_MS)
            continue;
        allocation->ended_sent_ms = now_ms;
        struct ended message = {.job = allocation->ref.job,
                                .no = allocation->ref.no,
                                .attempt = allocation->ref.attempt,
                                .outcome = allocation->outcome,
                                .executor = owner->name,
                                .why = allocation->why};
        int64_t before = owner->n_rows;
        node_send(node, shard_owner(node, job_shard(allocation->ref.job)), FRAME_ENDED, &ended_schema, &message);
        if (owner->n_rows < before)
            i--; /* a shard owner on this node acknowledged it during the call and the allocation was removed */
    }
}

/* Ends allocations whose lease has expired for lack of contact: the executor has stopped them by itself. Likewise,
 * after the longest lease that may have been granted, nothing of a former owner runs there any more. */
static void check_silence(struct node *node, struct executor_owner *owner, int64_t now_ms)
{
    int64_t margin_ms = node->root_settings.margin_ms, longest_lease_ms = node->root_settings.lease_ms;
    int silent = now_ms - owner->last_response_ms > node->root_settings.silent_ms || owner->failed_calls >= 2;
    if (silent && !owner->silent)
        world_note(node->w, EV_EXECUTOR_SILENT, "executor=%s", owner->name);
    owner->silent = silent;
    for (int64_t i = 0; i < owner->n_rows; i++) {
        struct executor_allocation *allocation = &owner->rows[i];
        if (allocation->lease_ms > longest_lease_ms)
            longest_lease_ms = allocation->lease_ms;
        if (allocation->state > ALLOCATION_RESERVED && allocation->state < ALLOCATION_ENDED &&
            now_ms - owner->ticket_ms > allocation->lease_ms + margin_ms)
            allocation_end(node, owner, allocation, OUTCOME_LOST, "executor silent beyond its lease");
    }
    for (int64_t i = 0; i < node->n_queues; i++)
        if (node_settings(node, i)->lease_ms > longest_lease_ms)
            longest_lease_ms = node_settings(node, i)->lease_ms;
    /* before it is opened this owner grants no lease, whatever the executor reports: those of the former owner count */
    int64_t granted_ms = owner->opened ? owner->ticket_ms : owner->started_ms + ADMISSION_MS;
    int leases_expired = now_ms - granted_ms > longest_lease_ms + margin_ms;
    if (leases_expired && !owner->leases_expired)
        world_note(node->w, EV_EXECUTOR_GONE, "executor=%s", owner->name);
    owner->leases_expired = leases_expired;
}

void executor_owners_on_timer(struct node *node)
{
    int64_t now_ms = world_ms(node->w);
    for (int64_t i = 0; i < node->n_executor_owners; i++) {
        struct executor_owner *owner = node->executor_owners[i];
        if (!admission_open(node))
            continue;
        check_silence(node, owner, now_ms);
        expire_reservations(owner, now_ms);
        send_ended(node, owner, now_ms);
        executor_owner_send_orders(node, owner);
    }
    if (now_ms >= node->summaries_due_ms && now_ms - node->summaries_sent_ms >= SUMMARIES_MIN_INTERVAL_MS &&
        admission_open(node))
        executor_summaries_send(node);
}
