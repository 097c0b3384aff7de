#include "sim/event_queue.h"

#include <stdlib.h>
#include <string.h>

#include "base/bytes.h"

static int earlier(const struct timed_event *a, const struct timed_event *b)
{
    return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static void swap(struct event_queue *queue, int64_t a, int64_t b)
{
    struct timed_event *event = queue->heap[a];
    queue->heap[a] = queue->heap[b];
    queue->heap[b] = event;
}

void event_queue_push(struct event_queue *queue, struct timed_event *event, int64_t at_us)
{
    event->at_us = at_us;
    event->order = queue->pushed++;
    *array_add(queue->heap, queue->n) = event;
    int64_t i = queue->n - 1;
    while (i > 0 && earlier(queue->heap[i], queue->heap[(i - 1) / 2])) {
        swap(queue, i, (i - 1) / 2);
        i = (i - 1) / 2;
    }
}

struct timed_event *event_queue_pop(struct event_queue *queue, int64_t until_us)
{
    if (!queue->n || queue->heap[0]->at_us > until_us)
        return NULL;
    struct timed_event *event = queue->heap[0];
    queue->heap[0] = queue->heap[--queue->n];
    for (int64_t i = 0;;) {
        int64_t least = i;
        for (int64_t k = 2 * i + 1; k <= 2 * i + 2 && k < queue->n; k++)
            if (earlier(queue->heap[k], queue->heap[least]))
                least = k;
        if (least == i)
            return event;
        swap(queue, i, least);
        i = least;
    }
}

void event_queue_end(struct event_queue *queue, void (*free_event)(struct timed_event *event))
{
    for (int64_t i = 0; i < queue->n; i++)
        free_event(queue->heap[i]);
    free(queue->heap);
    *queue = (struct event_queue){0};
}
