/* Rules that head office sets for the jobs of all outlets, and each outlet's adjustments. Part of the record: changed
 * by committed ops alone. A job that belongs to an outlet gets the rules in force when it is accepted, and keeps them
 * to its end. What head office does not set is governed by the queue's configuration. */
#ifndef SAGEHITCH_RULES_H
#define SAGEHITCH_RULES_H
#include "base/error.h"
#include "base/change_history.h"
#include "base/schema.h"

enum { RULE_UNSET = -1, OUTLETS_MAX = 5000, OUTLET_NAME_MAX = 64, OUTLET_QUEUES_MAX = 64, DAY_MIN = 1440 };

/* in_turn: a job begins once each earlier job of its outlet and queue */
enum in_turn { TURN_ANY, TURN_BEGUN /* has begun */, TURN_OVER /* is over */ };

/* The table of rules; names and bounds are in rule_values_schema. RULE_UNSET: not set. */
struct rule_values {
    int64_t priority, attempts_max, stretch_pct, target_ms; /* as in struct queue_config */
    int64_t running_most;  /* tasks of the outlet placed at once, over all queues; 0: any number */
    int64_t in_turn;       /* enum in_turn */
    int64_t opens_at_min;  /* minute of the day, UTC, from which jobs may begin, */
    int64_t closes_at_min; /* and up to which; the same as opens_at_min: always */
};
/* Head office's rules. Outlets may adjust a rule from least to most; it is fixed where both equal value. Invariant:
 * where value is RULE_UNSET so are the others, else all three are in the table's bounds and in order. */
struct rule_set {
    int64_t version;
    struct rule_values value, least, most;
};
/* An outlet. own is kept as it was set, also where head office no longer allows it. Jobs submitted to one of queues
 * belong to the outlet without naming it; a queue belongs to one outlet at most. */
struct outlet {
    char *name;
    int64_t version;
    struct rule_values own;
    char **queues;
    int64_t n_queues;
};
/* All rules. Outlets are never removed or moved, since jobs refer to them by index. */
struct rules {
    struct rule_set head;
    struct outlet *outlets;
    int64_t n_outlets;
    struct change_history history; /* changes of head (key 0) and of all outlets */
};
/* The rules of a job. */
struct job_rules {
    int64_t outlet;             /* index into rules->outlets */
    int64_t of_head, of_outlet; /* versions of head office's and the outlet's rules that they were derived from */
    struct rule_values values;
};
/* A change, of the outlet it names or else of head office's rules, built on version base. */
struct rules_change {
    char *outlet;
    int64_t base;
    struct rule_set head;
    struct outlet to; /* without its name */
};
extern const struct schema rule_values_schema, rule_set_schema, rules_schema, job_rules_schema, rules_change_schema;

/* Initialise empty rules; free what rules owns and leave them empty. */
void rules_start(struct rules *rules);
void rules_end(struct rules *rules);
/* Whether restored rules keep the invariants. */
int rules_valid(const struct rules *rules);
/* A rule by its index in rule_values_schema. */
int64_t *rule_at(const struct rule_values *values, int rule);
/* Whether the name is valid: letters, digits, - _ and ., at most OUTLET_NAME_MAX. */
int outlet_name_valid(const char *name);
/* The index of the outlet of this name, or of the one that the queue belongs to; -1: there is none. */
int64_t rules_outlet(const struct rules *rules, const char *name);
int64_t rules_outlet_of_queue(const struct rules *rules, const char *queue);
/* Validates a change independently of the current rules. Returns 0, or an error with the member at fault in
 * validation_error (may be NULL). */
enum sagehitch_error rules_change_check(const struct rules_change *change, struct validation_error *validation_error);
/* Applies a change. Returns ERROR_NONE, also for a repetition; ERROR_STALE: not built on the current version;
 * ERROR_GAVE_UP: too old to know whether it was applied; ERROR_BOUND: a new value is out of the outlet's bounds;
 * ERROR_KEY_TAKEN: the queue belongs to another outlet; ERROR_TOO_LARGE: too many outlets. */
enum sagehitch_error rules_apply(struct rules *rules, const struct rules_change *change);
/* The rules in force for an outlet. */
void rules_effective(const struct rules *rules, const struct outlet *outlet, struct rule_values *to);
/* Whether the rule in force differs from the outlet's own. */
int rule_clamped(const struct rules *rules, const struct outlet *outlet, int rule);
/* The rules that a job accepted now gets for its whole life, owned by the caller. outlet: index. */
struct job_rules *job_rules_new(const struct rules *rules, int64_t outlet);
/* Time of day of the newest opening up to wall_ms, and of the next one; 0: no hours are set. */
int64_t rules_opened_ms(const struct rule_values *values, int64_t wall_ms);
int64_t rules_opens_ms(const struct rule_values *values, int64_t wall_ms);
/* Whether jobs may begin at this time of day. */
int rules_open(const struct rule_values *values, int64_t wall_ms);
#endif
