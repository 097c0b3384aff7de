/* Rules that head office sets for the jobs of all outlets, and each outlet's adjustments of them. They are part of the
 * record, so only committed ops change them. A job of an outlet gets the rules in force when it is accepted and keeps
 * them until it ends. For a rule that head office does not set, the queue's configuration applies. */
#ifndef SAGEHITCH_RULES_H
#define SAGEHITCH_RULES_H
#include "base/error.h"
#include "base/change_history.h"
#include "base/schema.h"

enum { RULE_UNSET = -1, OUTLETS_MAX = 5000, OUTLET_NAME_MAX = 64, OUTLET_QUEUES_MAX = 64, DAY_MIN = 1440 };

/* Values of the rule in_turn: a job may start at any time, or only after every earlier job of its outlet and queue has
 * started, or has ended. */
enum in_turn { TURN_ANY, TURN_BEGUN, TURN_OVER };

/* A value for each rule; RULE_UNSET: not set. rule_values_schema is the table of rules with their names and bounds. */
struct rule_values {
    int64_t priority, attempts_max, stretch_pct, target_ms; /* as in struct queue_config */
    int64_t running_most;  /* limit of the outlet's tasks placed at one time, in all queues; 0: no limit */
    int64_t in_turn;       /* enum in_turn */
    int64_t opens_at_min;  /* minute of the day (UTC) from which jobs may start */
    int64_t closes_at_min; /* minute from which they may not; the same as opens_at_min: no limit */
};
/* Head office's rules. An outlet may set a rule to a value from least to most; if both equal value, the rule is fixed.
 * Invariant: value, least and most of a rule are all RULE_UNSET, or all within the table's bounds with least <= value
 * <= most. */
struct rule_set {
    int64_t version;
    struct rule_values value, least, most;
};
/* An outlet. own holds the adjustments as they were set, even those that head office no longer allows. A job submitted
 * to one of queues belongs to the outlet even if it names none; a queue belongs to at most one outlet. */
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
/* The rules of a job, fixed when it is accepted. */
struct job_rules {
    int64_t outlet;             /* index into rules->outlets */
    int64_t of_head, of_outlet; /* versions of head office's and the outlet's rules that they were derived from */
    struct rule_values values;
};
/* A change of the named outlet, or of head office's rules if outlet is NULL. base: the version that it is based on. */
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
/* Whether the rules, for example restored ones, satisfy the invariants. */
int rules_valid(const struct rules *rules);
/* A rule by its index in rule_values_schema. */
int64_t *rule_at(const struct rule_values *values, int rule);
/* Whether the name is valid: letters, digits, - _ and ., at most OUTLET_NAME_MAX. */
int outlet_name_valid(const char *name);
/* The index of the outlet with this name, or of the outlet that owns the queue; -1: there is none. */
int64_t rules_outlet(const struct rules *rules, const char *name);
int64_t rules_outlet_of_queue(const struct rules *rules, const char *queue);
/* Validates a change independently of the current rules. Returns 0, or an error with the member at fault in
 * validation_error (may be NULL). */
enum sagehitch_error rules_change_check(const struct rules_change *change, struct validation_error *validation_error);
/* Applies a change. Returns ERROR_NONE, also for a repetition; ERROR_STALE: not based on the current version;
 * ERROR_OUTCOME_UNKNOWN: too old to know whether it was applied; ERROR_BOUND: a new value is outside the bounds that
 * head office sets; ERROR_KEY_TAKEN: a queue belongs to another outlet; ERROR_TOO_LARGE: too many outlets. */
enum sagehitch_error rules_apply(struct rules *rules, const struct rules_change *change);
/* The rules in force for an outlet. */
void rules_effective(const struct rules *rules, const struct outlet *outlet, struct rule_values *to);
/* Whether the outlet set this rule but another value is in force. */
int rule_clamped(const struct rules *rules, const struct outlet *outlet, int rule);
/* Makes the rules of a job that is accepted now; owned by the caller. outlet: index into rules->outlets. */
struct job_rules *job_rules_new(const struct rules *rules, int64_t outlet);
/* When the opening hours last began, at or before wall_ms, and when they begin next; 0: no hours are set. Times are
 * time of day. */
int64_t rules_opened_ms(const struct rule_values *values, int64_t wall_ms);
int64_t rules_opens_ms(const struct rule_values *values, int64_t wall_ms);
/* Whether jobs may start at this time of day. */
int rules_open(const struct rule_values *values, int64_t wall_ms);
#endif
