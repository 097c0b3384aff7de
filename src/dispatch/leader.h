/* Dispatch on the leading controller: answers requests from the record, places waiting tasks, sends agents orders to
 * start and stop runs, and records how runs end. Its state is volatile and is rebuilt by the next leader. A change that
 * must survive a change of leader is committed to the log and applied to the record before dispatch acts on it. */
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
    int64_t gang_timeout_ms;  /* an executor ends a gang member that has waited this long for the other members */
    int64_t early_ms;         /* how long before its due time a repetition may start */
    int64_t job_retention_ms; /* how long a job's state can be read after the job ended */
    int64_t restore_ms;       /* how long a run that resumes from a checkpoint may report no progress */
    int64_t remote_data_pct;  /* duration of a task outside the rack of its data, in percent of that inside it */
    int64_t live_bytes_max;   /* memory for live jobs, in bytes; 0: not limited */
};

/* What dispatch needs from the controller around it. Messages are borrowed for the call only. */
struct dispatch_calls {
    /* Appends a packed record_batch to the log. The controller then calls dispatch_committed(tag) exactly once: after
     * the batch was committed and applied, or with an error. */
    void (*propose)(void *arg, const struct bytes *batch, int64_t tag);
    /* Sends the response to the request with this ticket. */
    void (*answer)(void *arg, int64_t ticket, const struct api_response *response);
    /* Sends orders to the agent at this address. */
    void (*orders)(void *arg, int64_t agent, const struct agent_orders *orders);
    /* Whether this process holds the leader's lease now. Leases are granted to agents only while it does. */
    int (*holds_lease)(void *arg);
    /* Starts a read barrier, which confirms leadership with a majority; the controller then calls
     * dispatch_barrier(tag). */
    void (*barrier)(void *arg, int64_t tag);
    void *arg;
};

struct dispatch;
/* Creates the dispatch of one controller, as a follower. world and record are borrowed and must outlive it; settings
 * and calls are copied. The caller frees it with dispatch_free(). */
struct dispatch *dispatch_new(struct world *world, struct record *record, const struct dispatch_settings *settings,
                              const struct dispatch_calls *calls);
void dispatch_free(struct dispatch *dispatch);
/* Replaces the settings; later decisions use the new ones. */
void dispatch_settings_set(struct dispatch *dispatch, const struct dispatch_settings *settings);
/* Starts to lead under epoch. Every entry committed under a lower epoch must be applied to the record, and no leader
 * of a lower epoch may be able to commit any more. */
void dispatch_become_leader(struct dispatch *dispatch, int64_t epoch);
/* Stops leading: frees all volatile state and answers waiting requests with ERROR_NOT_LEADER. */
void dispatch_become_follower(struct dispatch *dispatch);
/* Whether dispatch leads: dispatch_become_leader() was called, and dispatch_become_follower() was not called since. */
int dispatch_is_leader(const struct dispatch *dispatch);
/* Checks leases, stalled runs and the time of day. Must be called on each timer tick, on followers too. */
void dispatch_on_timer(struct dispatch *dispatch);
/* Runs a planning round if one is needed, sends orders and proposes the open batch. Must be called once per iteration
 * of the event loop, after its input was processed. */
void dispatch_flush(struct dispatch *dispatch);
/* Processes a request (borrowed). It is answered exactly once through calls.answer, during the call or later. */
void dispatch_request(struct dispatch *dispatch, int64_t ticket, const struct api_request *request);
/* Processes an agent's report (borrowed) and answers it with orders. */
void dispatch_report(struct dispatch *dispatch, int64_t agent, const struct agent_report *report);
/* Reports the outcome of calls.propose(). result: a packed record_result with the outcome of each op; NULL if error
 * is set. */
void dispatch_committed(struct dispatch *dispatch, int64_t tag, int error, const struct bytes *result);
/* Reports the outcome of calls.barrier(). error: 0, or why leadership was not confirmed. */
void dispatch_barrier(struct dispatch *dispatch, int64_t tag, int error);
#endif
