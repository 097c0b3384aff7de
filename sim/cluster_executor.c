/* A stand-in of an executor: how it starts and dies, and what it answers when it is called. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "dispatch/messages.h"
#include "sim/cluster.h"

struct standin *standin_new(struct host *host, int64_t index)
{
    static const char *const labels[] = {"plain", "plain", "large"};
    struct standin *s = must_alloc(sizeof *s);
    s->host = host;
    s->fault_us = -100000000;
    s->index = index;
    s->service = index % 4 == 3 ? "raw" : "guarded";
    s->checks_capacity = index % 4 != 3;
    s->rack = host->rack;
    s->label = labels[index / 2 % 3];
    s->cpu_milli = index / 2 % 3 == 2 ? 24000 : 16000;
    s->memory_mb = s->cpu_milli * 2;
    s->gpus = index % 5 == 0 ? 4 : 0;
    return s;
}

int64_t standin_clock_ms(const struct standin *s)
{
    int64_t passed_us = s->host->cluster->now_us - s->born_us;
    return s->offset_ms + passed_us / 1000 * (1000000 - s->slow_ppm) / 1000000;
}

static void forget(struct standin *s)
{
    for (int64_t i = 0; i < s->n_runs; i++)
        run_free(&s->runs[i]);
    for (int64_t i = 0; i < s->n_ended; i++)
        free(s->ended[i].checkpoint);
    free(s->runs);
    free(s->ended);
    free(s->barred);
    free(s->polls);
    s->runs = NULL;
    s->ended = NULL;
    s->barred = NULL;
    s->polls = NULL;
    s->n_runs = s->n_ended = s->n_barred = s->n_polls = 0;
}

void standin_free(struct standin *s)
{
    forget(s);
    free(s);
}

void standin_boot(struct standin *s)
{
    struct cluster *c = s->host->cluster;
    if (s->up || s->gone)
        return;
    s->generation++;
    s->up = 1;
    s->born_us = s->last_on_timer_us = c->now_us;
    s->offset_ms = 1000 + cluster_pick(c, 1000000);
    s->slow_ppm = cluster_pick(c, 20001);
    s->until_ms = s->fence = s->seq = s->draining = s->leaves_us = s->beat_seq = s->return_us = 0;
    s->slow_pct = 100;
    s->drain_ack_us = -1;
    s->hang_us = s->fail_us = s->sick_us = s->late_us = 0;
    s->beat_due_us = c->now_us + cluster_pick(c, 300000);
    snprintf(s->incarnation, sizeof s->incarnation, "x%lld-%lld", (long long)s->index, (long long)s->generation);
    if (s->generation > 1)
        cluster_tell(c, 0, "executor %s starts", s->incarnation);
    struct cluster_event *on_timer = must_alloc(sizeof *on_timer);
    on_timer->kind = CEV_STANDIN;
    on_timer->to = s->host;
    on_timer->generation = s->generation;
    cluster_push(c, on_timer, c->now_us + cluster_pick(c, STANDIN_ON_TIMER_US));
}

static void boot_again(struct cluster *c, void *arg, int64_t n)
{
    struct standin *s = arg;
    (void)c;
    if (s->generation == n)
        standin_boot(s);
}

void standin_go(struct standin *s, int64_t back_ms)
{
    struct cluster *c = s->host->cluster;
    s->up = 0;
    for (int64_t i = 0; i < s->n_runs; i++) { /* other members of its gangs notice */
        struct standin_run *run = &s->runs[i];
        struct board_gang *gang = board_gang(run->job, run->time, run->step, run->attempt);
        if (gang && gang->began_us)
            gang->broken = 1;
    }
    s->fault_us = c->now_us;
    forget(s);
    if (back_ms >= 0)
        cluster_at(c, back_ms, boot_again, s, s->generation);
    else
        s->gone = 1;
}

void standin_crash(struct standin *s, int64_t back_ms)
{
    if (!s->up)
        return;
    cluster_tell(s->host->cluster, 0, "executor %s crashes", s->incarnation);
    s->host->cluster->trouble_us = s->host->cluster->now_us;
    standin_go(s, back_ms);
}

void standin_drain(struct standin *s, int64_t back_ms)
{
    if (!s->up || s->draining)
        return;
    cluster_tell(s->host->cluster, 0, "executor %s drains", s->incarnation);
    s->draining = 1;
    s->return_us = back_ms;
    s->leaves_us = s->host->cluster->now_us + 10000000; /* without an acknowledgement */
    s->beat_due_us = s->host->cluster->now_us;
}

/* --- what it is asked --------------------------------------------------------------------- */

json_t *standin_lists(const struct standin *s)
{
    json_t *answer = json_pack("{s:I}", "clock", (json_int_t)standin_clock_ms(s));
    json_t *active = json_array(), *ended = json_array();
    for (int64_t i = 0; i < s->n_runs; i++) {
        const struct standin_run *run = &s->runs[i];
        json_array_append_new(active, json_pack("{s:I,s:I,s:I,s:I,s:s}", "job", (json_int_t)run->job->id, "task",
                                                (json_int_t)run->task, "attempt", (json_int_t)run->attempt, "percent",
                                                (json_int_t)(run->need_us ? run->done_us * 100 / run->need_us : 0),
                                                "saved", run->checkpoint ? run->checkpoint : ""));
    }
    for (int64_t i = 0; i < s->n_ended && i < 500; i++) {
        const struct standin_ended *end = &s->ended[i];
        json_array_append_new(ended, json_pack("{s:I,s:I,s:I,s:I,s:I,s:s}", "seq", (json_int_t)end->seq, "job",
                                               (json_int_t)end->job, "task", (json_int_t)end->task, "attempt",
                                               (json_int_t)end->attempt, "how", (json_int_t)end->how, "saved",
                                               end->checkpoint ? end->checkpoint : ""));
    }
    json_object_set_new(answer, "active", active);
    json_object_set_new(answer, "ended", ended);
    return answer;
}

static void answer_lists(struct standin *s, int64_t call)
{
    json_t *answer = standin_lists(s);
    char *text = json_dumps(answer, JSON_COMPACT);
    cluster_reply(s->host->cluster, call, 200, text);
    free(text);
    json_decref(answer);
}

static void say(struct standin *s, int64_t call, int status, const char *why)
{
    char *body = must_printf("{\"clock\":%lld,\"why\":\"%s\"}", (long long)standin_clock_ms(s), why);
    cluster_reply(s->host->cluster, call, status, body);
    free(body);
}

static int64_t number(const json_t *body, const char *name) { return json_integer_value(json_object_get(body, name)); }

void standin_hold(struct standin *s, int64_t until_ms)
{
    int64_t most_ms = standin_clock_ms(s) + HOLD_MAX_MS;
    if (until_ms > most_ms)
        until_ms = most_ms;
    if (until_ms > s->until_ms)
        s->until_ms = until_ms;
}

int standin_order_start(struct standin *s, const json_t *order, int late, const char **why)
{
    struct cluster *c = s->host->cluster;
    int64_t job_id = number(order, "job"), task = number(order, "task"), attempt = number(order, "attempt");
    const char *text = json_string_value(json_object_get(order, "text"));
    const char *checkpoint = json_string_value(json_object_get(order, "saved"));
    struct standin_run *run = standin_run(s, job_id, task);
    struct board_job *job = board_job(c, job_id);
    *why = "";
    if (run && run->attempt == attempt)
        return 200;
    if (attempt <= standin_barred(s, job_id, task)) {
        *why = "old";
        return 409;
    }
    if (!job || !board_row(job, task) || attempt < 1) {
        judge_say(c, job_id, "UNASKED: %s is told to start what nobody sent: job %llx task %llx attempt %lld",
                  s->incarnation, (unsigned long long)job_id, (unsigned long long)task, (long long)attempt);
        return 400;
    }
    const struct standin_start start = {.job = job,
                                        .task = task,
                                        .attempt = attempt,
                                        .text = text ? text : "",
                                        .checkpoint = checkpoint ? checkpoint : "",
                                        .late = late};
    if (!standin_start(s, &start)) {
        c->n_room_refused++;
        *why = "room";
        return 409;
    }
    return 200;
}

static void take_begin(struct standin *s, int64_t call, const json_t *body, int late)
{
    int64_t until_ms = number(body, "until");
    const struct standin_run *run = standin_run(s, number(body, "job"), number(body, "task"));
    const char *why;
    if (s->host->cluster->now_us < s->sick_us) {
        say(s, call, 503, "sick");
        return;
    }
    if (until_ms <= standin_clock_ms(s) && !(run && run->attempt == number(body, "attempt"))) {
        say(s, call, 409, "late");
        return;
    }
    standin_hold(s, until_ms);
    int status = standin_order_start(s, body, late, &why);
    say(s, call, status, why);
}

void standin_seen(struct standin *s, int64_t seen)
{
    int64_t kept = 0;
    judge_noted(s, seen);
    for (int64_t i = 0; i < s->n_ended; i++) {
        if (s->ended[i].seq <= seen)
            free(s->ended[i].checkpoint);
        else
            s->ended[kept++] = s->ended[i];
    }
    s->n_ended = kept;
}

static void take_poll(struct standin *s, int64_t call, const json_t *body)
{
    struct cluster *c = s->host->cluster;
    int64_t wait_ms = number(body, "wait");
    if (number(body, "until"))
        standin_hold(s, number(body, "until"));
    standin_seen(s, number(body, "seen"));
    if (wait_ms <= 0 || s->n_ended) {
        answer_lists(s, call);
        return;
    }
    struct standin_poll *poll = array_add(s->polls, s->n_polls);
    poll->call = call;
    poll->due_us = c->now_us + (wait_ms < 2000 ? wait_ms : 2000) * 1000;
}

void standin_order_stop(struct standin *s, const json_t *order)
{
    int64_t job = number(order, "job"), task = number(order, "task"), attempt = number(order, "attempt");
    struct standin_run *run = standin_run(s, job, task);
    if (run && run->attempt == attempt)
        standin_stop(s, run);
    else
        standin_bar(s, job, task, attempt);
}

static void take_end(struct standin *s, int64_t call, const json_t *body)
{
    standin_order_stop(s, body);
    say(s, call, 200, "");
}

void standin_take(struct standin *s, int64_t call, const char *path, const char *header, const char *text, int late)
{
    const char *incarnation = header_find(header, "Life");
    json_t *body = json_loads(text, 0, NULL);
    if (late)
        s->host->cluster->n_late_orders++;
    if (incarnation && strcmp(incarnation, s->incarnation))
        say(s, call, 421, "life");
    else if (!body)
        say(s, call, 400, "");
    else if (number(body, "epoch") < s->fence)
        say(s, call, 409, "epoch");
    else {
        s->fence = number(body, "epoch");
        if (!strcmp(path, "/begin"))
            take_begin(s, call, body, late);
        else if (!strcmp(path, "/end"))
            take_end(s, call, body);
        else if (!strcmp(path, "/look"))
            take_poll(s, call, body);
        else
            say(s, call, 404, "");
    }
    json_decref(body);
}

void standin_on_timer(struct standin *s)
{
    struct cluster *c = s->host->cluster;
    int64_t passed_us = c->now_us - s->last_on_timer_us;
    s->last_on_timer_us = c->now_us;
    if (s->draining && c->now_us >= s->leaves_us) {
        standin_leave(s);
        return;
    }
    if (c->now_us < s->hang_us || c->now_us < s->fail_us || c->now_us < s->sick_us || c->now_us < s->late_us ||
        s->slow_pct != 100)
        s->fault_us = c->now_us;
    if (standin_clock_ms(s) >= s->until_ms)
        standin_lapse(s);
    if (c->now_us >= s->hang_us)
        standin_work(s, passed_us * 100 / s->slow_pct);
    if (c->now_us >= s->hang_us && c->now_us >= s->beat_due_us)
        standin_beat(s);
    for (int64_t i = s->n_polls - 1; i >= 0; i--)
        if (s->n_ended || c->now_us >= s->polls[i].due_us) {
            answer_lists(s, s->polls[i].call);
            s->polls[i] = s->polls[--s->n_polls];
        }
}
