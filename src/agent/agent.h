/* An agent: runs beside one executor and is the only process that calls it. It carries out the leader's orders, keeps
 * runs under the lease that the leader renews, and reports what it observes. It decides nothing about jobs and keeps
 * nothing on disk. */
#ifndef SAGEHITCH_AGENT_H
#define SAGEHITCH_AGENT_H
#include "agent/executor_codec.h"
#include "controller/codec.h"
#include "controller/directory.h"

/* What an agent is started with. Strings, seeds and codecs are borrowed and must outlive the agent. */
struct agent_setup {
    const char *cluster, *zone;
    const int64_t *seeds; /* addresses of controllers */
    int64_t n_seeds;
    int64_t boot;                /* differs between starts of this process */
    int64_t executor;            /* address of the executor */
    int64_t hold_max_ms;         /* the longest lease that the executor accepts */
    int64_t stop_timeout_ms;     /* within which a stopped run ends */
    int64_t grace_ms;            /* how long shutting down may take */
    int64_t orders_by_heartbeat; /* 1: the executor takes orders in the responses to its heartbeats and is not called */
    const struct api_codec *codec; /* reads its heartbeats */
    const struct executor_codec *executor_codec;
};

struct agent;
/* Creates an agent; the caller frees it with agent_free(). world is borrowed. */
struct agent *agent_new(struct world *world, const struct agent_setup *setup);
/* Frees an agent. Calls still in flight must be dropped by the world, which is freed after the agent. */
void agent_free(struct agent *agent);
/* To be called on each tick of the timer. */
void agent_on_timer(struct agent *agent);
/* Takes in a frame of len bytes (borrowed); frames that cannot be read are dropped. */
void agent_on_frame(struct agent *agent, const uint8_t *at, int64_t len);
/* To be called once per iteration of the event loop, after its input: sends calls and, if due, a report. */
void agent_flush(struct agent *agent);
/* Takes in an HTTP request of the executor (a heartbeat) and answers it through the world, now or later. */
void agent_request(struct agent *agent, int64_t slot, const struct http_request *request);
/* Begins to shut down; agent_left() is 1 once the process may end. Runs go on under the next process. */
void agent_leave(struct agent *agent);
int agent_left(const struct agent *agent);
/* Replaces the seed addresses; seeds is borrowed for the call. */
void agent_set_seeds(struct agent *agent, const int64_t *seeds, int64_t n_seeds);
#endif
