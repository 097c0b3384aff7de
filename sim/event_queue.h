/* Pending events of a simulation, ordered by time: a binary heap. */
#ifndef SAGEHITCH_EVENT_QUEUE_H
#define SAGEHITCH_EVENT_QUEUE_H
#include <stdint.h>

/* The first member of each event. Events with the same time are popped in the order in which they were pushed. */
struct timed_event {
    int64_t at_us, order;
};

/* Invariant: heap[i] is not later than heap[2 * i + 1] and heap[2 * i + 2]. The queue's owner owns the events. */
struct event_queue {
    struct timed_event **heap;
    int64_t n, pushed;
};

void event_queue_push(struct event_queue *queue, struct timed_event *event, int64_t at_us);
/* Removes and returns the earliest event if its time is until_us or before, NULL if there is none. */
struct timed_event *event_queue_pop(struct event_queue *queue, int64_t until_us);
void event_queue_end(struct event_queue *queue, void (*free_event)(struct timed_event *event));
#endif
