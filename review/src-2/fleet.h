// A small deployment on loopback addresses: controllers with a disk, three if nothing else is said, and agents beside
// stand-ins for executors.
// The programs are the project's own, started with the commands of deploy/system.toml. Each process is ended with the
// fleet, and with this process.
#ifndef SAGEHITCH_REVIEW_2_FLEET_H
#define SAGEHITCH_REVIEW_2_FLEET_H
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <atomic>
#include <filesystem>
#include <fstream>

#include "executor.h"

namespace review
{

// An executor of the deployment.
struct Side {
    std::string service, kind;
};

// A controller of the deployment. number: the last part of its address. pid 0: it does not run.
struct Edge {
    int number;
    std::string zone;
    pid_t pid = 0;
};

class Fleet
{
    enum {
        FIRST_SIDE = 11,
        OPERATORS = 0,
        INNER_FIRST = 1,
        INNER_LAST = 5,
        FRONTEND = 6,
        READINESS = 7,
        APP = 6,
        PORTS = 8
    };
    enum { HOLD_MAX_MS = 6000, CALL_MS = 3000 };

    Record &record;
    std::filesystem::path folder;
    int port = 0;
    std::vector<Edge> edges;
    std::vector<int> seeds;
    int zones_lost;
    std::vector<pid_t> agents;
    std::vector<std::unique_ptr<Executor>> executors;

    static std::string ip_of(int number) { return "127.0.0." + std::to_string(number); }

    bool ports_are_free(int from, int sides) const
    {
        for (int number = 1; number < FIRST_SIDE + sides; number++)
            for (int p = from; p < from + PORTS; p++) {
                int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
                sockaddr_in at = socket_address(ip_of(number), p);
                bool is_free = !bind(fd, (sockaddr *)&at, sizeof at);
                close(fd);
                if (!is_free)
                    return false;
            }
        return true;
    }

    std::string data_of(int number) const { return (folder / (ip_of(number) + ".data")).string(); }

    std::string settings(int number, const std::string &zone, bool side, const std::string &service, bool initial) const
    {
        std::string own = ip_of(number), text;
        auto bind = [&](int at) { return "\"" + own + ":" + std::to_string(port + at) + "\""; };
        text += "nodeName: \"node-" + std::to_string(number) + "\"\nrole: \"" + (side ? "agent" : "controller") +
                "\"\nmachineClass: \"" + (side ? "side" : "edge") + "\"\nipAddress: \"" + own +
                "\"\nzone: \"" + zone + "\"\nregion: \"coast\"\nzones:\n";
        for (const char *name : {"north", "east", "west"})
            text += std::string("  ") + name + ": \"coast\"\n";
        text += "bindAddresses:\n  controlPlane: " + bind(OPERATORS) + "\n";
        if (!side)
            text += "  frontend: " + bind(FRONTEND) + "\n  readiness: " + bind(READINESS) + "\n";
        text += "internalPortRange:\n  - " + std::to_string(port + INNER_FIRST) + "\n  - " +
                std::to_string(port + INNER_LAST) + "\nseedNodes:\n";
        for (int seed : seeds)
            text += "  - \"" + ip_of(seed) + ":" + std::to_string(port + OPERATORS) + "\"\n";
        text += std::string("initialStart: ") + (initial ? "true" : "false") + "\ncountsAsLoss: " + (side ? "false" : "true") +
                "\nlimits:\n  cpuShare: 0.5\n  cpuCores: 1\n  memoryMb: " + (side ? "128" : "260") +
                "\n  maxFileDescriptors: 4096\n  networkMbps: 1000.0\n  diskMb: 128\ndataDirectory: " +
                (side ? "null" : "\"" + data_of(number) + "\"") +
                "\ndiscoverySource: \"local\"\nentryType: \"virtual_ip\"\nheartbeatIntervalMs: 1500\n"
                "activeContracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"recover\"\n  - \"sched\"\n"
                "faultTolerance:\n  machines: 1\n  zones: " +
                std::to_string(zones_lost) +
                "\n  regions: 0\n"
                "bounds:\n  seedLagS: 3\n  addressReuseS: 2\n  contactMs: 3000\n  ackTimeoutMs: 4000\n  catchUpS: 4\n"
                "  drainMs: 2000\n  gracePeriodS: 6\n  lossSlackMs: 200\n  configApplyMs: 2000\n"
                "  rollbackSlackMs: 250\n  maxExtensionMs: 5000\n  recoveryS: 12\n  holdMaxMs: 6000\n"
                "  stopTimeoutMs: 400\n  gangTimeoutMs: 3000\n  cancel_ms: 3000\n  visible_ms: 3000\n"
                "  early_ms: 250\n  finish_s: 14\n  status_s: 120\n  spreadFactor: 1.5\n"
                "  checkpointIntervalS: 2\n  restoreMs: 600\ncommands: \"invocation\"\n";
        if (side)
            text += "app: " + bind(APP) + "\nservice: \"" + service + "\"\n";
        return text;
    }

    pid_t start(int number, const std::string &zone, bool side, const std::string &service, bool initial)
    {
        std::string file = (folder / (ip_of(number) + ".yaml")).string();
        std::string log = (folder / (ip_of(number) + ".log")).string();
        std::ofstream(file) << settings(number, zone, side, service, initial);
        if (!side)
            std::filesystem::create_directories(data_of(number));
        pid_t parent = getpid(), pid = fork();
        if (pid)
            return pid;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        if (getppid() != parent || fd < 0 || dup2(fd, 1) < 0 || dup2(fd, 2) < 0)
            _exit(127);
        setenv("SAGEHITCH_CONFIG", file.c_str(), 1);
        execl("target/sagehitch", "target/sagehitch", "platform", side ? "agent" : "controller", (char *)nullptr);
        _exit(127);
    }

    // The address of the edge that the next call goes to: those that run, in turn.
    std::string ip_of_turn(int turn) const
    {
        std::vector<int> running;
        for (const Edge &edge : edges)
            if (edge.pid)
                running.push_back(edge.number);
        return ip_of(running[(size_t)turn % running.size()]);
    }

  public:
    // zones: the loss of how many of them is to be borne.
    explicit Fleet(Record &to, const std::vector<Edge> &of_edges = {{1, "north"}, {2, "north"}, {3, "north"}},
                   const std::vector<int> &its_seeds = {1, 2, 3}, int zones = 0)
        : record(to), edges(of_edges), seeds(its_seeds), zones_lost(zones)
    {
    }
    Fleet(const Fleet &) = delete;
    ~Fleet()
    {
        for (Edge &edge : edges)
            stop(edge);
        for (pid_t pid : agents) {
            kill(pid, SIGKILL);
            waitpid(pid, nullptr, 0);
        }
        for (std::unique_ptr<Executor> &one : executors)
            (void)one.release(); // its threads use it until this process ends
        std::error_code ignored;
        if (getenv("REVIEW_KEEP"))
            fprintf(stderr, "kept %s\n", folder.c_str());
        else if (!folder.empty())
            std::filesystem::remove_all(folder, ignored);
    }

    // Starts everything; returns false if the case cannot run here.
    bool begin(const std::vector<Side> &sides)
    {
        std::string name = (std::filesystem::temp_directory_path() / "review-2.XXXXXX").string();
        if (!mkdtemp(name.data()))
            return false;
        folder = name;
        int from = 24000 + getpid() % 900 * PORTS;
        for (int tries = 0; tries < 900 && !port; tries++, from = from > 31500 ? 24000 : from + PORTS)
            if (ports_are_free(from, (int)sides.size()))
                port = from;
        if (!port)
            return false;
        for (Edge &edge : edges)
            edge.pid = start(edge.number, edge.zone, false, "", true);
        for (size_t i = 0; i < sides.size(); i++) {
            int number = FIRST_SIDE + (int)i;
            agents.push_back(start(number, "north", true, sides[i].service, true));
            std::string id = sides[i].service + "-" + sides[i].kind + "-" + std::to_string(i + 1);
            executors.push_back(std::make_unique<Executor>(record, ip_of(number), sides[i].service, id, sides[i].kind,
                                                           port + APP, port + OPERATORS, HOLD_MAX_MS));
            if (!executors.back()->begin())
                return false;
        }
        return true;
    }

    // Puts a configuration until it is acknowledged, for wait_ms at most. Returns whether it was.
    bool configure(int64_t base, const std::string &text, int64_t wait_ms = 20000)
    {
        int64_t until_ms = now_ms() + wait_ms;
        for (int i = 0; now_ms() < until_ms; i++, sleep_ms(200)) {
            std::string ip = ip_of_turn(i);
            Message answer = call(ip, port + OPERATORS, "PUT", "/sagehitch/configuration",
                                  {"Host: " + ip, "If-Match: " + std::to_string(base)}, text, 1000);
            record.note("operator puts %.300s (%zu bytes) at %s: %d", text.c_str(), text.size(), ip.c_str(),
                        answer.status);
            if (answer.status == 200)
                return true;
        }
        return false;
    }

    // Reads the configuration at all nodes, again and again for wait_ms at most; whether one of this version or a newer
    // one came.
    bool read_back(int64_t version, int64_t wait_ms)
    {
        int64_t until_ms = now_ms() + wait_ms;
        for (int i = 0; now_ms() < until_ms; i++, sleep_ms(100)) {
            std::string ip = ip_of_turn(i);
            Message answer =
                call(ip, port + OPERATORS, "GET", "/sagehitch/configuration", {"Host: " + ip}, "", 1000);
            int64_t found = answer.status == 200 ? atoll(answer.body.c_str() + strlen("{\"revision\":")) : 0;
            record.note("operator reads the configuration at %s: %d, version %lld", ip.c_str(), answer.status,
                        (long long)found);
            if (found >= version)
                return true;
        }
        return false;
    }

    // A call of a client at one of the controllers: sent again, to the next, after silence, 502, 503 or 504, but not
    // after until_ms.
    Message client(const std::string &method, const std::string &path, const std::string &body,
                   int64_t until_ms = INT64_MAX)
    {
        Message answer;
        for (int tries = 0; tries < 8 && now_ms() < until_ms; tries++, sleep_ms(150)) {
            std::string ip = ip_of_turn(client_turn++);
            answer = call(ip, port + FRONTEND, method, path, {"Host: jobs.example", "Deadline-Ms: 3000"}, body, CALL_MS);
            record.note("client %s %s %s at %s: %d %s", method.c_str(), path.c_str(), body.c_str(), ip.c_str(),
                        answer.status, answer.body.c_str());
            if (answer.status && answer.status < 500)
                break;
        }
        return answer;
    }
    std::atomic<int> client_turn{0};

    // SIGKILL; returns when the process is gone.
    void stop(Edge &edge)
    {
        if (!edge.pid)
            return;
        kill(edge.pid, SIGKILL);
        waitpid(edge.pid, nullptr, 0);
        edge.pid = 0;
        record.note("%s in %s is killed", ip_of(edge.number).c_str(), edge.zone.c_str());
    }
    Edge &edge(size_t index) { return edges[index]; }
    // Starts it again; empty: its disk is lost.
    void start_again(Edge &edge, bool empty)
    {
        if (empty)
            std::filesystem::remove_all(data_of(edge.number));
        edge.pid = start(edge.number, edge.zone, false, "", false);
        record.note("%s in %s starts%s", ip_of(edge.number).c_str(), edge.zone.c_str(), empty ? " with an empty disk" : "");
    }
    // Gives the place of an edge to a machine at a new address with an empty disk.
    void replace(Edge &edge, int number)
    {
        stop(edge);
        sleep_ms(1000);
        for (int &seed : seeds)
            seed = seed == edge.number ? number : seed;
        edge.number = number;
        start_again(edge, true);
    }

    // Whether a process ended by itself.
    bool a_process_ended()
    {
        std::vector<pid_t> all = agents;
        for (const Edge &edge : edges)
            if (edge.pid)
                all.push_back(edge.pid);
        for (pid_t pid : all)
            if (waitpid(pid, nullptr, WNOHANG) == pid) {
                record.note("process %d ended by itself", (int)pid);
                return true;
            }
        return false;
    }
};

} // namespace review
#endif
