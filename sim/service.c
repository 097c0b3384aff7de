/* Checks that service is restored after a failure: probe jobs for every shard and of
 * every kind, sent through all live nodes, are accepted and done. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim/oracle.h"

enum { PROBES = SHARD_COUNT + 6, RETRY_MS = 150 };

/* A probe job. waiting: a request is in progress; request_ms: time of the next one. */
struct probe {
    int64_t n_tries, accepted, done, waiting, request_ms, due_ms;
    struct machine *node;
    char key[64], id[40], what[24];
};

struct service {
    struct sim *sim;
    struct probe probes[PROBES];
    int64_t n;
    const char *tag;
};

static void format_job(const struct service *service, const struct probe *probe, char *body, size_t len)
{
    static const char *const services[] = {"lookup", "stock", "orders", "routes"};
    int other = !strcmp(service->sim->cluster, "dau-suoi-am"), gang = !strcmp(probe->what, "gang");
    const char *service_name = services[other * 2 + gang];
    char start[64] = "", rack[64] = "";
    if (probe->due_ms)
        snprintf(start, sizeof start, "\"startAtMs\":%lld,", (long long)probe->due_ms);
    if (probe->what[0] == 'r')
        snprintf(rack, sizeof rack, "\"rack\":\"%s\",", probe->what);
    const char *task = "{\"kind\":\"std\",\"payload\":\"ms=60\"}";
    snprintf(
        body, len,
        "{\"key\":\"%s.%lld\",\"service\":\"%s\",\"queue\":\"probe\",\"priority\":0,%s\"steps\":[{\"name\":\"a\",%s%s"
        "\"tasks\":[%s%s%s]}]}",
        probe->key, (long long)probe->n_tries, service_name, start, rack, gang ? "\"gang\":true,\"rack\":\"one\"," : "",
        task, gang ? "," : "", gang ? task : "");
}

static void on_answer(struct sim *sim, void *arg, int64_t tag, int status, const char *body)
{
    struct probe *probe = &((struct service *)arg)->probes[tag];
    json_t *json = status == 200 || status == 201 ? json_loads(body, 0, NULL) : NULL;
    const char *id = json_string_value(json_object_get(json, "id"));
    const char *state = json_string_value(json_object_get(json, "state"));
    probe->waiting = 0;
    probe->request_ms = sim_ms(sim) + RETRY_MS;
    if (id) {
        snprintf(probe->id, sizeof probe->id, "%s", id);
        probe->accepted = 1;
    }
    if (state && !strcmp(state, "done"))
        probe->done = 1;
    else if (state && (!strcmp(state, "failed") || !strcmp(state, "cancelled")))
        probe->n_tries++, probe->accepted = 0; /* it ended with its executor: send another job */
    json_decref(json);
}

static void send_request(struct service *service, int64_t i)
{
    struct probe *probe = &service->probes[i];
    char text[700], path[64];
    if (!probe->node || !probe->node->up || probe->node->frozen || !admission_open(&probe->node->core.node))
        probe->node = sim_node(service->sim); /* callers, too, go on to another node */
    if (!probe->node)
        return;
    probe->waiting = 1;
    if (probe->accepted) {
        snprintf(path, sizeof path, "/v1/jobs/%s", probe->id);
        sim_request(
            service->sim,
            (struct sim_http_request){
                .to = probe->node, .method = "GET", .path = path, .answer = on_answer, .arg = service, .tag = i});
        return;
    }
    format_job(service, probe, text, sizeof text);
    sim_request(service->sim, (struct sim_http_request){.to = probe->node,
                                                        .method = "POST",
                                                        .path = "/v1/jobs",
                                                        .body = text,
                                                        .answer = on_answer,
                                                        .arg = service,
                                                        .tag = i});
}

static int reachable(const struct sim *sim, const struct machine *executor)
{
    return executor->kind == M_EXECUTOR && executor->up && !executor->frozen && !sim_is_cut(sim, executor);
}

/* Name of a reachable executor whose owner has not opened it, NULL if there is none. */
static const char *executor_without_owner(struct sim *sim)
{
    for (int64_t i = 0; i < sim->n; i++) {
        struct machine *executor = sim->machines[i];
        if (!reachable(sim, executor))
            continue;
        struct machine *machine = sim_executor_owner(sim, executor->name);
        struct executor_owner *executor_owner = machine && machine->up && !machine->frozen
                                                    ? executor_owner_find(&machine->core.node, executor->name)
                                                    : NULL;
        if (!executor_owner || !executor_owner->opened)
            return executor->name;
    }
    return NULL;
}

/* Whether work can be expected to run there; a rack without such an executor gets no probe. */
static int accepts_work(const struct sim *sim, const struct machine *executor)
{
    return reachable(sim, executor) && !executor->core.executor.leave_at_ms && !executor->core.executor.fail_pct;
}

static struct probe *add_probe(struct service *service, const char *what, struct machine **nodes, int64_t n_nodes)
{
    struct probe *probe = &service->probes[service->n];
    probe->node = n_nodes ? nodes[service->n % n_nodes] : NULL;
    snprintf(probe->what, sizeof probe->what, "%s", what);
    snprintf(probe->key, sizeof probe->key, "%.20s-%s-%lld-%lld", service->tag, what, (long long)service->n,
             (long long)service->sim->now_us);
    service->n++;
    return probe;
}

int64_t sim_wait_for_service(struct sim *sim, const char *tag, int64_t limit_ms)
{
    struct service *service = must_alloc(sizeof *service);
    struct machine *nodes[SIM_MACHINES];
    int64_t n_nodes = 0, start_ms = sim_ms(sim), n_left, racks = (sim->executors + 2) / 3;
    const char *ownerless;
    service->sim = sim;
    service->tag = tag;
    for (int64_t i = 0; i < sim->n; i++)
        if (sim->machines[i]->kind == M_NODE && sim->machines[i]->up && !sim->machines[i]->frozen)
            nodes[n_nodes++] = sim->machines[i];
    for (int64_t i = 0; i < SHARD_COUNT; i++) {
        struct probe *probe = add_probe(service, "shard", nodes, n_nodes);
        for (int64_t k = 0; key_shard(probe->key) != i || k == 0; k++) /* so that probe->key falls into shard i */
            snprintf(probe->key, sizeof probe->key, "%.20s-%lld-%lld-%lld", tag, (long long)i, (long long)sim->now_us,
                     (long long)k);
    }
    add_probe(service, "due", nodes, n_nodes)->due_ms = sim_wall_ms(sim) + 400;
    add_probe(service, "gang", nodes, n_nodes);
    for (int64_t i = 1; i <= racks && service->n < PROBES; i++) {
        char rack[8];
        int any_healthy = 0;
        snprintf(rack, sizeof rack, "r%d", (int)(i % 100));
        for (int64_t k = 0; k < sim->n; k++)
            any_healthy |= !strcmp(sim->machines[k]->rack, rack) && accepts_work(sim, sim->machines[k]);
        if (any_healthy)
            add_probe(service, rack, nodes, n_nodes);
    }
    do {
        n_left = 0;
        for (int64_t i = 0; i < service->n; i++) {
            struct probe *probe = &service->probes[i];
            n_left += !probe->done;
            if (!probe->done && !probe->waiting && sim_ms(sim) >= probe->request_ms)
                send_request(service, i);
        }
        ownerless = executor_without_owner(sim);
        if (n_left || ownerless)
            sim_run(sim, 10);
    } while ((n_left || ownerless) && sim_ms(sim) - start_ms < limit_ms);
    int64_t took_ms = sim_ms(sim) - start_ms;
    sim->oracle->n_checks++;
    if (took_ms > SERVICE_RESTORE_MS) {
        const struct probe *first = NULL;
        for (int64_t i = 0; i < service->n && !first; i++)
            first = service->probes[i].done ? NULL : &service->probes[i];
        oracle_violation(sim->oracle, "service not back after %lld ms (%s): %lld left, %s %s %s%s%s",
                         (long long)took_ms, tag, (long long)n_left, first ? first->what : "", first ? first->key : "",
                         first && first->accepted ? first->id : "", ownerless ? " no home: " : "",
                         ownerless ? ownerless : "");
    }
    for (int64_t i = 0; i < service->n; i++) /* pending answers refer to service */
        while (service->probes[i].waiting)
            sim_run(sim, 10);
    free(service);
    return took_ms;
}
