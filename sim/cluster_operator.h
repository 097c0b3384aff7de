/* Operators of a simulated cluster: the orders they send, and what they see. */
#ifndef SAGEHITCH_CLUSTER_OPERATOR_H
#define SAGEHITCH_CLUSTER_OPERATOR_H
#include <stdint.h>

struct cluster;
struct host;

/* One order of an operator. Invariant: stands in the list from its first sending on. settled: its base
 * was seen in force when it was first sent, so that refused means never taken. Times are 0 until they come. body: the
 * whole configuration that it makes; patch: what is sent in its place, NULL: body itself. */
struct op_change {
    int64_t version, base, valid, sends, refusals, acked_us, extra_queue, base_in_force, finished;
    char *body, *patch;
};
enum config_outcome { CONFIG_UNKNOWN, CONFIG_TAKEN, CONFIG_REFUSED };
/* One call of an operator as it saw it: a sending of a change, or a reading (change -1) of version and body.
 * ended_us 0: no answer was seen. */
struct config_call {
    int64_t change, began_us, ended_us, version, min_version; /* least: in force before a reading, as far as was seen */
    enum config_outcome outcome;
    char *body;
};

void operator_first(struct cluster *cluster); /* until it is taken */
void operator_change(struct cluster *cluster, int race, int invalid);
int64_t operator_order(struct cluster *cluster, int64_t version, int64_t base); /* returns its place in changes */
/* This many orders at once: on what is acknowledged or on each other, in races under one number or under two,
 * the same by two operators; or one that was acknowledged, sent again. */
void operator_crowd(struct cluster *cluster, int64_t orders);
void operator_again(struct cluster *cluster,
                    int64_t n); /* the nth order, if it was acknowledged, as it was, to any node */
int64_t operator_open(const struct cluster *cluster); /* orders without a clear answer, still sent again */
void operator_read(struct cluster *cluster);          /* from any node */
void operator_read_from(struct cluster *cluster, struct host *from);
void operator_last(struct cluster *cluster);
const char *operator_body(const struct cluster *cluster, int64_t n); /* what the nth change said */
void operator_free(struct cluster *cluster);
#endif
