/* The configuration tree: the settings by branch, the calendar of planned changes, and who owns shards and executors.
 * It is the state machine of the control log: keepers apply the log, and nodes the entries that the keepers send them.
 */
#ifndef SAGEHITCH_CONFIG_TREE_H
#define SAGEHITCH_CONFIG_TREE_H
#include "base/bytes.h"
#include "base/schema.h"
#include "config_tree/settings.h"

/* The settings of one path. json: an object of only those that the branch overrides. */
struct branch {
    char *path, *json;
};

enum { PLAN_PENDING, PLAN_DONE, PLAN_REJECTED };

/* An entry of the calendar. kind: "drain" (an executor), "run" (a job) or "settings" (a branch). json: the job or the
 * branch's settings. state: PLAN_*. */
struct planned {
    char *id, *kind, *executor, *path, *json;
    int64_t at_ms, until_ms, every_ms, state;
};

/* The node that owns a shard or an executor. name: "shard/N" or "home/EXECUTOR". boot: the start of the
 * owner's process. Invariant: epoch only rises. */
struct ownership {
    char *name;
    int64_t owner, boot, epoch;
};

/* The result of a recent op, so that a repeated one gets the same result. */
struct config_tree_seen {
    int64_t requester, req, error, version;
};

/* Invariants: branches are sorted by path and always pass config_tree_check();
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
    int64_t generation; /* rises with each op; not part of snapshots */
};

enum { PLANS_MAX = 2000 }; /* entries of the calendar */

enum config_tree_op_kind {
    CONFIG_OP_REPLACE = 1,
    CONFIG_OP_BRANCH,
    CONFIG_OP_PLAN,
    CONFIG_OP_UNPLAN,
    CONFIG_OP_APPLY_PLANNED,
    CONFIG_OP_OWNERSHIPS,
    CONFIG_OP_EXECUTOR
};

/* requester and req identify the op, so that a retry has no effect; req 0: not identified. expect: the version that the
 * op changes. */
struct config_tree_op {
    int64_t kind, requester, req, expect;
    char *path, *json;
    struct planned *planned;
    struct ownership *ownerships;
    int64_t n_ownerships;
};

/* version: after the op. path and expected: of the field at fault, or NULL. */
struct config_tree_result {
    int64_t error, version;
    char *path, *expected;
};

extern const struct schema branch_schema, planned_schema, ownership_schema, config_tree_schema, config_tree_op_schema,
    config_tree_result_schema;

/* Applies a packed op; result, if not NULL, gets the packed result. */
void config_tree_apply(struct config_tree *config_tree, const struct bytes *op, struct bytes *result);
/* Applies an op. */
void config_tree_fold(struct config_tree *config_tree, const struct config_tree_op *op,
                      struct config_tree_result *result);
void config_tree_snapshot(const struct config_tree *config_tree, struct bytes *to);
/* Replaces the tree by a snapshot. Returns an error, with the tree unchanged, if that cannot be read. */
int config_tree_restore(struct config_tree *config_tree, const struct bytes *from);
void config_tree_end(struct config_tree *config_tree);

/* settings_tree.c */
/* 1 if path is a valid name of a branch, like root/service/queue. */
int config_tree_path_ok(const char *path);
/* The settings in force at path: its own, else inherited ones, else defaults. */
void config_tree_effective(const struct config_tree *config_tree, const char *path, struct settings *to);
/* For each setting in force at path, its value and the path it comes from. */
json_t *config_tree_explain(const struct config_tree *config_tree, const char *path);
/* Checks all branches: paths, fields, and the bounds set by their parents. */
int config_tree_check(const struct branch *branches, int64_t n, struct validation_error *validation_error);
const struct branch *config_tree_branch(const struct branch *branches, int64_t n, const char *path);
/* Replace one branch (json NULL: delete it), or all branches by an object of paths. The result is checked as a whole;
 * on an error nothing changes. */
int config_tree_set_branch(struct config_tree *config_tree, const char *path, const char *json,
                           struct validation_error *validation_error);
int config_tree_replace(struct config_tree *config_tree, const char *json, struct validation_error *validation_error);
/* All branches, as config_tree_replace() reads them. */
json_t *config_tree_to_json(const struct config_tree *config_tree);

/* The entry of this name, or NULL; likewise below. */
const struct ownership *config_tree_ownership(const struct config_tree *config_tree, const char *name);
const struct planned *config_tree_planned(const struct config_tree *config_tree, const char *id);
/* The calendar entry that drains the executor at at_ms or within ahead_ms after it, or NULL. */
const struct planned *config_tree_drain(const struct config_tree *config_tree, const char *executor, int64_t at_ms,
                                        int64_t ahead_ms);
#endif
