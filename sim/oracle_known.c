/* Checks throughout a run that every node that admits requests knows each accepted
 * job, and detects when faults begin and end. */
#include "sim/oracle.h"

#include <stdlib.h>
#include <string.h>

enum { QUERY_RETRY_MS = 500, LATER_QUERY_NODES = 3 };

void oracle_accepted(struct oracle *oracle, int64_t job)
{
    PWord_t at = job ? (PWord_t)JudyLIns(&oracle->accepted_index, (Word_t)job, NULL) : NULL;
    if (!at || *at)
        return;
    *array_add(oracle->accepted_jobs, oracle->n_accepted_jobs) =
        (struct accepted_job){.job = job, .at_ms = sim_ms(oracle->sim)};
    *at = (Word_t)oracle->n_accepted_jobs;
}

int64_t oracle_last_fault_ms(const struct oracle *oracle) { return oracle->last_fault_ms; }
void oracle_report_violation(struct oracle *oracle, const char *what) { oracle_violation(oracle, "%s", what); }

/* --- faults ----------------------------------------------------------------------------- */

static int disk_faulty(const struct sim *sim, const struct machine *machine)
{
    return machine->disk.failing || machine->disk.full || machine->disk.stall_until_us > sim->now_us ||
           machine->disk.sync_us > 100000;
}

static int connected(const struct sim *sim, const struct machine *a, const struct machine *b)
{
    return !sim->cut[a->index][b->index] && !sim->cut[b->index][a->index];
}

/* Whether each log has a majority of voters that are healthy and connected. Without
 * one, service is impossible: SERVICE_RESTORE_MS counts from the last such moment. */
static int majority_connected(struct sim *sim)
{
    for (int64_t g = 0; g < GROUP_COUNT; g++) {
        struct machine *voters[SIM_MACHINES], *newest = NULL;
        int64_t n = 0, majority = 0, max_connected = 0;
        for (int64_t i = 0; i < sim->n; i++) {
            struct machine *machine = sim->machines[i];
            if (machine->kind == M_KEEPER && machine->up &&
                (!newest || machine->core.keeper.logs[g].members_index > newest->core.keeper.logs[g].members_index))
                newest = machine;
        }
        if (!newest)
            return 0;
        majority = log_majority(&newest->core.keeper.logs[g]);
        for (int64_t i = 0; i < sim->n; i++) {
            struct machine *machine = sim->machines[i];
            if (machine->kind == M_KEEPER && machine->up && !machine->frozen && !disk_faulty(sim, machine) &&
                log_is_voter(&newest->core.keeper.logs[g], machine->core.keeper.id))
                voters[n++] = machine;
        }
        for (int64_t i = 0; i < n; i++) {
            int64_t n_connected = 0;
            for (int64_t k = 0; k < n; k++)
                n_connected += connected(sim, voters[i], voters[k]);
            max_connected = n_connected > max_connected ? n_connected : max_connected;
        }
        if (max_connected < majority)
            return 0;
    }
    return 1;
}

static int can_act(const struct sim *sim, const struct machine *machine)
{
    if (!machine || !machine->up || machine->frozen)
        return 0;
    for (int64_t i = 0; i < sim->n; i++)
        if (sim->machines[i]->kind != M_EXECUTOR && sim->machines[i]->kind != M_CALLER &&
            !connected(sim, machine, sim->machines[i]))
            return 0;
    return 1;
}

static void watch_owners(struct oracle *oracle, int64_t now_ms)
{
    struct sim *sim = oracle->sim;
    for (int64_t s = 0; s < SHARD_COUNT; s++) {
        struct machine *machine = sim_shard_owner(sim, s);
        if (!can_act(sim, machine) || machine->core.node.shards[s].state != SHARD_OPEN ||
            !admission_open(&machine->core.node))
            oracle->shard_unavailable_ms[s] = now_ms;
    }
    for (int64_t i = 0; i < sim->n; i++) {
        struct machine *executor = sim->machines[i];
        if (executor->kind != M_EXECUTOR)
            continue;
        if (executor->frozen)
            oracle->executor_frozen_ms[i] = now_ms;
        struct machine *machine = sim_executor_owner(sim, executor->name);
        struct executor_owner *executor_owner =
            can_act(sim, machine) ? executor_owner_find(&machine->core.node, executor->name) : NULL;
        if (!executor_owner || !executor_owner->opened || !admission_open(&machine->core.node))
            oracle->owner_unavailable_ms[i] = now_ms;
    }
}

void oracle_watch_faults(struct oracle *oracle, int64_t now_ms)
{
    struct sim *sim = oracle->sim;
    uint64_t fault_hash = sim->loss_pct >= 10 ? (uint64_t)now_ms : 1;
    for (int64_t i = 0; i < sim->n; i++) {
        const struct machine *machine = sim->machines[i];
        if (machine->kind == M_EXECUTOR || machine->kind == M_CALLER)
            continue;
        fault_hash = hash_mix(fault_hash, (uint64_t)(machine->generation << 3 | machine->up << 2 |
                                                     machine->frozen << 1 | disk_faulty(sim, machine)));
        for (int64_t k = 0; k < sim->n; k++)
            fault_hash = sim->cut[i][k] ? hash_mix(fault_hash, (uint64_t)(i << 8 | k)) : fault_hash;
    }
    if (fault_hash != oracle->fault_hash || !majority_connected(sim))
        oracle->last_fault_ms = now_ms;
    oracle->fault_hash = fault_hash;
    watch_owners(oracle, now_ms);
}

/* --- accepted jobs ------------------------------------------------------------------------ */

static void schedule_query(struct oracle *oracle, int64_t job, int64_t accepted_ms, struct machine *node,
                           int64_t is_repeat);

static int missing_at_leader(struct oracle *oracle, int64_t id)
{
    struct machine *leader = sim_leader(oracle->sim, GROUP_JOBS);
    return leader && !rows_find_job(&leader->core.keeper.shards[job_shard(id)], id);
}

static void on_answer(struct sim *sim, void *arg, int64_t tag, int status, const char *body)
{
    struct oracle *oracle = sim->oracle;
    struct job_query query = oracle->job_queries[tag];
    struct machine *node = query.node, *owner = sim_shard_owner(sim, job_shard(query.job));
    int64_t now_ms = sim_ms(sim), from_ms = query.accepted_ms + JOB_KNOWN_MS + 2000;
    (void)arg;
    if (from_ms < oracle->last_fault_ms + SERVICE_RESTORE_MS)
        from_ms = oracle->last_fault_ms + SERVICE_RESTORE_MS;
    oracle->n_checks += !query.is_repeat;
    if (status == 200) {
        json_t *json = json_loads(body, 0, NULL);
        const char *state = json_string_value(json_object_get(json, "state"));
        if (state)
            oracle_job_state_seen(oracle, query.job, state);
        json_decref(json);
    } else if (status == 404 && !missing_at_leader(oracle, query.job)) {
        oracle_violation(oracle, "%s does not know job %lld, accepted %lld ms ago", node->name, (long long)query.job,
                         (long long)(now_ms - query.accepted_ms));
    } else if (status == 404) {
        oracle_violation(oracle, "job %lld was forgotten, accepted %lld ms ago", (long long)query.job,
                         (long long)(now_ms - query.accepted_ms));
    } else if (!node->up || node->frozen || !admission_open(&node->core.node) ||
               (owner && !connected(sim, node, owner))) {
        oracle_excuse(oracle, EXCUSE_CUT);
    } else if (now_ms <= from_ms) {
        if (!query.is_repeat)
            oracle_excuse(oracle, EXCUSE_RETURNING);
        schedule_query(oracle, query.job, query.accepted_ms, node, 1);
    } else {
        oracle_violation(oracle, "%s cannot tell of job %lld (%d), accepted %lld ms ago, %lld ms after the last fault",
                         node->name, (long long)query.job, status, (long long)(now_ms - query.accepted_ms),
                         (long long)(now_ms - oracle->last_fault_ms));
    }
}

static void send_query(struct sim *sim, void *arg, int64_t n)
{
    char id[32], path[64] = "/v1/jobs/";
    const struct job_query *query = &sim->oracle->job_queries[(int64_t)(intptr_t)arg];
    (void)n;
    if (!query->node->up || query->node->frozen)
        return;
    job_id_text(query->job, id);
    strcat(path, id);
    sim_request(
        sim, (struct sim_http_request){
                 .to = query->node, .method = "GET", .path = path, .answer = on_answer, .tag = (int64_t)(intptr_t)arg});
}

static void schedule_query(struct oracle *oracle, int64_t job, int64_t accepted_ms, struct machine *node,
                           int64_t is_repeat)
{
    *array_add(oracle->job_queries, oracle->n_job_queries) =
        (struct job_query){.job = job, .accepted_ms = accepted_ms, .node = node, .is_repeat = is_repeat};
    sim_at(oracle->sim, is_repeat ? QUERY_RETRY_MS : 0, send_query, (void *)(intptr_t)(oracle->n_job_queries - 1));
}

/* Queries all open nodes 3 s after a job was accepted, and a random few of them in later rounds. */
void oracle_query_jobs(struct oracle *oracle, int64_t now_ms)
{
    static const int64_t rounds[] = {JOB_KNOWN_MS, 10000, 30000};
    struct sim *sim = oracle->sim;
    for (int64_t i = 0; i < oracle->n_accepted_jobs && !sim->no_oracle_requests; i++) {
        struct accepted_job *accepted = &oracle->accepted_jobs[i];
        if (accepted->query_rounds >= COUNT_OF(rounds) || now_ms - accepted->at_ms < rounds[accepted->query_rounds])
            continue;
        int64_t every = accepted->query_rounds++ == 0 ? 1 : 1 + sim->nodes / LATER_QUERY_NODES;
        for (int64_t k = 0; k < sim->n; k++) {
            struct machine *machine = sim->machines[k];
            if (machine->kind == M_NODE && machine->up && !machine->frozen && admission_open(&machine->core.node) &&
                !sim_pick(sim, every))
                schedule_query(oracle, accepted->job, accepted->at_ms, machine, 0);
        }
    }
}
