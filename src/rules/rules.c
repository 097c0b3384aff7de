/* Rules: schemas, validation, changes, what is in force, and opening hours. */
#include "rules/rules.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"

#define RULE(MEMBER, OUTER, MIN, MAX) \
    INT_NAMED(rule_values, MEMBER, OUTER, .default_value = RULE_UNSET, .min = (MIN), .max = (MAX))
static const struct field value_fields[] = {RULE(priority, "priority", 0, 1000),
                                            RULE(attempts_max, "attemptsMax", 1, 100),
                                            RULE(stretch_pct, "stretchPct", 0, 100000),
                                            RULE(target_ms, "targetMs", 0, 604800000),
                                            RULE(running_most, "runningMost", 0, 100000),
                                            RULE(in_turn, "inTurn", TURN_ANY, TURN_OVER),
                                            RULE(opens_at_min, "opensAtMin", 0, DAY_MIN - 1),
                                            RULE(closes_at_min, "closesAtMin", 0, DAY_MIN - 1)};
SCHEMA(rule_values_schema, rule_values, value_fields);

static const struct field set_fields[] = {INT(rule_set, version), SUB(rule_set, value, rule_values_schema),
                                          SUB(rule_set, least, rule_values_schema),
                                          SUB(rule_set, most, rule_values_schema)};
SCHEMA(rule_set_schema, rule_set, set_fields);

static const struct field outlet_fields[] = {STR(outlet, name), INT(outlet, version),
                                             SUB(outlet, own, rule_values_schema), STRS(outlet, queues, n_queues)};
static SCHEMA(outlet_schema, outlet, outlet_fields);

static const struct field rules_fields[] = {SUB(rules, head, rule_set_schema),
                                            LIST(rules, outlets, n_outlets, outlet_schema),
                                            SUB(rules, history, change_history_schema)};
SCHEMA(rules_schema, rules, rules_fields);

static const struct field job_rules_fields[] = {INT(job_rules, outlet), INT_NAMED(job_rules, of_head, "ofHead"),
                                                INT_NAMED(job_rules, of_outlet, "ofOutlet"),
                                                SUB(job_rules, values, rule_values_schema)};
SCHEMA(job_rules_schema, job_rules, job_rules_fields);

static const struct field change_fields[] = {STR(rules_change, outlet), INT(rules_change, base),
                                             SUB(rules_change, head, rule_set_schema),
                                             SUB(rules_change, to, outlet_schema)};
SCHEMA(rules_change_schema, rules_change, change_fields);

void rules_start(struct rules *rules)
{
    schema_defaults(&rules_schema, rules);
    rules->history.complete = 1;
}

void rules_end(struct rules *rules)
{
    schema_free(&rules_schema, rules);
    rules_start(rules);
}

int64_t *rule_at(const struct rule_values *values, int rule)
{
    return (int64_t *)((char *)(uintptr_t)values + value_fields[rule].off);
}

int64_t rules_outlet(const struct rules *rules, const char *name)
{
    for (int64_t i = 0; name && i < rules->n_outlets; i++)
        if (!strcmp(rules->outlets[i].name, name))
            return i;
    return -1;
}

static int has_queue(const struct outlet *outlet, const char *queue)
{
    for (int64_t i = 0; i < outlet->n_queues; i++)
        if (!strcmp(outlet->queues[i], queue))
            return 1;
    return 0;
}

int64_t rules_outlet_of_queue(const struct rules *rules, const char *queue)
{
    for (int64_t i = 0; queue && i < rules->n_outlets; i++)
        if (has_queue(&rules->outlets[i], queue))
            return i;
    return -1;
}

/* --- checks --------------------------------------------------------------- */

int outlet_name_valid(const char *name)
{
    size_t len = name ? strlen(name) : 0;
    for (size_t i = 0; i < len; i++)
        if (!isalnum((unsigned char)name[i]) && !strchr("-_.", name[i]))
            return 0;
    return len > 0 && len <= OUTLET_NAME_MAX;
}

static int in_table(int rule, int64_t value)
{
    return value >= value_fields[rule].min && value <= value_fields[rule].max;
}

static enum sagehitch_error set_check(const struct rule_set *set, struct validation_error *validation_error)
{
    for (int i = 0; i < rule_values_schema.n; i++) {
        int64_t value = *rule_at(&set->value, i), least = *rule_at(&set->least, i), most = *rule_at(&set->most, i);
        if (value == RULE_UNSET && least == RULE_UNSET && most == RULE_UNSET)
            continue;
        if (!in_table(i, value))
            return validation_error_set(validation_error, ERROR_BAD_FIELD, "a value within the table's bounds",
                                        "rules.%s.value", value_fields[i].name);
        if (!in_table(i, least) || least > value)
            return validation_error_set(validation_error, ERROR_BAD_FIELD,
                                        "no more than value, within the table's bounds", "rules.%s.least",
                                        value_fields[i].name);
        if (!in_table(i, most) || most < value)
            return validation_error_set(validation_error, ERROR_BAD_FIELD,
                                        "no less than value, within the table's bounds", "rules.%s.most",
                                        value_fields[i].name);
    }
    return ERROR_NONE;
}

static enum sagehitch_error outlet_check(const struct outlet *outlet, struct validation_error *validation_error)
{
    for (int i = 0; i < rule_values_schema.n; i++)
        if (*rule_at(&outlet->own, i) != RULE_UNSET && !in_table(i, *rule_at(&outlet->own, i)))
            return validation_error_set(validation_error, ERROR_BAD_FIELD, "a value within the table's bounds",
                                        "rules.%s", value_fields[i].name);
    if (outlet->n_queues > OUTLET_QUEUES_MAX)
        return validation_error_set(validation_error, ERROR_BAD_FIELD, "fewer queues", "queues");
    for (int64_t i = 0; i < outlet->n_queues; i++)
        if (!outlet->queues[i] || !*outlet->queues[i])
            return validation_error_set(validation_error, ERROR_BAD_FIELD, "a queue's name", "queues[%d]", (int)i);
    return ERROR_NONE;
}

enum sagehitch_error rules_change_check(const struct rules_change *change, struct validation_error *validation_error)
{
    if (change->base < 0)
        return validation_error_set(validation_error, ERROR_BAD_FIELD, "0 or more", "base");
    if ((change->outlet ? change->to.version : change->head.version) < 1)
        return validation_error_set(validation_error, ERROR_BAD_FIELD, "1 or more", "version");
    if (!change->outlet)
        return set_check(&change->head, validation_error);
    if (!outlet_name_valid(change->outlet))
        return validation_error_set(validation_error, ERROR_BAD_FIELD, "letters, digits, - _ and ., at most 64",
                                    "outlet");
    return outlet_check(&change->to, validation_error);
}

int rules_valid(const struct rules *rules)
{
    if (set_check(&rules->head, NULL) || !change_history_is_valid(&rules->history))
        return 0;
    for (int64_t i = 0; i < rules->n_outlets; i++)
        if (!outlet_name_valid(rules->outlets[i].name) || outlet_check(&rules->outlets[i], NULL))
            return 0;
    return 1;
}

/* --- changes -------------------------------------------------------------- */

/* The entry in the change history; body is packed by schema. */
static struct applied_change taken_of(const struct rules_change *change, const struct schema *schema, const void *body,
                                      int64_t version)
{
    struct bytes packed = {0};
    schema_pack(schema, body, &packed);
    struct applied_change taken = {.key = change->outlet ? (int64_t)hash_text(change->outlet) : 0,
                                   .version = version,
                                   .base = change->base,
                                   .hash = change_hash(packed.at, packed.len)};
    bytes_free(&packed);
    return taken;
}

/* Returns ERROR_NONE: to be applied to the current version; 1: a repetition; else an error. Histories of older versions
 * may be missing: then the newest body is still known by newest_hash. */
static int versions(const struct rules *rules, const struct applied_change *change, int64_t now, int64_t newest_hash)
{
    if (change->version > now)
        return change->base == now ? ERROR_NONE : ERROR_STALE;
    if (change->version == now && change->hash == newest_hash)
        return 1;
    enum sagehitch_error rc = change_history_check(&rules->history, change);
    return rc ? rc : 1;
}

static enum sagehitch_error apply_head(struct rules *rules, const struct rules_change *change)
{
    struct applied_change newest = taken_of(change, &rule_set_schema, &rules->head, rules->head.version);
    struct applied_change taken = taken_of(change, &rule_set_schema, &change->head, change->head.version);
    int rc = versions(rules, &taken, rules->head.version, newest.hash);
    if (rc)
        return rc < 0 ? rc : ERROR_NONE;
    rules->head = change->head; /* owns nothing */
    change_history_add(&rules->history, &taken);
    return ERROR_NONE;
}

static int allowed(const struct rule_set *head, int rule, int64_t value)
{
    return *rule_at(&head->value, rule) != RULE_UNSET && value >= *rule_at(&head->least, rule) &&
           value <= *rule_at(&head->most, rule);
}

/* Values set before stay allowed, so that repeating them in a later change is never refused. */
static enum sagehitch_error outlet_bounds(const struct rules *rules, const struct outlet *now, const struct outlet *to)
{
    for (int i = 0; i < rule_values_schema.n; i++) {
        int64_t value = *rule_at(&to->own, i);
        if (value != RULE_UNSET && !(now && *rule_at(&now->own, i) == value) && !allowed(&rules->head, i, value))
            return ERROR_BOUND;
    }
    for (int64_t i = 0; i < to->n_queues; i++) {
        int64_t owner = rules_outlet_of_queue(rules, to->queues[i]);
        if (owner >= 0 && &rules->outlets[owner] != now)
            return ERROR_KEY_TAKEN;
    }
    return ERROR_NONE;
}

static enum sagehitch_error apply_outlet(struct rules *rules, const struct rules_change *change)
{
    int64_t no = rules_outlet(rules, change->outlet);
    struct outlet *now = no >= 0 ? &rules->outlets[no] : NULL, to = change->to;
    to.name = change->outlet;
    struct applied_change taken = taken_of(change, &outlet_schema, &to, to.version);
    int64_t newest_hash = now ? taken_of(change, &outlet_schema, now, now->version).hash : 0;
    int rc = versions(rules, &taken, now ? now->version : 0, newest_hash);
    if (rc)
        return rc < 0 ? rc : ERROR_NONE;
    rc = outlet_bounds(rules, now, &to);
    if (rc)
        return rc;
    if (!now && rules->n_outlets >= OUTLETS_MAX)
        return ERROR_TOO_LARGE;
    if (!now)
        now = array_add(rules->outlets, rules->n_outlets);
    schema_free(&outlet_schema, now);
    schema_copy(&outlet_schema, now, &to);
    change_history_add(&rules->history, &taken);
    return ERROR_NONE;
}

enum sagehitch_error rules_apply(struct rules *rules, const struct rules_change *change)
{
    enum sagehitch_error rc = rules_change_check(change, NULL);
    if (rc)
        return rc;
    return change->outlet ? apply_outlet(rules, change) : apply_head(rules, change);
}

/* --- what is in force ----------------------------------------------------- */

static int64_t effective(const struct rule_set *head, const struct rule_values *own, int rule)
{
    int64_t value = *rule_at(&head->value, rule), mine = *rule_at(own, rule);
    if (value == RULE_UNSET || mine == RULE_UNSET)
        return value;
    int64_t least = *rule_at(&head->least, rule), most = *rule_at(&head->most, rule);
    return mine < least ? least : mine > most ? most : mine;
}

void rules_effective(const struct rules *rules, const struct outlet *outlet, struct rule_values *to)
{
    for (int i = 0; i < rule_values_schema.n; i++)
        *rule_at(to, i) = effective(&rules->head, &outlet->own, i);
}

int rule_clamped(const struct rules *rules, const struct outlet *outlet, int rule)
{
    int64_t mine = *rule_at(&outlet->own, rule);
    return mine != RULE_UNSET && effective(&rules->head, &outlet->own, rule) != mine;
}

struct job_rules *job_rules_new(const struct rules *rules, int64_t outlet)
{
    struct job_rules *stamp = must_alloc(sizeof *stamp);
    stamp->outlet = outlet;
    stamp->of_head = rules->head.version;
    stamp->of_outlet = rules->outlets[outlet].version;
    rules_effective(rules, &rules->outlets[outlet], &stamp->values);
    return stamp;
}

/* --- hours ---------------------------------------------------------------- */

#define MINUTE_MS INT64_C(60000)
#define DAY_MS (DAY_MIN * MINUTE_MS)

static int has_hours(const struct rule_values *v)
{
    return v->opens_at_min != RULE_UNSET && v->closes_at_min != RULE_UNSET && v->opens_at_min != v->closes_at_min;
}

int64_t rules_opened_ms(const struct rule_values *v, int64_t wall_ms)
{
    if (!has_hours(v))
        return 0;
    int64_t opens_ms = wall_ms / DAY_MS * DAY_MS + v->opens_at_min * MINUTE_MS;
    return opens_ms <= wall_ms ? opens_ms : opens_ms - DAY_MS;
}

int64_t rules_opens_ms(const struct rule_values *v, int64_t wall_ms)
{
    return has_hours(v) ? rules_opened_ms(v, wall_ms) + DAY_MS : 0;
}

int rules_open(const struct rule_values *v, int64_t wall_ms)
{
    int64_t lasts_min = (v->closes_at_min - v->opens_at_min + DAY_MIN) % DAY_MIN;
    return !has_hours(v) || wall_ms - rules_opened_ms(v, wall_ms) < lasts_min * MINUTE_MS;
}
