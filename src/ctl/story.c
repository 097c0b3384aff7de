/* The command story: the events of one job, merged from the journals of all nodes. */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/ctl.h"

struct story_event {
    int64_t at_ms, no;
    json_t *event;
    char node[32];
};

struct story_events {
    struct story_event *all;
    int64_t n;
};

static int compare_time(const void *a, const void *b)
{
    const struct story_event *x = a, *y = b;
    if (x->at_ms != y->at_ms)
        return x->at_ms < y->at_ms ? -1 : 1;
    int node = strcmp(x->node, y->node);
    return node ? node : x->no < y->no ? -1 : x->no > y->no;
}

static void gather(struct story_events *story_events, const char *body, int64_t len)
{
    json_t *json = json_loadb(body, (size_t)len, 0, NULL), *event;
    const char *node = json_string_value(json_object_get(json, "node"));
    size_t i;
    json_array_foreach(json_object_get(json, "events"), i, event)
    {
        struct story_event *story_event = array_add(story_events->all, story_events->n);
        story_event->at_ms = json_integer_value(json_object_get(event, "atMs"));
        story_event->no = json_integer_value(json_object_get(event, "no"));
        story_event->event = json_incref(event);
        snprintf(story_event->node, sizeof story_event->node, "%s", node ? node : "?");
    }
    json_decref(json);
}

int ctl_story(const struct local *local, const char *id)
{
    struct story_events story_events = {0};
    struct bytes response = {0};
    char *path = must_printf("/v1/journal?job=%s", id);
    size_t i;
    json_t *member;
    int n_unanswered = 0;
    if (ctl_request(local, "GET", "/v1/members", NULL, &response) != 200) {
        fprintf(stderr, "sagehitch ctl: no node responded\n");
        bytes_free(&response);
        free(path);
        return 3;
    }
    json_t *members = json_loadb((char *)response.at, (size_t)response.len, 0, NULL);
    json_array_foreach(json_object_get(members, "members"), i, member)
    {
        const char *role = json_string_value(json_object_get(member, "role"));
        const char *http = json_string_value(json_object_get(member, "http"));
        if (!role || strcmp(role, "node") || !http || !addr_parse(http))
            continue;
        if (ctl_request_at(addr_parse(http), "GET", path, NULL, &response) == 200)
            gather(&story_events, (char *)response.at, response.len);
        else
            n_unanswered++;
    }
    if (story_events.n)
        qsort(story_events.all, (size_t)story_events.n, sizeof *story_events.all, compare_time);
    for (int64_t k = 0; k < story_events.n; k++) {
        struct story_event *story_event = &story_events.all[k];
        printf("%+8lld ms  %-22s task %lld attempt %lld  %s  %s\n",
               (long long)(story_event->at_ms - story_events.all[0].at_ms), story_event->node,
               (long long)json_integer_value(json_object_get(story_event->event, "task")),
               (long long)json_integer_value(json_object_get(story_event->event, "attempt")),
               json_string_value(json_object_get(story_event->event, "what")),
               json_string_value(json_object_get(story_event->event, "detail")));
        json_decref(story_event->event);
    }
    if (n_unanswered)
        printf("%d nodes did not respond; their events are missing\n", n_unanswered);
    json_decref(members);
    bytes_free(&response);
    free(story_events.all);
    free(path);
    return story_events.n ? 0 : 2;
}
