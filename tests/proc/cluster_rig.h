// Controllers on real sockets in one process: each has its own event loop, frames over TCP and UDP, an HTTP server and
// a disk in memory. Time is virtual, one millisecond per turn, so results do not depend on the load of the machine.
// Frames go through links that can be slow, held or cut.
#ifndef SAGEHITCH_TESTS_CLUSTER_RIG_H
#define SAGEHITCH_TESTS_CLUSTER_RIG_H
#include <map>
#include <random>

#include "link.h"
#include "memory_disk.h"

extern "C" {
#include "controller/controller.h"
}

namespace proc_rig
{

enum { FRAME_PORT = 21000, HTTP_PORT = 21001, TIMER_TURNS = 10 };

struct Cluster;

// One start of a controller. It ends like a killed process: its sockets are closed without any message.
struct Process : Rig {
    Cluster &cluster;
    size_t number;
    struct controller *controller = nullptr;
    std::map<int64_t, int> responses; // by slot
    MemoryDisk &disk;

    Process(Cluster &owner, size_t machine, MemoryDisk &machine_disk)
        : cluster(owner), number(machine), disk(machine_disk)
    {
    }
    ~Process()
    {
        table.answer = http_server_respond; // the clients of waiting requests have disconnected already
        table.send = [](struct world *, uint64_t, struct blob *, int) {};
        if (controller)
            controller_free(controller);
    }
    static Process *process_of(struct world *w) { return (Process *)((struct runtime *)w)->role.arg; }
    void start(bool with_disk, bool first_start, int64_t boot, const struct api_codec *codec);
};

struct Machine {
    uint64_t addr, http_addr;
    bool with_disk;
    MemoryDisk disk;
    std::unique_ptr<Process> process;
    int64_t starts = 0;
    std::vector<std::string> events; // as "NUMBER TEXT"
    // Whether an event with that number and that text was logged.
    bool logged(int number, const std::string &text) const
    {
        std::string begin = std::to_string(number) + " ";
        for (const std::string &event : events)
            if (!event.compare(0, begin.size(), begin) && event.find(text) != std::string::npos)
                return true;
        return false;
    }
};

struct Cluster {
    std::mt19937 random;
    std::vector<std::unique_ptr<Machine>> machines;
    std::map<std::pair<size_t, size_t>, std::unique_ptr<Link>> links;
    std::vector<int64_t> seeds;
    const struct api_codec *codec;
    int64_t turns = 0;
    static int64_t &now_ms()
    {
        static int64_t now = 1000;
        return now;
    }

    // with_disk: number of controllers that may vote; without_disk: number of those that only forward requests.
    Cluster(unsigned seed, size_t with_disk, size_t without_disk, const struct api_codec *api)
        : random(seed), codec(api)
    {
        // each test process has its own address block, so that tests can run in parallel
        uint64_t block = INADDR_LOOPBACK + ((uint64_t)(1 + getpid() % 60000) << 8);
        for (size_t i = 0; i < with_disk + without_disk; i++) {
            auto machine = std::make_unique<Machine>();
            machine->addr = (block + i) << 16 | FRAME_PORT;
            machine->http_addr = (block + i) << 16 | HTTP_PORT;
            machine->with_disk = i < with_disk;
            if (machine->with_disk)
                seeds.push_back((int64_t)machine->addr);
            machines.push_back(std::move(machine));
        }
        for (size_t from = 0; from < machines.size(); from++)
            for (size_t to = 0; to < machines.size(); to++)
                if (from != to)
                    links[{from, to}] = std::make_unique<Link>(machines[to]->addr);
        for (size_t i = 0; i < machines.size(); i++)
            boot(i, true);
    }
    size_t random_below(size_t n) { return random() % n; }
    size_t machine_at(uint64_t addr) const
    {
        for (size_t i = 0; i < machines.size(); i++)
            if (machines[i]->addr == addr)
                return i;
        return machines.size();
    }
    void kill(size_t i) { machines[i]->process.reset(); }
    void boot(size_t i, bool first_start)
    {
        Machine &machine = *machines[i];
        machine.process = std::make_unique<Process>(*this, i, machine.disk);
        machine.process->runtime.base.self = machine.addr;
        machine.process->runtime.base.http_addr = machine.http_addr;
        int64_t boot_number = (now_ms() << 12) + (int64_t)i * 100 + machine.starts++;
        machine.process->start(machine.with_disk, first_start, boot_number, codec);
    }
    // The machine that dispatches now; machines.size(): none, or unknown.
    size_t leader() const
    {
        for (size_t i = 0; i < machines.size(); i++)
            if (machines[i]->process && controller_leads(machines[i]->process->controller))
                return i;
        return machines.size();
    }
    // Applies change to all links to and from a machine.
    template <class Change> void each_link_of(size_t machine, Change change)
    {
        for (auto &[ends, link] : links)
            if (ends.first == machine || ends.second == machine)
                change(*link);
    }
    void send(size_t from, uint64_t to, struct blob *frame, int lossy)
    {
        auto link = links.find({from, machine_at(to)});
        if (link == links.end())
            return;
        struct world *w = &machines[from]->process->runtime.base;
        if (!lossy)
            net_send(w, link->second->addr(), frame, 0);
        else if (now_ms() >= link->second->held_until_ms && random_below(20))
            net_send(w, to, frame, 1);
    }
    void turn()
    {
        now_ms()++;
        turns++;
        for (auto &machine : machines) {
            if (!machine->process)
                continue;
            ev_run(machine->process->runtime.loop, EVRUN_NOWAIT);
            if (turns % TIMER_TURNS == 0) {
                net_on_timer(&machine->process->runtime);
                controller_on_timer(machine->process->controller);
            }
            controller_flush(machine->process->controller);
        }
        for (auto &[ends, link] : links)
            link->turn(now_ms());
    }
    // Runs turns until done() or at most max_turns; returns done().
    bool until(
        const std::function<bool()> &done, int64_t max_turns, const std::function<void()> &between = [] {})
    {
        for (int64_t i = 0; !done() && i < max_turns && !testing::Test::HasFailure(); i++) {
            turn();
            between();
        }
        return done();
    }
    // Ends all delays and cuts.
    void heal()
    {
        for (auto &[ends, link] : links) {
            link->delay_ms = link->held_until_ms = 0;
            link->cut(-1);
        }
    }
};

inline void Process::start(bool with_disk, bool first_start, int64_t boot, const struct api_codec *codec)
{
    table.mono_ms = [](struct world *) { return Cluster::now_ms(); };
    table.wall_ms = [](struct world *) { return 1700000000000 + Cluster::now_ms(); };
    table.send = [](struct world *w, uint64_t to, struct blob *frame, int lossy) {
        process_of(w)->cluster.send(process_of(w)->number, to, frame, lossy);
    };
    table.answer = [](struct world *w, int64_t slot, int status, int64_t retry_ms, const char *body) {
        EXPECT_EQ(++process_of(w)->responses[slot], 1) << "a request was answered twice, now: " << body;
        http_server_respond(w, slot, status, retry_ms, body);
    };
    table.note = [](struct world *w, int event, const char *text) {
        process_of(w)->cluster.machines[process_of(w)->number]->events.push_back(std::to_string(event) + " " + text);
    };
    MemoryDisk::fill(&table, [](struct world *w) -> MemoryDisk & { return process_of(w)->disk; });
    runtime.role.arg = this;
    runtime.role.on_frame = [](void *arg, const uint8_t *at, int64_t len) {
        controller_on_frame(((Process *)arg)->controller, at, len);
    };
    runtime.role.on_request = [](void *arg, int64_t slot, const struct http_request *request) {
        controller_request(((Process *)arg)->controller, slot, request);
    };
    struct controller_setup setup = {};
    setup.cluster = "test";
    setup.zone = "north";
    setup.seeds = cluster.seeds.data();
    setup.n_seeds = (int64_t)cluster.seeds.size();
    setup.disk = with_disk;
    setup.first_start = first_start;
    setup.machines_lost = 1;
    setup.boot = boot;
    setup.grace_ms = 6000;
    setup.dispatch = {6000, 3000, 250, 120000, 600, 150, 0};
    setup.codec = codec;
    controller = controller_new(&runtime.base, &setup);
    ASSERT_NE(controller, nullptr);
    ASSERT_EQ(net_start(&runtime), ERROR_NONE);
    int64_t addrs[LISTENERS_MAX] = {};
    addrs[ENTRY_OPERATORS] = (int64_t)runtime.base.http_addr;
    ASSERT_EQ(http_server_start_listeners(&runtime, addrs), ERROR_NONE);
}

} // namespace proc_rig
#endif
