// Requests that arrive while a process shuts down; guards against a request that is passed to a role that has ended,
// and against a refusal of a request that may have been accepted.
#include "raw_client.h"
#include "relay_client.h"

using namespace proc_rig;

namespace
{

enum { MAX_MS = 60000, BOOT_TURNS = 20000 };

struct Role {
    int64_t passed_on = 0, slot = 0;
};

} // namespace

TEST(Shutdown, a_request_after_the_role_has_ended_is_refused_and_not_passed_on)
{
    Role role;
    uint16_t port;
    std::unique_ptr<RawClient> first, late;
    {
        Rig rig;
        int fd = listen_anywhere();
        port = port_of(fd);
        close(fd);
        rig.runtime.role.arg = &role;
        rig.runtime.role.on_request = [](void *arg, int64_t slot, const struct http_request *) {
            ((Role *)arg)->passed_on++;
            ((Role *)arg)->slot = slot;
        };
        int64_t addrs[LISTENERS_MAX] = {(int64_t)loopback(port)};
        ASSERT_EQ(http_server_start_listeners(&rig.runtime, addrs), 0);
        first = std::make_unique<RawClient>(loopback(port));
        late = std::make_unique<RawClient>(loopback(port));
        first->send_text(post("/first"));
        ASSERT_TRUE(rig.until([&] { return role.passed_on == 1; }, MAX_MS));
        late->send_text(post("/late")); // still unread in the socket when the process ends
    }
    EXPECT_EQ(role.passed_on, 1) << "a request was passed to a role that had ended";
    first->read();
    late->read();
    EXPECT_EQ(first->status(), 503);
    EXPECT_EQ(late->status(), 503) << late->received;
}

// A controller ends while the leader may still accept the request that it forwarded: the client gets a 504, and the job
// may exist or not.
TEST(Shutdown, a_forwarded_request_is_not_refused)
{
    Cluster cluster(1, 3, 1, &relay_codec);
    Ledger ledger;
    Client operators(cluster, ledger, 0);
    ASSERT_TRUE(cluster.until([&] { return ledger.newest_version > 0; }, BOOT_TURNS, [&] { operators.turn(true); }));
    size_t relay_machine = 3;
    RawClient poster(cluster.machines[relay_machine]->http_addr), reader(cluster.machines[relay_machine]->http_addr);
    reader.send_text(get("/config"));
    ASSERT_TRUE(cluster.until([&] { return reader.status() == 200; }, BOOT_TURNS,
                              [&] { reader.retry_if_unavailable("/config"); }));
    size_t leader = cluster.leader();
    ASSERT_LT(leader, cluster.machines.size());
    const struct record *record = controller_record(cluster.machines[leader]->process->controller);
    cluster.links[{leader, relay_machine}]->held_until_ms =
        Cluster::now_ms() + BOOT_TURNS; // its response does not arrive
    reader.received.clear();
    poster.send_text(post("/job/77"));
    reader.send_text(get("/why/77"));
    ASSERT_TRUE(cluster.until([&] { return record_job(record, 0x77) != nullptr; }, BOOT_TURNS));
    controller_give_up(cluster.machines[relay_machine]->process->controller);
    cluster.kill(relay_machine);
    poster.read();
    reader.read();
    EXPECT_EQ(poster.status(), 504) << "a job that was accepted is refused: " << poster.received;
    EXPECT_EQ(reader.status(), 503) << reader.received;
}
