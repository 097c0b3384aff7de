#include "charter/params.h"

#define DAY_MS (24 * 3600 * 1000LL)
#define P(NAME, DFLT, MIN, MAX, FLAGS) INT(params, NAME, .dflt = DFLT, .min = MIN, .max = MAX, .flags = FLAGS)

static const struct field fields[] = {
    BOOL(params, atLeastOnce),
    P(attemptsMax, 3, 1, 100, FF_BOUND),
    P(licenceMs, 4000, 500, 3600000, 0),
    P(backoffMs, 500, 1, 3600000, 0),
    P(backoffMaxMs, 30000, 1, DAY_MS, 0),
    P(runMaxMs, 3600000, 100, DAY_MS, FF_BOUND),
    P(ttlMs, DAY_MS, 1000, 30 * DAY_MS, FF_BOUND),
    P(keepMs, DAY_MS, 7200000, 30 * DAY_MS, FF_BOUND),
    P(stallMs, 30000, 1000, DAY_MS, 0),
    BOOL(params, preempt, .dflt = 1),
    P(preemptMs, 2500, 500, 3600000, 0),
    P(priority, 100, 0, INT32_MAX, 0),
    P(payloadMax, 10240, 0, 10240, FF_BOUND),
    P(queuedMax, 20000, 1, 1000000, FF_BOUND),
    P(weight, 10, 1, 1000, 0),
    P(agePerSecond, 2, 0, 1000000, 0),
    P(breakerWindowMs, 5000, 100, 600000, FF_ROOT),
    P(breakerSlowMs, 1000, 1, 600000, FF_ROOT),
    P(breakerErrorsPct, 50, 1, 100, FF_ROOT),
    P(breakerLeast, 4, 1, 10000, FF_ROOT),
    P(breakerOpenMs, 1000, 10, 600000, FF_ROOT),
    P(batchMax, 64, 1, 10000, FF_ROOT),
    P(bufferMax, 2000, 1, 1000000, FF_ROOT),
    P(sendOnAbove, 1000, 1, 1000000, FF_ROOT),
    P(prefetchMin, 4, 1, 10000, FF_ROOT),
    P(prefetchMax, 64, 1, 10000, FF_ROOT),
    P(cutoffMs, 4000, 100, 60000, FF_ROOT),
    P(scanEveryMs, 20, 5, 10000, FF_ROOT),
    P(marginMs, 1000, 100, 60000, FF_ROOT),
    P(silentMs, 2500, 500, 600000, FF_ROOT),
    P(settleMs, 5000, 0, 3600000, FF_ROOT),
    P(quarantineWindow, 16, 4, 64, FF_ROOT),
    P(quarantinePct, 60, 1, 100, FF_ROOT),
    P(quarantineMs, 10000, 100, DAY_MS, FF_ROOT),
    P(probationTasks, 3, 1, 64, FF_ROOT),
};
SHAPE(paramsShape, params, fields);
