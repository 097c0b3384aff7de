// Operators of a simulated cluster: they send changes and readings to random controllers; what they observe must be the
// history of a register.
#pragma once
#include "cluster_run.h"
#include "config_register.h"

namespace
{

// Ends the faults. All changes then get a definite result, and what the operators observed is a register's history.
inline void operators_end(Cluster &s)
{
    s.c.answers_lost_pct = 0;
    cluster_heal(&s.c);
    for (int i = 0; i < 60 && operator_open(&s.c); i++)
        s.run(500);
    EXPECT_EQ(operator_open(&s.c), 0) << s.story();
    operator_read(&s.c);
    s.run(2000);
    std::string found = config_register::check(config_register::calls_of(&s.c));
    EXPECT_EQ(found, "") << s.story();
}

// Sends changes and readings to random controllers for ms, so to each side of a cut. orders: changes in flight.
inline void operate(Cluster &s, int64_t ms, int64_t orders)
{
    for (int64_t k = 0; k < ms; k += 500) {
        if (operator_open(&s.c) < orders)
            operator_crowd(&s.c, orders - operator_open(&s.c));
        operator_read(&s.c);
        s.run(250);
        operator_read(&s.c);
        s.run(250);
    }
}

} // namespace
