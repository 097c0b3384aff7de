/* Internal state of the HTTP server, shared by src/proc/http_*.c of the server only. */
#ifndef SAGEHITCH_HTTP_SERVER_STATE_H
#define SAGEHITCH_HTTP_SERVER_STATE_H
#include "proc/runtime.h"

/* What a connection does. WAITING: for the end of a head; RECEIVING: a body; SERVED: its request is answered later;
 * SENDING: a response. */
enum http_connection_state { CONNECTION_WAITING, CONNECTION_RECEIVING, CONNECTION_SERVED, CONNECTION_SENDING };

/* An open connection, in the list runtime->connections. since_ms: when its state began, or the current period in which
 * its progress is measured; period_bytes: received or sent since then; progress_ms: when the last of them were.
 * request: the current one, or NULL. closing: it was shut down and is about to end. */
struct http_connection {
    struct http_connection *next, *previous;
    int64_t entry;
    int fd, closing;
    enum http_connection_state state;
    int64_t since_ms, period_bytes, progress_ms;
    struct request *request;
};

/* A request. head_ms: when its head was complete. announced_bytes: size of the body according to the head, -1: unknown.
 * refusal: an error for which the rest of the body is discarded, ERROR_NONE: the body is kept. aborted: its response
 * was given up and freed. Invariant: slot is its cell in runtime->requests from the end of its head until the
 * connection has completed the request. */
struct request {
    struct runtime *runtime;
    struct http_connection *connection;
    struct MHD_Connection *mhd;
    char *path, *response_body;
    struct bytes body;
    struct client_charge body_charge, response_charge;
    int64_t slot, retry_ms, head_ms, announced_bytes, received_bytes, response_bytes;
    int status, dispatched, suspended, aborted;
    enum sagehitch_error refusal;
};

struct request_cell {
    struct request *request;
};

/* http_connections.c: the list of connections, and those that can be ended for others. */
/* Adds a connection that was accepted, and removes one that has ended, which is freed. */
struct http_connection *http_connection_open(struct runtime *runtime, int64_t entry, int fd);
void http_connection_close(struct runtime *runtime, struct http_connection *connection);
/* Sets the state; a new period of progress begins. */
void http_connection_enter(struct runtime *runtime, struct http_connection *connection,
                           enum http_connection_state state);
/* Counts bytes that were received or sent. */
void http_connection_progress(struct runtime *runtime, struct http_connection *connection, int64_t bytes);
/* Whether one more connection of this entry may be opened. */
int http_connection_has_room(const struct runtime *runtime, int64_t entry);
/* Ends a connection that has waited for long, or is slow, for a new one. Returns whether there is room then. */
int http_connection_make_room(struct runtime *runtime, int64_t entry);
/* Replaces the charge of a request by next, and gives up slow requests of that pool if it is used up. Returns 1, or 0
 * if there still is no room; the charge is unchanged then. */
int http_connection_charge(struct runtime *runtime, struct client_charge *current, struct client_charge next);

/* http_listeners.c: opens the listening sockets by enum entry, 0: none, and closes them. Returns 0 or
 * ERROR_BAD_SETTING. */
enum sagehitch_error http_listeners_open(struct runtime *runtime, const int64_t addrs[LISTENERS_MAX]);
void http_listeners_close(struct runtime *runtime);

/* http_bodies.c: a request that exceeds a limit is refused: its body is discarded, and its response is an error. */
/* Makes room for a body of this size, or refuses the request. */
void http_body_reserve(struct request *request, int64_t bytes);
/* Receives a part of the body. MHD_NO closes the connection. */
enum MHD_Result http_body_add(struct request *request, const char *data, int64_t size);
/* Refuses a request whose complete body would take too much memory once it is parsed. */
void http_body_check(struct request *request);
/* Responds to a request that was refused. */
void http_body_answer_refusal(struct request *request);
void http_body_free(struct request *request);
/* Gives up the body or the response of a request and frees its memory. */
void http_request_give_up(struct request *request);

/* http_responses.c: hands the response that was given to the library. */
enum MHD_Result http_response_queue(struct request *request);
#endif
