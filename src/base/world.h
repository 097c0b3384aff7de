/* The environment of a core: clocks, network, HTTP, disk and event log, as a table of functions. Processes implement it
 * with sockets and files, the simulator with virtual ones. Cores access the outside only through it, so both run the
 * same code. */
#ifndef SAGEHITCH_WORLD_H
#define SAGEHITCH_WORLD_H
#include <stdint.h>

#include "base/bytes.h"

struct world;

/* Completes an HTTP call. status: the HTTP status, 0: no response in time. body: ends in a 0 byte and is valid only
 * during the callback. */
typedef void call_done(void *arg, int64_t tag, int status, const char *body, int64_t len);

/* An HTTP call to another process. All pointers are borrowed for the duration of world_calls.call. */
struct http_call {
    uint64_t to;
    const char *method, *path;
    const char *header; /* an additional header line "Name: value"; NULL: none */
    const char *body;   /* NULL: empty */
    int64_t wait_ms;    /* the time-out */
    call_done *done;    /* called once with arg and tag */
    void *arg;
    int64_t tag;
};

/* Invariant: neither side keeps a pointer beyond the call, except that send may take a reference to the frame, which is
 * not changed after it was sent. Addresses are those of addr_parse(); times are in ms. */
struct world_calls {
    int64_t (*mono_ms)(struct world *w); /* monotonic, for durations */
    int64_t (*wall_ms)(struct world *w); /* wall-clock time, may jump */
    uint64_t (*random)(struct world *w);
    void (*send)(struct world *w, uint64_t to, struct blob *frame, int lossy);
    void (*call)(struct world *w, const struct http_call *call); /* connections are reused */
    void (*answer)(struct world *w, int64_t slot, int status, int64_t retry_ms, const char *body);
    void (*note)(struct world *w, int event, const char *text);
    /* The disk, one flat folder. All functions return 0 or an error. Written data are durable only after disk_sync, and
     * new, renamed or removed names only after disk_sync_names. disk_add appends; disk_cut truncates to len bytes. */
    int (*disk_list)(struct world *w, void (*each)(void *arg, const char *name), void *arg);
    int (*disk_read)(struct world *w, const char *name, struct bytes *to);
    int (*disk_add)(struct world *w, const char *name, const void *at, int64_t len);
    int (*disk_cut)(struct world *w, const char *name, int64_t len);
    int (*disk_sync)(struct world *w, const char *name);
    int (*disk_sync_names)(struct world *w);
    int (*disk_rename)(struct world *w, const char *from, const char *to);
    int (*disk_remove)(struct world *w, const char *name);
};

/* Sets the disk functions of a table to the functions in scope that have the same names. */
#define WORLD_TAKE_DISK(calls)                      \
    do {                                            \
        (calls)->disk_list = disk_list;             \
        (calls)->disk_read = disk_read;             \
        (calls)->disk_add = disk_add;               \
        (calls)->disk_cut = disk_cut;               \
        (calls)->disk_sync = disk_sync;             \
        (calls)->disk_sync_names = disk_sync_names; \
        (calls)->disk_rename = disk_rename;         \
        (calls)->disk_remove = disk_remove;         \
    } while (0)

/* Embedded as the first member by each implementation. */
struct world {
    const struct world_calls *calls;
    uint64_t self;      /* address for frames */
    uint64_t http_addr; /* address for HTTP */
};

/* Monotonic time in ms. */
static inline int64_t world_ms(struct world *w) { return w->calls->mono_ms(w); }
static inline uint64_t world_random(struct world *w) { return w->calls->random(w); }
/* Logs an event of base/events.h with the formatted text. */
void world_note(struct world *w, int event, const char *format, ...) __attribute__((format(printf, 3, 4)));
/* Responds to the HTTP request of slot with an error (base/error.h) and the formatted detail. */
void world_answer(struct world *w, int64_t slot, int error, const char *format, ...)
    __attribute__((format(printf, 4, 5)));
#endif
