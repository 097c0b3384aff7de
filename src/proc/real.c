/* The runtime of a process: clocks, timer, signals, start and end. */
#include "proc/real.h"

#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/events.h"
#include "base/error.h"

enum { TIMER_MS = 10, LEAVE_MS = 10000, OUT_MAX = 128 << 20 };

static int64_t clock_ms(clockid_t id)
{
    struct timespec ts;
    clock_gettime(id, &ts);
    return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static int64_t mono_ms(struct world *world)
{
    (void)world;
    return clock_ms(CLOCK_MONOTONIC);
}

static int64_t wall_ms(struct world *world)
{
    (void)world;
    return clock_ms(CLOCK_REALTIME);
}

static uint64_t random_u64(struct world *world)
{
    static uint64_t state;
    (void)world;
    if (!state) {
        int fd = open("/dev/urandom", O_RDONLY | O_CLOEXEC);
        if (fd < 0 || read(fd, &state, sizeof state) != sizeof state)
            state = (uint64_t)clock_ms(CLOCK_MONOTONIC) ^ (uint64_t)getpid() << 32;
        if (fd >= 0)
            close(fd);
    }
    return state = hash_mix(state, 0x9e3779b97f4a7c15ull);
}

static void on_timer_event(struct ev_loop *loop, ev_timer *timer, int events)
{
    struct real *real = timer->data;
    (void)events;
    net_on_timer(real);
    if (real->role.on_timer)
        real->role.on_timer(real->role.arg);
    if (!real->leaving_ms)
        return;
    if (!real->role.left || real->role.left(real->role.arg) ||
        world_ms(&real->base) - real->leaving_ms > real->leave_ms)
        ev_break(loop, EVBREAK_ALL);
}

static void on_prepare(struct ev_loop *loop, ev_prepare *prepare, int events)
{
    struct real *real = prepare->data;
    (void)loop, (void)events;
    http_server_flush(real);
    if (real->role.flush)
        real->role.flush(real->role.arg);
}

static void on_term(struct ev_loop *loop, ev_signal *signal, int events)
{
    struct real *real = signal->data;
    (void)events;
    if (real->leaving_ms) {
        ev_break(loop, EVBREAK_ALL);
        return;
    }
    world_note(&real->base, EV_STOPPING, "signal=%d", signal->signum);
    real->leaving_ms = world_ms(&real->base);
    if (real->role.leave)
        real->role.leave(real->role.arg);
}

static void on_hup(struct ev_loop *loop, ev_signal *signal, int events)
{
    struct real *real = signal->data;
    struct local next;
    char why[400] = "";
    (void)loop, (void)events;
    if (real->role.hup) {
        real->role.hup(real->role.arg);
        return;
    }
    schema_defaults(&local_schema, &next);
    next.file = must_dup(real->local->file);
    int rc = next.file ? local_read_file(&next, next.file, why, sizeof why) : ERROR_BAD_SETTING;
    if (!rc)
        rc = local_check(&next, 0, why, sizeof why);
    if (rc) {
        world_note(&real->base, EV_PARAMS_DENIED, "%s", *why ? why : "no settings file, only flags");
    } else {
        event_log_set_level(next.log_level);
        if (real->role.reread)
            real->role.reread(real->role.arg, &next);
        world_note(&real->base, EV_PARAMS_READ, "file=%s", next.file);
    }
    local_free(&next);
}

static void watch_signal(struct real *real, ev_signal *watcher, int signum,
                         void (*event)(struct ev_loop *, ev_signal *, int))
{
    ev_signal_init(watcher, event, signum);
    watcher->data = real;
    ev_signal_start(real->loop, watcher);
}

enum sagehitch_error real_start(struct real *real, struct local *local)
{
    static struct world_calls calls = {.mono_ms = mono_ms,
                                       .wall_ms = wall_ms,
                                       .random = random_u64,
                                       .send = net_send,
                                       .call = http_client_call,
                                       .answer = http_server_respond,
                                       .note = event_log_write};
    disk_set_calls(&calls);
    *real = (struct real){.base = {.calls = &calls, .self = local->listen_addr, .http_addr = local->http_addr},
                          .local = local,
                          .listen_fd = -1,
                          .udp_fd = -1,
                          .timer_ms = TIMER_MS,
                          .leave_ms = LEAVE_MS,
                          .out_max = OUT_MAX};
    real->cluster = (uint32_t)hash_text(local->cluster);
    real->loop = ev_default_loop(EVFLAG_AUTO);
    http_client_start(real);
    if (local->data && *local->data && disk_start(real, local->data)) {
        fprintf(stderr, "sagehitch: cannot use data directory %s\n", local->data);
        return ERROR_DISK;
    }
    return ERROR_NONE;
}

enum sagehitch_error real_open(struct real *real, int frames, int http)
{
    struct local *local = real->local;
    if (frames && net_start(real)) {
        fprintf(stderr, "sagehitch: cannot listen on %s\n", local->listen);
        return ERROR_BAD_SETTING;
    }
    if (http && http_server_start(real)) {
        fprintf(stderr, "sagehitch: cannot listen on %s\n", local->http);
        return ERROR_BAD_SETTING;
    }
    ev_timer_init(&real->on_timer, on_timer_event, 0.001, (double)real->timer_ms / 1000.);
    real->on_timer.data = real;
    ev_timer_start(real->loop, &real->on_timer);
    ev_prepare_init(&real->prepare, on_prepare);
    real->prepare.data = real;
    ev_prepare_start(real->loop, &real->prepare);
    watch_signal(real, &real->sigterm_watcher, SIGTERM, on_term);
    watch_signal(real, &real->sigint_watcher, SIGINT, on_term);
    watch_signal(real, &real->sighup_watcher, SIGHUP, on_hup);
    return ERROR_NONE;
}

void real_run(struct real *real)
{
    world_note(&real->base, EV_STARTED, "addr=%s http=%s", addr_text(real->base.self), addr_text(real->base.http_addr));
    ev_run(real->loop, 0);
    world_note(&real->base, EV_STOPPED, "addr=%s", addr_text(real->base.self));
}

void real_end(struct real *real)
{
    http_server_end(real);
    http_client_end(real);
    net_end(real);
    disk_end(real);
}
