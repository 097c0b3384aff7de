/* The runtime of a process: clocks, timer, signals, start and end. */
#include "proc/runtime.h"

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
    struct runtime *runtime = timer->data;
    (void)events;
    net_on_timer(runtime);
    if (runtime->role.on_timer)
        runtime->role.on_timer(runtime->role.arg);
    if (!runtime->leaving_ms)
        return;
    if (!runtime->role.left || runtime->role.left(runtime->role.arg) ||
        world_ms(&runtime->base) - runtime->leaving_ms > runtime->leave_ms)
        ev_break(loop, EVBREAK_ALL);
}

static void on_prepare(struct ev_loop *loop, ev_prepare *prepare, int events)
{
    struct runtime *runtime = prepare->data;
    (void)loop, (void)events;
    http_server_flush(runtime);
    if (runtime->role.flush)
        runtime->role.flush(runtime->role.arg);
}

static void on_term(struct ev_loop *loop, ev_signal *signal, int events)
{
    struct runtime *runtime = signal->data;
    (void)events;
    if (runtime->leaving_ms) {
        ev_break(loop, EVBREAK_ALL);
        return;
    }
    world_note(&runtime->base, EV_STOPPING, "signal=%d", signal->signum);
    runtime->leaving_ms = world_ms(&runtime->base);
    if (runtime->role.leave)
        runtime->role.leave(runtime->role.arg);
}

static void on_hup(struct ev_loop *loop, ev_signal *signal, int events)
{
    struct runtime *runtime = signal->data;
    struct local next;
    char why[400] = "";
    (void)loop, (void)events;
    if (runtime->role.on_sighup) {
        runtime->role.on_sighup(runtime->role.arg);
        return;
    }
    schema_defaults(&local_schema, &next);
    next.file = must_dup(runtime->local->file);
    int rc = next.file ? local_read_file(&next, next.file, why, sizeof why) : ERROR_BAD_SETTING;
    if (!rc)
        rc = local_check(&next, 0, why, sizeof why);
    if (rc) {
        world_note(&runtime->base, EV_PARAMS_DENIED, "%s", *why ? why : "no settings file, only flags");
    } else {
        event_log_set_level(next.log_level);
        if (runtime->role.reload)
            runtime->role.reload(runtime->role.arg, &next);
        world_note(&runtime->base, EV_PARAMS_READ, "file=%s", next.file);
    }
    local_free(&next);
}

static void watch_signal(struct runtime *runtime, ev_signal *watcher, int signum,
                         void (*event)(struct ev_loop *, ev_signal *, int))
{
    ev_signal_init(watcher, event, signum);
    watcher->data = runtime;
    ev_signal_start(runtime->loop, watcher);
}

enum sagehitch_error runtime_start(struct runtime *runtime, struct local *local)
{
    static struct world_calls calls = {.mono_ms = mono_ms,
                                       .wall_ms = wall_ms,
                                       .random = random_u64,
                                       .send = net_send,
                                       .call = http_client_call,
                                       .answer = http_server_respond,
                                       .note = event_log_write};
    disk_set_calls(&calls);
    *runtime = (struct runtime){.base = {.calls = &calls, .self = local->listen_addr, .http_addr = local->http_addr},
                                .local = local,
                                .listen_fd = -1,
                                .udp_fd = -1,
                                .timer_ms = TIMER_MS,
                                .leave_ms = LEAVE_MS,
                                .out_max = OUT_MAX};
    runtime->cluster = (uint32_t)hash_text(local->cluster);
    runtime->loop = ev_default_loop(EVFLAG_AUTO);
    http_client_start(runtime);
    if (local->data && *local->data && disk_start(runtime, local->data)) {
        fprintf(stderr, "sagehitch: cannot use data directory %s\n", local->data);
        return ERROR_DISK;
    }
    return ERROR_NONE;
}

enum sagehitch_error runtime_open(struct runtime *runtime, int frames, int http)
{
    struct local *local = runtime->local;
    if (frames && net_start(runtime)) {
        fprintf(stderr, "sagehitch: cannot listen on %s\n", local->listen);
        return ERROR_BAD_SETTING;
    }
    if (http && http_server_start(runtime)) {
        fprintf(stderr, "sagehitch: cannot listen on %s\n", local->http);
        return ERROR_BAD_SETTING;
    }
    ev_timer_init(&runtime->on_timer, on_timer_event, 0.001, (double)runtime->timer_ms / 1000.);
    runtime->on_timer.data = runtime;
    ev_timer_start(runtime->loop, &runtime->on_timer);
    ev_prepare_init(&runtime->prepare, on_prepare);
    runtime->prepare.data = runtime;
    ev_prepare_start(runtime->loop, &runtime->prepare);
    watch_signal(runtime, &runtime->sigterm_watcher, SIGTERM, on_term);
    watch_signal(runtime, &runtime->sigint_watcher, SIGINT, on_term);
    watch_signal(runtime, &runtime->sighup_watcher, SIGHUP, on_hup);
    return ERROR_NONE;
}

void runtime_run(struct runtime *runtime)
{
    world_note(&runtime->base, EV_STARTED, "addr=%s http=%s", addr_text(runtime->base.self),
               addr_text(runtime->base.http_addr));
    ev_run(runtime->loop, 0);
    world_note(&runtime->base, EV_STOPPED, "addr=%s", addr_text(runtime->base.self));
}

void runtime_end(struct runtime *runtime)
{
    http_server_end(runtime);
    http_client_end(runtime);
    net_end(runtime);
    disk_end(runtime);
}
