/* A node: follows the configuration tree, and does the duties it is given - owner of
 * shards, home of executors - and takes requests from outside. */
#ifndef SAGEHITCH_NODE_H
#define SAGEHITCH_NODE_H
#include "base/frame.h"
#include "base/journal.h"
#include "base/slab.h"
#include "config_tree/config_tree.h"
#include "executor_owner/executor_owner.h"
#include "log/log.h"
#include "shard/rows.h"
#include "peer/peer.h"

enum { ADMISSION_MS = 1500, CONFIRM_MS = 250, HOPS_MAX = 3 };

/* --- frames of the configuration tree slice ------------------------------------------ */

struct confirm {
    int64_t from, sent_ms, boot;
};
struct feed_entry {
    int64_t index;
    struct bytes op;
};
struct feed {
    int64_t ok, sent_ms, upto, commit, leader, jobs_leader, snapshot_index;
    struct feed_entry *entries;
    int64_t n;
    struct bytes snapshot;
    int64_t *voters; /* pairs: address, in how many of the two logs */
    int64_t n_voters;
};
struct propose {
    int64_t group, req;
    struct bytes op;
};
struct proposed {
    int64_t group, req, error, leader;
    struct bytes result;
};
struct send_on {
    int64_t req, hops, shard;
    char *method, *path, *body;
};
struct sent_on {
    int64_t req, status, retry_ms;
    char *body;
};
extern const struct schema control_updates_request_schema, control_updates_schema, propose_schema, proposed_schema,
    forward_request_schema, forward_response_schema;

/* --- continuations --------------------------------------------------------- */

/* A request from outside (slot) or sent on by a peer (from, from_req).
 * Invariant: it is answered exactly once, then its cell is freed. */
struct request {
    int64_t slot, from, from_req, hops, until_ms, shard, sent_to;
};

typedef void proposal_done(struct node *node, int64_t tag, int error, const struct bytes *result);
struct proposal {
    int64_t group, tag, sent_ms, until_ms, sent_to, born_ms;
    struct bytes op;
    proposal_done *done;
};

/* --- owner side -------------------------------------------------------------- */

enum shard_state { SHARD_NONE, SHARD_OPENING, SHARD_OPEN };

struct buffered_op {
    struct op op;
    int64_t request, staging, since_ms;
};

struct breaker {
    int64_t window_start_ms, good, bad, slow, open_until_ms, trips;
};

struct ready_item {
    int64_t priority, due_ms, job, no;
};
/* Invariant: items is a heap; an item counts only while its row is READY, not
 * staged and its due_ms is the row's. */
struct ready {
    int64_t queue;
    struct ready_item *items;
    int64_t n;
};

/* Invariants: ops leave the buffer in order and are folded into rows only when
 * the jobs log has them; in_flight of them, from the front on, are proposed;
 * checkpoint_ms is the last time the scan of times has been through. */
struct shard {
    int64_t no, epoch, state, seq, in_flight, proposal, checkpoint_ms, open_since_ms, retry_ms, started_ms;
    struct rows rows;
    struct buffered_op *buffer;
    int64_t n_buffer;
    struct breaker breaker;
    struct ready *readies;
    int64_t n_readies;
    Pvoid_t times; /* JudyL: ms -> list of task refs */
    struct task_ref *placed;
    int64_t n_placed;
    int64_t scanned, commits;
};

struct queue {
    char *path;
    struct settings settings;
    int64_t generation, staged, drained, rate, blocked_ms, mean_ms;
};

struct staging_place {
    int64_t no, executor_summary, answered, good;
    char *executor;
    int64_t executor_epoch, incarnation, executor_owner;
};
struct staging {
    int64_t shard, shard_epoch, job, queue, until_ms, committing, n_places, failed, step, urgency;
    int64_t ignores_view; /* asks although our view says there is no room now */
    struct staging_place *places;
};

struct node {
    struct world *w;
    uint32_t cluster;
    char *cluster_name;
    int64_t boot, leaving;
    struct peers peers;
    struct config_tree config_tree;
    struct journal journal;
    int64_t feed_index, confirmed_ms, admission_open, confirm_due_ms, confirm_sent_ms, confirm_to, duties_generation,
        keeper_turn;
    int64_t leaders[GROUP_COUNT];
    int64_t voters[32], n_voters;
    struct settings root_settings;
    int64_t settings_generation;
    struct slab requests, proposals, stagings;
    struct shard shards[SHARD_COUNT];
    struct queue *queues;
    int64_t n_queues;
    struct executor_summary *executor_summaries;
    int64_t n_executor_summaries;
    struct executor_owner **executor_owners;
    int64_t n_executor_owners;
    int64_t summaries_due_ms, summaries_sent_ms, summaries_sent_to_all_ms, summaries_hash, rate_due_ms, reqs,
        started_ms, runs_due_ms;
    int64_t picks, pick_steps; /* counts for measurements */
    int64_t frames_dropped;
};

/* node.c */
void node_start(struct node *node, struct world *w, const struct peer_setup *setup);
void node_end(struct node *node);
void node_on_timer(struct node *node);
void node_on_frame(struct node *node, const uint8_t *at, int64_t len);
void node_leave(struct node *node);
int node_has_left(const struct node *node); /* all duties are with others */
void node_send(struct node *node, int64_t to, enum frame_kind kind, const struct schema *schema, const void *msg);
int64_t node_fleet_ms(const struct node *node);
void node_journal_add(struct node *node, int64_t job, int64_t task, int64_t attempt, const char *what,
                      const char *detail);
int64_t node_queue(struct node *node, const char *service, const char *queue); /* dense index */
const struct settings *node_settings(struct node *node, int64_t queue);

/* follow.c */
void follow_on_news(struct node *node, const struct confirm *m);
void follow_on_timer(struct node *node);
void follow_on_feed(struct node *node, int64_t from, struct feed *feed);
int admission_open(const struct node *node);
int64_t node_propose(struct node *node, int64_t group, struct bytes *op, int64_t wait_ms, proposal_done *done,
                     int64_t tag); /* takes op over */
void proposals_on_timer(struct node *node);
void node_on_proposed(struct node *node, int64_t from, const struct proposed *m);
void duties_follow(struct node *node);

/* door.c */
void node_request(struct node *node, int64_t slot, const char *method, const char *path, const char *body, int64_t len);
void node_on_send_on(struct node *node, int64_t from, const struct send_on *m);
void node_on_sent_on(struct node *node, const struct sent_on *m);
void api_route(struct node *node, int64_t request, const char *method, const char *path, const char *body, int64_t len);
void api_response(struct node *node, int64_t request, int status, int64_t retry_ms, const char *body);
void api_json(struct node *node, int64_t request, int status, json_t *body); /* takes body over */
void api_error(struct node *node, int64_t request, int error, const char *format, ...)
    __attribute__((format(printf, 4, 5)));
void api_validation_error(struct node *node, int64_t request, const struct validation_error *validation_error);
/* A request as it is sent on to the owner of what it asks for. shard: -1 where it is for none. Borrowed. */
struct api_call {
    int64_t shard;
    const char *method, *path, *body;
};
/* Sends a waiting request on to another node, whose response is passed back; or answers with an error where to is 0 or
 * it was sent on too often. */
void api_forward(struct node *node, int64_t request, int64_t to, const struct api_call *call);
void api_on_timer(struct node *node);
char *api_query_param(const char *path, const char *name); /* owned; NULL: not there */

/* api_operators.c, api_views.c */
int api_operators(struct node *node, int64_t request, const char *method, const char *path, const char *body,
                  int64_t len);
int api_views(struct node *node, int64_t request, const char *method, const char *path);
json_t *why_view(struct node *node, struct shard *shard, const struct job *job, int64_t no);

/* shard/owner.c */
void shard_on_owner_change(struct node *node, struct shard *shard, int64_t epoch, int mine);
void shards_on_timer(struct node *node);
void shard_lose(struct node *node, struct shard *shard, const char *why);
void shards_end(struct node *node);
int64_t shard_owner(const struct node *node, int64_t shard); /* 0: nobody */

/* shard/worker.c */
struct op *worker_buffer(struct node *node, struct shard *shard, int64_t kind, int64_t job, int64_t request,
                         int64_t staging);
void worker_on_timer(struct node *node, struct shard *shard);
int breaker_closed(struct node *node, struct shard *shard); /* 1: ops may flow */
void breaker_record(struct node *node, struct shard *shard, int good, int64_t took_ms);

/* shard/ready.c */
void ready_rebuild(struct node *node, struct shard *shard);
void ready_clear(struct shard *shard);
void ready_add_row(struct node *node, struct shard *shard, struct job *job, int64_t no);
void ready_add_rows(struct node *node, struct shard *shard, struct job *job);
void ready_add_job(struct node *node, struct shard *shard, struct job *job);
void ready_schedule_check(struct shard *shard, int64_t ms, int64_t job, int64_t no);
void ready_scan(struct node *node, struct shard *shard);
int ready_pick(struct node *node, int64_t now_ms, struct shard **shard, struct ready_item *item);
int64_t row_priority(struct node *node, const struct job *job);
int64_t row_urgency(struct node *node, int64_t queue, int64_t priority, int64_t due_ms, int64_t now_ms);

/* shard/place.c, shard/assign.c */
void place_on_timer(struct node *node);
void place_on_reserved(struct node *node, const struct reserve_reply *m);
void place_committed(struct node *node, struct shard *shard, int64_t staging, const struct op *op, int apply_error);
void staging_free(struct node *node, int64_t staging);
int assign_places(struct node *node, struct shard *shard, struct job *job, struct staging *staging);
const char *assign_rejection(struct node *node, const struct job *job, int64_t no,
                             const struct executor_summary *executor_summary);
void assign_record_duration(struct node *node, const struct job *job, int64_t no);
int assign_could_fit(struct node *node, const struct job_spec *spec, int64_t *bad_no);
struct executor_summary *executor_summary_find(struct node *node, const char *executor);
void executor_summaries_merge(struct node *node, int64_t from, struct executor_summaries_msg *m);

/* shard/gang.c */
int is_gang_member(const struct job *job, int64_t no);
int gang_may_stage(const struct job *job, int64_t no);
void gang_placed(struct node *node, struct job *job, int64_t no);
void gang_on_member_state(struct node *node, struct shard *shard, struct job *job, int64_t no, int64_t state);
void gang_check_timeout(struct node *node, struct shard *shard, struct job *job, int64_t no);
void gang_stop(struct node *node, struct shard *shard, struct job *job, int64_t no);

/* shard/track.c */
void track_go(struct node *node, struct shard *shard, struct job *job, int64_t no);
void track_on_timer(struct node *node, struct shard *shard);
void track_stop(struct node *node, struct shard *shard, struct job *job, int64_t no);
void track_start(struct node *node, struct shard *shard, struct job *job, int64_t no);
void track_on_ended(struct node *node, const struct ended *m);
void track_on_checked(struct node *node, const struct check_reply *m);
void track_committed(struct node *node, struct shard *shard, const struct op *op);

/* shard/preempt.c */
void preempt_check(struct node *node, struct shard *shard, const char *executor);
void preempt_committed(struct node *node, struct shard *shard, struct job *job, const struct op *op);
static inline int row_preempted(const struct row *row) { return row->preempted && row->preempted == row->attempt; }

/* shard/enqueue.c */
void enqueue_job(struct node *node, int64_t request, const char *body, int64_t len);
void enqueue_cancel(struct node *node, int64_t request, int64_t job);
void enqueue_show(struct node *node, int64_t request, int64_t job, const char *path);
void enqueue_list(struct node *node, int64_t request, int64_t shard, const char *path);
void enqueue_committed(struct node *node, struct shard *shard, const struct buffered_op *b, int apply_error);
void enqueue_runs(struct node *node);
#endif
