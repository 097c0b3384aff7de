/* History of applied changes, to recognise repeated ones. */
#include "base/change_history.h"

#include <string.h>

#include "base/bytes.h"
#include "base/error.h"

static const struct field change_fields[] = {INT(taken_change, key), INT(taken_change, version),
                                             INT(taken_change, base), INT(taken_change, hash)};
static SCHEMA(taken_change_schema, taken_change, change_fields);

static const struct field history_fields[] = {LIST(change_history, changes, n, taken_change_schema),
                                              BOOL(change_history, complete)};
SCHEMA(change_history_schema, change_history, history_fields);

int64_t change_hash(const void *body, int64_t len) { return (int64_t)hash_mix(hash_of(body, len), (uint64_t)len); }

void change_history_add(struct change_history *history, const struct taken_change *change)
{
    if (history->n == CHANGES_REMEMBERED) {
        memmove(history->changes, history->changes + 1, sizeof *history->changes * (CHANGES_REMEMBERED - 1));
        history->n--;
        history->complete = 0;
    }
    *list_more(history->changes, history->n) = *change;
}

enum sagehitch_error change_history_check(const struct change_history *history, const struct taken_change *change)
{
    const struct taken_change *oldest = NULL;
    for (int64_t i = 0; i < history->n; i++) {
        const struct taken_change *known = &history->changes[i];
        if (known->key != change->key)
            continue;
        oldest = oldest ? oldest : known;
        if (known->version == change->version)
            return known->hash == change->hash && (known->base == change->base || known->base == BASE_UNKNOWN)
                       ? ERROR_NONE
                       : ERROR_STALE;
    }
    return history->complete || (oldest && change->version > oldest->version) ? ERROR_STALE : ERROR_GAVE_UP;
}

int change_history_good(const struct change_history *history)
{
    if (history->n > CHANGES_REMEMBERED)
        return 0;
    for (int64_t i = 0; i < history->n; i++)
        for (int64_t k = 0; k < i; k++)
            if (history->changes[k].key == history->changes[i].key &&
                history->changes[k].version >= history->changes[i].version)
                return 0;
    return 1;
}
