/* The operator: hands in configuration, also in races and wrong, reads it back,
 * and judges what was acknowledged. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "controller/codec.h"
#include "sim/cluster.h"

enum { SENDS_MOST = 60, PAUSE_MOST_MS = 2000 };

static struct op_change *change_of(struct cluster *c, int64_t version, const char *body)
{
    for (int64_t i = 0; i < c->n_changes; i++)
        if (c->changes[i].version == version && (!body || !strcmp(c->changes[i].body, body)))
            return &c->changes[i];
    return NULL;
}

static int same_order(const struct op_change *a, const struct op_change *b)
{
    return a->version == b->version && a->base == b->base && !strcmp(a->body, b->body);
}

static char *body_of(int64_t version, int64_t extra, int64_t variant, int invalid)
{
    static const char *const names[][3] = {
        {"fast", "guarded", "0"}, {"mid", "guarded", "1"}, {"slow", "guarded", "2"}, {"raw", "raw", "1"}};
    struct bytes to = {0};
    bytes_printf(&to, "{\"version\":%lld,\"queues\":[", (long long)version);
    for (int i = 0; i < COUNT_OF(names); i++)
        bytes_printf(&to,
                     "%s{\"name\":\"%s\",\"host\":\"jobs.example\",\"prefix\":\"/%s/\",\"service\":\"%s\","
                     "\"priority\":%s,\"attemptsMax\":%d,\"stretchPct\":200,\"targetMs\":1000,\"timeoutMs\":%lld}",
                     i ? "," : "", names[i][0], names[i][0], names[i][1], names[i][2], ATTEMPTS_MAX,
                     (long long)(invalid == 1 && i == 2 ? 0 : 3000 + variant));
    if (extra)
        bytes_printf(&to,
                     ",{\"name\":\"extra%lld\",\"host\":\"jobs.example\",\"prefix\":\"/extra%lld/\","
                     "\"service\":\"%s\",\"priority\":1,\"attemptsMax\":%d,\"stretchPct\":200,\"targetMs\":1000,"
                     "\"timeoutMs\":3000}",
                     (long long)extra, (long long)extra, invalid == 2 ? "nowhere" : "guarded", ATTEMPTS_MAX);
    bytes_printf(&to,
                 "],\"services\":[{\"name\":\"guarded\",\"healthPath\":\"/h\",\"guards\":true},"
                 "{\"name\":\"raw\",\"healthPath\":\"/h\",\"guards\":false}]%s",
                 invalid == 3 ? "" : "}");
    return (char *)to.at;
}

/* The one change of this version; NULL: none, or several with other bodies. */
static const struct op_change *only_change_of(struct cluster *c, int64_t version)
{
    const struct op_change *only = NULL;
    for (int64_t i = 0; i < c->n_changes; i++) {
        if (c->changes[i].version != version || (only && !strcmp(only->body, c->changes[i].body)))
            continue;
        if (only)
            return NULL;
        only = &c->changes[i];
    }
    return only;
}

/* The patch that makes body of the version it builds on; NULL: that one is not known for sure, or was invalid. */
static char *patch_of(struct cluster *c, int64_t base, const char *body)
{
    const struct op_change *on = only_change_of(c, base);
    json_t *to = json_loads(body, 0, NULL);
    if (!on || !on->valid || !to) {
        json_decref(to);
        return NULL;
    }
    json_object_del(to, "services");
    if (on->extra) {
        char *name = must_printf("extra%lld", (long long)on->extra);
        json_object_set_new(to, "removed", json_pack("[s]", name));
        free(name);
    }
    char *patch = json_dumps(to, JSON_COMPACT);
    json_decref(to);
    return patch;
}

static void send_change(struct cluster *c, void *arg, int64_t n);

/* --- what the judge makes of an answer ------------------------------------------------- */

static void acked(struct cluster *c, struct op_change *change)
{
    if (change->acked_us)
        return;
    change->acked_us = c->now_us;
    cluster_tell(c, 0, "configuration %lld on %lld is acknowledged", (long long)change->version,
                 (long long)change->base);
    c->judged++;
    if (!change->valid)
        judge_say(c, 0, "CONFIG: invalid configuration %lld is acknowledged", (long long)change->version);
    for (int64_t i = 0; i < c->n_changes; i++) {
        const struct op_change *other = &c->changes[i];
        if (!other->acked_us || same_order(other, change))
            continue;
        if (other->base == change->base)
            judge_say(c, 0, "CONFIG: versions %lld and %lld on %lld are both acknowledged", (long long)other->version,
                      (long long)change->version, (long long)change->base);
        else if (other->version == change->version)
            judge_say(c, 0, "CONFIG: two orders under number %lld are both acknowledged", (long long)change->version);
    }
    if (change->version > c->acked_version) {
        c->acked_version = change->version;
        c->acked_us = c->now_us;
    }
}

/* One that was taken is acknowledged again or left without a clear answer, never refused. */
static void refused(struct cluster *c, struct op_change *change, const struct config_call *call, int status)
{
    change->refusals++;
    cluster_tell(c, 0, "configuration %lld is refused with %d", (long long)change->version, status);
    for (int64_t i = 0; i < c->n_changes; i++)
        if (c->changes[i].acked_us && c->changes[i].acked_us < call->began_us && same_order(&c->changes[i], change))
            judge_say(c, 0, "CONFIG: version %lld was acknowledged, is sent again and refused with %d",
                      (long long)change->version, status);
}

/* --- sending ----------------------------------------------------------------------------- */

static int64_t call_new(struct cluster *c, int64_t change)
{
    struct config_call *call = array_add(c->config_calls, c->n_config_calls);
    *call = (struct config_call){.change = change, .began_us = c->now_us};
    return c->n_config_calls - 1;
}

static int is_refusal(int status)
{
    return status == 409 || status == 400 || status == 412 || status == 413 || status == 422;
}

static void answered(struct cluster *c, void *arg, int64_t tag, int status, const char *body)
{
    struct op_change *change = &c->changes[(int64_t)(intptr_t)arg];
    struct config_call *call = &c->config_calls[tag];
    judge_answer(c, 0, status, body, NULL);
    if (c->answers_lost_pct && cluster_pick(c, 100) < c->answers_lost_pct)
        status = 0;
    call->ended_us = status ? c->now_us : 0;
    change->over = status == 200 || is_refusal(status) || change->sends >= SENDS_MOST;
    if (status == 200) {
        call->outcome = CONFIG_TAKEN;
        acked(c, change);
    } else if (is_refusal(status)) {
        call->outcome = CONFIG_REFUSED;
        refused(c, change, call, status);
        if (change->version == 1 && change->valid)
            cluster_at(c, 500, send_change, arg, 0);
    } else if (!change->over) {
        int64_t pause_ms = 150 * change->sends < PAUSE_MOST_MS ? 150 * change->sends : PAUSE_MOST_MS;
        cluster_at(c, pause_ms + cluster_pick(c, 200), send_change, arg, 0);
    }
}

static void send_change(struct cluster *c, void *arg, int64_t n)
{
    struct op_change *change = &c->changes[(int64_t)(intptr_t)arg];
    char *header = must_printf("Base: %lld\n", (long long)change->base);
    struct host *to = c->operators_use ? c->operators_use : cluster_any_controller(c);
    (void)n;
    change->sends++;
    cluster_request(c, &(struct cluster_http_request){.to = to,
                                                      .entry = ENTRY_OPERATORS,
                                                      .method = change->patch ? "PATCH" : "PUT",
                                                      .path = "/config",
                                                      .header = header,
                                                      .body = change->patch ? change->patch : change->body,
                                                      .wait_ms = 1000,
                                                      .answer = answered,
                                                      .arg = arg,
                                                      .tag = call_new(c, (int64_t)(intptr_t)arg)});
    free(header);
}

/* body is taken over. Every other valid order goes out as a patch, where it can. */
static void begin_order(struct cluster *c, struct op_change order)
{
    if (order.valid && order.version % 2 && order.base)
        order.patch = patch_of(c, order.base, order.body);
    order.settled = order.base <= c->acked_version || order.base <= c->read_version;
    cluster_tell(c, 0, "configuration %lld on %lld is sent%s", (long long)order.version, (long long)order.base,
                 order.valid ? "" : ", invalid");
    *array_add(c->changes, c->n_changes) = order;
    send_change(c, (void *)(intptr_t)(c->n_changes - 1), 0);
}

static void begin_change(struct cluster *c, int64_t version, int64_t base, int64_t extra, int invalid)
{
    begin_order(c, (struct op_change){.version = version,
                                      .base = base,
                                      .extra = extra,
                                      .valid = !invalid,
                                      .body = body_of(version, extra, c->n_changes + 1, invalid)});
}

int64_t operator_order(struct cluster *c, int64_t version, int64_t base)
{
    begin_change(c, version, base, 0, 0);
    return c->n_changes - 1;
}

void operator_first(struct cluster *c)
{
    begin_change(c, 1, 0, 0, 0);
    for (int i = 0; i < 100 && !c->acked_version; i++)
        cluster_run(c, 200);
    if (!c->acked_version)
        judge_say(c, 0, "LIVENESS: the first configuration is not acknowledged within 20 s");
}

static int64_t next_version(struct cluster *c)
{
    int64_t next = 1;
    for (int64_t i = 0; i < c->n_changes; i++)
        if (c->changes[i].version >= next)
            next = c->changes[i].version + 1 + cluster_pick(c, 3);
    return next;
}

/* Changes what is acknowledged by now; with race another change at once on the same version. */
void operator_change(struct cluster *c, int race, int invalid)
{
    int64_t base = c->acked_version, next = next_version(c);
    begin_change(c, next, base, next, invalid);
    if (race)
        begin_change(c, next + 1, base, 0, 0);
}

int64_t operator_open(const struct cluster *c)
{
    int64_t n = 0;
    for (int64_t i = 0; i < c->n_changes; i++)
        n += !c->changes[i].over;
    return n;
}

void operator_again(struct cluster *c, int64_t n)
{
    if (!c->changes[n].acked_us || !c->changes[n].over)
        return;
    c->changes[n].over = c->changes[n].sends = c->changes[n].refusals = 0;
    send_change(c, (void *)(intptr_t)n, 0);
}

void operator_crowd(struct cluster *c, int64_t orders)
{
    int64_t base = c->acked_version;
    while (orders-- > 0) {
        int64_t next = next_version(c), kind = cluster_pick(c, 6);
        if (kind == 0) {
            operator_again(c, cluster_pick(c, c->n_changes));
            continue;
        }
        begin_change(c, next, base, kind == 1 ? next : 0, 0);
        const struct op_change *first = &c->changes[c->n_changes - 1];
        if (kind == 2 && orders-- > 0) /* another body under the same number */
            begin_change(c, next, base, 0, 0);
        else if (kind == 3 && orders-- > 0) /* the same by another operator */
            begin_order(
                c,
                (struct op_change){
                    .version = next, .base = base, .extra = first->extra, .valid = 1, .body = must_dup(first->body)});
        else if (kind == 4) /* the next one builds on this one, whatever becomes of it */
            base = next;
    }
}

/* --- reading back -------------------------------------------------------------------- */

/* Was it sent so, by one operator or by more, and may it be in force? Not if it was refused each time; and not
 * if it was refused at all once its base had been in force, as no base comes back. */
static int may_be_in_force(const struct cluster *c, int64_t version, const char *body)
{
    int64_t sends = 0, refusals = 0;
    for (int64_t i = 0; i < c->n_changes; i++) {
        const struct op_change *change = &c->changes[i];
        if (change->version != version || strcmp(change->body, body))
            continue;
        if (!change->valid || (change->refusals && change->settled))
            return 0;
        sends += change->sends;
        refusals += change->refusals;
    }
    return sends > refusals;
}

/* A reading judges versions that were acknowledged or read before it was sent. */
static void was_read(struct cluster *c, void *arg, int64_t tag, int status, const char *body)
{
    int64_t *got = arg;
    judge_answer(c, 0, status, body, "version");
    if (status != 200)
        return;
    json_t *json = json_loads(body, 0, NULL);
    int64_t version = json_integer_value(json_object_get(json, "version"));
    json_decref(json);
    struct config_call *call = &c->config_calls[tag];
    call->ended_us = c->now_us;
    call->outcome = CONFIG_TAKEN;
    call->version = version;
    call->body = must_dup(body);
    c->judged++;
    if (got)
        *got = version;
    if (version > c->read_version)
        c->read_version = version;
    if (version < call->least)
        judge_say(c, 0, "CONFIG: version %lld is read back, %lld was in force before", (long long)version,
                  (long long)call->least);
    if (!change_of(c, version, body))
        judge_say(c, 0, "CONFIG: version %lld is read back differently than it was sent", (long long)version);
    else if (!may_be_in_force(c, version, body))
        judge_say(c, 0, "CONFIG: version %lld was refused and is in force", (long long)version);
}

static void read_back(struct cluster *c, struct host *from, int64_t wait_ms, int64_t *got)
{
    int64_t call = call_new(c, -1);
    c->config_calls[call].least = c->acked_version > c->read_version ? c->acked_version : c->read_version;
    cluster_request(c, &(struct cluster_http_request){.to = from,
                                                      .entry = ENTRY_OPERATORS,
                                                      .method = "GET",
                                                      .path = "/config",
                                                      .wait_ms = wait_ms,
                                                      .answer = was_read,
                                                      .arg = got,
                                                      .tag = call});
}

void operator_read(struct cluster *c) { operator_read_from(c, cluster_any_controller(c)); }
void operator_read_from(struct cluster *c, struct host *from) { read_back(c, from, 2000, NULL); }

/* Does the queue that a version adds or leaves out answer as it should? */
static void counted(struct cluster *c, void *arg, int64_t tag, int status, const char *body)
{
    (void)arg, (void)body;
    const struct op_change *change = change_of(c, tag / 2, NULL);
    if (c->acked_version != tag / 2 || !change)
        return;
    for (int64_t i = 0; i < c->n_changes; i++)
        if (c->changes[i].version > change->version && c->changes[i].valid)
            return; /* one under way may be in force already */
    if ((status == 404) != !(tag % 2) && (status == 404 || status == 200))
        judge_say(c, 0, "CONFIG: a queue that version %lld %s is answered %d", (long long)change->version,
                  tag % 2 ? "has" : "has not", status);
}

static void probe(struct cluster *c, int64_t version)
{
    for (int64_t i = 0; i < c->n_changes; i++) {
        if (!c->changes[i].extra)
            continue;
        char *path = must_printf("/extra%lld/", (long long)c->changes[i].extra);
        cluster_request(c, &(struct cluster_http_request){.to = cluster_any_controller(c),
                                                          .entry = ENTRY_CALLERS,
                                                          .method = "GET",
                                                          .path = path,
                                                          .header = "Host: jobs.example\n",
                                                          .wait_ms = 2000,
                                                          .answer = counted,
                                                          .tag = version * 2 + (c->changes[i].version == version)});
        free(path);
    }
}

void operator_last(struct cluster *c)
{
    int64_t got = 0;
    if (!c->acked_version)
        return;
    for (int i = 0; i < 15 && !got; i++) {
        read_back(c, cluster_any_controller(c), 900, &got);
        cluster_run(c, 1000);
    }
    if (!got)
        judge_say(c, 0, "CONFIG: the configuration does not come back");
    if (got == c->acked_version)
        probe(c, got);
    cluster_run(c, 2500);
}

const char *operator_body(const struct cluster *c, int64_t n) { return c->changes[n].body; }

void operator_free(struct cluster *c)
{
    for (int64_t i = 0; i < c->n_changes; i++)
        free(c->changes[i].body), free(c->changes[i].patch);
    free(c->changes);
    for (int64_t i = 0; i < c->n_config_calls; i++)
        free(c->config_calls[i].body);
    free(c->config_calls);
}
