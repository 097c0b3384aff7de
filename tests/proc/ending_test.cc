// Requests at the moment a process ends: none reaches a role that is gone, and none that may have been taken is
// refused.
#include "plain_caller.h"
#include "relay_client.h"

using namespace proc_rig;

namespace
{

enum { MOST_MS = 60000, BOOT_TURNS = 20000 };

struct Role {
    int64_t handed_on = 0, slot = 0;
};

} // namespace

TEST(Ending, what_arrives_after_the_role_has_ended_is_refused_and_not_handed_on)
{
    Role role;
    uint16_t port;
    std::unique_ptr<PlainCaller> waiting, late;
    {
        Rig rig;
        int fd = listen_anywhere();
        port = port_of(fd);
        close(fd);
        rig.runtime.role.arg = &role;
        rig.runtime.role.on_request = [](void *arg, int64_t slot, const struct http_request *) {
            ((Role *)arg)->handed_on++;
            ((Role *)arg)->slot = slot;
        };
        int64_t addrs[LISTENERS_MAX] = {(int64_t)loopback(port)};
        ASSERT_EQ(http_server_start_listeners(&rig.runtime, addrs), 0);
        waiting = std::make_unique<PlainCaller>(loopback(port));
        late = std::make_unique<PlainCaller>(loopback(port));
        waiting->send_text(post("/first"));
        ASSERT_TRUE(rig.until([&] { return role.handed_on == 1; }, MOST_MS));
        late->send_text(post("/late")); // it lies in the socket when the process ends
    }
    EXPECT_EQ(role.handed_on, 1) << "a request was handed to a role that had ended";
    waiting->read();
    late->read();
    EXPECT_EQ(waiting->status(), 503);
    EXPECT_EQ(late->status(), 503) << late->in;
}

// A controller that is ended while a leader may still take what it sent on: 504, and the job may be there or not.
TEST(Ending, what_was_sent_on_gets_no_refusal)
{
    Cluster cluster(1, 3, 1, &relay_codec);
    Ledger ledger;
    Client operators(cluster, ledger, 0);
    ASSERT_TRUE(cluster.until([&] { return ledger.newest > 0; }, BOOT_TURNS, [&] { operators.turn(true); }));
    size_t outer = 3;
    PlainCaller poster(cluster.machines[outer]->http_addr), reader(cluster.machines[outer]->http_addr);
    reader.send_text(get("/config"));
    ASSERT_TRUE(cluster.until([&] { return reader.status() == 200; }, BOOT_TURNS, [&] { reader.again("/config"); }));
    size_t leader = cluster.leader();
    ASSERT_LT(leader, cluster.machines.size());
    const struct record *record = controller_record(cluster.machines[leader]->process->controller);
    cluster.links[{leader, outer}]->held_until_ms = Cluster::now_ms() + BOOT_TURNS; // its answer does not come
    reader.in.clear();
    poster.send_text(post("/job/77"));
    reader.send_text(get("/why/77"));
    ASSERT_TRUE(cluster.until([&] { return record_job(record, 0x77) != nullptr; }, BOOT_TURNS));
    controller_give_up(cluster.machines[outer]->process->controller);
    cluster.kill(outer);
    poster.read();
    reader.read();
    EXPECT_EQ(poster.status(), 504) << "a job that was taken is refused: " << poster.in;
    EXPECT_EQ(reader.status(), 503) << reader.in;
}
