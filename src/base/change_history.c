/* History of applied changes, to recognise repeated ones. */
#include "base/change_history.h"

#include <string.h>

#include "base/bytes.h"
#include "base/error.h"

static const struct field change_fields[] = {INT(applied_change, key), INT(applied_change, version),
                                             INT(applied_change, base), INT(applied_change, hash)};
static SCHEMA(taken_change_schema, applied_change, change_fields);

static const struct field history_fields[] = {LIST(change_history, changes, n, taken_change_schema),
                                              BOOL(change_history, complete)};
SCHEMA(change_history_schema, change_history, history_fields);

int64_t change_hash(const void *body, int64_t len) { return (int64_t)hash_mix(hash_of(body, len), (uint64_t)len); }

void change_history_add(struct change_history *history, const struct applied_change *change)
{
    if (history->n == CHANGES_KEPT) {
        memmove(history->changes, history->changes + 1, sizeof *history->changes * (CHANGES_KEPT - 1));
        history->n--;
        history->complete = 0;
    }
    *array_add(history->changes, history->n) = *change;
}

enum sagehitch_error change_history_check(const struct change_history *history, const struct applied_change *change)
{
    const struct applied_change *oldest = NULL;
    for (int64_t i = 0; i < history->n; i++) {
        const struct applied_change *known = &history->changes[i];
        if (known->key != change->key)
            continue;
        oldest = oldest ? oldest : known;
        if (known->version == change->version)
            return known->hash == change->hash && (known->base == change->base || known->base == BASE_UNKNOWN)
                       ? ERROR_NONE
                       : ERROR_STALE;
    }
    return history->complete || (oldest && change->version > oldest->version) ? ERROR_STALE : ERROR_OUTCOME_UNKNOWN;
}

int change_history_is_valid(const struct change_history *history)
{
    if (history->n > CHANGES_KEPT)
        return 0;
    for (int64_t i = 0; i < history->n; i++)
        for (int64_t k = 0; k < i; k++)
            if (history->changes[k].key == history->changes[i].key &&
                history->changes[k].version >= history->changes[i].version)
                return 0;
    return 1;
}
