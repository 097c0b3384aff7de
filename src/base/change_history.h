/* The changes of something versioned that were taken, the newest of them: what is needed to
 * acknowledge a change again that is sent again after its answer was lost, also when others
 * have been made on top of it since. Folded from committed ops alone, so that all voters hold the
 * same. Bodies are known by a hash of 64 bits and are not kept. */
#ifndef SAGEHITCH_CHANGE_HISTORY_H
#define SAGEHITCH_CHANGE_HISTORY_H
#include "base/error.h"
#include "base/schema.h"

/* How many are remembered: more than the hundreds of changes of a long day. 32 bytes each in
 * memory, so 16 KiB for a full history, and at most 37 bytes each in a snapshot. */
enum { CHANGES_KEPT = 512 };

/* base of a change that was restored without it: any base is taken for its own. */
enum { BASE_UNKNOWN = -1 };

/* One change that was taken. key: 0, or a hash of what was changed where a history is of several
 * things; version: the number it was taken under; base: the version it was built on;
 * hash: of its body, the bits of it as a signed number. */
struct applied_change {
    int64_t key, version, base, hash;
};

/* Invariants: in the order taken, so versions of a key rise; complete is 0 once any was dropped, or
 * where what came before the first is not known. All zero is a history of which nothing is known. */
struct change_history {
    struct applied_change *changes;
    int64_t n, complete;
};
extern const struct schema change_history_schema;

/* The hash by which a body of len bytes is known. */
int64_t change_hash(const void *body, int64_t len);
/* Adds a change, and drops the oldest if there are too many. */
void change_history_add(struct change_history *history, const struct applied_change *change);
/* Of a change whose version is not above the current one of its key: ERROR_NONE: it was taken, as it
 * is; ERROR_STALE: it surely was not; ERROR_GAVE_UP: it is older than all that is remembered. */
enum sagehitch_error change_history_check(const struct change_history *history, const struct applied_change *change);
/* What was read keeps the invariants; where not, it must not be used. */
int change_history_is_valid(const struct change_history *history);
#endif
