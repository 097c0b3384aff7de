/* Internal state of a controller, shared by the modules of this folder only. */
#ifndef SAGEHITCH_CONTROLLER_STATE_H
#define SAGEHITCH_CONTROLLER_STATE_H
#include "controller/controller.h"
#include "log/log_identity.h"

/* A caller's request until it is answered; answered exactly once, then freed.
 * slot: its HTTP connection. number: its handle in controller.requests. received_ms: time of arrival. deadline_ms: time
 * at which it is answered with an error. sends: number of times it was sent to a leader. sent_ms: time of the last
 * send. sent_to: address of the leader whose response is awaited, 0: none.
 * If a controller refuses the request because it is not the leader, the request is not sent again before
 * resend_after_ms, unless the term has changed since sent_term. resend_delay_ms grows with each such refusal. */
struct relayed_request {
    int64_t slot, number;
    struct api_request request;
    int64_t received_ms, deadline_ms, sent_ms, sent_to, sends;
    int64_t sent_term, resend_delay_ms, resend_after_ms;
};
/* A request that another controller forwarded to this leader, until it is answered. from: address of the sender. boot,
 * ticket: identify the request at the sender. */
struct served_request {
    int64_t from, boot, ticket;
};
/* FRAME_REQUEST, FRAME_RESPONSE: a request that is forwarded to the leader, and its response. boot and ticket identify
 * the request at the sender. term: the leader refuses the request if its own term differs. */
struct forwarded_request {
    int64_t boot, ticket, term;
    struct api_request request;
};
struct forwarded_response {
    int64_t boot, ticket;
    struct api_response answer;
};
extern const struct schema forwarded_request_schema, forwarded_response_schema;

/* FRAME_COLLECT: a controller with a disk announces itself to the seeds. empty: it has no log yet. */
struct bootstrap_announcement {
    int64_t id, addr, empty;
    char *zone;
    struct log_members members; /* the bootstrap members of its log; n 0: its log was not started */
};
extern const struct schema bootstrap_announcement_schema;

/* FRAME_BALLOT: a proposer's request to the acceptors, see ballot.c. */
enum ballot_phase { BALLOT_NONE, BALLOT_PREPARE, BALLOT_ACCEPT };
struct ballot {
    int64_t ballot, phase;
    struct log_members members; /* BALLOT_ACCEPT: the proposed voters */
};
/* FRAME_BALLOT_REPLY. ballot, phase: as in the request. promised: the acceptor's promise; the request is refused if
 * this is higher than ballot. log_exists: the acceptor knows of a running log, so there is nothing to decide. accepted:
 * the ballot under which the acceptor accepted members, 0: none. */
struct ballot_reply {
    int64_t ballot, phase, promised, accepted, log_exists;
    struct log_members members;
};
/* Durable state of an acceptor, synced before any reply that depends on it. promised: the highest ballot promised, 0:
 * none. accepted: the ballot under which members were accepted, 0: none. seeds: addresses of all acceptors, as
 * configured at the first start. */
struct acceptor {
    int64_t promised, accepted;
    struct log_members members;
    int64_t *seeds, n_seeds;
};
extern const struct schema ballot_schema, ballot_reply_schema, acceptor_schema;
/* State of a proposer, not durable. ballot 0: no proposal is running. agreed: bit set, by rank, of the acceptors that
 * agreed in this phase. best_accepted: the highest ballot under which any of them had accepted a list; members is then
 * that list. highest_promised: the highest promise seen in any reply. heard_ms: time of the newest request of another
 * proposer. start_ms: earliest time of the next proposal. */
struct proposer {
    int64_t ballot, phase, agreed, best_accepted, highest_promised, heard_ms, start_ms;
    struct log_members members;
};

/* FRAME_LEAVING. may_end 0: the voter with this id asks for permission to end; 1: the leader grants it. */
struct leaving {
    int64_t id, may_end;
};
extern const struct schema leaving_schema;

/* At the leader: the voter that asks for permission to end. id 0: none. commit: the commit index at its first request;
 * all other voters must hold the log up to there, and newer entries are committed without its acknowledgement.
 * since_ms, asked_ms: times of its first and its newest request. granted_ms: time of the newest permission, 0: none. */
struct leaver {
    int64_t id, commit, since_ms, asked_ms, granted_ms;
};

/* A controller that announced itself to this seed. heard_ms: time of its newest announcement. */
struct bootstrap_candidate {
    struct bootstrap_announcement announced;
    int64_t heard_ms;
};
/* A request of a controller with a disk to become a member (FRAME_JOIN). heard_ms: time at which it last arrived. */
struct join_request {
    struct join join;
    int64_t heard_ms;
};

/* Something that keeps a membership change waiting. number: identifies it, 0: nothing. since_ms: start of the wait.
 * reported: event 2016 was raised. */
struct repair_wait {
    int64_t number, since_ms, reported;
};

enum {
    CANDIDATES_MAX = 64,
    JOIN_REQUESTS_MAX = 32,
    HEARTBEAT_MS = 100, /* of the log */
    ELECTION_MS = 500   /* silence of the leader after which a voter becomes a candidate, at least */
};

/* A controller. votes: it has a disk, so it may become a voter; id and log are used only then. id: its identity, synced
 * before it is first used. leaving, leave_ms: whether and when it was asked to stop. reopen_ms: when the disk
 * is opened again after an error, 0: it works; reopen_delay_ms: from the newest error until then; storage_loaded: its
 * identity, log and bootstrap state were read in this process. next_hand_over_ms: time of the next attempt to hand over
 * leadership. All times are of the monotonic clock. */
struct controller {
    struct world *w;
    struct controller_setup setup;
    uint32_t cluster;
    char *zone;
    int64_t seeds[8], n_seeds;
    int64_t votes, id, leaving, leave_ms, next_hand_over_ms;
    int64_t storage_loaded, reopen_ms, reopen_delay_ms;
    struct log log;
    struct record record;
    struct directory directory;
    struct dispatch *dispatch;
    /* relay.c */
    struct slab requests, served;
    int64_t next_relay_ms;
    /* bootstrap.c */
    struct log_members bootstrap_members; /* the members with which the log was started here; n 0: not started */
    struct log_members chosen_members;    /* accepted by a majority of the seeds; never changes once set */
    struct bootstrap_candidate *candidates;
    /* first_candidate_ms, newest_candidate_ms: when the first and the newest candidate became known */
    int64_t n_candidates, first_candidate_ms, newest_candidate_ms;
    int64_t next_bootstrap_ms, bootstrapped_ms; /* time of the next step; when the log was started here */
    int64_t may_bootstrap; /* may take part in the bootstrap: the acceptor's state of the first start is not lost */
    /* ballot.c */
    struct acceptor acceptor;
    struct proposer proposer;
    /* members.c */
    struct join_request join_requests[JOIN_REQUESTS_MAX];
    int64_t n_join_requests, next_join_ms, next_step_ms; /* times of the next own request to join and membership step */
    int64_t last_timer_ms, running_since_ms;             /* last run of the timer; end of its last long gap */
    struct repair_wait learner_wait; /* for a learner that can replace a voter; number: the voter's identity */
    struct repair_wait commit_wait;  /* for the commit of a membership change; number: its log index */
    /* leaving.c */
    struct leaver leaver;
    /* next_leave_request_ms, permission_ms: times of the next request to end and of the newest permission;
     * leave_wait_reported: event 2014 was raised */
    int64_t next_leave_request_ms, permission_ms, leave_wait_reported;
};

/* Sends a frame to the process at the address to. */
void controller_send(struct controller *controller, int64_t to, enum frame_kind kind, const struct schema *schema,
                     const void *msg);
/* Number of voters needed to tolerate the configured losses, limited to the available controllers with a disk; odd. */
int64_t controller_voters_wanted(const struct controller *controller, int64_t available);
/* Whether the log was never started on this controller. */
int controller_empty(const struct controller *controller);

/* relay.c */
/* Handles an HTTP request. It is answered exactly once, under its slot. */
void relay_request(struct controller *controller, int64_t slot, const struct http_request *web);
/* Handles the response of the local dispatch to the request with this ticket. */
void relay_response(struct controller *controller, int64_t ticket, const struct api_response *response);
void relay_on_frame(struct controller *controller, const struct frame *frame); /* FRAME_REQUEST, FRAME_RESPONSE */
void relay_on_timer(struct controller *controller);
void relay_give_up(struct controller *controller); /* answers all waiting requests as if their deadline had passed */
void relay_end(struct controller *controller);

/* storage.c */
/* Opens the disk. After an error the log is broken, and storage_on_timer() opens the disk again. */
void storage_open(struct controller *controller);
void storage_on_timer(struct controller *controller);

/* bootstrap.c */
/* Loads the state of the bootstrap; may be called again after an error. Starts the log if a restart had interrupted
 * that. */
int bootstrap_load(struct controller *controller);
void bootstrap_on_timer(struct controller *controller);
void bootstrap_on_frame(struct controller *controller, const struct frame *frame);
void bootstrap_end(struct controller *controller);
/* Fills to with the list of voters to propose; n 0: too few candidates so far. The caller owns the list. */
void bootstrap_pick(struct controller *controller, struct log_members *to);
/* Called when a majority of the seeds has accepted members. */
void bootstrap_chosen(struct controller *controller, const struct log_members *members);

/* ballot.c */
int ballot_load(struct controller *controller);
int ballot_finished(const struct controller *controller); /* whether a log exists, so there is nothing to decide */
void ballot_on_timer(struct controller *controller);
void ballot_on_frame(struct controller *controller, const struct frame *frame);
void ballot_end(struct controller *controller);

/* members.c */
void members_on_timer(struct controller *controller);
void members_on_join(struct controller *controller, const struct join *join);
void members_end(struct controller *controller);

/* leaving.c */
/* from: the sender's address */
void leaving_on_message(struct controller *controller, int64_t from, const struct leaving *message);
void leaving_on_timer(struct controller *controller);
/* Whether this controller may end: the leader permitted it, or the log loses no vote. */
int leaving_may_end(const struct controller *controller);
/* Whether a leaving leader may hand over: no membership change is uncommitted, and all other voters are heard and
 * caught up. urgent: it suffices that a majority is heard without this controller. */
int leaving_may_hand_over(struct controller *controller, int urgent);
#endif
