/* The disk of a controller: opens the identity, the log and the state of the bootstrap, and opens them again after an
 * error, at the start of the process as later. Until that succeeds the log is broken: nothing is sent under this
 * identity, so that this controller counts for no majority, and requests are only forwarded. */
#include "controller/controller_state.h"

#include "base/backoff.h"
#include "base/error.h"
#include "base/events.h"

enum {
    SNAPSHOT_EVERY = 2000,
    KEEP_ENTRIES = 500,
    REOPEN_MIN_MS = 1000, /* from an error until the disk is opened again; doubles with each failure */
    REOPEN_MAX_MS = 4000
};

/* --- state machine of the log: the record --------------------------------------------------- */

static void apply(void *arg, int64_t index, const struct bytes *op, struct bytes *out)
{
    struct controller *controller = arg;
    struct record_result result = {0};
    (void)index;
    if (record_apply_batch(&controller->record, op, out ? &result : NULL))
        return;
    if (out)
        schema_pack(&record_result_schema, &result, out);
    schema_free(&record_result_schema, &result);
}

static void snapshot(void *arg, struct bytes *to) { record_snapshot(&((struct controller *)arg)->record, to); }

/* Replaces the contents of the record by those of fresh, and takes over their ownership. The observer of the record and
 * its function for patches are kept. */
static void record_replace(struct record *record, const struct record *fresh)
{
    struct record previous = *record;
    *record = *fresh;
    record->changed = previous.changed;
    record->arg = previous.arg;
    record->patch_config = previous.patch_config;
    record_end(&previous);
}

static void record_clear(struct record *record)
{
    struct record fresh;
    record_start(&fresh);
    record_replace(record, &fresh);
}

/* Restores the record from a snapshot. A snapshot that cannot be read leaves the record unchanged. */
static int restore(void *arg, const struct bytes *from)
{
    struct controller *controller = arg;
    struct record fresh;
    record_start(&fresh);
    int rc = record_restore(&fresh, from);
    if (rc) {
        record_end(&fresh);
        return rc;
    }
    if (controller->dispatch && dispatch_is_leader(controller->dispatch))
        dispatch_become_follower(controller->dispatch); /* the state of a leading dispatch points into the record */
    record_replace(&controller->record, &fresh);
    return ERROR_NONE;
}

/* --- opening --------------------------------------------------------------------------------- */

static void start_log(struct controller *controller)
{
    const struct log_machine machine = {.arg = controller, .apply = apply, .snapshot = snapshot, .restore = restore};
    const struct controller_log_settings *settings = &controller->setup.log;
    log_start(&controller->log, controller->w, controller->cluster, GROUP_JOBS, controller->id, &machine);
    controller->log.settings.heartbeat_ms = HEARTBEAT_MS;
    controller->log.settings.election_ms = ELECTION_MS;
    controller->log.settings.snapshot_every = settings->snapshot_every ? settings->snapshot_every : SNAPSHOT_EVERY;
    controller->log.settings.keep_entries = settings->keep_entries ? settings->keep_entries : KEEP_ENTRIES;
    if (settings->segment_bytes)
        controller->log.settings.segment_bytes = settings->segment_bytes;
    log_election_reset(&controller->log);
}

/* The identity and the state of the bootstrap are read until that has succeeded once in this process. Afterwards they
 * are in memory, and synced before they are used. */
static enum sagehitch_error open_disk(struct controller *controller)
{
    enum sagehitch_error rc = ERROR_NONE;
    if (!controller->storage_loaded)
        rc = log_identity(controller->w, controller->cluster, &controller->id);
    start_log(controller);
    if (!rc)
        rc = log_load(&controller->log);
    if (!rc && !controller_empty(controller))
        controller->log.no_vote_before_ms = world_ms(controller->w) + ELECTION_MS;
    if (!rc && !controller->storage_loaded)
        rc = bootstrap_load(controller);
    return rc;
}

void storage_open(struct controller *controller)
{
    int64_t now_ms = world_ms(controller->w);
    enum sagehitch_error rc = open_disk(controller);
    if (!rc) {
        if (controller->reopen_ms)
            world_note(controller->w, EV_DISK_WORKS, "log=%s", controller->log.name);
        controller->storage_loaded = 1;
        controller->reopen_ms = controller->reopen_delay_ms = 0;
        return;
    }
    if (!controller->log.broken)
        world_note(controller->w, EV_DISK_FAILED, "log=%s during=open", controller->log.name);
    controller->log.broken = 1;
    controller->log.role = LOG_FOLLOWER;
    controller->reopen_delay_ms = backoff_next(controller->reopen_delay_ms, REOPEN_MIN_MS, REOPEN_MAX_MS);
    controller->reopen_ms = now_ms + controller->reopen_delay_ms;
}

void storage_on_timer(struct controller *controller)
{
    int64_t now_ms = world_ms(controller->w);
    if (!controller->log.broken)
        return;
    if (!controller->reopen_ms)
        controller->reopen_ms = now_ms + REOPEN_MIN_MS;
    if (now_ms < controller->reopen_ms)
        return;
    log_on_timer(&controller->log); /* fails pending proposals and reads */
    if (dispatch_is_leader(controller->dispatch))
        dispatch_become_follower(controller->dispatch);
    log_end(&controller->log);
    record_clear(&controller->record);
    storage_open(controller);
}
