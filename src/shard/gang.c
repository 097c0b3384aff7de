/* Gangs: all members run at once or none does. Each member is started in the held state, which allocates its capacity
 * at its executor, and only when all are held do they get the go order. If that takes too long, or some run without the
 * others because an executor was lost, all of them are stopped. */
#include "base/error.h"
#include "node/node.h"

enum { GANG_START_TIMEOUT_MS = 1200 };

int is_gang_member(const struct job *job, int64_t no)
{
    int64_t step = 0;
    spec_task(&job->spec, no, &step);
    return job->spec.steps[step].gang && job->spec.steps[step].n_tasks > 1;
}

/* The numbers of the gang's tasks, first to end - 1. */
static void gang_range(const struct job *job, int64_t no, int64_t *first, int64_t *end)
{
    int64_t step = 0;
    spec_task(&job->spec, no, &step);
    *first = spec_first_task(&job->spec, step);
    *end = *first + job->spec.steps[step].n_tasks;
}

/* Whether the row may be staged. A gang member may not while others are placed or staged, so that all the remaining
 * ones start together. */
int gang_may_stage(const struct job *job, int64_t no)
{
    int64_t first, end;
    if (!is_gang_member(job, no))
        return 1;
    gang_range(job, no, &first, &end);
    for (int64_t i = first; i < end; i++)
        if (job->rows[i].state == ROW_PLACED || (job->rows[i].state == ROW_READY && job->rows[i].staged))
            return 0;
    return 1;
}

void gang_placed(struct node *node, struct job *job, int64_t no)
{
    struct row *row = &job->rows[no];
    row->held = row->running = row->gang_since_ms = 0;
    if (is_gang_member(job, no))
        row->gang_since_ms = world_ms(node->w);
}

void gang_stop(struct node *node, struct shard *shard, struct job *job, int64_t no)
{
    int64_t first, end;
    gang_range(job, no, &first, &end);
    for (int64_t i = first; i < end; i++)
        if (job->rows[i].state == ROW_PLACED && !job->rows[i].stopping && !job->rows[i].staged)
            track_stop(node, shard, job, i);
}

/* Takes in the state of a member as its executor's owner reports it. Once all members are held or running, the go order
 * is sent to those not running. A new shard owner collects the states again; a member that runs counts as held. */
void gang_on_member_state(struct node *node, struct shard *shard, struct job *job, int64_t no, int64_t state)
{
    int64_t first, end;
    struct row *row = &job->rows[no];
    row->held = row->held || state == CHECK_HELD || state == CHECK_RUNNING;
    row->running = row->running || state == CHECK_RUNNING || state == CHECK_ENDED;
    gang_range(job, no, &first, &end);
    for (int64_t i = first; i < end; i++) {
        const struct row *other = &job->rows[i];
        if (other->state != ROW_DONE && (other->state != ROW_PLACED || !other->held || other->stopping))
            return;
    }
    for (int64_t i = first; i < end; i++)
        if (job->rows[i].state == ROW_PLACED && !job->rows[i].running)
            track_go(node, shard, job, i);
}

/* Stops the gang if not all members run within GANG_START_TIMEOUT_MS. */
void gang_check_timeout(struct node *node, struct shard *shard, struct job *job, int64_t no)
{
    int64_t first, end, now_ms = world_ms(node->w);
    struct row *row = &job->rows[no];
    if (now_ms - row->gang_since_ms < GANG_START_TIMEOUT_MS)
        return;
    gang_range(job, no, &first, &end);
    row->gang_since_ms = 0; /* checked once; a member that is lost later ends by its lease */
    for (int64_t i = first; i < end; i++)
        if (job->rows[i].state == ROW_PLACED && !job->rows[i].running) {
            gang_stop(node, shard, job, no);
            return;
        }
}
