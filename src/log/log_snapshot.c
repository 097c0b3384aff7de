/* Snapshots on disk: the whole state at one index, which replaces the entries up to it. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/error.h"
#include "log/log.h"

static const struct field snapshot_file_fields[] = {INT(log_snapshot_file, index), INT(log_snapshot_file, term),
                                                    SUB(log_snapshot_file, members, log_members_schema),
                                                    BYTES(log_snapshot_file, data)};
SCHEMA(log_snapshot_file_schema, log_snapshot_file, snapshot_file_fields);

static void snapshot_name(const struct log *log, char name[64], const char *what, int64_t index)
{
    snprintf(name, 64, "%s-%s-%012lld", log->name, what, (long long)index);
}

/* Sets snapshot_members to the members as of index; later MEMBERS entries may not be committed. */
static void update_snapshot_members(struct log *log, int64_t index)
{
    for (int64_t k = index - log->first_index; k >= 0 && log->first_index + k > log->snapshot_index; k--) {
        struct log_entry *entry = &log->entries[k];
        if (entry->kind != ENTRY_MEMBERS)
            continue;
        schema_free(&log_members_schema, &log->snapshot_members);
        memset(&log->snapshot_members, 0, sizeof log->snapshot_members);
        schema_unpack(&log_members_schema, &log->snapshot_members, entry->body.at, entry->body.len);
        return;
    }
}

static int write_snapshot_file(struct log *log, const struct bytes *data, int64_t index)
{
    char name[64], temp[64];
    snapshot_name(log, name, "digest", index);
    snapshot_name(log, temp, "temp", index);
    struct world *w = log->w;
    w->calls->disk_remove(w, temp);
    if (w->calls->disk_add(w, temp, data->at, data->len) || w->calls->disk_sync(w, temp) ||
        w->calls->disk_rename(w, temp, name) || w->calls->disk_sync_names(w)) {
        world_note(w, EV_DISK_FAILED, "log=%s during=digest", log->name);
        log->broken = 1;
        log->role = LOG_FOLLOWER;
        return ERROR_DISK;
    }
    return ERROR_NONE;
}

struct obsolete_files {
    struct log *log;
    char (*names)[64];
    int64_t n;
};

static void collect_obsolete(void *arg, const char *name)
{
    struct obsolete_files *obsolete = arg;
    char keep[64], prefix[40], temp[40];
    snapshot_name(obsolete->log, keep, "digest", obsolete->log->snapshot_index);
    snprintf(prefix, sizeof prefix, "%s-digest-", obsolete->log->name);
    snprintf(temp, sizeof temp, "%s-temp-", obsolete->log->name);
    int old = !strncmp(name, prefix, strlen(prefix)) && strcmp(name, keep) < 0;
    if ((old || !strncmp(name, temp, strlen(temp))) && strlen(name) < 64)
        strcpy(*array_add(obsolete->names, obsolete->n), name);
}

static void remove_obsolete_files(struct log *log)
{
    struct obsolete_files obsolete = {.log = log};
    char name[64];
    struct world *w = log->w;
    w->calls->disk_list(w, collect_obsolete, &obsolete);
    for (int64_t i = 0; i < obsolete.n; i++)
        w->calls->disk_remove(w, obsolete.names[i]);
    free(obsolete.names);
    while (log->n_segments > 1 && log->segments[1].first_index <= log->snapshot_index + 1) {
        snapshot_name(log, name, "seg", log->segments[0].number);
        w->calls->disk_remove(w, name);
        snapshot_name(log, name, "mark", log->segments[0].number);
        w->calls->disk_remove(w, name);
        memmove(log->segments, log->segments + 1, sizeof *log->segments * (size_t)--log->n_segments);
    }
}

void log_snapshot_pack(const struct log_snapshot_file *saved, struct bytes *file)
{
    uint8_t crc[4] = {0};
    bytes_add(file, crc, 4);
    schema_pack(&log_snapshot_file_schema, saved, file);
    le_put(file->at, crc_of(file->at + 4, file->len - 4), 4);
}

int log_snapshot_unpack(const struct bytes *file, struct log_snapshot_file *saved)
{
    if (file->len < 5 || (uint32_t)le_get(file->at, 4) != crc_of(file->at + 4, file->len - 4))
        return ERROR_BAD_FRAME;
    return schema_unpack(&log_snapshot_file_schema, saved, file->at + 4, file->len - 4);
}

int log_snapshot_write(struct log *log, const struct bytes *file)
{
    int rc = write_snapshot_file(log, file, log->snapshot_index);
    if (rc)
        return rc;
    remove_obsolete_files(log);
    world_note(log->w, EV_DIGEST_SAVED, "log=%s index=%lld bytes=%lld", log->name, (long long)log->snapshot_index,
               (long long)file->len);
    return ERROR_NONE;
}

/* The packed bytes are not kept in memory: log_snapshot_read() reads them from the file. */
int log_snapshot_save(struct log *log)
{
    int64_t term = log_term_at(log, log->applied);
    struct bytes file = {0};
    if (log->applied > log->snapshot_index)
        update_snapshot_members(log, log->applied);
    struct log_snapshot_file saved = {.index = log->applied, .term = term, .members = log->snapshot_members};
    log->machine.snapshot(log->machine.arg, &saved.data);
    log->snapshot_index = log->applied;
    log->snapshot_term = term;
    log_snapshot_pack(&saved, &file);
    bytes_free(&saved.data);
    int rc = log_snapshot_write(log, &file);
    bytes_free(&file);
    if (rc)
        return rc;
    log->applied_bytes = 0;
    int64_t by_count = log->applied - log->settings.keep_entries;
    int64_t by_bytes = log_drop_index_for_bytes(log, log->settings.keep_bytes);
    log_entries_drop(log, log_entries_droppable(log, by_count > by_bytes ? by_count : by_bytes));
    log_members_refresh(log);
    return ERROR_NONE;
}

int log_snapshot_read(struct log *log, struct bytes *file)
{
    char name[64];
    struct log_snapshot_file saved = {0};
    snapshot_name(log, name, "digest", log->snapshot_index);
    int rc = log->w->calls->disk_read(log->w, name, file);
    if (!rc)
        rc = log_snapshot_unpack(file, &saved);
    if (!rc && saved.index != log->snapshot_index)
        rc = ERROR_DISK;
    schema_free(&log_snapshot_file_schema, &saved);
    if (rc)
        world_note(log->w, EV_SNAPSHOT_DAMAGED, "log=%s index=%lld on=disk", log->name, (long long)log->snapshot_index);
    return rc;
}

struct newest {
    const char *prefix;
    char name[64];
};

static void find_newest(void *arg, const char *name)
{
    struct newest *newest = arg;
    if (!strncmp(name, newest->prefix, strlen(newest->prefix)) && strlen(name) < 64 && strcmp(name, newest->name) > 0)
        strcpy(newest->name, name);
}

int log_snapshot_load(struct log *log)
{
    char prefix[40];
    struct newest newest = {.prefix = prefix};
    struct log_snapshot_file saved = {0};
    struct bytes data = {0};
    snprintf(prefix, sizeof prefix, "%s-digest-", log->name);
    if (log->w->calls->disk_list(log->w, find_newest, &newest))
        return ERROR_DISK;
    if (!*newest.name)
        return ERROR_NONE;
    int bad = log->w->calls->disk_read(log->w, newest.name, &data) || log_snapshot_unpack(&data, &saved) ||
              log->machine.restore(log->machine.arg, &saved.data);
    bytes_free(&data);
    if (bad) {
        world_note(log->w, EV_LOG_BROKEN,
                   "digest=%s is damaged; move the data folder aside and start this keeper empty, it will join under "
                   "a new identity",
                   newest.name);
        schema_free(&log_snapshot_file_schema, &saved);
        return ERROR_DISK;
    }
    log->snapshot_index = saved.index;
    log->snapshot_term = saved.term;
    log->first_index = saved.index + 1;
    log->dropped_term = saved.term;
    bytes_free(&saved.data);
    log->snapshot_members = saved.members;
    return ERROR_NONE;
}
