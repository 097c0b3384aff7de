/* Identity of a member: a random number generated once for an empty disk, so that a wiped disk counts as another
 * member. Also small files beside the log, each of which is replaced atomically. */
#ifndef SAGEHITCH_LOG_IDENTITY_H
#define SAGEHITCH_LOG_IDENTITY_H
#include "log/log.h"

/* FRAME_JOIN: a process that is not a member asks the leader to add it as a learner. The unpacked struct owns zone. */
struct join {
    int64_t id, addr;
    char *zone;
};
extern const struct schema join_schema;

/* Reads the identity of this disk into *id, or generates and saves one if the disk is empty. ERROR_DISK: the disk
 * belongs to another cluster, holds logs without an identity, or failed; the process must not join the log with this
 * disk. */
int log_identity(struct world *w, uint32_t cluster, int64_t *id);
/* Replaces the contents of the file name by from, packed and with a checksum. Durable on return 0; otherwise the
 * previous file stays. */
int log_save_schema(struct world *w, const char *name, const struct schema *schema, const void *from);
/* Reads a file written by log_save_schema() into to, which must be zeroed; the caller frees its contents by
 * schema_free(). ERROR_NOT_FOUND: there is no such file; ERROR_DISK or ERROR_BAD_FRAME: it is damaged. */
int log_load_schema(struct world *w, const char *name, const struct schema *schema, void *to);
#endif
