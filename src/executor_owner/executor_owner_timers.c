/* What an executor's owner does as time passes: reservations lapse, ends are told again, silence is judged. */
#include "executor_owner/executor_owner.h"

#include "base/error.h"
#include "base/events.h"
#include "node/node.h"

enum { RESERVED_KEEP_MS = 8000, TELL_MS = 300, ROOMS_LEAST_MS = 40 };

static void reservations_lapse(struct executor_owner *executor_owner, int64_t now_ms)
{
    for (int64_t i = 0; i < executor_owner->n_rows; i++)
        if (executor_owner->rows[i].state == ALLOCATION_RESERVED &&
            now_ms - executor_owner->rows[i].since_ms > RESERVED_KEEP_MS)
            account_remove(executor_owner, &executor_owner->rows[i--]);
}

static void tell_ended(struct node *node, struct executor_owner *executor_owner, int64_t now_ms)
{
    for (int64_t i = 0; i < executor_owner->n_rows; i++) {
        struct account *row = &executor_owner->rows[i];
        if (row->state != ALLOCATION_ENDED || now_ms - row->told_ms < TELL_MS)
            continue;
        row->told_ms = now_ms;
        struct ended m = {.job = row->ref.job,
                          .no = row->ref.no,
                          .attempt = row->ref.attempt,
                          .outcome = row->outcome,
                          .executor = executor_owner->name,
                          .why = row->why};
        int64_t before = executor_owner->n_rows;
        node_send(node, shard_owner(node, job_shard(row->ref.job)), FRAME_ENDED, &ended_schema, &m);
        if (executor_owner->n_rows < before)
            i--; /* an owner on this node acknowledged it already */
    }
}

/* Beyond the longest lease given, whatever ran there has stopped by itself. */
static void watch_silence(struct node *node, struct executor_owner *executor_owner, int64_t now_ms)
{
    int64_t margin_ms = node->root_settings.margin_ms, longest = node->root_settings.lease_ms;
    int silent = now_ms - executor_owner->heard_ms > node->root_settings.silent_ms || executor_owner->misses >= 2;
    if (silent && !executor_owner->silent)
        world_note(node->w, EV_EXECUTOR_SILENT, "executor=%s", executor_owner->name);
    executor_owner->silent = silent;
    for (int64_t i = 0; i < executor_owner->n_rows; i++) {
        struct account *row = &executor_owner->rows[i];
        if (row->lease_ms > longest)
            longest = row->lease_ms;
        if (row->state > ALLOCATION_RESERVED && row->state < ALLOCATION_ENDED &&
            now_ms - executor_owner->ticket_ms > row->lease_ms + margin_ms)
            account_end(node, executor_owner, row, OUT_GONE, "executor silent beyond its licence");
    }
    for (int64_t i = 0; i < node->n_queues; i++)
        if (node_settings(node, i)->lease_ms > longest)
            longest = node_settings(node, i)->lease_ms;
    /* before it is opened we give no lease, whatever it reports: the former home's count */
    int64_t given_ms = executor_owner->opened ? executor_owner->ticket_ms : executor_owner->started_ms + ADMISSION_MS;
    int gone = now_ms - given_ms > longest + margin_ms;
    if (gone && !executor_owner->gone)
        world_note(node->w, EV_EXECUTOR_GONE, "executor=%s", executor_owner->name);
    executor_owner->gone = gone;
}

void executor_owners_on_timer(struct node *node)
{
    int64_t now_ms = world_ms(node->w);
    for (int64_t i = 0; i < node->n_executor_owners; i++) {
        struct executor_owner *executor_owner = node->executor_owners[i];
        if (!admission_open(node))
            continue;
        watch_silence(node, executor_owner, now_ms);
        reservations_lapse(executor_owner, now_ms);
        tell_ended(node, executor_owner, now_ms);
        home_call(node, executor_owner);
    }
    if (now_ms >= node->summaries_due_ms && now_ms - node->summaries_sent_ms >= ROOMS_LEAST_MS && admission_open(node))
        home_tell_rooms(node);
}
