/* The operators' own paths for rules, whatever dialect the rest of a door speaks:
 *   GET, PUT /rules                what head office rules; PUT names in If-Match the version it is built on
 *   GET, PUT /rules/outlets/NAME   what an outlet adjusts, and what is in force there
 *   GET      /rules/jobs/ID        what a job runs under; ID: 16 hex digits
 * A dialect hands over requests for these paths, and answers to them. */
#ifndef SAGEHITCH_RULES_DOOR_H
#define SAGEHITCH_RULES_DOOR_H
#include "controller/dialect.h"

int rules_door_is(const char *path);
/* As door_dialect's read and write; ask->path is set. write: 0 where it is no answer of ours. */
int rules_door_read(struct door_ask *ask, const struct web_ask *web, struct flaw *flaw);
int rules_door_write(const struct door_answer *answer, int *status, char **body);
#endif
