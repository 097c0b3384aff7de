/* Preemption: if an executor announced that it is leaving, or the calendar drains it, its tasks are stopped preempt_ms
 * before and run again elsewhere. That is early enough for the executor to confirm the stop. The preemption is
 * committed before the stop is ordered, so that a later owner of the shard knows why the task was stopped. */
#include <string.h>

#include "base/events.h"
#include "node/node.h"

/* Fleet time at which the executor leaves or is drained; 0: not planned. */
static int64_t leave_time_ms(struct node *node, const char *executor, int64_t ahead_ms)
{
    const struct executor_summary *summary = executor_summary_find(node, executor);
    const struct planned *drain = config_tree_drain(&node->config_tree, executor, node_fleet_ms(node), ahead_ms);
    int64_t at_ms = summary ? summary->leave_ms : 0;
    if (drain && (!at_ms || drain->at_ms < at_ms))
        at_ms = drain->at_ms;
    return at_ms;
}

/* Proposes preemption for the shard's tasks on the executor where it is time. */
void preempt_check(struct node *node, struct shard *shard, const char *executor)
{
    int64_t now_ms = node_fleet_ms(node), at_ms = -1, for_ms = 0;
    if (peers_min_level(&node->peers) < LEVEL_PREEMPT)
        return;
    for (int64_t i = 0; i < shard->n_placed; i++) {
        struct job *job = rows_find_job(&shard->rows, shard->placed[i].job);
        struct row *row = job ? &job->rows[shard->placed[i].no] : NULL;
        if (!row || row->state != ROW_PLACED || row->staged || row->preempt_proposed || row->stopping ||
            job->state != JOB_ACTIVE || strcmp(row->executor, executor))
            continue;
        const struct settings *settings = node_settings(node, job->queue);
        if (at_ms < 0 || settings->preempt_ms > for_ms)
            at_ms = leave_time_ms(node, executor, for_ms = settings->preempt_ms);
        if (!settings->preempt || !at_ms || now_ms < at_ms - settings->preempt_ms)
            continue;
        struct op *op = worker_buffer(node, shard, OP_PREEMPT, job->id, 0, 0);
        op->no = shard->placed[i].no;
        op->attempt = row->attempt;
        row->preempt_proposed = 1;
    }
}

void preempt_committed(struct node *node, struct shard *shard, struct job *job, const struct op *op)
{
    int64_t step = 0;
    spec_task(&job->spec, op->no, &step);
    int64_t first = spec_first_task(&job->spec, step), n = job->spec.steps[step].n_tasks;
    job->rows[op->no].preempt_proposed = 0;
    for (int64_t i = first; i < first + n; i++) {
        struct row *row = &job->rows[i];
        if (row->state != ROW_PLACED || !row_preempted(row) || row->stopping)
            continue;
        world_note(node->w, EV_PREEMPTED, "job=%lld no=%lld attempt=%lld executor=%s", (long long)job->id, (long long)i,
                   (long long)row->attempt, row->executor);
        node_journal_add(node, job->id, i, row->attempt, "preempted", row->executor);
        track_stop(node, shard, job, i);
    }
}
