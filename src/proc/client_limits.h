/* Limits on what clients may make a process hold, derived from the limits of its machine, and the account of what they
 * hold now. Has no sockets or clocks of its own. */
#ifndef SAGEHITCH_CLIENT_LIMITS_H
#define SAGEHITCH_CLIENT_LIMITS_H
#include <stdint.h>

enum {
    CLIENT_ENTRIES = 3,                /* entries of a process, by enum entry of controller/codec.h */
    SMALL_BYTES_MAX = 64 << 10,        /* bodies and responses up to this size share one pool */
    LARGEST_BODY_BYTES = 8 << 20,      /* that is accepted on any machine */
    FILE_DESCRIPTORS_KEPT = 200,       /* for files outside the data folder */
    CONNECTION_MEMORY_BYTES = 32 << 10 /* of the HTTP library, for the head and the part of a body that is read */
};

/* What a machine allows a process. */
struct machine_limits {
    int64_t memory_bytes, descriptors;
};

/* Pools of memory: one for the large bodies and responses of each entry, so that the clients of one entry leave the
 * others their share, and one for all small ones. */
enum { POOL_SMALL = CLIENT_ENTRIES, CLIENT_POOLS };

/* connections: open at once, by entry. body_bytes: size of the largest body, by entry. parsed_bytes: memory that one
 * body may take once it is parsed. pool_bytes: what the requests of a pool may hold together. */
struct client_limits {
    int64_t connections[CLIENT_ENTRIES], body_bytes[CLIENT_ENTRIES];
    int64_t parsed_bytes;
    int64_t pool_bytes[CLIENT_POOLS];
};

/* Bytes that a request holds of a pool; zero-initialized it holds nothing. */
struct client_charge {
    int pool;
    int64_t bytes;
};

/* The account of a process. Invariant: used_bytes is the sum of the charges of each pool. */
struct client_budget {
    struct client_limits limits;
    int64_t used_bytes[CLIENT_POOLS];
};

/* Derives the limits for a process that serves the entries whose element of served is not 0. */
void client_limits_derive(struct client_limits *limits, const struct machine_limits *machine,
                          const int64_t served[CLIENT_ENTRIES]);
/* The charge of a body, and of a response, of that many bytes. A large body is charged with the copies that are made
 * of it on its way to the leader. */
struct client_charge client_charge_of_body(int64_t entry, int64_t bytes);
struct client_charge client_charge_of_response(int64_t entry, int64_t bytes);
/* By how many bytes the pool of next is too small to replace the charge current by next; 0: it fits. */
int64_t client_budget_missing(const struct client_budget *budget, const struct client_charge *current,
                              const struct client_charge *next);
/* Replaces the charge. The pool may be exceeded: callers check that first. */
void client_budget_replace(struct client_budget *budget, struct client_charge *current, struct client_charge next);
/* Releases the charge. */
void client_budget_release(struct client_budget *budget, struct client_charge *charge);
#endif
