/* The table of events, and helper functions of the environment. */
#include "base/world.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/events.h"
#include "base/error.h"

#define EVENT_ROW(NO, NAME, LEVEL, TEXT) {NO, #NAME, LEVEL, TEXT},
static const struct event_kind kinds[] = {EVENT_LIST(EVENT_ROW)};

int event_count(void) { return COUNT_OF(kinds); }
const struct event_kind *event_at(int i) { return &kinds[i]; }

const struct event_kind *event_kind(int number)
{
    for (int i = 0; i < COUNT_OF(kinds); i++)
        if (kinds[i].no == number)
            return &kinds[i];
    return NULL;
}

void world_note(struct world *w, int event, const char *format, ...)
{
    char text[400];
    va_list args;
    va_start(args, format);
    vsnprintf(text, sizeof text, format, args);
    va_end(args);
    w->calls->note(w, event, text);
}

void world_answer(struct world *w, int64_t slot, int error, const char *format, ...)
{
    const struct error_response *response = error_response(error);
    char why[400];
    va_list args;
    va_start(args, format);
    vsnprintf(why, sizeof why, format, args);
    va_end(args);
    for (char *c = why; *c; c++)
        if (*c == '"' || *c == '\\' || (unsigned char)*c < 32)
            *c = '\'';
    char *body = must_printf("{\"problem\":\"%s\",\"why\":\"%s\"}", response->name, why);
    w->calls->answer(w, slot, response->status, response->retry_ms, body);
    free(body);
}
