/* The settings by branch: a branch inherits the settings of its parent, up to "root", and overrides some of them. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "config_tree/config_tree.h"

enum { PATH_MAX_LEN = 120, PATH_DEPTH = 6, BRANCHES_MAX = 2000 };

int config_tree_path_ok(const char *path)
{
    int depth = 1;
    if (!path || strncmp(path, "root", 4) || (path[4] && path[4] != '/') || strlen(path) > PATH_MAX_LEN)
        return 0;
    for (const char *at = path; *at; at++) {
        if (*at == '/' && (at[1] == '/' || !at[1] || ++depth > PATH_DEPTH))
            return 0;
        if (*at != '/' && (*at <= ' ' || *at == '"' || *at == '\\' || (unsigned char)*at >= 127))
            return 0;
    }
    return 1;
}

const struct branch *config_tree_branch(const struct branch *branches, int64_t n, const char *path)
{
    for (int64_t i = 0; i < n; i++)
        if (!strcmp(branches[i].path, path))
            return &branches[i];
    return NULL;
}

static int overlay(struct settings *to, const char *json, struct validation_error *validation_error)
{
    json_t *body = json_loads(json, JSON_REJECT_DUPLICATES, NULL);
    int rc = body ? schema_from_json(&settings_schema, to, body, 1, validation_error) : ERROR_BAD_JSON;
    json_decref(body);
    return rc;
}

/* The settings of the ancestors of path, applied from the root down; with itself, those of path too. */
static void inherit(const struct branch *branches, int64_t n, const char *path, int itself, struct settings *to)
{
    char part[PATH_MAX_LEN + 1];
    struct validation_error validation_error;
    size_t len = strlen(path);
    schema_defaults(&settings_schema, to);
    for (size_t i = 1; i <= len && i <= PATH_MAX_LEN; i++) {
        if (path[i] && path[i] != '/')
            continue;
        if (!path[i] && !itself)
            break;
        memcpy(part, path, i);
        part[i] = 0;
        const struct branch *branch = config_tree_branch(branches, n, part);
        if (branch)
            overlay(to, branch->json, &validation_error);
    }
}

void config_tree_effective(const struct config_tree *config_tree, const char *path, struct settings *to)
{
    inherit(config_tree->branches, config_tree->n_branches, path, 1, to);
}

json_t *config_tree_explain(const struct config_tree *config_tree, const char *path)
{
    struct settings settings;
    json_t *out = json_object();
    config_tree_effective(config_tree, path, &settings);
    json_t *values = schema_to_json(&settings_schema, &settings);
    for (int i = 0; i < settings_schema.n; i++) {
        const char *name = settings_schema.fields[i].name;
        char part[PATH_MAX_LEN + 1];
        const char *origin = "default";
        snprintf(part, sizeof part, "%s", path);
        for (char *slash = part; slash;) {
            const struct branch *branch = config_tree_branch(config_tree->branches, config_tree->n_branches, part);
            json_t *json = branch ? json_loads(branch->json, 0, NULL) : NULL;
            int has = json && json_object_get(json, name);
            json_decref(json);
            if (has) {
                origin = branch->path;
                break;
            }
            slash = strrchr(part, '/');
            if (slash)
                *slash = 0;
        }
        json_object_set_new(out, name, json_pack("{s:O,s:s}", "value", json_object_get(values, name), "from", origin));
    }
    json_decref(values);
    return out;
}

/* Checks the fields of a branch, and that none exceeds a bound that it inherits. */
static int check_branch(const struct branch *branches, int64_t n, const struct branch *branch,
                        struct validation_error *validation_error)
{
    struct settings inherited, own;
    const char *key;
    json_t *value;
    int rc = ERROR_NONE;
    inherit(branches, n, branch->path, 0, &inherited);
    own = inherited;
    json_t *body = json_loads(branch->json, JSON_REJECT_DUPLICATES, NULL);
    if (!json_is_object(body)) {
        *validation_error = (struct validation_error){.error = ERROR_BAD_FIELD, .expected = "an object"};
        snprintf(validation_error->path, sizeof validation_error->path, "%s", branch->path);
        json_decref(body);
        return ERROR_BAD_FIELD;
    }
    rc = schema_from_json(&settings_schema, &own, body, 1, validation_error);
    if (rc) {
        char name[100];
        snprintf(name, sizeof name, "%.99s", validation_error->path);
        snprintf(validation_error->path, sizeof validation_error->path, "%.120s:%.36s", branch->path, name);
    }
    json_object_foreach(body, key, value)
    {
        const struct field *field = schema_field(&settings_schema, key);
        if (rc || !field)
            break;
        int64_t number = *(int64_t *)((char *)&own + field->off), bound = *(int64_t *)((char *)&inherited + field->off);
        if ((field->flags & FF_ROOT_ONLY) && strcmp(branch->path, "root")) {
            snprintf(validation_error->expected, sizeof validation_error->expected, "to be set at root only");
            rc = ERROR_BOUND;
        } else if ((field->flags & FF_UPPER_BOUND) && strcmp(branch->path, "root") && number > bound) {
            snprintf(validation_error->expected, sizeof validation_error->expected, "at most %lld, which is inherited",
                     (long long)bound);
            rc = ERROR_BOUND;
        }
        if (rc)
            snprintf(validation_error->path, sizeof validation_error->path, "%.120s:%.36s", branch->path, key);
    }
    json_decref(body);
    return validation_error->error = rc;
}

int config_tree_check(const struct branch *branches, int64_t n, struct validation_error *validation_error)
{
    for (int64_t i = 0; i < n; i++) {
        if (!config_tree_path_ok(branches[i].path)) {
            *validation_error =
                (struct validation_error){.error = ERROR_BAD_FIELD, .expected = "a path like root/service/queue"};
            snprintf(validation_error->path, sizeof validation_error->path, "%s", branches[i].path);
            return ERROR_BAD_FIELD;
        }
        int rc = check_branch(branches, n, &branches[i], validation_error);
        if (rc)
            return rc;
    }
    return ERROR_NONE;
}

static int by_path(const void *a, const void *b)
{
    return strcmp(((const struct branch *)a)->path, ((const struct branch *)b)->path);
}

static void branches_free(struct branch *branches, int64_t n)
{
    for (int64_t i = 0; i < n; i++)
        schema_free(&branch_schema, &branches[i]);
    free(branches);
}

/* Makes the list the branches of the tree if it passes all checks; otherwise frees it and changes nothing. */
static int put_branches(struct config_tree *config_tree, struct branch *branches, int64_t n,
                        struct validation_error *validation_error)
{
    int rc = n > BRANCHES_MAX ? ERROR_TOO_LARGE : config_tree_check(branches, n, validation_error);
    if (rc) {
        branches_free(branches, n);
        return rc;
    }
    if (n)
        qsort(branches, (size_t)n, sizeof *branches, by_path);
    branches_free(config_tree->branches, config_tree->n_branches);
    config_tree->branches = branches;
    config_tree->n_branches = n;
    return ERROR_NONE;
}

int config_tree_set_branch(struct config_tree *config_tree, const char *path, const char *json,
                           struct validation_error *validation_error)
{
    struct branch *next = NULL;
    int64_t n = 0;
    for (int64_t i = 0; i < config_tree->n_branches; i++)
        if (strcmp(config_tree->branches[i].path, path))
            schema_copy(&branch_schema, array_add(next, n), &config_tree->branches[i]);
    if (json)
        *array_add(next, n) = (struct branch){.path = must_dup(path), .json = must_dup(json)};
    return put_branches(config_tree, next, n, validation_error);
}

int config_tree_replace(struct config_tree *config_tree, const char *json, struct validation_error *validation_error)
{
    json_t *body = json ? json_loads(json, JSON_REJECT_DUPLICATES, NULL) : NULL;
    struct branch *next = NULL;
    int64_t n = 0;
    const char *path;
    json_t *value;
    if (!json_is_object(body)) {
        json_decref(body);
        *validation_error =
            (struct validation_error){.error = ERROR_BAD_FIELD, .expected = "an object of settings by path"};
        return ERROR_BAD_FIELD;
    }
    json_object_foreach(body, path, value)
    {
        char *text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY | JSON_SORT_KEYS);
        *array_add(next, n) = (struct branch){.path = must_dup(path), .json = text};
    }
    json_decref(body);
    return put_branches(config_tree, next, n, validation_error);
}

json_t *config_tree_to_json(const struct config_tree *config_tree)
{
    json_t *out = json_object();
    for (int64_t i = 0; i < config_tree->n_branches; i++)
        json_object_set_new(out, config_tree->branches[i].path, json_loads(config_tree->branches[i].json, 0, NULL));
    return out;
}
