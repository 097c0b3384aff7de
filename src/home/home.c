/* The home's side of reservations, starts, stops and checks. */
#include "home/home.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/error.h"
#include "node/node.h"

enum { WANT_MS = 400 };

struct home *home_find(struct node *node, const char *name)
{
    for (int64_t i = 0; name && i < node->n_homes; i++)
        if (!strcmp(node->homes[i]->name, name))
            return node->homes[i];
    return NULL;
}

static void home_free(struct home *home)
{
    for (int64_t i = 0; i < home->n_rows; i++)
        account_free(&home->rows[i]);
    free(home->rows);
    free(home->acks);
    schema_free(&exec_state_schema, &home->state);
    free(home->name);
    free(home);
}

void home_drop(struct node *node, struct home *home)
{
    world_note(node->w, EV_HOME_LOST, "executor=%s epoch=%lld", home->name, (long long)home->epoch);
    for (int64_t i = 0; i < node->n_homes; i++)
        if (node->homes[i] == home)
            node->homes[i] = node->homes[--node->n_homes];
    home_free(home);
}

void homes_end(struct node *node)
{
    while (node->n_homes)
        home_free(node->homes[--node->n_homes]);
    free(node->homes);
    node->homes = NULL;
}

struct home *home_take_duty(struct node *node, const char *name, int64_t epoch)
{
    struct home *home = home_find(node, name);
    if (home && home->epoch >= epoch)
        return home;
    if (home)
        home_drop(node, home);
    home = must_alloc(sizeof *home);
    home->name = must_dup(name);
    home->epoch = epoch;
    home->started_ms = home->heard_ms = world_ms(node->w);
    /* the former home may have been given tickets until its gate closed */
    home->ticket_ms = home->started_ms + ADMISSION_MS;
    struct room *room = room_find(node, name); /* what the former home told everybody */
    home->addr = room ? room->addr : 0;
    *array_add(node->homes, node->n_homes) = home;
    return home;
}

/* --- reports ------------------------------------------------------------------------ */

static void claimed(struct node *node, int64_t request, int error, const struct bytes *result)
{
    (void)error, (void)result;
    api_error(node, request, ERROR_NO_OWNER, "this executor is being given a home");
}

/* An executor nobody knows: whoever hears first proposes to be its home. */
static void claim(struct node *node, int64_t request, const char *name)
{
    struct config_tree_op op = {.kind = CONFIG_OP_OWNERSHIPS};
    struct bytes bytes = {0};
    struct ownership *ownership = array_add(op.ownerships, op.n_ownerships);
    ownership->name = must_printf("home/%s", name);
    ownership->owner = (int64_t)node->w->self;
    ownership->boot = node->boot;
    ownership->epoch = 1;
    schema_pack(&config_tree_op_schema, &op, &bytes);
    node_propose(node, GROUP_CONTROL, &bytes, 2000, claimed, request);
    schema_free(&config_tree_op_schema, &op);
}

static void answer_home(struct node *node, int64_t request)
{
    api_json(node, request, 200, json_pack("{s:s}", "home", addr_text(node->w->http_addr)));
}

void home_report(struct node *node, int64_t request, const char *body, int64_t len)
{
    struct exec_state state = {0};
    struct validation_error validation_error = {0};
    char name[140];
    if (schema_from_text(&exec_state_schema, &state, body, len, &validation_error)) {
        api_validation_error(node, request, &validation_error);
        return;
    }
    struct home *home = home_find(node, state.name);
    snprintf(name, sizeof name, "home/%s", state.name);
    const struct ownership *ownership = config_tree_ownership(&node->config_tree, name);
    if (strcmp(state.cluster, node->cluster_name))
        api_error(node, request, ERROR_BAD_FIELD, "this is another cluster");
    else if (!addr_parse(state.address))
        api_error(node, request, ERROR_BAD_FIELD, "address must be IP:PORT");
    else if (home) {
        home_take_state(node, home, &state, 0);
        answer_home(node, request);
    } else if (ownership && ownership->owner != (int64_t)node->w->self)
        api_forward(node, request, ownership->owner,
                    &(struct api_call){.shard = -1, .method = "POST", .path = "/v1/executors/report", .body = body});
    else if (!ownership && admission_open(node))
        claim(node, request, state.name);
    else
        api_error(node, request, ERROR_UNAVAILABLE, "no home yet");
    schema_free(&exec_state_schema, &state);
}

/* --- what owners ask ------------------------------------------------------------------ */

/* Neither below what was heard from the shard here, nor below its duty in the
 * configuration tree: a home that is new has heard from nobody yet. */
static int epoch_ok(struct node *node, struct home *home, int64_t shard, int64_t epoch)
{
    if (shard < 0 || shard >= SHARD_COUNT || epoch < home->shard_epochs[shard] || epoch < node->shards[shard].epoch)
        return 0;
    home->shard_epochs[shard] = epoch;
    return 1;
}

/* Room that becomes free is kept a moment for the most urgent that was denied:
 * owners on many nodes ask, each sees only its own order. left: what would
 * remain after this reservation. */
static int room_for(struct node *node, struct home *home, int64_t urgency, int64_t left_cores, int64_t left_mb)
{
    int64_t now_ms = world_ms(node->w);
    int waits = home->want_until_ms > now_ms;
    if (left_cores < 0 || left_mb < 0) {
        if (waits && urgency >= home->want_urgency)
            return 0;
        int64_t cores, mem_mb;
        account_room(home, &cores, &mem_mb);
        home->want_urgency = urgency;
        home->want_cores = cores - left_cores;
        home->want_mb = mem_mb - left_mb;
        home->want_until_ms = now_ms + WANT_MS;
        return 0;
    }
    if (waits && urgency > home->want_urgency && (left_cores < home->want_cores || left_mb < home->want_mb))
        return 0;
    if (waits && urgency <= home->want_urgency)
        home->want_until_ms = 0;
    return 1;
}

static int may_reserve(struct node *node, struct home *home, const struct reserve *m)
{
    int64_t cores, mem_mb;
    if (!home || home->epoch != m->home_epoch || !home->opened || home->incarnation != m->incarnation ||
        !admission_open(node) || node->leaving || !epoch_ok(node, home, m->shard, m->shard_epoch))
        return 0;
    int64_t state = home_room_state(node, home);
    if (state != ROOM_OPEN && state != ROOM_PROBATION)
        return 0;
    account_room(home, &cores, &mem_mb);
    for (int64_t i = 0; i < m->n_tasks; i++) {
        cores -= m->tasks[i].cores;
        mem_mb -= m->tasks[i].mem_mb;
    }
    if (state == ROOM_PROBATION && home->n_rows)
        return 0; /* one at a time until it has proved itself */
    return room_for(node, home, m->urgency, cores, mem_mb);
}

void home_on_reserve(struct node *node, int64_t from, const struct reserve *m)
{
    struct home *home = home_find(node, m->executor);
    struct reserved reply = {.req = m->req, .executor = m->executor, .error = ERROR_REJECTED};
    if (may_reserve(node, home, m)) {
        reply.error = ERROR_NONE;
        for (int64_t i = 0; i < m->n_tasks; i++) {
            const struct task_ref *ref = &m->tasks[i];
            if (account_find(home, ref->job, ref->no, ref->attempt))
                continue;
            struct account *row = array_add(home->rows, home->n_rows);
            row->ref = *ref;
            row->state = ACC_RESERVED;
            row->since_ms = world_ms(node->w);
        }
    }
    node_send(node, from, FRAME_RESERVED, &reserved_schema, &reply);
}

void home_on_release(struct node *node, int64_t from, const struct reserve *m)
{
    struct home *home = home_find(node, m->executor);
    (void)from;
    for (int64_t i = 0; home && i < m->n_tasks; i++) {
        struct account *row = account_find(home, m->tasks[i].job, m->tasks[i].no, m->tasks[i].attempt);
        if (row && row->state == ACC_RESERVED)
            account_remove(home, row);
    }
    node->rooms_due_ms = 0;
}

/* A start whose reservation has lapsed is taken only if there is room anew;
 * otherwise it is told to have ended unstarted, and stays so. */
void home_on_start(struct node *node, int64_t from, struct start_order *m)
{
    struct home *home = home_find(node, m->executor);
    (void)from;
    if (!home || home->epoch != m->home_epoch || !home->opened || !epoch_ok(node, home, m->shard, m->shard_epoch) ||
        !admission_open(node))
        return;
    const struct exec_start *s = &m->start;
    struct account *row = account_find(home, s->job, s->no, s->attempt);
    int64_t cores, mem_mb;
    if (row && row->state != ACC_RESERVED)
        return;
    if (!row) {
        account_room(home, &cores, &mem_mb);
        row = array_add(home->rows, home->n_rows);
        row->ref = (struct task_ref){
            .job = s->job, .no = s->no, .attempt = s->attempt, .cores = s->cores, .mem_mb = s->mem_mb};
        row->since_ms = world_ms(node->w);
        if (cores < s->cores || mem_mb < s->mem_mb) {
            account_end(node, home, row, OUT_UNSTARTED, "no room left");
            return;
        }
    }
    row->lease_ms = s->lease_ms;
    row->stall_ms = s->stall_ms;
    /* its room was reserved; what the executor gave to others since then is gone all the same */
    account_room(home, &cores, &mem_mb);
    if (cores < 0 || mem_mb < 0) {
        account_end(node, home, row, OUT_UNSTARTED, "its room went to other work meanwhile");
        return;
    }
    if (m->incarnation != home->incarnation) {
        account_end(node, home, row, OUT_UNSTARTED, "the executor came back anew");
        return;
    }
    int64_t state = home_room_state(node, home);
    if (state == ROOM_LEAVING || state == ROOM_CLOSED) {
        account_end(node, home, row, OUT_UNSTARTED, "the executor is leaving");
        return;
    }
    node_journal_add(node, s->job, s->no, s->attempt, s->hold ? "hold ordered" : "start ordered", home->name);
    row->state = ACC_STARTING;
    row->since_ms = world_ms(node->w);
    row->start = must_alloc(sizeof *row->start);
    *row->start = *s;
    m->start = (struct exec_start){0}; /* its strings are ours now */
    home->dirty = 1;
}

void home_on_stop(struct node *node, int64_t from, const struct check *m)
{
    struct home *home = home_find(node, m->executor);
    (void)from;
    if (!home || !home->opened || home->epoch != m->home_epoch || !epoch_ok(node, home, m->shard, m->shard_epoch))
        return;
    for (int64_t i = 0; i < m->n_tasks; i++) {
        const struct task_ref *ref = &m->tasks[i];
        struct account *row = account_find(home, ref->job, ref->no, ref->attempt);
        if (!row || row->state == ACC_ENDED)
            continue; /* a check tells what became of it */
        if (row->state == ACC_RESERVED) {
            account_end(node, home, row, OUT_UNSTARTED, "stopped before its start");
        } else if (!row->stop_asked) {
            row->stop_asked = 1;
            home->dirty = 1;
        }
    }
}

/* The whole gang is held: this part of it may begin. */
void home_on_go(struct node *node, const struct check *m)
{
    struct home *home = home_find(node, m->executor);
    if (!home || home->epoch != m->home_epoch || !epoch_ok(node, home, m->shard, m->shard_epoch) ||
        !admission_open(node))
        return;
    for (int64_t i = 0; i < m->n_tasks; i++) {
        struct account *row = account_find(home, m->tasks[i].job, m->tasks[i].no, m->tasks[i].attempt);
        if (!row || row->state != ACC_HELD || row->go_asked || row->stop_asked)
            continue;
        row->go_asked = 1;
        home->dirty = 1;
    }
}

void home_on_check(struct node *node, int64_t from, const struct check *m)
{
    struct home *home = home_find(node, m->executor);
    if (!home || !epoch_ok(node, home, m->shard, m->shard_epoch) || !admission_open(node))
        return;
    struct checked reply = {.executor = m->executor, .home_epoch = home->epoch, .incarnation = home->incarnation};
    for (int64_t i = 0; i < m->n_tasks; i++) {
        const struct task_ref *ref = &m->tasks[i];
        struct account *row = account_find(home, ref->job, ref->no, ref->attempt);
        struct checked_task t = {.job = ref->job, .no = ref->no, .attempt = ref->attempt, .state = CHECK_UNKNOWN};
        if (row)
            t.state = account_check_state(row);
        else if (!home->opened && home->gone)
            t.state = CHECK_GONE;
        else if (!home->opened)
            continue; /* nothing can be said before the executor answered us */
        *array_add(reply.tasks, reply.n_tasks) = t;
    }
    if (reply.n_tasks)
        node_send(node, from, FRAME_CHECKED, &checked_schema, &reply);
    free(reply.tasks);
}

void home_on_ended_ack(struct node *node, const struct ended *m)
{
    struct home *home = home_find(node, m->executor);
    struct account *row = home ? account_find(home, m->job, m->no, m->attempt) : NULL;
    if (!row || row->state != ACC_ENDED)
        return;
    *array_add(home->acks, home->n_acks) = (struct exec_renew){.job = m->job, .no = m->no, .attempt = m->attempt};
    account_remove(home, row);
    home->dirty = 1;
    (void)node;
}
