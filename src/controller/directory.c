/* See directory.h. While no leader is known the directory queries every controller in turn. */
#include "controller/directory.h"

#include <string.h>

enum {
    LEADER_REQUEST_MS = 500, /* between two queries to the known leader */
    SEARCH_MS = 150,         /* between two rounds of queries while none is known, */
    SEARCH_LONG_MS = 300,    /* and once that has lasted for 3 s */
    SEARCH_AT_ONCE = 8,
    TELL_AT_ONCE = 4,
    TELL_MS = 2000,    /* a leader queries a controller that has not queried it for so long */
    HEARD_MS = 1200,   /* a leader unheard for longer is no longer known */
    LIVING_MS = 10000, /* controllers heard within so long are listed in replies */
    FORGET_MS = 60000  /* others than seeds are dropped after such a silence */
};

static struct directory_entry *entry_of(struct directory *d, int64_t addr)
{
    for (int64_t i = 0; i < d->n; i++)
        if (d->entries[i].addr == addr)
            return &d->entries[i];
    return NULL;
}

static struct directory_entry *entry_add(struct directory *d, int64_t addr)
{
    struct directory_entry *e = entry_of(d, addr);
    if (e || addr <= 0 || addr == (int64_t)d->w->self)
        return e;
    if (d->n < COUNT_OF(d->entries)) {
        e = &d->entries[d->n++];
    } else {
        for (int64_t i = 0; i < d->n; i++)
            if (!d->entries[i].seed && (!e || d->entries[i].heard_ms < e->heard_ms))
                e = &d->entries[i];
        if (!e)
            return NULL;
    }
    *e = (struct directory_entry){.addr = addr, .heard_ms = world_ms(d->w)};
    return e;
}

void directory_set_seeds(struct directory *d, const int64_t *seeds, int64_t n_seeds)
{
    for (int64_t i = 0; i < d->n; i++)
        d->entries[i].seed = 0;
    for (int64_t i = 0; i < n_seeds; i++) {
        struct directory_entry *e = entry_add(d, seeds[i]);
        if (e)
            e->seed = e->controller = 1;
    }
}

int64_t boot_of(int64_t wall_ms, uint64_t random) { return (wall_ms << 12) | (int64_t)(random & 4095); }

void directory_start(struct directory *d, struct world *w, uint32_t cluster, const int64_t *seeds, int64_t n_seeds,
                     int64_t controller, int64_t disk, int64_t boot)
{
    *d = (struct directory){.w = w, .cluster = cluster, .controller = controller, .disk = disk, .boot = boot};
    directory_set_seeds(d, seeds, n_seeds);
    d->search_ms = world_ms(w);
}

static void send_frame(struct directory *d, int64_t to, enum frame_kind kind, const struct schema *schema,
                       const void *msg)
{
    struct blob *out = blob_new();
    frame_build(&out->bytes, kind, d->cluster, d->w->self, schema, msg);
    d->w->calls->send(d->w, (uint64_t)to, out, 1);
    blob_drop(out);
}

static void send_query(struct directory *d, int64_t to)
{
    struct leader_query m = {
        .addr = (int64_t)d->w->self, .controller = d->controller, .disk = d->disk, .boot = d->boot};
    send_frame(d, to, FRAME_LEADER_QUERY, &leader_query_schema, &m);
}

static void forget(struct directory *d)
{
    int64_t now_ms = world_ms(d->w);
    for (int64_t i = 0; i < d->n; i++)
        if (!d->entries[i].seed && now_ms - d->entries[i].heard_ms > FORGET_MS)
            d->entries[i--] = d->entries[--d->n];
}

int64_t directory_leader(const struct directory *d)
{
    if (d->leader_suspected || (d->leader != (int64_t)d->w->self && world_ms(d->w) - d->leader_heard_ms > HEARD_MS))
        return 0;
    return d->leader;
}

int directory_heard_from(const struct directory *d, int64_t addr, int64_t within_ms)
{
    for (int64_t i = 0; i < d->n; i++)
        if (d->entries[i].addr == addr)
            return d->entries[i].direct_ms && world_ms(d->w) - d->entries[i].direct_ms <= within_ms;
    return 0;
}

/* A leader queries controllers that do not query it: seeds that were all restarted would not find it otherwise. */
static void announce_leader(struct directory *d)
{
    int64_t now_ms = world_ms(d->w), told = 0;
    for (int64_t i = 0; i < d->n && told < TELL_AT_ONCE; i++) {
        const struct directory_entry *e = &d->entries[d->turn++ % d->n];
        if (e->direct_ms && now_ms - e->direct_ms < TELL_MS)
            continue;
        send_query(d, e->addr);
        told++;
    }
}

void directory_on_timer(struct directory *d)
{
    int64_t now_ms = world_ms(d->w), leader = directory_leader(d);
    if (leader)
        d->search_ms = now_ms;
    if (now_ms < d->request_due_ms)
        return;
    if (leader) {
        d->request_due_ms = now_ms + LEADER_REQUEST_MS;
        if (leader != (int64_t)d->w->self)
            send_query(d, leader);
        else
            announce_leader(d);
        forget(d);
        return;
    }
    d->request_due_ms = now_ms + (now_ms - d->search_ms > 3000 ? SEARCH_LONG_MS : SEARCH_MS);
    for (int64_t i = 0; i < d->n && i < SEARCH_AT_ONCE; i++)
        send_query(d, d->entries[d->turn++ % d->n].addr);
}

static void set_leader(struct directory *d, int64_t term, int64_t leader)
{
    if (d->leader_suspected || term != d->term || leader != d->leader)
        d->request_due_ms = world_ms(d->w);
    d->term = term;
    d->leader = leader;
    d->leader_heard_ms = world_ms(d->w);
    d->leader_suspected = 0;
}

void directory_learn_leader(struct directory *d, int64_t term, int64_t leader)
{
    if (term >= d->term && leader)
        set_leader(d, term, leader);
}

void directory_suspect_leader(struct directory *d)
{
    if (d->leader_suspected)
        return;
    d->leader_suspected = 1;
    d->request_due_ms = world_ms(d->w);
}

static void on_query(struct directory *d, int64_t from, const struct leader_query *m)
{
    int64_t now_ms = world_ms(d->w), list[COUNT_OF(d->entries)];
    struct leader_reply reply = {.term = d->term, .leader = directory_leader(d), .controllers = list};
    struct directory_entry *e = m->controller ? entry_add(d, from) : NULL;
    if (e) {
        e->controller = 1;
        e->heard_ms = e->direct_ms = now_ms;
    }
    for (int64_t i = 0; i < d->n; i++)
        if (d->entries[i].controller && d->entries[i].direct_ms && now_ms - d->entries[i].direct_ms < LIVING_MS)
            list[reply.n++] = d->entries[i].addr;
    send_frame(d, from, FRAME_LEADER_REPLY, &leader_reply_schema, &reply);
}

static void on_reply(struct directory *d, int64_t from, const struct leader_reply *m)
{
    struct directory_entry *e = entry_add(d, from);
    int64_t now_ms = world_ms(d->w);
    if (e) {
        e->controller = 1;
        e->heard_ms = e->direct_ms = now_ms;
    }
    for (int64_t i = 0; i < m->n; i++)
        if ((e = entry_add(d, m->controllers[i]))) {
            e->controller = 1;
            e->heard_ms = now_ms;
        }
    if (m->leader == from) {
        directory_learn_leader(d, m->term, from);
    } else if (m->leader && (m->term > d->term || (m->term == d->term && !d->leader))) {
        set_leader(d, m->term, m->leader);
    } else if (from == d->leader && m->term >= d->term) {
        d->leader_suspected = 1; /* it does not lead any more */
    }
}

int directory_on_frame(struct directory *d, const struct frame *frame)
{
    if (frame->kind == FRAME_LEADER_QUERY) {
        struct leader_query m = {0};
        if (!schema_unpack(&leader_query_schema, &m, frame->body, frame->len))
            on_query(d, (int64_t)frame->from, &m);
        schema_free(&leader_query_schema, &m);
        return 1;
    }
    if (frame->kind == FRAME_LEADER_REPLY) {
        struct leader_reply m = {0};
        if (!schema_unpack(&leader_reply_schema, &m, frame->body, frame->len))
            on_reply(d, (int64_t)frame->from, &m);
        schema_free(&leader_reply_schema, &m);
        return 1;
    }
    return 0;
}
