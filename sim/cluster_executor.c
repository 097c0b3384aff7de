/* The stand-in of an executor: start, crash and draining, its lease, and the requests it receives. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "agent/executor_codec.h"
#include "dispatch/messages.h"
#include "sim/cluster.h"

enum { ID_USUAL_MAX = 255 }; /* most long ids have up to this many bytes more than the name */

struct standin *standin_new(struct host *host, int64_t index)
{
    static const char *const labels[] = {"plain", "plain", "large"};
    struct standin *standin = must_alloc(sizeof *standin);
    standin->host = host;
    standin->faulty_until_us = -100000000;
    standin->index = index;
    standin->service = index % 4 == 3 ? "raw" : "guarded";
    standin->checks_capacity = index % 4 != 3;
    standin->rack = host->rack;
    standin->label = labels[index / 2 % 3];
    standin->cpu_milli = index / 2 % 3 == 2 ? 24000 : 16000;
    standin->memory_mb = standin->cpu_milli * 2;
    standin->gpus = index % 5 == 0 ? 4 : 0;
    return standin;
}

int64_t standin_clock_ms(const struct standin *standin)
{
    int64_t passed_us = standin->host->cluster->now_us - standin->booted_us;
    return standin->clock_offset_ms + passed_us / 1000 * (1000000 - standin->clock_slow_ppm) / 1000000;
}

static void free_state(struct standin *standin)
{
    for (int64_t i = 0; i < standin->n_runs; i++)
        run_free(&standin->runs[i]);
    for (int64_t i = 0; i < standin->n_ended; i++)
        free(standin->ended[i].checkpoint);
    free(standin->runs);
    free(standin->ended);
    free(standin->barred);
    free(standin->polls);
    standin->runs = NULL;
    standin->ended = NULL;
    standin->barred = NULL;
    standin->polls = NULL;
    standin->n_runs = standin->n_ended = standin->n_barred = standin->n_polls = 0;
}

void standin_free(struct standin *standin)
{
    free_state(standin);
    free(standin->incarnation);
    free(standin);
}

/* The id of the current incarnation: its name, for half of the incarnations behind a prefix that makes the id any
 * length up to EXECUTOR_ID_MAX; ids differ only behind that prefix. Drawn from the state of the random numbers without
 * advancing it, so that a seed gives the same run whatever the lengths are. */
static char *incarnation_id(const struct standin *standin)
{
    static const char segment[] = "zone.machine.service.";
    uint64_t draw = hash_mix(standin->host->cluster->state, hash_text(standin->name));
    int64_t name_len = (int64_t)strlen(standin->name), len = name_len;
    if (draw % 2)
        len = name_len + (int64_t)(draw / 2 % (uint64_t)(draw % 16 == 1 ? EXECUTOR_ID_MAX : ID_USUAL_MAX) + 1);
    len = len < EXECUTOR_ID_MAX ? len : EXECUTOR_ID_MAX;
    struct bytes id = {0};
    while (id.len < len - name_len)
        bytes_add(&id, segment + id.len % (int64_t)(sizeof segment - 1), 1);
    bytes_add(&id, standin->name, name_len + 1);
    return (char *)id.at;
}

void standin_boot(struct standin *standin)
{
    struct cluster *cluster = standin->host->cluster;
    if (standin->up || standin->removed)
        return;
    standin->generation++;
    standin->up = 1;
    standin->booted_us = standin->last_on_timer_us = cluster->now_us;
    standin->clock_offset_ms = 1000 + cluster_pick(cluster, 1000000);
    standin->clock_slow_ppm = cluster_pick(cluster, 20001);
    standin->lease_until_ms = standin->fence_epoch = standin->seq = standin->draining = standin->leaves_us =
        standin->serves_until_us = standin->heartbeat_seq = standin->return_after_ms = 0;
    standin->slow_pct = 100;
    standin->drain_ack_us = -1;
    standin->hang_until_us = standin->fail_until_us = standin->sick_until_us = standin->late_until_us = 0;
    standin->next_heartbeat_us = cluster->now_us + cluster_pick(cluster, 300000);
    snprintf(standin->name, sizeof standin->name, "x%lld-%lld", (long long)standin->index,
             (long long)standin->generation);
    free(standin->incarnation);
    standin->incarnation = incarnation_id(standin);
    if (standin->generation > 1)
        cluster_trace(cluster, 0, "executor %s starts", standin->name);
    struct cluster_event *timer = must_alloc(sizeof *timer);
    timer->kind = CLUSTER_EVENT_STANDIN;
    timer->to = standin->host;
    timer->generation = standin->generation;
    cluster_push(cluster, timer, cluster->now_us + cluster_pick(cluster, STANDIN_ON_TIMER_US));
}

static void boot_again(struct cluster *cluster, void *arg, int64_t n)
{
    struct standin *standin = arg;
    (void)cluster;
    if (standin->generation == n)
        standin_boot(standin);
}

void standin_shut_down(struct standin *standin, int64_t back_ms)
{
    struct cluster *cluster = standin->host->cluster;
    standin->up = 0;
    for (int64_t i = 0; i < standin->n_runs; i++) { /* the gangs of its runs break */
        struct standin_run *run = &standin->runs[i];
        struct tracked_gang *gang = tracked_gang(run->job, run->repetition, run->step, run->attempt);
        if (gang && gang->began_us)
            gang->broken = 1;
    }
    standin->faulty_until_us = cluster->now_us;
    free_state(standin);
    if (back_ms >= 0)
        cluster_schedule(cluster, back_ms, boot_again, standin, standin->generation);
    else
        standin->removed = 1;
}

void standin_crash(struct standin *standin, int64_t back_ms)
{
    if (!standin->up)
        return;
    cluster_trace(standin->host->cluster, 0, "executor %s crashes", standin->name);
    standin->host->cluster->last_fault_us = standin->host->cluster->now_us;
    standin_shut_down(standin, back_ms);
}

void standin_drain(struct standin *standin, int64_t back_ms)
{
    if (!standin->up || standin->draining || standin->serves_until_us)
        return;
    cluster_trace(standin->host->cluster, 0, "executor %s drains", standin->name);
    standin->draining = 1;
    standin->return_after_ms = back_ms;
    standin->leaves_us = standin->host->cluster->now_us + 10000000; /* even without an acknowledgement */
    standin->next_heartbeat_us = standin->host->cluster->now_us;
}

/* --- requests ------------------------------------------------------------------------------ */

json_t *standin_report(const struct standin *standin)
{
    json_t *response = json_pack("{s:I}", "clock", (json_int_t)standin_clock_ms(standin));
    json_t *active = json_array(), *ended = json_array();
    for (int64_t i = 0; i < standin->n_runs; i++) {
        const struct standin_run *run = &standin->runs[i];
        json_array_append_new(active,
                              json_pack("{s:I,s:I,s:I,s:I,s:s}", "job", (json_int_t)run->job->id, "task",
                                        (json_int_t)run->task, "attempt", (json_int_t)run->attempt, "percent",
                                        (json_int_t)(run->required_us ? run->done_us * 100 / run->required_us : 0),
                                        "saved", run->checkpoint ? run->checkpoint : ""));
    }
    for (int64_t i = 0; i < standin->n_ended && i < 500; i++) {
        const struct standin_ended *end = &standin->ended[i];
        json_array_append_new(ended, json_pack("{s:I,s:I,s:I,s:I,s:I,s:s}", "seq", (json_int_t)end->seq, "job",
                                               (json_int_t)end->job, "task", (json_int_t)end->task, "attempt",
                                               (json_int_t)end->attempt, "how", (json_int_t)end->how, "saved",
                                               end->checkpoint ? end->checkpoint : ""));
    }
    json_object_set_new(response, "active", active);
    json_object_set_new(response, "ended", ended);
    return response;
}

static void reply_lists(struct standin *standin, int64_t call)
{
    json_t *response = standin_report(standin);
    char *text = json_dumps(response, JSON_COMPACT);
    cluster_reply(standin->host->cluster, call, 200, text);
    free(text);
    json_decref(response);
}

static void reply_status(struct standin *standin, int64_t call, int status, const char *why)
{
    char *body = must_printf("{\"clock\":%lld,\"why\":\"%s\"}", (long long)standin_clock_ms(standin), why);
    cluster_reply(standin->host->cluster, call, status, body);
    free(body);
}

static int64_t json_int(const json_t *body, const char *name)
{
    return json_integer_value(json_object_get(body, name));
}

void standin_extend_lease(struct standin *standin, int64_t lease_until_ms)
{
    int64_t max_ms = standin_clock_ms(standin) + HOLD_MAX_MS;
    if (lease_until_ms > max_ms)
        lease_until_ms = max_ms;
    if (lease_until_ms > standin->lease_until_ms)
        standin->lease_until_ms = lease_until_ms;
}

int standin_order_start(struct standin *standin, const json_t *order, int late, const char **why)
{
    struct cluster *cluster = standin->host->cluster;
    int64_t job_id = json_int(order, "job"), task = json_int(order, "task"), attempt = json_int(order, "attempt");
    const char *text = json_string_value(json_object_get(order, "text"));
    const char *checkpoint = json_string_value(json_object_get(order, "saved"));
    struct standin_run *run = standin_run(standin, job_id, task);
    struct tracked_job *job = tracked_job(cluster, job_id);
    *why = "";
    if (run && run->attempt == attempt)
        return 200;
    if (attempt <= standin_barred(standin, job_id, task)) {
        *why = "old";
        return 409;
    }
    if (!job || !tracked_task(job, task) || attempt < 1) {
        cluster_violation(cluster, job_id,
                          "UNASKED: %s is ordered to start what no caller submitted: job %llx task %llx attempt %lld",
                          standin->name, (unsigned long long)job_id, (unsigned long long)task, (long long)attempt);
        return 400;
    }
    const struct standin_start start = {.job = job,
                                        .task = task,
                                        .attempt = attempt,
                                        .text = text ? text : "",
                                        .checkpoint = checkpoint ? checkpoint : "",
                                        .late = late};
    if (!standin_start(standin, &start)) {
        cluster->n_capacity_refused++;
        *why = "room";
        return 409;
    }
    return 200;
}

static void on_start_request(struct standin *standin, int64_t call, const json_t *body, int late)
{
    int64_t lease_until_ms = json_int(body, "until");
    const struct standin_run *run = standin_run(standin, json_int(body, "job"), json_int(body, "task"));
    const char *why;
    if (standin->host->cluster->now_us < standin->sick_until_us) {
        reply_status(standin, call, 503, "sick");
        return;
    }
    if (lease_until_ms <= standin_clock_ms(standin) && !(run && run->attempt == json_int(body, "attempt"))) {
        reply_status(standin, call, 409, "late");
        return;
    }
    standin_extend_lease(standin, lease_until_ms);
    int status = standin_order_start(standin, body, late, &why);
    reply_status(standin, call, status, why);
}

void standin_acknowledge_ends(struct standin *standin, int64_t up_to_seq)
{
    int64_t kept = 0;
    cluster_oracle_on_ends_acknowledged(standin, up_to_seq);
    for (int64_t i = 0; i < standin->n_ended; i++) {
        if (standin->ended[i].seq <= up_to_seq)
            free(standin->ended[i].checkpoint);
        else
            standin->ended[kept++] = standin->ended[i];
    }
    standin->n_ended = kept;
}

static void on_poll_request(struct standin *standin, int64_t call, const json_t *body)
{
    struct cluster *cluster = standin->host->cluster;
    int64_t wait_ms = json_int(body, "wait");
    if (json_int(body, "until"))
        standin_extend_lease(standin, json_int(body, "until"));
    standin_acknowledge_ends(standin, json_int(body, "seen"));
    if (wait_ms <= 0 || standin->n_ended) {
        reply_lists(standin, call);
        return;
    }
    struct standin_poll *poll = array_add(standin->polls, standin->n_polls);
    poll->call = call;
    poll->deadline_us = cluster->now_us + (wait_ms < 2000 ? wait_ms : 2000) * 1000;
}

void standin_order_stop(struct standin *standin, const json_t *order)
{
    int64_t job = json_int(order, "job"), task = json_int(order, "task"), attempt = json_int(order, "attempt");
    struct standin_run *run = standin_run(standin, job, task);
    if (run && run->attempt == attempt)
        standin_stop(standin, run);
    else
        standin_bar(standin, job, task, attempt);
}

static void on_stop_request(struct standin *standin, int64_t call, const json_t *body)
{
    standin_order_stop(standin, body);
    reply_status(standin, call, 200, "");
}

void standin_on_request(struct standin *standin, int64_t call, const char *path, const char *header, const char *text,
                        int late)
{
    const char *incarnation = header_find(header, "Life");
    json_t *body = json_loads(text, 0, NULL);
    if (late)
        standin->host->cluster->n_late_orders++;
    if (incarnation && strcmp(incarnation, standin->incarnation))
        reply_status(standin, call, 421, "life");
    else if (!body)
        reply_status(standin, call, 400, "");
    else if (json_int(body, "epoch") < standin->fence_epoch)
        reply_status(standin, call, 409, "epoch");
    else {
        standin->fence_epoch = json_int(body, "epoch");
        if (!strcmp(path, "/begin"))
            on_start_request(standin, call, body, late);
        else if (!strcmp(path, "/end"))
            on_stop_request(standin, call, body);
        else if (!strcmp(path, "/look"))
            on_poll_request(standin, call, body);
        else
            reply_status(standin, call, 404, "");
    }
    json_decref(body);
}

void standin_on_timer(struct standin *standin)
{
    struct cluster *cluster = standin->host->cluster;
    int64_t passed_us = cluster->now_us - standin->last_on_timer_us;
    standin->last_on_timer_us = cluster->now_us;
    if (standin->draining && cluster->now_us >= standin->leaves_us) {
        standin_leave(standin);
        return;
    }
    if (standin->serves_until_us && cluster->now_us >= standin->serves_until_us) {
        cluster_trace(cluster, 0, "executor %s ends", standin->name);
        standin_shut_down(standin, standin->return_after_ms);
        return;
    }
    if (cluster->now_us < standin->hang_until_us || cluster->now_us < standin->fail_until_us ||
        cluster->now_us < standin->sick_until_us || cluster->now_us < standin->late_until_us ||
        standin->slow_pct != 100)
        standin->faulty_until_us = cluster->now_us;
    if (standin_clock_ms(standin) >= standin->lease_until_ms)
        standin_expire_lease(standin);
    if (cluster->now_us >= standin->hang_until_us)
        standin_advance(standin, passed_us * 100 / standin->slow_pct);
    if (cluster->now_us >= standin->hang_until_us && cluster->now_us >= standin->next_heartbeat_us)
        standin_heartbeat(standin);
    for (int64_t i = standin->n_polls - 1; i >= 0; i--)
        if (standin->n_ended || cluster->now_us >= standin->polls[i].deadline_us) {
            reply_lists(standin, standin->polls[i].call);
            standin->polls[i] = standin->polls[--standin->n_polls];
        }
}
