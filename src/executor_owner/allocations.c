/* The room account: reservations, starts, running and stopping work. */
#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "executor_owner/executor_owner.h"
#include "node/node.h"

enum { STILL_STEP_MS = 2000 };

void account_free(struct account *row)
{
    if (row->start) {
        free(row->start->service);
        free(row->start->queue);
        free(row->start->kind);
        free(row->start->payload);
        free(row->start);
    }
    free(row->why);
}

void account_remove(struct executor_owner *executor_owner, struct account *row)
{
    account_free(row);
    *row = executor_owner->rows[--executor_owner->n_rows];
}

struct account *account_find(struct executor_owner *executor_owner, int64_t job, int64_t no, int64_t attempt)
{
    for (int64_t i = 0; i < executor_owner->n_rows; i++) {
        const struct task_ref *ref = &executor_owner->rows[i].ref;
        if (ref->job == job && ref->no == no && ref->attempt == attempt)
            return &executor_owner->rows[i];
    }
    return NULL;
}

/* What may still be reserved: never more than the whole less all we hold, nor
 * more than the executor said was free less what it had not counted yet. */
void account_room(const struct executor_owner *executor_owner, int64_t *cores, int64_t *mem_mb)
{
    const struct exec_state *s = &executor_owner->state;
    int64_t whole_cores = s->cores, whole_mb = s->mem_mb, free_cores = s->free_cores, free_mb = s->free_mb;
    for (int64_t i = 0; i < executor_owner->n_rows; i++) {
        const struct account *row = &executor_owner->rows[i];
        if (row->state == ALLOCATION_ENDED)
            continue;
        whole_cores -= row->ref.cores;
        whole_mb -= row->ref.mem_mb;
        if (row->in_state != executor_owner->serial) {
            free_cores -= row->ref.cores;
            free_mb -= row->ref.mem_mb;
        }
    }
    *cores = whole_cores < free_cores ? whole_cores : free_cores;
    *mem_mb = whole_mb < free_mb ? whole_mb : free_mb;
}

int64_t account_check_state(const struct account *row)
{
    static const int64_t states[] = {
        [ALLOCATION_RESERVED] = CHECK_RESERVED, /* its start went missing */
        [ALLOCATION_STARTING] = CHECK_WAITS,    [ALLOCATION_HELD] = CHECK_HELD,  [ALLOCATION_RUNNING] = CHECK_RUNS,
        [ALLOCATION_STOPPING] = CHECK_RUNS,     [ALLOCATION_ENDED] = CHECK_ENDED};
    return states[row->state];
}

/* A gang waits for this word: it is told at once, and again when asked. */
static void tell_state(struct node *node, struct executor_owner *executor_owner, const struct account *row)
{
    struct check_result task = {
        .job = row->ref.job, .no = row->ref.no, .attempt = row->ref.attempt, .state = account_check_state(row)};
    struct check_reply m = {.executor = executor_owner->name,
                            .executor_epoch = executor_owner->epoch,
                            .incarnation = executor_owner->incarnation,
                            .tasks = &task,
                            .n_tasks = 1};
    node_send(node, shard_owner(node, job_shard(row->ref.job)), FRAME_CHECKED, &check_reply_schema, &m);
}

int outcome_of(const char *text)
{
    static const char *const names[] = {"done", "failed", "stopped", "lapsed", "unstarted"};
    for (int i = 0; text && i < COUNT_OF(names); i++)
        if (!strcmp(text, names[i]))
            return i;
    return OUT_GONE;
}

void account_end(struct node *node, struct executor_owner *executor_owner, struct account *row, int64_t outcome,
                 const char *why)
{
    if (row->state == ALLOCATION_ENDED)
        return;
    if (row->state >= ALLOCATION_STARTING)
        home_health(node, executor_owner, outcome == OUT_STOPPED && row->stalled ? OUT_FAILED : outcome);
    static const char *const outcomes[] = {"done", "failed", "stopped", "lapsed", "unstarted", "gone"};
    node_journal_add(node, row->ref.job, row->ref.no, row->ref.attempt, outcomes[outcome], executor_owner->name);
    row->state = ALLOCATION_ENDED;
    row->outcome = outcome;
    row->told_ms = 0;
    free(row->why);
    row->why = must_dup(row->stalled && outcome == OUT_STOPPED ? "stood still and was stopped" : why);
    node->summaries_due_ms = 0;
}

/* Another incarnation: what the former one held has stopped, its end unknown. */
void account_all_gone(struct node *node, struct executor_owner *executor_owner, const char *why)
{
    for (int64_t i = 0; i < executor_owner->n_rows; i++)
        if (executor_owner->rows[i].state > ALLOCATION_RESERVED)
            account_end(node, executor_owner, &executor_owner->rows[i], OUT_GONE, why);
}

static struct account *adopt(struct node *node, struct executor_owner *executor_owner, const struct exec_task *t)
{
    struct account *row = account_find(executor_owner, t->job, t->no, t->attempt);
    if (row)
        return row;
    for (int64_t i = 0; i < executor_owner->n_acks; i++)
        if (executor_owner->acks[i].job == t->job && executor_owner->acks[i].no == t->no &&
            executor_owner->acks[i].attempt == t->attempt)
            return NULL; /* acknowledged, the executor does not know yet */
    row = array_add(executor_owner->rows, executor_owner->n_rows);
    row->ref =
        (struct task_ref){.job = t->job, .no = t->no, .attempt = t->attempt, .cores = t->cores, .mem_mb = t->mem_mb};
    row->state = ALLOCATION_RUNNING;
    row->since_ms = world_ms(node->w);
    row->lease_ms = node->root_settings.lease_ms;
    return row;
}

/* Judged by progress, over what was seen of it, so that a sleep of the executor or
 * a silence of ours is not taken for a standstill. */
static void watch_progress(struct node *node, struct executor_owner *executor_owner, struct account *row,
                           int64_t progress)
{
    int64_t now_ms = world_ms(node->w), since_ms = now_ms - row->marked_ms;
    int first = !row->marked_ms;
    row->marked_ms = now_ms;
    if (first || progress > row->progress || progress < 0) {
        row->progress = progress;
        row->still_ms = 0;
        return;
    }
    row->still_ms += since_ms < STILL_STEP_MS ? since_ms : STILL_STEP_MS;
    if (row->still_ms < (row->stall_ms ? row->stall_ms : node->root_settings.stall_ms) || row->stop_asked)
        return;
    world_note(node->w, EV_TASK_STILL, "executor=%s job=%lld no=%lld stillMs=%lld", executor_owner->name,
               (long long)row->ref.job, (long long)row->ref.no, (long long)row->still_ms);
    node_journal_add(node, row->ref.job, row->ref.no, row->ref.attempt, "stands still, stop ordered",
                     executor_owner->name);
    row->stalled = row->stop_asked = 1;
    executor_owner->dirty = 1;
    home_shut_out(node, executor_owner);
}

/* Folds the executor's own lists into the account. */
void account_merge(struct node *node, struct executor_owner *executor_owner)
{
    const struct exec_state *s = &executor_owner->state;
    for (int64_t i = 0; i < s->n_running; i++) {
        struct account *row = adopt(node, executor_owner, &s->running[i]);
        if (!row || row->state == ALLOCATION_ENDED)
            continue;
        row->in_state = executor_owner->serial;
        const char *now = s->running[i].state ? s->running[i].state : "";
        int64_t was = row->state;
        row->state = !strcmp(now, "held")       ? ALLOCATION_HELD
                     : !strcmp(now, "stopping") ? ALLOCATION_STOPPING
                                                : ALLOCATION_RUNNING;
        if (row->state == ALLOCATION_RUNNING)
            watch_progress(node, executor_owner, row, s->running[i].progress);
        if (row->state != was)
            node_journal_add(node, row->ref.job, row->ref.no, row->ref.attempt, now[0] == 'h' ? "held" : "running",
                             executor_owner->name);
        if (row->state != was && (row->state == ALLOCATION_HELD || was == ALLOCATION_HELD))
            tell_state(node, executor_owner, row);
    }
    for (int64_t i = 0; i < s->n_ended; i++) {
        struct account *row = adopt(node, executor_owner, &s->ended[i]);
        if (!row)
            continue;
        row->in_state = executor_owner->serial;
        account_end(node, executor_owner, row, outcome_of(s->ended[i].state), s->ended[i].why);
    }
    for (int64_t i = 0; i < executor_owner->n_rows; i++) {
        struct account *row = &executor_owner->rows[i];
        if (row->state >= ALLOCATION_HELD && row->state < ALLOCATION_ENDED && row->in_state != executor_owner->serial)
            account_end(node, executor_owner, row, OUT_GONE, "the executor no longer knows it");
        /* It speaks and does not hear: a start that went out with an older ticket is refused by now. */
        if (row->state == ALLOCATION_STARTING && executor_owner->silent &&
            s->ticket > row->offered_ticket + row->lease_ms)
            account_end(node, executor_owner, row, OUT_UNSTARTED, "its start never arrived");
    }
}
