#ifndef SAGEHITCH_CTL_H
#define SAGEHITCH_CTL_H
#include "base/bytes.h"
#include "proc/local.h"

/* Sends a request to an address. Returns the HTTP status, 0: no response. The body replaces the content of response. */
long ctl_request_at(uint64_t addr, const char *method, const char *path, const char *body, struct bytes *response);
/* The same, to the first seed that responds. */
long ctl_request(const struct local *local, const char *method, const char *path, const char *body,
                 struct bytes *response);
/* Prints what the journals of all nodes hold about a job, in order of time. Returns the exit status. */
int ctl_story(const struct local *local, const char *id);
#endif
