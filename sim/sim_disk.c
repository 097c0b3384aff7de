/* Disks that lose what was not synced, stall, slow down, fill up and fail. */
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "sim/sim.h"

static struct machine *machine_of(struct world *w) { return (struct machine *)w; }

static void file_put(struct sim_file *file)
{
    if (file && --file->refs == 0) {
        bytes_free(&file->data);
        free(file);
    }
}

static struct sim_name *name_in(struct sim_name *names, int64_t n, const char *name)
{
    for (int64_t i = 0; i < n; i++)
        if (!strcmp(names[i].name, name))
            return &names[i];
    return NULL;
}

static void names_copy(struct sim_name *to, int64_t *n_to, const struct sim_name *from, int64_t n)
{
    for (int64_t i = 0; i < n; i++)
        from[i].file->refs++;
    for (int64_t i = 0; i < *n_to; i++)
        file_put(to[i].file);
    if (n)
        memcpy(to, from, sizeof *to * (size_t)n);
    *n_to = n;
}

void sim_disk_clear(struct sim_disk *disk)
{
    names_copy(disk->now, &disk->n_now, NULL, 0);
    names_copy(disk->kept, &disk->n_kept, NULL, 0);
}

void sim_disk_copy(struct sim_disk *to, const struct sim_disk *from)
{
    sim_disk_clear(to);
    for (int64_t i = 0; i < from->n_kept; i++) {
        struct sim_file *file = must_alloc(sizeof *file);
        file->refs = 1;
        file->synced = from->kept[i].file->synced;
        bytes_add(&file->data, file->synced ? (void *)from->kept[i].file->data.at : (void *)"", file->synced);
        to->now[i] = from->kept[i];
        to->now[i].file = file;
        to->n_now++;
    }
    names_copy(to->kept, &to->n_kept, to->now, to->n_now);
}

/* Synced bytes stay; of the others some front part may have made it, and the
 * last of that may be garbage. */
void sim_disk_power_loss(struct machine *m)
{
    struct sim_disk *disk = &m->disk;
    names_copy(disk->now, &disk->n_now, disk->kept, disk->n_kept);
    for (int64_t i = 0; i < disk->n_now; i++) {
        struct sim_file *file = disk->now[i].file;
        int64_t loose = file->data.len - file->synced;
        if (loose <= 0)
            continue;
        int64_t stays = sim_pick(m->sim, loose + 1);
        file->data.len = file->synced + stays;
        if (stays && sim_pick(m->sim, 2))
            file->data.at[file->data.len - 1] ^= 0x5a;
        file->synced = file->data.len;
    }
}

static int disk_list(struct world *w, void (*each)(void *arg, const char *name), void *arg)
{
    struct sim_disk *disk = &machine_of(w)->disk;
    if (disk->failing)
        return ERROR_DISK;
    for (int64_t i = 0; i < disk->n_now; i++)
        each(arg, disk->now[i].name);
    return ERROR_NONE;
}

static int disk_read(struct world *w, const char *name, struct bytes *to)
{
    struct sim_disk *disk = &machine_of(w)->disk;
    struct sim_name *at = name_in(disk->now, disk->n_now, name);
    if (disk->failing)
        return ERROR_DISK;
    if (!at)
        return ERROR_NOT_FOUND;
    bytes_add(to, at->file->data.at ? (void *)at->file->data.at : (void *)"", at->file->data.len);
    return ERROR_NONE;
}

static int disk_add(struct world *w, const char *name, const void *from, int64_t len)
{
    struct sim_disk *disk = &machine_of(w)->disk;
    struct sim_name *at = name_in(disk->now, disk->n_now, name);
    if (disk->failing || disk->full || (!at && disk->n_now == SIM_FILES))
        return ERROR_DISK;
    if (!at) {
        at = &disk->now[disk->n_now++];
        memset(at, 0, sizeof *at);
        strncpy(at->name, name, sizeof at->name - 1);
        at->file = must_alloc(sizeof *at->file);
        at->file->refs = 1;
    }
    bytes_add(&at->file->data, from, len);
    return ERROR_NONE;
}

static int disk_cut(struct world *w, const char *name, int64_t len)
{
    struct sim_disk *disk = &machine_of(w)->disk;
    struct sim_name *at = name_in(disk->now, disk->n_now, name);
    if (!at || disk->failing)
        return ERROR_DISK;
    if (at->file->data.len > len)
        at->file->data.len = len;
    if (at->file->synced > len)
        at->file->synced = len;
    return ERROR_NONE;
}

static int wait_sync(struct machine *m)
{
    struct sim_disk *disk = &m->disk;
    disk->syncs++;
    m->stall_us += disk->sync_us + sim_pick(m->sim, disk->sync_us + 1);
    if (disk->stall_until_us > m->sim->now_us + m->stall_us)
        m->stall_us = disk->stall_until_us - m->sim->now_us;
    return disk->failing ? ERROR_DISK : ERROR_NONE;
}

static int disk_sync(struct world *w, const char *name)
{
    struct machine *m = machine_of(w);
    struct sim_name *at = name_in(m->disk.now, m->disk.n_now, name);
    int rc = wait_sync(m);
    if (rc || !at)
        return ERROR_DISK;
    at->file->synced = at->file->data.len;
    return ERROR_NONE;
}

static int disk_sync_names(struct world *w)
{
    struct machine *m = machine_of(w);
    int rc = wait_sync(m);
    if (!rc)
        names_copy(m->disk.kept, &m->disk.n_kept, m->disk.now, m->disk.n_now);
    return rc;
}

static void drop(struct sim_disk *disk, struct sim_name *at)
{
    file_put(at->file);
    *at = disk->now[--disk->n_now];
}

static int disk_remove(struct world *w, const char *name)
{
    struct sim_disk *disk = &machine_of(w)->disk;
    struct sim_name *at = name_in(disk->now, disk->n_now, name);
    if (at)
        drop(disk, at);
    return ERROR_NONE;
}

static int disk_rename(struct world *w, const char *from, const char *to)
{
    struct sim_disk *disk = &machine_of(w)->disk;
    struct sim_name *at = name_in(disk->now, disk->n_now, from);
    if (!at || disk->failing)
        return ERROR_DISK;
    disk_remove(w, to);
    at = name_in(disk->now, disk->n_now, from);
    memset(at->name, 0, sizeof at->name);
    strncpy(at->name, to, sizeof at->name - 1);
    return ERROR_NONE;
}

void sim_calls_disk(struct world_calls *calls) { WORLD_TAKE_DISK(calls); }
