/* The listening sockets of the HTTP server. A connection is accepted only if there is room for it; otherwise it waits
 * in the queue of the kernel. */
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include "controller/codec.h"
#include "proc/http_server_state.h"
#include "proc/socket_address.h"

enum {
    BACKLOG = 1024,
    PAUSE_MS = 50 /* how long a listener without room accepts nothing */
};

static void pause_end(struct ev_loop *loop, ev_timer *timer, int events)
{
    struct http_listener *listener = timer->data;
    (void)events;
    ev_io_start(loop, &listener->io);
}

static void pause_begin(struct http_listener *listener)
{
    struct ev_loop *loop = listener->runtime->loop;
    ev_io_stop(loop, &listener->io);
    ev_timer_set(&listener->pause, PAUSE_MS / 1000., 0.);
    ev_timer_start(loop, &listener->pause);
}

/* Whether a connection can be accepted. */
static int is_pending(const struct http_listener *listener)
{
    struct pollfd polled = {.fd = listener->fd, .events = POLLIN};
    return poll(&polled, 1, 0) > 0;
}

/* Accepts one connection. Returns 0, or -1 if there is none to accept now. */
static int accept_one(struct http_listener *listener)
{
    struct runtime *runtime = listener->runtime;
    struct sockaddr_in from;
    socklen_t len = sizeof from;
    int on = 1;
    if (!http_connection_has_room(runtime, listener->entry)) {
        if (!is_pending(listener))
            return -1;
        if (!http_connection_make_room(runtime, listener->entry)) {
            pause_begin(listener);
            return -1;
        }
    }
    int fd = accept4(listener->fd, (struct sockaddr *)&from, &len, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
        if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM)
            pause_begin(listener); /* the socket stays readable, so that the loop would not rest */
        return -1;
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    runtime->entry = listener->entry;
    MHD_add_connection(runtime->daemon, fd, (struct sockaddr *)&from, len); /* closes fd if it fails */
    return 0;
}

static void listener_event(struct ev_loop *loop, ev_io *io, int events)
{
    struct http_listener *listener = io->data;
    int accepted = 0;
    (void)loop, (void)events;
    while (!accept_one(listener))
        accepted = 1;
    if (accepted || listener->runtime->n_closing[listener->entry])
        http_server_run(listener->runtime);
}

static enum sagehitch_error listen_at(struct runtime *runtime, int64_t entry, uint64_t addr)
{
    struct http_listener *listener = &runtime->listeners[runtime->n_listeners];
    struct sockaddr_in socket_addr = socket_address(addr);
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
    ev_timer_init(&listener->pause, pause_end, PAUSE_MS / 1000., 0.);
    listener->pause.data = listener;
    ev_io_init(&listener->io, listener_event, listener->fd, EV_READ);
    listener->io.data = listener;
    ev_io_start(runtime->loop, &listener->io);
    return ERROR_NONE;
}

enum sagehitch_error http_listeners_open(struct runtime *runtime, const int64_t addrs[LISTENERS_MAX])
{
    _Static_assert((int)LISTENERS_MAX == (int)ENTRY_COUNT, "a listener for each entry");
    _Static_assert((int)CLIENT_ENTRIES == (int)ENTRY_COUNT, "limits for each entry");
    enum sagehitch_error rc = ERROR_NONE;
    for (int64_t entry = 0; !rc && entry < ENTRY_COUNT; entry++)
        if (addrs[entry])
            rc = listen_at(runtime, entry, (uint64_t)addrs[entry]);
    return rc;
}

void http_listeners_close(struct runtime *runtime)
{
    for (int64_t i = 0; i < runtime->n_listeners; i++) {
        ev_io_stop(runtime->loop, &runtime->listeners[i].io);
        ev_timer_stop(runtime->loop, &runtime->listeners[i].pause);
        close(runtime->listeners[i].fd);
    }
}
