/* Defaults and bounds of the settings. */
#include "config_tree/settings.h"

#define DAY_MS (24 * 3600LL * 1000)
/* An integer setting: its default, bounds and flags (enum field_flag). */
#define P(MEMBER, OUTER, DFLT, MIN, MAX, FLAGS) \
    INT_NAMED(settings, MEMBER, OUTER, .default_value = (DFLT), .min = (MIN), .max = (MAX), .flags = (FLAGS))

static const struct field fields[] = {
    BOOL_NAMED(settings, at_least_once, "atLeastOnce"),
    P(attempts_max, "attemptsMax", 3, 1, 100, FF_UPPER_BOUND),
    P(lease_ms, "licenceMs", 4000, 500, 3600000, 0),
    P(backoff_ms, "backoffMs", 500, 1, 3600000, 0),
    P(backoff_max_ms, "backoffMaxMs", 30000, 1, DAY_MS, 0),
    P(run_max_ms, "runMaxMs", 3600000, 100, DAY_MS, FF_UPPER_BOUND),
    P(ttl_ms, "ttlMs", DAY_MS, 1000, 30 * DAY_MS, FF_UPPER_BOUND),
    P(keep_ms, "keepMs", DAY_MS, 7200000, 30 * DAY_MS, FF_UPPER_BOUND),
    P(stall_ms, "stallMs", 30000, 1000, DAY_MS, 0),
    BOOL(settings, preempt, .default_value = 1),
    P(preempt_ms, "preemptMs", 2500, 500, 3600000, 0),
    P(priority, "priority", 100, 0, INT32_MAX, 0),
    P(payload_max, "payloadMax", 10240, 0, 10240, FF_UPPER_BOUND),
    P(queued_max, "queuedMax", 20000, 1, 1000000, FF_UPPER_BOUND),
    P(weight, "weight", 10, 1, 1000, 0),
    P(age_per_second, "agePerSecond", 2, 0, 1000000, 0),
    P(breaker_window_ms, "breakerWindowMs", 5000, 100, 600000, FF_ROOT_ONLY),
    P(breaker_slow_ms, "breakerSlowMs", 1000, 1, 600000, FF_ROOT_ONLY),
    P(breaker_errors_pct, "breakerErrorsPct", 50, 1, 100, FF_ROOT_ONLY),
    P(breaker_min_ops, "breakerLeast", 4, 1, 10000, FF_ROOT_ONLY),
    P(breaker_open_ms, "breakerOpenMs", 1000, 10, 600000, FF_ROOT_ONLY),
    P(batch_max, "batchMax", 64, 1, 10000, FF_ROOT_ONLY),
    P(buffer_max, "bufferMax", 2000, 1, 1000000, FF_ROOT_ONLY),
    P(forward_above, "sendOnAbove", 1000, 1, 1000000, FF_ROOT_ONLY),
    P(prefetch_min, "prefetchMin", 4, 1, 10000, FF_ROOT_ONLY),
    P(prefetch_max, "prefetchMax", 64, 1, 10000, FF_ROOT_ONLY),
    P(deadline_ms, "cutoffMs", 4000, 100, 60000, FF_ROOT_ONLY),
    P(scan_every_ms, "scanEveryMs", 20, 5, 10000, FF_ROOT_ONLY),
    P(margin_ms, "marginMs", 1000, 100, 60000, FF_ROOT_ONLY),
    P(silent_ms, "silentMs", 2500, 500, 600000, FF_ROOT_ONLY),
    P(settle_ms, "settleMs", 5000, 0, 3600000, FF_ROOT_ONLY),
    P(quarantine_window, "quarantineWindow", 16, 4, 64, FF_ROOT_ONLY),
    P(quarantine_pct, "quarantinePct", 60, 1, 100, FF_ROOT_ONLY),
    P(quarantine_ms, "quarantineMs", 10000, 100, DAY_MS, FF_ROOT_ONLY),
    P(probation_tasks, "probationTasks", 3, 1, 64, FF_ROOT_ONLY),
};
SCHEMA(settings_schema, settings, fields);
