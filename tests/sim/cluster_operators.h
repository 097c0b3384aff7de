// Operators of a simulated cluster: they send changes and readings to random controllers; what they observe must be the
// history of a register.
#pragma once
#include "cluster_run.h"
#include "config_register.h"

namespace
{

// Ends the faults. All changes then get a definite result, and what the operators observed is a register's history.
inline void operators_finish(Cluster &cluster)
{
    cluster.c.lost_responses_pct = 0;
    cluster_heal(&cluster.c);
    for (int i = 0; i < 60 && operator_n_pending(&cluster.c); i++)
        cluster.run(500);
    EXPECT_EQ(operator_n_pending(&cluster.c), 0) << cluster.trace();
    operator_read(&cluster.c);
    cluster.run(2000);
    std::string violation = config_register::check(config_register::calls_of(&cluster.c));
    EXPECT_EQ(violation, "") << cluster.trace();
}

// Sends changes and readings to random controllers for ms, so to each side of a cut. in_flight: changes without a
// result at a time.
inline void operators_run(Cluster &cluster, int64_t ms, int64_t in_flight)
{
    for (int64_t k = 0; k < ms; k += 500) {
        if (operator_n_pending(&cluster.c) < in_flight)
            operator_send_many(&cluster.c, in_flight - operator_n_pending(&cluster.c));
        operator_read(&cluster.c);
        cluster.run(250);
        operator_read(&cluster.c);
        cluster.run(250);
    }
}

} // namespace
