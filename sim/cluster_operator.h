/* Operators of a simulated cluster: the configuration changes that they send and the responses that they get. */
#ifndef SAGEHITCH_CLUSTER_OPERATOR_H
#define SAGEHITCH_CLUSTER_OPERATOR_H
#include <stdint.h>

struct cluster;
struct host;

/* A configuration change of an operator. Invariant: it is in the cluster's list from its first request on.
 * base_in_force: an acknowledgement or a reading had shown a version >= base when the change was first sent, so a
 * refusal means that it is never in force. finished: it has a definite result or the operator gave up. acked_us: 0
 * until it is acknowledged. body: the whole configuration that results; patch: what is sent instead, NULL: body itself.
 * extra_queue: number in the name of the queue that it adds, 0: none. */
struct op_change {
    int64_t version, base, valid, n_sends, refusals, acked_us, extra_queue, base_in_force, finished;
    char *body, *patch;
};
enum config_outcome { CONFIG_UNKNOWN, CONFIG_TAKEN, CONFIG_REFUSED };
/* One request of an operator: it sends a change (index into changes), or it reads version and body (change -1).
 * ended_us 0: no response was received. */
struct config_call {
    int64_t change, began_us, ended_us, version, min_version; /* min_version: known to be in force before a reading */
    enum config_outcome outcome;
    char *body;
};

void operator_first_config(
    struct cluster *cluster); /* sends version 1 and runs until it is acknowledged, at most 20 s */
/* Sends a change of the newest acknowledged version. race: a second change of the same version is sent at once;
 * invalid: which part of the configuration is invalid, 0: none. */
void operator_change(struct cluster *cluster, int race, int invalid);
int64_t operator_send(struct cluster *cluster, int64_t version, int64_t base); /* returns its index in changes */
/* Sends this many changes at once, chosen at random: based on the newest acknowledged version or on one another, with
 * the same version number and different bodies, the same change by two operators, or an acknowledged change again. */
void operator_send_many(struct cluster *cluster, int64_t count);
void operator_resend(struct cluster *cluster, int64_t n);  /* sends the nth change again if it was acknowledged */
int64_t operator_n_pending(const struct cluster *cluster); /* changes without a definite result, which are retried */
void operator_read(struct cluster *cluster);               /* from any controller */
void operator_read_from(struct cluster *cluster, struct host *from);
/* Reads the configuration until a controller responds, and checks that its extra queue is there and others are not. */
void operator_check_final(struct cluster *cluster);
const char *operator_body(const struct cluster *cluster, int64_t n); /* the whole configuration of the nth change */
void operator_free(struct cluster *cluster);
/* cluster_operator.c, used by cluster_operator_reads.c */
/* The change of this version, and with this body unless it is NULL; NULL: there is none. */
struct op_change *operator_find_change(struct cluster *cluster, int64_t version, const char *body);
/* Records a request that begins now; change: its index, -1: it reads. Returns the index of the call. */
int64_t operator_new_call(struct cluster *cluster, int64_t change);
#endif
