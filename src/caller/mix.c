/* The kinds of jobs that each deployment submits, and their shares. */
#include <string.h>

#include "base/bytes.h"
#include "caller/caller.h"

struct mix {
    const char *deployment, *service, *queue;
    int64_t share_pct;                 /* of the deployment's jobs */
    int64_t tasks, cores, duration_ms; /* of the first step */
    int64_t steps, step_tasks;         /* number of further steps, and of tasks in each */
    int gang;
    int64_t priority;
};

static const struct mix mixes[] = {
    {"dackhuset", "lookup", "counter", 80, 1, 1, 120, 0, 0, 0, 10},
    {"dackhuset", "prices", "seasonal", 18, 3, 1, 300, 0, 0, 0, 50},
    {"dackhuset", "stock", "nightly", 2, 3, 2, 400, 2, 8, 1, 200},
    {"dau-suoi-am", "orders", "counter", 65, 1, 2, 150, 0, 0, 0, 10},
    {"dau-suoi-am", "settlements", "franchise", 33, 4, 4, 350, 1, 1, 0, 100},
    {"dau-suoi-am", "routes", "depot", 2, 4, 8, 600, 1, 1, 1, 20},
};

int mix_known(const char *deployment)
{
    for (int i = 0; i < COUNT_OF(mixes); i++)
        if (!strcmp(mixes[i].deployment, deployment))
            return 1;
    return 0;
}

static void add_step(struct bytes *to, const struct mix *mix, struct world *world, int64_t no, int64_t tasks)
{
    bytes_printf(to, "%s{\"name\":\"s%lld\"", no ? "," : "", (long long)no);
    if (no)
        bytes_printf(to, ",\"after\":[\"s%lld\"]", (long long)no - 1);
    if (!no && mix->gang)
        bytes_printf(to, ",\"gang\":true,\"rack\":\"one\",\"perExecutor\":2");
    else if (tasks > 2)
        bytes_printf(to, ",\"perExecutor\":3,\"perRack\":6");
    bytes_printf(to, ",\"tasks\":[");
    for (int64_t i = 0; i < tasks; i++) {
        int64_t duration_ms = mix->duration_ms / 2 + (int64_t)(world_random(world) % (uint64_t)mix->duration_ms);
        bytes_printf(to, "%s{\"kind\":\"std\",\"cores\":%lld,\"memMb\":256,\"payload\":\"ms=%lld\"}", i ? "," : "",
                     (long long)mix->cores, (long long)duration_ms);
    }
    bytes_printf(to, "]}");
}

char *mix_job(struct world *world, const char *deployment, const char *key, int64_t *kind)
{
    int64_t pick = (int64_t)(world_random(world) % 100);
    struct bytes body = {0};
    for (int i = 0; i < COUNT_OF(mixes); i++) {
        const struct mix *mix = &mixes[i];
        if (strcmp(mix->deployment, deployment))
            continue;
        pick -= mix->share_pct;
        if (pick >= 0)
            continue;
        *kind = i;
        bytes_printf(&body, "{\"key\":\"%s\",\"service\":\"%s\",\"queue\":\"%s\",\"priority\":%lld,\"steps\":[", key,
                     mix->service, mix->queue, (long long)mix->priority);
        add_step(&body, mix, world, 0, mix->tasks);
        for (int64_t step = 1; step <= mix->steps; step++)
            add_step(&body, mix, world, step, mix->step_tasks);
        bytes_printf(&body, "]}");
        break;
    }
    return (char *)body.at;
}
