/* A caller that generates load for tests and trials: submits a deployment's mix of jobs at a fixed rate, resends a job
 * under the same key until it is accepted or rejected, polls it until it ends, and counts the outcomes. */
#ifndef SAGEHITCH_CALLER_H
#define SAGEHITCH_CALLER_H
#include "base/world.h"

/* A job of the caller. schema: the index of its kind of job in mix.c; the simulator sets it to -1 once its oracle has
 * seen the job's end. */
struct caller_job {
    char key[64], id[48], *body;
    int64_t no, created_ms, accepted_ms, ended_ms, next_request_ms, request_pending, mix_kind;
    char state[16];
};

/* Invariant: each job is counted once, under its final state. */
struct caller {
    struct world *world;
    const char *deployment, *name;
    int64_t seeds[8], n_seeds, next_seed;
    int64_t per_minute, until_ms, started_ms, sent, resent, rejected;
    struct caller_job *jobs; /* has its full size from the start: pending calls refer to its elements */
    int64_t n_jobs, cap, live;
    int64_t statuses[8];
};

/* The load to generate. deployment and name must outlive the caller; seeds are copied. */
struct caller_setup {
    const char *deployment; /* selects the mix of jobs, see mix_job() */
    const char *name;       /* prefix of the job keys */
    const int64_t *seeds;   /* HTTP addresses, called in turn */
    int64_t n_seeds;
    int64_t per_minute, seconds; /* jobs per minute, and for how long */
};

void caller_start(struct caller *caller, struct world *world, const struct caller_setup *setup);
void caller_end(struct caller *caller);
void caller_on_timer(struct caller *caller);
int caller_done(const struct caller *caller);
/* Counts and percentiles as JSON; the text must be freed with free(). */
char *caller_report(struct caller *caller);

/* The body of a random job of the deployment's mix, to be freed with free(); NULL: unknown deployment. kind: set to
 * the index of the kind of job. */
char *mix_job(struct world *world, const char *deployment, const char *key, int64_t *kind);
int mix_known(const char *deployment);
#endif
