/* Zones of voters. So that a majority survives the loss of the configured number of zones, no zone should have more
 * than a limited number of voters. */
#ifndef SAGEHITCH_CONTROLLER_VOTER_ZONES_H
#define SAGEHITCH_CONTROLLER_VOTER_ZONES_H
#include "log/log.h"

/* The largest number of voters in a zone of which a majority survives the loss of zones_lost zones. voters: number of
 * voters in all. */
int64_t voter_zones_limit(int64_t voters, int64_t zones_lost);
/* Number of voters in a zone, not counting without (may be NULL). */
int64_t voter_zones_count(const struct log_members *members, const char *zone, const struct log_member *without);
/* Whether a learner in this zone may take over the vote of voter: no more voters are above the limit of their zone
 * after the change than before it. So a learner in the zone of the voter always may. */
int voter_zones_may_replace(const struct log_members *members, const char *zone, const struct log_member *voter,
                            int64_t limit);
#endif
