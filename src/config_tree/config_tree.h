/* The configuration tree: settings tree, calendar and duties, folded from the control
 * log. Keepers fold it as the log's machine, nodes fold the same feed. */
#ifndef SAGEHITCH_CONFIG_TREE_H
#define SAGEHITCH_CONFIG_TREE_H
#include "base/bytes.h"
#include "base/schema.h"
#include "config_tree/settings.h"

/* json holds only what this branch overrides. */
struct branch {
    char *path, *json;
};

enum { PLAN_WAITS, PLAN_DONE, PLAN_REJECTED };

/* kind: "drain", "run" or "settings". json: a job for a run, overrides for settings. */
struct planned {
    char *id, *kind, *executor, *path, *json;
    int64_t at_ms, until_ms, every_ms, state;
};

/* name: "shard/N" or "home/EXECUTOR". Invariant: epoch only rises. */
struct ownership {
    char *name;
    int64_t owner, boot, epoch;
};

struct config_tree_seen {
    int64_t who, req, error, version;
};

/* Invariants: branches are sorted by path and always pass config_tree_check;
 * version rises by one with each accepted change of settings or calendar. */
struct config_tree {
    int64_t version;
    struct branch *branches;
    int64_t n_branches;
    struct planned *calendar;
    int64_t n_calendar;
    struct ownership *ownerships;
    int64_t n_ownerships;
    struct config_tree_seen *seen;
    int64_t n_seen;
    int64_t generation; /* changes with each fold; views compare it */
};

enum config_tree_op_kind {
    CONFIG_OP_REPLACE = 1,
    CONFIG_OP_BRANCH,
    CONFIG_OP_PLAN,
    CONFIG_OP_UNPLAN,
    CONFIG_OP_APPLY_PLANNED,
    CONFIG_OP_OWNERSHIPS,
    CONFIG_OP_EXECUTOR
};

/* who and req name the asker and its question, so asking again is harmless. */
struct config_tree_op {
    int64_t kind, who, req, expect;
    char *path, *json;
    struct planned *planned;
    struct ownership *ownerships;
    int64_t n_ownerships;
};

struct config_tree_result {
    int64_t error, version;
    char *path, *expected;
};

extern const struct schema branch_schema, planned_schema, ownership_schema, config_tree_schema, config_tree_op_schema,
    config_tree_result_schema;

void config_tree_apply(struct config_tree *config_tree, const struct bytes *op, struct bytes *result);
void config_tree_fold(struct config_tree *config_tree, const struct config_tree_op *op,
                      struct config_tree_result *result);
void config_tree_snapshot(const struct config_tree *config_tree, struct bytes *to);
int config_tree_restore(struct config_tree *config_tree, const struct bytes *from);
void config_tree_end(struct config_tree *config_tree);

/* config_tree_tree.c */
int config_tree_path_ok(const char *path);
void config_tree_effective(const struct config_tree *config_tree, const char *path, struct settings *to);
json_t *config_tree_explain(const struct config_tree *config_tree, const char *path); /* value and origin a name */
int config_tree_check(const struct branch *branches, int64_t n, struct validation_error *validation_error);
const struct branch *config_tree_branch(const struct branch *branches, int64_t n, const char *path);
int config_tree_set_branch(struct config_tree *config_tree, const char *path, const char *json,
                           struct validation_error *validation_error);
int config_tree_replace(struct config_tree *config_tree, const char *json, struct validation_error *validation_error);
json_t *config_tree_to_json(const struct config_tree *config_tree);

const struct ownership *config_tree_ownership(const struct config_tree *config_tree, const char *name);
const struct planned *config_tree_planned(const struct config_tree *config_tree, const char *id);
/* Is the executor drained by the calendar at that time, or within ahead_ms after it? */
const struct planned *config_tree_drain(const struct config_tree *config_tree, const char *executor, int64_t at_ms,
                                        int64_t ahead_ms);
#endif
