/* Gangs start together or not at all: every member is first held at its
 * executor, with its room, and only when all are held does any begin. What
 * cannot be held in time is given back whole; what began without the rest,
 * because an executor died in between, is stopped. */
#include "base/error.h"
#include "node/node.h"

enum { HOLD_MS = 1200 };

int is_gang_member(const struct job *job, int64_t no)
{
    int64_t step = 0;
    spec_task(&job->spec, no, &step);
    return job->spec.steps[step].gang && job->spec.steps[step].n_tasks > 1;
}

static void members(const struct job *job, int64_t no, int64_t *first, int64_t *end)
{
    int64_t step = 0;
    spec_task(&job->spec, no, &step);
    *first = spec_first_task(&job->spec, step);
    *end = *first + job->spec.steps[step].n_tasks;
}

/* Not while some members are still out: what is left starts together again. */
int gang_may_stage(const struct job *job, int64_t no)
{
    int64_t first, end;
    if (!is_gang_member(job, no))
        return 1;
    members(job, no, &first, &end);
    for (int64_t i = first; i < end; i++)
        if (job->rows[i].state == ROW_PLACED || (job->rows[i].state == ROW_READY && job->rows[i].staged))
            return 0;
    return 1;
}

void gang_placed(struct node *node, struct job *job, int64_t no)
{
    struct row *row = &job->rows[no];
    row->held = row->runs = row->gang_ms = 0;
    if (is_gang_member(job, no))
        row->gang_ms = world_ms(node->w);
}

void gang_stop(struct node *node, struct shard *shard, struct job *job, int64_t no)
{
    int64_t first, end;
    members(job, no, &first, &end);
    for (int64_t i = first; i < end; i++)
        if (job->rows[i].state == ROW_PLACED && !job->rows[i].stopping && !job->rows[i].staged)
            track_stop(node, shard, job, i);
}

/* A home's word on one member. Once all are held or more, those held may go;
 * after a change of owner the words are gathered again, and one that already
 * runs means that the go was given. */
void gang_on_member_state(struct node *node, struct shard *shard, struct job *job, int64_t no, int64_t state)
{
    int64_t first, end;
    struct row *row = &job->rows[no];
    row->held = row->held || state == CHECK_HELD || state == CHECK_RUNS;
    row->runs = row->runs || state == CHECK_RUNS || state == CHECK_ENDED;
    members(job, no, &first, &end);
    for (int64_t i = first; i < end; i++) {
        const struct row *other = &job->rows[i];
        if (other->state != ROW_DONE && (other->state != ROW_PLACED || !other->held || other->stopping))
            return;
    }
    for (int64_t i = first; i < end; i++)
        if (job->rows[i].state == ROW_PLACED && !job->rows[i].runs)
            track_go(node, shard, job, i);
}

/* Too long without the whole gang running: all of it is stopped. */
void gang_check_timeout(struct node *node, struct shard *shard, struct job *job, int64_t no)
{
    int64_t first, end, now_ms = world_ms(node->w);
    struct row *row = &job->rows[no];
    if (now_ms - row->gang_ms < HOLD_MS)
        return;
    members(job, no, &first, &end);
    row->gang_ms = 0; /* judged once; a member that vanishes later ends by its lease */
    for (int64_t i = first; i < end; i++)
        if (job->rows[i].state == ROW_PLACED && !job->rows[i].runs) {
            gang_stop(node, shard, job, no);
            return;
        }
}
