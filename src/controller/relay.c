/* Forwards requests to the leader and returns its responses. Requests are idempotent, so one is sent again when the
 * leader changes or does not respond. A caller is told that its request was refused only if no leader can have taken
 * it; if that is not certain it gets ERROR_OUTCOME_UNKNOWN. */
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/events.h"
#include "controller/controller_state.h"

enum {
    RESEND_MS = 400,      /* without a response: the leader is doubted and the request sent again */
    TIMER_MS = 20,        /* between two passes over the requests */
    MARGIN_MS = 150,      /* an answer goes out so long before the caller gives up */
    NEVER_SENT_MS = 1200, /* a change that no leader was known for is refused */
    JOB_MS = 2500,        /* longest time for a job or its cancel, */
    CONFIG_MS = 900,      /* for the configuration, */
    READ_MS = 1500        /* and for all else */
};

/* Tickets of dispatch: our own requests are even, those of others odd. */
static int64_t own_ticket(int64_t number) { return number * 2; }
static int64_t served_ticket(int64_t number) { return number * 2 + 1; }

static struct relayed_request *relay_at(struct controller *c, int64_t number)
{
    struct relayed_request **cell = slab_at(&c->requests, number);
    return cell ? *cell : NULL;
}

static void http_respond(struct controller *c, int64_t slot, const struct api_response *answer)
{
    int status = 500;
    char *body = NULL;
    int64_t retry_ms =
        answer->error && !answer->retry_ms ? error_response((int)answer->error)->retry_ms : answer->retry_ms;
    c->setup.codec->write(answer, &status, &body);
    c->w->calls->answer(c->w, slot, status, retry_ms, body);
    free(body);
}

static int is_config_change(const struct api_request *request)
{
    return request->kind == REQUEST_CONFIG_PUT || request->kind == REQUEST_CONFIG_PATCH;
}

static int is_order(const struct api_request *request)
{
    return is_config_change(request) || request->kind == REQUEST_RULES_PUT;
}

/* For operators: an order that was not acknowledged. */
static void note_order(struct controller *c, const struct api_request *request, int64_t error)
{
    const char *name = error_response((int)error)->name;
    if (is_config_change(request))
        world_note(c->w, EV_ORDER_REFUSED, "version=%lld base=%lld problem=%s",
                   (long long)api_request_config(request)->config.version, (long long)api_request_config(request)->base,
                   name);
    else
        world_note(c->w, EV_ORDER_REFUSED, "rules problem=%s", name);
}

static void finish(struct controller *c, struct relayed_request *r, const struct api_response *answer)
{
    int64_t slot = r->slot;
    if (answer->error && is_order(&r->request))
        note_order(c, &r->request, answer->error);
    slab_free(&c->requests, r->number);
    schema_free(&api_request_schema, &r->request);
    free(r);
    http_respond(c, slot, answer);
}

static void finish_with_error(struct controller *c, struct relayed_request *r, int error, int64_t retry_ms)
{
    struct api_response answer = api_response_error(r->request.kind, error, retry_ms, NULL);
    finish(c, r, &answer);
}

static int is_change(const struct relayed_request *r)
{
    return r->request.kind == REQUEST_JOB || r->request.kind == REQUEST_CANCEL || is_order(&r->request);
}

/* Sends r to the leader, if one is known. r may have been answered and freed when this returns. */
static void send_to_leader(struct controller *c, struct relayed_request *r)
{
    int64_t leader = directory_leader(&c->directory), self = (int64_t)c->w->self;
    if (!leader || (leader == self && !dispatch_is_leader(c->dispatch)))
        return;
    r->sent_ms = world_ms(c->w);
    r->sent_to = leader;
    r->sent_term = c->directory.term;
    r->sends++;
    if (leader == self) {
        dispatch_request(c->dispatch, own_ticket(r->number), &r->request);
        return;
    }
    struct forwarded_request m = {
        .boot = c->setup.boot, .ticket = r->number, .term = c->directory.term, .request = r->request};
    controller_send(c, leader, FRAME_REQUEST, &forwarded_request_schema, &m);
}

static int64_t time_limit_ms(const struct api_request *request)
{
    int64_t most_ms = request->kind == REQUEST_JOB || request->kind == REQUEST_CANCEL    ? JOB_MS
                      : is_config_change(request) || request->kind == REQUEST_CONFIG_GET ? CONFIG_MS
                                                                                         : READ_MS;
    int64_t wait_ms = request->wait_ms > 2LL * MARGIN_MS ? request->wait_ms - MARGIN_MS : request->wait_ms / 2;
    return wait_ms > 0 && wait_ms < most_ms ? wait_ms : most_ms;
}

/* Whether this process is ready: it knows a leader and is not leaving. */
static struct api_response readiness(struct controller *c)
{
    if (c->leaving || !directory_leader(&c->directory))
        return api_response_error(REQUEST_READY, ERROR_UNAVAILABLE, 0, NULL);
    return api_response_done(REQUEST_READY);
}

/* Answers a request that the codec could not read; an order of an operator is a logged event, too. */
static void refuse_unread(struct controller *c, int64_t slot, const struct http_request *web, int error,
                          const struct validation_error *validation_error)
{
    char *detail = NULL;
    if (web->entry == ENTRY_OPERATORS && (!strcmp(web->method, "PUT") || !strcmp(web->method, "PATCH")))
        world_note(c->w, EV_ORDER_REFUSED, "path=%.100s problem=%s at=%s expected=%s", web->path,
                   error_response(error)->name, validation_error->path, validation_error->expected);
    if (*validation_error->path || *validation_error->expected)
        detail = must_printf("%s: expected %s", validation_error->path, validation_error->expected);
    struct api_response answer = api_response_error(REQUEST_NONE, error, 0, detail);
    http_respond(c, slot, &answer);
    free(detail);
}

static void relay_new(struct controller *c, int64_t slot, const struct api_request *request)
{
    struct relayed_request *r = must_alloc(sizeof *r);
    int64_t number = slab_take(&c->requests, sizeof(struct relayed_request *)), now_ms = world_ms(c->w);
    *(struct relayed_request **)slab_at(&c->requests, number) = r;
    *r = (struct relayed_request){.slot = slot, .number = number, .request = *request, .born_ms = now_ms};
    r->due_ms = now_ms + time_limit_ms(request);
    send_to_leader(c, r);
}

void relayed_request(struct controller *c, int64_t slot, const struct http_request *web)
{
    struct api_request request = {0};
    struct validation_error validation_error = {0};
    struct api_response answer;
    int rc = c->setup.codec->read(&request, web, &validation_error);
    if (rc) {
        refuse_unread(c, slot, web, rc, &validation_error);
        return; /* the request is empty */
    }
    switch (request.kind) {
    case REQUEST_READY: answer = readiness(c); break;
    case REQUEST_NONE:
    case REQUEST_HEARTBEAT: answer = api_response_error(request.kind, ERROR_NOT_FOUND, 0, NULL); break;
    default: relay_new(c, slot, &request); return;
    }
    http_respond(c, slot, &answer);
    schema_free(&api_request_schema, &request);
}

/* The error to return for a refusal. If a change was sent more than once, one copy may have been taken although another
 * was refused, so the refusal becomes ERROR_OUTCOME_UNKNOWN; errors that any copy would have got are returned as they
 * are. */
static int64_t refusal(const struct relayed_request *r, int64_t error)
{
    int same = error == ERROR_NONE || error == ERROR_BAD_JSON || error == ERROR_BAD_FIELD || error == ERROR_BAD_STEPS ||
               error == ERROR_TOO_LARGE || error == ERROR_KEY_TAKEN || error == ERROR_GONE;
    return same || !is_change(r) || r->sends < 2 ? error : ERROR_OUTCOME_UNKNOWN;
}

/* Refused by a controller that does not lead: others may go on naming it, and a request may be as large as a
 * configuration, so that it is sent there ever more seldom. */
static void hold(struct controller *c, struct relayed_request *r)
{
    r->hold_ms = r->hold_ms ? 2 * r->hold_ms : TIMER_MS;
    if (r->hold_ms > RESEND_MS)
        r->hold_ms = RESEND_MS;
    r->held_until_ms = world_ms(c->w) + r->hold_ms;
}

static int is_held(const struct controller *c, const struct relayed_request *r)
{
    return c->directory.term == r->sent_term && world_ms(c->w) < r->held_until_ms;
}

static void own_answer(struct controller *c, int64_t number, int64_t from, const struct api_response *answer)
{
    struct relayed_request *r = relay_at(c, number);
    if (!r)
        return;
    if (answer->error == ERROR_NOT_LEADER) {
        if (r->sent_to != from)
            return;
        r->sent_to = 0;
        hold(c, r);
        if (c->directory.leader == from && from != (int64_t)c->w->self)
            directory_suspect_leader(&c->directory);
        return; /* the timer sends it again */
    }
    struct api_response told = *answer;
    told.error = refusal(r, answer->error);
    if (told.error != answer->error)
        told.retry_ms = 0;
    finish(c, r, &told);
}

void relay_answer(struct controller *c, int64_t ticket, const struct api_response *answer)
{
    if (!(ticket & 1)) {
        own_answer(c, ticket / 2, (int64_t)c->w->self, answer);
        return;
    }
    struct served_request *at = slab_at(&c->served, ticket / 2);
    if (!at)
        return;
    struct served_request served = *at;
    struct forwarded_response m = {.boot = served.boot, .ticket = served.ticket, .answer = *answer};
    slab_free(&c->served, ticket / 2);
    controller_send(c, served.from, FRAME_RESPONSE, &forwarded_response_schema, &m);
}

static int is_served(struct controller *c, int64_t from, const struct forwarded_request *m)
{
    for (int64_t i = 0; i < c->served.cap; i++) {
        const struct served_request *s = slab_at(&c->served, slab_number(&c->served, i));
        if (s && s->from == from && s->boot == m->boot && s->ticket == m->ticket)
            return 1;
    }
    return 0;
}

static void on_request(struct controller *c, int64_t from, const struct forwarded_request *m)
{
    if (!dispatch_is_leader(c->dispatch) || m->term != c->log.term) {
        struct forwarded_response no = {.boot = m->boot,
                                        .ticket = m->ticket,
                                        .answer = api_response_error(m->request.kind, ERROR_NOT_LEADER, 0, NULL)};
        controller_send(c, from, FRAME_RESPONSE, &forwarded_response_schema, &no);
        return;
    }
    if (is_served(c, from, m))
        return;
    int64_t number = slab_take(&c->served, sizeof(struct served_request));
    *(struct served_request *)slab_at(&c->served, number) =
        (struct served_request){.from = from, .boot = m->boot, .ticket = m->ticket};
    dispatch_request(c->dispatch, served_ticket(number), &m->request);
}

void relay_take(struct controller *c, const struct frame *frame)
{
    int64_t from = (int64_t)frame->from;
    if (frame->kind == FRAME_REQUEST) {
        struct forwarded_request m = {0};
        if (!schema_unpack(&forwarded_request_schema, &m, frame->body, frame->len))
            on_request(c, from, &m);
        schema_free(&forwarded_request_schema, &m);
        return;
    }
    struct forwarded_response m = {0};
    if (!schema_unpack(&forwarded_response_schema, &m, frame->body, frame->len) && m.boot == c->setup.boot)
        own_answer(c, m.ticket, from, &m.answer);
    schema_free(&forwarded_response_schema, &m);
}

static void give_up(struct controller *c, struct relayed_request *r)
{
    if (r->sends && is_change(r))
        finish_with_error(c, r, ERROR_OUTCOME_UNKNOWN, 0);
    else
        finish_with_error(c, r, ERROR_UNAVAILABLE, 1000);
}

void relay_on_timer(struct controller *c)
{
    int64_t now_ms = world_ms(c->w);
    if (!c->requests.used || now_ms < c->relay_ms)
        return;
    c->relay_ms = now_ms + TIMER_MS;
    for (int64_t i = 0; i < c->requests.cap; i++) {
        struct relayed_request *r = relay_at(c, slab_number(&c->requests, i));
        if (!r)
            continue;
        if (now_ms >= r->due_ms || (!r->sends && is_change(r) && now_ms - r->born_ms >= NEVER_SENT_MS)) {
            give_up(c, r);
            continue;
        }
        int64_t leader = directory_leader(&c->directory);
        int silent = r->sent_to && now_ms - r->sent_ms >= RESEND_MS;
        /* our own dispatch answers each ticket once, when it can */
        if (r->sent_to == (int64_t)c->w->self && leader == r->sent_to && dispatch_is_leader(c->dispatch))
            continue;
        if (silent && leader == r->sent_to) {
            directory_suspect_leader(&c->directory);
            leader = 0;
        }
        if (leader && leader != r->sent_to && !is_held(c, r))
            send_to_leader(c, r);
        else if (silent && !leader)
            r->sent_to = 0; /* whoever is known to lead next gets it again */
    }
}

void relay_give_up(struct controller *c)
{
    for (int64_t i = 0; i < c->requests.cap; i++) {
        struct relayed_request *r = relay_at(c, slab_number(&c->requests, i));
        if (r)
            give_up(c, r);
    }
}

void relay_end(struct controller *c)
{
    for (int64_t i = 0; i < c->requests.cap; i++) {
        struct relayed_request *r = relay_at(c, slab_number(&c->requests, i));
        if (r) {
            schema_free(&api_request_schema, &r->request);
            free(r);
        }
    }
    slab_end(&c->requests);
    slab_end(&c->served);
}
