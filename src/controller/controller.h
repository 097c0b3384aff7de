/* A controller serves the HTTP API to callers and operators. A controller with a disk may vote in the replicated log;
 * the leader of the log runs dispatch. The other controllers forward requests to the leader, which answers them from
 * its record. A controller never blocks and has no threads: it acts only when its functions are called, and uses the
 * clock and the network through struct world. */
#ifndef SAGEHITCH_CONTROLLER_H
#define SAGEHITCH_CONTROLLER_H
#include "base/slab.h"
#include "controller/codec.h"
#include "controller/directory.h"
#include "dispatch/leader.h"
#include "log/log.h"

/* How the log is kept on disk; 0: the default (2000 entries, 500 entries, 4 MiB). */
struct controller_log_settings {
    int64_t snapshot_every; /* entries applied between two snapshots */
    int64_t keep_entries;   /* entries before a snapshot that are kept in memory */
    int64_t segment_bytes;  /* size at which a segment file is closed */
};

/* Configuration of a controller. What it points to must outlive the controller. */
struct controller_setup {
    const char *cluster, *zone;
    const int64_t *seeds;
    int64_t n_seeds;
    int64_t disk;                      /* the controller has a disk, so it may vote */
    int64_t first_start;               /* first start of the fleet: the controller may bootstrap the log */
    int64_t machines_lost, zones_lost; /* simultaneous losses to tolerate; they decide the number of voters */
    int64_t boot;                      /* identifies this start of the process, from boot_of() */
    int64_t grace_ms;                  /* time from the request to stop until the process is killed */
    struct dispatch_settings dispatch;
    struct controller_log_settings log;
    const struct api_codec *codec;
};

struct controller;
/* Returns a new controller, owned by the caller. A disk that cannot be read or written is opened again later; until
 * then the controller takes no part in the log and forwards requests. */
struct controller *controller_new(struct world *w, const struct controller_setup *setup);
void controller_free(struct controller *controller);
void controller_on_timer(struct controller *controller);
/* Handles a frame of len bytes of data from another process. */
void controller_on_frame(struct controller *controller, const uint8_t *data, int64_t len);
/* Syncs and sends the log entries and messages that earlier calls have queued. */
void controller_flush(struct controller *controller);
/* Handles an HTTP request, which need not outlive the call. It is answered exactly once, through world.answer(slot). */
void controller_request(struct controller *controller, int64_t slot, const struct http_request *request);
/* Starts a planned shutdown: the controller hands over its work, and may be freed once controller_has_left() returns 1.
 */
void controller_leave(struct controller *controller);
int controller_has_left(const struct controller *controller);
/* Answers all waiting requests. Call it before the process ends, while responses can still be sent. A change that the
 * leader may have accepted is answered with ERROR_GAVE_UP, not with a refusal. */
void controller_give_up(struct controller *controller);
/* Replaces the addresses of the seeds. */
void controller_set_seeds(struct controller *controller, const int64_t *seeds, int64_t n_seeds);
/* For tests and measurements. */
const struct record *controller_record(const struct controller *controller);
int controller_leads(const struct controller *controller);
/* Hashes of the voters with which the log was started here, and of the voters that the seeds chose; 0: not known. */
uint64_t controller_bootstrap_hash(const struct controller *controller);
uint64_t controller_chosen_hash(const struct controller *controller);
#endif
