// Clusters of which a whole zone may be lost at once. Controllers are replaced and zones are lost, one after another;
// each counts as lost until CATCH_UP_MS after its start. SAGEHITCH_SEEDS=N or FIRST-LAST for a longer sweep.
#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

#include "cluster_run.h"
#include "seeds.h"

namespace
{

enum {
    CATCH_UP_MS = 4000, // bound of the platform: a machine counts as lost for so long after its start
    RECOVERY_MS = 12000 // bound of the platform: from the return of machines until requests are served
};

class Zones : public Cluster
{
  public:
    Zones(uint64_t seed, int disks, int zones = 3, int zones_lost = 1)
        : Cluster(seed, options_of(disks, zones, zones_lost))
    {
        seed_ = seed;
        callers_load(&c, 2, 15000);
        run(2000 + cluster_pick(&c, 8000));
    }
    // The controllers with a disk that were not replaced.
    std::vector<host *> controllers(const char *zone = nullptr)
    {
        std::vector<host *> found;
        for (int64_t i = 0; i < c.n; i++) {
            host *h = c.hosts[i];
            if (h->kind == HOST_CONTROLLER && h->with_disk && !h->removed && (!zone || !strcmp(h->zone, zone)))
                found.push_back(h);
        }
        return found;
    }
    host *any_controller()
    {
        std::vector<host *> all = controllers();
        return all[(size_t)cluster_pick(&c, (int64_t)all.size())];
    }
    // The controller is lost for good; its successor starts at another address in the same zone.
    void replace(host *lost)
    {
        host_kill(lost, 1);
        run(cluster_pick(&c, 3000));
        cluster_replace(lost);
    }
    void replace_zone(const char *zone)
    {
        std::vector<host *> lost = controllers(zone);
        for (host *h : lost)
            host_kill(h, 1);
        run(cluster_pick(&c, 3000));
        for (host *h : lost)
            cluster_replace(h);
    }
    void kill_zone(const char *zone)
    {
        for (host *h : controllers(zone))
            host_kill(h, 1);
    }
    void boot_zone(const char *zone)
    {
        for (host *h : controllers(zone))
            host_boot(h, 0);
    }
    // All controllers of a zone lose power for a while. wiped: their disks come back empty.
    void lose_zone(const char *zone, bool wiped)
    {
        kill_zone(zone);
        for (host *h : controllers(zone))
            if (wiped)
                host_wipe(h);
        run(200 + cluster_pick(&c, 6000));
        boot_zone(zone);
    }
    // Until a change of the configuration is acknowledged.
    void expect_acknowledged(const char *after)
    {
        int64_t version = c.acked_version, from_us = c.now_us;
        while (c.acked_version == version && c.now_us - from_us < RECOVERY_MS * 1000LL) {
            if (!operator_n_pending(&c))
                operator_change(&c, 0, 0);
            run(100);
        }
        EXPECT_GT(c.acked_version, version)
            << "nothing is acknowledged after " << after << ", seed " << seed_ << trace();
    }

  private:
    static cluster_options options_of(int disks, int zones, int zones_lost)
    {
        cluster_options options = {};
        options.disks = disks, options.diskless = 1, options.agents = 6;
        options.zones_lost = zones_lost, options.zones = zones;
        return options;
    }
};

const std::string zone_name(int64_t zone) { return "z" + std::to_string(zone); }

} // namespace

// Guards against a vote that is never passed on: spare learners of other zones kept the successor in the zone of the
// lost voter out, and the next loss of a zone ended the log.
TEST(ClusterZones, SuccessorInTheZoneOfALostVoterGetsItsVote)
{
    for (int disks : {5, 6, 7})
        for (uint64_t seed : seeds(8)) {
            SCOPED_TRACE(std::to_string(disks) + " controllers, seed " + std::to_string(seed));
            Zones cluster(seed, disks);
            host *lost = cluster.any_controller();
            std::string zone = lost->zone;
            cluster.replace(lost);
            cluster.run(CATCH_UP_MS);
            cluster.expect_acknowledged("a controller was replaced");
            std::string next = zone_name((zone[1] - '0' + 1 + cluster_pick(&cluster.c, 2)) % 3);
            cluster.lose_zone(next.c_str(), true);
            cluster.expect_acknowledged("another zone lost its disks");
            cluster.close();
        }
}

// Guards against the loss of the majority although no zone is lost: the votes of two controllers that were replaced one
// after another were both not passed on.
TEST(ClusterZones, TwoControllersReplacedOneAfterAnother)
{
    for (uint64_t seed : seeds(20)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Zones cluster(seed, 6);
        for (int i = 0; i < 2; i++) {
            cluster.replace(cluster.any_controller());
            cluster.run(20000);
            cluster.expect_acknowledged("a controller was replaced");
        }
        cluster.close();
    }
}

// Guards against both, in fleets of 5 to 8 controllers in 3 or 4 zones: replacements of a controller or a zone, and
// losses of a zone with or without its disks, each once the one before no longer counts as lost.
TEST(ClusterZones, LossesOneAfterAnother)
{
    for (uint64_t seed : seeds(24)) {
        int zones = 3 + (int)(seed % 2), disks = 5 + (int)(seed / 2 % 4);
        SCOPED_TRACE(std::to_string(disks) + " controllers in " + std::to_string(zones) + " zones, seed " +
                     std::to_string(seed));
        Zones cluster(seed, disks, zones);
        for (int i = 0; i < 4; i++) {
            std::string zone = zone_name(cluster_pick(&cluster.c, zones));
            switch (cluster_pick(&cluster.c, 4)) {
            case 0: cluster.replace(cluster.any_controller()); break;
            case 1: cluster.replace_zone(zone.c_str()); break;
            default: cluster.lose_zone(zone.c_str(), cluster_pick(&cluster.c, 2)); break;
            }
            cluster.run(CATCH_UP_MS);
        }
        cluster.expect_acknowledged("four losses");
        cluster.close();
    }
}

// Guards against a lost voter that nobody may replace and that keeps another one from being replaced: of two zones that
// are lost, one is replaced; the other one stays away while a third is lost.
TEST(ClusterZones, VoteIsPassedOnWhileAnotherZoneStaysAway)
{
    for (uint64_t seed : seeds(8)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Zones cluster(seed, 10, 5, 2);
        int64_t away = cluster_pick(&cluster.c, 5), replaced = (away + 1 + cluster_pick(&cluster.c, 4)) % 5, third = 0;
        while (third == away || third == replaced)
            third++;
        cluster.kill_zone(zone_name(away).c_str());
        cluster.run(cluster_pick(&cluster.c, 500));
        cluster.replace_zone(zone_name(replaced).c_str());
        cluster.run(CATCH_UP_MS);
        cluster.kill_zone(zone_name(third).c_str());
        cluster.expect_acknowledged("a third zone was lost");
        cluster.boot_zone(zone_name(third).c_str());
        cluster.boot_zone(zone_name(away).c_str());
        cluster.close();
    }
}

// Guards against a voter that is never replaced where there are too few zones to bear the loss of one: two of three
// voters are in one zone. Still any one controller may be lost.
TEST(ClusterZones, VoterIsReplacedWhereThereAreTooFewZones)
{
    for (uint64_t seed : seeds(6)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Zones cluster(seed, 4, 2);
        cluster.replace(cluster.any_controller());
        cluster.run(CATCH_UP_MS);
        for (host *lost : cluster.controllers()) {
            host_kill(lost, 1);
            cluster.expect_acknowledged("a controller was lost");
            host_boot(lost, 0);
            cluster.run(CATCH_UP_MS);
        }
        cluster.close();
    }
}
