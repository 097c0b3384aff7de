#include <malloc.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/error.h"
#include "slopes.h"

static struct bench_world *of(struct world *w) { return (struct bench_world *)w; }
static int64_t mono_ms(struct world *w) { return of(w)->now_ms; }
static int64_t wall_ms(struct world *w) { return BENCH_WALL_MS + of(w)->now_ms; }
static void note(struct world *w, int event, const char *text) { (void)w, (void)event, (void)text; }

static uint64_t next_random(struct world *w)
{
    static uint64_t state = 88172645463325252u;
    (void)w;
    state ^= state << 13;
    state ^= state >> 7;
    return state ^= state << 17;
}

static void send_frame(struct world *w, uint64_t to, struct blob *frame, int lossy)
{
    (void)lossy;
    if (of(w)->sent)
        of(w)->sent(of(w)->arg, w, to, frame);
}

static void call_executor(struct world *w, const struct http_call *call)
{
    of(w)->called(of(w)->arg, call->path, call->body, call->wait_ms, call->done, call->arg, call->tag);
}

static void answer(struct world *w, int64_t slot, int status, int64_t retry_ms, const char *body)
{
    (void)w, (void)slot, (void)status, (void)retry_ms, (void)body;
}

/* --- a disk ------------------------------------------------------------------- */

static struct bench_file *file_of(struct world *w, const char *name)
{
    for (int64_t i = 0; i < of(w)->n_files; i++)
        if (!strcmp(of(w)->files[i].name, name))
            return &of(w)->files[i];
    return NULL;
}

static int disk_list(struct world *w, void (*each)(void *arg, const char *name), void *arg)
{
    for (int64_t i = 0; i < of(w)->n_files; i++)
        each(arg, of(w)->files[i].name);
    return ERROR_NONE;
}
static int disk_read(struct world *w, const char *name, struct bytes *to)
{
    struct bench_file *file = file_of(w, name);
    if (!file)
        return ERROR_NOT_FOUND;
    bytes_add(to, file->data.at, file->data.len);
    return ERROR_NONE;
}
static int disk_add(struct world *w, const char *name, const void *at, int64_t len)
{
    struct bench_file *file = file_of(w, name);
    if (!file) {
        file = array_add(of(w)->files, of(w)->n_files);
        snprintf(file->name, sizeof file->name, "%s", name);
    }
    bytes_add(&file->data, at, len);
    of(w)->disk_bytes += len;
    return ERROR_NONE;
}
static int disk_cut(struct world *w, const char *name, int64_t len)
{
    struct bench_file *file = file_of(w, name);
    if (file)
        file->data.len = len;
    return ERROR_NONE;
}
static int disk_sync(struct world *w, const char *name) { return (void)w, (void)name, ERROR_NONE; }
static int disk_sync_names(struct world *w) { return (void)w, ERROR_NONE; }
static int disk_remove(struct world *w, const char *name)
{
    struct bench_file *file = file_of(w, name);
    if (!file)
        return ERROR_NONE;
    bytes_free(&file->data);
    *file = of(w)->files[--of(w)->n_files];
    return ERROR_NONE;
}
static int disk_rename(struct world *w, const char *from, const char *to)
{
    disk_remove(w, to);
    struct bench_file *file = file_of(w, from);
    if (file)
        snprintf(file->name, sizeof file->name, "%s", to);
    return ERROR_NONE;
}

void bench_world_start(struct bench_world *w, uint64_t self)
{
    static struct world_calls calls = {.mono_ms = mono_ms,
                                       .wall_ms = wall_ms,
                                       .random = next_random,
                                       .send = send_frame,
                                       .call = call_executor,
                                       .answer = answer,
                                       .note = note};
    WORLD_TAKE_DISK(&calls);
    *w = (struct bench_world){.base = {.calls = &calls, .self = self}, .now_ms = 1000};
}

void bench_world_end(struct bench_world *w)
{
    while (w->n_files)
        bytes_free(&w->files[--w->n_files].data);
    free(w->files);
    w->files = NULL;
}

/* --- figures ------------------------------------------------------------------- */

int64_t cpu_ns(void)
{
    struct timespec at;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &at);
    return at.tv_sec * INT64_C(1000000000) + at.tv_nsec;
}

int64_t heap_bytes(void)
{
    struct mallinfo2 info = mallinfo2();
    return (int64_t)(info.uordblks + info.hblkhd);
}

const char *sized(const char *format, ...)
{
    static char texts[4][80];
    static int turn;
    char *text = texts[turn++ & 3];
    va_list args;
    va_start(args, format);
    vsnprintf(text, sizeof texts[0], format, args);
    va_end(args);
    return text;
}

void told(const char *what, const char *size, double figure, const char *unit)
{
    printf("%-44s %-28s %14.2f %s\n", what, size, figure, unit);
}
