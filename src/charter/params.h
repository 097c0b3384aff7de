/* The settings an operator may write, as a table of offsets, types and
 * defaults. Queue settings are inherited down the tree; those marked FF_ROOT
 * belong to the whole fleet and only the root may set them. */
#ifndef SAGEHITCH_CHARTER_PARAMS_H
#define SAGEHITCH_CHARTER_PARAMS_H
#include "base/shape.h"

/* Invariant: FF_BOUND values never rise from parent to child. */
struct params {
    /* queues */
    int64_t atLeastOnce, attemptsMax, licenceMs, backoffMs, backoffMaxMs, runMaxMs, ttlMs, keepMs;
    int64_t stallMs, preempt, preemptMs;
    int64_t priority, payloadMax, queuedMax, weight, agePerSecond;
    /* the whole fleet */
    int64_t breakerWindowMs, breakerSlowMs, breakerErrorsPct, breakerLeast, breakerOpenMs;
    int64_t batchMax, bufferMax, sendOnAbove, prefetchMin, prefetchMax;
    int64_t cutoffMs, scanEveryMs, marginMs, silentMs, settleMs;
    int64_t quarantineWindow, quarantinePct, quarantineMs, probationTasks;
};

extern const struct shape paramsShape;
#endif
