/* Allocations of an executor: capacity that is reserved or used by its tasks, and the state of those tasks. */
#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "executor_owner/executor_owner.h"
#include "node/node.h"

enum { STALL_STEP_MAX_MS = 2000 };

void allocation_free(struct executor_allocation *allocation)
{
    if (allocation->start) {
        free(allocation->start->service);
        free(allocation->start->queue);
        free(allocation->start->kind);
        free(allocation->start->payload);
        free(allocation->start);
    }
    free(allocation->why);
}

void allocation_remove(struct executor_owner *owner, struct executor_allocation *allocation)
{
    allocation_free(allocation);
    *allocation = owner->rows[--owner->n_rows];
}

struct executor_allocation *allocation_find(struct executor_owner *owner, int64_t job, int64_t no, int64_t attempt)
{
    for (int64_t i = 0; i < owner->n_rows; i++) {
        const struct task_ref *ref = &owner->rows[i].ref;
        if (ref->job == job && ref->no == no && ref->attempt == attempt)
            return &owner->rows[i];
    }
    return NULL;
}

/* The smaller of two figures: the executor's whole capacity less all allocations; and the free capacity that it
 * reported, less the allocations that are not in that report. */
void allocations_free_capacity(const struct executor_owner *owner, int64_t *cores, int64_t *mem_mb)
{
    const struct exec_state *state = &owner->state;
    int64_t whole_cores = state->cores, whole_mb = state->mem_mb, free_cores = state->free_cores,
            free_mb = state->free_mb;
    for (int64_t i = 0; i < owner->n_rows; i++) {
        const struct executor_allocation *allocation = &owner->rows[i];
        if (allocation->state == ALLOCATION_ENDED)
            continue;
        whole_cores -= allocation->ref.cores;
        whole_mb -= allocation->ref.mem_mb;
        if (allocation->reported_serial != owner->serial) {
            free_cores -= allocation->ref.cores;
            free_mb -= allocation->ref.mem_mb;
        }
    }
    *cores = whole_cores < free_cores ? whole_cores : free_cores;
    *mem_mb = whole_mb < free_mb ? whole_mb : free_mb;
}

int64_t allocation_check_state(const struct executor_allocation *allocation)
{
    static const int64_t states[] = {
        [ALLOCATION_RESERVED] = CHECK_RESERVED, /* the start order was lost */
        [ALLOCATION_STARTING] = CHECK_STARTING, [ALLOCATION_HELD] = CHECK_HELD,  [ALLOCATION_RUNNING] = CHECK_RUNNING,
        [ALLOCATION_STOPPING] = CHECK_RUNNING,  [ALLOCATION_ENDED] = CHECK_ENDED};
    return states[allocation->state];
}

/* Sends the task's state to the shard's owner without a check, since its gang waits for it. */
static void send_state(struct node *node, struct executor_owner *owner, const struct executor_allocation *allocation)
{
    struct check_result task = {.job = allocation->ref.job,
                                .no = allocation->ref.no,
                                .attempt = allocation->ref.attempt,
                                .state = allocation_check_state(allocation)};
    struct check_reply message = {.executor = owner->name,
                                  .executor_epoch = owner->epoch,
                                  .incarnation = owner->incarnation,
                                  .tasks = &task,
                                  .n_tasks = 1};
    node_send(node, shard_owner(node, job_shard(allocation->ref.job)), FRAME_CHECKED, &check_reply_schema, &message);
}

int outcome_parse(const char *text)
{
    static const char *const names[] = {"done", "failed", "stopped", "lapsed", "unstarted"};
    for (int i = 0; text && i < COUNT_OF(names); i++)
        if (!strcmp(text, names[i]))
            return i;
    return OUTCOME_LOST;
}

void allocation_end(struct node *node, struct executor_owner *owner, struct executor_allocation *allocation,
                    int64_t outcome, const char *why)
{
    if (allocation->state == ALLOCATION_ENDED)
        return;
    if (allocation->state >= ALLOCATION_STARTING)
        executor_owner_count_outcome(node, owner,
                                     outcome == OUTCOME_STOPPED && allocation->stalled ? OUTCOME_FAILED : outcome);
    static const char *const outcomes[] = {"done", "failed", "stopped", "lapsed", "unstarted", "gone"};
    node_journal_add(node, allocation->ref.job, allocation->ref.no, allocation->ref.attempt, outcomes[outcome],
                     owner->name);
    allocation->state = ALLOCATION_ENDED;
    allocation->outcome = outcome;
    allocation->ended_sent_ms = 0;
    free(allocation->why);
    allocation->why =
        must_dup(allocation->stalled && outcome == OUTCOME_STOPPED ? "stopped for lack of progress" : why);
    node->summaries_due_ms = 0;
}

/* For a new incarnation: the tasks of the former one run no longer, their outcome is unknown. */
void allocations_end_all(struct node *node, struct executor_owner *owner, const char *why)
{
    for (int64_t i = 0; i < owner->n_rows; i++)
        if (owner->rows[i].state > ALLOCATION_RESERVED)
            allocation_end(node, owner, &owner->rows[i], OUTCOME_LOST, why);
}

static struct executor_allocation *find_or_add(struct node *node, struct executor_owner *owner,
                                               const struct exec_task *task)
{
    struct executor_allocation *allocation = allocation_find(owner, task->job, task->no, task->attempt);
    if (allocation)
        return allocation;
    for (int64_t i = 0; i < owner->n_acks; i++)
        if (owner->acks[i].job == task->job && owner->acks[i].no == task->no && owner->acks[i].attempt == task->attempt)
            return NULL; /* acknowledged, but the executor does not know that yet */
    allocation = array_add(owner->rows, owner->n_rows);
    allocation->ref = (struct task_ref){
        .job = task->job, .no = task->no, .attempt = task->attempt, .cores = task->cores, .mem_mb = task->mem_mb};
    allocation->state = ALLOCATION_RUNNING;
    allocation->since_ms = world_ms(node->w);
    allocation->lease_ms = node->root_settings.lease_ms;
    return allocation;
}

/* Stops a task that reports no progress for stall_ms. Each state received adds at most STALL_STEP_MAX_MS, so that a
 * time in which the executor slept or no state was received does not count. */
static void check_progress(struct node *node, struct executor_owner *owner, struct executor_allocation *allocation,
                           int64_t progress)
{
    int64_t now_ms = world_ms(node->w), since_ms = now_ms - allocation->progress_checked_ms;
    int first = !allocation->progress_checked_ms;
    allocation->progress_checked_ms = now_ms;
    if (first || progress > allocation->progress || progress < 0) {
        allocation->progress = progress;
        allocation->stalled_ms = 0;
        return;
    }
    allocation->stalled_ms += since_ms < STALL_STEP_MAX_MS ? since_ms : STALL_STEP_MAX_MS;
    if (allocation->stalled_ms < (allocation->stall_ms ? allocation->stall_ms : node->root_settings.stall_ms) ||
        allocation->stop_requested)
        return;
    world_note(node->w, EV_TASK_STILL, "executor=%s job=%lld no=%lld stillMs=%lld", owner->name,
               (long long)allocation->ref.job, (long long)allocation->ref.no, (long long)allocation->stalled_ms);
    node_journal_add(node, allocation->ref.job, allocation->ref.no, allocation->ref.attempt,
                     "no progress, stop ordered", owner->name);
    allocation->stalled = allocation->stop_requested = 1;
    owner->dirty = 1;
    executor_owner_quarantine(node, owner);
}

void allocations_reconcile(struct node *node, struct executor_owner *owner)
{
    const struct exec_state *state = &owner->state;
    for (int64_t i = 0; i < state->n_running; i++) {
        struct executor_allocation *allocation = find_or_add(node, owner, &state->running[i]);
        if (!allocation || allocation->state == ALLOCATION_ENDED)
            continue;
        allocation->reported_serial = owner->serial;
        const char *reported = state->running[i].state ? state->running[i].state : "";
        int64_t old_state = allocation->state;
        allocation->state = !strcmp(reported, "held")       ? ALLOCATION_HELD
                            : !strcmp(reported, "stopping") ? ALLOCATION_STOPPING
                                                            : ALLOCATION_RUNNING;
        if (allocation->state == ALLOCATION_RUNNING)
            check_progress(node, owner, allocation, state->running[i].progress);
        if (allocation->state != old_state)
            node_journal_add(node, allocation->ref.job, allocation->ref.no, allocation->ref.attempt,
                             reported[0] == 'h' ? "held" : "running", owner->name);
        if (allocation->state != old_state && (allocation->state == ALLOCATION_HELD || old_state == ALLOCATION_HELD))
            send_state(node, owner, allocation);
    }
    for (int64_t i = 0; i < state->n_ended; i++) {
        struct executor_allocation *allocation = find_or_add(node, owner, &state->ended[i]);
        if (!allocation)
            continue;
        allocation->reported_serial = owner->serial;
        allocation_end(node, owner, allocation, outcome_parse(state->ended[i].state), state->ended[i].why);
    }
    for (int64_t i = 0; i < owner->n_rows; i++) {
        struct executor_allocation *allocation = &owner->rows[i];
        if (allocation->state >= ALLOCATION_HELD && allocation->state < ALLOCATION_ENDED &&
            allocation->reported_serial != owner->serial)
            allocation_end(node, owner, allocation, OUTCOME_LOST, "the executor no longer knows it");
        /* The executor reports but does not answer calls: by this ticket it would refuse the start if it got it. */
        if (allocation->state == ALLOCATION_STARTING && owner->silent &&
            state->ticket > allocation->sent_ticket + allocation->lease_ms)
            allocation_end(node, owner, allocation, OUTCOME_NOT_STARTED, "its start never arrived");
    }
}
