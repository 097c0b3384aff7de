/* An accepted job is known at every node whose gate is open, and service returns
 * within its time after a heavy failure: asked for all through every run. */
#include "sim/oracle.h"

#include <stdlib.h>
#include <string.h>

enum { REQUEST_AGAIN_MS = 500, ROUND_NODES = 3 };

void oracle_accepted(struct oracle *o, int64_t job)
{
    PWord_t at = job ? (PWord_t)JudyLIns(&o->accepted_index, (Word_t)job, NULL) : NULL;
    if (!at || *at)
        return;
    *array_add(o->accepted, o->n_accepted) = (struct accepted){.job = job, .at_ms = sim_ms(o->sim)};
    *at = (Word_t)o->n_accepted;
}

int64_t oracle_disturbed(const struct oracle *o) { return o->disturbed_ms; }
void oracle_say(struct oracle *o, const char *what) { oracle_breach(o, "%s", what); }

/* --- calm ------------------------------------------------------------------------------- */

static int sick_disk(const struct sim *sim, const struct machine *m)
{
    return m->disk.failing || m->disk.full || m->disk.stall_until_us > sim->now_us || m->disk.sync_us > 100000;
}

static int linked(const struct sim *sim, const struct machine *a, const struct machine *b)
{
    return !sim->cut[a->index][b->index] && !sim->cut[b->index][a->index];
}

/* Is there a majority of the voters, well and in sight of each other? Without one
 * no service can be asked for: the time of its return counts from here. */
static int majority(struct sim *sim)
{
    for (int64_t g = 0; g < GROUP_COUNT; g++) {
        struct machine *voters[SIM_MACHINES], *newest = NULL;
        int64_t n = 0, need = 0, best = 0;
        for (int64_t i = 0; i < sim->n; i++) {
            struct machine *m = sim->machines[i];
            if (m->kind == M_KEEPER && m->up &&
                (!newest || m->core.keeper.logs[g].members_index > newest->core.keeper.logs[g].members_index))
                newest = m;
        }
        if (!newest)
            return 0;
        need = log_majority(&newest->core.keeper.logs[g]);
        for (int64_t i = 0; i < sim->n; i++) {
            struct machine *m = sim->machines[i];
            if (m->kind == M_KEEPER && m->up && !m->frozen && !sick_disk(sim, m) &&
                log_is_voter(&newest->core.keeper.logs[g], m->core.keeper.id))
                voters[n++] = m;
        }
        for (int64_t i = 0; i < n; i++) {
            int64_t seen = 0;
            for (int64_t k = 0; k < n; k++)
                seen += linked(sim, voters[i], voters[k]);
            best = seen > best ? seen : best;
        }
        if (best < need)
            return 0;
    }
    return 1;
}

static int able(const struct sim *sim, const struct machine *m)
{
    if (!m || !m->up || m->frozen)
        return 0;
    for (int64_t i = 0; i < sim->n; i++)
        if (sim->machines[i]->kind != M_EXECUTOR && sim->machines[i]->kind != M_CALLER &&
            !linked(sim, m, sim->machines[i]))
            return 0;
    return 1;
}

static void watch_duties(struct oracle *o, int64_t now_ms)
{
    struct sim *sim = o->sim;
    for (int64_t s = 0; s < SHARD_COUNT; s++) {
        struct machine *m = sim_owner(sim, s);
        if (!able(sim, m) || m->core.node.shards[s].state != SHARD_OPEN || !admission_open(&m->core.node))
            o->owner_bad_ms[s] = now_ms;
    }
    for (int64_t i = 0; i < sim->n; i++) {
        struct machine *e = sim->machines[i];
        if (e->kind != M_EXECUTOR)
            continue;
        if (e->frozen)
            o->frozen_ms[i] = now_ms;
        struct machine *m = sim_home(sim, e->name);
        struct executor_owner *executor_owner = able(sim, m) ? executor_owner_find(&m->core.node, e->name) : NULL;
        if (!executor_owner || !executor_owner->opened || !admission_open(&m->core.node))
            o->home_bad_ms[i] = now_ms;
    }
}

void oracle_watch_calm(struct oracle *o, int64_t now_ms)
{
    struct sim *sim = o->sim;
    uint64_t faults = sim->loss_pct >= 10 ? (uint64_t)now_ms : 1;
    for (int64_t i = 0; i < sim->n; i++) {
        const struct machine *m = sim->machines[i];
        if (m->kind == M_EXECUTOR || m->kind == M_CALLER)
            continue;
        faults = hash_mix(faults, (uint64_t)(m->generation << 3 | m->up << 2 | m->frozen << 1 | sick_disk(sim, m)));
        for (int64_t k = 0; k < sim->n; k++)
            faults = sim->cut[i][k] ? hash_mix(faults, (uint64_t)(i << 8 | k)) : faults;
    }
    if (faults != o->faults || !majority(sim))
        o->disturbed_ms = now_ms;
    o->faults = faults;
    watch_duties(o, now_ms);
}

/* --- known -------------------------------------------------------------------------------- */

static void request(struct oracle *o, int64_t job, int64_t accepted_ms, struct machine *node, int64_t again);

static int dropped(struct oracle *o, int64_t id)
{
    struct machine *leader = sim_leader(o->sim, GROUP_JOBS);
    return leader && !rows_find_job(&leader->core.keeper.shards[job_shard(id)], id);
}

static void told(struct sim *sim, void *arg, int64_t tag, int status, const char *body)
{
    struct oracle *o = sim->oracle;
    struct asked asked = o->asked[tag];
    struct machine *node = asked.node, *owner = sim_owner(sim, job_shard(asked.job));
    int64_t now_ms = sim_ms(sim), from_ms = asked.accepted_ms + KNOWN_MS + 2000;
    (void)arg;
    if (from_ms < o->disturbed_ms + SERVICE_MS)
        from_ms = o->disturbed_ms + SERVICE_MS;
    o->judged += !asked.again;
    if (status == 200) {
        json_t *json = json_loads(body, 0, NULL);
        const char *state = json_string_value(json_object_get(json, "state"));
        if (state)
            oracle_shown(o, asked.job, state);
        json_decref(json);
    } else if (status == 404 && !dropped(o, asked.job)) {
        oracle_breach(o, "%s does not know job %lld, accepted %lld ms ago", node->name, (long long)asked.job,
                      (long long)(now_ms - asked.accepted_ms));
    } else if (status == 404) {
        oracle_breach(o, "job %lld was forgotten, accepted %lld ms ago", (long long)asked.job,
                      (long long)(now_ms - asked.accepted_ms));
    } else if (!node->up || node->frozen || !admission_open(&node->core.node) || (owner && !linked(sim, node, owner))) {
        oracle_excuse(o, EXCUSE_CUT);
    } else if (now_ms <= from_ms) {
        if (!asked.again)
            oracle_excuse(o, EXCUSE_RETURNING);
        request(o, asked.job, asked.accepted_ms, node, 1);
    } else {
        oracle_breach(o, "%s cannot tell of job %lld (%d), accepted %lld ms ago, %lld ms after the last fault",
                      node->name, (long long)asked.job, status, (long long)(now_ms - asked.accepted_ms),
                      (long long)(now_ms - o->disturbed_ms));
    }
}

static void request_now(struct sim *sim, void *arg, int64_t n)
{
    char id[32], path[64] = "/v1/jobs/";
    const struct asked *asked = &sim->oracle->asked[(int64_t)(intptr_t)arg];
    (void)n;
    if (!asked->node->up || asked->node->frozen)
        return;
    job_id_text(asked->job, id);
    strcat(path, id);
    sim_request(sim,
                (struct sim_http_request){
                    .to = asked->node, .method = "GET", .path = path, .answer = told, .tag = (int64_t)(intptr_t)arg});
}

static void request(struct oracle *o, int64_t job, int64_t accepted_ms, struct machine *node, int64_t again)
{
    *array_add(o->asked, o->n_asked) =
        (struct asked){.job = job, .accepted_ms = accepted_ms, .node = node, .again = again};
    sim_at(o->sim, again ? REQUEST_AGAIN_MS : 0, request_now, (void *)(intptr_t)(o->n_asked - 1));
}

/* Every open node after 3 s; a few again later. */
void oracle_watch_known(struct oracle *o, int64_t now_ms)
{
    static const int64_t rounds[] = {KNOWN_MS, 10000, 30000};
    struct sim *sim = o->sim;
    for (int64_t i = 0; i < o->n_accepted && !sim->unasked; i++) {
        struct accepted *a = &o->accepted[i];
        if (a->rounds >= COUNT_OF(rounds) || now_ms - a->at_ms < rounds[a->rounds])
            continue;
        int64_t every = a->rounds++ == 0 ? 1 : 1 + sim->nodes / ROUND_NODES;
        for (int64_t k = 0; k < sim->n; k++) {
            struct machine *m = sim->machines[k];
            if (m->kind == M_NODE && m->up && !m->frozen && admission_open(&m->core.node) && !sim_pick(sim, every))
                request(o, a->job, a->at_ms, m, 0);
        }
    }
}
