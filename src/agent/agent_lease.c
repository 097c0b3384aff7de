#include "agent/agent_state.h"

/* Invariant of all here: the executor's clock never runs faster than ours and at
 * most (100 - SLOW_PCT) percent slower, and an answer's clock was read before the
 * answer came. So clockMs + SLOW_PCT% of what passed since is never more than what its clock
 * shows, and an expiry that lies SLOW_PCT% of x after clockMs is over x after we heard it. */

int64_t agent_clock_ms(const struct agent *a, int64_t now)
{
    return a->life.clockMs + (now - a->life.clockAtMs) * SLOW_PCT / 100;
}

int64_t agent_best_expiry(const struct agent *a, int64_t now)
{
    const struct agent_life *life = &a->life;
    if (!life->clockAtMs || a->grantUntilMs <= now)
        return 0;
    int64_t clock = agent_clock_ms(a, now);
    int64_t expiry = life->clockMs + (a->grantUntilMs - life->clockAtMs) * SLOW_PCT / 100;
    int64_t most = clock + a->setup.holdMaxMs;
    expiry = expiry < most ? expiry : most;
    return expiry > clock ? expiry : 0;
}

int64_t agent_over_ms(const struct agent *a, int64_t now)
{
    const struct agent_life *life = &a->life;
    int64_t over = 0;
    if (life->sentExpiryMs) {
        int64_t left = life->sentExpiryMs - agent_clock_ms(a, now);
        over = left > 0 ? left * 100 / SLOW_PCT + 1 + OVER_MARGIN_MS : 0;
    }
    /* what an earlier process of ours sent is over once the longest hold has passed since we began */
    int64_t takenMs = a->setup.byBeat ? BEAT_TAKEN_MS : 0;
    int64_t inherited = a->startedMs + takenMs + a->setup.holdMaxMs * 100 / SLOW_PCT + OVER_MARGIN_MS - now;
    return inherited > over ? inherited : over;
}

void agent_clock_heard(struct agent *a, int64_t clockMs, int64_t now)
{
    struct agent_life *life = &a->life;
    if (clockMs < 0 || (life->clockAtMs && clockMs < agent_clock_ms(a, now)))
        return;
    life->clockMs = clockMs;
    life->clockAtMs = now;
}
