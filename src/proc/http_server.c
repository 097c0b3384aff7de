/* HTTP server: libmicrohttpd, driven by the libev loop through its epoll descriptor. A request without an immediate
 * response is suspended, and resumed when the response is given. What clients may make the process hold is limited
 * (client_limits.h); a request that exceeds a limit is refused, and its body is not kept. */
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "controller/codec.h"
#include "proc/http_server_state.h"

enum {
    IDLE_TIMEOUT_S = 60,
    CLIENT_CONNECTIONS_MAX = 4096 /* of the library; http_connection_make_room() keeps within the limits */
};

static const struct machine_limits machine_limits_default = {.memory_bytes = 256 << 20, .descriptors = 4096};

void http_server_flush(struct runtime *runtime)
{
    if (runtime->responses_pending)
        http_server_run(runtime);
}

void http_server_run(struct runtime *runtime)
{
    runtime->responses_pending = 0;
    MHD_run(runtime->daemon);
    MHD_UNSIGNED_LONG_LONG wait_ms;
    ev_timer_stop(runtime->loop, &runtime->daemon_timer);
    if (MHD_get_timeout(runtime->daemon, &wait_ms) == MHD_YES) {
        ev_timer_set(&runtime->daemon_timer, wait_ms < 1 ? 0.001 : (double)wait_ms / 1000., 0.);
        ev_timer_start(runtime->loop, &runtime->daemon_timer);
    }
}

static void daemon_event(struct ev_loop *loop, ev_io *io, int events)
{
    (void)loop, (void)events;
    http_server_run(io->data);
}

static void daemon_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop, (void)events;
    http_server_run(timer->data);
}

/* --- requests ---------------------------------------------------------------- */

static const char *header_of(const struct http_request *http_request, const char *name)
{
    return MHD_lookup_connection_value(http_request->arg, MHD_HEADER_KIND, name);
}

static void request_dispatch(struct request *request, const char *method)
{
    struct runtime *runtime = request->runtime;
    const char *body = request->body.len ? (char *)request->body.at : "";
    if (!runtime->role.on_request) {
        runtime->role.on_plain_request(runtime->role.arg, request->slot, method, request->path, body,
                                       request->body.len);
        return;
    }
    struct http_request http_request = {.entry = request->connection->entry,
                                        .method = method,
                                        .path = request->path,
                                        .body = body,
                                        .len = request->body.len,
                                        .header = header_of,
                                        .arg = request->mhd};
    runtime->role.on_request(runtime->role.arg, request->slot, &http_request);
}

/* The size of the body according to the head; -1: it is not announced. */
static int64_t announced_bytes(struct MHD_Connection *mhd)
{
    const char *coding = MHD_lookup_connection_value(mhd, MHD_HEADER_KIND, "Transfer-Encoding");
    const char *length = MHD_lookup_connection_value(mhd, MHD_HEADER_KIND, "Content-Length");
    if (coding && *coding)
        return -1;
    return length ? text_to_int64(length) : 0;
}

/* Whether a request of this method may be answered before its body was received: the library does that for these. */
static int may_answer_early(const char *method) { return !strcmp(method, "POST") || !strcmp(method, "PUT"); }

/* Handles the head of a request: one that exceeds a limit is refused before its body is received. */
static enum MHD_Result request_head(struct request *request, struct MHD_Connection *mhd, const char *method)
{
    struct runtime *runtime = request->runtime;
    request->mhd = mhd;
    request->head_ms = world_ms(&runtime->base);
    request->announced_bytes = announced_bytes(mhd);
    request->slot = slab_take(&runtime->requests, sizeof(struct request_cell));
    ((struct request_cell *)slab_at(&runtime->requests, request->slot))->request = request;
    http_connection_enter(runtime, request->connection, CONNECTION_RECEIVING);
    if (request->announced_bytes > 0)
        http_body_reserve(request, request->announced_bytes);
    if (!request->refusal || !may_answer_early(method))
        return MHD_YES;
    request->dispatched = 1;
    http_body_answer_refusal(request);
    return http_response_queue(request);
}

/* Handles a request whose body is complete. */
static void request_complete(struct request *request, const char *method)
{
    struct runtime *runtime = request->runtime;
    request->dispatched = 1;
    http_connection_enter(runtime, request->connection, CONNECTION_SERVED);
    http_body_check(request);
    if (runtime->closing)
        world_answer(&runtime->base, request->slot, ERROR_UNAVAILABLE, "this process is stopping");
    else if (request->refusal)
        http_body_answer_refusal(request);
    else
        request_dispatch(request, method);
    bytes_free(&request->body);
    if (request->connection->entry != ENTRY_OPERATORS) /* their requests go on to the leader as long as they are */
        client_budget_release(&runtime->budget, &request->body_charge);
}

static enum MHD_Result handle(void *arg, struct MHD_Connection *mhd, const char *url, const char *method,
                              const char *version, const char *data, size_t *size, void **cls)
{
    struct request *request = *cls;
    (void)arg, (void)url, (void)version;
    if (!request || !request->connection)
        return MHD_NO;
    if (!request->mhd)
        return request_head(request, mhd, method);
    if (*size) {
        enum MHD_Result result = http_body_add(request, data, (int64_t)*size);
        *size = 0;
        return result;
    }
    if (!request->dispatched)
        request_complete(request, method);
    if (request->response_body)
        return http_response_queue(request);
    if (!request->suspended) {
        request->suspended = 1;
        MHD_suspend_connection(mhd);
    }
    return MHD_YES;
}

/* --- connections ------------------------------------------------------------- */

static struct http_connection *connection_of(struct MHD_Connection *mhd)
{
    return MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT)->socket_context;
}

static void connection_event(void *arg, struct MHD_Connection *mhd, void **context,
                             enum MHD_ConnectionNotificationCode code)
{
    struct runtime *runtime = arg;
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        int fd = MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
        *context = http_connection_open(runtime, runtime->entry, fd);
    } else if (*context) {
        http_connection_close(runtime, *context);
        *context = NULL;
    }
}

static void *request_begin(void *arg, const char *uri, struct MHD_Connection *mhd)
{
    struct request *request = must_alloc(sizeof *request);
    request->runtime = arg;
    request->path = must_dup(uri);
    request->connection = connection_of(mhd);
    if (request->connection)
        request->connection->request = request;
    return request;
}

static void request_completed(void *arg, struct MHD_Connection *mhd, void **cls, enum MHD_RequestTerminationCode code)
{
    struct request *request = *cls;
    (void)arg, (void)mhd, (void)code;
    if (!request)
        return;
    struct runtime *runtime = request->runtime;
    http_body_free(request);
    client_budget_release(&runtime->budget, &request->response_charge);
    slab_free(&runtime->requests, request->slot);
    if (request->connection) {
        request->connection->request = NULL;
        http_connection_enter(runtime, request->connection, CONNECTION_WAITING);
    }
    free(request->path);
    free(request->response_body);
    free(request);
    *cls = NULL;
}

/* --- start and end ----------------------------------------------------------- */

static enum sagehitch_error watch_daemon(struct runtime *runtime)
{
    if (!runtime->daemon)
        return ERROR_BAD_SETTING;
    const union MHD_DaemonInfo *info = MHD_get_daemon_info(runtime->daemon, MHD_DAEMON_INFO_EPOLL_FD);
    ev_io_init(&runtime->daemon_io, daemon_event, info->epoll_fd, EV_READ);
    runtime->daemon_io.data = runtime;
    ev_io_start(runtime->loop, &runtime->daemon_io);
    ev_timer_init(&runtime->daemon_timer, daemon_timer, 0.01, 0.);
    runtime->daemon_timer.data = runtime;
    ev_timer_start(runtime->loop, &runtime->daemon_timer);
    return ERROR_NONE;
}

void http_server_limit(struct runtime *runtime, const struct machine_limits *machine)
{
    int64_t served[CLIENT_ENTRIES] = {0};
    for (int64_t i = 0; i < runtime->n_listeners; i++)
        served[runtime->listeners[i].entry] = 1;
    client_limits_derive(&runtime->budget.limits, machine, served);
}

enum sagehitch_error http_server_start_listeners(struct runtime *runtime, const int64_t addrs[LISTENERS_MAX])
{
    runtime->daemon = MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_NO_LISTEN_SOCKET | MHD_USE_SUPPRESS_DATE_NO_CLOCK, 0, NULL,
        NULL, handle, runtime, MHD_OPTION_URI_LOG_CALLBACK, request_begin, runtime, MHD_OPTION_NOTIFY_COMPLETED,
        request_completed, runtime, MHD_OPTION_NOTIFY_CONNECTION, connection_event, runtime,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES, MHD_OPTION_CONNECTION_LIMIT,
        (unsigned)CLIENT_CONNECTIONS_MAX, MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)IDLE_TIMEOUT_S, MHD_OPTION_END);
    enum sagehitch_error rc = watch_daemon(runtime);
    if (!rc)
        rc = http_listeners_open(runtime, addrs);
    http_server_limit(runtime, &machine_limits_default);
    return rc;
}

int http_server_start(struct runtime *runtime)
{
    const int64_t addrs[LISTENERS_MAX] = {[ENTRY_CALLERS] = (int64_t)runtime->base.http_addr};
    return http_server_start_listeners(runtime, addrs);
}

void http_server_end(struct runtime *runtime)
{
    http_listeners_close(runtime);
    if (!runtime->daemon)
        return;
    runtime->closing = 1; /* the role has ended: later requests must not reach it */
    for (int64_t i = 0; i < runtime->requests.cap; i++) {
        struct request_cell *cell = slab_at(&runtime->requests, slab_number(&runtime->requests, i));
        if (cell && cell->request->suspended)
            world_answer(&runtime->base, cell->request->slot, ERROR_UNAVAILABLE, "this process is stopping");
    }
    MHD_run(runtime->daemon);
    MHD_stop_daemon(runtime->daemon);
    slab_end(&runtime->requests);
}
