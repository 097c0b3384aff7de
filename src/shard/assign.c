/* Choice of an executor for a task: of those that satisfy all constraints, the one with the best score. Also keeps the
 * node's summaries of executors. */
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "node/node.h"

enum { SUMMARY_FRESH_MS = 2000 };

struct executor_summary *executor_summary_find(struct node *node, const char *executor)
{
    for (int64_t i = 0; i < node->n_executor_summaries; i++)
        if (!strcmp(node->executor_summaries[i].executor, executor))
            return &node->executor_summaries[i];
    return NULL;
}

void executor_summaries_merge(struct node *node, int64_t from, struct executor_summaries_msg *message)
{
    for (int64_t i = 0; i < message->n; i++) {
        struct executor_summary *summary = &message->summaries[i];
        if (!summary->executor || !summary->kind || !summary->rack || summary->executor_owner != from)
            continue;
        struct executor_summary *known = executor_summary_find(node, summary->executor);
        if (known && summary->epoch < known->epoch)
            continue;
        int64_t slow_pct = known ? known->slow_pct : 100;
        if (!known)
            known = array_add(node->executor_summaries, node->n_executor_summaries);
        else
            schema_free(&executor_summary_schema, known);
        *known = *summary;
        known->slow_pct = slow_pct;
        known->received_ms = world_ms(node->w);
        memset(summary, 0, sizeof *summary); /* the known summary owns its strings now */
    }
}

static int serves(const struct executor_summary *summary, const char *service)
{
    for (int64_t i = 0; i < summary->n_services; i++)
        if (!strcmp(summary->services[i], service))
            return 1;
    return 0;
}

static int has_named_rack(const struct step_spec *step)
{
    return step->rack && *step->rack && strcmp(step->rack, "any") && strcmp(step->rack, "one");
}

/* How many of a step's tasks are on an executor and on its rack, and a rack that the step uses (NULL: none yet).
 * Tasks that are being placed count, too. */
struct placed_counts {
    int64_t on_executor, on_rack;
    const char *rack;
};

static void count_placed(struct node *node, struct placed_counts *counts, const struct executor_summary *summary,
                         const char *executor)
{
    struct executor_summary *other = executor_summary_find(node, executor);
    counts->on_executor += !strcmp(executor, summary->executor);
    counts->on_rack += other && !strcmp(other->rack, summary->rack);
    if (other)
        counts->rack = other->rack;
}

static struct placed_counts count_step(struct node *node, const struct job *job, int64_t step,
                                       const struct executor_summary *summary, const struct staging *current)
{
    struct placed_counts counts = {0};
    int64_t first = spec_first_task(&job->spec, step), n = job->spec.steps[step].n_tasks;
    for (int64_t i = first; i < first + n; i++)
        if (job->rows[i].state == ROW_PLACED ||
            (job->rows[i].state == ROW_DONE && !strcmp(job->spec.steps[step].rack, "one")))
            if (job->rows[i].executor) {
                struct placed_counts updated = counts;
                count_placed(node, &updated, summary, job->rows[i].executor);
                if (job->rows[i].state != ROW_PLACED)
                    updated.on_executor = counts.on_executor, updated.on_rack = counts.on_rack;
                counts = updated;
            }
    for (int64_t i = 0; i < node->stagings.cap; i++) {
        struct staging *staging = slab_at(&node->stagings, slab_number(&node->stagings, i));
        if (!staging || staging == current || staging->job != job->id || staging->step != step)
            continue;
        for (int64_t k = 0; k < staging->n_places; k++)
            if (staging->places[k].executor)
                count_placed(node, &counts, summary, staging->places[k].executor);
    }
    for (int64_t k = 0; current && k < current->n_places; k++)
        if (current->places[k].executor)
            count_placed(node, &counts, summary, current->places[k].executor);
    return counts;
}

/* Why the executor cannot take the task, or NULL. current: the staging that the task is in; NULL: only checked. */
static const char *rejection(struct node *node, const struct job *job, int64_t no,
                             const struct executor_summary *summary, const struct staging *current)
{
    int64_t step = 0, now_ms = node_fleet_ms(node);
    const struct task_spec *task = spec_task(&job->spec, no, &step);
    const struct step_spec *step_spec = &job->spec.steps[step];
    static const char *const states[] = {NULL, "silent", "leaving", "in quarantine", NULL, "closed"};
    if (!serves(summary, job->spec.service))
        return "does not serve this service";
    if (strcmp(summary->kind, task->kind))
        return "is of another kind";
    if (summary->cores < task->cores || summary->mem_mb < task->mem_mb)
        return "is too small for it";
    if (has_named_rack(step_spec) && strcmp(step_spec->rack, summary->rack))
        return "is not on the named rack";
    if (states[summary->state])
        return states[summary->state];
    if (world_ms(node->w) - summary->received_ms > SUMMARY_FRESH_MS)
        return "has no recent report from its owner";
    if (config_tree_drain(&node->config_tree, summary->executor, now_ms, node_settings(node, job->queue)->lease_ms))
        return "is drained by the calendar";
    if ((!current || !current->ignores_summary) &&
        (summary->free_cores < task->cores || summary->free_mb < task->mem_mb))
        return "has no free capacity now";
    if (current && !current->ignores_summary && current->urgency > summary->urgency_limit)
        return "keeps its capacity for more urgent work";
    struct placed_counts counts = count_step(node, job, step, summary, current);
    if (step_spec->per_executor && counts.on_executor >= step_spec->per_executor)
        return "has as many tasks of this step as allowed";
    if (step_spec->per_rack && counts.on_rack >= step_spec->per_rack)
        return "its rack has as many tasks of this step as allowed";
    if (step_spec->rack && !strcmp(step_spec->rack, "one") && counts.rack && strcmp(counts.rack, summary->rack))
        return "is not on the rack that the step uses";
    return NULL;
}

const char *assign_rejection(struct node *node, const struct job *job, int64_t no,
                             const struct executor_summary *summary)
{
    return rejection(node, job, no, summary, NULL);
}

static int64_t score(struct node *node, const struct executor_summary *summary)
{
    int64_t free = summary->cores ? summary->free_cores * 1000 / summary->cores : 0;
    /* its tasks take longer than others: each 100 % more costs 300 of the 1000 points for free cores */
    if (summary->slow_pct > 125)
        free -= (summary->slow_pct < 1000 ? summary->slow_pct - 100 : 900) * 3;
    return free * 64 + (int64_t)(world_random(node->w) % 4096);
}

/* Updates the pace of the executor from the duration of a task that is done, relative to the mean of its queue. Each
 * node uses the tasks of its own shards; what an executor reports about itself does not count. */
void assign_record_duration(struct node *node, const struct job *job, int64_t no)
{
    const struct row *row = &job->rows[no];
    struct queue *queue = &node->queues[job->queue];
    struct executor_summary *summary = row->executor ? executor_summary_find(node, row->executor) : NULL;
    int64_t took_ms = row->ended_ms - row->placed_ms;
    if (!summary || took_ms < 1)
        return;
    int64_t pct = queue->mean_ms ? took_ms * 100 / queue->mean_ms : 100;
    summary->slow_pct += ((pct < 2000 ? pct : 2000) - summary->slow_pct) / 4;
    /* durations are capped so that a slow executor does not raise the mean of its queue much */
    if (!queue->mean_ms)
        queue->mean_ms = took_ms;
    else
        queue->mean_ms += ((took_ms < 2 * queue->mean_ms ? took_ms : 2 * queue->mean_ms) - queue->mean_ms) / 16;
    if (queue->mean_ms < 1)
        queue->mean_ms = 1;
}

static struct executor_summary *best_executor(struct node *node, const struct job *job, int64_t no,
                                              const struct staging *current, const char *rack)
{
    struct executor_summary *best = NULL;
    int64_t best_score = 0;
    for (int64_t i = 0; i < node->n_executor_summaries; i++) {
        struct executor_summary *summary = &node->executor_summaries[i];
        if ((rack && strcmp(rack, summary->rack)) || rejection(node, job, no, summary, current))
            continue;
        int64_t value = score(node, summary);
        if (best && value <= best_score)
            continue;
        best = summary;
        best_score = value;
    }
    return best;
}

static void unassign(struct node *node, const struct job *job, struct staging *staging)
{
    for (int64_t i = 0; i < staging->n_places; i++) {
        struct reservation *reservation = &staging->places[i];
        struct executor_summary *summary =
            reservation->executor ? executor_summary_find(node, reservation->executor) : NULL;
        const struct task_spec *task = spec_task(&job->spec, reservation->no, NULL);
        if (summary) {
            summary->free_cores += task->cores;
            summary->free_mb += task->mem_mb;
        }
        free(reservation->executor);
        reservation->executor = NULL;
    }
}

static int assign_on_rack(struct node *node, const struct job *job, struct staging *staging, const char *rack)
{
    for (int64_t i = 0; i < staging->n_places; i++) {
        struct reservation *reservation = &staging->places[i];
        struct executor_summary *summary = best_executor(node, job, reservation->no, staging, rack);
        const struct task_spec *task = spec_task(&job->spec, reservation->no, NULL);
        if (!summary) {
            unassign(node, job, staging);
            return ERROR_REJECTED;
        }
        reservation->executor = must_dup(summary->executor);
        reservation->executor_epoch = summary->epoch;
        reservation->incarnation = summary->incarnation;
        reservation->executor_owner = summary->executor_owner;
        summary->free_cores -= task->cores; /* until its owner sends a new summary */
        summary->free_mb -= task->mem_mb;
    }
    return ERROR_NONE;
}

/* Chooses an executor for every task of the staging, or for none. For a gang on one rack, tries each rack in turn. */
int assign_places(struct node *node, struct shard *shard, struct job *job, struct staging *staging)
{
    const struct step_spec *step = &job->spec.steps[staging->step];
    (void)shard;
    if (staging->n_places == 1 || !step->rack || strcmp(step->rack, "one"))
        return assign_on_rack(node, job, staging, NULL);
    for (int64_t i = 0; i < node->n_executor_summaries; i++) {
        int seen = 0;
        for (int64_t k = 0; k < i && !seen; k++)
            seen = !strcmp(node->executor_summaries[k].rack, node->executor_summaries[i].rack);
        if (!seen && !assign_on_rack(node, job, staging, node->executor_summaries[i].rack))
            return ERROR_NONE;
    }
    return ERROR_REJECTED;
}

/* An upper bound of how many of the step's tasks the executors of a rack (NULL: of all racks) could run at once when
 * empty: every task counts with the cores of the smallest. */
static int64_t step_capacity(struct node *node, const struct job_spec *spec, const struct step_spec *step,
                             const char *rack)
{
    int64_t least = INT64_MAX, n = 0;
    for (int64_t t = 0; t < step->n_tasks; t++)
        if (step->tasks[t].cores < least)
            least = step->tasks[t].cores;
    for (int64_t i = 0; i < node->n_executor_summaries; i++) {
        const struct executor_summary *summary = &node->executor_summaries[i];
        if (!serves(summary, spec->service) || strcmp(summary->kind, step->tasks[0].kind) ||
            (rack && strcmp(rack, summary->rack)))
            continue;
        int64_t here = least > 0 ? summary->cores / least : step->n_tasks;
        n += step->per_executor && here > step->per_executor ? step->per_executor : here;
    }
    return n;
}

static int gang_fits(struct node *node, const struct job_spec *spec, const struct step_spec *step)
{
    if (!step->gang || step->n_tasks == 1)
        return 1;
    for (int64_t t = 1; t < step->n_tasks; t++)
        if (strcmp(step->tasks[t].kind, step->tasks[0].kind))
            return 1; /* several kinds are not checked here */
    if (has_named_rack(step))
        return step_capacity(node, spec, step, step->rack) >= step->n_tasks;
    if (!step->rack || strcmp(step->rack, "one"))
        return step_capacity(node, spec, step, NULL) >= step->n_tasks;
    for (int64_t i = 0; i < node->n_executor_summaries; i++)
        if (step_capacity(node, spec, step, node->executor_summaries[i].rack) >= step->n_tasks &&
            (!step->per_rack || step->per_rack >= step->n_tasks))
            return 1;
    return 0;
}

/* Whether each task would fit some executor if that were empty; *bad_no: the first that does not. 1 while not every
 * executor is known. */
int assign_could_fit(struct node *node, const struct job_spec *spec, int64_t *bad_no)
{
    int64_t n_owned = 0, no = 0;
    for (int64_t i = 0; i < node->config_tree.n_ownerships; i++)
        n_owned += !strncmp(node->config_tree.ownerships[i].name, "home/", 5);
    if (!n_owned || node->n_executor_summaries < n_owned)
        return 1;
    for (int64_t s = 0; s < spec->n_steps; s++) {
        *bad_no = no;
        if (!gang_fits(node, spec, &spec->steps[s]))
            return 0;
        for (int64_t t = 0; t < spec->steps[s].n_tasks; t++, no++) {
            const struct task_spec *task = &spec->steps[s].tasks[t];
            int fits = 0;
            for (int64_t i = 0; i < node->n_executor_summaries && !fits; i++) {
                const struct executor_summary *summary = &node->executor_summaries[i];
                fits = serves(summary, spec->service) && !strcmp(summary->kind, task->kind) &&
                       summary->cores >= task->cores && summary->mem_mb >= task->mem_mb &&
                       (!has_named_rack(&spec->steps[s]) || !strcmp(spec->steps[s].rack, summary->rack));
            }
            *bad_no = no;
            if (!fits)
                return 0;
        }
    }
    return 1;
}
