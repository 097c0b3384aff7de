/* Zones of voters: how many voters a zone has, and may have. */
#include "controller/voter_zones.h"

#include <string.h>

int64_t voter_zones_limit(int64_t voters, int64_t zones_lost)
{
    return zones_lost ? (voters - 1) / 2 / zones_lost : voters;
}

int64_t voter_zones_count(const struct log_members *members, const char *zone, const struct log_member *without)
{
    int64_t n = 0;
    for (int64_t i = 0; i < members->n; i++) {
        const struct log_member *member = &members->members[i];
        n += member != without && log_votes_after_change(member) && !strcmp(member->zone, zone);
    }
    return n;
}

/* How many voters of the zone are above the limit: without one of them (may be NULL), and with this many more. */
static int64_t above_limit(const struct log_members *members, const char *zone, const struct log_member *without,
                           int64_t more, int64_t limit)
{
    int64_t above = voter_zones_count(members, zone, without) + more - limit;
    return above > 0 ? above : 0;
}

int voter_zones_may_replace(const struct log_members *members, const char *zone, const struct log_member *voter,
                            int64_t limit)
{
    if (!strcmp(zone, voter->zone))
        return 1;
    /* the numbers of voters in all other zones stay as they are */
    int64_t before = above_limit(members, zone, NULL, 0, limit) + above_limit(members, voter->zone, NULL, 0, limit);
    int64_t after = above_limit(members, zone, NULL, 1, limit) + above_limit(members, voter->zone, voter, 0, limit);
    return after <= before;
}
