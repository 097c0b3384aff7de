/* Limits for clients, and the account of what they hold. */
#include "proc/client_limits.h"

#include "controller/codec.h"

enum {
    CONNECTIONS_MAX = 3000,
    HELD_SHARE = 4,          /* a quarter of the memory is for what requests hold */
    PARSED_SHARE = 3,        /* a third for a body that is being parsed: one at a time */
    CONNECTIONS_SHARE = 8,   /* an eighth for the buffers of connections */
    SMALL_SHARE = 4,         /* a quarter of what requests hold is for small ones alone */
    DESCRIPTORS_SHARE = 2,   /* half of the descriptors is for connections of clients */
    OPERATOR_BODY_COPIES = 3 /* the configuration, the request that waits for the leader, and its frame */
};

/* How connections, and the memory for large requests, are shared among the entries that are served. */
static const int64_t connection_weights[CLIENT_ENTRIES] = {
    [ENTRY_CALLERS] = 6, [ENTRY_OPERATORS] = 3, [ENTRY_READINESS] = 1};
static const int64_t large_weights[CLIENT_ENTRIES] = {[ENTRY_CALLERS] = 1, [ENTRY_OPERATORS] = 2};

static int64_t minimum(int64_t a, int64_t b) { return a < b ? a : b; }

/* The part of whole for an entry. */
static int64_t share_of(int64_t whole, const int64_t weights[CLIENT_ENTRIES], const int64_t served[CLIENT_ENTRIES],
                        int64_t entry)
{
    int64_t sum = 0;
    for (int64_t i = 0; i < CLIENT_ENTRIES; i++)
        sum += served[i] ? weights[i] : 0;
    return served[entry] && sum ? whole * weights[entry] / sum : 0;
}

static int64_t body_copies(int64_t entry) { return entry == ENTRY_OPERATORS ? OPERATOR_BODY_COPIES : 1; }

void client_limits_derive(struct client_limits *limits, const struct machine_limits *machine,
                          const int64_t served[CLIENT_ENTRIES])
{
    int64_t held_bytes = machine->memory_bytes / HELD_SHARE;
    int64_t small_bytes = held_bytes / SMALL_SHARE;
    int64_t connections = minimum(machine->memory_bytes / CONNECTIONS_SHARE / CONNECTION_MEMORY_BYTES,
                                  (machine->descriptors - FILE_DESCRIPTORS_KEPT) / DESCRIPTORS_SHARE);
    connections = minimum(connections, CONNECTIONS_MAX);
    *limits = (struct client_limits){.parsed_bytes = machine->memory_bytes / PARSED_SHARE};
    limits->pool_bytes[POOL_SMALL] = small_bytes;
    for (int64_t entry = 0; entry < CLIENT_ENTRIES; entry++) {
        int64_t large_bytes = share_of(held_bytes - small_bytes, large_weights, served, entry);
        int64_t body_bytes = minimum(large_bytes / body_copies(entry), LARGEST_BODY_BYTES);
        int64_t share = share_of(connections, connection_weights, served, entry);
        limits->pool_bytes[entry] = large_bytes;
        limits->body_bytes[entry] = body_bytes > SMALL_BYTES_MAX ? body_bytes : SMALL_BYTES_MAX;
        limits->connections[entry] = served[entry] && share < 1 ? 1 : share;
    }
}

struct client_charge client_charge_of_body(int64_t entry, int64_t bytes)
{
    if (bytes <= SMALL_BYTES_MAX)
        return (struct client_charge){.pool = POOL_SMALL, .bytes = bytes};
    return (struct client_charge){.pool = (int)entry, .bytes = bytes * body_copies(entry)};
}

struct client_charge client_charge_of_response(int64_t entry, int64_t bytes)
{
    return (struct client_charge){.pool = bytes <= SMALL_BYTES_MAX ? POOL_SMALL : (int)entry, .bytes = bytes};
}

int64_t client_budget_missing(const struct client_budget *budget, const struct client_charge *current,
                              const struct client_charge *next)
{
    int64_t used_bytes = budget->used_bytes[next->pool] + next->bytes;
    if (current->pool == next->pool)
        used_bytes -= current->bytes;
    int64_t over_bytes = used_bytes - budget->limits.pool_bytes[next->pool];
    return over_bytes > 0 ? over_bytes : 0;
}

void client_budget_replace(struct client_budget *budget, struct client_charge *current, struct client_charge next)
{
    budget->used_bytes[current->pool] -= current->bytes;
    budget->used_bytes[next.pool] += next.bytes;
    *current = next;
}

void client_budget_release(struct client_budget *budget, struct client_charge *charge)
{
    client_budget_replace(budget, charge, (struct client_charge){0});
}
