/* The agreed log: bytes and time of an entry at the leader and at a voter, of standing
 * idle, and of reading it back after a restart. */
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "log/log.h"
#include "slopes.h"

enum { VOTERS_MOST = 7, TIMER_MS = 10, ENTRIES = 4000 };

/* Frames under way, delivered one by one. */
struct mail {
    uint64_t to;
    struct blob *frame;
};
struct group {
    struct bench_world worlds[VOTERS_MOST];
    struct log logs[VOTERS_MOST];
    int64_t ns[VOTERS_MOST], sent_bytes[VOTERS_MOST], sent_frames[VOTERS_MOST];
    struct mail *mail;
    int64_t n, n_mail, committed;
};

static void on_sent(void *arg, struct world *from, uint64_t to, struct blob *frame)
{
    struct group *g = arg;
    g->sent_bytes[from->self - 1] += frame->bytes.len;
    g->sent_frames[from->self - 1]++;
    *array_add(g->mail, g->n_mail) = (struct mail){.to = to, .frame = blob_hold(frame)};
}

static void apply(void *arg, int64_t index, const struct bytes *op, struct bytes *result)
{
    (void)arg, (void)index, (void)op, (void)result;
}
static void snapshot(void *arg, struct bytes *to) { (void)arg, bytes_printf(to, "-"); }
static int restore(void *arg, const struct bytes *from) { return (void)arg, (void)from, ERROR_NONE; }
static void done(void *arg, int64_t tag, int error, const struct bytes *result)
{
    (void)tag, (void)result;
    ((struct group *)arg)->committed += !error;
}

static const struct log_machine machine = {.apply = apply, .snapshot = snapshot, .restore = restore};

static void open_log(struct group *g, int64_t i)
{
    log_start(&g->logs[i], &g->worlds[i].base, 7, GROUP_JOBS, i + 1, &machine);
    g->logs[i].settings.snapshot_every = INT64_MAX / 2;
    g->logs[i].settings.snapshot_bytes = INT64_MAX / 2;
    g->logs[i].settings.heartbeat_ms = 100;
    g->logs[i].settings.election_ms = 500;
    log_election_reset(&g->logs[i]);
    if (log_load(&g->logs[i]))
        abort();
}

static void deliver(struct group *g)
{
    for (int64_t at = 0; at < g->n_mail; at++) {
        struct mail mail = g->mail[at];
        struct frame frame;
        int64_t i = (int64_t)mail.to - 1, from_ns = cpu_ns();
        if (frame_parse(&frame, mail.frame->bytes.at, mail.frame->bytes.len, 7) || log_on_frame(&g->logs[i], &frame))
            abort();
        g->ns[i] += cpu_ns() - from_ns;
        blob_drop(mail.frame);
    }
    g->n_mail = 0;
}

static void turn(struct group *g)
{
    for (int64_t i = 0; i < g->n; i++) {
        int64_t from_ns = cpu_ns();
        g->worlds[i].now_ms += TIMER_MS;
        log_on_timer(&g->logs[i]);
        log_flush(&g->logs[i]);
        g->ns[i] += cpu_ns() - from_ns;
    }
    deliver(g);
}

static int64_t leader_of(const struct group *g)
{
    for (int64_t i = 0; i < g->n; i++)
        if (g->logs[i].role == LOG_LEADER)
            return i;
    return -1;
}

static void clear(struct group *g)
{
    memset(g->ns, 0, sizeof g->ns);
    memset(g->sent_bytes, 0, sizeof g->sent_bytes);
    memset(g->sent_frames, 0, sizeof g->sent_frames);
    for (int64_t i = 0; i < g->n; i++)
        g->worlds[i].disk_bytes = 0;
    g->committed = 0;
}

static void entries(struct group *g, int64_t lead, int64_t body_len, int64_t at_once)
{
    struct bytes body = {0};
    const char *size =
        sized("%lld voters, %lld B, %lld a turn", (long long)g->n, (long long)body_len, (long long)at_once);
    for (int64_t i = 0; i < body_len; i++)
        bytes_add(&body, "x", 1);
    clear(g);
    for (int64_t i = 0; i < ENTRIES; i += at_once) {
        int64_t from_ns = cpu_ns();
        for (int64_t k = 0; k < at_once; k++)
            log_propose(&g->logs[lead], ENTRY_OP, &body, done, g, i + k);
        g->ns[lead] += cpu_ns() - from_ns;
        turn(g);
    }
    for (int i = 0; i < 20 && g->committed < ENTRIES; i++)
        turn(g);
    int64_t other = (lead + 1) % g->n;
    told("log: an entry, leader", size, (double)g->ns[lead] / ENTRIES / 1000, "us");
    told("log: an entry, other voter", size, (double)g->ns[other] / ENTRIES / 1000, "us");
    told("log: an entry, leader sends", size, (double)g->sent_bytes[lead] / ENTRIES, "bytes");
    told("log: an entry, other voter sends", size, (double)g->sent_bytes[other] / ENTRIES, "bytes");
    told("log: an entry, disk", size, (double)g->worlds[other].disk_bytes / ENTRIES, "bytes");
    if (g->committed != ENTRIES)
        told("log: NOT COMMITTED", size, (double)(ENTRIES - g->committed), "entries");
    bytes_free(&body);
}

static void idle(struct group *g, int64_t lead)
{
    const char *size = sized("%lld voters", (long long)g->n);
    clear(g);
    for (int i = 0; i < 10000 / TIMER_MS; i++)
        turn(g);
    int64_t other = (lead + 1) % g->n;
    told("log: idle, leader sends", size, (double)g->sent_bytes[lead] / 10, "bytes/s");
    told("log: idle, other voter sends", size, (double)g->sent_bytes[other] / 10, "bytes/s");
    told("log: idle, leader", size, (double)g->ns[lead] / 1e6 / 10, "ms/s");
    told("log: idle, other voter", size, (double)g->ns[other] / 1e6 / 10, "ms/s");
}

static void of_voters(int64_t n)
{
    struct group *g = must_alloc(sizeof *g);
    struct log_members members = {0};
    g->n = n;
    for (int64_t i = 0; i < n; i++)
        *array_add(members.members, members.n) =
            (struct log_member){.id = i + 1, .addr = i + 1, .voter = LOG_VOTER, .zone = must_dup("zone")};
    for (int64_t i = 0; i < n; i++) {
        bench_world_start(&g->worlds[i], (uint64_t)i + 1);
        g->worlds[i].sent = on_sent;
        g->worlds[i].arg = g;
        open_log(g, i);
        if (log_bootstrap(&g->logs[i], &members))
            abort();
        g->logs[i].election_due_ms += i * 300;
    }
    schema_free(&log_members_schema, &members);
    for (int i = 0; i < 500 && leader_of(g) < 0; i++)
        turn(g);
    for (int i = 0; i < 50; i++)
        turn(g);
    int64_t lead = leader_of(g);
    if (lead < 0)
        abort();
    idle(g, lead);
    entries(g, lead, 100, 1);
    entries(g, lead, 100, 20);
    entries(g, lead, 8000, 1);
    /* one voter begins again from its disk */
    int64_t other = (lead + 1) % n, last = log_last(&g->logs[other]);
    log_end(&g->logs[other]);
    int64_t from_ns = cpu_ns();
    open_log(g, other);
    told("log: reading back after a restart", sized("%lld entries", (long long)last),
         (double)(cpu_ns() - from_ns) / (double)last / 1000, "us an entry");
    for (int64_t i = 0; i < n; i++) {
        log_end(&g->logs[i]);
        bench_world_end(&g->worlds[i]);
    }
    free(g->mail);
    free(g);
}

void slopes_log(void)
{
    of_voters(3);
    of_voters(5);
    of_voters(7);
}
