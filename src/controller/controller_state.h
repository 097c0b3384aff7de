/* Internal state of a controller, shared by the modules of this folder only. */
#ifndef SAGEHITCH_CONTROLLER_STATE_H
#define SAGEHITCH_CONTROLLER_STATE_H
#include "controller/controller.h"
#include "log/log_identity.h"

/* A caller's request until it is answered. slot: its HTTP connection; number: its handle in controller.requests.
 * born_ms, due_ms: when it came, and when it is given up. sends: how often it was sent to a leader; sent_ms: the last
 * time; sent_to: address of the leader whose response is awaited, 0: none. Answered exactly once, then freed. A
 * controller that refused it since it does not lead gets it again after hold_ms, which grows, but at once under another
 * term than sent_term. */
struct relayed_request {
    int64_t slot, number;
    struct api_request request;
    int64_t born_ms, due_ms, sent_ms, sent_to, sends;
    int64_t sent_term, hold_ms, held_until_ms;
};
/* A request forwarded by another controller, while this leader serves it; names it at the sender. */
struct served_request {
    int64_t from, boot, ticket;
};
/* FRAME_REQUEST, FRAME_RESPONSE: a request on its way between controllers. boot and ticket identify it at the sender;
 * a leader of another term than the given one refuses it. */
struct forwarded_request {
    int64_t boot, ticket, term;
    struct api_request request;
};
struct forwarded_response {
    int64_t boot, ticket;
    struct api_response answer;
};
extern const struct schema forwarded_request_schema, forwarded_response_schema;

/* FRAME_COLLECT: how a controller with a disk announces itself to the seeds. empty: it has no log yet. */
struct bootstrap_announcement {
    int64_t id, addr, empty;
    char *zone;
    struct log_members members; /* with which its log was started; n 0: none */
};
extern const struct schema bootstrap_announcement_schema;

/* FRAME_BALLOT: a proposer's request to the seeds, see ballot.c. */
enum ballot_phase { BALLOT_NONE, BALLOT_PREPARE, BALLOT_ACCEPT };
struct ballot {
    int64_t ballot, phase;
    struct log_members members; /* of BALLOT_ACCEPT: the proposed voters */
};
/* FRAME_BALLOT_REPLY. ballot and phase of the request; promised above ballot: refused. log_exists: nothing is left to
 * decide. accepted: the ballot under which members were accepted, 0: none. */
struct ballot_reply {
    int64_t ballot, phase, promised, accepted, log_exists;
    struct log_members members;
};
/* Durable state of an acceptor, synced before any reply that follows from it. promised, accepted: ballots, 0: none;
 * members: accepted under the latter; seeds: addresses of all acceptors, as configured at the first start. */
struct acceptor {
    int64_t promised, accepted;
    struct log_members members;
    int64_t *seeds, n_seeds;
};
extern const struct schema ballot_schema, ballot_reply_schema, acceptor_schema;
/* State of a proposer, not durable. ballot 0: it proposes nothing now. answered: a bit for each acceptor, by rank, that
 * agreed in this phase. best_accepted: the highest ballot under which one of them had accepted a list, which is members
 * then. highest_promised: the highest ballot seen in a reply. heard_ms: newest request of another proposer; start_ms:
 * it proposes nothing before. */
struct proposer {
    int64_t ballot, phase, agreed, best_accepted, highest_promised, heard_ms, start_ms;
    struct log_members members;
};

/* FRAME_LEAVING. may_end 0: the voter id requests to end; 1: the leader permits it. */
struct leaving {
    int64_t id, may_end;
};
extern const struct schema leaving_schema;

/* At the leader: the voter that requests to end. id 0: none. commit: the commit index at its first request, which all
 * other voters must hold; newer entries are committed without it. Times: of the first request, of the newest, and of
 * the newest permission (0: none yet). */
struct leaver {
    int64_t id, commit, since_ms, asked_ms, granted_ms;
};

/* A controller that announced itself, and when it did so last. */
struct bootstrap_candidate {
    struct bootstrap_announcement announced;
    int64_t heard_ms;
};
/* A controller with a disk that asks to become a member (FRAME_JOIN), and when it did so last. */
struct join_request {
    struct join join;
    int64_t heard_ms;
};

/* Something that a membership change waits for. number identifies it, 0: nothing; told: event 2016 was raised. */
struct repair_wait {
    int64_t number, since_ms, told;
};

enum { CANDIDATES_MAX = 64, JOINERS_MAX = 32 };

/* A controller. votes: it has a disk, so it may become a voter; without, id and log are not used. id: its identity,
 * synced before it is used. leaving, leave_ms: it was asked to stop, and when. broken_ms: when its disk failed last;
 * next_hand_over_ms: next attempt to hand leadership over. Times are of the steady clock. */
struct controller {
    struct world *w;
    struct controller_setup setup;
    uint32_t cluster;
    char *zone;
    int64_t seeds[8], n_seeds;
    int64_t votes, id, leaving, leave_ms, broken_ms, next_hand_over_ms;
    struct log log;
    struct record record;
    struct directory directory;
    struct dispatch *dispatch;
    /* relay.c */
    struct slab requests, served;
    int64_t relay_ms;
    /* bootstrap.c */
    struct log_members bootstrap_members; /* with which the log was started here; n 0: it was not */
    struct log_members chosen_members;    /* accepted by a majority of the seeds; never changes once it is set */
    struct bootstrap_candidate *candidates;
    int64_t n_candidates, first_candidate_ms,
        newest_candidate_ms;                    /* newest_candidate_ms: a candidate was heard for the first time */
    int64_t next_bootstrap_ms, bootstrapped_ms; /* next turn due; when the log was started here */
    int64_t may_bootstrap; /* takes part: it did so at the first start, and its acceptor's state is not lost */
    /* ballot.c */
    struct acceptor acceptor;
    struct proposer proposer;
    /* members.c */
    struct join_request join_requests[JOINERS_MAX];
    int64_t n_join_requests, next_join_ms, next_step_ms; /* next request to join, next membership step due */
    int64_t timer_ms, awake_ms;                          /* the timer ran last; it has run without a gap since */
    struct repair_wait waits_learner; /* no learner can replace a voter; number: identity of that voter */
    struct repair_wait waits_commit;  /* a change is not committed; number: its index */
    /* leaving.c */
    struct leaver leaver;
    int64_t next_leave_request_ms, permission_ms,
        leave_waits; /* next request due; newest permission; event 2014 raised */
};

/* Sends a frame to the process at address to. */
void controller_send(struct controller *c, int64_t to, enum frame_kind kind, const struct schema *schema,
                     const void *msg);
/* How many voters there should be to tolerate the configured losses, if so many controllers with a disk are there. */
int64_t controller_voters_wanted(const struct controller *c, int64_t there);
int controller_empty(const struct controller *c); /* the log was never started here */

/* relay.c */
/* Takes an HTTP request; it is answered under its slot once. */
void relayed_request(struct controller *c, int64_t slot, const struct http_request *web);
/* The response of the local dispatch to the request that was given to it as ticket. */
void relay_answer(struct controller *c, int64_t ticket, const struct api_response *answer);
void relay_take(struct controller *c, const struct frame *frame); /* FRAME_REQUEST, FRAME_RESPONSE */
void relay_on_timer(struct controller *c);
void relay_give_up(struct controller *c); /* answers all that wait, as after their time-out */
void relay_end(struct controller *c);

/* bootstrap.c */
int bootstrap_load(struct controller *c); /* also starts the log if that was cut short by a restart */
void bootstrap_on_timer(struct controller *c);
void bootstrap_on_frame(struct controller *c, const struct frame *frame);
void bootstrap_end(struct controller *c);
/* The list of voters to propose; n 0: too few candidates so far. Owned by the caller. */
void bootstrap_pick(struct controller *c, struct log_members *to);
/* A majority of the seeds has accepted members. */
void bootstrap_chosen(struct controller *c, const struct log_members *members);

/* ballot.c */
int ballot_load(struct controller *c);
int ballot_over(const struct controller *c); /* a log exists, so nothing is left to decide */
void ballot_on_timer(struct controller *c);
void ballot_take(struct controller *c, const struct frame *frame);
void ballot_end(struct controller *c);

/* members.c */
void members_on_timer(struct controller *c);
void members_on_join(struct controller *c, const struct join *join);
void members_end(struct controller *c);

/* leaving.c */
void leaving_on_message(struct controller *c, int64_t from,
                        const struct leaving *message); /* from: the sender's address */
void leaving_on_timer(struct controller *c);
int leaving_may_end(const struct controller *c); /* by the leader's permission, or because no vote is lost by it */
/* Whether a leader that leaves may hand over: no voter is missing, or, in haste, a majority is there without it. */
int leaving_may_hand_over(struct controller *c, int in_haste);
#endif
