/* Preemption: work on an executor whose leaving is known, by its own word or by the
 * calendar, and that has not ended in time is stopped early enough to be proven, and
 * runs again elsewhere. Committed before the stop is ordered, so that whoever owns
 * the shard when the proof comes knows why it was stopped. */
#include <string.h>

#include "base/events.h"
#include "node/node.h"

/* When the executor will be gone, by fleet time; 0: not that we know. */
static int64_t leaves_at(struct node *node, const char *executor, int64_t aheadMs)
{
    const struct room *room = room_find(node, executor);
    const struct planned *drain = charter_drained(&node->charter, executor, node_fleet_ms(node), aheadMs);
    int64_t atMs = room ? room->leaveMs : 0;
    if (drain && (!atMs || drain->atMs < atMs))
        atMs = drain->atMs;
    return atMs;
}

/* Looks at what this shard has on that executor; asked each time it is checked. */
void preempt_watch(struct node *node, struct shard *shard, const char *executor)
{
    int64_t nowMs = node_fleet_ms(node), atMs = -1, forMs = 0;
    if (siblings_level(&node->siblings) < LEVEL_PREEMPT)
        return;
    for (int64_t i = 0; i < shard->nPlaced; i++) {
        struct job *job = rows_job(&shard->rows, shard->placed[i].job);
        struct row *row = job ? &job->rows[shard->placed[i].no] : NULL;
        if (!row || row->state != ROW_PLACED || row->staged || row->preemptAsked || row->stopping ||
            job->state != JOB_ACTIVE || strcmp(row->executor, executor))
            continue;
        const struct params *params = node_params(node, job->queue);
        if (atMs < 0 || params->preemptMs > forMs)
            atMs = leaves_at(node, executor, forMs = params->preemptMs);
        if (!params->preempt || !atMs || nowMs < atMs - params->preemptMs)
            continue;
        struct op *op = worker_buffer(node, shard, OP_PREEMPT, job->id, 0, 0);
        op->no = shard->placed[i].no;
        op->attempt = row->attempt;
        row->preemptAsked = 1;
    }
}

void preempt_committed(struct node *node, struct shard *shard, struct job *job, const struct op *op)
{
    int64_t step = 0;
    spec_task(&job->spec, op->no, &step);
    int64_t first = spec_first(&job->spec, step), n = job->spec.steps[step].nTasks;
    job->rows[op->no].preemptAsked = 0;
    for (int64_t i = first; i < first + n; i++) {
        struct row *row = &job->rows[i];
        if (row->state != ROW_PLACED || !row_preempted(row) || row->stopping)
            continue;
        world_note(node->w, EV_PREEMPTED, "job=%lld no=%lld attempt=%lld executor=%s", (long long)job->id, (long long)i,
                   (long long)row->attempt, row->executor);
        node_tell(node, job->id, i, row->attempt, "preempted", row->executor);
        track_stop(node, shard, job, i);
    }
}
