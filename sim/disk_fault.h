/* Faults of simulated disks. */
#ifndef SAGEHITCH_SIM_DISK_FAULT_H
#define SAGEHITCH_SIM_DISK_FAULT_H

/* REFUSES_WRITES: each call that changes the disk fails, and a write may leave a part of its bytes; REFUSES_ALL: each
 * call fails; FAILS_SOMETIMES: each call fails with a probability of one half. */
enum disk_fault { DISK_WORKS, DISK_REFUSES_WRITES, DISK_REFUSES_ALL, DISK_FAILS_SOMETIMES, DISK_FAULTS };
#endif
