/* Selectors: member names joined by dots, for example settings.version. LIST[key=value] keeps the matching items, and
 * .count at the end counts them: members[state=alive].count */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "runbook/runbook.h"

static int matches(const json_t *item, const char *key, const char *expected)
{
    const json_t *value = json_object_get(item, key);
    char text[32];
    if (json_is_string(value))
        return !strcmp(json_string_value(value), expected);
    if (json_is_boolean(value))
        return !strcmp(json_is_true(value) ? "true" : "false", expected);
    snprintf(text, sizeof text, "%lld", (long long)json_integer_value(value));
    return json_is_integer(value) && !strcmp(text, expected);
}

/* A new list of the items that match; filter is "key=value]", or "]" for all. */
static json_t *filter_list(const json_t *list, const char *filter)
{
    char key[64] = "", expected[128] = "";
    json_t *out = json_array(), *item;
    size_t i;
    if (sscanf(filter, "%63[^]=]=%127[^]]", key, expected) < 2 && *filter != ']')
        return out;
    json_array_foreach((json_t *)(uintptr_t)list, i, item) if (*filter == ']' || matches(item, key, expected))
        json_array_append(out, item);
    return out;
}

static char *as_text(const json_t *json)
{
    if (json_is_string(json))
        return must_dup(json_string_value(json));
    if (json_is_boolean(json))
        return must_dup(json_is_true(json) ? "true" : "false");
    if (json_is_integer(json))
        return must_printf("%lld", (long long)json_integer_value(json));
    return json ? json_dumps(json, JSON_COMPACT | JSON_ENCODE_ANY) : NULL;
}

char *runbook_select(const json_t *json, const char *select)
{
    json_t *value = json_incref((json_t *)(uintptr_t)json);
    const char *rest = select;
    while (value && *rest) {
        char part[256];
        size_t n = 0, depth = 0;
        for (; rest[n] && (rest[n] != '.' || depth); n++)
            depth += (rest[n] == '[') - (rest[n] == ']');
        snprintf(part, sizeof part, "%.*s", (int)(n < 255 ? n : 255), rest);
        rest += n + (rest[n] == '.');
        char *bracket = strchr(part, '[');
        if (bracket)
            *bracket = 0;
        json_t *next;
        if (!strcmp(part, "count") && json_is_array(value))
            next = json_integer((json_int_t)json_array_size(value));
        else if (json_is_array(value))
            next = json_incref(json_object_get(json_array_get(value, 0), part));
        else
            next = json_incref(json_object_get(value, part));
        if (bracket && next) {
            json_t *matching = filter_list(next, bracket + 1);
            json_decref(next);
            next = matching;
        }
        json_decref(value);
        value = next;
    }
    char *text = as_text(value);
    json_decref(value);
    return text;
}
