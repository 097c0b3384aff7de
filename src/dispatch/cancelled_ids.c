/* Ids of jobs that were cancelled while no job of that id was known. */
#include "dispatch/cancelled_ids.h"

#include <stdlib.h>
#include <string.h>

static const struct field cancelled_id_fields[] = {INT(cancelled_id, id), INT_NAMED(cancelled_id, at_ms, "atMs")};
SCHEMA(cancelled_id_schema, cancelled_id, cancelled_id_fields);

static int is_kept(int64_t cancelled_ms, int64_t at_ms) { return at_ms - cancelled_ms <= CANCELLED_ID_KEEP_MS; }

/* The time of the newest cancellation of the id; NULL: it was not cancelled. */
static const Word_t *newest_of(const struct cancelled_ids *ids, int64_t id)
{
    PPvoid_t at;
    JLG(at, ids->newest, (Word_t)id);
    return (const Word_t *)at;
}

static void drop_expired(struct cancelled_ids *ids, int64_t at_ms)
{
    int64_t expired = 0;
    while (expired < ids->n && !is_kept(ids->entries[expired].at_ms, at_ms)) {
        const struct cancelled_id *entry = &ids->entries[expired++];
        const Word_t *newest_ms = newest_of(ids, entry->id);
        int rc = 0;
        if (newest_ms && (int64_t)*newest_ms == entry->at_ms)
            JLD(rc, ids->newest, (Word_t)entry->id);
        (void)rc;
    }
    ids->n -= expired;
    if (expired && ids->n)
        memmove(ids->entries, ids->entries + expired, sizeof *ids->entries * (size_t)ids->n);
}

enum sagehitch_error cancelled_ids_add(struct cancelled_ids *ids, int64_t id, int64_t at_ms)
{
    PPvoid_t newest_ms;
    drop_expired(ids, at_ms);
    if (ids->n == CANCELLED_IDS_MAX)
        return ERROR_OVERLOAD;
    *array_add(ids->entries, ids->n) = (struct cancelled_id){.id = id, .at_ms = at_ms};
    JLI(newest_ms, ids->newest, (Word_t)id);
    *(Word_t *)newest_ms = (Word_t)at_ms;
    return ERROR_NONE;
}

int cancelled_ids_has(const struct cancelled_ids *ids, int64_t id, int64_t at_ms)
{
    const Word_t *newest_ms = newest_of(ids, id);
    return newest_ms && is_kept((int64_t)*newest_ms, at_ms);
}

void cancelled_ids_clear(struct cancelled_ids *ids)
{
    Word_t freed;
    JLFA(freed, ids->newest);
    (void)freed;
    free(ids->entries);
    *ids = (struct cancelled_ids){0};
}
