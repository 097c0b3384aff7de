/* The connections of the HTTP server, and which of them end when memory or places for connections are used up: those
 * that wait for the longest time, and those that hardly make progress. */
#include <stdlib.h>
#include <sys/socket.h>

#include "proc/http_server_state.h"

enum {
    WAITING_MIN_MS = 100,   /* a connection that has waited for less is not ended for another */
    PERIOD_MS = 2000,       /* of measuring the progress of a connection */
    SLOW_MIN_MS = 500,      /* a shorter part of a period shows nothing */
    SLOW_BYTES_PER_MS = 64, /* a quarter of the slowest link of a machine (2 Mbit/s) */
    STALLED_MS = 1000,      /* without any progress */
    CLOSING_MAX = 32        /* connections that are shut down and have not ended yet, of one entry */
};

struct http_connection *http_connection_open(struct runtime *runtime, int64_t entry, int fd)
{
    struct http_connection *connection = must_alloc(sizeof *connection);
    connection->entry = entry;
    connection->fd = fd;
    connection->next = runtime->connections;
    if (connection->next)
        connection->next->previous = connection;
    runtime->connections = connection;
    runtime->n_connections[entry]++;
    http_connection_enter(runtime, connection, CONNECTION_WAITING);
    return connection;
}

void http_connection_close(struct runtime *runtime, struct http_connection *connection)
{
    if (connection->next)
        connection->next->previous = connection->previous;
    if (connection->previous)
        connection->previous->next = connection->next;
    else
        runtime->connections = connection->next;
    runtime->n_connections[connection->entry]--;
    runtime->n_closing[connection->entry] -= connection->closing;
    free(connection);
}

void http_connection_enter(struct runtime *runtime, struct http_connection *connection,
                           enum http_connection_state state)
{
    connection->state = state;
    connection->since_ms = connection->progress_ms = world_ms(&runtime->base);
    connection->period_bytes = 0;
}

void http_connection_progress(struct runtime *runtime, struct http_connection *connection, int64_t bytes)
{
    if (world_ms(&runtime->base) - connection->since_ms >= PERIOD_MS)
        http_connection_enter(runtime, connection, connection->state);
    connection->period_bytes += bytes;
    connection->progress_ms = world_ms(&runtime->base);
}

/* Whether the connection receives or sends, but hardly makes progress. */
static int is_slow(const struct http_connection *connection, int64_t now_ms)
{
    int64_t elapsed_ms = now_ms - connection->since_ms;
    int transfers = connection->state == CONNECTION_RECEIVING || connection->state == CONNECTION_SENDING;
    if (!transfers || elapsed_ms < SLOW_MIN_MS)
        return 0;
    return now_ms - connection->progress_ms >= STALLED_MS || connection->period_bytes < elapsed_ms * SLOW_BYTES_PER_MS;
}

static void end_connection(struct runtime *runtime, struct http_connection *connection)
{
    connection->closing = 1;
    runtime->n_closing[connection->entry]++;
    shutdown(connection->fd, SHUT_RDWR); /* the HTTP library sees the end and closes it */
}

/* The connection of this entry to end for a new one: the one that has waited for the longest time, else the one that
 * has been slow for the longest time. NULL: there is none. */
static struct http_connection *connection_to_end(const struct runtime *runtime, int64_t entry, int64_t now_ms)
{
    struct http_connection *waiting = NULL, *slow = NULL;
    for (struct http_connection *c = runtime->connections; c; c = c->next) {
        if (c->closing || c->entry != entry)
            continue;
        if (c->state == CONNECTION_WAITING) {
            if (now_ms - c->since_ms >= WAITING_MIN_MS && (!waiting || c->since_ms < waiting->since_ms))
                waiting = c;
        } else if (is_slow(c, now_ms) && (!slow || c->since_ms < slow->since_ms)) {
            slow = c;
        }
    }
    return waiting ? waiting : slow;
}

int http_connection_has_room(const struct runtime *runtime, int64_t entry)
{
    int64_t open = runtime->n_connections[entry] - runtime->n_closing[entry];
    return runtime->n_closing[entry] < CLOSING_MAX && open < runtime->budget.limits.connections[entry];
}

int http_connection_make_room(struct runtime *runtime, int64_t entry)
{
    if (runtime->n_closing[entry] >= CLOSING_MAX)
        return 0;
    struct http_connection *connection = connection_to_end(runtime, entry, world_ms(&runtime->base));
    if (connection)
        end_connection(runtime, connection);
    return connection != NULL;
}

/* Bytes that a request holds of a pool. */
static int64_t held_of(const struct request *request, int pool)
{
    int64_t bytes = request->body_charge.pool == pool ? request->body_charge.bytes : 0;
    return bytes + (request->response_charge.pool == pool ? request->response_charge.bytes : 0);
}

/* The connection whose request holds most of a pool, of those that are slow; NULL: there is none. The request that
 * asked does not count; asking is one of its charges. */
static struct http_connection *slow_holder(const struct runtime *runtime, int pool, const struct client_charge *asking,
                                           int64_t now_ms)
{
    struct http_connection *found = NULL;
    int64_t most = 0;
    for (struct http_connection *c = runtime->connections; c; c = c->next) {
        const struct request *request = c->request;
        if (c->closing || !request || asking == &request->body_charge || asking == &request->response_charge)
            continue;
        int64_t held = is_slow(c, now_ms) ? held_of(request, pool) : 0;
        if (held > most) {
            most = held;
            found = c;
        }
    }
    return found;
}

int http_connection_charge(struct runtime *runtime, struct client_charge *current, struct client_charge next)
{
    int64_t now_ms = world_ms(&runtime->base);
    struct client_budget *budget = &runtime->budget;
    while (client_budget_missing(budget, current, &next)) {
        struct http_connection *holder = slow_holder(runtime, next.pool, current, now_ms);
        if (!holder)
            return 0;
        http_request_give_up(holder->request);
        end_connection(runtime, holder);
    }
    client_budget_replace(budget, current, next);
    return 1;
}
