/* A node: a process that replicates the configuration tree from the keepers, runs the shards and executors
 * that it owns by that tree, and serves the HTTP API. */
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

/* ADMISSION_MS: a node is admitted for this long after it sent the last request that a leader answered. */
enum { ADMISSION_MS = 1500, UPDATES_INTERVAL_MS = 250, HOPS_MAX = 3 };

/* --- frames between nodes and keepers --------------------------------------------------- */

/* Asks the leader of the control log for the entries after index. The leader sends the same struct as
 * FRAME_CONTROL_UPDATES_NOTICE, to say that the log is committed up to index. */
struct control_updates_request {
    int64_t index, sent_ms, boot;
};
struct control_entry {
    int64_t index;
    struct bytes op;
};
/* The leader's reply. ok: it confirmed its leadership with a majority after the request arrived; otherwise the
 * reply carries only sent_ms and leader. snapshot and entries bring the node up to last_index; the log is committed up
 * to commit. */
struct control_updates {
    int64_t ok, sent_ms, last_index, commit, leader, jobs_leader, snapshot_index;
    struct control_entry *entries;
    int64_t n;
    struct bytes snapshot;
    int64_t *voters; /* pairs: an address, and in how many of the two logs it votes */
    int64_t n_voters;
};
/* Proposes op for a log (enum log_group). req: the number that the response repeats. */
struct propose {
    int64_t group, req;
    struct bytes op;
};
/* The outcome: error, and the result of applying op. leader: the leader's address as far as the keeper knows it. */
struct proposed {
    int64_t group, req, error, leader;
    struct bytes result;
};

/* --- frames between nodes ------------------------------------------------------------------- */

/* An API request that one node forwards to another, and the response to it. shard: the shard it concerns, or -1. */
struct forward_request {
    int64_t req, hops, shard;
    char *method, *path, *body;
};
struct forward_response {
    int64_t req, status, retry_ms;
    char *body;
};
extern const struct schema control_updates_request_schema, control_updates_schema, propose_schema, proposed_schema,
    forward_request_schema, forward_response_schema;

/* --- requests and proposals in progress --------------------------------------------------- */

/* An API request, from an HTTP client (slot) or forwarded by another node (from, from_req).
 * Invariant: it gets exactly one response, after which its cell is freed. */
struct request {
    int64_t slot, from, from_req, hops, until_ms, shard, sent_to;
};

/* Ends a proposal: error, or the result of applying the op. */
typedef void proposal_done(struct node *node, int64_t tag, int error, const struct bytes *result);
struct proposal {
    int64_t group, tag, sent_ms, until_ms, sent_to;
    struct bytes op;
    proposal_done *done;
};

/* --- shards owned by this node -------------------------------------------------------------- */

enum shard_state { SHARD_NONE, SHARD_OPENING, SHARD_OPEN };

/* An op that is not committed yet, and the request or staging that waits for it (0: none). */
struct buffered_op {
    struct op op;
    int64_t request, staging, since_ms;
};

/* Circuit breaker of a shard's proposals to the jobs log: outcomes since window_start_ms. */
struct breaker {
    int64_t window_start_ms, good, bad, slow, open_until_ms, trips;
};

struct ready_item {
    int64_t priority, due_ms, job, no;
};
/* The ready rows of one queue in one shard.
 * Invariant: items is a heap; an item is valid only while its row is READY, not staged, and has the same due_ms. */
struct ready {
    int64_t queue;
    struct ready_item *items;
    int64_t n;
};

/* Invariants: ops leave the buffer in order and are folded into rows only once the jobs log has committed them; the
 * first in_flight ops of the buffer are proposed; entries of times up to checkpoint_ms have been scanned. */
struct shard {
    int64_t no, epoch, state, seq, in_flight, proposal, checkpoint_ms, open_since_ms, retry_ms, started_ms;
    struct rows rows;
    struct buffered_op *buffer;
    int64_t n_buffer;
    struct breaker breaker;
    struct ready *ready_queues;
    int64_t n_ready_queues;
    Pvoid_t times; /* JudyL: ms -> list of the tasks to look at then */
    struct task_ref *placed;
    int64_t n_placed;
    int64_t scanned, commits;
};

/* A queue that jobs of this node use. settings: as of configuration tree version generation. staged: rows that are
 * being placed; drained: rows placed since rate (placements a second, smoothed) was last computed. */
struct queue {
    char *path;
    struct settings settings;
    int64_t generation, staged, drained, rate, blocked_ms, mean_ms;
};

/* A reservation for row no of a job on one executor. */
struct reservation {
    int64_t no, executor_summary, replied, good;
    char *executor;
    int64_t executor_epoch, incarnation, executor_owner;
};
/* The placement of one row, or of all rows of a gang: reserved on executors, then committed. */
struct staging {
    int64_t shard, shard_epoch, job, queue, until_ms, committing, n_places, failed, step, urgency;
    int64_t ignores_summary; /* reserves even where the executor summary shows no free capacity */
    struct reservation *places;
};

/* applied_index: the last entry of the control log in config_tree. confirmed_ms: when the last request for updates that
 * brought the node up to date was sent. updates_request_to: the keeper that has not answered the last request yet; 0:
 * none. last_keeper: the last one that next_keeper() chose. voters: as in struct control_updates. */
struct node {
    struct world *w;
    uint32_t cluster;
    char *cluster_name;
    int64_t boot, leaving;
    struct peers peers;
    struct config_tree config_tree;
    struct journal journal;
    int64_t applied_index, confirmed_ms, admission_open, updates_request_due_ms, updates_request_sent_ms,
        updates_request_to, ownerships_generation, last_keeper;
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
    int64_t summaries_due_ms, summaries_sent_ms, summaries_sent_to_all_ms, summaries_hash, rate_due_ms, last_req,
        started_ms, runs_due_ms;
    int64_t picks, pick_steps; /* counters of /v1/counters */
    int64_t frames_dropped;
};

/* node.c */
void node_start(struct node *node, struct world *w, const struct peer_setup *setup);
void node_end(struct node *node);
void node_on_timer(struct node *node);
void node_on_frame(struct node *node, const uint8_t *at, int64_t len); /* handles a received frame */
void node_leave(struct node *node);         /* asks for the ownerships to be moved to other nodes */
int node_has_left(const struct node *node); /* 1: this node owns nothing any more */
/* Sends msg to a process; to this node itself by calling node_on_frame(). to 0: does nothing. */
void node_send(struct node *node, int64_t to, enum frame_kind kind, const struct schema *schema, const void *msg);
int64_t node_fleet_ms(const struct node *node); /* the cluster's median clock */
/* Adds an event of a task to this node's journal. */
void node_journal_add(struct node *node, int64_t job, int64_t task, int64_t attempt, const char *what,
                      const char *detail);
/* The index of the queue in node->queues; a new queue is added. */
int64_t node_queue(struct node *node, const char *service, const char *queue);
const struct settings *node_settings(struct node *node, int64_t queue); /* valid until the next node_queue() */

/* follow.c */
void follow_on_notice(struct node *node, const struct control_updates_request *notice);
void follow_on_timer(struct node *node);
void follow_on_updates(struct node *node, int64_t from, struct control_updates *updates);
/* 1 while a leader has confirmed this node's configuration tree recently enough to act by it. */
int admission_open(const struct node *node);
/* Proposes op, which it takes over, and resends it until a leader answers; done is called once with tag, with
 * ERROR_OUTCOME_UNKNOWN after wait_ms. Returns the number of the proposal. */
int64_t node_propose(struct node *node, int64_t group, struct bytes *op, int64_t wait_ms, proposal_done *done,
                     int64_t tag);
void proposals_on_timer(struct node *node);
void node_on_proposed(struct node *node, int64_t from, const struct proposed *message);
void ownerships_follow(struct node *node);

/* api.c */
/* Takes a request of an HTTP client, which slot names. */
void node_request(struct node *node, int64_t slot, const char *method, const char *path, const char *body, int64_t len);
void node_on_forward_request(struct node *node, int64_t from, const struct forward_request *message);
void node_on_forward_response(struct node *node, const struct forward_response *message);
void api_route(struct node *node, int64_t request, const char *method, const char *path, const char *body, int64_t len);
void api_response(struct node *node, int64_t request, int status, int64_t retry_ms, const char *body);
void api_json(struct node *node, int64_t request, int status, json_t *body); /* takes body over */
void api_error(struct node *node, int64_t request, int error, const char *format, ...)
    __attribute__((format(printf, 4, 5)));
void api_validation_error(struct node *node, int64_t request, const struct validation_error *validation_error);
/* An API request to forward. shard: the shard it concerns, or -1. Borrowed. */
struct api_call {
    int64_t shard;
    const char *method, *path, *body;
};
/* Forwards a waiting request to another node, whose response is passed back. Responds with an error if to is 0 or the
 * request was forwarded too often. */
void api_forward(struct node *node, int64_t request, int64_t to, const struct api_call *call);
void api_on_timer(struct node *node);
/* The value of a parameter of the query string (to be freed), or NULL. */
char *api_query_param(const char *path, const char *name);

/* api_operators.c, api_views.c: return 0 if the request is none of theirs, 1 if they responded or will. */
int api_operators(struct node *node, int64_t request, const char *method, const char *path, const char *body,
                  int64_t len);
int api_views(struct node *node, int64_t request, const char *method, const char *path);
json_t *why_view(struct node *node, struct shard *shard, const struct job *job, int64_t no);

/* shard/owner.c */
/* Follows the ownership of a shard: under a higher epoch, gives the shard up and, if it is mine, opens it again. */
void shard_on_owner_change(struct node *node, struct shard *shard, int64_t epoch, int mine);
void shards_on_timer(struct node *node);
/* Drops a shard with all that waits for it; requests get an error. */
void shard_lose(struct node *node, struct shard *shard, const char *why);
void shards_end(struct node *node);
int64_t shard_owner(const struct node *node, int64_t shard); /* the address of the owner; 0: none */

/* shard/worker.c */
/* Appends an op to the buffer of a shard, to be proposed to the jobs log. The pointer is valid until the next call. */
struct op *worker_buffer(struct node *node, struct shard *shard, int64_t kind, int64_t job, int64_t request,
                         int64_t staging);
void worker_on_timer(struct node *node, struct shard *shard);
/* 1 if the circuit breaker is closed, so ops may be proposed. */
int breaker_closed(struct node *node, struct shard *shard);
/* Counts a proposal, and opens the circuit breaker if too many failed or were slow. */
void breaker_record(struct node *node, struct shard *shard, int good, int64_t took_ms);

/* shard/ready.c */
/* Builds the heaps and the times of a shard from its rows, when it is opened. */
void ready_rebuild(struct node *node, struct shard *shard);
void ready_clear(struct shard *shard);
/* Adds a row that is READY to the heap of its queue, or to the times if it is due later; ready_add_rows(): all rows of
 * a job; ready_add_job(): those of a new job, with the times at which they expire. */
void ready_add_row(struct node *node, struct shard *shard, struct job *job, int64_t no);
void ready_add_rows(struct node *node, struct shard *shard, struct job *job);
void ready_add_job(struct node *node, struct shard *shard, struct job *job);
/* Has ready_scan() look at a row at ms. */
void ready_schedule_check(struct shard *shard, int64_t ms, int64_t job, int64_t no);
void ready_scan(struct node *node, struct shard *shard);
/* Takes the most urgent row of all shards and queues. Returns 0 if there is none that may be placed. */
int ready_pick(struct node *node, int64_t now_ms, struct shard **shard, struct ready_item *item);
int64_t row_priority(struct node *node, const struct job *job);
/* Lower is more urgent. */
int64_t row_urgency(struct node *node, int64_t queue, int64_t priority, int64_t due_ms, int64_t now_ms);

/* shard/place.c, shard/assign.c */
void place_on_timer(struct node *node);
void place_on_reserved(struct node *node, const struct reserve_reply *message);
/* The placement op was committed; apply_error: the error with which the rows rejected it, or 0. */
void place_committed(struct node *node, struct shard *shard, int64_t staging, const struct op *op, int apply_error);
void staging_free(struct node *node, int64_t staging);
/* Chooses an executor for each reservation of a staging, or returns an error. */
int assign_places(struct node *node, struct shard *shard, struct job *job, struct staging *staging);
/* Why the task may not be placed on the executor; NULL: it may. */
const char *assign_rejection(struct node *node, const struct job *job, int64_t no,
                             const struct executor_summary *executor_summary);
/* Records how long a finished task took, to tell slow executors. */
void assign_record_duration(struct node *node, const struct job *job, int64_t no);
/* 0 if no known executor could ever hold task *bad_no. */
int assign_could_fit(struct node *node, const struct job_spec *spec, int64_t *bad_no);
struct executor_summary *executor_summary_find(struct node *node, const char *executor);
void executor_summaries_merge(struct node *node, int64_t from, struct executor_summaries_msg *message);

/* shard/gang.c */
/* 1 if the task is one of a gang, whose tasks start together. */
int is_gang_member(const struct job *job, int64_t no);
/* 0 while some tasks of the gang are still placed. */
int gang_may_stage(const struct job *job, int64_t no);
void gang_placed(struct node *node, struct job *job, int64_t no);
/* An executor owner reported the state of a task. Once all tasks of the gang are held, it orders them to begin. */
void gang_on_member_state(struct node *node, struct shard *shard, struct job *job, int64_t no, int64_t state);
/* Stops the gang if not all of its tasks run in time after the placement. */
void gang_check_timeout(struct node *node, struct shard *shard, struct job *job, int64_t no);
void gang_stop(struct node *node, struct shard *shard, struct job *job, int64_t no);

/* shard/track.c */
/* track_go(), track_stop() and track_start() order the executor owner to begin a held task, to stop, to start one. */
void track_go(struct node *node, struct shard *shard, struct job *job, int64_t no);
void track_on_timer(struct node *node, struct shard *shard);
void track_stop(struct node *node, struct shard *shard, struct job *job, int64_t no);
void track_start(struct node *node, struct shard *shard, struct job *job, int64_t no);
/* Reports of executor owners: a task has ended; the states of tasks that a check asked for. */
void track_on_ended(struct node *node, const struct ended *message);
void track_on_checked(struct node *node, const struct check_reply *message);
void track_committed(struct node *node, struct shard *shard, const struct op *op);

/* shard/preempt.c */
/* Preempts the shard's tasks on an executor that is about to leave or to be drained. */
void preempt_check(struct node *node, struct shard *shard, const char *executor);
void preempt_committed(struct node *node, struct shard *shard, struct job *job, const struct op *op);
/* 1 if the current attempt of the task was preempted. */
static inline int row_preempted(const struct row *row) { return row->preempted && row->preempted == row->attempt; }

/* shard/enqueue.c */
/* API requests on jobs: accept, cancel, show, list. */
void enqueue_job(struct node *node, int64_t request, const char *body, int64_t len);
void enqueue_cancel(struct node *node, int64_t request, int64_t job);
void enqueue_show(struct node *node, int64_t request, int64_t job, const char *path);
void enqueue_list(struct node *node, int64_t request, int64_t shard, const char *path);
void enqueue_committed(struct node *node, struct shard *shard, const struct buffered_op *buffered, int apply_error);
/* Accepts the jobs of planned runs that are due. */
void enqueue_runs(struct node *node);
#endif
