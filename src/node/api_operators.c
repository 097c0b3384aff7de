/* The API by which operators change the configuration tree: all settings, one branch of them, and the calendar. */
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "node/node.h"

/* Responds with the result of a proposed change. */
static void change_done(struct node *node, int64_t request, int error, const struct bytes *bytes)
{
    struct config_tree_result result = {0};
    if (error) {
        api_error(node, request, error,
                  "the keepers did not confirm the change in time; read the current version before a retry");
        return;
    }
    if (schema_unpack(&config_tree_result_schema, &result, bytes->at, bytes->len))
        result.error = ERROR_BAD_FRAME;
    if (result.error == ERROR_STALE) {
        json_t *body = json_pack("{s:s,s:s,s:I}", "problem", "stale_version", "why", "another change came first",
                                 "version", (json_int_t)result.version);
        api_json(node, request, 409, body);
    } else if (result.error && result.path) {
        struct validation_error validation_error = {.error = (int)result.error};
        strncpy(validation_error.path, result.path, sizeof validation_error.path - 1);
        strncpy(validation_error.expected, result.expected ? result.expected : "",
                sizeof validation_error.expected - 1);
        api_validation_error(node, request, &validation_error);
    } else if (result.error) {
        api_error(node, request, (int)result.error, "denied");
    } else {
        api_json(node, request, 200, json_pack("{s:I}", "version", (json_int_t)result.version));
    }
    schema_free(&config_tree_result_schema, &result);
}

static void propose_op(struct node *node, int64_t request, struct config_tree_op *op)
{
    struct bytes bytes = {0};
    op->requester = (int64_t)(hash_mix((uint64_t)node->boot, node->w->self) >> 1);
    op->req = ++node->last_req;
    schema_pack(&config_tree_op_schema, op, &bytes);
    node_propose(node, GROUP_CONTROL, &bytes, node->root_settings.deadline_ms - 200, change_done, request);
}

/* Responds with an error and returns 1 if expect is not a version. */
static int reject_bad_expect(struct node *node, int64_t request, char *expect)
{
    if (!expect || !*expect || strspn(expect, "0123456789") != strlen(expect))
        return api_error(node, request, ERROR_BAD_FIELD, "?expect=VERSION must be the version to be changed"), 1;
    return 0;
}

/* A request to change all settings or, with branch, one branch of them; is_delete: to delete that branch. */
struct settings_request {
    const char *path, *body;
    int64_t len;
    int branch, is_delete;
};

static void put_settings(struct node *node, int64_t request, const struct settings_request *change)
{
    char *expect = api_query_param(change->path, "expect"), *name = api_query_param(change->path, "path");
    struct config_tree_op op = {.kind = change->branch ? CONFIG_OP_BRANCH : CONFIG_OP_REPLACE};
    json_error_t error;
    json_t *json =
        change->is_delete ? NULL : json_loadb(change->body, (size_t)change->len, JSON_REJECT_DUPLICATES, &error);
    if (!change->is_delete && !json) {
        api_error(node, request, ERROR_BAD_JSON, "line %d column %d: %s", error.line, error.column, error.text);
    } else if (change->branch && !config_tree_path_ok(name)) {
        api_error(node, request, ERROR_BAD_FIELD, "?path= must be like root/service/queue");
    } else if (!reject_bad_expect(node, request, expect)) {
        op.expect = text_to_int64(expect);
        op.path = name;
        op.json = change->is_delete ? NULL : json_dumps(json, JSON_COMPACT | JSON_SORT_KEYS);
        propose_op(node, request, &op);
        free(op.json);
    }
    json_decref(json);
    free(expect);
    free(name);
}

/* Reads a calendar entry from the body of a request. Its "json" member, a job or settings, comes as an object there
 * and is kept as text. */
static int planned_from_body(const char *body, int64_t len, struct planned *planned,
                             struct validation_error *validation_error)
{
    json_error_t error;
    json_t *json = json_loadb(body, (size_t)len, JSON_REJECT_DUPLICATES, &error);
    json_t *inner = json_is_object(json) ? json_object_get(json, "json") : NULL;
    *validation_error = (struct validation_error){.error = ERROR_BAD_JSON, .expected = "JSON"};
    if (json_is_object(inner)) {
        char *text = json_dumps(inner, JSON_COMPACT | JSON_SORT_KEYS);
        json_object_set_new(json, "json", json_string(text));
        free(text);
    }
    int rc = json ? schema_from_json(&planned_schema, planned, json, 0, validation_error) : ERROR_BAD_JSON;
    json_decref(json);
    if (!rc && planned->kind && !strcmp(planned->kind, "run")) {
        struct job_spec spec = {0};
        json_t *job = planned->json ? json_loads(planned->json, 0, NULL) : NULL;
        if (json_is_object(job) && !json_object_get(job, "key"))
            json_object_set_new(job, "key", json_string("run"));
        rc = schema_from_json(&job_spec_schema, &spec, job, 0, validation_error);
        if (!rc)
            rc = spec_check(&spec, validation_error);
        if (!rc && planned->every_ms && planned->every_ms < 1000) {
            *validation_error = (struct validation_error){
                .error = ERROR_BAD_FIELD, .path = "everyMs", .expected = "0 or at least 1000"};
            rc = ERROR_BAD_FIELD;
        }
        schema_free(&job_spec_schema, &spec);
        json_decref(job);
    }
    if (rc)
        schema_free(&planned_schema, planned);
    return rc;
}

static void put_plan(struct node *node, int64_t request, const char *path, const char *body, int64_t len, int is_delete)
{
    char *expect = api_query_param(path, "expect");
    char *id = must_dup(path + strlen("/v1/calendar/"));
    struct planned planned = {0};
    struct validation_error validation_error = {0};
    struct config_tree_op op = {.kind = is_delete ? CONFIG_OP_UNPLAN : CONFIG_OP_PLAN};
    id[strcspn(id, "?")] = 0;
    if (!*id || strlen(id) > 100)
        api_error(node, request, ERROR_BAD_FIELD, "a calendar entry needs a name of up to 100 characters");
    else if (!is_delete && planned_from_body(body, len, &planned, &validation_error))
        api_validation_error(node, request, &validation_error);
    else if (!reject_bad_expect(node, request, expect)) {
        op.expect = text_to_int64(expect);
        op.path = id;
        if (!is_delete) {
            free(planned.id);
            planned.id = must_dup(id);
            op.planned = &planned;
        }
        propose_op(node, request, &op);
    }
    schema_free(&planned_schema, &planned);
    free(expect);
    free(id);
}

int api_operators(struct node *node, int64_t request, const char *method, const char *path, const char *body,
                  int64_t len)
{
    int put = !strcmp(method, "PUT"), is_delete = !strcmp(method, "DELETE");
    int branch = !strncmp(path, "/v1/settings/branch", 19);
    int whole = !branch && !strncmp(path, "/v1/settings", 12), plan = !strncmp(path, "/v1/calendar/", 13);
    if (!branch && !whole && !plan)
        return 0;
    if (!put && !(is_delete && !whole))
        api_error(node, request, ERROR_BAD_METHOD, whole ? "GET or PUT" : "GET, PUT or DELETE");
    else if (plan)
        put_plan(node, request, path, body, len, is_delete);
    else
        put_settings(node, request,
                     &(struct settings_request){
                         .path = path, .body = body, .len = len, .branch = branch, .is_delete = is_delete});
    return 1;
}
