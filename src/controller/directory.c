/* See directory.h. While no leader is known, the directory queries all controllers in turn. */
#include "controller/directory.h"

#include <string.h>

enum {
    LEADER_QUERY_MS = 500, /* between two queries to the known leader */
    SEARCH_MS = 150,       /* between two rounds of queries while no leader is known */
    SEARCH_SLOW_MS = 300,  /* the same, after a search of 3 s */
    SEARCH_AT_ONCE = 8,    /* queries in a round of the search */
    ANNOUNCE_AT_ONCE = 4,  /* queries of the leader in a round */
    ANNOUNCE_MS = 2000,    /* silence after which the leader queries a controller */
    HEARD_MS = 1200,       /* silence after which the leader counts as unknown */
    LISTED_MS = 10000,     /* replies list the controllers heard within this time */
    FORGET_MS = 60000      /* silence after which an entry is dropped, unless it is a seed */
};

static struct directory_entry *find_entry(struct directory *directory, int64_t addr)
{
    for (int64_t i = 0; i < directory->n; i++)
        if (directory->entries[i].addr == addr)
            return &directory->entries[i];
    return NULL;
}

static struct directory_entry *add_entry(struct directory *directory, int64_t addr)
{
    struct directory_entry *entry = find_entry(directory, addr);
    if (entry || addr <= 0 || addr == (int64_t)directory->w->self)
        return entry;
    if (directory->n < COUNT_OF(directory->entries)) {
        entry = &directory->entries[directory->n++];
    } else {
        for (int64_t i = 0; i < directory->n; i++)
            if (!directory->entries[i].seed && (!entry || directory->entries[i].heard_ms < entry->heard_ms))
                entry = &directory->entries[i];
        if (!entry)
            return NULL;
    }
    *entry = (struct directory_entry){.addr = addr, .heard_ms = world_ms(directory->w)};
    return entry;
}

void directory_set_seeds(struct directory *directory, const int64_t *seeds, int64_t n_seeds)
{
    for (int64_t i = 0; i < directory->n; i++)
        directory->entries[i].seed = 0;
    for (int64_t i = 0; i < n_seeds; i++) {
        struct directory_entry *entry = add_entry(directory, seeds[i]);
        if (entry)
            entry->seed = entry->controller = 1;
    }
}

int64_t boot_of(int64_t wall_ms, uint64_t random) { return (wall_ms << 12) | (int64_t)(random & 4095); }

void directory_start(struct directory *directory, struct world *w, uint32_t cluster, const int64_t *seeds,
                     int64_t n_seeds, int64_t controller, int64_t disk, int64_t boot)
{
    *directory = (struct directory){.w = w, .cluster = cluster, .controller = controller, .disk = disk, .boot = boot};
    directory_set_seeds(directory, seeds, n_seeds);
    directory->search_start_ms = world_ms(w);
}

static void send_frame(struct directory *directory, int64_t to, enum frame_kind kind, const struct schema *schema,
                       const void *msg)
{
    struct blob *out = blob_new();
    frame_build(&out->bytes, kind, directory->cluster, directory->w->self, schema, msg);
    directory->w->calls->send(directory->w, (uint64_t)to, out, 1);
    blob_drop(out);
}

static void send_query(struct directory *directory, int64_t to)
{
    struct leader_query message = {.addr = (int64_t)directory->w->self,
                                   .controller = directory->controller,
                                   .disk = directory->disk,
                                   .boot = directory->boot};
    send_frame(directory, to, FRAME_LEADER_QUERY, &leader_query_schema, &message);
}

static void drop_silent_entries(struct directory *directory)
{
    int64_t now_ms = world_ms(directory->w);
    for (int64_t i = 0; i < directory->n; i++)
        if (!directory->entries[i].seed && now_ms - directory->entries[i].heard_ms > FORGET_MS)
            directory->entries[i--] = directory->entries[--directory->n];
}

int64_t directory_leader(const struct directory *directory)
{
    if (directory->leader_suspected || (directory->leader != (int64_t)directory->w->self &&
                                        world_ms(directory->w) - directory->leader_heard_ms > HEARD_MS))
        return 0;
    return directory->leader;
}

int directory_heard_from(const struct directory *directory, int64_t addr, int64_t within_ms)
{
    for (int64_t i = 0; i < directory->n; i++)
        if (directory->entries[i].addr == addr)
            return directory->entries[i].direct_ms &&
                   world_ms(directory->w) - directory->entries[i].direct_ms <= within_ms;
    return 0;
}

/* The leader queries controllers that do not query it. Otherwise seeds that were all restarted could not find it. */
static void announce_leader(struct directory *directory)
{
    int64_t now_ms = world_ms(directory->w), queried = 0;
    for (int64_t i = 0; i < directory->n && queried < ANNOUNCE_AT_ONCE; i++) {
        const struct directory_entry *entry = &directory->entries[directory->next_entry++ % directory->n];
        if (entry->direct_ms && now_ms - entry->direct_ms < ANNOUNCE_MS)
            continue;
        send_query(directory, entry->addr);
        queried++;
    }
}

void directory_on_timer(struct directory *directory)
{
    int64_t now_ms = world_ms(directory->w), leader = directory_leader(directory);
    if (leader)
        directory->search_start_ms = now_ms;
    if (now_ms < directory->next_query_ms)
        return;
    if (leader) {
        directory->next_query_ms = now_ms + LEADER_QUERY_MS;
        if (leader != (int64_t)directory->w->self)
            send_query(directory, leader);
        else
            announce_leader(directory);
        drop_silent_entries(directory);
        return;
    }
    directory->next_query_ms = now_ms + (now_ms - directory->search_start_ms > 3000 ? SEARCH_SLOW_MS : SEARCH_MS);
    for (int64_t i = 0; i < directory->n && i < SEARCH_AT_ONCE; i++)
        send_query(directory, directory->entries[directory->next_entry++ % directory->n].addr);
}

static void set_leader(struct directory *directory, int64_t term, int64_t leader)
{
    if (directory->leader_suspected || term != directory->term || leader != directory->leader)
        directory->next_query_ms = world_ms(directory->w);
    directory->term = term;
    directory->leader = leader;
    directory->leader_heard_ms = world_ms(directory->w);
    directory->leader_suspected = 0;
}

void directory_learn_leader(struct directory *directory, int64_t term, int64_t leader)
{
    if (term >= directory->term && leader)
        set_leader(directory, term, leader);
}

void directory_suspect_leader(struct directory *directory)
{
    if (directory->leader_suspected)
        return;
    directory->leader_suspected = 1;
    directory->next_query_ms = world_ms(directory->w);
}

static void on_query(struct directory *directory, int64_t from, const struct leader_query *message)
{
    int64_t now_ms = world_ms(directory->w), controllers[COUNT_OF(directory->entries)];
    struct leader_reply reply = {
        .term = directory->term, .leader = directory_leader(directory), .controllers = controllers};
    struct directory_entry *entry = message->controller ? add_entry(directory, from) : NULL;
    if (entry) {
        entry->controller = 1;
        entry->heard_ms = entry->direct_ms = now_ms;
    }
    for (int64_t i = 0; i < directory->n; i++)
        if (directory->entries[i].controller && directory->entries[i].direct_ms &&
            now_ms - directory->entries[i].direct_ms < LISTED_MS)
            controllers[reply.n++] = directory->entries[i].addr;
    send_frame(directory, from, FRAME_LEADER_REPLY, &leader_reply_schema, &reply);
}

static void on_reply(struct directory *directory, int64_t from, const struct leader_reply *message)
{
    struct directory_entry *entry = add_entry(directory, from);
    int64_t now_ms = world_ms(directory->w);
    if (entry) {
        entry->controller = 1;
        entry->heard_ms = entry->direct_ms = now_ms;
    }
    for (int64_t i = 0; i < message->n; i++)
        if ((entry = add_entry(directory, message->controllers[i]))) {
            entry->controller = 1;
            entry->heard_ms = now_ms;
        }
    if (message->leader == from) {
        directory_learn_leader(directory, message->term, from);
    } else if (message->leader &&
               (message->term > directory->term || (message->term == directory->term && !directory->leader))) {
        set_leader(directory, message->term, message->leader);
    } else if (from == directory->leader && message->term >= directory->term) {
        directory->leader_suspected = 1; /* it has stepped down */
    }
}

int directory_on_frame(struct directory *directory, const struct frame *frame)
{
    if (frame->kind == FRAME_LEADER_QUERY) {
        struct leader_query message = {0};
        if (!schema_unpack(&leader_query_schema, &message, frame->body, frame->len))
            on_query(directory, (int64_t)frame->from, &message);
        schema_free(&leader_query_schema, &message);
        return 1;
    }
    if (frame->kind == FRAME_LEADER_REPLY) {
        struct leader_reply message = {0};
        if (!schema_unpack(&leader_reply_schema, &message, frame->body, frame->len))
            on_reply(directory, (int64_t)frame->from, &message);
        schema_free(&leader_reply_schema, &message);
        return 1;
    }
    return 0;
}
