/* Ids of jobs that were cancelled while no job of that id was known. The submission may still be on its way, held up at
 * a controller that was frozen or on a slow link, although its client has given up and the cancellation was answered: a
 * job that arrives within CANCELLED_ID_KEEP_MS is cancelled at once. Part of the replicated record: it changes by
 * committed ops only, and time passes with the times of the ops. */
#ifndef SAGEHITCH_DISPATCH_CANCELLED_IDS_H
#define SAGEHITCH_DISPATCH_CANCELLED_IDS_H
#include <Judy.h>
#include <stdint.h>

#include "base/error.h"
#include "base/schema.h"

enum {
    CANCELLED_ID_KEEP_MS = 180000, /* longer than a request may take to be received, and the time until it is relayed */
    CANCELLED_IDS_MAX = 20000      /* further cancellations of unknown jobs are refused with ERROR_OVERLOAD */
};

struct cancelled_id {
    int64_t id, at_ms; /* at_ms: time of day of the cancellation */
};
/* entries: the newest cancellations, the oldest first; an id may come more than once. All is owned. */
struct cancelled_ids {
    struct cancelled_id *entries;
    int64_t n;
    Pvoid_t newest; /* JudyL: id -> time of its newest cancellation */
};
extern const struct schema cancelled_id_schema;

/* Adds an id, and drops those that were cancelled more than CANCELLED_ID_KEEP_MS before at_ms. ERROR_OVERLOAD: there
 * are CANCELLED_IDS_MAX left. */
enum sagehitch_error cancelled_ids_add(struct cancelled_ids *ids, int64_t id, int64_t at_ms);
/* Whether the id was cancelled at most CANCELLED_ID_KEEP_MS before at_ms. */
int cancelled_ids_has(const struct cancelled_ids *ids, int64_t id, int64_t at_ms);
/* Frees all entries and leaves the set empty. */
void cancelled_ids_clear(struct cancelled_ids *ids);
#endif
