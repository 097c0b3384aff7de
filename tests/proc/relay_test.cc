// Requests through the relay; guards against a response that reaches another request, and against lost or repeated
// jobs. Thousands of requests are sent to several controllers and forwarded to a leader that changes, while controllers
// restart, links are cut within frames, held and slow, and clients disconnect.
#include "raw_client.h"
#include "relay_client.h"
#include "tests/sim/seeds.h"

extern "C" {
#include "controller/controller_state.h"
}

using namespace proc_rig;

namespace
{

enum { CALLERS = 24, FAULT_TURNS = 12000, QUIET_TURNS = 30000, BOOT_TURNS = 20000, LEADER_TURNS = 2500 };

struct Totals {
    int64_t responses = 0, explanations = 0, lost = 0, timeouts = 0, cuts = 0, restarts = 0, terms = 0;
};

class RelayTest
{
    Cluster cluster;
    Ledger ledger;
    std::vector<std::unique_ptr<Client>> clients;
    Totals counts;
    size_t leader = 0; // the machine that leads now
    int64_t term = 0;  // the newest term seen

    void turn_clients(bool more)
    {
        for (auto &client : clients)
            client->turn(more);
        leader = cluster.leader();
        if (leader == cluster.machines.size())
            return;
        int64_t now = cluster.machines[leader]->process->controller->log.term;
        counts.terms += now != term;
        term = now;
    }
    void restart(size_t machine)
    {
        for (auto &client : clients)
            client->machine_ends(machine);
        cluster.kill(machine);
        cluster.boot(machine, false);
        counts.restarts++;
    }
    size_t any_machine() { return cluster.random_below(cluster.machines.size()); }
    size_t leader_or_any() { return leader < cluster.machines.size() ? leader : any_machine(); }
    void slow(size_t sender, int64_t delay_ms)
    {
        for (auto &[ends, link] : cluster.links)
            if (ends.first == sender)
                link->delay_ms = delay_ms;
    }
    void run_turns(int64_t turns)
    {
        cluster.until([] { return false; }, turns, [&] { turn_clients(true); });
    }
    // Restarts a machine twice within a short time, so that both processes use the same request numbers. Requests of
    // the first are still in transit when it ends, and their responses arrive at the second.
    void restart_twice_with_requests_in_transit(size_t machine)
    {
        slow(machine, 120 + (int64_t)cluster.random_below(250));
        restart(machine);
        run_turns(80);
        restart(machine);
        run_turns(400);
        slow(machine, 0);
    }
    void inject_random_fault()
    {
        int64_t now_ms = Cluster::now_ms();
        switch (cluster.random_below(6)) {
        case 0: restart(any_machine()); return;
        case 1: restart_twice_with_requests_in_transit(any_machine()); return;
        case 2: restart(leader_or_any()); return;
        case 3: {
            int64_t until_ms = now_ms + 300 + (int64_t)cluster.random_below(1500);
            cluster.each_link_of(leader_or_any(), [&](Link &link) { link.held_until_ms = until_ms; });
            return;
        }
        case 4: {
            int64_t delay_ms = (int64_t)cluster.random_below(500);
            cluster.each_link_of(any_machine(), [&](Link &link) { link.delay_ms = delay_ms; });
            return;
        }
        default: cluster.heal(); return;
        }
    }
    void inject_faults()
    {
        auto link = cluster.links.begin();
        std::advance(link, (long)cluster.random_below(cluster.links.size()));
        if (!cluster.random_below(40))
            link->second->cut((int64_t)cluster.random_below(2000));
        if (cluster.turns % LEADER_TURNS == 0)
            restart(leader_or_any());
        if (!cluster.random_below(350))
            inject_random_fault();
    }
    bool settled()
    {
        for (auto &client : clients)
            if (!client->idle())
                return false;
        size_t leader = cluster.leader();
        if (leader == cluster.machines.size())
            return false;
        const struct controller *l = cluster.machines[leader]->process->controller;
        for (auto &m : cluster.machines)
            if (m->with_disk && m->process->controller->log.applied != l->log.commit)
                return false;
        return true;
    }
    // Checks that each record holds every acknowledged job once, and no job of which every request was refused.
    void check_records()
    {
        for (auto &m : cluster.machines) {
            if (!m->with_disk)
                continue;
            const struct record *record = controller_record(m->process->controller);
            int64_t n_known = 0;
            for (auto &[id, job] : ledger.jobs) {
                bool known = record_job(record, id) != nullptr;
                n_known += known;
                EXPECT_TRUE(known || !job.accepted) << "an acknowledged job is lost";
                EXPECT_TRUE(!known || job.refused < job.sent)
                    << "a job is recorded although each of its requests was refused";
            }
            EXPECT_EQ(record->n_jobs, n_known) << "jobs that no client sent";
        }
        EXPECT_EQ(config_register::check(ledger.configs), "");
    }

  public:
    explicit RelayTest(unsigned seed) : cluster(seed, 3, 2, &relay_codec)
    {
        for (size_t i = 0; i < CALLERS; i++)
            clients.push_back(std::make_unique<Client>(cluster, ledger, i));
    }
    Totals run()
    {
        EXPECT_TRUE(cluster.until([&] { return ledger.newest_version > 0; }, BOOT_TURNS, [&] { turn_clients(true); }))
            << "no first configuration";
        cluster.until([] { return false; }, FAULT_TURNS,
                      [&] {
                          inject_faults();
                          turn_clients(true);
                      });
        cluster.heal();
        EXPECT_TRUE(cluster.until([&] { return settled(); }, QUIET_TURNS, [&] { turn_clients(false); }))
            << "a request gets no response, or the records differ";
        if (!testing::Test::HasFailure())
            check_records();
        for (auto &[ends, link] : cluster.links)
            counts.cuts += link->cuts;
        counts.responses = ledger.responses;
        counts.explanations = ledger.explanations;
        counts.lost = ledger.lost;
        counts.timeouts = ledger.timeouts;
        return counts;
    }
};

// Sends a frame to a machine as if it came from another, and runs the cluster until it has arrived.
void send_frame(Cluster &cluster, size_t from, size_t to, const struct forwarded_request &message)
{
    struct bytes frame = {};
    uint32_t name = (uint32_t)hash_text("test");
    frame_build(&frame, FRAME_REQUEST, name, cluster.machines[from]->addr, &forwarded_request_schema, &message);
    int fd = connect_at(cluster.machines[to]->addr);
    ASSERT_EQ(send(fd, frame.at, (size_t)frame.len, MSG_NOSIGNAL), frame.len);
    bytes_free(&frame);
    cluster.until([] { return false; }, 100);
    close(fd);
}

} // namespace

TEST(Relay, a_request_for_another_term_is_not_accepted)
{
    Cluster cluster(1, 3, 1, &relay_codec);
    Ledger ledger;
    Client operators(cluster, ledger, 0);
    ASSERT_TRUE(cluster.until([&] { return ledger.newest_version > 0; }, BOOT_TURNS, [&] { operators.turn(true); }));
    size_t leader = cluster.leader(), relay_machine = 3;
    ASSERT_LT(leader, cluster.machines.size());
    const struct controller *leads = cluster.machines[leader]->process->controller;
    char host[] = "host", path[] = "/q/", text[] = "";
    struct step_spec step = {};
    step.task_count = 1;
    struct forwarded_request message = {};
    message.boot = message.ticket = 1;
    message.request.host = host;
    message.request.path = path;
    struct job_spec *spec = api_request_make_job(&message.request);
    spec->text = text;
    spec->steps = &step;
    spec->n_steps = 1;
    for (int64_t off : {-1, 1, 0}) {
        message.term = leads->log.term + off;
        spec->id = 100 + off;
        send_frame(cluster, relay_machine, leader, message);
        ASSERT_EQ(cluster.leader(), leader);
        EXPECT_EQ(record_job(controller_record(leads), 100 + off) != nullptr, off == 0)
            << (off ? "a request of another term was accepted" : "a request of the current term was not accepted");
    }
}

// Two starts of a process use the same number for their first request, and the response to the request of the first
// start arrives at the second.
TEST(Relay, a_response_to_a_former_start_of_the_process_is_dropped)
{
    Cluster cluster(1, 3, 1, &relay_codec);
    Ledger ledger;
    Client operators(cluster, ledger, 0);
    ASSERT_TRUE(cluster.until([&] { return ledger.newest_version > 0 && ledger.accepted.size() > 1; }, BOOT_TURNS,
                              [&] { operators.turn(true); }));
    size_t leader = cluster.leader(), relay_machine = 3;
    ASSERT_LT(leader, cluster.machines.size());
    Link &to_leader = *cluster.links[{relay_machine, leader}];
    to_leader.delay_ms = 250;
    std::unique_ptr<RawClient> client;
    char path[40];
    for (int start = 0; start < 2; start++) {
        client.reset();
        cluster.kill(relay_machine);
        cluster.boot(relay_machine, false);
        cluster.until(
            [&] { return directory_leader(&cluster.machines[relay_machine]->process->controller->directory) != 0; },
            BOOT_TURNS);
        snprintf(path, sizeof path, "/why/%016llx", (unsigned long long)ledger.accepted[(size_t)start]);
        client = std::make_unique<RawClient>(cluster.machines[relay_machine]->http_addr);
        client->send_text(get(path));
        cluster.until([] { return false; }, 100);
        EXPECT_EQ(client->status(), 0);
    }
    EXPECT_TRUE(cluster.until([&] { return client->read(), client->status(); }, BOOT_TURNS));
    EXPECT_EQ(client->status(), 200);
    EXPECT_NE(client->received.find(path + strlen("/why/")), std::string::npos) << "got: " << client->received;
}

TEST(Relay, each_response_goes_to_its_request)
{
    Totals all;
    int64_t runs = 0;
    for (uint64_t seed : seeds()) {
        if (HasFailure())
            break;
        runs++;
        Totals counts = RelayTest((unsigned)seed).run();
        EXPECT_FALSE(HasFailure()) << "seed " << seed;
        printf("seed %llu: %lld responses, %lld explanations, %lld lost, %lld timeouts, %lld cuts, %lld restarts, %lld "
               "terms\n",
               (unsigned long long)seed, (long long)counts.responses, (long long)counts.explanations,
               (long long)counts.lost, (long long)counts.timeouts, (long long)counts.cuts, (long long)counts.restarts,
               (long long)counts.terms);
        all.responses += counts.responses;
        all.explanations += counts.explanations;
        all.cuts += counts.cuts;
        all.restarts += counts.restarts;
        all.terms += counts.terms;
        all.lost += counts.lost;
    }
    EXPECT_GT(all.responses, runs * 1000);
    EXPECT_GT(all.explanations, runs * 300);
    EXPECT_GT(all.lost, runs * 30);
    EXPECT_GT(all.cuts, runs * 6);
    EXPECT_GT(all.restarts, runs * 6);
    EXPECT_GT(all.terms, runs * 2);
}
