/* The identity file, and small files that are replaced atomically by renaming a temporary file. */
#include "log/log_identity.h"

#include <stdio.h>
#include <string.h>

#include "base/events.h"
#include "base/error.h"

static const struct field join_fields[] = {INT(join, id), INT(join, addr), STR(join, zone)};
SCHEMA(join_schema, join, join_fields);

struct identity {
    int64_t id, cluster;
};
static const struct field identity_fields[] = {INT(identity, id), INT(identity, cluster)};
static SCHEMA(identity_schema, identity, identity_fields);

int log_load_schema(struct world *w, const char *name, const struct schema *schema, void *to)
{
    struct bytes data = {0};
    uint32_t sum = 0;
    int rc = w->calls->disk_read(w, name, &data);
    if (!rc && data.len > 4) {
        memcpy(&sum, data.at, 4);
        rc = sum == crc_of(data.at + 4, data.len - 4) ? schema_unpack(schema, to, data.at + 4, data.len - 4)
                                                      : ERROR_DISK;
    } else {
        rc = rc == ERROR_NOT_FOUND ? ERROR_NOT_FOUND : ERROR_DISK;
    }
    bytes_free(&data);
    return rc;
}

int log_save_schema(struct world *w, const char *name, const struct schema *schema, const void *from)
{
    struct bytes data = {0};
    char temp[64];
    schema_pack(schema, from, &data);
    uint32_t sum = crc_of(data.at, data.len);
    snprintf(temp, sizeof temp, "%s-temp", name);
    w->calls->disk_remove(w, temp);
    int rc = w->calls->disk_add(w, temp, &sum, sizeof sum);
    if (!rc)
        rc = w->calls->disk_add(w, temp, data.at, data.len);
    if (!rc)
        rc = w->calls->disk_sync(w, temp);
    if (!rc)
        rc = w->calls->disk_rename(w, temp, name);
    bytes_free(&data);
    return rc ? rc : w->calls->disk_sync_names(w);
}

static void detect_log_files(void *arg, const char *name)
{
    int *logs = arg;
    if (!strncmp(name, "control-", 8) || !strncmp(name, "jobs-", 5))
        *logs = 1;
}

int log_identity(struct world *w, uint32_t cluster, int64_t *id)
{
    struct identity identity = {0};
    int logs = 0;
    int rc = log_load_schema(w, "identity", &identity_schema, &identity);
    if (!rc) {
        *id = identity.id;
        if (identity.cluster != cluster) {
            world_note(w, EV_LOG_BROKEN, "the data folder belongs to another cluster");
            return ERROR_DISK;
        }
        return ERROR_NONE;
    }
    if (w->calls->disk_list(w, detect_log_files, &logs))
        return ERROR_DISK;
    if (rc != ERROR_NOT_FOUND || logs) {
        world_note(w, EV_LOG_BROKEN,
                   "identity is missing or damaged beside existing logs; move the data folder "
                   "aside and start this keeper empty, it will join under a new identity");
        return ERROR_DISK;
    }
    identity.id = (int64_t)(world_random(w) >> 2) | 1;
    identity.cluster = cluster;
    *id = identity.id;
    return log_save_schema(w, "identity", &identity_schema, &identity);
}
