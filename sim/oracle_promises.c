/* What was promised in time: settings, cancels, gangs, what is shown as done. */
#include "sim/oracle.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* --- promises ------------------------------------------------------------------------------ */

void oracle_settings_accepted(struct oracle *o, int64_t version)
{
    *array_add(o->promised, o->n_promised) = (struct promised){.version = version, .at_ms = sim_ms(o->sim)};
}

/* A change was taken: it is the next after the one its operator had seen. */
void oracle_settings_followed(struct oracle *o, int64_t expected, int64_t version)
{
    o->judged++;
    if (version != expected + 1)
        oracle_breach(o, "settings %lld were accepted for a change that was to follow %lld", (long long)version,
                      (long long)expected);
    oracle_settings_accepted(o, version);
}

void oracle_cancelled(struct oracle *o, int64_t job)
{
    *array_add(o->cancelled, o->n_cancelled) = (struct cancelled){.job = job, .at_ms = sim_ms(o->sim)};
}

void oracle_shown(struct oracle *o, int64_t id, const char *state)
{
    const struct job *job = sim_job(o->sim, id);
    o->judged++;
    if (!strcmp(state, "done") && job && oracle_done(o, id) < job->n_rows)
        oracle_breach(o, "job %lld shown as done with %lld of %lld tasks done", (long long)id,
                      (long long)oracle_done(o, id), (long long)job->n_rows);
}

/* Whoever is at a version says the same. */
static void same_content(struct oracle *o, struct machine *m, int64_t version)
{
    Word_t hash = (Word_t)oracle_content(&m->core.node.config_tree);
    PWord_t at = (PWord_t)JudyLIns(&o->contents, (Word_t)version, NULL);
    o->judged++;
    if (*at && *at != hash)
        oracle_breach(o, "%s has other settings at version %lld", m->name, (long long)version);
    *at = hash;
}

/* Settings as of a version; the calendar changes states under the same one. */
int64_t oracle_content(const struct config_tree *config_tree)
{
    json_t *whole = config_tree_to_json(config_tree);
    char *text = json_dumps(whole, JSON_COMPACT | JSON_SORT_KEYS);
    int64_t hash = (int64_t)(hash_text(text) | 1);
    json_decref(whole);
    free(text);
    return hash;
}

void oracle_watch_settings(struct oracle *o, struct machine *m, int64_t now_ms)
{
    struct node *node = &m->core.node;
    int64_t version = node->config_tree.version, i = m->index;
    if (o->generations[i] == m->generation && version < o->versions[i])
        oracle_breach(o, "%s slipped back from settings %lld to %lld", m->name, (long long)o->versions[i],
                      (long long)version);
    if (version && version != o->versions[i])
        same_content(o, m, version);
    o->generations[i] = m->generation;
    o->versions[i] = version;
    if (!admission_open(node) || m->frozen)
        return;
    for (int64_t k = 0; k < o->n_promised; k++) {
        struct promised *p = &o->promised[k];
        if (now_ms - p->at_ms <= SETTINGS_MS || version >= p->version || (p->told[i / 64] >> i % 64 & 1))
            continue;
        p->told[i / 64] |= 1ull << i % 64;
        oracle_breach(o, "%s still acts under settings %lld, %lld were accepted %lld ms ago", m->name,
                      (long long)version, (long long)p->version, (long long)(now_ms - p->at_ms));
    }
}

/* What one keeper applied at a place, no other may apply differently. */
void oracle_watch_log(struct oracle *o, struct machine *m, int64_t group)
{
    struct log *log = &m->core.keeper.logs[group];
    int64_t from = o->applied[m->index][group] + 1;
    if (from < log->first_index)
        from = log->first_index;
    for (int64_t i = from; i <= log->applied; i++) {
        const struct log_entry *entry = &log->entries[i - log->first_index];
        Word_t hash = (Word_t)(hash_mix(hash_of(entry->body.at, entry->body.len), (uint64_t)entry->term) | 1);
        PWord_t at = (PWord_t)JudyLIns(&o->entries[group], (Word_t)i, NULL);
        if (*at && *at != hash)
            oracle_breach(o, "%s applied another entry at %s %lld", m->name, log->name, (long long)i);
        *at = hash;
    }
    o->applied[m->index][group] = log->applied;
}

/* Why nobody could have told the executor to stop in time, since that moment.
 * Each is judged without any excuse once the lease must have run out. */
static int excused(struct oracle *o, const struct seen_task *t, int64_t since_ms, int last)
{
    struct machine *home = sim_home(o->sim, t->where->name);
    int64_t e = t->where->index;
    o->judged++;
    if (t->where->frozen || (!last && o->frozen_ms[e] >= since_ms)) /* it may have woken just now */
        return oracle_excuse(o, EXCUSE_FROZEN);
    if (last)
        return 0;
    if (home && (o->sim->cut[home->index][e] || o->sim->cut[e][home->index]))
        return oracle_excuse(o, EXCUSE_CUT);
    if (o->home_bad_ms[e] >= since_ms)
        return oracle_excuse(o, EXCUSE_HOMELESS);
    if (o->owner_bad_ms[job_shard(t->job)] >= since_ms)
        return oracle_excuse(o, EXCUSE_OWNERLESS);
    return 0;
}

static int64_t lease_of(struct oracle *o, const struct job *job)
{
    struct settings settings;
    return oracle_settings(o, job, &settings) && settings.lease_ms > 4000 ? settings.lease_ms : 4000;
}

/* A gang that did not start whole has nothing running after two seconds, and
 * behind a cut nothing once its leases have run out. */
void oracle_watch_gangs(struct oracle *o, int64_t now_ms)
{
    for (int64_t i = 0; i < o->n_gangs; i++) {
        struct seen_gang *g = &o->gangs[i];
        if (g->settled > 1 || now_ms - g->first_ms < GANG_MS)
            continue;
        const struct job *job = sim_job(o->sim, g->job);
        if (!job || (g->settled && now_ms - g->first_ms < GANG_MS + lease_of(o, job) + LAPSE_MS))
            continue;
        g->settled++;
        int64_t first = spec_first_task(&job->spec, g->step), n = job->spec.steps[g->step].n_tasks, begun = 0,
                running = 0;
        for (int64_t k = first; k < first + n; k++)
            begun += oracle_task(o, g->job, k)->starts > 0;
        for (int64_t k = first; begun < n && k < first + n; k++) {
            struct seen_task *t = oracle_task(o, g->job, k);
            running += t->running && !excused(o, t, g->first_ms, g->settled > 1);
        }
        if (begun < n && running)
            oracle_breach(o, "gang of job %lld: %lld of %lld started, %lld still run", (long long)g->job,
                          (long long)begun, (long long)n, (long long)running);
    }
}

/* Running tasks of a cancelled job stop within about a second of the cancel. */
void oracle_watch_cancels(struct oracle *o, int64_t now_ms)
{
    for (int64_t i = 0; i < o->n_cancelled; i++) {
        struct cancelled *c = &o->cancelled[i];
        if (c->settled > 1 || now_ms - c->at_ms < CANCEL_STOP_MS)
            continue;
        if (c->settled && now_ms - c->at_ms < lease_of(o, sim_job(o->sim, c->job)) + LAPSE_MS)
            continue;
        c->settled++;
        for (int64_t k = 0; k < o->n_tasks; k++)
            if (o->tasks[k].job == c->job && o->tasks[k].running && o->tasks[k].start_ms <= c->at_ms &&
                !excused(o, &o->tasks[k], c->at_ms, c->settled > 1))
                oracle_breach(o, "task %lld/%lld still runs %lld ms after its cancel", (long long)c->job,
                              (long long)o->tasks[k].no, (long long)(now_ms - c->at_ms));
    }
}
