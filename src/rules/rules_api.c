/* The operators' HTTP paths for rules. */
#include "rules/rules_api.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"

static const char rules_path[] = "/rules", outlets_path[] = "/rules/outlets/", jobs_path[] = "/rules/jobs/";
enum { JOB_DIGITS = 16 };

int rules_api_is(const char *path)
{
    size_t len = sizeof rules_path - 1;
    return !strncmp(path, rules_path, len) && (!path[len] || path[len] == '/');
}

/* Reads the version that a change is based on from If-Match; the number may be in quotes. */
static enum sagehitch_error read_base(const struct http_request *http, int64_t *base,
                                      struct validation_error *validation_error)
{
    const char *text = http->header ? http->header(http, "If-Match") : NULL;
    char *end = NULL;
    if (text) {
        text += strspn(text, " \t\"");
        errno = 0;
        *base = strtoll(text, &end, 10);
    }
    if (!text || end == text || errno == ERANGE || *base < 0 || end[strspn(end, " \t\"")])
        return validation_error_named(validation_error, ERROR_BAD_FIELD, "", "If-Match",
                                      "the number of the version it is built on, 0 at first");
    return ERROR_NONE;
}

static enum sagehitch_error read_number(const json_t *from, const char *at, const char *name, int64_t *to,
                                        struct validation_error *validation_error)
{
    const json_t *value = json_object_get(from, name);
    if (!value)
        return ERROR_NONE;
    if (!json_is_integer(value))
        return validation_error_named(validation_error, ERROR_BAD_FIELD, at, name, "a whole number");
    *to = json_integer_value(value);
    return ERROR_NONE;
}

static enum sagehitch_error check_field_names(const json_t *from, const char *at, const char *const *names,
                                              struct validation_error *validation_error)
{
    const char *key;
    json_t *value;
    json_object_foreach((json_t *)(uintptr_t)from, key, value)
    {
        int known = 0;
        for (int i = 0; names[i]; i++)
            known |= !strcmp(names[i], key);
        if (!known)
            return validation_error_named(validation_error, ERROR_BAD_FIELD, at, key, "no such field");
    }
    return ERROR_NONE;
}

/* Reads one rule of head office: {"value": 3} alone is fixed; least and most limit the adjustments of outlets; with
 * {"adjust": "free"} the bounds of the table are the limits. */
static enum sagehitch_error read_rule(struct rule_set *set, int rule, const json_t *from,
                                      struct validation_error *validation_error)
{
    static const char *const names[] = {"value", "least", "most", "adjust", NULL};
    const struct field *field = &rule_values_schema.fields[rule];
    const char *adjust = json_string_value(json_object_get(from, "adjust"));
    int64_t value = RULE_UNSET, least, most;
    char at[64];
    snprintf(at, sizeof at, "rules.%s.", field->name);
    if (!json_is_object(from) || !json_object_get(from, "value"))
        return validation_error_named(validation_error, ERROR_BAD_FIELD, at, "value", "a whole number");
    enum sagehitch_error rc = check_field_names(from, at, names, validation_error);
    rc = rc ? rc : read_number(from, at, "value", &value, validation_error);
    int without_limits = !json_object_get(from, "least") && !json_object_get(from, "most");
    int adjust_free = adjust && !strcmp(adjust, "free"), adjust_within = adjust && !strcmp(adjust, "within");
    if (!rc && json_object_get(from, "adjust") && !adjust_free && !adjust_within &&
        !(adjust && !strcmp(adjust, "fixed")))
        return validation_error_named(validation_error, ERROR_BAD_FIELD, at, "adjust", "fixed, within or free");
    if (!rc && adjust && adjust_within == without_limits)
        return validation_error_named(validation_error, ERROR_BAD_FIELD, at, "adjust",
                                      "least and most with within alone");
    least = adjust_free ? field->min : value;
    most = adjust_free ? field->max : value;
    rc = rc ? rc : read_number(from, at, "least", &least, validation_error);
    rc = rc ? rc : read_number(from, at, "most", &most, validation_error);
    *rule_at(&set->value, rule) = value;
    *rule_at(&set->least, rule) = least;
    *rule_at(&set->most, rule) = most;
    return rc;
}

static int rule_index(const char *name)
{
    const struct field *field = schema_field(&rule_values_schema, name);
    return field ? (int)(field - rule_values_schema.fields) : -1;
}

/* Reads the member "rules": each rule is an object for head office and a number for an outlet. */
static enum sagehitch_error read_rules(struct rules_change *change, const json_t *rules,
                                       struct validation_error *validation_error)
{
    const char *key;
    json_t *value;
    enum sagehitch_error rc = ERROR_NONE;
    if (!json_is_object(rules))
        return validation_error_named(validation_error, ERROR_BAD_FIELD, "", "rules", "an object");
    json_object_foreach((json_t *)(uintptr_t)rules, key, value)
    {
        int rule = rule_index(key);
        if (rule < 0)
            return validation_error_named(validation_error, ERROR_BAD_FIELD, "rules.", key, "a rule of the table");
        if (!change->outlet)
            rc = read_rule(&change->head, rule, value, validation_error);
        else if (json_is_integer(value))
            *rule_at(&change->to.own, rule) = json_integer_value(value);
        else
            rc = validation_error_named(validation_error, ERROR_BAD_FIELD, "rules.", key, "a whole number");
        if (!rc && change->outlet && *rule_at(&change->to.own, rule) == RULE_UNSET)
            rc = validation_error_named(validation_error, ERROR_BAD_FIELD, "rules.", key,
                                        "a value within the table's bounds");
        if (rc)
            return rc;
    }
    return rc;
}

static enum sagehitch_error read_queues(struct outlet *outlet, const json_t *queues,
                                        struct validation_error *validation_error)
{
    if (queues && !json_is_array(queues))
        return validation_error_named(validation_error, ERROR_BAD_FIELD, "", "queues", "a list of names");
    for (size_t i = 0; i < json_array_size(queues); i++) {
        const char *name = json_string_value(json_array_get(queues, i));
        if (!name)
            return validation_error_named(validation_error, ERROR_BAD_FIELD, "", "queues", "a list of names");
        *array_add(outlet->queues, outlet->n_queues) = must_dup(name);
    }
    return ERROR_NONE;
}

static enum sagehitch_error read_change(struct rules_change *change, const json_t *root,
                                        struct validation_error *validation_error)
{
    static const char *const names[] = {"version", "rules", "queues", NULL};
    enum sagehitch_error rc = check_field_names(root, "", names, validation_error);
    rc = rc ? rc
            : read_number(root, "", "version", change->outlet ? &change->to.version : &change->head.version,
                          validation_error);
    rc = rc ? rc : read_rules(change, json_object_get(root, "rules"), validation_error);
    if (!rc && !change->outlet && json_object_get(root, "queues"))
        rc = validation_error_named(validation_error, ERROR_BAD_FIELD, "", "queues",
                                    "nothing; queues belong to outlets");
    rc = rc ? rc : read_queues(&change->to, json_object_get(root, "queues"), validation_error);
    return rc ? rc : rules_change_check(change, validation_error);
}

static enum sagehitch_error read_put(struct rules_change *change, const struct http_request *http,
                                     struct validation_error *validation_error)
{
    json_error_t error;
    enum sagehitch_error rc = read_base(http, &change->base, validation_error);
    if (rc)
        return rc;
    json_t *root =
        json_loadb(http->body ? http->body : "", http->body ? (size_t)http->len : 0, JSON_REJECT_DUPLICATES, &error);
    rc = json_is_object(root)
             ? read_change(change, root, validation_error)
             : validation_error_named(validation_error, ERROR_BAD_JSON, "", "", root ? "an object" : "JSON");
    json_decref(root);
    return rc;
}

static enum sagehitch_error read_job(struct api_request *request, const char *name,
                                     struct validation_error *validation_error)
{
    if (strlen(name) != JOB_DIGITS || strspn(name, "0123456789abcdefABCDEF") != JOB_DIGITS)
        return validation_error_named(validation_error, ERROR_GONE, "", "path", "a job's name of 16 hex digits");
    api_request_make_rules_job(request, (int64_t)strtoull(name, NULL, 16));
    return ERROR_NONE;
}

enum sagehitch_error rules_api_read(struct api_request *request, const struct http_request *http,
                                    struct validation_error *validation_error)
{
    int get = !strcmp(http->method, "GET"), put = !strcmp(http->method, "PUT");
    int job = !strncmp(request->path, jobs_path, sizeof jobs_path - 1),
        outlet = !strncmp(request->path, outlets_path, sizeof outlets_path - 1);
    if (!job && !outlet && strcmp(request->path, rules_path))
        return validation_error_named(validation_error, ERROR_NOT_FOUND, "", "path",
                                      "/rules, /rules/outlets/NAME or /rules/jobs/ID");
    if (!get && (job || !put))
        return validation_error_named(validation_error, ERROR_BAD_METHOD, "", "method", job ? "GET" : "GET or PUT");
    if (job)
        return read_job(request, request->path + sizeof jobs_path - 1, validation_error);
    const char *name = outlet ? request->path + sizeof outlets_path - 1 : NULL;
    if (outlet && !outlet_name_valid(name))
        return validation_error_named(validation_error, ERROR_NOT_FOUND, "", "path",
                                      "an outlet's name: letters, digits, - _ and .");
    if (put)
        return read_put(api_request_make_rules_put(request, name), http, validation_error);
    api_request_make_rules_get(request, name);
    return ERROR_NONE;
}

/* The JSON of a response without an error. */
static char *response_body(const struct api_response *response)
{
    if (response->kind == REQUEST_RULES_PUT)
        return must_dup("{}");
    const struct bytes *text = &api_response_document(response)->text;
    return text->len ? must_printf("%.*s", (int)text->len, (const char *)text->at) : must_dup("{}");
}

int rules_api_write(const struct api_response *response, int *status, char **body)
{
    if (response->kind != REQUEST_RULES_PUT && response->kind != REQUEST_RULES_GET &&
        response->kind != REQUEST_RULES_JOB)
        return 0;
    const struct error_response *error = error_response((int)response->error);
    /* 504: the change may be in force, so the status must not read as a rejection */
    *status = response->error == ERROR_OUTCOME_UNKNOWN ? 504 : response->error == ERROR_STALE ? 412 : error->status;
    if (!response->error) {
        *body = response_body(response);
        return 1;
    }
    json_t *json = json_pack("{s:s}", "problem", error->name);
    if (response->detail)
        json_object_set_new(json, "detail", json_string(response->detail));
    char *text = json_dumps(json, JSON_COMPACT);
    json_decref(json);
    *body = text ? text : must_dup("{}");
    return 1;
}
