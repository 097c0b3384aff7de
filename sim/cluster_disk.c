/* Disks of a cluster's hosts, simulated by sim/sim_disk.c. A file of its own, because sim.h cannot be included together
 * with the headers of the cores. */
#include <stdlib.h>

#include "base/error.h"
#include "sim/disk_fault.h"
#include "sim/sim.h"

struct cluster_disk;
struct cluster_disk *cluster_disk_new(uint64_t seed);
void cluster_disk_free(struct cluster_disk *disk);
void cluster_disk_clear(struct cluster_disk *disk);
void cluster_disk_copy(struct cluster_disk *to, const struct cluster_disk *from);
void cluster_disk_power_loss(struct cluster_disk *disk);
void cluster_disk_stall(struct cluster_disk *disk, int64_t until_us);
void cluster_disk_fail(struct cluster_disk *disk, enum disk_fault fault, int64_t until_us);
void cluster_calls_disk(struct world_calls *calls);
struct cluster_disk *host_disk(struct world *world, int64_t *now_us);
void host_stall(struct world *world, int64_t by_us);

struct cluster_disk {
    struct machine machine;
    struct sim *sim;
    enum disk_fault fault; /* until fault_until_us */
    int64_t fault_until_us;
};

struct cluster_disk *cluster_disk_new(uint64_t seed)
{
    struct cluster_disk *disk = must_alloc(sizeof *disk);
    disk->sim = must_alloc(sizeof *disk->sim);
    disk->sim->state = seed;
    disk->machine.sim = disk->sim;
    disk->machine.disk.sync_us = 2000;
    return disk;
}

void cluster_disk_clear(struct cluster_disk *disk) { sim_disk_clear(&disk->machine.disk); }
void cluster_disk_copy(struct cluster_disk *to, const struct cluster_disk *from)
{
    sim_disk_copy(&to->machine.disk, &from->machine.disk);
}
void cluster_disk_power_loss(struct cluster_disk *disk) { sim_disk_power_loss(&disk->machine); }
void cluster_disk_stall(struct cluster_disk *disk, int64_t until_us) { disk->machine.disk.stall_until_us = until_us; }
void cluster_disk_fail(struct cluster_disk *disk, enum disk_fault fault, int64_t until_us)
{
    disk->fault = fault;
    disk->fault_until_us = until_us;
}

void cluster_disk_free(struct cluster_disk *disk)
{
    if (!disk)
        return;
    cluster_disk_clear(disk);
    free(disk->sim);
    free(disk);
}

static const struct world_calls *sim_disk_calls(void)
{
    static struct world_calls calls;
    if (!calls.disk_list)
        sim_calls_disk(&calls);
    return &calls;
}

/* Whether a call that the host makes at now_us fails. */
static int call_fails(struct cluster_disk *disk, int64_t now_us, int changes)
{
    if (now_us >= disk->fault_until_us)
        return 0;
    switch (disk->fault) {
    case DISK_REFUSES_WRITES: return changes;
    case DISK_REFUSES_ALL: return 1;
    case DISK_FAILS_SOMETIMES: return sim_pick(disk->sim, 2) == 0;
    default: return 0;
    }
}

enum { READS, CHANGES };

/* Makes a call on the host's simulated disk at the host's time, and adds the time that the disk takes to the host's. */
#define CALL_ON_DISK(W, KIND, CALL)                    \
    int64_t now_us;                                    \
    struct cluster_disk *disk = host_disk(W, &now_us); \
    if (!disk || call_fails(disk, now_us, KIND))       \
        return ERROR_DISK;                             \
    disk->sim->now_us = now_us;                        \
    disk->machine.stall_us = 0;                        \
    struct world *to = &disk->machine.base;            \
    int rc = CALL;                                     \
    host_stall(W, disk->machine.stall_us);             \
    return rc

static int disk_list(struct world *world, void (*each)(void *arg, const char *name), void *arg)
{
    CALL_ON_DISK(world, READS, sim_disk_calls()->disk_list(to, each, arg));
}
static int disk_read(struct world *world, const char *name, struct bytes *into)
{
    CALL_ON_DISK(world, READS, sim_disk_calls()->disk_read(to, name, into));
}
/* A write that fails may have left a part of its bytes. */
static int disk_add(struct world *world, const char *name, const void *at, int64_t len)
{
    int64_t time_us;
    struct cluster_disk *writes_to = host_disk(world, &time_us);
    if (writes_to && call_fails(writes_to, time_us, CHANGES)) {
        int64_t part = sim_pick(writes_to->sim, len + 1);
        if (part)
            (void)sim_disk_calls()->disk_add(&writes_to->machine.base, name, at, part);
        return ERROR_DISK;
    }
    CALL_ON_DISK(world, CHANGES, sim_disk_calls()->disk_add(to, name, at, len));
}
static int disk_cut(struct world *world, const char *name, int64_t len)
{
    CALL_ON_DISK(world, CHANGES, sim_disk_calls()->disk_cut(to, name, len));
}
static int disk_sync(struct world *world, const char *name)
{
    CALL_ON_DISK(world, CHANGES, sim_disk_calls()->disk_sync(to, name));
}
static int disk_sync_names(struct world *world) { CALL_ON_DISK(world, CHANGES, sim_disk_calls()->disk_sync_names(to)); }
static int disk_rename(struct world *world, const char *from, const char *name)
{
    CALL_ON_DISK(world, CHANGES, sim_disk_calls()->disk_rename(to, from, name));
}
static int disk_remove(struct world *world, const char *name)
{
    CALL_ON_DISK(world, CHANGES, sim_disk_calls()->disk_remove(to, name));
}

void cluster_calls_disk(struct world_calls *calls) { WORLD_TAKE_DISK(calls); }
