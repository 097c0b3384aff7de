/* A ring buffer of the latest task events of this process, for the API and `sagehitch ctl`. It is not durable, and no
 * decision depends on it. */
#ifndef SAGEHITCH_JOURNAL_H
#define SAGEHITCH_JOURNAL_H
#include <jansson.h>
#include <stdint.h>

enum { JOURNAL_MAX = 4096 };

/* A task event. no: its number; at_ms: its time by the clock of the process (on nodes: fleet time). */
struct journal_event {
    int64_t no, at_ms, job, task, attempt;
    const char *what; /* a string literal */
    char detail[48];
};
/* Invariant: the newest JOURNAL_MAX events are kept, event number n at events[n % JOURNAL_MAX]. next: number of the
 * next event. Zero-initialized it is an empty journal. */
struct journal {
    struct journal_event *events;
    int64_t next;
};

/* Appends a copy of event with the next number and with detail (may be NULL), truncated to fit. The event's own no and
 * detail are ignored. */
void journal_add(struct journal *journal, const struct journal_event *event, const char *detail);
/* Returns the events with number from or higher of one job, or of all jobs if job is 0. The caller must json_decref()
 * the result. */
json_t *journal_view(const struct journal *journal, int64_t job, int64_t from);
/* Frees the buffer. */
void journal_end(struct journal *journal);
#endif
