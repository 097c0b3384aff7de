// Kills and freezes the sender or the receiver of each message of the reserve, commit,
// start, report and acknowledge steps, just after the message was sent.
#include "fleet.h"

namespace
{

struct Point {
    const char *name;
    int kind;
};

const Point kPoints[] = {
    {"reserve", FRAME_RESERVE},
    {"reserved", FRAME_RESERVED},
    {"propose", FRAME_PROPOSE},
    {"append", FRAME_APPEND},
    {"appended", FRAME_APPENDED},
    {"proposed", FRAME_PROPOSED},
    {"start", FRAME_START},
    {"orders", 0},
    {"ended", FRAME_ENDED},
    {"acknowledge", FRAME_ENDED_ACK},
    {"go", FRAME_GANG_START},
    {"check", FRAME_CHECK},
    {"send on", FRAME_FORWARD_REQUEST},
    {"feed", FRAME_CONTROL_UPDATES},
    {"news", FRAME_CONTROL_UPDATES_NOTICE},
};

std::string gang(const std::string &key)
{
    return Fleet::one_step(key, "stock", "q", "\"gang\":true," + Fleet::tasks(3, "ms=1500", 2));
}

void run_points(int64_t freeze_ms)
{
    for (const Point &point : kPoints)
        for (int receiver = 0; receiver < 2; receiver++)
            for (uint64_t seed : seeds(1)) {
                SCOPED_TRACE(std::string(point.name) + (receiver ? " heard" : " spoken") + " seed " +
                             std::to_string(seed));
                Fleet f(seed * 100 + (uint64_t)point.kind, 9, 6);
                f.run(6000);
                caller *load = sim_load(&f.s, 900, 10);
                f.run(1000);
                f.s.trap.kind = point.kind;
                bool rare = point.kind == FRAME_GANG_START || point.kind == FRAME_CHECK;
                f.s.trap.nth = 1 + sim_pick(&f.s, rare ? 4 : 20);
                f.s.trap.receiver = receiver;
                f.s.trap.freeze_ms = freeze_ms;
                f.s.trap.armed = 1;
                for (int i = 0; i < 6; i++) // gangs and longer work, so that every kind of frame is sent
                    f.post(gang("g" + std::to_string(i)));
                // only a change sends a notice
                for (int64_t i = 0; point.kind == FRAME_CONTROL_UPDATES_NOTICE && i < 4; i++)
                    f.request(f.any(), "PUT", "/v1/settings/branch?expect=" + std::to_string(i) + "&path=root/x",
                              "{\"weight\":" + std::to_string(5 + i) + "}");
                f.run(6000);
                EXPECT_TRUE(f.s.trap.triggered);
                machine *victim = f.s.trap.victim;
                EXPECT_LE(f.service_back("point"), 12000);
                f.run(2000);
                if (victim && !victim->up && victim->kind != M_CALLER)
                    sim_restart(victim);
                EXPECT_EQ(f.settle(load), 0);
                EXPECT_EQ(sim_load_state(&f.s, "done") + sim_load_state(&f.s, "failed"), load->n_jobs);
                EXPECT_EQ(f.breaches(), "");
            }
}

TEST(Points, Killed) { run_points(0); }
TEST(Points, FrozenBriefly) { run_points(1000); }
TEST(Points, FrozenUntilItsDutiesMoved) { run_points(6000); }

} // namespace
