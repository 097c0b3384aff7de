/* Steps in progress: how long their runs take, and which of their ends are being committed. */
#include <stdlib.h>
#include <string.h>

#include "dispatch/leader_state.h"

enum {
    SIBLINGS_MIN = 2, /* so many runs of the step must have ended before one is compared with them */
    PACE_SHARE = 6,   /* a run moves its executor's mean by one part in so many, */
    TYPICAL_SHARE = 32,
    TYPICAL_PCT_MIN = 10,
    SLOW_PCT_MIN = 30,
    SLOW_PCT_MAX = 1500,
    ROWS_OF_JOB = 1 << 15 /* as in row_key() */
};

/* The step of a run, and its first row in the run's repetition. */
static const struct step_spec *step_of_run(const struct run *run, int64_t *first)
{
    int64_t repetition, step, index;
    job_row_position(run->job, run->no, &repetition, &step, &index);
    *first = run->no - index;
    return &run->job->spec.steps[step];
}

static struct step_progress *progress_find(const struct dispatch *dispatch, const struct job *job, int64_t first)
{
    PPvoid_t at;
    JLG(at, dispatch->steps, row_key(job, first));
    return at ? *at : NULL;
}

static struct step_progress *progress_of(struct dispatch *dispatch, const struct job *job, int64_t first)
{
    PPvoid_t at;
    JLI(at, dispatch->steps, row_key(job, first));
    if (!*at)
        *at = must_alloc(sizeof(struct step_progress));
    return *at;
}

/* Duration of a run as if near its data. */
static int64_t run_took_ms(const struct dispatch *dispatch, const struct executor_view *view,
                           const struct step_spec *spec, const struct run *run)
{
    int64_t took_ms = world_ms(dispatch->world) - run->placed_ms;
    int away = spec->rack && (!view->executor.rack || strcmp(spec->rack, view->executor.rack) != 0);
    return away && dispatch->settings.remote_data_pct > 100 ? took_ms * 100 / dispatch->settings.remote_data_pct
                                                            : took_ms;
}

void step_pace_learn(struct dispatch *dispatch, struct executor_view *view, const struct run *run)
{
    int64_t first;
    const struct step_spec *spec = step_of_run(run, &first);
    int64_t took_ms = run_took_ms(dispatch, view, spec, run);
    if (took_ms <= 0 || spec->long_running || run->job->rows[run->no].checkpoint || job_over(run->job))
        return;
    struct step_progress *progress = progress_of(dispatch, run->job, first);
    int64_t n = progress->n_ended++, mean_ms = n ? progress->ended_ms / n : 0;
    progress->ended_ms += took_ms;
    if (n < SIBLINGS_MIN || !mean_ms)
        return;
    int64_t pct = took_ms * 100 / mean_ms;
    if (pct > SLOW_PCT_MAX)
        pct = SLOW_PCT_MAX;
    int64_t typical_pct = dispatch->typical_pct > TYPICAL_PCT_MIN ? dispatch->typical_pct : TYPICAL_PCT_MIN;
    dispatch->typical_pct += (pct - dispatch->typical_pct) / TYPICAL_SHARE;
    view->duration_pct += (pct * 100 / typical_pct - view->duration_pct) / PACE_SHARE;
    if (view->duration_pct < SLOW_PCT_MIN)
        view->duration_pct = SLOW_PCT_MIN;
}

void step_end_pending(struct dispatch *dispatch, struct run *run)
{
    int64_t first;
    /* the members of a gang end together, by one of them, so they cannot be counted */
    if (step_of_run(run, &first)->gang || job_over(run->job))
        return;
    run->end_pending = 1;
    progress_of(dispatch, run->job, first)->n_ends_pending++;
}

void step_end_settled(struct dispatch *dispatch, struct run *run)
{
    int64_t first;
    if (!run->end_pending)
        return;
    run->end_pending = 0;
    (void)step_of_run(run, &first);
    struct step_progress *progress = progress_find(dispatch, run->job, first);
    if (progress)
        progress->n_ends_pending--;
}

int64_t step_ends_pending(const struct dispatch *dispatch, const struct job *job, int64_t first)
{
    const struct step_progress *progress = progress_find(dispatch, job, first);
    return progress ? progress->n_ends_pending : 0;
}

/* Frees all from this key on, up to but not including end. */
static void steps_free(struct dispatch *dispatch, Word_t key, Word_t end)
{
    for (PPvoid_t at = JudyLFirst(dispatch->steps, &key, PJE0); at && key < end;
         at = JudyLFirst(dispatch->steps, &key, PJE0)) {
        free(*at);
        JudyLDel(&dispatch->steps, key, PJE0);
    }
}

void steps_forget(struct dispatch *dispatch, const struct job *job)
{
    steps_free(dispatch, row_key(job, 0), row_key(job, 0) + ROWS_OF_JOB);
}

void steps_forget_all(struct dispatch *dispatch) { steps_free(dispatch, 0, ~(Word_t)0); }
