/* An agent: runs next to one executor and is the only process that calls it. It carries out the leader's orders, renews
 * the executor's lease while the leader renews the agent's, and reports the state of the executor and its runs. It
 * makes no decisions about jobs and stores nothing on disk. */
#ifndef SAGEHITCH_AGENT_H
#define SAGEHITCH_AGENT_H
#include "agent/executor_codec.h"
#include "controller/codec.h"
#include "controller/directory.h"

/* Parameters of an agent. Strings, seeds and codecs are borrowed and must outlive the agent. */
struct agent_setup {
    const char *cluster, *zone;
    const int64_t *seeds; /* addresses of controllers */
    int64_t n_seeds;
    int64_t boot;                  /* differs between starts of this process */
    int64_t executor;              /* address of the executor */
    int64_t hold_max_ms;           /* the longest lease that the executor accepts */
    int64_t stop_timeout_ms;       /* a run ends within this time after it was told to stop */
    int64_t grace_ms;              /* time limit of the shutdown */
    int64_t orders_by_heartbeat;   /* 1: the executor takes its orders in the responses to its heartbeats, and is never
                                      called */
    const struct api_codec *codec; /* decodes the executor's heartbeats */
    const struct executor_codec *executor_codec;
};

struct agent;
/* Creates an agent; the caller frees it with agent_free(). world is borrowed. */
struct agent *agent_new(struct world *world, const struct agent_setup *setup);
/* Frees an agent. Calls still in flight must be dropped by the world, which is freed after the agent. */
void agent_free(struct agent *agent);
/* Call on each tick of the timer. */
void agent_on_timer(struct agent *agent);
/* Handles a frame of len bytes (borrowed). Frames that cannot be decoded are dropped. */
void agent_on_frame(struct agent *agent, const uint8_t *at, int64_t len);
/* Call once per iteration of the event loop, after its input: sends calls to the executor and reports to the leader. */
void agent_flush(struct agent *agent);
/* Handles an HTTP request of the executor (a heartbeat). The response is sent through the world, now or later. */
void agent_request(struct agent *agent, int64_t slot, const struct http_request *request);
/* Begins the shutdown; agent_has_left() is 1 once the process may exit. The next process of this agent takes over the
 * runs that are active. */
void agent_leave(struct agent *agent);
int agent_has_left(const struct agent *agent);
/* Replaces the seed addresses; seeds is borrowed for the call. */
void agent_set_seeds(struct agent *agent, const int64_t *seeds, int64_t n_seeds);
#endif
