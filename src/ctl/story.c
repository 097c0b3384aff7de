/* The story of one job across the nodes, folded from their journals. */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/ctl.h"

struct telling {
    int64_t at_ms, no;
    json_t *event;
    char node[32];
};

struct tellings {
    struct telling *all;
    int64_t n;
};

static int by_time(const void *a, const void *b)
{
    const struct telling *x = a, *y = b;
    if (x->at_ms != y->at_ms)
        return x->at_ms < y->at_ms ? -1 : 1;
    int node = strcmp(x->node, y->node);
    return node ? node : x->no < y->no ? -1 : x->no > y->no;
}

static void gather(struct tellings *tellings, const char *body, int64_t len)
{
    json_t *json = json_loadb(body, (size_t)len, 0, NULL), *event;
    const char *node = json_string_value(json_object_get(json, "node"));
    size_t i;
    json_array_foreach(json_object_get(json, "events"), i, event)
    {
        struct telling *telling = array_add(tellings->all, tellings->n);
        telling->at_ms = json_integer_value(json_object_get(event, "atMs"));
        telling->no = json_integer_value(json_object_get(event, "no"));
        telling->event = json_incref(event);
        snprintf(telling->node, sizeof telling->node, "%s", node ? node : "?");
    }
    json_decref(json);
}

int ctl_story(const struct local *local, const char *id)
{
    struct tellings tellings = {0};
    struct bytes got = {0};
    char *path = must_printf("/v1/journal?job=%s", id);
    size_t i;
    json_t *one;
    int silent = 0;
    if (ctl_request(local, "GET", "/v1/members", NULL, &got) != 200) {
        fprintf(stderr, "sagehitch ctl: nobody answered\n");
        bytes_free(&got);
        free(path);
        return 3;
    }
    json_t *members = json_loadb((char *)got.at, (size_t)got.len, 0, NULL);
    json_array_foreach(json_object_get(members, "members"), i, one)
    {
        const char *role = json_string_value(json_object_get(one, "role"));
        const char *http = json_string_value(json_object_get(one, "http"));
        if (!role || strcmp(role, "node") || !http || !addr_parse(http))
            continue;
        if (ctl_request_at(addr_parse(http), "GET", path, NULL, &got) == 200)
            gather(&tellings, (char *)got.at, got.len);
        else
            silent++;
    }
    if (tellings.n)
        qsort(tellings.all, (size_t)tellings.n, sizeof *tellings.all, by_time);
    for (int64_t k = 0; k < tellings.n; k++) {
        struct telling *t = &tellings.all[k];
        printf("%+8lld ms  %-22s task %lld attempt %lld  %s  %s\n", (long long)(t->at_ms - tellings.all[0].at_ms),
               t->node, (long long)json_integer_value(json_object_get(t->event, "task")),
               (long long)json_integer_value(json_object_get(t->event, "attempt")),
               json_string_value(json_object_get(t->event, "what")),
               json_string_value(json_object_get(t->event, "detail")));
        json_decref(t->event);
    }
    if (silent)
        printf("%d nodes did not answer; their part is missing\n", silent);
    json_decref(members);
    bytes_free(&got);
    free(tellings.all);
    free(path);
    return tellings.n ? 0 : 2;
}
