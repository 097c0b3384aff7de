/* Stations: agents and their executors as the newest reports tell of them. */
#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/problem.h"
#include "dispatch/leader_state.h"

enum { SHUN_MS = 4000, SHUN_PCT = 60, SLOW_MOST = 1500 };

struct station *station_of(struct dispatch *d, int64_t agent)
{
    PPvoid_t at;
    JLI(at, d->agentStations, (Word_t)agent);
    if (*at)
        return *at;
    struct station *s = *at = must_alloc(sizeof *s);
    *s = (struct station){.agent = agent, .slowPct = 100};
    *list_more(d->stations, d->nStations) = s;
    return s;
}

struct station *station_of_life(struct dispatch *d, int64_t life)
{
    const struct life *l = &d->record->lives[life];
    PPvoid_t at;
    JLG(at, d->agentStations, (Word_t)l->agent);
    struct station *s = at ? *at : NULL;
    return s && s->present && s->executor.life && !strcmp(s->executor.life, l->name) ? s : NULL;
}

static void lists_free(struct station *s)
{
    for (int64_t i = 0; i < s->nLostLives; i++)
        free(s->lostLives[i]);
    free(s->lostLives);
    free(s->zombies);
    free(s->absent);
    s->lostLives = NULL, s->nLostLives = 0;
    s->zombies = s->absent = NULL;
    s->nZombies = s->nAbsent = 0;
}

void station_free(struct station *s)
{
    shape_free(&executorStateShape, &s->executor);
    lists_free(s);
    free(s);
}

int station_open(const struct dispatch *d, const struct station *s)
{
    int64_t nowMs = world_ms(d->w);
    return s->present && s->ready && s->epoch == d->epoch && nowMs - s->heardMs < FRESH_MS && !s->executor.draining &&
           s->executor.silentMs < SILENT_MS && nowMs >= s->shunUntilMs;
}

/* An executor whose work mostly fails, stalls or is turned away is left alone for a while.
 * Some tasks fail by their own fault anywhere, so it is judged by its share over the last few,
 * and against the others'; and never so that less than half of the stations are left. */
void station_judge(struct dispatch *d, struct station *s, int64_t bad, int64_t weight)
{
    int64_t nowMs = world_ms(d->w), shunned = 0, othersPct = 0;
    for (int64_t i = 0; i < weight; i++)
        s->badPct += ((bad ? 100 : 0) - s->badPct) / 6;
    if (s->badPct < SHUN_PCT || nowMs < s->shunUntilMs)
        return;
    for (int64_t i = 0; i < d->nStations; i++) {
        shunned += nowMs < d->stations[i]->shunUntilMs;
        othersPct += d->stations[i]->badPct;
    }
    if ((shunned + 1) * 2 > d->nStations || othersPct / d->nStations * 2 > s->badPct)
        return;
    s->shunUntilMs = nowMs + SHUN_MS;
    s->badPct = SHUN_PCT / 2;
    world_note(d->w, EV_QUARANTINE, "executor=%s", s->executor.life);
}

/* How long work takes there against its estimate, and against how long it takes elsewhere. */
static void learn_pace(struct dispatch *d, struct station *s, const struct run *run)
{
    int64_t tookMs = world_ms(d->w) - (run->startedMs ? run->startedMs : run->placedMs);
    int64_t time, step, index;
    job_place(run->job, run->no, &time, &step, &index);
    int64_t guessMs = run->job->spec.steps[step].estimateMs;
    if (guessMs < 20 || tookMs < 0)
        return;
    int64_t pct = tookMs * 100 / guessMs;
    if (pct > 2000)
        pct = 2000;
    int64_t against = pct * 100 / (d->typicalPct > 10 ? d->typicalPct : 10);
    d->typicalPct += (pct - d->typicalPct) / 32;
    if (against > SLOW_MOST)
        against = SLOW_MOST;
    s->slowPct += (against - s->slowPct) / 6;
    if (s->slowPct < 30)
        s->slowPct = 30;
}

/* Up to which number all ends are in the record, so that the executor may forget them. */
int64_t station_seen(const struct dispatch *d, struct station *s, int64_t life)
{
    int64_t seen = s->newestSeq;
    for (int64_t i = 0; life >= 0 && i < d->tenures[life].n; i++) {
        int64_t seq = d->tenures[life].runs[i].endSeq;
        if (seq && seq <= seen)
            seen = seq - 1;
    }
    if (seen > s->seen)
        s->seen = seen;
    return s->seen;
}

static void take_ends(struct dispatch *d, struct station *s, int64_t life, const struct agent_report *r)
{
    for (int64_t i = 0; i < r->nEnded; i++) {
        const struct run_ended *e = &r->ended[i];
        struct run_ref ref = {.job = e->job, .task = e->task, .attempt = e->attempt};
        struct run *run = run_find(d, life, &ref);
        if (e->seq > s->newestSeq)
            s->newestSeq = e->seq;
        if (!run) {
            if (!e->seq)
                *list_more(s->absent, s->nAbsent) = ref;
            continue;
        }
        run->endSeq = e->seq;
        if (run->ending)
            continue;
        if (e->how == END_DONE)
            learn_pace(d, s, run);
        if (e->how == END_DONE || e->how == END_FAILED)
            station_judge(d, s, e->how == END_FAILED, 1);
        run_end(d, run, e->how, e->saved);
    }
}

static void take_active(struct dispatch *d, struct station *s, int64_t life, const struct agent_report *r)
{
    int64_t nowMs = world_ms(d->w);
    for (int64_t i = 0; i < r->nActive; i++) {
        const struct run_active *a = &r->active[i];
        struct run_ref ref = {.job = a->job, .task = a->task, .attempt = a->attempt};
        struct run *run = run_find(d, life, &ref);
        if (!run) {
            *list_more(s->zombies, s->nZombies) = ref;
            continue;
        }
        if (!run->startedMs)
            run->startedMs = run->percentMs = nowMs;
        run->seenMs = nowMs;
        run->known = 1;
        if (a->percent != run->percent) {
            run->percent = a->percent;
            run->percentMs = nowMs;
        }
    }
    for (int64_t i = 0; i < r->nPending; i++) {
        struct run *run = run_find(d, life, &r->pending[i]);
        if (run)
            run->known = 1;
    }
    for (int64_t i = 0; i < r->nRefused; i++) {
        const struct run_refused *f = &r->refused[i];
        struct run_ref ref = {.job = f->job, .task = f->task, .attempt = f->attempt};
        struct run *run = run_find(d, life, &ref);
        if (!run) {
            *list_more(s->absent, s->nAbsent) = ref;
            continue;
        }
        run->known = 1;
        if (!run->refused) {
            run->refused = 1;
            station_judge(d, s, f->reason == REFUSED_SICK, 2);
        }
        /* an unanswered call of the same order may still be carried out: only a stop proves */
        run_stop(d, run);
        run_gang_stop(d, run->job, run->no);
    }
}

static void take_lost_lives(struct dispatch *d, struct station *s, const struct agent_report *r)
{
    for (int64_t i = 0; i < r->nLostLives; i++) {
        int64_t life = life_find(d, r->lostLives[i]);
        if (life >= 0 && d->record->lives[life].agent == s->agent)
            life_lapsed(d, life, INT64_MAX);
        else
            *list_more(s->lostLives, s->nLostLives) = must_dup(r->lostLives[i]);
    }
    /* it answers nothing, and all that it was ever told to hold has run out */
    int over = r->present && r->epoch == d->epoch && r->executor.silentMs && !r->executor.overMs;
    int64_t mute = over ? life_find(d, r->executor.life) : -1;
    if (mute >= 0 && d->record->lives[mute].agent == s->agent)
        life_lapsed(d, mute, r->ordersTaken);
    /* another life answers at the same agent under our fence: the ones before are over */
    for (int64_t k = 0; r->present && r->ready && r->epoch == d->epoch && k < d->nTenures; k++)
        if (k < d->record->nLives && d->tenures[k].n && d->record->lives[k].agent == s->agent &&
            strcmp(d->record->lives[k].name, r->executor.life))
            life_lapsed(d, k, INT64_MAX);
}

/* Room that batches under way promise on this life: it is given back as they are committed. */
static void promises_count(struct station *s, const struct batch *batch, const char *life)
{
    for (int64_t i = 0; batch && i < batch->nPromises; i++) {
        const struct promise *p = &batch->promises[i];
        if (p->agent != s->agent || strcmp(p->life, life))
            continue;
        s->cpuReserved += p->cpuMilli;
        s->memoryReserved += p->memoryMb;
        s->gpusReserved += p->gpus;
    }
}

static void promises_again(struct dispatch *d, struct station *s, const char *life)
{
    s->cpuReserved = s->memoryReserved = s->gpusReserved = 0;
    if (!life)
        return;
    promises_count(s, d->open, life);
    for (int64_t i = 0; i < d->batches.cap; i++) {
        struct batch **batch = slab_at(&d->batches, slab_number(&d->batches, i));
        promises_count(s, batch ? *batch : NULL, life);
    }
}

void dispatch_report(struct dispatch *d, int64_t agent, const struct agent_report *r)
{
    if (!d->leading || (r->present && !r->executor.life))
        return;
    struct station *s = station_of(d, agent);
    int64_t nowMs = world_ms(d->w);
    int fresh = !s->present || !r->present || !s->executor.life || strcmp(s->executor.life, r->executor.life);
    if (fresh) {
        promises_again(d, s, r->present ? r->executor.life : NULL);
        s->seen = s->newestSeq = 0;
        s->slowPct = 100;
        s->badPct = s->shunUntilMs = 0;
        d->planDue = 1;
    }
    if (s->ready != r->ready || s->executor.draining != r->executor.draining)
        d->planDue = 1;
    shape_free(&executorStateShape, &s->executor);
    lists_free(s);
    memset(&s->executor, 0, sizeof s->executor);
    if (r->present)
        shape_copy(&executorStateShape, &s->executor, &r->executor);
    s->boot = r->boot;
    s->heardMs = nowMs;
    s->epoch = r->epoch;
    s->present = r->present;
    s->ready = r->ready && r->epoch == d->epoch;
    take_lost_lives(d, s, r);
    int64_t life = r->present ? life_find(d, r->executor.life) : -1;
    if (life >= 0 && d->record->lives[life].agent != agent)
        life = -1;
    for (int64_t i = 0; life >= 0 && life < d->nTenures && i < d->tenures[life].n; i++)
        d->tenures[life].runs[i].known = 0;
    if (s->ready) {
        take_ends(d, s, life, r);
        take_active(d, s, life, r);
    }
    orders_send(d, s, r->stampMs);
}
