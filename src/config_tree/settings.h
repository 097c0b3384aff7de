/* The settings that operators may change. Those of queues are inherited from branch to branch of the configuration
 * tree; those of the whole cluster (FF_ROOT_ONLY) may be set at the root only. */
#ifndef SAGEHITCH_CONFIG_TREE_SETTINGS_H
#define SAGEHITCH_CONFIG_TREE_SETTINGS_H
#include "base/schema.h"

/* Invariant: an FF_UPPER_BOUND value is never higher in a branch than in its parent. */
struct settings {
    /* queues */
    int64_t at_least_once, attempts_max, lease_ms, backoff_ms, backoff_max_ms, run_max_ms, ttl_ms, keep_ms;
    int64_t stall_ms, preempt, preempt_ms;
    int64_t priority, payload_max, queued_max, weight, age_per_second;
    /* the whole cluster */
    int64_t breaker_window_ms, breaker_slow_ms, breaker_errors_pct, breaker_min_ops, breaker_open_ms;
    int64_t batch_max, buffer_max, forward_above, prefetch_min, prefetch_max;
    int64_t deadline_ms, scan_every_ms, margin_ms, silent_ms, settle_ms;
    int64_t quarantine_window, quarantine_pct, quarantine_ms, probation_tasks;
};

extern const struct schema settings_schema;
#endif
