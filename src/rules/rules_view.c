/* Rules as JSON, for operators. */
#include "rules/rules_view.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"

static json_t *number(int64_t value) { return value == RULE_UNSET ? json_null() : json_integer(value); }

/* The bounds of an outlet's adjustment. */
static void put_reach(json_t *to, const struct rules *rules, int rule)
{
    const struct field *field = &rule_values_schema.fields[rule];
    int64_t least = *rule_at(&rules->head.least, rule), most = *rule_at(&rules->head.most, rule);
    int open = least == field->min && most == field->max;
    json_object_set_new(to, "adjust", json_string(least == most ? "fixed" : open ? "free" : "within"));
    if (least != most && !open) {
        json_object_set_new(to, "least", json_integer(least));
        json_object_set_new(to, "most", json_integer(most));
    }
}

static json_t *head_view(const struct rules *rules)
{
    json_t *ruled = json_object(), *names = json_array();
    for (int i = 0; i < rule_values_schema.n; i++) {
        int64_t value = *rule_at(&rules->head.value, i);
        if (value == RULE_UNSET)
            continue;
        json_t *one = json_pack("{s:I}", "value", (json_int_t)value);
        put_reach(one, rules, i);
        json_object_set_new(ruled, rule_values_schema.fields[i].name, one);
    }
    for (int64_t i = 0; i < rules->n_outlets; i++)
        json_array_append_new(names, json_string(rules->outlets[i].name));
    return json_pack("{s:I,s:o,s:o}", "version", (json_int_t)rules->head.version, "rules", ruled, "outlets", names);
}

/* Of each rule that is set: what is in force, head office's and the outlet's value, and whether that was clamped. */
static json_t *outlet_view(const struct rules *rules, const struct outlet *outlet)
{
    struct rule_values now;
    json_t *ruled = json_object(), *queues = json_array();
    rules_effective(rules, outlet, &now);
    for (int i = 0; i < rule_values_schema.n; i++) {
        int64_t value = *rule_at(&rules->head.value, i), own = *rule_at(&outlet->own, i);
        if (value == RULE_UNSET && own == RULE_UNSET)
            continue;
        json_t *one = json_pack("{s:o,s:o}", "inForce", number(*rule_at(&now, i)), "headOffice", number(value));
        if (own != RULE_UNSET)
            json_object_set_new(one, "own", json_integer(own));
        if (rule_clamped(rules, outlet, i))
            json_object_set_new(one, "clamped", json_true());
        if (value != RULE_UNSET)
            put_reach(one, rules, i);
        json_object_set_new(ruled, rule_values_schema.fields[i].name, one);
    }
    for (int64_t i = 0; i < outlet->n_queues; i++)
        json_array_append_new(queues, json_string(outlet->queues[i]));
    return json_pack("{s:s,s:I,s:I,s:o,s:o}", "outlet", outlet->name, "version", (json_int_t)outlet->version,
                     "ofHeadOffice", (json_int_t)rules->head.version, "queues", queues, "rules", ruled);
}

static json_t *job_view(const struct record *record, const struct job *job)
{
    const struct job_rules *rules = job->rules;
    char id[20];
    snprintf(id, sizeof id, "%016" PRIx64, (uint64_t)job->spec.id);
    json_t *ruled = json_object(),
           *view = json_pack("{s:s,s:s}", "job", id, "queue", record->queues[job->queue].config.name);
    if (!rules) {
        json_decref(ruled);
        json_object_set_new(view, "outlet", json_null());
        return view;
    }
    for (int i = 0; i < rule_values_schema.n; i++)
        if (*rule_at(&rules->values, i) != RULE_UNSET)
            json_object_set_new(ruled, rule_values_schema.fields[i].name, json_integer(*rule_at(&rules->values, i)));
    json_object_set_new(view, "outlet", json_string(record->rules.outlets[rules->outlet].name));
    json_object_set_new(view, "ofHeadOffice", json_integer(rules->of_head));
    json_object_set_new(view, "ofOutlet", json_integer(rules->of_outlet));
    json_object_set_new(view, "rules", ruled);
    return view;
}

/* The rules of head office (outlet NULL) or of an outlet, owned by the caller; NULL: there is no such outlet. */
static json_t *rules_view(const struct rules *rules, const char *outlet, int64_t *version)
{
    if (!outlet) {
        *version = rules->head.version;
        return head_view(rules);
    }
    int64_t no = rules_outlet(rules, outlet);
    if (no < 0)
        return NULL;
    *version = rules->outlets[no].version;
    return outlet_view(rules, &rules->outlets[no]);
}

struct api_response rules_response(const struct record *record, const struct api_request *request, struct bytes *text)
{
    int64_t version = 0;
    json_t *view = NULL;
    if (request->kind == REQUEST_RULES_JOB) {
        const struct job *job = record_job(record, api_request_job_id(request));
        if (!job)
            return api_response_error(request->kind, ERROR_GONE, 0, NULL);
        view = job_view(record, job);
    } else {
        view = rules_view(&record->rules, api_request_outlet(request), &version);
        if (!view)
            return api_response_error(request->kind, ERROR_NOT_FOUND, 0, NULL);
    }
    char *json = json_dumps(view, JSON_COMPACT);
    if (json)
        bytes_add(text, json, (int64_t)strlen(json));
    free(json);
    json_decref(view);
    return api_response_make_rules(request->kind, version, text);
}
