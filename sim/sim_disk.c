/* Simulated disks: they lose unsynced data, stall, slow down, fill up and fail. */
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "sim/sim.h"

static struct machine *machine_of(struct world *world) { return (struct machine *)world; }

static void file_release(struct sim_file *file)
{
    if (file && --file->refs == 0) {
        bytes_free(&file->data);
        free(file);
    }
}

static struct sim_dir_entry *find_entry(struct sim_dir_entry *entries, int64_t n, const char *name)
{
    for (int64_t i = 0; i < n; i++)
        if (!strcmp(entries[i].name, name))
            return &entries[i];
    return NULL;
}

static void copy_entries(struct sim_dir_entry *to, int64_t *n_to, const struct sim_dir_entry *from, int64_t n)
{
    for (int64_t i = 0; i < n; i++)
        from[i].file->refs++;
    for (int64_t i = 0; i < *n_to; i++)
        file_release(to[i].file);
    if (n)
        memcpy(to, from, sizeof *to * (size_t)n);
    *n_to = n;
}

void sim_disk_clear(struct sim_disk *disk)
{
    copy_entries(disk->now, &disk->n_now, NULL, 0);
    copy_entries(disk->durable, &disk->n_durable, NULL, 0);
}

void sim_disk_copy(struct sim_disk *to, const struct sim_disk *from)
{
    sim_disk_clear(to);
    for (int64_t i = 0; i < from->n_durable; i++) {
        struct sim_file *file = must_alloc(sizeof *file);
        file->refs = 1;
        file->synced = from->durable[i].file->synced;
        bytes_add(&file->data, file->synced ? (void *)from->durable[i].file->data.at : (void *)"", file->synced);
        to->now[i] = from->durable[i];
        to->now[i].file = file;
        to->n_now++;
    }
    copy_entries(to->durable, &to->n_durable, to->now, to->n_now);
}

/* Synced bytes stay. Of the unsynced bytes a random prefix stays, and its last byte
 * may be corrupt. */
void sim_disk_power_loss(struct machine *machine)
{
    struct sim_disk *disk = &machine->disk;
    copy_entries(disk->now, &disk->n_now, disk->durable, disk->n_durable);
    for (int64_t i = 0; i < disk->n_now; i++) {
        struct sim_file *file = disk->now[i].file;
        int64_t unsynced = file->data.len - file->synced;
        if (unsynced <= 0)
            continue;
        int64_t retained = sim_pick(machine->sim, unsynced + 1);
        file->data.len = file->synced + retained;
        if (retained && sim_pick(machine->sim, 2))
            file->data.at[file->data.len - 1] ^= 0x5a;
        file->synced = file->data.len;
    }
}

static int disk_list(struct world *world, void (*each)(void *arg, const char *name), void *arg)
{
    struct sim_disk *disk = &machine_of(world)->disk;
    if (disk->failing)
        return ERROR_DISK;
    for (int64_t i = 0; i < disk->n_now; i++)
        each(arg, disk->now[i].name);
    return ERROR_NONE;
}

static int disk_read(struct world *world, const char *name, struct bytes *to)
{
    struct sim_disk *disk = &machine_of(world)->disk;
    struct sim_dir_entry *entry = find_entry(disk->now, disk->n_now, name);
    if (disk->failing)
        return ERROR_DISK;
    if (!entry)
        return ERROR_NOT_FOUND;
    bytes_add(to, entry->file->data.at ? (void *)entry->file->data.at : (void *)"", entry->file->data.len);
    return ERROR_NONE;
}

static int disk_add(struct world *world, const char *name, const void *from, int64_t len)
{
    struct sim_disk *disk = &machine_of(world)->disk;
    struct sim_dir_entry *entry = find_entry(disk->now, disk->n_now, name);
    if (disk->failing || disk->full || (!entry && disk->n_now == SIM_FILES))
        return ERROR_DISK;
    if (!entry) {
        entry = &disk->now[disk->n_now++];
        memset(entry, 0, sizeof *entry);
        strncpy(entry->name, name, sizeof entry->name - 1);
        entry->file = must_alloc(sizeof *entry->file);
        entry->file->refs = 1;
    }
    bytes_add(&entry->file->data, from, len);
    return ERROR_NONE;
}

static int disk_cut(struct world *world, const char *name, int64_t len)
{
    struct sim_disk *disk = &machine_of(world)->disk;
    struct sim_dir_entry *entry = find_entry(disk->now, disk->n_now, name);
    if (!entry || disk->failing)
        return ERROR_DISK;
    if (entry->file->data.len > len)
        entry->file->data.len = len;
    if (entry->file->synced > len)
        entry->file->synced = len;
    return ERROR_NONE;
}

static int wait_sync(struct machine *machine)
{
    struct sim_disk *disk = &machine->disk;
    disk->syncs++;
    machine->stall_us += disk->sync_us + sim_pick(machine->sim, disk->sync_us + 1);
    if (disk->stall_until_us > machine->sim->now_us + machine->stall_us)
        machine->stall_us = disk->stall_until_us - machine->sim->now_us;
    return disk->failing ? ERROR_DISK : ERROR_NONE;
}

static int disk_sync(struct world *world, const char *name)
{
    struct machine *machine = machine_of(world);
    struct sim_dir_entry *entry = find_entry(machine->disk.now, machine->disk.n_now, name);
    int rc = wait_sync(machine);
    if (rc || !entry)
        return ERROR_DISK;
    entry->file->synced = entry->file->data.len;
    return ERROR_NONE;
}

static int disk_sync_names(struct world *world)
{
    struct machine *machine = machine_of(world);
    int rc = wait_sync(machine);
    if (!rc)
        copy_entries(machine->disk.durable, &machine->disk.n_durable, machine->disk.now, machine->disk.n_now);
    return rc;
}

static void remove_entry(struct sim_disk *disk, struct sim_dir_entry *entry)
{
    file_release(entry->file);
    *entry = disk->now[--disk->n_now];
}

static int disk_remove(struct world *world, const char *name)
{
    struct sim_disk *disk = &machine_of(world)->disk;
    struct sim_dir_entry *entry = find_entry(disk->now, disk->n_now, name);
    if (entry)
        remove_entry(disk, entry);
    return ERROR_NONE;
}

static int disk_rename(struct world *world, const char *from, const char *to)
{
    struct sim_disk *disk = &machine_of(world)->disk;
    struct sim_dir_entry *entry = find_entry(disk->now, disk->n_now, from);
    if (!entry || disk->failing)
        return ERROR_DISK;
    disk_remove(world, to);
    entry = find_entry(disk->now, disk->n_now, from);
    memset(entry->name, 0, sizeof entry->name);
    strncpy(entry->name, to, sizeof entry->name - 1);
    return ERROR_NONE;
}

void sim_calls_disk(struct world_calls *calls) { WORLD_TAKE_DISK(calls); }
