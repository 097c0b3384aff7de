/* Service after a heavy failure, judged whole: taken, started and done, for every
 * shard, through every live node, of every kind of work. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim/oracle.h"

enum { PROBES = SHARD_COUNT + 6, AGAIN_MS = 150 };

struct probe {
    int64_t tries, accepted, done, busy, request_ms, due_ms;
    struct machine *through;
    char key[64], id[40], what[24];
};

struct service {
    struct sim *sim;
    struct probe probes[PROBES];
    int64_t n;
    const char *tag;
};

static void body_of(const struct service *s, const struct probe *p, char *body, size_t len)
{
    static const char *const services[] = {"lookup", "stock", "orders", "routes"};
    int other = !strcmp(s->sim->cluster, "dau-suoi-am"), gang = !strcmp(p->what, "gang");
    const char *service = services[other * 2 + gang];
    char start[64] = "", rack[64] = "";
    if (p->due_ms)
        snprintf(start, sizeof start, "\"startAtMs\":%lld,", (long long)p->due_ms);
    if (p->what[0] == 'r')
        snprintf(rack, sizeof rack, "\"rack\":\"%s\",", p->what);
    const char *task = "{\"kind\":\"std\",\"payload\":\"ms=60\"}";
    snprintf(
        body, len,
        "{\"key\":\"%s.%lld\",\"service\":\"%s\",\"queue\":\"probe\",\"priority\":0,%s\"steps\":[{\"name\":\"a\",%s%s"
        "\"tasks\":[%s%s%s]}]}",
        p->key, (long long)p->tries, service, start, rack, gang ? "\"gang\":true,\"rack\":\"one\"," : "", task,
        gang ? "," : "", gang ? task : "");
}

static void answered(struct sim *sim, void *arg, int64_t tag, int status, const char *body)
{
    struct probe *p = &((struct service *)arg)->probes[tag];
    json_t *json = status == 200 || status == 201 ? json_loads(body, 0, NULL) : NULL;
    const char *id = json_string_value(json_object_get(json, "id"));
    const char *state = json_string_value(json_object_get(json, "state"));
    p->busy = 0;
    p->request_ms = sim_ms(sim) + AGAIN_MS;
    if (id) {
        snprintf(p->id, sizeof p->id, "%s", id);
        p->accepted = 1;
    }
    if (state && !strcmp(state, "done"))
        p->done = 1;
    else if (state && (!strcmp(state, "failed") || !strcmp(state, "cancelled")))
        p->tries++, p->accepted = 0; /* its executor went with it: another job */
    json_decref(json);
}

static void speak(struct service *s, int64_t i)
{
    struct probe *p = &s->probes[i];
    char text[700], path[64];
    if (!p->through || !p->through->up || p->through->frozen || !admission_open(&p->through->core.node))
        p->through = sim_node(s->sim); /* as a caller does: another one */
    if (!p->through)
        return;
    p->busy = 1;
    if (p->accepted) {
        snprintf(path, sizeof path, "/v1/jobs/%s", p->id);
        sim_request(s->sim,
                    (struct sim_http_request){
                        .to = p->through, .method = "GET", .path = path, .answer = answered, .arg = s, .tag = i});
        return;
    }
    body_of(s, p, text, sizeof text);
    sim_request(s->sim, (struct sim_http_request){.to = p->through,
                                                  .method = "POST",
                                                  .path = "/v1/jobs",
                                                  .body = text,
                                                  .answer = answered,
                                                  .arg = s,
                                                  .tag = i});
}

static int reachable(const struct sim *sim, const struct machine *e)
{
    return e->kind == M_EXECUTOR && e->up && !e->frozen && !sim_is_cut(sim, e);
}

/* An executor that is well has a home that opened it. */
static const char *homeless(struct sim *sim)
{
    for (int64_t i = 0; i < sim->n; i++) {
        struct machine *e = sim->machines[i];
        if (!reachable(sim, e))
            continue;
        struct machine *m = sim_home(sim, e->name);
        struct executor_owner *executor_owner =
            m && m->up && !m->frozen ? executor_owner_find(&m->core.node, e->name) : NULL;
        if (!executor_owner || !executor_owner->opened)
            return e->name;
    }
    return NULL;
}

/* Nobody can be asked to run work on a rack where no executor is well. */
static int serves(const struct sim *sim, const struct machine *e)
{
    return reachable(sim, e) && !e->core.executor.leave_at_ms && !e->core.executor.fail_pct;
}

static struct probe *add(struct service *s, const char *what, struct machine **nodes, int64_t n_nodes)
{
    struct probe *p = &s->probes[s->n];
    p->through = n_nodes ? nodes[s->n % n_nodes] : NULL;
    snprintf(p->what, sizeof p->what, "%s", what);
    snprintf(p->key, sizeof p->key, "%.20s-%s-%lld-%lld", s->tag, what, (long long)s->n, (long long)s->sim->now_us);
    s->n++;
    return p;
}

int64_t sim_service_back(struct sim *sim, const char *tag, int64_t limit_ms)
{
    struct service *s = must_alloc(sizeof *s);
    struct machine *nodes[SIM_MACHINES];
    int64_t n_nodes = 0, from_ms = sim_ms(sim), left, racks = (sim->executors + 2) / 3;
    const char *bare;
    s->sim = sim;
    s->tag = tag;
    for (int64_t i = 0; i < sim->n; i++)
        if (sim->machines[i]->kind == M_NODE && sim->machines[i]->up && !sim->machines[i]->frozen)
            nodes[n_nodes++] = sim->machines[i];
    for (int64_t i = 0; i < SHARD_COUNT; i++) {
        struct probe *p = add(s, "shard", nodes, n_nodes);
        for (int64_t k = 0; key_shard(p->key) != i || k == 0; k++) /* a key of that shard, tries included */
            snprintf(p->key, sizeof p->key, "%.20s-%lld-%lld-%lld", tag, (long long)i, (long long)sim->now_us,
                     (long long)k);
    }
    add(s, "due", nodes, n_nodes)->due_ms = sim_wall_ms(sim) + 400;
    add(s, "gang", nodes, n_nodes);
    for (int64_t i = 1; i <= racks && s->n < PROBES; i++) {
        char rack[8];
        int well = 0;
        snprintf(rack, sizeof rack, "r%d", (int)(i % 100));
        for (int64_t k = 0; k < sim->n; k++)
            well |= !strcmp(sim->machines[k]->rack, rack) && serves(sim, sim->machines[k]);
        if (well)
            add(s, rack, nodes, n_nodes);
    }
    do {
        left = 0;
        for (int64_t i = 0; i < s->n; i++) {
            struct probe *p = &s->probes[i];
            left += !p->done;
            if (!p->done && !p->busy && sim_ms(sim) >= p->request_ms)
                speak(s, i);
        }
        bare = homeless(sim);
        if (left || bare)
            sim_run(sim, 10);
    } while ((left || bare) && sim_ms(sim) - from_ms < limit_ms);
    int64_t took_ms = sim_ms(sim) - from_ms;
    sim->oracle->judged++;
    if (took_ms > SERVICE_MS) {
        const struct probe *first = NULL;
        for (int64_t i = 0; i < s->n && !first; i++)
            first = s->probes[i].done ? NULL : &s->probes[i];
        oracle_breach(sim->oracle, "service not back after %lld ms (%s): %lld left, %s %s %s%s%s", (long long)took_ms,
                      tag, (long long)left, first ? first->what : "", first ? first->key : "",
                      first && first->accepted ? first->id : "", bare ? " no home: " : "", bare ? bare : "");
    }
    for (int64_t i = 0; i < s->n; i++) /* answers still on their way come back to what is there */
        while (s->probes[i].busy)
            sim_run(sim, 10);
    free(s);
    return took_ms;
}
