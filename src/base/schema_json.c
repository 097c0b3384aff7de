/* Schemas: reading and writing JSON. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/schema.h"

static void *at_off(const void *base, size_t off) { return (char *)(uintptr_t)base + off; }

static json_t *str_or_null(const char *text) { return text ? json_string(text) : json_null(); }

static json_t *list_to_json(const struct field *field, const void *from)
{
    json_t *list = json_array();
    int64_t n = *(int64_t *)at_off(from, field->count_off);
    char *items = *(char **)at_off(from, field->off);
    for (int64_t k = 0; k < n; k++) {
        json_t *one = field->kind == F_STRS   ? str_or_null(((char **)items)[k])
                      : field->kind == F_INTS ? json_integer(((int64_t *)items)[k])
                                              : schema_to_json(field->sub, items + (size_t)k * field->sub->size);
        json_array_append_new(list, one);
    }
    return list;
}

json_t *schema_to_json(const struct schema *schema, const void *from)
{
    json_t *out = json_object();
    for (int i = 0; i < schema->n; i++) {
        const struct field *field = &schema->fields[i];
        const void *at = at_off(from, field->off);
        json_t *value = NULL;
        if (field->flags & FF_INTERNAL)
            continue;
        if (field->kind == F_INT)
            value = json_integer(*(const int64_t *)at);
        else if (field->kind == F_BOOL)
            value = json_boolean(*(const int64_t *)at);
        else if (field->kind == F_STR)
            value = str_or_null(*(char *const *)at);
        else if (field->kind == F_SUB)
            value = schema_to_json(field->sub, at);
        else if (field->kind == F_PTR)
            value = *(void *const *)at ? schema_to_json(field->sub, *(void *const *)at) : json_null();
        else if (field->kind != F_BYTES)
            value = list_to_json(field, from);
        if (value)
            json_object_set_new(out, field->name, value);
    }
    return out;
}

char *schema_to_text(const struct schema *schema, const void *from)
{
    json_t *json = schema_to_json(schema, from);
    char *text = json_dumps(json, JSON_COMPACT);
    json_decref(json);
    return text;
}

static enum sagehitch_error parse_object(const struct schema *schema, void *to, const json_t *body, int partial,
                                         const char *path, struct validation_error *validation_error);

static enum sagehitch_error parse_int(const struct field *field, int64_t *to, const json_t *value, const char *path,
                                      struct validation_error *validation_error)
{
    char expected[100];
    int bounded = field->min || field->max;
    snprintf(expected, sizeof expected, bounded ? "a whole number from %lld to %lld" : "a whole number",
             (long long)field->min, (long long)field->max);
    if (!json_is_integer(value))
        return validation_error_named(validation_error, ERROR_BAD_FIELD, "", path, expected);
    int64_t n = json_integer_value(value);
    if (bounded && (n < field->min || n > field->max))
        return validation_error_named(validation_error, ERROR_BAD_FIELD, "", path, expected);
    *to = n;
    return ERROR_NONE;
}

static enum sagehitch_error parse_str(const struct field *field, char **to, const json_t *value, const char *path,
                                      struct validation_error *validation_error)
{
    if (!json_is_string(value))
        return validation_error_named(validation_error, ERROR_BAD_FIELD, "", path, "a string");
    int64_t len = (int64_t)json_string_length(value);
    if (field->max && len > field->max)
        return validation_error_named(validation_error, ERROR_TOO_LARGE, "", path, "a shorter string");
    if (len < field->min)
        return validation_error_named(validation_error, ERROR_BAD_FIELD, "", path, "a longer string");
    free(*to);
    *to = must_dup(json_string_value(value));
    return ERROR_NONE;
}

static enum sagehitch_error parse_list(const struct field *field, void *to, const json_t *value, const char *path,
                                       struct validation_error *validation_error)
{
    char child_path[160];
    if (!json_is_array(value))
        return validation_error_named(validation_error, ERROR_BAD_FIELD, "", path, "a list");
    int64_t n = (int64_t)json_array_size(value);
    if (n < field->min || (field->max && n > field->max))
        return validation_error_named(validation_error, n < field->min ? ERROR_BAD_FIELD : ERROR_TOO_LARGE, "", path,
                                      "another number of items");
    size_t item_size = field->kind == F_LIST   ? field->sub->size
                       : field->kind == F_INTS ? sizeof(int64_t)
                                               : sizeof(char *);
    const struct field plain = {.kind = field->kind};
    char *items = n ? must_alloc(item_size * (size_t)n) : NULL;
    *(char **)at_off(to, field->off) = items;
    for (int64_t k = 0; k < n; k++) {
        *(int64_t *)at_off(to, field->count_off) = k + 1;
        snprintf(child_path, sizeof child_path, "%.120s[%lld]", path, (long long)k);
        const json_t *one = json_array_get(value, (size_t)k);
        int rc = field->kind == F_LIST
                     ? parse_object(field->sub, items + (size_t)k * item_size, one, 0, child_path, validation_error)
                 : field->kind == F_INTS ? parse_int(&plain, (int64_t *)items + k, one, child_path, validation_error)
                                         : parse_str(&plain, (char **)items + k, one, child_path, validation_error);
        if (rc)
            return rc;
    }
    return ERROR_NONE;
}

static enum sagehitch_error parse_field(const struct field *field, void *to, const json_t *value, const char *path,
                                        struct validation_error *validation_error)
{
    void *at = at_off(to, field->off);
    switch (field->kind) {
    case F_INT: return parse_int(field, at, value, path, validation_error);
    case F_BOOL:
        if (!json_is_boolean(value))
            return validation_error_named(validation_error, ERROR_BAD_FIELD, "", path, "true or false");
        *(int64_t *)at = json_is_true(value);
        return ERROR_NONE;
    case F_STR: return parse_str(field, at, value, path, validation_error);
    case F_STRS:
    case F_INTS:
    case F_LIST: return parse_list(field, to, value, path, validation_error);
    case F_SUB: return parse_object(field->sub, at, value, 0, path, validation_error);
    case F_PTR:
        if (json_is_null(value))
            return ERROR_NONE;
        *(void **)at = must_alloc(field->sub->size);
        return parse_object(field->sub, *(void **)at, value, 0, path, validation_error);
    case F_BYTES: break;
    }
    return validation_error_named(validation_error, ERROR_BAD_FIELD, "", path, "no such field");
}

static enum sagehitch_error parse_object(const struct schema *schema, void *to, const json_t *body, int partial,
                                         const char *path, struct validation_error *validation_error)
{
    const char *key;
    json_t *value;
    char child_path[160];
    const char *dot = *path ? "." : "";
    if (!json_is_object(body))
        return validation_error_named(validation_error, ERROR_BAD_FIELD, "", path, "an object");
    if (!partial)
        schema_defaults(schema, to);
    json_object_foreach((json_t *)(uintptr_t)body, key, value)
    {
        const struct field *field = schema_field(schema, key);
        snprintf(child_path, sizeof child_path, "%.100s%s%.50s", path, dot, key);
        if (!field || (field->flags & FF_INTERNAL))
            return validation_error_named(validation_error, ERROR_BAD_FIELD, "", child_path, "no such field");
        if (json_is_null(value) && field->kind == F_STR)
            continue;
        enum sagehitch_error rc = parse_field(field, to, value, child_path, validation_error);
        if (rc)
            return rc;
    }
    for (int i = 0; i < schema->n && !partial; i++) {
        const struct field *field = &schema->fields[i];
        if ((field->flags & FF_REQUIRED) && !json_object_get(body, field->name)) {
            snprintf(child_path, sizeof child_path, "%.100s%s%.50s", path, dot, field->name);
            return validation_error_named(validation_error, ERROR_BAD_FIELD, "", child_path, "to be there");
        }
    }
    return ERROR_NONE;
}

int schema_from_json(const struct schema *schema, void *to, const json_t *body, int partial,
                     struct validation_error *validation_error)
{
    enum sagehitch_error rc = parse_object(schema, to, body, partial, "", validation_error);
    if (rc && !partial) {
        schema_free(schema, to);
        memset(to, 0, schema->size);
    }
    return rc;
}

enum sagehitch_error schema_from_text(const struct schema *schema, void *to, const char *text, int64_t len,
                                      struct validation_error *validation_error)
{
    json_error_t error;
    json_t *body = json_loadb(text ? text : "", (size_t)len, JSON_REJECT_DUPLICATES, &error);
    if (!body) {
        char position[100];
        snprintf(position, sizeof position, "line %d column %d", error.line, error.column);
        return validation_error_named(validation_error, ERROR_BAD_JSON, "", position, "JSON");
    }
    int rc = schema_from_json(schema, to, body, 0, validation_error);
    json_decref(body);
    return rc;
}
