/* Segment files: records of entries, truncations and votes. The header of each record contains a checksum and the
 * length up to which the segment was synced when the record was written. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/error.h"
#include "log/log.h"

enum record_type { RECORD_VOTE = 1, RECORD_ENTRY, RECORD_CUT };
enum { RECORD_HEAD = 16 };

struct log_record {
    int64_t type, term, vote, index, kind;
    struct bytes body;
};

static const struct field record_fields[] = {INT(log_record, type),  INT(log_record, term), INT(log_record, vote),
                                             INT(log_record, index), INT(log_record, kind), BYTES(log_record, body)};
static SCHEMA(record_schema, log_record, record_fields);

static const char *name_of(const struct log *log, const char *what, int64_t number)
{
    static char names[4][64];
    static int next;
    char *name = names[next++ & 3];
    snprintf(name, 64, "%s-%s-%012lld", log->name, what, (long long)number);
    return name;
}

static void mark_broken(struct log *log, const char *what)
{
    if (!log->broken)
        world_note(log->w, EV_DISK_FAILED, "log=%s during=%s", log->name, what);
    log->broken = 1;
    log->role = LOG_FOLLOWER;
}

static void append_record(struct log *log, const struct log_record *record)
{
    struct log_segment *seg = &log->segments[log->n_segments - 1];
    struct bytes out = {0};
    uint8_t head[RECORD_HEAD] = {0};
    if (log->broken)
        return;
    bytes_add(&out, head, RECORD_HEAD);
    schema_pack(&record_schema, record, &out);
    le_put(out.at, (uint64_t)(out.len - RECORD_HEAD), 4);
    le_put(out.at + 8, (uint64_t)seg->synced, 8);
    le_put(out.at + 4, crc_of(out.at + 8, out.len - 8), 4);
    if (log->w->calls->disk_add(log->w, name_of(log, "seg", seg->number), out.at, out.len))
        mark_broken(log, "write");
    seg->bytes += out.len;
    bytes_free(&out);
}

void log_store_entry(struct log *log, int64_t index, const struct log_entry *entry)
{
    struct log_record record = {
        .type = RECORD_ENTRY, .term = entry->term, .index = index, .kind = entry->kind, .body = entry->body};
    append_record(log, &record);
}

void log_store_cut(struct log *log, int64_t from_index)
{
    struct log_record record = {.type = RECORD_CUT, .index = from_index};
    append_record(log, &record);
}

void log_store_vote(struct log *log)
{
    struct log_record record = {.type = RECORD_VOTE, .term = log->term, .vote = log->vote};
    append_record(log, &record);
}

int log_store_open(struct log *log)
{
    int64_t number = log->n_segments ? log->segments[log->n_segments - 1].number + 1 : 1;
    *array_add(log->segments, log->n_segments) =
        (struct log_segment){.number = number, .first_index = log_last(log) + 1};
    log_store_vote(log);
    if (!log->broken &&
        (log->w->calls->disk_sync(log->w, name_of(log, "seg", number)) || log->w->calls->disk_sync_names(log->w)))
        mark_broken(log, "new segment");
    log->segments[log->n_segments - 1].synced = log->segments[log->n_segments - 1].bytes;
    return log->broken ? ERROR_DISK : ERROR_NONE;
}

int log_store_sync(struct log *log)
{
    struct log_segment *seg = &log->segments[log->n_segments - 1];
    int64_t from_ms = world_ms(log->w);
    uint8_t mark[8];
    if (!log->broken && log->w->calls->disk_sync(log->w, name_of(log, "seg", seg->number)))
        mark_broken(log, "sync");
    if (log->broken)
        return ERROR_DISK;
    log->syncs++;
    log->synced = log_last(log);
    log->last_sync_ms = world_ms(log->w) - from_ms;
    log->slow_syncs = log->last_sync_ms >= log->settings.slow_sync_ms ? log->slow_syncs + 1 : 0;
    seg->synced = seg->bytes;
    /* the mark itself is not synced: an older one only states a smaller length */
    le_put(mark, (uint64_t)seg->synced, 8);
    log->w->calls->disk_add(log->w, name_of(log, "mark", seg->number), mark, 8);
    return seg->bytes > log->settings.segment_bytes ? log_store_open(log) : ERROR_NONE;
}

static void replay_record(struct log *log, const struct log_record *record)
{
    if (record->type == RECORD_VOTE) {
        if (record->term >= log->term) {
            log->vote = record->vote;
            log->term = record->term;
        }
    } else if (record->type == RECORD_CUT) {
        log_entries_cut(log, record->index);
    } else if (record->type == RECORD_ENTRY && record->index > log->snapshot_index) {
        log_entries_cut(log, record->index);
        if (record->index == log_last(log) + 1)
            log_entry_add(log, record->term, record->kind, &record->body);
    }
}

/* Decodes the record at off, or returns an error if it is incomplete or damaged. *next: offset of the record after it.
 */
static int read_record(const struct bytes *data, int64_t off, struct log_record *record, int64_t *next, int64_t *synced)
{
    if (off + RECORD_HEAD > data->len)
        return ERROR_DISK;
    int64_t len = (int64_t)le_get(data->at + off, 4);
    *next = off + RECORD_HEAD + len;
    if (!len || *next > data->len || le_get(data->at + off + 4, 4) != crc_of(data->at + off + 8, len + 8))
        return ERROR_DISK;
    *synced = (int64_t)le_get(data->at + off + 8, 8);
    *record = (struct log_record){0};
    return schema_unpack(&record_schema, record, data->at + off + RECORD_HEAD, len);
}

/* Length of the segment that is known to have been synced: by the newest mark, and by valid records after bad_off. */
static int64_t known_synced_length(struct log *log, int64_t number, const struct bytes *data, int64_t bad_off)
{
    struct bytes marks = {0};
    int64_t synced_length = 0, next, synced;
    struct log_record record;
    if (!log->w->calls->disk_read(log->w, name_of(log, "mark", number), &marks) && marks.len >= 8)
        synced_length = (int64_t)le_get(marks.at + marks.len / 8 * 8 - 8, 8);
    bytes_free(&marks);
    for (int64_t off = bad_off + 1; off < data->len; off++) {
        if (read_record(data, off, &record, &next, &synced))
            continue;
        schema_free(&record_schema, &record);
        if (synced > synced_length)
            synced_length = synced;
    }
    return synced_length;
}

static int load_segment(struct log *log, int64_t number, int last)
{
    struct bytes data = {0};
    struct log_record record;
    int64_t off = 0, next = 0, synced;
    const char *name = name_of(log, "seg", number);
    if (log->w->calls->disk_read(log->w, name, &data))
        return ERROR_DISK;
    while (off < data.len && !read_record(&data, off, &record, &next, &synced)) {
        replay_record(log, &record);
        schema_free(&record_schema, &record);
        off = next;
    }
    int rc = ERROR_NONE;
    if (off < data.len) {
        int64_t synced_length = known_synced_length(log, number, &data, off);
        if (!last || off < synced_length) {
            world_note(log->w, EV_LOG_BROKEN,
                       "segment=%s offset=%lld: acknowledged records are damaged; move the data folder aside and "
                       "start this keeper empty, it will join under a new identity",
                       name, (long long)off);
            rc = ERROR_DISK;
        } else {
            world_note(log->w, EV_LOG_CUT, "segment=%s offset=%lld bytes=%lld", name, (long long)off,
                       (long long)(data.len - off));
            rc = log->w->calls->disk_cut(log->w, name, off);
            if (!rc)
                rc = log->w->calls->disk_sync(log->w, name);
        }
    }
    /* records that a killed process wrote but did not sync were read back: sync them before they count */
    if (!rc && last && off == data.len)
        rc = log->w->calls->disk_sync(log->w, name);
    bytes_free(&data);
    return rc;
}

static void add_segment(void *arg, const char *name)
{
    struct log *log = arg;
    char prefix[32];
    snprintf(prefix, sizeof prefix, "%s-seg-", log->name);
    if (strncmp(name, prefix, strlen(prefix)))
        return;
    *array_add(log->segments, log->n_segments) = (struct log_segment){.number = text_to_int64(name + strlen(prefix))};
}

static int compare_segment_numbers(const void *a, const void *b)
{
    const struct log_segment *x = a, *y = b;
    return x->number < y->number ? -1 : x->number > y->number;
}

int log_store_load(struct log *log)
{
    if (log->w->calls->disk_list(log->w, add_segment, log))
        return ERROR_DISK;
    if (log->n_segments)
        qsort(log->segments, (size_t)log->n_segments, sizeof *log->segments, compare_segment_numbers);
    for (int64_t i = 0; i < log->n_segments; i++) {
        log->segments[i].first_index = log_last(log) + 1;
        int rc = load_segment(log, log->segments[i].number, i == log->n_segments - 1);
        if (rc)
            return rc;
    }
    return ERROR_NONE;
}
