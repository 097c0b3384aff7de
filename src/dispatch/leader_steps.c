/* Steps in progress: how long their runs take, and how many of their ends are being committed. */
#include <stdlib.h>
#include <string.h>

#include "dispatch/leader_state.h"

enum {
    COMPARED_RUNS_MIN = 2, /* a run is compared with others of its step once this many of them have ended */
    DURATION_SHARE = 6,    /* a run moves the mean of its executor by 1 / DURATION_SHARE of the difference */
    TYPICAL_SHARE = 32,    /* and the mean over all executors by 1 / TYPICAL_SHARE */
    TYPICAL_PCT_MIN = 10,
    DURATION_PCT_MIN = 30,
    DURATION_PCT_MAX = 1500,
    ROWS_OF_JOB = 1 << 15 /* as in row_key() */
};

/* The step of a run; fills first with the index of the step's first row in the run's repetition. */
static const struct step_spec *step_of_run(const struct run *run, int64_t *first)
{
    int64_t repetition, step, index;
    job_row_position(run->job, run->row_index, &repetition, &step, &index);
    *first = run->row_index - index;
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

/* Duration of a run, converted to what it would have been in the rack of its data. */
static int64_t run_duration_ms(const struct dispatch *dispatch, const struct executor_view *view,
                               const struct step_spec *spec, const struct run *run)
{
    int64_t duration_ms = world_ms(dispatch->world) - run->placed_ms;
    int away = spec->rack && (!view->executor.rack || strcmp(spec->rack, view->executor.rack) != 0);
    return away && dispatch->settings.remote_data_pct > 100 ? duration_ms * 100 / dispatch->settings.remote_data_pct
                                                            : duration_ms;
}

void step_learn_duration(struct dispatch *dispatch, struct executor_view *view, const struct run *run)
{
    int64_t first;
    const struct step_spec *spec = step_of_run(run, &first);
    int64_t duration_ms = run_duration_ms(dispatch, view, spec, run);
    if (duration_ms <= 0 || spec->long_running || run->job->rows[run->row_index].checkpoint || job_over(run->job))
        return;
    struct step_progress *progress = progress_of(dispatch, run->job, first);
    int64_t n = progress->n_ended++, mean_ms = n ? progress->ended_ms / n : 0;
    progress->ended_ms += duration_ms;
    if (n < COMPARED_RUNS_MIN || !mean_ms)
        return;
    int64_t pct = duration_ms * 100 / mean_ms;
    if (pct > DURATION_PCT_MAX)
        pct = DURATION_PCT_MAX;
    int64_t typical_pct = dispatch->typical_pct > TYPICAL_PCT_MIN ? dispatch->typical_pct : TYPICAL_PCT_MIN;
    dispatch->typical_pct += (pct - dispatch->typical_pct) / TYPICAL_SHARE;
    view->duration_pct += (pct * 100 / typical_pct - view->duration_pct) / DURATION_SHARE;
    if (view->duration_pct < DURATION_PCT_MIN)
        view->duration_pct = DURATION_PCT_MIN;
}

void step_end_pending(struct dispatch *dispatch, struct run *run)
{
    int64_t first;
    /* not counted for gangs: the end of one member as DONE ends all of them */
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

/* Frees the progress of all steps with keys from `key` up to but not including `end`. */
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
