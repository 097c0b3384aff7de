/* Rules with a time limit: settings, cancels and gangs; and that jobs shown as done are done. */
#include "sim/oracle.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* --- promises ------------------------------------------------------------------------------ */

void oracle_settings_accepted(struct oracle *oracle, int64_t version)
{
    *array_add(oracle->accepted_settings, oracle->n_accepted_settings) =
        (struct accepted_settings){.version = version, .at_ms = sim_ms(oracle->sim)};
}

/* Checks that an accepted change follows the version that its operator expected. */
void oracle_settings_changed(struct oracle *oracle, int64_t expected, int64_t version)
{
    oracle->n_checks++;
    if (version != expected + 1)
        oracle_violation(oracle, "settings %lld were accepted for a change that was to follow %lld", (long long)version,
                         (long long)expected);
    oracle_settings_accepted(oracle, version);
}

void oracle_cancelled(struct oracle *oracle, int64_t job)
{
    *array_add(oracle->cancelled_jobs, oracle->n_cancelled_jobs) =
        (struct cancelled_job){.job = job, .at_ms = sim_ms(oracle->sim)};
}

void oracle_job_state_seen(struct oracle *oracle, int64_t id, const char *state)
{
    const struct job *job = sim_job(oracle->sim, id);
    oracle->n_checks++;
    if (!strcmp(state, "done") && job && oracle_done(oracle, id) < job->n_rows)
        oracle_violation(oracle, "job %lld shown as done with %lld of %lld tasks done", (long long)id,
                         (long long)oracle_done(oracle, id), (long long)job->n_rows);
}

/* Checks that all nodes with the same version have the same settings. */
static void check_settings_hash(struct oracle *oracle, struct machine *machine, int64_t version)
{
    Word_t hash = (Word_t)oracle_settings_hash(&machine->core.node.config_tree);
    PWord_t at = (PWord_t)JudyLIns(&oracle->settings_hashes, (Word_t)version, NULL);
    oracle->n_checks++;
    if (*at && *at != hash)
        oracle_violation(oracle, "%s has other settings at version %lld", machine->name, (long long)version);
    *at = hash;
}

/* Hash of the settings as JSON. The calendar's states are left out: they change without a new version. */
int64_t oracle_settings_hash(const struct config_tree *config_tree)
{
    json_t *whole = config_tree_to_json(config_tree);
    char *text = json_dumps(whole, JSON_COMPACT | JSON_SORT_KEYS);
    int64_t hash = (int64_t)(hash_text(text) | 1);
    json_decref(whole);
    free(text);
    return hash;
}

void oracle_watch_settings(struct oracle *oracle, struct machine *machine, int64_t now_ms)
{
    struct node *node = &machine->core.node;
    int64_t version = node->config_tree.version, i = machine->index;
    if (oracle->settings_generations[i] == machine->generation && version < oracle->settings_versions[i])
        oracle_violation(oracle, "%s slipped back from settings %lld to %lld", machine->name,
                         (long long)oracle->settings_versions[i], (long long)version);
    if (version && version != oracle->settings_versions[i])
        check_settings_hash(oracle, machine, version);
    oracle->settings_generations[i] = machine->generation;
    oracle->settings_versions[i] = version;
    if (!admission_open(node) || machine->frozen)
        return;
    for (int64_t k = 0; k < oracle->n_accepted_settings; k++) {
        struct accepted_settings *accepted = &oracle->accepted_settings[k];
        if (now_ms - accepted->at_ms <= SETTINGS_MS || version >= accepted->version ||
            (accepted->reported[i / 64] >> i % 64 & 1))
            continue;
        accepted->reported[i / 64] |= 1ull << i % 64;
        oracle_violation(oracle, "%s still acts under settings %lld, %lld were accepted %lld ms ago", machine->name,
                         (long long)version, (long long)accepted->version, (long long)(now_ms - accepted->at_ms));
    }
}

/* Checks that all keepers apply the same entry at each index. */
void oracle_watch_log(struct oracle *oracle, struct machine *machine, int64_t group)
{
    struct log *log = &machine->core.keeper.logs[group];
    int64_t from = oracle->checked_index[machine->index][group] + 1;
    if (from < log->first_index)
        from = log->first_index;
    for (int64_t i = from; i <= log->applied; i++) {
        const struct log_entry *entry = &log->entries[i - log->first_index];
        Word_t hash = (Word_t)(hash_mix(hash_of(entry->body.at, entry->body.len), (uint64_t)entry->term) | 1);
        PWord_t at = (PWord_t)JudyLIns(&oracle->entry_hashes[group], (Word_t)i, NULL);
        if (*at && *at != hash)
            oracle_violation(oracle, "%s applied another entry at %s %lld", machine->name, log->name, (long long)i);
        *at = hash;
    }
    oracle->checked_index[machine->index][group] = log->applied;
}

/* Whether a fault since since_ms kept the executor from being stopped in time. Once
 * the leases have expired, only an executor that is frozen is excused. */
static int find_excuse(struct oracle *oracle, const struct seen_task *task, int64_t since_ms, int leases_expired)
{
    struct machine *owner = sim_executor_owner(oracle->sim, task->executor->name);
    int64_t executor = task->executor->index;
    oracle->n_checks++;
    if (task->executor->frozen ||
        (!leases_expired && oracle->executor_frozen_ms[executor] >= since_ms)) /* it may have resumed just now */
        return oracle_excuse(oracle, EXCUSE_FROZEN);
    if (leases_expired)
        return 0;
    if (owner && (oracle->sim->cut[owner->index][executor] || oracle->sim->cut[executor][owner->index]))
        return oracle_excuse(oracle, EXCUSE_CUT);
    if (oracle->owner_unavailable_ms[executor] >= since_ms)
        return oracle_excuse(oracle, EXCUSE_NO_EXECUTOR_OWNER);
    if (oracle->shard_unavailable_ms[job_shard(task->job)] >= since_ms)
        return oracle_excuse(oracle, EXCUSE_NO_SHARD_OWNER);
    return 0;
}

static int64_t max_lease_ms(struct oracle *oracle, const struct job *job)
{
    struct settings settings;
    return oracle_settings(oracle, job, &settings) && settings.lease_ms > 4000 ? settings.lease_ms : 4000;
}

/* A gang of which not all tasks started has none running after GANG_MS; executors that
 * are cut off stop theirs when the leases expire. */
void oracle_watch_gangs(struct oracle *oracle, int64_t now_ms)
{
    for (int64_t i = 0; i < oracle->n_gangs; i++) {
        struct started_gang *gang = &oracle->gangs[i];
        if (gang->checks_made > 1 || now_ms - gang->first_ms < GANG_MS)
            continue;
        const struct job *job = sim_job(oracle->sim, gang->job);
        if (!job || (gang->checks_made &&
                     now_ms - gang->first_ms < GANG_MS + max_lease_ms(oracle, job) + LEASE_EXPIRY_MARGIN_MS))
            continue;
        gang->checks_made++;
        int64_t first = spec_first_task(&job->spec, gang->step), n = job->spec.steps[gang->step].n_tasks, n_started = 0,
                running = 0;
        for (int64_t k = first; k < first + n; k++)
            n_started += oracle_task(oracle, gang->job, k)->starts > 0;
        for (int64_t k = first; n_started < n && k < first + n; k++) {
            struct seen_task *task = oracle_task(oracle, gang->job, k);
            running += task->running && !find_excuse(oracle, task, gang->first_ms, gang->checks_made > 1);
        }
        if (n_started < n && running)
            oracle_violation(oracle, "gang of job %lld: %lld of %lld started, %lld still run", (long long)gang->job,
                             (long long)n_started, (long long)n, (long long)running);
    }
}

/* Running tasks of a cancelled job stop within about a second of the cancel. */
void oracle_watch_cancels(struct oracle *oracle, int64_t now_ms)
{
    for (int64_t i = 0; i < oracle->n_cancelled_jobs; i++) {
        struct cancelled_job *cancelled = &oracle->cancelled_jobs[i];
        if (cancelled->checks_made > 1 || now_ms - cancelled->at_ms < CANCEL_STOP_MS)
            continue;
        if (cancelled->checks_made &&
            now_ms - cancelled->at_ms <
                max_lease_ms(oracle, sim_job(oracle->sim, cancelled->job)) + LEASE_EXPIRY_MARGIN_MS)
            continue;
        cancelled->checks_made++;
        for (int64_t k = 0; k < oracle->n_tasks; k++)
            if (oracle->tasks[k].job == cancelled->job && oracle->tasks[k].running &&
                oracle->tasks[k].start_ms <= cancelled->at_ms &&
                !find_excuse(oracle, &oracle->tasks[k], cancelled->at_ms, cancelled->checks_made > 1))
                oracle_violation(oracle, "task %lld/%lld still runs %lld ms after its cancel",
                                 (long long)cancelled->job, (long long)oracle->tasks[k].no,
                                 (long long)(now_ms - cancelled->at_ms));
    }
}
