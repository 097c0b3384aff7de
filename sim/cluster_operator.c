/* Operators of a simulated cluster: they send configuration changes, also racing and invalid ones. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "controller/codec.h"
#include "sim/cluster.h"

enum { SENDS_MAX = 60, RETRY_PAUSE_MAX_MS = 2000 };

struct op_change *operator_find_change(struct cluster *cluster, int64_t version, const char *body)
{
    for (int64_t i = 0; i < cluster->n_changes; i++)
        if (cluster->changes[i].version == version && (!body || !strcmp(cluster->changes[i].body, body)))
            return &cluster->changes[i];
    return NULL;
}

static int same_change(const struct op_change *a, const struct op_change *b)
{
    return a->version == b->version && a->base == b->base && !strcmp(a->body, b->body);
}

/* A queue that every configuration has. prefix: the name of its path. */
struct route {
    const char *prefix, *service;
    int priority;
};

enum { GUARDED_ROUTES = 3 };
static const struct route routes[] = {
    {"fast", "guarded", 0}, {"mid", "guarded", 1}, {"slow", "guarded", 2}, {"raw", "raw", 1}};

/* The name of a route's queue. It depends on the version: queues of one service move to each other's routes, and one of
 * their names is not used at all in most versions, and later at any of the routes. In version 1 it is that of the path.
 */
static const char *queue_name(int64_t version, int64_t route)
{
    if (version <= 1 || route >= GUARDED_ROUTES)
        return routes[route].prefix;
    uint64_t layout = hash_mix((uint64_t)version, 1);
    int64_t n = (route + (int64_t)(layout % GUARDED_ROUTES)) % GUARDED_ROUTES;
    int64_t unused = (int64_t)(layout / GUARDED_ROUTES % (GUARDED_ROUTES + 1));
    return n == unused ? "other" : routes[n].prefix;
}

static int by_text(const void *a, const void *b) { return strcmp(*(char *const *)a, *(char *const *)b); }

/* Queues are listed in the order of their names, as they are after a patch. */
static char *config_body(int64_t version, int64_t extra_queue, int64_t variant, int invalid)
{
    char *queues[COUNT_OF(routes) + 1];
    size_t n_queues = 0;
    for (int i = 0; i < COUNT_OF(routes); i++)
        queues[n_queues++] =
            must_printf("{\"name\":\"%s\",\"host\":\"jobs.example\",\"prefix\":\"/%s/\",\"service\":\"%s\","
                        "\"priority\":%d,\"attemptsMax\":%d,\"stretchPct\":200,\"targetMs\":1000,\"timeoutMs\":%lld}",
                        queue_name(version, i), routes[i].prefix, routes[i].service, routes[i].priority, ATTEMPTS_MAX,
                        (long long)(invalid == 1 && i == 2 ? 0 : 3000 + variant));
    if (extra_queue)
        queues[n_queues++] = must_printf(
            "{\"name\":\"extra%lld\",\"host\":\"jobs.example\",\"prefix\":\"/extra%lld/\",\"service\":\"%s\","
            "\"priority\":1,\"attemptsMax\":%d,\"stretchPct\":200,\"targetMs\":1000,\"timeoutMs\":3000}",
            (long long)extra_queue, (long long)extra_queue, invalid == 2 ? "nowhere" : "guarded", ATTEMPTS_MAX);
    qsort(queues, n_queues, sizeof *queues, by_text);
    struct bytes to = {0};
    bytes_printf(&to, "{\"version\":%lld,\"queues\":[", (long long)version);
    for (size_t i = 0; i < n_queues; i++) {
        bytes_printf(&to, "%s%s", i ? "," : "", queues[i]);
        free(queues[i]);
    }
    bytes_printf(&to,
                 "],\"services\":[{\"name\":\"guarded\",\"healthPath\":\"/h\",\"guards\":true},"
                 "{\"name\":\"raw\",\"healthPath\":\"/h\",\"guards\":false}]%s",
                 invalid == 3 ? "" : "}");
    return (char *)to.at;
}

/* The change of this version; NULL: none, or several with different bodies. */
static const struct op_change *unambiguous_change(struct cluster *cluster, int64_t version)
{
    const struct op_change *only = NULL;
    for (int64_t i = 0; i < cluster->n_changes; i++) {
        if (cluster->changes[i].version != version || (only && !strcmp(only->body, cluster->changes[i].body)))
            continue;
        if (only)
            return NULL;
        only = &cluster->changes[i];
    }
    return only;
}

/* The names of the queues of version base that version to has no longer. */
static json_t *removed_names(int64_t to, const struct op_change *base)
{
    json_t *names = json_array();
    for (int64_t i = 0; i < GUARDED_ROUTES; i++) {
        const char *name = queue_name(base->version, i);
        int is_kept = 0;
        for (int64_t k = 0; k < GUARDED_ROUTES; k++)
            is_kept |= !strcmp(name, queue_name(to, k));
        if (!is_kept)
            json_array_append_new(names, json_string(name));
    }
    if (base->extra_queue) {
        char *name = must_printf("extra%lld", (long long)base->extra_queue);
        json_array_append_new(names, json_string(name));
        free(name);
    }
    return names;
}

/* The patch that turns version base into body; NULL: the content of base is not certain, or was invalid. */
static char *config_patch(struct cluster *cluster, int64_t base, const char *body)
{
    const struct op_change *base_change = unambiguous_change(cluster, base);
    json_t *to = json_loads(body, 0, NULL);
    if (!base_change || !base_change->valid || !to) {
        json_decref(to);
        return NULL;
    }
    json_object_del(to, "services");
    int64_t version = json_integer_value(json_object_get(to, "version"));
    json_object_set_new(to, "removed", removed_names(version, base_change));
    char *patch = json_dumps(to, JSON_COMPACT);
    json_decref(to);
    return patch;
}

static void send_change(struct cluster *cluster, void *arg, int64_t n);

/* --- checks of responses --------------------------------------------------------------- */

static void on_acknowledged(struct cluster *cluster, struct op_change *change)
{
    if (change->acked_us)
        return;
    change->acked_us = cluster->now_us;
    cluster_trace(cluster, 0, "configuration %lld on %lld is acknowledged", (long long)change->version,
                  (long long)change->base);
    cluster->n_checks++;
    if (!change->valid)
        cluster_violation(cluster, 0, "CONFIG: invalid configuration %lld is acknowledged", (long long)change->version);
    for (int64_t i = 0; i < cluster->n_changes; i++) {
        const struct op_change *other = &cluster->changes[i];
        if (!other->acked_us || same_change(other, change))
            continue;
        if (other->base == change->base)
            cluster_violation(cluster, 0, "CONFIG: versions %lld and %lld on %lld are both acknowledged",
                              (long long)other->version, (long long)change->version, (long long)change->base);
        else if (other->version == change->version)
            cluster_violation(cluster, 0, "CONFIG: two changes to version %lld are both acknowledged",
                              (long long)change->version);
    }
    if (change->version > cluster->acked_version) {
        cluster->acked_version = change->version;
        cluster->acked_us = cluster->now_us;
    }
}

/* An acknowledged change that is sent again must not be refused. */
static void on_refused(struct cluster *cluster, struct op_change *change, const struct config_call *call, int status)
{
    change->refusals++;
    cluster_trace(cluster, 0, "configuration %lld is refused with %d", (long long)change->version, status);
    for (int64_t i = 0; i < cluster->n_changes; i++)
        if (cluster->changes[i].acked_us && cluster->changes[i].acked_us < call->began_us &&
            same_change(&cluster->changes[i], change))
            cluster_violation(cluster, 0, "CONFIG: version %lld was acknowledged, is sent again and refused with %d",
                              (long long)change->version, status);
}

/* --- sending ----------------------------------------------------------------------------- */

int64_t operator_new_call(struct cluster *cluster, int64_t change)
{
    struct config_call *call = array_add(cluster->config_calls, cluster->n_config_calls);
    *call = (struct config_call){.change = change, .began_us = cluster->now_us};
    return cluster->n_config_calls - 1;
}

static int is_refusal(int status)
{
    return status == 409 || status == 400 || status == 412 || status == 413 || status == 422;
}

static void on_change_response(struct cluster *cluster, void *arg, int64_t tag, int status, const char *body)
{
    struct op_change *change = &cluster->changes[(int64_t)(intptr_t)arg];
    struct config_call *call = &cluster->config_calls[tag];
    cluster_oracle_check_response(cluster, 0, status, body, NULL);
    if (cluster->lost_responses_pct && cluster_pick(cluster, 100) < cluster->lost_responses_pct)
        status = 0;
    call->ended_us = status ? cluster->now_us : 0;
    change->finished = status == 200 || is_refusal(status) || change->n_sends >= SENDS_MAX;
    if (status == 200) {
        call->outcome = CONFIG_TAKEN;
        on_acknowledged(cluster, change);
    } else if (is_refusal(status)) {
        call->outcome = CONFIG_REFUSED;
        on_refused(cluster, change, call, status);
        if (change->version == 1 && change->valid)
            cluster_schedule(cluster, 500, send_change, arg, 0);
    } else if (!change->finished) {
        int64_t pause_ms = 150 * change->n_sends < RETRY_PAUSE_MAX_MS ? 150 * change->n_sends : RETRY_PAUSE_MAX_MS;
        cluster_schedule(cluster, pause_ms + cluster_pick(cluster, 200), send_change, arg, 0);
    }
}

static void send_change(struct cluster *cluster, void *arg, int64_t n)
{
    struct op_change *change = &cluster->changes[(int64_t)(intptr_t)arg];
    char *header = must_printf("Base: %lld\n", (long long)change->base);
    struct host *to = cluster->operators_target ? cluster->operators_target : cluster_any_controller(cluster);
    (void)n;
    change->n_sends++;
    cluster_request(cluster, &(struct cluster_http_request){.to = to,
                                                            .entry = ENTRY_OPERATORS,
                                                            .method = change->patch ? "PATCH" : "PUT",
                                                            .path = "/config",
                                                            .header = header,
                                                            .body = change->patch ? change->patch : change->body,
                                                            .wait_ms = 1000,
                                                            .on_response = on_change_response,
                                                            .arg = arg,
                                                            .tag = operator_new_call(cluster, (int64_t)(intptr_t)arg)});
    free(header);
}

/* Takes ownership of the body. Valid changes with an odd version are sent as a patch, where one can be made. */
static void send_new_change(struct cluster *cluster, struct op_change change)
{
    if (change.valid && change.version % 2 && change.base)
        change.patch = config_patch(cluster, change.base, change.body);
    change.base_in_force = change.base <= cluster->acked_version || change.base <= cluster->read_version;
    cluster_trace(cluster, 0, "configuration %lld on %lld is sent%s", (long long)change.version, (long long)change.base,
                  change.valid ? "" : ", invalid");
    *array_add(cluster->changes, cluster->n_changes) = change;
    send_change(cluster, (void *)(intptr_t)(cluster->n_changes - 1), 0);
}

static void new_change(struct cluster *cluster, int64_t version, int64_t base, int64_t extra_queue, int invalid)
{
    send_new_change(cluster,
                    (struct op_change){.version = version,
                                       .base = base,
                                       .extra_queue = extra_queue,
                                       .valid = !invalid,
                                       .body = config_body(version, extra_queue, cluster->n_changes + 1, invalid)});
}

int64_t operator_send(struct cluster *cluster, int64_t version, int64_t base)
{
    new_change(cluster, version, base, 0, 0);
    return cluster->n_changes - 1;
}

void operator_first_config(struct cluster *cluster)
{
    new_change(cluster, 1, 0, 0, 0);
    for (int i = 0; i < 100 && !cluster->acked_version; i++)
        cluster_run(cluster, 200);
    if (!cluster->acked_version)
        cluster_violation(cluster, 0, "LIVENESS: the first configuration is not acknowledged within 20 s");
}

static int64_t next_version(struct cluster *cluster)
{
    int64_t next = 1;
    for (int64_t i = 0; i < cluster->n_changes; i++)
        if (cluster->changes[i].version >= next)
            next = cluster->changes[i].version + 1 + cluster_pick(cluster, 3);
    return next;
}

void operator_change(struct cluster *cluster, int race, int invalid)
{
    int64_t base = cluster->acked_version, next = next_version(cluster);
    new_change(cluster, next, base, next, invalid);
    if (race)
        new_change(cluster, next + 1, base, 0, 0);
}

int64_t operator_n_pending(const struct cluster *cluster)
{
    int64_t n = 0;
    for (int64_t i = 0; i < cluster->n_changes; i++)
        n += !cluster->changes[i].finished;
    return n;
}

void operator_resend(struct cluster *cluster, int64_t n)
{
    if (!cluster->changes[n].acked_us || !cluster->changes[n].finished)
        return;
    cluster->changes[n].finished = cluster->changes[n].n_sends = cluster->changes[n].refusals = 0;
    send_change(cluster, (void *)(intptr_t)n, 0);
}

void operator_send_many(struct cluster *cluster, int64_t count)
{
    int64_t base = cluster->acked_version;
    while (count-- > 0) {
        int64_t next = next_version(cluster), kind = cluster_pick(cluster, 6);
        if (kind == 0) {
            operator_resend(cluster, cluster_pick(cluster, cluster->n_changes));
            continue;
        }
        new_change(cluster, next, base, kind == 1 ? next : 0, 0);
        const struct op_change *first = &cluster->changes[cluster->n_changes - 1];
        if (kind == 2 && count-- > 0) /* another body with the same version */
            new_change(cluster, next, base, 0, 0);
        else if (kind == 3 && count-- > 0) /* the same change by another operator */
            send_new_change(cluster, (struct op_change){.version = next,
                                                        .base = base,
                                                        .extra_queue = first->extra_queue,
                                                        .valid = 1,
                                                        .body = must_dup(first->body)});
        else if (kind == 4) /* the next change is based on this one, whatever its result */
            base = next;
    }
}

void operator_free(struct cluster *cluster)
{
    for (int64_t i = 0; i < cluster->n_changes; i++)
        free(cluster->changes[i].body), free(cluster->changes[i].patch);
    free(cluster->changes);
    for (int64_t i = 0; i < cluster->n_config_calls; i++)
        free(cluster->config_calls[i].body);
    free(cluster->config_calls);
}
