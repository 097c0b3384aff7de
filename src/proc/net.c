/* Frames: one outgoing TCP connection for each peer, and UDP for frames that may be lost. */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/frame.h"
#include "base/error.h"
#include "proc/runtime.h"

enum { AGAIN_MS = 100, CONNECT_MS = 1000, STUCK_MS = 2000, CHECK_MS = 100, SMALL = 16 << 10 };

/* An outgoing connection. Invariants: queue owns a reference to each frame in it; frame `first` is being sent, `sent`
 * bytes of it are; everything is dropped with a lost connection. waiting: bytes queued; moved_ms: when a byte was last
 * sent, or the queue became non-empty. */
struct net_out {
    struct runtime *runtime;
    uint64_t to;
    int fd;
    ev_io io;
    struct blob **queue;
    int64_t n, first, sent, waiting, again_ms, opened_ms, moved_ms;
    int connected;
};

/* An incoming connection, in the list real->ins; got: bytes of a frame that is not complete. */
struct net_in {
    struct runtime *runtime;
    struct net_in *next, *previous;
    int fd;
    ev_io io;
    struct bytes got;
};

static struct sockaddr_in address(uint64_t addr)
{
    struct sockaddr_in in = {.sin_family = AF_INET, .sin_port = htons((uint16_t)(addr & 0xffff))};
    in.sin_addr.s_addr = htonl((uint32_t)(addr >> 16));
    return in;
}

static void out_drop(struct net_out *out)
{
    if (out->fd >= 0) {
        ev_io_stop(out->runtime->loop, &out->io);
        close(out->fd);
    }
    out->fd = -1;
    for (int64_t i = out->first; i < out->n; i++)
        blob_drop(out->queue[i]);
    out->n = out->first = out->sent = out->waiting = 0;
    out->again_ms = world_ms(&out->runtime->base) + AGAIN_MS;
}

/* Writes as much of the queue as the connection takes now. Returns 0, or -1 where it is broken. */
static int out_write(struct net_out *out)
{
    while (out->first < out->n) {
        struct bytes *frame = &out->queue[out->first]->bytes;
        ssize_t n = send(out->fd, frame->at + out->sent, (size_t)(frame->len - out->sent), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (n < 0 && (errno == EAGAIN || errno == ENOTCONN || errno == EINPROGRESS))
            break;
        if (n < 0 && errno == EINTR)
            continue;
        if (n <= 0)
            return -1;
        out->connected = 1;
        out->moved_ms = world_ms(&out->runtime->base);
        out->sent += n;
        out->waiting -= n;
        if (out->sent < frame->len)
            continue;
        blob_drop(out->queue[out->first++]);
        out->sent = 0;
    }
    if (out->first == out->n)
        out->first = out->n = 0;
    return 0;
}

static void out_event(struct ev_loop *loop, ev_io *io, int events)
{
    struct net_out *out = io->data;
    char sink[256];
    ssize_t n = recv(out->fd, sink, sizeof sink, MSG_DONTWAIT);
    (void)events;
    if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR && errno != ENOTCONN) || out_write(out)) {
        out_drop(out);
        return;
    }
    ev_io_stop(loop, io);
    ev_io_set(io, out->fd, EV_READ | (out->n ? EV_WRITE : 0));
    ev_io_start(loop, io);
}

static void out_open(struct net_out *out)
{
    struct sockaddr_in to = address(out->to);
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
        out->again_ms = world_ms(&out->runtime->base) + AGAIN_MS;
        return;
    }
    out->opened_ms = world_ms(&out->runtime->base);
    out->connected = 0;
    ev_io_init(&out->io, out_event, out->fd, EV_READ | EV_WRITE);
    out->io.data = out;
    ev_io_start(out->runtime->loop, &out->io);
}

static struct net_out *out_to(struct runtime *runtime, uint64_t to)
{
    for (int64_t i = 0; i < runtime->n_outs; i++)
        if (runtime->outs[i]->to == to)
            return runtime->outs[i];
    struct net_out *out = must_alloc(sizeof *out);
    *out = (struct net_out){.runtime = runtime, .to = to, .fd = -1};
    *array_add(runtime->outs, runtime->n_outs) = out;
    return out;
}

void net_send(struct world *world, uint64_t to, struct blob *frame, int lossy)
{
    struct runtime *runtime = (struct runtime *)world;
    if (lossy && frame->bytes.len < 1400 && runtime->udp_fd >= 0) {
        struct sockaddr_in in = address(to);
        sendto(runtime->udp_fd, frame->bytes.at, (size_t)frame->bytes.len, MSG_DONTWAIT, (struct sockaddr *)&in,
               sizeof in);
        return;
    }
    struct net_out *out = out_to(runtime, to);
    if (out->fd < 0 && world_ms(world) >= out->again_ms)
        out_open(out);
    if (out->fd < 0 || out->waiting + frame->bytes.len > runtime->out_max)
        return;
    int idle = !out->n;
    if (out->first > 1000) {
        out->n -= out->first;
        memmove(out->queue, out->queue + out->first, sizeof *out->queue * (size_t)out->n);
        out->first = 0;
    }
    *array_add(out->queue, out->n) = blob_hold(frame);
    out->waiting += frame->bytes.len;
    if (!idle)
        return;
    out->moved_ms = world_ms(world);
    /* at once: the turn may go on with a sync, and what is sent here must not wait for it */
    if (!out->connected || out_write(out) || out->n) {
        ev_io_stop(runtime->loop, &out->io);
        ev_io_set(&out->io, out->fd, EV_READ | EV_WRITE);
        ev_io_start(runtime->loop, &out->io);
    }
}

void net_on_timer(struct runtime *runtime)
{
    int64_t now_ms = world_ms(&runtime->base);
    if (now_ms < runtime->outs_due_ms)
        return;
    runtime->outs_due_ms = now_ms + CHECK_MS;
    for (int64_t i = 0; i < runtime->n_outs; i++) {
        struct net_out *out = runtime->outs[i];
        if (out->fd >= 0 && ((!out->connected && out->n && now_ms - out->opened_ms > CONNECT_MS) ||
                             (out->n && now_ms - out->moved_ms > STUCK_MS)))
            out_drop(out);
    }
}

static void in_begin(struct runtime *runtime, struct net_in *in)
{
    in->next = runtime->ins;
    if (in->next)
        in->next->previous = in;
    runtime->ins = in;
    ev_io_start(runtime->loop, &in->io);
}

static void in_end(struct net_in *in)
{
    if (in->next)
        in->next->previous = in->previous;
    if (in->previous)
        in->previous->next = in->next;
    else
        in->runtime->ins = in->next;
    ev_io_stop(in->runtime->loop, &in->io);
    close(in->fd);
    bytes_free(&in->got);
    free(in);
}

static void in_event(struct ev_loop *loop, ev_io *io, int events)
{
    struct net_in *in = io->data;
    char chunk[65536];
    (void)loop, (void)events;
    ssize_t n = recv(in->fd, chunk, sizeof chunk, MSG_DONTWAIT);
    if (n < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (n <= 0) {
        in_end(in);
        return;
    }
    bytes_add(&in->got, chunk, n);
    int64_t off = 0;
    while (in->got.len - off >= FRAME_HEAD) {
        int64_t len = frame_length(in->got.at + off, in->runtime->cluster);
        if (len < 0) {
            /* the role drops and counts it; the rest of the stream cannot be decoded */
            in->runtime->role.on_frame(in->runtime->role.arg, in->got.at + off, in->got.len - off);
            in_end(in);
            return;
        }
        if (in->got.len - off < len)
            break;
        in->runtime->role.on_frame(in->runtime->role.arg, in->got.at + off, len);
        off += len;
    }
    in->got.len -= off;
    if (!in->got.len && in->got.cap > SMALL)
        bytes_free(&in->got);
    if (off && in->got.len)
        memmove(in->got.at, in->got.at + off, (size_t)in->got.len);
}

static void listen_event(struct ev_loop *loop, ev_io *io, int events)
{
    struct runtime *runtime = io->data;
    int fd;
    (void)loop, (void)events;
    while ((fd = accept4(runtime->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
        struct net_in *in = must_alloc(sizeof *in);
        *in = (struct net_in){.runtime = runtime, .fd = fd};
        ev_io_init(&in->io, in_event, fd, EV_READ);
        in->io.data = in;
        in_begin(runtime, in);
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
    struct sockaddr_in at = address(runtime->base.self);
    int on = 1;
    runtime->listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    runtime->udp_fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    setsockopt(runtime->listen_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(runtime->listen_fd, (struct sockaddr *)&at, sizeof at) || listen(runtime->listen_fd, 1024) ||
        bind(runtime->udp_fd, (struct sockaddr *)&at, sizeof at))
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
    while (runtime->ins)
        in_end(runtime->ins);
    for (int64_t i = 0; i < runtime->n_outs; i++) {
        out_drop(runtime->outs[i]);
        free(runtime->outs[i]->queue);
        free(runtime->outs[i]);
    }
    free(runtime->outs);
    if (runtime->listen_fd >= 0)
        close(runtime->listen_fd);
    if (runtime->udp_fd >= 0)
        close(runtime->udp_fd);
}
