/* The simulator's codecs of API requests, API responses and calls to executors. All are JSON. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "controller/codec.h"
#include "sim/cluster.h"

struct heartbeat_body {
    char *incarnation, *service, *zone, *rack;
    char **labels;
    int64_t seq, n_labels, cpu_milli, memory_mb, gpus, draining, departure_ms, warmup_ms;
};
static const struct field heartbeat_fields[] = {STR_NAMED(heartbeat_body, incarnation, "life"),
                                                STR(heartbeat_body, service),
                                                STR(heartbeat_body, zone),
                                                STR(heartbeat_body, rack),
                                                STRS(heartbeat_body, labels, n_labels),
                                                INT(heartbeat_body, seq),
                                                INT_NAMED(heartbeat_body, cpu_milli, "cpuMilli"),
                                                INT_NAMED(heartbeat_body, memory_mb, "memoryMb"),
                                                INT(heartbeat_body, gpus),
                                                INT(heartbeat_body, draining),
                                                INT_NAMED(heartbeat_body, departure_ms, "departureMs"),
                                                INT_NAMED(heartbeat_body, warmup_ms, "warmupMs")};
static SCHEMA(heartbeat_body_schema, heartbeat_body, heartbeat_fields);

/* --- requests of callers, operators and executors ---------------------------------- */

static int read_caller(struct api_request *request, const struct http_request *http,
                       struct validation_error *validation_error)
{
    const char *host = http->header(http, "Host"), *last = strrchr(http->path, '/');
    request->host = must_dup(host ? host : "");
    request->path = must_dup(http->path);
    const char *wait = http->header(http, "Wait-Ms");
    request->wait_ms = wait ? text_to_int64(wait) : 0;
    if (!last || (!last[1] && strcmp(http->method, "GET")))
        return ERROR_NOT_FOUND;
    int64_t job_id = (int64_t)strtoull(last + 1, NULL, 16);
    if (!last[1])
        api_request_make_count(request);
    else if (!strcmp(http->method, "GET"))
        api_request_make_state(request, job_id);
    else if (!strcmp(http->method, "DELETE"))
        api_request_make_cancel(request, job_id);
    else if (strcmp(http->method, "POST"))
        return ERROR_BAD_METHOD;
    if (request->kind != REQUEST_NONE)
        return ERROR_NONE;
    struct job_spec *spec = api_request_make_job(request);
    int rc = schema_from_text(&submission_without_outlet_schema, spec, http->body, http->len, validation_error);
    spec->id = job_id;
    return rc;
}

static int64_t json_int(const json_t *from, const char *name)
{
    return json_integer_value(json_object_get(from, name));
}

static char *read_checkpoint(const json_t *from)
{
    const char *checkpoint = json_string_value(json_object_get(from, "saved"));
    return checkpoint && *checkpoint ? must_dup(checkpoint) : NULL;
}

static void read_lists(const json_t *json, struct run_lists *lists)
{
    const json_t *active = json_object_get(json, "active"), *ended = json_object_get(json, "ended"), *one;
    size_t i;
    json_array_foreach(active, i, one)
    {
        *(struct run_active *)array_add(lists->active, lists->n_active) =
            (struct run_active){.job = json_int(one, "job"),
                                .task = json_int(one, "task"),
                                .attempt = json_int(one, "attempt"),
                                .percent = json_int(one, "percent"),
                                .checkpoint = read_checkpoint(one)};
    }
    json_array_foreach(ended, i, one)
    {
        *(struct run_ended *)array_add(lists->ended, lists->n_ended) =
            (struct run_ended){.seq = json_int(one, "seq"),
                               .job = json_int(one, "job"),
                               .task = json_int(one, "task"),
                               .attempt = json_int(one, "attempt"),
                               .how = json_int(one, "how"),
                               .checkpoint = read_checkpoint(one)};
    }
}

/* Moves clock and run lists from a heartbeat into report. Only executors that get their orders by heartbeats send them.
 */
static void take_report(struct heartbeat_report *report, json_t *heartbeat)
{
    const json_t *clock = json_object_get(heartbeat, "clock");
    report->clock_ms = clock ? json_integer_value(clock) : -1;
    read_lists(heartbeat, &report->lists);
    json_object_del(heartbeat, "clock");
    json_object_del(heartbeat, "active");
    json_object_del(heartbeat, "ended");
}

static int read_heartbeat(struct api_request *request, const struct http_request *http,
                          struct validation_error *validation_error)
{
    struct heartbeat_body body = {0};
    struct heartbeat_report report = {0};
    json_t *heartbeat = json_loadb(http->body ? http->body : "", (size_t)http->len, 0, NULL);
    take_report(&report, heartbeat);
    int rc =
        heartbeat ? schema_from_json(&heartbeat_body_schema, &body, heartbeat, 0, validation_error) : ERROR_BAD_JSON;
    json_decref(heartbeat);
    if (rc) {
        run_lists_free(&report.lists);
        return rc;
    }
    *api_request_make_heartbeat(request) =
        (struct executor_heartbeat){.kind = strcmp(http->method, "DELETE") ? HEARTBEAT_ALIVE : HEARTBEAT_LEAVING,
                                    .seq = body.seq,
                                    .address = must_dup(""),
                                    .account = report,
                                    .state = {.incarnation = body.incarnation,
                                              .service = body.service,
                                              .zone = body.zone,
                                              .rack = body.rack,
                                              .labels = body.labels,
                                              .n_labels = body.n_labels,
                                              .cpu_milli = body.cpu_milli,
                                              .memory_mb = body.memory_mb,
                                              .gpus = body.gpus,
                                              .draining = body.draining,
                                              .departure_ms = body.departure_ms,
                                              .warmup_ms = body.warmup_ms}};
    return ERROR_NONE;
}

static int read_patch(struct config *config, const struct http_request *http)
{
    json_t *root = json_loadb(http->body ? http->body : "", (size_t)http->len, 0, NULL);
    config->version = json_integer_value(json_object_get(root, "version"));
    json_decref(root);
    if (config->version < 1)
        return ERROR_BAD_FIELD;
    bytes_add(&config->raw, http->body, http->len);
    return ERROR_NONE;
}

static size_t queue_index(const json_t *queues, const char *name)
{
    size_t i = 0;
    while (i < json_array_size(queues) &&
           strcmp(json_string_value(json_object_get(json_array_get(queues, i), "name")), name) != 0)
        i++;
    return i;
}

static const char *queue_name(const json_t *queues, size_t i)
{
    return json_string_value(json_object_get(json_array_get(queues, i), "name"));
}

/* Inserts a queue in the order of names. */
static void insert_queue(json_t *queues, json_t *queue)
{
    const char *name = json_string_value(json_object_get(queue, "name"));
    size_t i = 0;
    while (name && i < json_array_size(queues) && strcmp(queue_name(queues, i), name) < 0)
        i++;
    json_array_insert(queues, i, queue);
}

/* A patch is {"version":2,"queues":[replaced or added],"removed":[names]}. Queues are few: linear search. */
static enum sagehitch_error patch_config(struct config *to, const struct bytes *current, const struct bytes *patch,
                                         struct validation_error *validation_error)
{
    json_t *root = current->len ? json_loadb((const char *)current->at, (size_t)current->len, 0, NULL) : NULL;
    json_t *change = json_loadb((const char *)patch->at, (size_t)patch->len, 0, NULL);
    json_t *queues = json_object_get(root, "queues"), *item;
    enum sagehitch_error rc = queues && change ? ERROR_NONE : ERROR_BAD_FIELD;
    size_t i;
    json_array_foreach(json_object_get(change, "removed"), i, item)
    {
        if (!rc && json_array_remove(queues, queue_index(queues, json_string_value(item))))
            rc = ERROR_BAD_FIELD;
    }
    json_array_foreach(json_object_get(change, "queues"), i, item)
    {
        size_t at = queue_index(queues, json_string_value(json_object_get(item, "name")));
        json_array_remove(queues, at);
        insert_queue(queues, item);
    }
    if (!rc) {
        json_object_set(root, "version", json_object_get(change, "version"));
        char *text = json_dumps(root, JSON_COMPACT);
        rc = schema_from_text(&config_schema, to, text, (int64_t)strlen(text), validation_error);
        bytes_add(&to->raw, text, (int64_t)strlen(text));
        free(text);
    }
    if (!rc)
        rc = config_check(to, validation_error);
    if (rc) {
        schema_free(&config_schema, to);
        *to = (struct config){0};
    }
    json_decref(root);
    json_decref(change);
    return rc;
}

static int read_config(struct api_request *request, const struct http_request *http,
                       struct validation_error *validation_error)
{
    const char *base = http->header(http, "Base");
    if (!strcmp(http->method, "PATCH")) {
        struct config_change *patch = api_request_make_config_patch(request);
        patch->base = base ? text_to_int64(base) : 0;
        return read_patch(&patch->config, http);
    }
    if (strcmp(http->method, "PUT")) {
        api_request_make_config_get(request);
        return ERROR_NONE;
    }
    struct config_change *change = api_request_make_config_put(request);
    change->base = base ? text_to_int64(base) : 0;
    int rc = schema_from_text(&config_schema, &change->config, http->body, http->len, validation_error);
    if (!rc)
        bytes_add(&change->config.raw, http->body, http->len);
    return rc;
}

static int api_read(struct api_request *request, const struct http_request *http,
                    struct validation_error *validation_error)
{
    int rc = ERROR_NOT_FOUND;
    if (http->entry == ENTRY_READINESS) {
        api_request_make_ready(request);
        rc = ERROR_NONE;
    } else if (http->entry == ENTRY_CALLERS)
        rc = read_caller(request, http, validation_error);
    else if (!strcmp(http->path, "/beat"))
        rc = read_heartbeat(request, http, validation_error);
    else if (!strcmp(http->path, "/config"))
        rc = read_config(request, http, validation_error);
    if (rc) {
        schema_free(&api_request_schema, request);
        memset(request, 0, sizeof *request);
        if (!validation_error->error)
            validation_error->error = rc;
    }
    return rc;
}

/* The body of a successful response. */
static char *response_body(const struct api_response *response)
{
    static const char *const states[] = {"pending", "active", "done", "failed", "cancelled"};
    const struct bytes *text = NULL;
    if (response->kind == REQUEST_STATE)
        return must_printf("{\"state\":\"%s\"}", states[api_response_state(response)]);
    if (response->kind == REQUEST_COUNT_WAITING)
        return must_printf("{\"waiting\":%lld}", (long long)api_response_count(response));
    if (response->kind == REQUEST_CONFIG_GET)
        text = &api_response_document(response)->text;
    else if (response->kind == REQUEST_WHY)
        text = &api_response_explanation(response)->text;
    return must_dup(text && text->at ? (const char *)text->at : "{}");
}

static void api_write(const struct api_response *response, int *status, char **body)
{
    /* An unknown outcome may be in force, so its status must not be one of a refusal. */
    *status = response->error == ERROR_OUTCOME_UNKNOWN ? 504 : error_response((int)response->error)->status;
    *body = response->error ? must_printf("{\"problem\":\"%s\"}", error_response((int)response->error)->name)
                            : response_body(response);
}

const struct api_codec cluster_api_codec = {.read = api_read, .write = api_write, .patch_config = patch_config};

/* --- executors ---------------------------------------------------------------------- */

static void call_fill(struct executor_call *call, const char *path, const char *incarnation, json_t *body)
{
    call->method = must_dup("POST");
    call->path = must_dup(path);
    call->header = incarnation ? must_printf("Life: %s", incarnation) : NULL;
    call->body = json_dumps(body, JSON_COMPACT);
    json_decref(body);
}

static void encode_start(struct executor_call *call, const char *incarnation, const struct run_start *start,
                         int64_t expires_ms, int64_t epoch)
{
    call_fill(call, "/begin", incarnation,
              json_pack("{s:I,s:I,s:I,s:s,s:s,s:I,s:I}", "job", (json_int_t)start->job, "task", (json_int_t)start->task,
                        "attempt", (json_int_t)start->attempt, "text", start->text ? start->text : "", "saved",
                        start->checkpoint ? start->checkpoint : "", "until", (json_int_t)expires_ms, "epoch",
                        (json_int_t)epoch));
}

static void encode_stop(struct executor_call *call, const char *incarnation, const struct run_ref *run, int64_t epoch)
{
    call_fill(call, "/end", incarnation,
              json_pack("{s:I,s:I,s:I,s:I}", "job", (json_int_t)run->job, "task", (json_int_t)run->task, "attempt",
                        (json_int_t)run->attempt, "epoch", (json_int_t)epoch));
}

static void encode_poll(struct executor_call *call, const char *incarnation, int64_t epoch, int64_t seen,
                        int64_t expires_ms, int64_t wait_ms)
{
    call_fill(call, "/look", incarnation,
              json_pack("{s:I,s:I,s:I,s:I}", "epoch", (json_int_t)epoch, "seen", (json_int_t)seen, "until",
                        (json_int_t)expires_ms, "wait", (json_int_t)wait_ms));
}

static enum start_refusal refusal_of(int status, const char *why)
{
    if (status == 429 || status == 503)
        return REFUSED_UNAVAILABLE;
    if (status == 400)
        return REFUSED_BAD_REQUEST;
    if (status != 409 || !why)
        return REFUSED_NONE;
    return !strcmp(why, "epoch")  ? REFUSED_STALE_EPOCH
           : !strcmp(why, "old")  ? REFUSED_OUTDATED
           : !strcmp(why, "late") ? REFUSED_LATE
                                  : REFUSED_NO_CAPACITY;
}

static int executor_read(struct executor_response *response, int status, const char *body, int64_t len)
{
    json_t *json = json_loadb(body ? body : "", (size_t)len, 0, NULL);
    response->clock_ms = -1;
    if (!json)
        return ERROR_BAD_JSON;
    const json_t *clock = json_object_get(json, "clock");
    if (clock)
        response->clock_ms = json_integer_value(clock);
    enum start_refusal refusal = refusal_of(status, json_string_value(json_object_get(json, "why")));
    if (status == 421)
        executor_response_other_incarnation(response);
    else if (refusal != REFUSED_NONE)
        executor_response_refuse(response, refusal);
    else
        read_lists(json, executor_response_accept(response));
    json_decref(json);
    return ERROR_NONE;
}

static json_t *run_lists(const struct run_start **runs, int64_t n)
{
    json_t *list = json_array();
    for (int64_t i = 0; i < n; i++)
        json_array_append_new(list, json_pack("{s:I,s:I,s:I,s:s,s:s}", "job", (json_int_t)runs[i]->job, "task",
                                              (json_int_t)runs[i]->task, "attempt", (json_int_t)runs[i]->attempt,
                                              "text", runs[i]->text ? runs[i]->text : "", "saved",
                                              runs[i]->checkpoint ? runs[i]->checkpoint : ""));
    return list;
}

static char *encode_heartbeat_response(const struct heartbeat_orders *orders)
{
    json_t *body =
        json_pack("{s:I,s:I,s:I,s:I,s:o,s:o}", "epoch", (json_int_t)orders->epoch, "seen", (json_int_t)orders->seen,
                  "hold", (json_int_t)orders->hold_ms, "retry", (json_int_t)orders->retry_ms, "starts",
                  run_lists(orders->starts, orders->n_starts), "stops", run_lists(orders->stops, orders->n_stops));
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    return text;
}

const struct executor_codec cluster_executor_codec = {.start = encode_start,
                                                      .stop = encode_stop,
                                                      .poll = encode_poll,
                                                      .read = executor_read,
                                                      .heartbeat_response = encode_heartbeat_response};
