/* The leader's side of dispatch: answers requests from the record, places waiting
 * tasks, orders starts and stops at agents, and records how runs end. All state in
 * here is volatile and is rebuilt by the next leader; whatever must survive is first
 * committed to the log and applied to the record, and only then acted upon. */
#ifndef SAGEHITCH_DISPATCH_LEADER_H
#define SAGEHITCH_DISPATCH_LEADER_H
#include "base/slab.h"
#include "base/world.h"
#include "controller/api_message.h"
#include "dispatch/plan.h"
#include "dispatch/record.h"

/* Settings of a deployment, in milliseconds unless the name says otherwise. */
struct dispatch_settings {
    int64_t lease_ms;         /* length of the lease under which an agent's executor runs tasks */
    int64_t gang_timeout_ms;  /* an executor ends a gang member that waited so long for the others */
    int64_t early_ms;         /* how long before its due time a repetition may begin */
    int64_t job_retention_ms; /* how long a job's state can be read after the job ended */
    int64_t restore_ms;       /* how long a run that resumes from a checkpoint may report no progress */
    int64_t remote_data_pct;  /* duration of work away from its data, in percent of that beside it */
};

/* What dispatch needs from the controller around it. Messages are borrowed for the call only. */
struct dispatch_calls {
    /* Appends a packed record_batch to the log. dispatch_committed(tag) follows exactly once: after the batch was
     * committed and applied, or with an error. */
    void (*propose)(void *arg, const struct bytes *batch, int64_t tag);
    /* Answers the request of this ticket. */
    void (*answer)(void *arg, int64_t ticket, const struct api_response *response);
    /* Sends orders to the agent at this address. */
    void (*orders)(void *arg, int64_t agent, const struct agent_orders *orders);
    /* Whether this process holds the leader's lease now; leases are granted to agents only under it. */
    int (*holds_lease)(void *arg);
    /* Starts a read barrier (leadership confirmed by a majority); dispatch_barrier(tag) follows. */
    void (*barrier)(void *arg, int64_t tag);
    void *arg;
};

struct dispatch;
/* Creates the dispatch of one controller, as a follower. world and record are borrowed and must outlive it; settings
 * and calls are copied. The caller frees it with dispatch_free(). */
struct dispatch *dispatch_new(struct world *world, struct record *record, const struct dispatch_settings *settings,
                              const struct dispatch_calls *calls);
void dispatch_free(struct dispatch *dispatch);
/* Replaces the settings; they hold from the next decision on. */
void dispatch_settings_set(struct dispatch *dispatch, const struct dispatch_settings *settings);
/* Takes up leadership under epoch. The record must hold every entry committed under lower epochs, and no leader of
 * a lower epoch can commit any more. */
void dispatch_become_leader(struct dispatch *dispatch, int64_t epoch);
/* Gives up leadership: drops all volatile state; waiting requests are answered ERROR_NOT_LEADER. */
void dispatch_become_follower(struct dispatch *dispatch);
/* Whether dispatch_become_leader() was called and dispatch_become_follower() was not since. */
int dispatch_is_leader(const struct dispatch *dispatch);
/* To be called on each tick of the timer, also of a follower: leases, stalled runs, the time of day. */
void dispatch_on_timer(struct dispatch *dispatch);
/* To be called once per iteration of the event loop, after its input: plans if due, sends orders and proposes the
 * open batch. */
void dispatch_flush(struct dispatch *dispatch);
/* Answered exactly once through calls.answer, during the call or later; request is only borrowed. */
void dispatch_request(struct dispatch *dispatch, int64_t ticket, const struct api_request *request);
/* Takes in an agent's report (borrowed) and answers it with orders. */
void dispatch_report(struct dispatch *dispatch, int64_t agent, const struct agent_report *report);
/* The outcome of calls.propose(). result: a packed record_result with the outcome of each op; NULL with an error. */
void dispatch_committed(struct dispatch *dispatch, int64_t tag, int error, const struct bytes *result);
/* The outcome of calls.barrier(): 0, or an error. */
void dispatch_barrier(struct dispatch *dispatch, int64_t tag, int error);
#endif
