/* The runtime of a process, which implements struct world: one libev loop, frames over TCP and UDP, HTTP by
 * libmicrohttpd and libcurl, a directory as the disk, log4c for events. The simulator has its own implementation
 * (sim/). */
#ifndef SAGEHITCH_RUNTIME_H
#define SAGEHITCH_RUNTIME_H
#include <curl/curl.h>
#include <ev.h>
#include <microhttpd.h>

#include "base/error.h"
#include "base/slab.h"
#include "base/world.h"
#include "proc/client_limits.h"
#include "proc/local.h"

struct runtime;
struct http_request; /* controller/codec.h */
/* Maximum number of HTTP listeners of a process. */
enum { LISTENERS_MAX = 3 };

/* Callbacks of a role; NULL: it has none of that kind. arg is passed to each. flush is called before each wait of the
 * loop; leave begins the shutdown of the role, and left tells whether it is complete. */
struct role {
    void *arg;
    void (*on_timer)(void *arg);
    void (*on_frame)(void *arg, const uint8_t *at, int64_t len);
    void (*on_plain_request)(void *arg, int64_t slot, const char *method, const char *path, const char *body,
                             int64_t len);
    void (*on_request)(void *arg, int64_t slot,
                       const struct http_request *request); /* in place of on_plain_request, for several listeners */
    void (*on_sighup)(void *arg);                           /* in place of reload */
    void (*flush)(void *arg);
    void (*leave)(void *arg);
    int (*left)(void *arg);
    void (*reload)(void *arg, const struct local *local); /* applies the local settings that were read on SIGHUP */
};

struct out_connection;
struct in_connection;
struct http_connection;
/* A file kept open for appending. */
struct disk_file {
    char name[64];
    int fd;
};

/* A listening socket. entry: enum entry of controller/codec.h, which its requests carry. pause: runs while no further
 * connection is accepted. */
struct http_listener {
    struct runtime *runtime;
    int64_t entry;
    int fd;
    ev_io io;
    ev_timer pause;
};

/* A process. timer_ms (timer interval), leave_ms (time limit of the shutdown) and out_max (maximum bytes queued to one
 * peer; a single larger frame is queued if nothing else is) may be changed between runtime_start() and runtime_open().
 */
struct runtime {
    struct world base; /* must be first: a struct world is cast to its struct runtime */
    struct ev_loop *loop;
    struct role role;
    struct local *local;
    uint32_t cluster;
    /* frames */
    int listen_fd, udp_fd;
    ev_io listen_io, udp_io;
    struct out_connection **out_connections;
    int64_t n_out_connections, next_connection_check_ms;
    struct in_connection *in_connections;
    int64_t n_in_connections, in_bytes; /* in_bytes: of incomplete frames, over all of them */
    /* HTTP server */
    struct MHD_Daemon *daemon;
    ev_io daemon_io;
    ev_timer daemon_timer;
    int responses_pending; /* connections were resumed since the server last ran */
    struct slab requests;
    struct http_listener listeners[LISTENERS_MAX];
    int64_t n_listeners, entry; /* entry: of the connection that is being accepted */
    int closing;                /* requests get a 503 and are no longer passed to the role */
    struct client_budget budget;
    struct http_connection *connections; /* all that are open */
    int64_t n_connections[LISTENERS_MAX], n_closing[LISTENERS_MAX];
    int64_t n_dropped, dropped_note_ms; /* dropped requests since the last event of one, and the time of that event */
    /* HTTP client */
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
    ev_signal sigterm_watcher, sigint_watcher, sighup_watcher;
    int64_t leaving_ms, timer_ms, leave_ms, out_max;
    int64_t in_bytes_max, in_connections_max; /* limits on incoming frames and connections of peers, 0: none */
};

/* Initializes the process without opening ports. local is borrowed. Returns 0, or an error that was printed. */
enum sagehitch_error runtime_start(struct runtime *runtime, struct local *local);
/* Opens the ports for frames (if frames) and one HTTP listener (if http), and starts the timer and the signal handlers.
 * Returns 0, or an error that was printed. */
enum sagehitch_error runtime_open(struct runtime *runtime, int frames, int http);
/* Opens the HTTP listeners at these addresses, by enum entry; 0: none. Returns 0 or an error. Clients are limited
 * according to machine_limits_default until http_server_limit() is called. */
enum sagehitch_error http_server_start_listeners(struct runtime *runtime, const int64_t addrs[LISTENERS_MAX]);
/* Limits what clients may make the process hold, from now on. */
void http_server_limit(struct runtime *runtime, const struct machine_limits *machine);
/* Runs the loop until, after SIGTERM or SIGINT, the role has left, leave_ms have passed, or a second signal arrives. */
void runtime_run(struct runtime *runtime);
/* Closes everything that was opened. */
void runtime_end(struct runtime *runtime);

/* Frames (net.c): open and close the ports at runtime->base.self. net_start() returns 0 or ERROR_BAD_SETTING. */
enum sagehitch_error net_start(struct runtime *runtime);
void net_end(struct runtime *runtime);
/* Closes outgoing connections that do not open in time or make no progress. */
void net_on_timer(struct runtime *runtime);
/* Sends a frame, to which it takes a reference. A lossy frame goes by UDP if it fits into a datagram. Frames may be
 * lost without notice. */
void net_send(struct world *world, uint64_t to, struct blob *frame, int lossy);
/* HTTP server (http_server.c): starts it with one listener at runtime->base.http_addr. Returns 0 or ERROR_BAD_SETTING.
 */
int http_server_start(struct runtime *runtime);
/* Responds to all waiting requests that the process is stopping, and stops the server. */
void http_server_end(struct runtime *runtime);
/* Lets the server handle its connections that are ready, and sets its timer. */
void http_server_run(struct runtime *runtime);
/* Sends the responses given since the server last ran, if there are any. */
void http_server_flush(struct runtime *runtime);
/* Responds to a request; body is copied. Ignored if the slot is unknown or already has a response. retry_ms: value of
 * Retry-After, 0: no such header. */
void http_server_respond(struct world *world, int64_t slot, int status, int64_t retry_ms, const char *body);
/* HTTP client (http_client.c): starts it. */
void http_client_start(struct runtime *runtime);
/* Limits the connections per host, and those kept open for later calls. */
void http_client_limit(struct runtime *runtime, long host_connections, long kept);
void http_client_end(struct runtime *runtime);
/* Calls a peer. call->done() is called exactly once, with status 0 if there was no complete response; it is not called
 * after http_client_end(). A request other than GET is not sent again once a byte of it was sent. Strings are copied.
 */
void http_client_call(struct world *world, const struct http_call *call);
/* Disk (disk.c): a flat directory, created if it is missing. Returns 0 or ERROR_DISK. */
enum sagehitch_error disk_start(struct runtime *runtime, const char *folder);
void disk_end(struct runtime *runtime);
/* Sets the disk functions in the table of a world. */
void disk_set_calls(struct world_calls *calls);
/* Event log (event_log.c): events as lines on stderr. level: debug, info, warn or error. */
void event_log_start(const char *level);
void event_log_set_level(const char *level);
void event_log_end(void);
/* Logs an event of base/events.h. */
void event_log_write(struct world *world, int event, const char *text);
#endif
