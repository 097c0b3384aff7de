// What a controller does between the failure of its disk at the start and the next attempt to open it.
#include <gtest/gtest.h>

#include "cluster_trace.h"

extern "C" {
#include "base/events.h"
#include "base/frame.h"
#include "controller/controller_state.h"
#include "sim/cluster.h"
}

namespace
{

enum { SEEDS = 12, FAULT_MS = 1500 };

// Whether the identity of the controller has been read, and its log has not, so that it looks empty.
bool only_identity_read(const host *h)
{
    return h->controller->log.broken && h->controller->id && controller_empty(h->controller);
}

void send_first_voters(struct cluster *c, host *to, const struct log_members *members)
{
    struct bytes frame = {};
    frame_build(&frame, FRAME_BOOTSTRAP_MEMBERS, (uint32_t)hash_text("sim"), cluster_controller(c, 0)->base.self,
                &log_members_schema, members);
    controller_on_frame(to->controller, frame.at, frame.len);
    bytes_free(&frame);
}

} // namespace

// Guards against a log that is begun again over the one on a disk that could not be read yet: the list of the first
// voters may arrive late.
TEST(ClusterDiskOpen, ListOfFirstVotersIsIgnoredUntilTheLogIsRead)
{
    int64_t tried = 0;
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        struct cluster c;
        cluster_start(&c, seed, 3, 1, 8);
        cluster_run(&c, 1000);
        operator_first_config(&c);
        cluster_run(&c, 4000);
        c.fault_free = 0;
        host *failing = cluster_controller(&c, 1);
        struct log_members members = {};
        schema_copy(&log_members_schema, &members, &failing->controller->log.members);
        host_kill(failing, 0);
        host_disk_fail(failing, DISK_FAILS_SOMETIMES, FAULT_MS);
        host_boot(failing, 0);
        cluster_run(&c, FAULT_MS + 100);
        if (only_identity_read(failing)) {
            int64_t bootstraps = c.n_events[EV_FOUNDED];
            tried++;
            send_first_voters(&c, failing, &members);
            EXPECT_EQ(c.n_events[EV_FOUNDED], bootstraps) << "seed " << seed << trace_of(&c);
        }
        schema_free(&log_members_schema, &members);
        cluster_run(&c, 6000);
        EXPECT_FALSE(failing->controller->log.broken) << "seed " << seed;
        EXPECT_GT(failing->controller->log.commit, 0) << "seed " << seed;
        cluster_finish(&c);
        EXPECT_EQ(c.n_violations, 0) << "seed " << seed << trace_of(&c);
        cluster_free(&c);
    }
    EXPECT_GT(tried, 0);
}
