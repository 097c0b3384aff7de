/* Local settings of a process. They are read from a file of "name = value" lines; flags override them. Each value is
 * checked against local_schema. */
#ifndef SAGEHITCH_LOCAL_H
#define SAGEHITCH_LOCAL_H
#include "base/error.h"
#include "base/schema.h"

/* The settings; strings are owned. */
struct local {
    char *cluster, *zone, *listen, *http, *seeds, *data, *log_level;
    /* only for the simulated executor and the simulated caller */
    char *name, *kind, *rack, *services, *deployment;
    int64_t cores, mem_mb, fail_pct, stall_pct, slow_pct, stop_ms, incarnation, leave_ms;
    int64_t per_minute, seconds;
    /* derived from the settings by local_check(), except file: where they were read from */
    char *file;
    int64_t seed_addrs[8], n_seeds;
    uint64_t listen_addr, http_addr;
};

/* Flags of local_check(): settings that a role requires. */
enum { NEED_LISTEN = 1, NEED_HTTP = 2, NEED_DATA = 4, NEED_NAME = 8 };

extern const struct schema local_schema;

/* Read a file; set one value (where: its origin, for error messages); check the settings and derive the addresses.
 * Return 0, or an error whose message (with file and line) is stored in why. */
enum sagehitch_error local_read_file(struct local *local, const char *file, char *why, size_t why_len);
enum sagehitch_error local_set(struct local *local, const char *name, const char *value, const char *where, char *why,
                               size_t why_len);
int local_check(struct local *local, int needs, char *why, size_t why_len);
/* Frees what local owns. */
void local_free(struct local *local);
#endif
