/* The read-only API of a node: its view of the cluster, its state, its counters, and why a task waits. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "node/node.h"

static json_t *addr_json(int64_t addr) { return json_string(addr ? addr_text((uint64_t)addr) : ""); }

static json_t *settings_view(struct node *node)
{
    return json_pack("{s:I,s:o}", "version", (json_int_t)node->config_tree.version, "settings",
                     config_tree_to_json(&node->config_tree));
}

static json_t *members_view(struct node *node)
{
    static const char *const states[] = {"alive", "leaving", "suspect", "dead"};
    json_t *list = json_array();
    for (int64_t i = -1; i < node->peers.n; i++) {
        const struct peer_info *info = i < 0 ? &node->peers.self : &node->peers.all[i].info;
        json_array_append_new(list,
                              json_pack("{s:o,s:o,s:s,s:s,s:s,s:I,s:I}", "addr", addr_json(info->addr), "http",
                                        addr_json(info->http), "role", info->role == ROLE_KEEPER ? "keeper" : "node",
                                        "zone", info->zone ? info->zone : "", "state",
                                        info->state == PEER_ALIVE && info->leaving ? "leaving" : states[info->state],
                                        "boot", (json_int_t)info->boot, "incarnation", (json_int_t)info->incarnation));
    }
    return json_pack("{s:o}", "members", list);
}

static json_t *ownerships_view(struct node *node)
{
    json_t *list = json_array();
    for (int64_t i = 0; i < node->config_tree.n_ownerships; i++) {
        const struct ownership *ownership = &node->config_tree.ownerships[i];
        json_array_append_new(list, json_pack("{s:s,s:o,s:I}", "duty", ownership->name, "owner",
                                              addr_json(ownership->owner), "epoch", (json_int_t)ownership->epoch));
    }
    return json_pack("{s:o}", "duties", list);
}

static json_t *executors_view(struct node *node)
{
    static const char *const states[] = {"open", "silent", "leaving", "quarantine", "probation", "closed"};
    json_t *list = json_array();
    for (int64_t i = 0; i < node->n_executor_summaries; i++) {
        const struct executor_summary *summary = &node->executor_summaries[i];
        const struct planned *drain = config_tree_drain(&node->config_tree, summary->executor, node_fleet_ms(node), 0);
        json_t *item = json_pack("{s:s,s:s,s:s,s:s,s:o,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "executor", summary->executor,
                                 "kind", summary->kind, "rack", summary->rack, "state", states[summary->state], "home",
                                 addr_json(summary->executor_owner), "epoch", (json_int_t)summary->epoch, "incarnation",
                                 (json_int_t)summary->incarnation, "cores", (json_int_t)summary->cores, "freeCores",
                                 (json_int_t)summary->free_cores, "slowPct", (json_int_t)summary->slow_pct, "memMb",
                                 (json_int_t)summary->mem_mb, "freeMb", (json_int_t)summary->free_mb);
        if (drain)
            json_object_set_new(item, "drainedBy", json_string(drain->id));
        json_array_append_new(list, item);
    }
    return json_pack("{s:o}", "executors", list);
}

static json_t *status_view(struct node *node)
{
    json_t *shards = json_array();
    for (int64_t i = 0; i < SHARD_COUNT; i++) {
        const struct shard *shard = &node->shards[i];
        if (shard->state == SHARD_NONE)
            continue;
        json_array_append_new(shards, json_pack("{s:I,s:I,s:b,s:I,s:I,s:I,s:b,s:I}", "shard", (json_int_t)shard->no,
                                                "epoch", (json_int_t)shard->epoch, "open", shard->state == SHARD_OPEN,
                                                "jobs", (json_int_t)shard->rows.n_jobs, "live",
                                                (json_int_t)shard->rows.n_live, "buffered", (json_int_t)shard->n_buffer,
                                                "breakerOpen", world_ms(node->w) < shard->breaker.open_until_ms,
                                                "checkpointMs", (json_int_t)shard->checkpoint_ms));
    }
    json_t *voters = json_array();
    for (int64_t i = 0; i + 1 < node->n_voters; i += 2)
        json_array_append_new(voters, json_pack("{s:o,s:I}", "addr", addr_json(node->voters[i]), "logs",
                                                (json_int_t)node->voters[i + 1]));
    json_t *executor_owners = json_array();
    for (int64_t i = 0; i < node->n_executor_owners; i++)
        json_array_append_new(executor_owners, json_string(node->executor_owners[i]->name));
    return json_pack("{s:s,s:o,s:b,s:b,s:I,s:I,s:o,s:I,s:I,s:I,s:o,s:o,s:o}", "role", "node", "addr",
                     addr_json((int64_t)node->w->self), "gate", admission_open(node), "leaving", (int)node->leaving,
                     "feed", (json_int_t)node->applied_index, "version", (json_int_t)node->config_tree.version,
                     "leader", addr_json(node->leaders[GROUP_CONTROL]), "fleetMs", (json_int_t)node_fleet_ms(node),
                     "picks", (json_int_t)node->picks, "framesDropped", (json_int_t)node->frames_dropped, "shards",
                     shards, "homes", executor_owners, "voters", voters);
}

static json_t *calendar_view(struct node *node)
{
    static const char *const states[] = {"waits", "done", "denied"};
    json_t *list = json_array();
    for (int64_t i = 0; i < node->config_tree.n_calendar; i++) {
        json_t *item = schema_to_json(&planned_schema, &node->config_tree.calendar[i]);
        json_object_set_new(item, "state", json_string(states[node->config_tree.calendar[i].state % 3]));
        json_array_append_new(list, item);
    }
    return json_pack("{s:I,s:o}", "version", (json_int_t)node->config_tree.version, "calendar", list);
}

static void respond_effective(struct node *node, int64_t request, const char *path)
{
    char *name = api_query_param(path, "path");
    if (!config_tree_path_ok(name))
        api_error(node, request, ERROR_BAD_FIELD, "?path= must be like root/service/queue");
    else
        api_json(node, request, 200,
                 json_pack("{s:I,s:s,s:o}", "version", (json_int_t)node->config_tree.version, "path", name, "settings",
                           config_tree_explain(&node->config_tree, name)));
    free(name);
}

/* Counters only grow while the process runs; gauges are current values. */
static json_t *counters_view(struct node *node)
{
    int64_t commits = 0, scanned = 0, trips = 0, live = 0, jobs = 0, buffered = 0, accounts = 0, silent = 0;
    for (int64_t i = 0; i < SHARD_COUNT; i++) {
        const struct shard *shard = &node->shards[i];
        commits += shard->commits;
        scanned += shard->scanned;
        trips += shard->breaker.trips;
        if (shard->state != SHARD_OPEN)
            continue;
        live += shard->rows.n_live;
        jobs += shard->rows.n_jobs;
        buffered += shard->n_buffer;
    }
    for (int64_t i = 0; i < node->n_executor_owners; i++) {
        accounts += node->executor_owners[i]->n_rows;
        silent += node->executor_owners[i]->silent != 0;
    }
    json_t *counters =
        json_pack("{s:I,s:I,s:I,s:I,s:I,s:I}", "commits", (json_int_t)commits, "scanned", (json_int_t)scanned,
                  "breakerTrips", (json_int_t)trips, "picks", (json_int_t)node->picks, "pickSteps",
                  (json_int_t)node->pick_steps, "framesDropped", (json_int_t)node->frames_dropped);
    json_t *gauges =
        json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "jobs", (json_int_t)jobs, "liveTasks", (json_int_t)live,
                  "buffered", (json_int_t)buffered, "requests", (json_int_t)node->requests.used, "proposals",
                  (json_int_t)node->proposals.used, "stagings", (json_int_t)node->stagings.used, "accountRows",
                  (json_int_t)accounts, "silentExecutors", (json_int_t)silent);
    return json_pack("{s:o,s:o}", "counters", counters, "gauges", gauges);
}

static json_t *health_view(struct node *node)
{
    return json_pack("{s:b,s:I}", "alive", 1, "upMs", (json_int_t)(world_ms(node->w) - node->started_ms));
}

/* Ready: admission is open, the node is not leaving, and all shards that it owns are open. */
static void respond_ready(struct node *node, int64_t request)
{
    int64_t opening = 0;
    for (int64_t i = 0; i < SHARD_COUNT; i++)
        opening += node->shards[i].state == SHARD_OPENING;
    if (!admission_open(node))
        api_error(node, request, ERROR_UNAVAILABLE, "this node cannot confirm its state with the keepers");
    else if (node->leaving || opening)
        api_error(node, request, ERROR_NO_OWNER, node->leaving ? "leaving" : "shards are being opened");
    else
        api_json(node, request, 200, json_pack("{s:b}", "ready", 1));
}

static void respond_journal(struct node *node, int64_t request, const char *path)
{
    char *job = api_query_param(path, "job"), *from = api_query_param(path, "from");
    int64_t id = job ? job_id_parse(job) : 0;
    if (job && !id)
        api_error(node, request, ERROR_NOT_FOUND, "a job is named SHARD.NUMBER");
    else
        api_json(node, request, 200,
                 json_pack("{s:s,s:I,s:o}", "node", addr_text(node->w->self), "next", (json_int_t)node->journal.next,
                           "events", journal_view(&node->journal, id, from ? text_to_int64(from) : 0)));
    free(job);
    free(from);
}

int api_views(struct node *node, int64_t request, const char *method, const char *path)
{
    static const struct {
        const char *path;
        json_t *(*view)(struct node *node);
    } views[] = {{"/v1/settings", settings_view},   {"/v1/members", members_view}, {"/v1/duties", ownerships_view},
                 {"/v1/executors", executors_view}, {"/v1/status", status_view},   {"/v1/calendar", calendar_view},
                 {"/v1/counters", counters_view},   {"/v1/health", health_view}};
    size_t len = strcspn(path, "?");
    if (strcmp(method, "GET"))
        return 0;
    if (!strncmp(path, "/v1/settings/effective", 22)) {
        respond_effective(node, request, path);
        return 1;
    }
    if (len == 9 && !strncmp(path, "/v1/ready", len)) {
        respond_ready(node, request);
        return 1;
    }
    if (len == 11 && !strncmp(path, "/v1/journal", len)) {
        respond_journal(node, request, path);
        return 1;
    }
    for (int i = 0; i < COUNT_OF(views); i++)
        if (strlen(views[i].path) == len && !strncmp(views[i].path, path, len)) {
            api_json(node, request, 200, views[i].view(node));
            return 1;
        }
    return 0;
}

/* Explains why a task waits, or where it was placed and when. */
json_t *why_view(struct node *node, struct shard *shard, const struct job *job, int64_t no)
{
    const struct row *row = &job->rows[no];
    int64_t step = 0, now_ms = node_fleet_ms(node);
    spec_task(&job->spec, no, &step);
    json_t *out = json_pack("{s:I,s:s,s:s,s:I}", "no", (json_int_t)no, "step", job->spec.steps[step].name, "state",
                            row_state_name(row->state), "attempt", (json_int_t)row->attempt);
    json_t *reasons = json_array();
    char text[300];
    if (row->state == ROW_BLOCKED)
        json_array_append_new(reasons, json_string("a step that it depends on is not done"));
    if (row->state == ROW_READY && row->due_ms > now_ms) {
        snprintf(text, sizeof text, "due in %lld ms", (long long)(row->due_ms - now_ms));
        json_array_append_new(reasons, json_string(text));
    }
    if (row->state == ROW_READY && shard->breaker.open_until_ms > world_ms(node->w))
        json_array_append_new(reasons, json_string("the circuit breaker of its shard is open"));
    if (row->state == ROW_READY && row->staged)
        json_array_append_new(reasons, json_string("an executor is being reserved for it"));
    for (int64_t i = 0; row->state == ROW_READY && i < node->n_executor_summaries; i++) {
        const char *denies = assign_rejection(node, job, no, &node->executor_summaries[i]);
        snprintf(text, sizeof text, "%s: %s", node->executor_summaries[i].executor,
                 denies ? denies : "has capacity for it");
        json_array_append_new(reasons, json_string(text));
    }
    if (row->state == ROW_PLACED) {
        snprintf(text, sizeof text, "on %s for %lld ms, lease %lld ms, home epoch %lld", row->executor,
                 (long long)(now_ms - row->placed_ms), (long long)row->lease_ms, (long long)row->executor_epoch);
        json_array_append_new(reasons, json_string(text));
    }
    if (row->meta)
        json_array_append_new(reasons, json_string(row->meta));
    json_object_set_new(out, "because", reasons);
    return out;
}
