/* The ring buffer of task events. */
#include "base/journal.h"

#include <stdio.h>
#include <stdlib.h>

#include "base/bytes.h"

void journal_add(struct journal *journal, const struct journal_event *event, const char *detail)
{
    if (!journal->events)
        journal->events = must_alloc(sizeof *journal->events * JOURNAL_MAX);
    struct journal_event *to = &journal->events[journal->next % JOURNAL_MAX];
    *to = *event;
    to->no = journal->next++;
    snprintf(to->detail, sizeof to->detail, "%s", detail ? detail : "");
}

json_t *journal_view(const struct journal *journal, int64_t job, int64_t from)
{
    json_t *list = json_array();
    int64_t first = journal->next > JOURNAL_MAX ? journal->next - JOURNAL_MAX : 0;
    for (int64_t i = from > first ? from : first; i < journal->next; i++) {
        const struct journal_event *e = &journal->events[i % JOURNAL_MAX];
        if (job && e->job != job)
            continue;
        json_t *one =
            json_pack("{s:I,s:I,s:I,s:I,s:s,s:s}", "no", (json_int_t)e->no, "atMs", (json_int_t)e->at_ms, "task",
                      (json_int_t)e->task, "attempt", (json_int_t)e->attempt, "what", e->what, "detail", e->detail);
        /* json_pack() fails if detail was truncated inside a UTF-8 character: skip the event */
        if (one)
            json_array_append_new(list, one);
    }
    return list;
}

void journal_end(struct journal *journal)
{
    free(journal->events);
    *journal = (struct journal){0};
}
