/* HTTP server: libmicrohttpd, driven by the libev loop through its epoll descriptor. A request without an immediate
 * response is suspended, and resumed when the response is given. */
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/error.h"
#include "base/events.h"
#include "controller/codec.h"
#include "proc/runtime.h"

enum {
    BODY_MAX = 8 << 20,
    BODY_TIMEOUT_MS = 60000, /* from the head of a request to the end of its body */
    CONNECTION_MEMORY_BYTES = 32 << 10,
    CONNECTIONS_MAX = 3000,
    IDLE_TIMEOUT_S = 60,
    BACKLOG = 1024
};

/* A request. head_ms: when its head was received. Invariant: slot is its cell in runtime->requests from when the whole
 * body was received until the connection has completed the request. */
struct request {
    struct runtime *runtime;
    struct MHD_Connection *connection;
    char *path, *response_body;
    struct bytes body;
    int64_t slot, retry_ms, head_ms;
    int status, too_large, dispatched, suspended;
};

struct request_cell {
    struct request *request;
};

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

static enum MHD_Result queue_response(struct request *request)
{
    struct MHD_Response *response =
        MHD_create_response_from_buffer(strlen(request->response_body), request->response_body, MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, "Content-Type", "application/json");
    if (request->retry_ms) {
        char seconds[24];
        snprintf(seconds, sizeof seconds, "%lld", (long long)((request->retry_ms + 999) / 1000));
        MHD_add_response_header(response, "Retry-After", seconds);
    }
    if (request->runtime->role.on_request && request->runtime->leaving_ms)
        MHD_add_response_header(response, "Connection", "close");
    enum MHD_Result result = MHD_queue_response(request->connection, (unsigned)request->status, response);
    MHD_destroy_response(response);
    return result;
}

void http_server_respond(struct world *world, int64_t slot, int status, int64_t retry_ms, const char *body)
{
    struct runtime *runtime = (struct runtime *)world;
    struct request_cell *cell = slab_at(&runtime->requests, slot);
    if (!cell || cell->request->response_body)
        return;
    struct request *request = cell->request;
    request->status = status;
    request->retry_ms = retry_ms;
    request->response_body = must_dup(body ? body : "");
    if (request->suspended) {
        request->suspended = 0;
        MHD_resume_connection(request->connection);
        runtime->responses_pending = 1;
        ev_timer_stop(runtime->loop, &runtime->daemon_timer);
        ev_timer_set(&runtime->daemon_timer, 0., 0.);
        ev_timer_start(runtime->loop, &runtime->daemon_timer);
    }
}

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
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(request->connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    const struct http_listener *listener = info->socket_context;
    struct http_request http_request = {.entry = listener->entry,
                                        .method = method,
                                        .path = request->path,
                                        .body = body,
                                        .len = request->body.len,
                                        .header = header_of,
                                        .arg = request->connection};
    runtime->role.on_request(runtime->role.arg, request->slot, &http_request);
}

/* Appends a part of the body. MHD_NO closes the connection. */
static enum MHD_Result body_add(struct request *request, const char *data, size_t size)
{
    struct world *world = &request->runtime->base;
    if (world_ms(world) - request->head_ms > BODY_TIMEOUT_MS) {
        world_note(world, EV_REQUEST_DROPPED, "slow path=%.100s bytes=%lld", request->path,
                   (long long)request->body.len);
        return MHD_NO;
    }
    if (request->body.len + (int64_t)size <= BODY_MAX) {
        bytes_add(&request->body, data, (int64_t)size);
        return MHD_YES;
    }
    if (!request->too_large)
        world_note(world, EV_REQUEST_DROPPED, "large path=%.100s most=%d", request->path, BODY_MAX);
    request->too_large = 1;
    return MHD_YES;
}

static enum MHD_Result handle(void *arg, struct MHD_Connection *connection, const char *url, const char *method,
                              const char *version, const char *data, size_t *size, void **cls)
{
    struct runtime *runtime = arg;
    struct request *request = *cls;
    (void)url, (void)version;
    if (!request)
        return MHD_NO;
    if (!request->connection) {
        request->connection = connection;
        request->head_ms = world_ms(&runtime->base);
        return MHD_YES;
    }
    if (*size) {
        enum MHD_Result result = body_add(request, data, *size);
        *size = 0;
        return result;
    }
    if (request->response_body)
        return queue_response(request);
    if (request->dispatched)
        return MHD_YES;
    request->dispatched = 1;
    request->slot = slab_take(&runtime->requests, sizeof(struct request_cell));
    ((struct request_cell *)slab_at(&runtime->requests, request->slot))->request = request;
    if (runtime->closing)
        world_answer(&runtime->base, request->slot, ERROR_UNAVAILABLE, "this process is stopping");
    else if (request->too_large)
        world_answer(&runtime->base, request->slot, ERROR_TOO_LARGE, "the body is over %d bytes", BODY_MAX);
    else
        request_dispatch(request, method);
    if (request->response_body)
        return queue_response(request);
    request->suspended = 1;
    MHD_suspend_connection(connection);
    return MHD_YES;
}

static void *request_begin(void *arg, const char *uri, struct MHD_Connection *connection)
{
    struct request *request = must_alloc(sizeof *request);
    (void)connection;
    request->runtime = arg;
    request->path = must_dup(uri);
    return request;
}

static void request_completed(void *arg, struct MHD_Connection *connection, void **cls,
                              enum MHD_RequestTerminationCode code)
{
    struct request *request = *cls;
    (void)arg, (void)connection, (void)code;
    if (!request)
        return;
    slab_free(&request->runtime->requests, request->slot);
    free(request->path);
    free(request->response_body);
    bytes_free(&request->body);
    free(request);
    *cls = NULL;
}

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

static struct sockaddr_in address(uint64_t addr)
{
    struct sockaddr_in socket_addr = {.sin_family = AF_INET, .sin_port = htons((uint16_t)(addr & 0xffff))};
    socket_addr.sin_addr.s_addr = htonl((uint32_t)(addr >> 16));
    return socket_addr;
}

int http_server_start(struct runtime *runtime)
{
    struct sockaddr_in socket_addr = address(runtime->base.http_addr);
    runtime->daemon = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, handle, runtime,
                                       MHD_OPTION_SOCK_ADDR, &socket_addr, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
                                       MHD_OPTION_URI_LOG_CALLBACK, request_begin, runtime, MHD_OPTION_NOTIFY_COMPLETED,
                                       request_completed, runtime, MHD_OPTION_CONNECTION_TIMEOUT, 60u, MHD_OPTION_END);
    return watch_daemon(runtime);
}

/* --- one server with several listeners ------------------------------------------ */

static void connection_event(void *arg, struct MHD_Connection *connection, void **context,
                             enum MHD_ConnectionNotificationCode code)
{
    struct runtime *runtime = arg;
    (void)connection;
    if (code == MHD_CONNECTION_NOTIFY_STARTED)
        *context = &runtime->listeners[runtime->entry];
}

static void listener_event(struct ev_loop *loop, ev_io *io, int events)
{
    struct http_listener *listener = io->data;
    struct runtime *runtime = listener->runtime;
    struct sockaddr_in from;
    socklen_t len = sizeof from;
    int fd, on = 1, accepted = 0;
    (void)loop, (void)events;
    while ((fd = accept4(listener->fd, (struct sockaddr *)&from, &len, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        runtime->entry = listener - runtime->listeners;
        MHD_add_connection(runtime->daemon, fd, (struct sockaddr *)&from, len); /* closes fd if it fails */
        len = sizeof from;
        accepted = 1;
    }
    if (accepted)
        http_server_run(runtime);
}

static enum sagehitch_error listen_at(struct runtime *runtime, int64_t entry, uint64_t addr)
{
    struct http_listener *listener = &runtime->listeners[runtime->n_listeners];
    struct sockaddr_in socket_addr = address(addr);
    int on = 1;
    *listener = (struct http_listener){.runtime = runtime, .entry = entry};
    listener->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (listener->fd < 0)
        return ERROR_BAD_SETTING;
    runtime->n_listeners++;
    setsockopt(listener->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(listener->fd, (struct sockaddr *)&socket_addr, sizeof socket_addr) || listen(listener->fd, BACKLOG)) {
        fprintf(stderr, "sagehitch: cannot listen on %s\n", addr_text(addr));
        return ERROR_BAD_SETTING;
    }
    ev_io_init(&listener->io, listener_event, listener->fd, EV_READ);
    listener->io.data = listener;
    ev_io_start(runtime->loop, &listener->io);
    return ERROR_NONE;
}

enum sagehitch_error http_server_start_listeners(struct runtime *runtime, const int64_t addrs[LISTENERS_MAX])
{
    _Static_assert((int)LISTENERS_MAX == (int)ENTRY_COUNT, "a listener for each entry");
    runtime->daemon = MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_NO_LISTEN_SOCKET | MHD_USE_SUPPRESS_DATE_NO_CLOCK, 0, NULL,
        NULL, handle, runtime, MHD_OPTION_URI_LOG_CALLBACK, request_begin, runtime, MHD_OPTION_NOTIFY_COMPLETED,
        request_completed, runtime, MHD_OPTION_NOTIFY_CONNECTION, connection_event, runtime,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES, MHD_OPTION_CONNECTION_LIMIT,
        (unsigned)CONNECTIONS_MAX, MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)IDLE_TIMEOUT_S, MHD_OPTION_END);
    enum sagehitch_error rc = watch_daemon(runtime);
    for (int64_t entry = 0; !rc && entry < ENTRY_COUNT; entry++)
        if (addrs[entry])
            rc = listen_at(runtime, entry, (uint64_t)addrs[entry]);
    return rc;
}

void http_server_end(struct runtime *runtime)
{
    for (int64_t i = 0; i < runtime->n_listeners; i++)
        close(runtime->listeners[i].fd);
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
