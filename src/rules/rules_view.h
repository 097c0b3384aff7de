/* Rules as operators read them: JSON made of the record. */
#ifndef SAGEHITCH_RULES_VIEW_H
#define SAGEHITCH_RULES_VIEW_H
#include "dispatch/record.h"

/* Fills problem, version and raw of an answer to ASK_RULES_GET or ASK_RULES_JOB. */
void rules_answer(const struct record *record, const struct door_ask *ask, struct door_answer *answer);
#endif
