/* Forwards requests to the leader and returns its responses. Requests are idempotent, so a request is sent again when
 * the leader changes or does not respond. A change is reported as refused only if no leader can have accepted it; if
 * that is uncertain, the caller gets ERROR_OUTCOME_UNKNOWN. */
#include <stdlib.h>
#include <string.h>

#include "base/backoff.h"
#include "base/error.h"
#include "base/events.h"
#include "controller/controller_state.h"

enum {
    RESEND_MS = 400,        /* time without a response after which the leader is suspected and the request sent again */
    TIMER_MS = 20,          /* between two passes over the requests */
    ANSWER_MARGIN_MS = 150, /* time by which a request is answered before the caller stops waiting */
    NEVER_SENT_MS = 1200,   /* time without a known leader after which a change is refused */
    JOB_MS = 2500,          /* deadline for submitting or cancelling a job */
    CONFIG_MS = 900,        /* deadline for reading or changing the configuration */
    READ_MS = 1500          /* deadline for all other requests */
};

/* Tickets given to dispatch: even for requests that arrived here, odd for those forwarded by other controllers. */
static int64_t local_ticket(int64_t number) { return number * 2; }
static int64_t served_ticket(int64_t number) { return number * 2 + 1; }

static struct relayed_request *find_request(struct controller *controller, int64_t number)
{
    struct relayed_request **cell = slab_at(&controller->requests, number);
    return cell ? *cell : NULL;
}

static void http_respond(struct controller *controller, int64_t slot, const struct api_response *response)
{
    int status = 500;
    char *body = NULL;
    int64_t retry_ms =
        response->error && !response->retry_ms ? error_response((int)response->error)->retry_ms : response->retry_ms;
    controller->setup.codec->write(response, &status, &body);
    controller->w->calls->answer(controller->w, slot, status, retry_ms, body);
    free(body);
}

static int is_config_change(const struct api_request *request)
{
    return request->kind == REQUEST_CONFIG_PUT || request->kind == REQUEST_CONFIG_PATCH;
}

static int is_operator_change(const struct api_request *request)
{
    return is_config_change(request) || request->kind == REQUEST_RULES_PUT;
}

/* Raises the event for an operator's change that was not accepted. */
static void report_refused_change(struct controller *controller, const struct api_request *request, int64_t error)
{
    const char *name = error_response((int)error)->name;
    if (is_config_change(request))
        world_note(controller->w, EV_ORDER_REFUSED, "version=%lld base=%lld problem=%s",
                   (long long)api_request_config(request)->config.version, (long long)api_request_config(request)->base,
                   name);
    else
        world_note(controller->w, EV_ORDER_REFUSED, "rules problem=%s", name);
}

static void finish(struct controller *controller, struct relayed_request *relayed, const struct api_response *response)
{
    int64_t slot = relayed->slot;
    if (response->error && is_operator_change(&relayed->request))
        report_refused_change(controller, &relayed->request, response->error);
    slab_free(&controller->requests, relayed->number);
    schema_free(&api_request_schema, &relayed->request);
    free(relayed);
    http_respond(controller, slot, response);
}

static void finish_with_error(struct controller *controller, struct relayed_request *relayed, int error,
                              int64_t retry_ms)
{
    struct api_response response = api_response_error(relayed->request.kind, error, retry_ms, NULL);
    finish(controller, relayed, &response);
}

static int is_change(const struct relayed_request *relayed)
{
    return relayed->request.kind == REQUEST_JOB || relayed->request.kind == REQUEST_CANCEL ||
           is_operator_change(&relayed->request);
}

/* Sends the request to the leader, if a leader is known. The request may have been answered and freed on return. */
static void send_to_leader(struct controller *controller, struct relayed_request *relayed)
{
    int64_t leader = directory_leader(&controller->directory), self = (int64_t)controller->w->self;
    if (!leader || (leader == self && !dispatch_is_leader(controller->dispatch)))
        return;
    relayed->sent_ms = world_ms(controller->w);
    relayed->sent_to = leader;
    relayed->sent_term = controller->directory.term;
    relayed->sends++;
    if (leader == self) {
        dispatch_request(controller->dispatch, local_ticket(relayed->number), &relayed->request);
        return;
    }
    struct forwarded_request message = {.boot = controller->setup.boot,
                                        .ticket = relayed->number,
                                        .term = controller->directory.term,
                                        .request = relayed->request};
    controller_send(controller, leader, FRAME_REQUEST, &forwarded_request_schema, &message);
}

static int64_t time_limit_ms(const struct api_request *request)
{
    int64_t limit_ms = request->kind == REQUEST_JOB || request->kind == REQUEST_CANCEL    ? JOB_MS
                       : is_config_change(request) || request->kind == REQUEST_CONFIG_GET ? CONFIG_MS
                                                                                          : READ_MS;
    int64_t wait_ms =
        request->wait_ms > 2LL * ANSWER_MARGIN_MS ? request->wait_ms - ANSWER_MARGIN_MS : request->wait_ms / 2;
    return wait_ms > 0 && wait_ms < limit_ms ? wait_ms : limit_ms;
}

/* Answers a readiness check. This process is ready if it knows a leader and is not leaving. */
static struct api_response readiness(struct controller *controller)
{
    if (controller->leaving || !directory_leader(&controller->directory))
        return api_response_error(REQUEST_READY, ERROR_UNAVAILABLE, 0, NULL);
    return api_response_done(REQUEST_READY);
}

/* Answers a request that the codec could not read. For a change by an operator, the event is raised as well. */
static void reject_unreadable(struct controller *controller, int64_t slot, const struct http_request *web, int error,
                              const struct validation_error *validation_error)
{
    char *detail = NULL;
    if (web->entry == ENTRY_OPERATORS && (!strcmp(web->method, "PUT") || !strcmp(web->method, "PATCH")))
        world_note(controller->w, EV_ORDER_REFUSED, "path=%.100s problem=%s at=%s expected=%s", web->path,
                   error_response(error)->name, validation_error->path, validation_error->expected);
    if (*validation_error->path || *validation_error->expected)
        detail = must_printf("%s: expected %s", validation_error->path, validation_error->expected);
    struct api_response response = api_response_error(REQUEST_NONE, error, 0, detail);
    http_respond(controller, slot, &response);
    free(detail);
}

static void relay_new(struct controller *controller, int64_t slot, const struct api_request *request)
{
    struct relayed_request *relayed = must_alloc(sizeof *relayed);
    int64_t number = slab_take(&controller->requests, sizeof(struct relayed_request *)),
            now_ms = world_ms(controller->w);
    *(struct relayed_request **)slab_at(&controller->requests, number) = relayed;
    *relayed = (struct relayed_request){.slot = slot, .number = number, .request = *request, .received_ms = now_ms};
    relayed->deadline_ms = now_ms + time_limit_ms(request);
    send_to_leader(controller, relayed);
}

void relay_request(struct controller *controller, int64_t slot, const struct http_request *web)
{
    struct api_request request = {0};
    struct validation_error validation_error = {0};
    struct api_response response;
    int rc = controller->setup.codec->read(&request, web, &validation_error);
    if (rc) {
        reject_unreadable(controller, slot, web, rc, &validation_error);
        return; /* after an error the request owns nothing */
    }
    switch (request.kind) {
    case REQUEST_READY: response = readiness(controller); break;
    case REQUEST_NONE:
    case REQUEST_HEARTBEAT: response = api_response_error(request.kind, ERROR_NOT_FOUND, 0, NULL); break;
    default: relay_new(controller, slot, &request); return;
    }
    http_respond(controller, slot, &response);
    schema_free(&api_request_schema, &request);
}

/* Returns the error to report to the caller. If a change was sent more than once, one copy may have been accepted
 * although another was refused, so a refusal becomes ERROR_OUTCOME_UNKNOWN; errors that every copy would get are kept.
 */
static int64_t refusal_error(const struct relayed_request *relayed, int64_t error)
{
    int same_for_all = error == ERROR_NONE || error == ERROR_BAD_JSON || error == ERROR_BAD_FIELD ||
                       error == ERROR_BAD_STEPS || error == ERROR_TOO_LARGE || error == ERROR_KEY_TAKEN ||
                       error == ERROR_GONE;
    return same_for_all || !is_change(relayed) || relayed->sends < 2 ? error : ERROR_OUTCOME_UNKNOWN;
}

/* Delays the next send after a refusal by a controller that is not the leader. The delay grows with each refusal, since
 * other controllers may keep naming that controller as the leader, and a request may be as large as a configuration. */
static void delay_resend(struct controller *controller, struct relayed_request *relayed)
{
    relayed->resend_delay_ms = backoff_next(relayed->resend_delay_ms, TIMER_MS, RESEND_MS);
    relayed->resend_after_ms = world_ms(controller->w) + relayed->resend_delay_ms;
}

static int resend_is_delayed(const struct controller *controller, const struct relayed_request *relayed)
{
    return controller->directory.term == relayed->sent_term && world_ms(controller->w) < relayed->resend_after_ms;
}

static void on_response(struct controller *controller, int64_t number, int64_t from,
                        const struct api_response *response)
{
    struct relayed_request *relayed = find_request(controller, number);
    if (!relayed)
        return;
    if (response->error == ERROR_NOT_LEADER) {
        if (relayed->sent_to != from)
            return;
        relayed->sent_to = 0;
        delay_resend(controller, relayed);
        if (controller->directory.leader == from && from != (int64_t)controller->w->self)
            directory_suspect_leader(&controller->directory);
        return; /* relay_on_timer() sends it again */
    }
    struct api_response adjusted = *response;
    adjusted.error = refusal_error(relayed, response->error);
    if (adjusted.error != response->error)
        adjusted.retry_ms = 0;
    finish(controller, relayed, &adjusted);
}

void relay_response(struct controller *controller, int64_t ticket, const struct api_response *response)
{
    if (!(ticket & 1)) {
        on_response(controller, ticket / 2, (int64_t)controller->w->self, response);
        return;
    }
    struct served_request *entry = slab_at(&controller->served, ticket / 2);
    if (!entry)
        return;
    struct served_request served = *entry;
    struct forwarded_response message = {.boot = served.boot, .ticket = served.ticket, .answer = *response};
    slab_free(&controller->served, ticket / 2);
    controller_send(controller, served.from, FRAME_RESPONSE, &forwarded_response_schema, &message);
}

static int is_served(struct controller *controller, int64_t from, const struct forwarded_request *message)
{
    for (int64_t i = 0; i < controller->served.cap; i++) {
        const struct served_request *served = slab_at(&controller->served, slab_number(&controller->served, i));
        if (served && served->from == from && served->boot == message->boot && served->ticket == message->ticket)
            return 1;
    }
    return 0;
}

static void on_request(struct controller *controller, int64_t from, const struct forwarded_request *message)
{
    if (!dispatch_is_leader(controller->dispatch) || message->term != controller->log.term) {
        struct forwarded_response refusal = {.boot = message->boot,
                                             .ticket = message->ticket,
                                             .answer =
                                                 api_response_error(message->request.kind, ERROR_NOT_LEADER, 0, NULL)};
        controller_send(controller, from, FRAME_RESPONSE, &forwarded_response_schema, &refusal);
        return;
    }
    if (is_served(controller, from, message))
        return;
    int64_t number = slab_take(&controller->served, sizeof(struct served_request));
    *(struct served_request *)slab_at(&controller->served, number) =
        (struct served_request){.from = from, .boot = message->boot, .ticket = message->ticket};
    dispatch_request(controller->dispatch, served_ticket(number), &message->request);
}

void relay_on_frame(struct controller *controller, const struct frame *frame)
{
    int64_t from = (int64_t)frame->from;
    if (frame->kind == FRAME_REQUEST) {
        struct forwarded_request message = {0};
        if (!schema_unpack(&forwarded_request_schema, &message, frame->body, frame->len))
            on_request(controller, from, &message);
        schema_free(&forwarded_request_schema, &message);
        return;
    }
    struct forwarded_response message = {0};
    if (!schema_unpack(&forwarded_response_schema, &message, frame->body, frame->len) &&
        message.boot == controller->setup.boot)
        on_response(controller, message.ticket, from, &message.answer);
    schema_free(&forwarded_response_schema, &message);
}

static void give_up(struct controller *controller, struct relayed_request *relayed)
{
    if (relayed->sends && is_change(relayed))
        finish_with_error(controller, relayed, ERROR_OUTCOME_UNKNOWN, 0);
    else
        finish_with_error(controller, relayed, ERROR_UNAVAILABLE, 1000);
}

void relay_on_timer(struct controller *controller)
{
    int64_t now_ms = world_ms(controller->w);
    if (!controller->requests.used || now_ms < controller->next_relay_ms)
        return;
    controller->next_relay_ms = now_ms + TIMER_MS;
    for (int64_t i = 0; i < controller->requests.cap; i++) {
        struct relayed_request *relayed = find_request(controller, slab_number(&controller->requests, i));
        if (!relayed)
            continue;
        if (now_ms >= relayed->deadline_ms ||
            (!relayed->sends && is_change(relayed) && now_ms - relayed->received_ms >= NEVER_SENT_MS)) {
            give_up(controller, relayed);
            continue;
        }
        int64_t leader = directory_leader(&controller->directory);
        int response_overdue = relayed->sent_to && now_ms - relayed->sent_ms >= RESEND_MS;
        /* the local dispatch answers each ticket exactly once, so the request is not sent to it again */
        if (relayed->sent_to == (int64_t)controller->w->self && leader == relayed->sent_to &&
            dispatch_is_leader(controller->dispatch))
            continue;
        if (response_overdue && leader == relayed->sent_to) {
            directory_suspect_leader(&controller->directory);
            leader = 0;
        }
        if (leader && leader != relayed->sent_to && !resend_is_delayed(controller, relayed))
            send_to_leader(controller, relayed);
        else if (response_overdue && !leader)
            relayed->sent_to = 0; /* the next known leader gets it, even if it is the same controller */
    }
}

void relay_give_up(struct controller *controller)
{
    for (int64_t i = 0; i < controller->requests.cap; i++) {
        struct relayed_request *relayed = find_request(controller, slab_number(&controller->requests, i));
        if (relayed)
            give_up(controller, relayed);
    }
}

void relay_end(struct controller *controller)
{
    for (int64_t i = 0; i < controller->requests.cap; i++) {
        struct relayed_request *relayed = find_request(controller, slab_number(&controller->requests, i));
        if (relayed) {
            schema_free(&api_request_schema, &relayed->request);
            free(relayed);
        }
    }
    slab_end(&controller->requests);
    slab_end(&controller->served);
}
