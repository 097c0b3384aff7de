/* The newest changes that were applied to a versioned object. They serve to acknowledge a change that a client repeats
 * because the response was lost, even if later changes were applied since. The history is derived only from committed
 * operations, so that it is equal on all voters. Of a change's body it keeps only a 64-bit hash. */
#ifndef SAGEHITCH_CHANGE_HISTORY_H
#define SAGEHITCH_CHANGE_HISTORY_H
#include "base/error.h"
#include "base/schema.h"

/* Number of changes kept: more than the hundreds of changes of a long day. Each takes 32 bytes in memory, so a full
 * history takes 16 KiB, and at most 37 bytes in a snapshot. */
enum { CHANGES_KEPT = 512 };

/* base of a change that was restored from data without a base; it matches any base. */
enum { BASE_UNKNOWN = -1 };

/* One applied change. key: hash of the changed object if a history covers several objects, otherwise 0; version: number
 * that the change was applied under; base: version that it was based on; hash: change_hash() of its body. */
struct applied_change {
    int64_t key, version, base, hash;
};

/* Invariants: changes are in the order of application, so the versions of a key increase; complete is 0 if changes
 * before the first one were dropped or are unknown. Zero-initialized it is a history of which nothing is known. */
struct change_history {
    struct applied_change *changes;
    int64_t n, complete;
};
extern const struct schema change_history_schema;

/* The hash that identifies a body of len bytes. */
int64_t change_hash(const void *body, int64_t len);
/* Adds a change, and drops the oldest if the history is full. */
void change_history_add(struct change_history *history, const struct applied_change *change);
/* Checks a change whose version is not above the current one of its key. ERROR_NONE: exactly this change was applied;
 * ERROR_STALE: it was not; ERROR_OUTCOME_UNKNOWN: it is older than the history. */
enum sagehitch_error change_history_check(const struct change_history *history, const struct applied_change *change);
/* Whether a history that was read keeps the invariants; otherwise it must not be used. */
int change_history_is_valid(const struct change_history *history);
#endif
