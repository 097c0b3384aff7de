/* Once the traffic is over: does work whose turn has come stand still although
 * there is ample room for it? */
#include <string.h>

#include "dispatch/job.h"
#include "dispatch/messages.h"
#include "sim/cluster.h"

enum { STILL_MS = 3000, SETTLED_MS = 10000 };

/* A step whose turn has come, NULL: none. */
static const struct step_spec *ready_step(const struct cluster *c, const struct board_job *job)
{
    const struct job_spec *spec = job->spec;
    for (int64_t t = 0; t < job->times; t++)
        for (int64_t k = 0; k < spec->nSteps; k++) {
            int ready = !board_step_done(job, t, k) &&
                        (!spec->repeats || cluster_wall_ms(c) >= spec->startMs + t * spec->intervalMs);
            for (int64_t i = 0; i < spec->steps[k].nDependsOn; i++)
                ready = ready && board_step_done(job, t, spec->steps[k].dependsOn[i]);
            if (ready)
                return &spec->steps[k];
        }
    return NULL;
}

static int runs(struct cluster *c, const struct board_job *job)
{
    struct standin *s;
    for (int64_t k = 0; (s = cluster_standin(c, k)); k++)
        for (int64_t i = 0; s->up && i < s->nRuns; i++)
            if (s->runs[i].job == job)
                return 1;
    return 0;
}

static int64_t least(int64_t a, int64_t b) { return a < b ? a : b; }

/* Room twice over, and less than half of the service's in use. */
static int ample(struct cluster *c, const struct board_job *job, const struct step_spec *step)
{
    int64_t fit = 0, cpu = 0, used = 0, needed = step->gang ? step->taskCount : 1;
    struct standin *s;
    for (int64_t k = 0; (s = cluster_standin(c, k)); k++) {
        int64_t cpuMilli, memoryMb, gpus;
        if (!s->up || s->draining || strcmp(s->service, job->service))
            continue;
        standin_used(s, &cpuMilli, &memoryMb, &gpus);
        cpu += s->cpuMilli;
        used += cpuMilli;
        if (step->label && strcmp(step->label, s->label))
            continue;
        int64_t here = least((s->cpuMilli - cpuMilli) / step->cpuMilli, (s->memoryMb - memoryMb) / step->memoryMb);
        fit += step->perExecutor ? least(here, step->perExecutor) : here;
    }
    return fit >= 2 * needed && used * 2 < cpu;
}

void judge_still(struct cluster *c)
{
    for (int64_t i = 0; i < c->nJobs; i++) {
        struct board_job *job = c->jobs[i];
        const struct step_spec *step = NULL;
        int open = job->acceptedUs >= 0 && job->shown < 3 && !job->cancelUs && !job->hopeless;
        if (open && c->nowUs - c->troubleUs > SETTLED_MS * 1000 && !runs(c, job))
            step = ready_step(c, job);
        if (!step || !ample(c, job, step)) {
            job->stillUs = 0;
            continue;
        }
        c->judged++;
        if (!job->stillUs)
            job->stillUs = c->nowUs;
        if (c->nowUs - job->stillUs > STILL_MS * 1000 && !job->stillTold) {
            job->stillTold = 1;
            judge_say(c, job->id, "LOST: job %llx stands still though there is room for it twice over",
                      (unsigned long long)job->id);
        }
    }
}
