// Whole controllers on real sockets in one process: each has its own loop, frames over TCP and UDP, an HTTP server and
// a disk in memory. Time is virtual, one millisecond a turn, so verdicts do not hang on how busy the machine is. Frames
// pass links that can be slow, held or cut.
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

// One start of a controller; it ends as a process does that is killed: its sockets are closed, nothing is said.
struct Process : Rig {
    Cluster &cluster;
    size_t number;
    struct controller *controller = nullptr;
    std::map<int64_t, int> answers; // by slot
    MemoryDisk &disk;

    Process(Cluster &of, size_t machine, MemoryDisk &on) : cluster(of), number(machine), disk(on) {}
    ~Process()
    {
        table.answer = api_reply; // what waits is answered to callers that are gone already
        table.send = [](struct world *, uint64_t, struct blob *, int) {};
        if (controller)
            controller_free(controller);
    }
    static Process *of(struct world *w) { return (Process *)((struct runtime *)w)->role.arg; }
    void start(bool with_disk, bool first_start, int64_t boot, const struct api_codec *codec);
};

struct Machine {
    uint64_t addr, http_addr;
    bool with_disk;
    MemoryDisk disk;
    std::unique_ptr<Process> process;
    int64_t starts = 0;
    std::vector<std::string> events; // as "NUMBER TEXT"
    // Whether an event of that number with that text was told.
    bool told(int number, const std::string &text) const
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

    // with_disk controllers that may vote, then without that only pass requests on.
    Cluster(unsigned seed, size_t with_disk, size_t without, const struct api_codec *of) : random(seed), codec(of)
    {
        // an address block of this process alone: tests may run beside each other
        uint64_t block = INADDR_LOOPBACK + ((uint64_t)(1 + getpid() % 60000) << 8);
        for (size_t i = 0; i < with_disk + without; i++) {
            auto m = std::make_unique<Machine>();
            m->addr = (block + i) << 16 | FRAME_PORT;
            m->http_addr = (block + i) << 16 | HTTP_PORT;
            m->with_disk = i < with_disk;
            if (m->with_disk)
                seeds.push_back((int64_t)m->addr);
            machines.push_back(std::move(m));
        }
        for (size_t from = 0; from < machines.size(); from++)
            for (size_t to = 0; to < machines.size(); to++)
                if (from != to)
                    links[{from, to}] = std::make_unique<Link>(machines[to]->addr);
        for (size_t i = 0; i < machines.size(); i++)
            boot(i, true);
    }
    size_t one_of(size_t n) { return random() % n; }
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
        Machine &m = *machines[i];
        m.process = std::make_unique<Process>(*this, i, m.disk);
        m.process->runtime.base.self = m.addr;
        m.process->runtime.base.http_addr = m.http_addr;
        int64_t boot_number = (now_ms() << 12) + (int64_t)i * 100 + m.starts++;
        m.process->start(m.with_disk, first_start, boot_number, codec);
    }
    // The one that dispatches now; machines.size(): none, or not known.
    size_t leader() const
    {
        for (size_t i = 0; i < machines.size(); i++)
            if (machines[i]->process && controller_leads(machines[i]->process->controller))
                return i;
        return machines.size();
    }
    // All links to and from a machine.
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
        else if (now_ms() >= link->second->held_until_ms && one_of(20))
            net_send(w, to, frame, 1);
    }
    void turn()
    {
        now_ms()++;
        turns++;
        for (auto &m : machines) {
            if (!m->process)
                continue;
            ev_run(m->process->runtime.loop, EVRUN_NOWAIT);
            if (turns % TIMER_TURNS == 0) {
                net_on_timer(&m->process->runtime);
                controller_on_timer(m->process->controller);
            }
            controller_flush(m->process->controller);
        }
        for (auto &[ends, link] : links)
            link->turn(now_ms());
    }
    // Turns until done() or so many turns are over; returns done().
    bool until(
        const std::function<bool()> &done, int64_t most_turns, const std::function<void()> &between = [] {})
    {
        for (int64_t i = 0; !done() && i < most_turns && !testing::Test::HasFailure(); i++) {
            turn();
            between();
        }
        return done();
    }
    // Links as they should be.
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
        of(w)->cluster.send(of(w)->number, to, frame, lossy);
    };
    table.answer = [](struct world *w, int64_t slot, int status, int64_t retry_ms, const char *body) {
        EXPECT_EQ(++of(w)->answers[slot], 1) << "a request was answered twice, now: " << body;
        api_reply(w, slot, status, retry_ms, body);
    };
    table.note = [](struct world *w, int event, const char *text) {
        of(w)->cluster.machines[of(w)->number]->events.push_back(std::to_string(event) + " " + text);
    };
    MemoryDisk::fill(&table, [](struct world *w) -> MemoryDisk & { return of(w)->disk; });
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
    setup.dispatch = {6000, 3000, 250, 120000, 600, 150};
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
