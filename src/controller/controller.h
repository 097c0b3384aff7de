/* A controller: serves the HTTP API to callers and operators. With a disk it may vote in the replicated log; the leader
 * of the log dispatches. Requests that arrive at any other controller are forwarded to the leader, which answers them
 * from its record. A step function over struct world: it blocks on nothing and starts nothing by itself. */
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
    int64_t keep_entries;   /* entries kept in memory behind a snapshot */
    int64_t segment_bytes;  /* a segment file is closed beyond */
};

/* Configuration of a controller. What it points to must outlive the controller. */
struct controller_setup {
    const char *cluster, *zone;
    const int64_t *seeds;
    int64_t n_seeds;
    int64_t disk;                      /* has one: may vote */
    int64_t first_start;               /* the fleet starts for the first time: may bootstrap the log */
    int64_t machines_lost, zones_lost; /* losses at once to tolerate; decide the number of voters */
    int64_t boot;                      /* of this process, from boot_of() */
    int64_t grace_ms;                  /* from the request to stop until the process is killed */
    struct dispatch_settings dispatch;
    struct controller_log_settings log;
    const struct api_codec *codec;
};

struct controller;
/* A new controller, owned by the caller; NULL: its disk is damaged, so it must not speak under that identity. */
struct controller *controller_new(struct world *w, const struct controller_setup *setup);
void controller_free(struct controller *c);
void controller_on_timer(struct controller *c);
/* Takes one frame of len bytes from another process. */
void controller_on_frame(struct controller *c, const uint8_t *at, int64_t len);
/* Syncs and sends what earlier calls have added. */
void controller_flush(struct controller *c);
/* Takes one HTTP request, which need not outlive the call; answered once, through world.answer(slot). */
void controller_request(struct controller *c, int64_t slot, const struct http_request *request);
/* Asks it to stop: it hands over what it does, and may be freed once controller_left() returns 1. */
void controller_leave(struct controller *c);
int controller_left(const struct controller *c);
/* To be called before the process ends, while answers still go out: answers the requests that wait. One that may have
 * been taken gets no refusal but ERROR_GAVE_UP. */
void controller_give_up(struct controller *c);
/* Exchanges the addresses of the seeds. */
void controller_set_seeds(struct controller *c, const int64_t *seeds, int64_t n_seeds);
/* For tests and measurements. */
const struct record *controller_record(const struct controller *c);
int controller_leads(const struct controller *c);
/* Hashes of the voters with which the log was started here, and of those chosen by the seeds as far as is known here;
 * 0: none. */
uint64_t controller_bootstrap_hash(const struct controller *c);
uint64_t controller_chosen_hash(const struct controller *c);
#endif
