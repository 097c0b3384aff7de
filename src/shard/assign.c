/* Choosing an executor for a task: first what is permitted, then the best. */
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "node/node.h"

enum { ROOM_FRESH_MS = 2000 };

struct executor_summary *executor_summary_find(struct node *node, const char *executor)
{
    for (int64_t i = 0; i < node->n_executor_summaries; i++)
        if (!strcmp(node->executor_summaries[i].executor, executor))
            return &node->executor_summaries[i];
    return NULL;
}

void executor_summaries_merge(struct node *node, int64_t from, struct executor_summaries_msg *m)
{
    for (int64_t i = 0; i < m->n; i++) {
        struct executor_summary *executor_summary = &m->executor_summaries[i];
        if (!executor_summary->executor || !executor_summary->kind || !executor_summary->rack ||
            executor_summary->executor_owner != from)
            continue;
        struct executor_summary *have = executor_summary_find(node, executor_summary->executor);
        if (have && executor_summary->epoch < have->epoch)
            continue;
        int64_t slow_pct = have ? have->slow_pct : 100;
        if (!have)
            have = array_add(node->executor_summaries, node->n_executor_summaries);
        else
            schema_free(&executor_summary_schema, have);
        *have = *executor_summary;
        have->slow_pct = slow_pct;
        have->seen_ms = world_ms(node->w);
        memset(executor_summary, 0, sizeof *executor_summary); /* its strings are ours now */
    }
}

static int serves(const struct executor_summary *executor_summary, const char *service)
{
    for (int64_t i = 0; i < executor_summary->n_services; i++)
        if (!strcmp(executor_summary->services[i], service))
            return 1;
    return 0;
}

static int rack_named(const struct step_spec *step)
{
    return step->rack && *step->rack && strcmp(step->rack, "any") && strcmp(step->rack, "one");
}

/* How many of the step's tasks are on the executor, on its rack; and the rack
 * the step already keeps to. Work being reserved counts as if it were there. */
struct crowd {
    int64_t on_executor, on_rack;
    const char *rack;
};

static void crowd_add(struct node *node, struct crowd *crowd, const struct executor_summary *executor_summary,
                      const char *executor)
{
    struct executor_summary *other = executor_summary_find(node, executor);
    crowd->on_executor += !strcmp(executor, executor_summary->executor);
    crowd->on_rack += other && !strcmp(other->rack, executor_summary->rack);
    if (other)
        crowd->rack = other->rack;
}

static struct crowd crowd_of(struct node *node, const struct job *job, int64_t step,
                             const struct executor_summary *executor_summary, const struct staging *own)
{
    struct crowd crowd = {0};
    int64_t first = spec_first_task(&job->spec, step), n = job->spec.steps[step].n_tasks;
    for (int64_t i = first; i < first + n; i++)
        if (job->rows[i].state == ROW_PLACED ||
            (job->rows[i].state == ROW_DONE && !strcmp(job->spec.steps[step].rack, "one")))
            if (job->rows[i].executor) {
                struct crowd one = crowd;
                crowd_add(node, &one, executor_summary, job->rows[i].executor);
                if (job->rows[i].state != ROW_PLACED)
                    one.on_executor = crowd.on_executor, one.on_rack = crowd.on_rack;
                crowd = one;
            }
    for (int64_t i = 0; i < node->stagings.cap; i++) {
        struct staging *staging = slab_at(&node->stagings, slab_number(&node->stagings, i));
        if (!staging || staging == own || staging->job != job->id || staging->step != step)
            continue;
        for (int64_t k = 0; k < staging->n_places; k++)
            if (staging->places[k].executor)
                crowd_add(node, &crowd, executor_summary, staging->places[k].executor);
    }
    for (int64_t k = 0; own && k < own->n_places; k++)
        if (own->places[k].executor)
            crowd_add(node, &crowd, executor_summary, own->places[k].executor);
    return crowd;
}

static const char *denies(struct node *node, const struct job *job, int64_t no,
                          const struct executor_summary *executor_summary, const struct staging *own)
{
    int64_t step = 0, now_ms = node_fleet_ms(node);
    const struct task_spec *task = spec_task(&job->spec, no, &step);
    const struct step_spec *s = &job->spec.steps[step];
    static const char *const states[] = {NULL, "silent", "leaving", "in quarantine", NULL, "closed"};
    if (!serves(executor_summary, job->spec.service))
        return "does not serve this service";
    if (strcmp(executor_summary->kind, task->kind))
        return "is of another kind";
    if (executor_summary->cores < task->cores || executor_summary->mem_mb < task->mem_mb)
        return "could never hold it";
    if (rack_named(s) && strcmp(s->rack, executor_summary->rack))
        return "is not on the named rack";
    if (states[executor_summary->state])
        return states[executor_summary->state];
    if (world_ms(node->w) - executor_summary->seen_ms > ROOM_FRESH_MS)
        return "its home has not been heard";
    if (config_tree_drain(&node->config_tree, executor_summary->executor, now_ms,
                          node_settings(node, job->queue)->lease_ms))
        return "the calendar drains it";
    if ((!own || !own->ignores_view) &&
        (executor_summary->free_cores < task->cores || executor_summary->free_mb < task->mem_mb))
        return "has no room now";
    if (own && !own->ignores_view && own->urgency > executor_summary->wanted)
        return "keeps its room for more urgent work";
    struct crowd crowd = crowd_of(node, job, step, executor_summary, own);
    if (s->per_executor && crowd.on_executor >= s->per_executor)
        return "holds as many of this step as allowed";
    if (s->per_rack && crowd.on_rack >= s->per_rack)
        return "its rack holds as many of this step as allowed";
    if (s->rack && !strcmp(s->rack, "one") && crowd.rack && strcmp(crowd.rack, executor_summary->rack))
        return "the step keeps to another rack";
    return NULL;
}

const char *assign_rejection(struct node *node, const struct job *job, int64_t no,
                             const struct executor_summary *executor_summary)
{
    return denies(node, job, no, executor_summary, NULL);
}

static int64_t score(struct node *node, const struct executor_summary *executor_summary)
{
    int64_t free = executor_summary->cores ? executor_summary->free_cores * 1000 / executor_summary->cores : 0;
    /* judged by progress: one that takes twice as long as the others counts as full by a third */
    if (executor_summary->slow_pct > 125)
        free -= (executor_summary->slow_pct < 1000 ? executor_summary->slow_pct - 100 : 900) * 3;
    return free * 64 + (int64_t)(world_random(node->w) % 4096);
}

/* A task is done: how long that took, against its queue's other work. Kept per
 * node from what its own shards see; an executor is slow to it, not by its word. */
void assign_record_duration(struct node *node, const struct job *job, int64_t no)
{
    const struct row *row = &job->rows[no];
    struct queue *q = &node->queues[job->queue];
    struct executor_summary *executor_summary = row->executor ? executor_summary_find(node, row->executor) : NULL;
    int64_t took_ms = row->ended_ms - row->placed_ms;
    if (!executor_summary || took_ms < 1)
        return;
    int64_t pct = q->mean_ms ? took_ms * 100 / q->mean_ms : 100;
    executor_summary->slow_pct += ((pct < 2000 ? pct : 2000) - executor_summary->slow_pct) / 4;
    /* a slow executor must not become the measure of its queue */
    if (!q->mean_ms)
        q->mean_ms = took_ms;
    else
        q->mean_ms += ((took_ms < 2 * q->mean_ms ? took_ms : 2 * q->mean_ms) - q->mean_ms) / 16;
    if (q->mean_ms < 1)
        q->mean_ms = 1;
}

static struct executor_summary *best_room(struct node *node, const struct job *job, int64_t no,
                                          const struct staging *own, const char *rack)
{
    struct executor_summary *best = NULL;
    int64_t best_score = 0;
    for (int64_t i = 0; i < node->n_executor_summaries; i++) {
        struct executor_summary *executor_summary = &node->executor_summaries[i];
        if ((rack && strcmp(rack, executor_summary->rack)) || denies(node, job, no, executor_summary, own))
            continue;
        int64_t value = score(node, executor_summary);
        if (best && value <= best_score)
            continue;
        best = executor_summary;
        best_score = value;
    }
    return best;
}

static void give_back(struct node *node, const struct job *job, struct staging *staging)
{
    for (int64_t i = 0; i < staging->n_places; i++) {
        struct staging_place *place = &staging->places[i];
        struct executor_summary *executor_summary =
            place->executor ? executor_summary_find(node, place->executor) : NULL;
        const struct task_spec *task = spec_task(&job->spec, place->no, NULL);
        if (executor_summary) {
            executor_summary->free_cores += task->cores;
            executor_summary->free_mb += task->mem_mb;
        }
        free(place->executor);
        place->executor = NULL;
    }
}

static int assign_on(struct node *node, const struct job *job, struct staging *staging, const char *rack)
{
    for (int64_t i = 0; i < staging->n_places; i++) {
        struct staging_place *place = &staging->places[i];
        struct executor_summary *executor_summary = best_room(node, job, place->no, staging, rack);
        const struct task_spec *task = spec_task(&job->spec, place->no, NULL);
        if (!executor_summary) {
            give_back(node, job, staging);
            return ERROR_REJECTED;
        }
        place->executor = must_dup(executor_summary->executor);
        place->executor_epoch = executor_summary->epoch;
        place->incarnation = executor_summary->incarnation;
        place->executor_owner = executor_summary->executor_owner;
        executor_summary->free_cores -= task->cores; /* until the home says better */
        executor_summary->free_mb -= task->mem_mb;
    }
    return ERROR_NONE;
}

/* Fills in every place, or none. A gang on one rack tries each rack in turn. */
int assign_places(struct node *node, struct shard *shard, struct job *job, struct staging *staging)
{
    const struct step_spec *step = &job->spec.steps[staging->step];
    (void)shard;
    if (staging->n_places == 1 || !step->rack || strcmp(step->rack, "one"))
        return assign_on(node, job, staging, NULL);
    for (int64_t i = 0; i < node->n_executor_summaries; i++) {
        int seen = 0;
        for (int64_t k = 0; k < i && !seen; k++)
            seen = !strcmp(node->executor_summaries[k].rack, node->executor_summaries[i].rack);
        if (!seen && !assign_on(node, job, staging, node->executor_summaries[i].rack))
            return ERROR_NONE;
    }
    return ERROR_REJECTED;
}

/* Most of the step's tasks that a rack (NULL: all) could hold at once, empty;
 * never too few: it counts every task as the least demanding. */
static int64_t most_at_once(struct node *node, const struct job_spec *spec, const struct step_spec *step,
                            const char *rack)
{
    int64_t least = INT64_MAX, n = 0;
    for (int64_t t = 0; t < step->n_tasks; t++)
        if (step->tasks[t].cores < least)
            least = step->tasks[t].cores;
    for (int64_t i = 0; i < node->n_executor_summaries; i++) {
        const struct executor_summary *executor_summary = &node->executor_summaries[i];
        if (!serves(executor_summary, spec->service) || strcmp(executor_summary->kind, step->tasks[0].kind) ||
            (rack && strcmp(rack, executor_summary->rack)))
            continue;
        int64_t here = least > 0 ? executor_summary->cores / least : step->n_tasks;
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
            return 1; /* of several kinds: left to the placing */
    if (rack_named(step))
        return most_at_once(node, spec, step, step->rack) >= step->n_tasks;
    if (!step->rack || strcmp(step->rack, "one"))
        return most_at_once(node, spec, step, NULL) >= step->n_tasks;
    for (int64_t i = 0; i < node->n_executor_summaries; i++)
        if (most_at_once(node, spec, step, node->executor_summaries[i].rack) >= step->n_tasks &&
            (!step->per_rack || step->per_rack >= step->n_tasks))
            return 1;
    return 0;
}

/* Could any executor known ever hold each task? 1 while not all are known. */
int assign_could_fit(struct node *node, const struct job_spec *spec, int64_t *bad_no)
{
    int64_t homes = 0, no = 0;
    for (int64_t i = 0; i < node->config_tree.n_ownerships; i++)
        homes += !strncmp(node->config_tree.ownerships[i].name, "home/", 5);
    if (!homes || node->n_executor_summaries < homes)
        return 1;
    for (int64_t s = 0; s < spec->n_steps; s++) {
        *bad_no = no;
        if (!gang_fits(node, spec, &spec->steps[s]))
            return 0;
        for (int64_t t = 0; t < spec->steps[s].n_tasks; t++, no++) {
            const struct task_spec *task = &spec->steps[s].tasks[t];
            int fits = 0;
            for (int64_t i = 0; i < node->n_executor_summaries && !fits; i++) {
                const struct executor_summary *executor_summary = &node->executor_summaries[i];
                fits = serves(executor_summary, spec->service) && !strcmp(executor_summary->kind, task->kind) &&
                       executor_summary->cores >= task->cores && executor_summary->mem_mb >= task->mem_mb &&
                       (!rack_named(&spec->steps[s]) || !strcmp(spec->steps[s].rack, executor_summary->rack));
            }
            *bad_no = no;
            if (!fits)
                return 0;
        }
    }
    return 1;
}
