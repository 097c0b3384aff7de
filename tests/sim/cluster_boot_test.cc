// Two starts of a process are told apart, also where the time of day gives both the same ms.
// SAGEHITCH_SEEDS=N or FIRST-LAST for a longer sweep.
#include <gtest/gtest.h>

#include <string>

#include "seeds.h"

extern "C" {
#include "agent/agent_state.h"
#include "controller/controller_state.h"
#include "sim/cluster.h"
}

// A controller that sent a request on must not take the answer to one of its former start's.
TEST(ClusterBoot, StartsInTheSameMsAreToldApart)
{
    for (uint64_t seed : seeds(20)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        struct cluster c;
        cluster_start(&c, seed, 3, 1, 2);
        cluster_run(&c, 5000);
        for (host *h : {cluster_any_controller(&c), c.hosts[c.n - 1]}) {
            host_restart(h);
            auto boot = [&] { return h->controller ? h->controller->setup.boot : h->agent->setup.boot; };
            int64_t former = boot(), wall_ms = h->base.calls->wall_ms(&h->base);
            cluster_run(&c, 500);
            host_skew(h, -500);
            host_restart(h);
            EXPECT_EQ(h->base.calls->wall_ms(&h->base), wall_ms);
            EXPECT_NE(boot(), former) << h->name << ": two starts have one name";
        }
        cluster_free(&c);
    }
}
