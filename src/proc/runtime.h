/* The world of a real process: one libev loop, frames over TCP and UDP, HTTP by libmicrohttpd and libcurl, a folder as
 * the disk, log4c for events. The simulator has a world of its own (sim/). */
#ifndef SAGEHITCH_REAL_H
#define SAGEHITCH_REAL_H
#include <curl/curl.h>
#include <ev.h>
#include <microhttpd.h>

#include "base/error.h"
#include "base/slab.h"
#include "base/world.h"
#include "proc/local.h"

struct runtime;
struct http_request; /* controller/codec.h */
/* Most HTTP listeners of one process. */
enum { LISTENERS_MAX = 3 };

/* Callbacks of a role, NULL where it has none. arg is passed to each. */
struct role {
    void *arg;
    void (*on_timer)(void *arg);
    void (*on_frame)(void *arg, const uint8_t *at, int64_t len);
    void (*request)(void *arg, int64_t slot, const char *method, const char *path, const char *body, int64_t len);
    void (*on_request)(void *arg, int64_t slot,
                       const struct http_request *request); /* in place of request, where there are several listeners */
    void (*on_sighup)(void *arg); /* on SIGHUP, in place of reading the local settings again */
    void (*flush)(void *arg);
    void (*leave)(void *arg);
    int (*left)(void *arg);
    void (*reload)(void *arg, const struct local *local);
};

struct net_out;
struct net_in;
/* A file kept open for appending. */
struct disk_file {
    char name[64];
    int fd;
};

/* A listening socket; entry: enum entry of controller/codec.h, passed on with its requests. */
struct web_listener {
    struct runtime *runtime;
    int64_t entry;
    int fd;
    ev_io io;
};

/* A process. timer_ms (timer interval), leave_ms (longest shutdown) and out_max (bytes queued to one peer) may be
 * changed between runtime_start() and runtime_open(). */
struct runtime {
    struct world base; /* must be first: a struct world is cast back to its struct real */
    struct ev_loop *loop;
    struct role role;
    struct local *local;
    uint32_t cluster;
    /* frames */
    int listen_fd, udp_fd;
    ev_io listen_io, udp_io;
    struct net_out **outs;
    int64_t n_outs, outs_due_ms;
    struct net_in *ins;
    /* HTTP in */
    struct MHD_Daemon *daemon;
    ev_io daemon_io;
    ev_timer daemon_timer;
    int answers_due; /* connections were resumed since the server ran last */
    struct slab requests;
    struct web_listener listeners[LISTENERS_MAX];
    int64_t n_listeners, entry; /* entry: of the connection being accepted */
    int closing;                /* requests are answered 503 and no longer passed to the role */
    /* HTTP out */
    CURLM *multi;
    ev_timer multi_timer;
    int64_t n_calls;
    CURL *idle[8];
    int64_t n_idle;
    struct curl_slist *headers;
    /* disk */
    char *folder;
    struct disk_file files[8];
    int next_file;
    /* the loop */
    ev_timer on_timer;
    ev_prepare prepare;
    ev_signal term, intr, on_sighup;
    int64_t leaving_ms, timer_ms, leave_ms, out_max;
};

/* Sets up the process, without opening ports. local is borrowed. Returns 0, or an error that was printed. */
enum sagehitch_error runtime_start(struct runtime *runtime, struct local *local);
/* Opens the ports for frames and one HTTP listener, if asked for, and starts timer and signals. Returns 0, or an error
 * that was printed. */
enum sagehitch_error runtime_open(struct runtime *runtime, int frames, int http);
/* Opens the HTTP listeners at these addresses, by enum entry; 0: none. Returns 0 or an error. */
enum sagehitch_error http_server_start_listeners(struct runtime *runtime, const int64_t addrs[LISTENERS_MAX]);
/* Runs the loop until the role has left after SIGTERM or SIGINT, leave_ms have passed, or a second signal came. */
void runtime_run(struct runtime *runtime);
/* Closes everything that was opened. */
void runtime_end(struct runtime *runtime);

/* Frames (net.c): opens and closes the ports at real->base.self. Returns 0 or ERROR_BAD_SETTING. */
enum sagehitch_error net_start(struct runtime *runtime);
void net_end(struct runtime *runtime);
/* Drops connections that do not open, or have not moved a byte for long. */
void net_on_timer(struct runtime *runtime);
/* Sends a frame, of which it takes a reference; lossy ones that fit go by UDP. Frames may be lost without notice. */
void net_send(struct world *w, uint64_t to, struct blob *frame, int lossy);
/* HTTP server (http_in.c): one listener at real->base.http_addr. Returns 0 or ERROR_BAD_SETTING. */
int api_start(struct runtime *runtime);
/* Answers waiting requests that the process is stopping, and closes the server. */
void api_end(struct runtime *runtime);
/* Lets the server handle what is ready, and sets its timer. */
void api_poke(struct runtime *runtime);
/* Sends the answers given since the server ran last, if there are any. */
void api_flush(struct runtime *runtime);
/* Answers a request; body is copied. A slot that is unknown or answered already is ignored. retry_ms: for Retry-After,
 * 0: none. */
void api_reply(struct world *w, int64_t slot, int status, int64_t retry_ms, const char *body);
/* HTTP client (http_out.c). */
void out_start(struct runtime *runtime);
/* Limits connections per host, and connections that are kept open. */
void http_client_limit(struct runtime *runtime, long host_connections, long kept);
void out_end(struct runtime *runtime);
/* Calls a peer; call->done() follows exactly once, unless out_end() comes first, with status 0 where there was no
 * complete response. A request other than GET is not sent again once a byte of it was sent. Strings are copied. */
void out_call(struct world *w, const struct http_call *call);
/* Disk (disk.c): a flat folder, created where it is missing. Returns 0 or ERROR_DISK. */
enum sagehitch_error folder_start(struct runtime *runtime, const char *folder);
void folder_end(struct runtime *runtime);
/* Fills in the disk functions of the world. */
void folder_calls(struct world_calls *calls);
/* Log (notes.c): events as lines on stderr. level: debug, info, warn or error. */
void event_log_start(const char *level);
void notes_level(const char *level);
void event_log_end(void);
/* Logs an event of base/events.h. */
void notes_take(struct world *w, int event, const char *text);
#endif
