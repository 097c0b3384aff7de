/* Schemas of the configuration tree, and the application of its ops. */
#include "config_tree/config_tree.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"

enum { SEEN_MAX = 128 };

static const struct field branch_fields[] = {STR(branch, path), STR(branch, json)};
SCHEMA(branch_schema, branch, branch_fields);

static const struct field planned_fields[] = {
    STR(planned, id, .max = 120),
    STR(planned, kind, .flags = FF_REQUIRED, .max = 16),
    STR(planned, executor, .max = 120),
    STR(planned, path, .max = 120),
    STR(planned, json),
    INT_NAMED(planned, at_ms, "atMs", .flags = FF_REQUIRED, .min = 0, .max = INT64_MAX / 4),
    INT_NAMED(planned, until_ms, "untilMs", .min = 0, .max = INT64_MAX / 4),
    INT_NAMED(planned, every_ms, "everyMs", .min = 0, .max = INT32_MAX),
    INT(planned, state)};
SCHEMA(planned_schema, planned, planned_fields);

static const struct field ownership_fields[] = {STR(ownership, name), INT(ownership, owner), INT(ownership, boot),
                                                INT(ownership, epoch)};
SCHEMA(ownership_schema, ownership, ownership_fields);

static const struct field seen_fields[] = {INT_NAMED(config_tree_seen, requester, "who"), INT(config_tree_seen, req),
                                           INT_NAMED(config_tree_seen, error, "problem"),
                                           INT(config_tree_seen, version)};
static SCHEMA(seen_schema, config_tree_seen, seen_fields);

static const struct field config_tree_fields[] = {
    INT(config_tree, version), LIST(config_tree, branches, n_branches, branch_schema),
    LIST(config_tree, calendar, n_calendar, planned_schema),
    LIST_NAMED(config_tree, ownerships, "duties", n_ownerships, ownership_schema),
    LIST(config_tree, seen, n_seen, seen_schema)};
SCHEMA(config_tree_schema, config_tree, config_tree_fields);

static const struct field op_fields[] = {
    INT(config_tree_op, kind),
    INT_NAMED(config_tree_op, requester, "who"),
    INT(config_tree_op, req),
    INT(config_tree_op, expect),
    STR(config_tree_op, path),
    STR(config_tree_op, json),
    PTR(config_tree_op, planned, planned_schema),
    LIST_NAMED(config_tree_op, ownerships, "duties", n_ownerships, ownership_schema)};
SCHEMA(config_tree_op_schema, config_tree_op, op_fields);

static const struct field result_fields[] = {INT_NAMED(config_tree_result, error, "problem"),
                                             INT(config_tree_result, version), STR(config_tree_result, path),
                                             STR(config_tree_result, expected)};
SCHEMA(config_tree_result_schema, config_tree_result, result_fields);

const struct ownership *config_tree_ownership(const struct config_tree *config_tree, const char *name)
{
    for (int64_t i = 0; i < config_tree->n_ownerships; i++)
        if (!strcmp(config_tree->ownerships[i].name, name))
            return &config_tree->ownerships[i];
    return NULL;
}

const struct planned *config_tree_planned(const struct config_tree *config_tree, const char *id)
{
    for (int64_t i = 0; i < config_tree->n_calendar; i++)
        if (!strcmp(config_tree->calendar[i].id, id))
            return &config_tree->calendar[i];
    return NULL;
}

const struct planned *config_tree_drain(const struct config_tree *config_tree, const char *executor, int64_t at_ms,
                                        int64_t ahead_ms)
{
    for (int64_t i = 0; i < config_tree->n_calendar; i++) {
        const struct planned *planned = &config_tree->calendar[i];
        if (!strcmp(planned->kind, "drain") && !strcmp(planned->executor, executor) &&
            at_ms + ahead_ms >= planned->at_ms && (!planned->until_ms || at_ms < planned->until_ms))
            return planned;
    }
    return NULL;
}

static void fold_ownerships(struct config_tree *config_tree, const struct config_tree_op *op)
{
    for (int64_t i = 0; i < op->n_ownerships; i++) {
        const struct ownership *assigned = &op->ownerships[i];
        struct ownership *current = (struct ownership *)(uintptr_t)config_tree_ownership(config_tree, assigned->name);
        if (!current) {
            current = array_add(config_tree->ownerships, config_tree->n_ownerships);
            current->name = must_dup(assigned->name);
        }
        if (assigned->epoch <= current->epoch)
            continue;
        current->owner = assigned->owner;
        current->boot = assigned->boot;
        current->epoch = assigned->epoch;
    }
}

static int fold_plan(struct config_tree *config_tree, const struct planned *planned,
                     struct validation_error *validation_error)
{
    json_t *json = NULL;
    const char *kind = planned->kind;
    *validation_error =
        (struct validation_error){.error = ERROR_BAD_FIELD, .path = "kind", .expected = "drain, run or settings"};
    if (!planned->id || !kind)
        return ERROR_BAD_FIELD;
    if (config_tree->n_calendar >= PLANS_MAX && !config_tree_planned(config_tree, planned->id)) {
        *validation_error = (struct validation_error){
            .error = ERROR_TOO_LARGE, .path = "calendar", .expected = "fewer entries in the calendar"};
        return ERROR_TOO_LARGE;
    }
    int drain = !strcmp(kind, "drain"), run = !strcmp(kind, "run"), settings = !strcmp(kind, "settings");
    if (!drain && !run && !settings)
        return ERROR_BAD_FIELD;
    *validation_error =
        (struct validation_error){.error = ERROR_BAD_FIELD, .path = "executor", .expected = "an executor to drain"};
    if (drain && !planned->executor)
        return ERROR_BAD_FIELD;
    if (!drain) {
        *validation_error =
            (struct validation_error){.error = ERROR_BAD_FIELD, .path = "json", .expected = "an object"};
        json = planned->json ? json_loads(planned->json, JSON_REJECT_DUPLICATES, NULL) : NULL;
        if (!json_is_object(json)) {
            json_decref(json);
            return ERROR_BAD_FIELD;
        }
        json_decref(json);
    }
    if (settings) {
        /* It must be valid with the settings of now; it is checked again when it is applied. */
        struct config_tree trial = {0};
        schema_copy(&config_tree_schema, &trial, config_tree);
        int rc = config_tree_set_branch(&trial, planned->path ? planned->path : "", planned->json, validation_error);
        config_tree_end(&trial);
        if (rc)
            return rc;
    }
    struct planned *current = (struct planned *)(uintptr_t)config_tree_planned(config_tree, planned->id);
    if (current)
        schema_free(&planned_schema, current);
    else
        current = array_add(config_tree->calendar, config_tree->n_calendar);
    schema_copy(&planned_schema, current, planned);
    current->state = PLAN_PENDING;
    return ERROR_NONE;
}

static int fold_unplan(struct config_tree *config_tree, const char *id)
{
    struct planned *current = (struct planned *)(uintptr_t)config_tree_planned(config_tree, id ? id : "");
    if (!current)
        return ERROR_NOT_FOUND;
    schema_free(&planned_schema, current);
    *current = config_tree->calendar[--config_tree->n_calendar];
    return ERROR_NONE;
}

/* Applies a planned change of settings if it is still valid. */
static int fold_planned(struct config_tree *config_tree, const char *id, struct validation_error *validation_error)
{
    struct planned *current = (struct planned *)(uintptr_t)config_tree_planned(config_tree, id ? id : "");
    if (!current || current->state != PLAN_PENDING || strcmp(current->kind, "settings"))
        return ERROR_NOT_FOUND;
    int rc = config_tree_set_branch(config_tree, current->path ? current->path : "", current->json, validation_error);
    current->state = rc ? PLAN_REJECTED : PLAN_DONE;
    return rc;
}

/* The result of the same op if it was applied before, or NULL. */
static const struct config_tree_seen *seen_before(const struct config_tree *config_tree,
                                                  const struct config_tree_op *op)
{
    for (int64_t i = 0; op->req && i < config_tree->n_seen; i++)
        if (config_tree->seen[i].requester == op->requester && config_tree->seen[i].req == op->req)
            return &config_tree->seen[i];
    return NULL;
}

void config_tree_fold(struct config_tree *config_tree, const struct config_tree_op *op,
                      struct config_tree_result *result)
{
    struct validation_error validation_error = {0};
    int rc = ERROR_NONE;
    const struct config_tree_seen *seen = seen_before(config_tree, op);
    config_tree->generation++;
    if (op->kind == CONFIG_OP_OWNERSHIPS) {
        fold_ownerships(config_tree, op);
        result->version = config_tree->version;
        return;
    }
    if (seen) {
        result->error = seen->error;
        result->version = seen->version;
        return;
    }
    if (op->kind != CONFIG_OP_APPLY_PLANNED && op->expect != config_tree->version)
        rc = ERROR_STALE;
    else if (op->kind == CONFIG_OP_REPLACE)
        rc = config_tree_replace(config_tree, op->json, &validation_error);
    else if (op->kind == CONFIG_OP_BRANCH)
        rc = config_tree_set_branch(config_tree, op->path ? op->path : "", op->json, &validation_error);
    else if (op->kind == CONFIG_OP_PLAN && op->planned)
        rc = fold_plan(config_tree, op->planned, &validation_error);
    else if (op->kind == CONFIG_OP_UNPLAN)
        rc = fold_unplan(config_tree, op->path);
    else if (op->kind == CONFIG_OP_APPLY_PLANNED)
        rc = fold_planned(config_tree, op->path, &validation_error);
    else
        rc = ERROR_BAD_FRAME;
    if (!rc)
        config_tree->version++;
    else if (*validation_error.path) {
        result->path = must_dup(validation_error.path);
        result->expected = must_dup(validation_error.expected);
    }
    result->error = rc;
    result->version = config_tree->version;
    if (!op->req)
        return;
    if (config_tree->n_seen == SEEN_MAX)
        memmove(config_tree->seen, config_tree->seen + 1, sizeof *config_tree->seen * (size_t)--config_tree->n_seen);
    *array_add(config_tree->seen, config_tree->n_seen) = (struct config_tree_seen){
        .requester = op->requester, .req = op->req, .error = rc, .version = config_tree->version};
}

void config_tree_apply(struct config_tree *config_tree, const struct bytes *bytes, struct bytes *out)
{
    struct config_tree_op op = {0};
    struct config_tree_result result = {0};
    if (schema_unpack(&config_tree_op_schema, &op, bytes->at, bytes->len))
        result.error = ERROR_BAD_FRAME;
    else
        config_tree_fold(config_tree, &op, &result);
    if (out)
        schema_pack(&config_tree_result_schema, &result, out);
    schema_free(&config_tree_result_schema, &result);
    schema_free(&config_tree_op_schema, &op);
}

void config_tree_snapshot(const struct config_tree *config_tree, struct bytes *to)
{
    schema_pack(&config_tree_schema, config_tree, to);
}

int config_tree_restore(struct config_tree *config_tree, const struct bytes *from)
{
    struct config_tree next = {0};
    int rc = schema_unpack(&config_tree_schema, &next, from->at, from->len);
    if (rc)
        return rc;
    next.generation = config_tree->generation + 1;
    config_tree_end(config_tree);
    *config_tree = next;
    return ERROR_NONE;
}

void config_tree_end(struct config_tree *config_tree) { schema_free(&config_tree_schema, config_tree); }
