/* Delays between retries that double up to a limit. */
#ifndef SAGEHITCH_BASE_BACKOFF_H
#define SAGEHITCH_BASE_BACKOFF_H
#include <stdint.h>

/* The delay after delay_ms (0: none so far): min_ms first, then twice the former one, max_ms at most. */
static inline int64_t backoff_next(int64_t delay_ms, int64_t min_ms, int64_t max_ms)
{
    int64_t next_ms = delay_ms ? delay_ms * 2 : min_ms;
    return next_ms < max_ms ? next_ms : max_ms;
}
#endif
