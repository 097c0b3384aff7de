// Members of the core that come back after hundreds of changes, with their disk, an empty one or an older
// copy of it, under steady writes, also over a slow link. Snapshots are taken often, so that they are sent.
#include <gtest/gtest.h>

#include <string>

#include "cluster_trace.h"
#include "seeds.h"

extern "C" {
#include "base/events.h"
#include "controller/controller_state.h"
#include "sim/cluster.h"
}

namespace
{

enum DiskKind { DISK_SAME, DISK_EMPTY, DISK_OLD };

const struct cluster_log OFTEN = {60, 20, 16 << 10};

class Site
{
  public:
    struct cluster c;
    std::vector<int64_t> copied_at = std::vector<int64_t>(CLUSTER_HOSTS);
    explicit Site(uint64_t seed, const struct cluster_log &log = OFTEN, int agents = 8)
    {
        cluster_start_with_log(&c, seed, 3, 0, agents, &log);
        cluster_run(&c, 1000);
        operator_first_config(&c);
        cluster_run(&c, 2000);
        callers_load(&c, 2, 1000000);
    }
    ~Site()
    {
        EXPECT_EQ(c.n_violations, 0) << trace();
        cluster_free(&c);
    }
    std::string trace() { return trace_of(&c); }
    host *core(int64_t n) { return cluster_controller(&c, n); }
    static struct log *log_of(host *h) { return h->up && h->controller ? &h->controller->log : nullptr; }
    host *leader()
    {
        for (int i = 0; i < 200 && !cluster_leader(&c); i++)
            cluster_run(&c, 50);
        return cluster_leader(&c);
    }
    // one after another, each acknowledged; what a read then gives is judged
    void changes(int n)
    {
        for (int i = 0; i < n; i++) {
            int64_t before = c.acked_version;
            operator_change(&c, 0, 0);
            for (int k = 0; k < 2500 && c.acked_version == before; k++)
                cluster_run(&c, 4);
            ASSERT_NE(c.acked_version, before) << "change " << i << " is not acknowledged in 10 s";
            if (i % 25 == 0)
                operator_read(&c);
        }
    }
    // ms until it holds what was committed when this began, and votes; -1: not in most_ms. Writes go on, one each 100
    // ms.
    int64_t caught_up(host *h, int64_t most_ms)
    {
        int64_t from_us = c.now_us, target = log_of(leader()) ? log_of(leader())->commit : INT64_MAX;
        for (int64_t ms = 0; ms < most_ms; ms += 20) {
            struct log *log = log_of(h);
            if (log && !log->broken && log->applied >= target && log_is_voter(log, log->id))
                return (c.now_us - from_us) / 1000;
            if (ms % 100 == 0)
                operator_change(&c, 0, 0);
            cluster_run(&c, 20);
        }
        ADD_FAILURE() << told(h) << told(leader());
        return -1;
    }
    std::string told(host *h)
    {
        struct log *log = log_of(h);
        if (!log)
            return std::string(h ? h->name : "nobody") + " is down\n";
        std::string all = std::string(h->name) + " role " + std::to_string(log->role) + " term " +
                          std::to_string(log->term) + " first " + std::to_string(log->first_index) + " last " +
                          std::to_string(log_last(log)) + " commit " + std::to_string(log->commit) + " snapshot " +
                          std::to_string(log->snapshot_index) + " broken " + std::to_string(log->broken) + "\n";
        for (int64_t i = 0; log->role == LOG_LEADER && i < log->n_peers; i++) {
            const struct log_peer *p = &log->peers[i];
            all += "  peer next " + std::to_string(p->next) + " match " + std::to_string(p->match) + " base " +
                   std::to_string(p->in_flight_base) + " copying " + std::to_string(p->snapshot_sent_index) +
                   " offset " + std::to_string(p->offset) + " chunks " + std::to_string(p->chunks) + "\n";
        }
        return all;
    }
    void down(host *h, enum DiskKind disk)
    {
        c.fault_free = 0;
        host_kill(h, 1);
        if (disk == DISK_EMPTY)
            host_wipe(h);
        if (disk == DISK_OLD)
            host_disk_rewind(h);
    }
    void copy_disks()
    {
        for (int i = 0; i < 3; i++)
            host_disk_copy(core(i));
    }
    void close()
    {
        c.load_until_us = c.now_us;
        cluster_finish(&c);
    }
};

// Each member is away once for away_ms while changes go on, and comes back with such a disk.
void each_restarted(enum DiskKind disk, int64_t away_ms, int away_changes, int64_t most_ms, int fixed = 2)
{
    for (uint64_t seed : seeds(fixed)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Site s(seed);
        s.changes(30);
        s.copy_disks();
        s.changes(120);
        for (int i = 0; i < 3; i++) {
            host *h = s.core(i);
            s.down(h, disk);
            cluster_run(&s.c, away_ms);
            s.changes(away_changes);
            host_boot(h, 0);
            int64_t took_ms = s.caught_up(h, most_ms);
            EXPECT_GE(took_ms, 0) << h->name << " never caught up\n" << s.trace();
            operator_read(&s.c);
            cluster_run(&s.c, 1500);
        }
        EXPECT_GT(s.c.n_events[EV_DIGEST_TAKEN], 0) << "no snapshot was sent";
        s.close();
    }
}

} // namespace

TEST(Cluster, EachRestartedAfterChanges) { each_restarted(DISK_SAME, 100, 60, 5000); }
TEST(Cluster, EachRestartedOld) { each_restarted(DISK_SAME, 25000, 60, 5000); }
TEST(Cluster, EachRestartedEmpty) { each_restarted(DISK_EMPTY, 100, 60, 10000); }
TEST(Cluster, EachRestartedWithOlderDisk)
{
    each_restarted(DISK_OLD, 100, 60, 5000);
    each_restarted(DISK_OLD, 100, 2, 5000); // the leader still has what it had acknowledged
}

TEST(Cluster, CaughtUpOverSlowLink)
{
    for (uint64_t seed : seeds(2))
        for (enum DiskKind disk : {DISK_SAME, DISK_EMPTY, DISK_OLD}) {
            SCOPED_TRACE("seed " + std::to_string(seed) + " disk " + std::to_string(disk));
            Site s(seed);
            s.changes(30);
            s.copy_disks();
            s.changes(300);
            host *h = s.core((int64_t)seed % 3);
            s.down(h, disk);
            s.changes(200);
            h->link_kbit_s = 2000;
            host_boot(h, 0);
            host *lead = s.leader();
            int64_t term = s.log_of(lead)->term;
            EXPECT_GE(s.caught_up(h, 30000), 0) << "never caught up\n" << s.trace();
            EXPECT_EQ(s.log_of(s.leader())->term, term) << "an election because of the slow link\n" << s.trace();
            operator_read(&s.c);
            cluster_run(&s.c, 2000);
            h->link_kbit_s = 0;
            s.close();
        }
}

// Over a link of 800 kbit/s an empty member takes long; it gets its vote when it holds all but the newest
// writes, which go on, and not before.
TEST(Cluster, LearnerBehindGetsNoVote)
{
    for (uint64_t seed : seeds(2)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Site s(seed, {200, 20, 16 << 10});
        s.changes(250);
        host *h = s.core((int64_t)seed % 3);
        s.down(h, DISK_EMPTY);
        cluster_run(&s.c, 3000);
        h->link_kbit_s = 800;
        host_boot(h, 0);
        int64_t target = s.log_of(s.leader())->commit, learnt_ms = 0, voted_ms = 0;
        for (int64_t ms = 0; ms < 60000 && !voted_ms; ms += 20) {
            struct log *lead = s.log_of(s.leader()), *log = s.log_of(h);
            const struct log_member *member = lead && log ? log_member(lead, log->id) : nullptr;
            if (member && !learnt_ms)
                learnt_ms = ms;
            if (member && log_votes_after_change(member)) {
                voted_ms = ms;
                EXPECT_GE(log_last(log), target) << "votes before it holds what was committed\n" << s.told(h);
            }
            if (ms % 200 == 0)
                operator_change(&s.c, 0, 0);
            cluster_run(&s.c, 20);
        }
        EXPECT_GT(voted_ms, learnt_ms) << "a learner under steady writes gets no vote\n"
                                       << s.told(h) << s.told(s.leader());
        EXPECT_GT(voted_ms, 400) << "the link was too fast to see it";
        h->link_kbit_s = 0;
        cluster_run(&s.c, 2000);
        s.close();
    }
}

// An entry of 4 MiB takes 16.8 s over 2 Mbit/s, and the heartbeats of that member wait behind it: it asks for
// votes meanwhile and unseats nobody, and the entry goes to it once, so its link is free again when it is there.
TEST(Cluster, LargeEntryOverSlowLinkUnseatsNobody)
{
    for (uint64_t seed : seeds(2)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Site s(seed);
        s.changes(20);
        host *lead = s.leader(), *slow = s.core(0) == lead ? s.core(1) : s.core(0);
        struct log *log = s.log_of(lead), *far = s.log_of(slow);
        int64_t term = log->term, asked = 0, behind_ms = 0, others_ms = 0;
        struct bytes body = {};
        std::string text(4 << 20, 'x');
        bytes_add(&body, text.data(), (int64_t)text.size());
        slow->link_kbit_s = 2000;
        log_propose(log, ENTRY_NOOP, &body, nullptr, nullptr, 0);
        int64_t index = log_last(log);
        bytes_free(&body);
        for (int64_t ms = 0; ms < 30000; ms += 20) {
            cluster_run(&s.c, 20);
            ASSERT_EQ(s.log_of(lead), log);
            ASSERT_EQ(log->role, LOG_LEADER) << s.trace();
            asked += far->role == LOG_PRE_CANDIDATE;
            behind_ms = far->applied < index ? ms : behind_ms;
            others_ms = log->commit < index ? ms : others_ms;
        }
        EXPECT_EQ(log->term, term) << "an election because of a slow link\n" << s.trace();
        EXPECT_GT(asked, 0) << "its heartbeats did not wait";
        EXPECT_LT(others_ms, 1000) << "the others waited for it";
        EXPECT_LT(behind_ms, 20000) << s.told(lead) << s.told(slow);
        EXPECT_LT(slow->in_free_us - s.c.now_us, 1000000) << "its link is filled with the same again";
        printf("4 MiB over 2 Mbit/s: committed after %lld ms, there after %lld ms, %lld ms without a leader\n",
               (long long)others_ms, (long long)behind_ms, (long long)asked * 20);
        slow->link_kbit_s = 0;
        s.close();
    }
}

// Figures, with SAGEHITCH_FIGURES: ms until a member holds all and votes, and bytes of the snapshot.
TEST(Cluster, CatchUpFigures)
{
    if (!getenv("SAGEHITCH_FIGURES"))
        GTEST_SKIP();
    const struct cluster_log shipped = {0, 0, 0};
    for (int changes : {50, 400, 2000})
        for (int64_t kbit_s : {0, 2000})
            for (enum DiskKind disk : {DISK_EMPTY, DISK_SAME}) {
                Site s(1, shipped);
                s.changes(changes);
                host *h = s.core(1);
                struct bytes state = {};
                h->controller->log.machine.snapshot(h->controller->log.machine.arg, &state);
                s.down(h, disk);
                cluster_run(&s.c, 25000);
                h->link_kbit_s = kbit_s;
                host_boot(h, 0);
                printf("changes %d kbit/s %lld disk %s: %lld ms; state %lld bytes, entries %lld, first kept %lld\n",
                       changes, (long long)kbit_s, disk == DISK_EMPTY ? "empty" : "25 s old",
                       (long long)s.caught_up(h, 60000), (long long)state.len,
                       (long long)log_last(s.log_of(s.leader())), (long long)s.log_of(s.leader())->first_index);
                bytes_free(&state);
                h->link_kbit_s = 0;
            }
}
