/* Frames: one outgoing TCP connection to each peer, and UDP for frames that may be lost. */
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/frame.h"
#include "base/error.h"
#include "base/events.h"
#include "proc/runtime.h"
#include "proc/socket_address.h"

enum {
    RECONNECT_MS = 100,
    CONNECT_TIMEOUT_MS = 1000,
    STALL_TIMEOUT_MS = 2000,
    CHECK_INTERVAL_MS = 100,
    KEPT_BUFFER_MAX = 16 << 10
};

/* An outgoing connection. Invariants: queue owns a reference to each frame in it; the frame at index first is being
 * sent, and sent_bytes of it have been; the queue is dropped when the connection is lost. progress_ms: when a byte was
 * last sent, or the queue became non-empty. */
struct out_connection {
    struct runtime *runtime;
    uint64_t to;
    int fd;
    ev_io io;
    struct blob **queue;
    int64_t n_queue, first, sent_bytes, queued_bytes, reconnect_ms, opened_ms, progress_ms;
    int connected;
};

/* An incoming connection, in the list runtime->in_connections. received: bytes of a frame that is not complete yet.
 * progress_ms: when it was opened, or bytes were last received. Invariant: runtime->in_bytes is the sum of
 * received.len of all. */
struct in_connection {
    struct runtime *runtime;
    struct in_connection *next, *previous;
    int fd;
    ev_io io;
    struct bytes received;
    int64_t progress_ms;
};

static void out_disconnect(struct out_connection *out)
{
    if (out->fd >= 0) {
        ev_io_stop(out->runtime->loop, &out->io);
        close(out->fd);
    }
    out->fd = -1;
    for (int64_t i = out->first; i < out->n_queue; i++)
        blob_drop(out->queue[i]);
    out->n_queue = out->first = out->sent_bytes = out->queued_bytes = 0;
    out->reconnect_ms = world_ms(&out->runtime->base) + RECONNECT_MS;
}

/* Sends as much of the queue as the connection accepts now. Returns 0, or -1 if the connection is broken. */
static int out_write(struct out_connection *out)
{
    while (out->first < out->n_queue) {
        struct bytes *frame = &out->queue[out->first]->bytes;
        ssize_t n = send(out->fd, frame->at + out->sent_bytes, (size_t)(frame->len - out->sent_bytes),
                         MSG_DONTWAIT | MSG_NOSIGNAL);
        if (n < 0 && (errno == EAGAIN || errno == ENOTCONN || errno == EINPROGRESS))
            break;
        if (n < 0 && errno == EINTR)
            continue;
        if (n <= 0)
            return -1;
        out->connected = 1;
        out->progress_ms = world_ms(&out->runtime->base);
        out->sent_bytes += n;
        out->queued_bytes -= n;
        if (out->sent_bytes < frame->len)
            continue;
        blob_drop(out->queue[out->first++]);
        out->sent_bytes = 0;
    }
    if (out->first == out->n_queue)
        out->first = out->n_queue = 0;
    return 0;
}

static void out_event(struct ev_loop *loop, ev_io *io, int events)
{
    struct out_connection *out = io->data;
    char sink[256];
    ssize_t n = recv(out->fd, sink, sizeof sink, MSG_DONTWAIT);
    (void)events;
    if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR && errno != ENOTCONN) || out_write(out)) {
        out_disconnect(out);
        return;
    }
    ev_io_stop(loop, io);
    ev_io_set(io, out->fd, EV_READ | (out->n_queue ? EV_WRITE : 0));
    ev_io_start(loop, io);
}

static void out_connect(struct out_connection *out)
{
    struct sockaddr_in to = socket_address(out->to);
    int on = 1;
    out->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (out->fd < 0)
        return;
    setsockopt(out->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    int wait_ms = 3000;
    setsockopt(out->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &wait_ms, sizeof wait_ms);
    if (connect(out->fd, (struct sockaddr *)&to, sizeof to) && errno != EINPROGRESS) {
        close(out->fd);
        out->fd = -1;
        out->reconnect_ms = world_ms(&out->runtime->base) + RECONNECT_MS;
        return;
    }
    out->opened_ms = world_ms(&out->runtime->base);
    out->connected = 0;
    ev_io_init(&out->io, out_event, out->fd, EV_READ | EV_WRITE);
    out->io.data = out;
    ev_io_start(out->runtime->loop, &out->io);
}

static struct out_connection *find_out_connection(struct runtime *runtime, uint64_t to)
{
    for (int64_t i = 0; i < runtime->n_out_connections; i++)
        if (runtime->out_connections[i]->to == to)
            return runtime->out_connections[i];
    struct out_connection *out = must_alloc(sizeof *out);
    *out = (struct out_connection){.runtime = runtime, .to = to, .fd = -1};
    *array_add(runtime->out_connections, runtime->n_out_connections) = out;
    return out;
}

void net_send(struct world *world, uint64_t to, struct blob *frame, int lossy)
{
    struct runtime *runtime = (struct runtime *)world;
    if (lossy && frame->bytes.len < 1400 && runtime->udp_fd >= 0) {
        struct sockaddr_in socket_addr = socket_address(to);
        sendto(runtime->udp_fd, frame->bytes.at, (size_t)frame->bytes.len, MSG_DONTWAIT,
               (struct sockaddr *)&socket_addr, sizeof socket_addr);
        return;
    }
    struct out_connection *out = find_out_connection(runtime, to);
    if (out->fd < 0 && world_ms(world) >= out->reconnect_ms)
        out_connect(out);
    /* a frame larger than out_max is sent when nothing else waits: the log stops at an entry that is never sent */
    if (out->fd < 0 || (out->queued_bytes && out->queued_bytes + frame->bytes.len > runtime->out_max))
        return;
    int idle = !out->n_queue;
    if (out->first > 1000) {
        out->n_queue -= out->first;
        memmove(out->queue, out->queue + out->first, sizeof *out->queue * (size_t)out->n_queue);
        out->first = 0;
    }
    *array_add(out->queue, out->n_queue) = blob_hold(frame);
    out->queued_bytes += frame->bytes.len;
    if (!idle)
        return;
    out->progress_ms = world_ms(world);
    /* sent at once: this iteration of the loop may go on to a disk sync, and the frame must not wait for that */
    if (!out->connected || out_write(out) || out->n_queue) {
        ev_io_stop(runtime->loop, &out->io);
        ev_io_set(&out->io, out->fd, EV_READ | EV_WRITE);
        ev_io_start(runtime->loop, &out->io);
    }
}

void net_on_timer(struct runtime *runtime)
{
    int64_t now_ms = world_ms(&runtime->base);
    if (now_ms < runtime->next_connection_check_ms)
        return;
    runtime->next_connection_check_ms = now_ms + CHECK_INTERVAL_MS;
    for (int64_t i = 0; i < runtime->n_out_connections; i++) {
        struct out_connection *out = runtime->out_connections[i];
        if (out->fd >= 0 && ((!out->connected && out->n_queue && now_ms - out->opened_ms > CONNECT_TIMEOUT_MS) ||
                             (out->n_queue && now_ms - out->progress_ms > STALL_TIMEOUT_MS)))
            out_disconnect(out);
    }
}

static void in_open(struct runtime *runtime, struct in_connection *in)
{
    in->next = runtime->in_connections;
    if (in->next)
        in->next->previous = in;
    runtime->in_connections = in;
    runtime->n_in_connections++;
    in->progress_ms = world_ms(&runtime->base);
    ev_io_start(runtime->loop, &in->io);
}

static void in_close(struct in_connection *in)
{
    if (in->next)
        in->next->previous = in->previous;
    if (in->previous)
        in->previous->next = in->next;
    else
        in->runtime->in_connections = in->next;
    in->runtime->n_in_connections--;
    in->runtime->in_bytes -= in->received.len;
    ev_io_stop(in->runtime->loop, &in->io);
    close(in->fd);
    bytes_free(&in->received);
    free(in);
}

/* The incoming connection without progress for the longest time, except one; with bytes of an incomplete frame only, if
 * holding is set. NULL: there is none. */
static struct in_connection *idlest_connection(struct runtime *runtime, const struct in_connection *except, int holding)
{
    struct in_connection *idlest = NULL;
    for (struct in_connection *in = runtime->in_connections; in; in = in->next)
        if (in != except && (!holding || in->received.len) && (!idlest || in->progress_ms < idlest->progress_ms))
            idlest = in;
    return idlest;
}

/* Makes room for n more bytes of an incomplete frame: connections that hold some give way, the idlest first. Returns 0
 * if there is no room even so. */
static int in_reserve(struct in_connection *in, int64_t n)
{
    struct runtime *runtime = in->runtime;
    while (runtime->in_bytes_max && runtime->in_bytes + n > runtime->in_bytes_max) {
        struct in_connection *idlest = idlest_connection(runtime, in, 1);
        if (!idlest)
            return 0;
        world_note(&runtime->base, EV_FRAME_DROPPED, "incomplete frame of %lld bytes, no room",
                   (long long)idlest->received.len);
        in_close(idlest);
    }
    return 1;
}

static void in_remove(struct in_connection *in, int64_t n)
{
    in->received.len -= n;
    in->runtime->in_bytes -= n;
    if (!in->received.len && in->received.cap > KEPT_BUFFER_MAX)
        bytes_free(&in->received);
    if (n && in->received.len)
        memmove(in->received.at, in->received.at + n, (size_t)in->received.len);
}

static void in_event(struct ev_loop *loop, ev_io *io, int events)
{
    struct in_connection *in = io->data;
    char chunk[65536];
    (void)loop, (void)events;
    ssize_t n = recv(in->fd, chunk, sizeof chunk, MSG_DONTWAIT);
    if (n < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (n <= 0 || !in_reserve(in, n)) {
        in_close(in);
        return;
    }
    in->progress_ms = world_ms(&in->runtime->base);
    in->runtime->in_bytes += n;
    bytes_add(&in->received, chunk, n);
    int64_t offset = 0;
    while (in->received.len - offset >= FRAME_HEAD) {
        int64_t len = frame_length(in->received.at + offset, in->runtime->cluster);
        if (len < 0) {
            /* the role drops and counts the bytes; the rest of the stream cannot be decoded */
            in->runtime->role.on_frame(in->runtime->role.arg, in->received.at + offset, in->received.len - offset);
            in_close(in);
            return;
        }
        if (in->received.len - offset < len)
            break;
        in->runtime->role.on_frame(in->runtime->role.arg, in->received.at + offset, len);
        offset += len;
    }
    in_remove(in, offset);
}

static void listen_event(struct ev_loop *loop, ev_io *io, int events)
{
    struct runtime *runtime = io->data;
    int fd;
    (void)loop, (void)events;
    while ((fd = accept4(runtime->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
        if (runtime->in_connections_max && runtime->n_in_connections >= runtime->in_connections_max)
            in_close(idlest_connection(runtime, NULL, 0));
        struct in_connection *in = must_alloc(sizeof *in);
        *in = (struct in_connection){.runtime = runtime, .fd = fd};
        ev_io_init(&in->io, in_event, fd, EV_READ);
        in->io.data = in;
        in_open(runtime, in);
    }
}

static void udp_event(struct ev_loop *loop, ev_io *io, int events)
{
    struct runtime *runtime = io->data;
    uint8_t datagram[2000];
    (void)loop, (void)events;
    for (int i = 0; i < 64; i++) {
        ssize_t n = recv(runtime->udp_fd, datagram, sizeof datagram, MSG_DONTWAIT);
        if (n <= 0)
            return;
        runtime->role.on_frame(runtime->role.arg, datagram, n);
    }
}

enum sagehitch_error net_start(struct runtime *runtime)
{
    struct sockaddr_in socket_addr = socket_address(runtime->base.self);
    int on = 1;
    runtime->listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    runtime->udp_fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    setsockopt(runtime->listen_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(runtime->listen_fd, (struct sockaddr *)&socket_addr, sizeof socket_addr) ||
        listen(runtime->listen_fd, 1024) || bind(runtime->udp_fd, (struct sockaddr *)&socket_addr, sizeof socket_addr))
        return ERROR_BAD_SETTING;
    ev_io_init(&runtime->listen_io, listen_event, runtime->listen_fd, EV_READ);
    runtime->listen_io.data = runtime;
    ev_io_start(runtime->loop, &runtime->listen_io);
    ev_io_init(&runtime->udp_io, udp_event, runtime->udp_fd, EV_READ);
    runtime->udp_io.data = runtime;
    ev_io_start(runtime->loop, &runtime->udp_io);
    return ERROR_NONE;
}

void net_end(struct runtime *runtime)
{
    while (runtime->in_connections)
        in_close(runtime->in_connections);
    for (int64_t i = 0; i < runtime->n_out_connections; i++) {
        out_disconnect(runtime->out_connections[i]);
        free(runtime->out_connections[i]->queue);
        free(runtime->out_connections[i]);
    }
    free(runtime->out_connections);
    if (runtime->listen_fd >= 0)
        close(runtime->listen_fd);
    if (runtime->udp_fd >= 0)
        close(runtime->udp_fd);
}
