// The machines of a small deployment on loopback addresses: each runs one process of the project, with a settings file
// as DEPLOY.md describes it.
#pragma once
#include <csignal>
#include <filesystem>
#include <fstream>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include "http.h"

namespace review
{

namespace fs = std::filesystem;

// Ports, alike on all machines.
enum Port { PORT_CONTROL, PORT_INNER, PORT_INNER_LAST = 5, PORT_FRONTEND = 6, PORT_READINESS = 7, PORT_APP = 8, PORTS };

// The figures of dackhuset-sched, as SYSTEM.md gives them.
struct Bounds {
    int64_t contact_ms = 3000, ack_timeout_ms = 4000, drain_ms = 2000, grace_s = 6, config_apply_ms = 2000,
            hold_max_ms = 6000, stop_timeout_ms = 400, gang_timeout_ms = 3000, cancel_ms = 3000, visible_ms = 3000,
            early_ms = 250, finish_s = 14;
};

struct Machine {
    std::string ip, zone;
    bool agent = false;
    pid_t pid = 0;
};

class Machines
{
  public:
    std::vector<Machine> controllers, agents;
    Bounds bounds;

    // Three controllers with disks, one in each zone, and n_agents machines with an executor.
    explicit Machines(int n_agents) : port(free_ports(n_agents))
    {
        const char *binary_variable = getenv("SAGEHITCH");
        binary = binary_variable ? binary_variable : "target/sagehitch";
        std::string name = (fs::temp_directory_path() / "review-3.XXXXXX").string();
        if (!port || access(binary.c_str(), X_OK) || !mkdtemp(name.data())) {
            fprintf(stderr, "no free ports, no folder, or no %s\n", binary.c_str());
            exit(2);
        }
        folder = name;
        for (int i = 1; i <= 3; i++)
            controllers.push_back({"127.0.0." + std::to_string(i), zone_name(i)});
        for (int i = 1; i <= n_agents; i++)
            agents.push_back({"127.0.0." + std::to_string(20 + i), zone_name(i), true});
    }
    ~Machines()
    {
        for (auto *list : {&agents, &controllers})
            for (Machine &machine : *list)
                kill_hard(machine);
        std::error_code ignored;
        if (getenv("REVIEW_KEEP"))
            fprintf(stderr, "kept %s\n", folder.c_str());
        else
            fs::remove_all(folder, ignored);
    }
    Machines(const Machines &) = delete;

    Address control(const Machine &machine) const { return {machine.ip, port + PORT_CONTROL}; }
    Address frontend(const Machine &machine) const { return {machine.ip, port + PORT_FRONTEND}; }
    Address readiness(const Machine &machine) const { return {machine.ip, port + PORT_READINESS}; }
    Address app(const Machine &machine) const { return {machine.ip, port + PORT_APP}; }
    fs::path log_of(const Machine &machine) const { return folder / (machine.ip + ".log"); }

    void start_all()
    {
        for (Machine &machine : controllers)
            start(machine, true);
        for (Machine &machine : agents)
            start(machine, true);
    }
    void start(Machine &machine, bool initial)
    {
        std::string file = (folder / (machine.ip + ".yaml")).string(), log = log_of(machine).string();
        std::ofstream(file) << settings(machine, initial);
        fs::create_directories(folder / (machine.ip + ".data"));
        std::string variable = "SAGEHITCH_CONFIG=" + file;
        char *arguments[] = {binary.data(), (char *)"platform", (char *)(machine.agent ? "agent" : "controller"),
                             nullptr};
        char *variables[] = {variable.data(), nullptr};
        pid_t parent = getpid();
        machine.pid = fork();
        if (machine.pid)
            return;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        if (getppid() == parent && fd >= 0 && dup2(fd, 1) >= 0 && dup2(fd, 2) >= 0 && !close_range(3, ~0U, 0))
            execve(binary.c_str(), arguments, variables);
        _exit(127);
    }
    void kill_hard(Machine &machine)
    {
        if (machine.pid <= 0)
            return;
        kill(machine.pid, SIGKILL);
        while (waitpid(machine.pid, nullptr, 0) < 0 && errno == EINTR)
            ;
        machine.pid = 0;
    }
    // Empties the disk of a machine whose process does not run.
    void empty_disk(const Machine &machine) const { fs::remove_all(folder / (machine.ip + ".data")); }
    // The controller whose log tells of the newest leadership (event 2002), nullptr: none.
    Machine *leader()
    {
        Machine *found = nullptr;
        long long newest = -1;
        for (Machine &controller : controllers) {
            std::ifstream log(log_of(controller));
            for (std::string line; std::getline(log, line);) {
                size_t at = line.find("term=");
                if (line.find("E2002") != std::string::npos && at != std::string::npos &&
                    atoll(line.c_str() + at + 5) > newest) {
                    newest = atoll(line.c_str() + at + 5);
                    found = &controller;
                }
            }
        }
        return found;
    }
    void signal(const Machine &machine, int number) const
    {
        if (machine.pid > 0)
            kill(machine.pid, number);
    }
    // Whether a process ended though nobody ended it.
    bool ended_by_itself(std::string &which)
    {
        for (auto *list : {&agents, &controllers})
            for (Machine &machine : *list) {
                int status;
                if (machine.pid > 0 && waitpid(machine.pid, &status, WNOHANG) == machine.pid) {
                    machine.pid = 0;
                    which += machine.ip + " ended with status " + std::to_string(status) + "; ";
                }
            }
        return !which.empty();
    }

  private:
    std::string binary;
    fs::path folder;
    int port;

    static std::string zone_name(int i) { return "hall-" + std::to_string(i % 3 + 1); }

    std::string settings(const Machine &machine, bool initial) const
    {
        std::string text;
        auto add = [&](const std::string &line) { text += line + "\n"; };
        auto quoted = [](const std::string &value) { return "\"" + value + "\""; };
        add("nodeName: " + quoted("node-" + machine.ip));
        add(std::string("role: ") + (machine.agent ? "\"agent\"" : "\"controller\""));
        add(std::string("machineClass: ") + (machine.agent ? "\"side\"" : "\"edge\""));
        add(machine.agent ? "serves:\n  - \"side\"" : "serves:\n  - \"edge\"\n  - \"control\"");
        add("ipAddress: " + quoted(machine.ip) + "\nzone: " + quoted(machine.zone) + "\nregion: \"mellansverige\"");
        add("zones:\n  hall-1: \"mellansverige\"\n  hall-2: \"mellansverige\"\n  hall-3: \"mellansverige\"");
        add("bindAddresses:\n  controlPlane: " + quoted(control(machine).text()));
        if (!machine.agent)
            add("  frontend: " + quoted(frontend(machine).text()) +
                "\n  readiness: " + quoted(readiness(machine).text()));
        add("internalPortRange:\n  - " + std::to_string(port + PORT_INNER) + "\n  - " +
            std::to_string(port + PORT_INNER_LAST));
        add("seedNodes:");
        for (const Machine &controller : controllers)
            add("  - " + quoted(control(controller).text()));
        add(std::string("initialStart: ") + (initial ? "true" : "false"));
        add(std::string("countsAsLoss: ") + (machine.agent ? "false" : "true"));
        add("limits:\n  cpuShare: 0.5\n  cpuCores: 1\n  memoryMb: 260\n  maxFileDescriptors: 4100\n"
            "  networkMbps: 1000.0\n  diskMb: 128");
        if (!machine.agent)
            add("dataDirectory: " + quoted((folder / (machine.ip + ".data")).string()));
        add("discoverySource: \"local\"\nentryType: \"virtual_ip\"\nheartbeatIntervalMs: 1500");
        add("faultTolerance:\n  machines: 1\n  zones: 0\n  regions: 0");
        add("bounds:\n  seedLagS: 3\n  addressReuseS: 2\n  contactMs: 3000\n  ackTimeoutMs: 4000\n  catchUpS: 4\n"
            "  drainMs: 2000\n  gracePeriodS: 6\n  lossSlackMs: 200\n  configApplyMs: 2000\n  rollbackSlackMs: 250\n"
            "  maxExtensionMs: 5000\n  recoveryS: 12\n  holdMaxMs: 6000\n  stopTimeoutMs: 400\n"
            "  gangTimeoutMs: 3000\n  cancel_ms: 3000\n  visible_ms: 3000\n  early_ms: 250\n  finish_s: 14\n"
            "  status_s: 120\n  spreadFactor: 1.5\n  checkpointIntervalS: 2\n  restoreMs: 600");
        add("commands: \"invocation\"");
        if (machine.agent)
            add("app: " + quoted(app(machine).text()) + "\nservice: \"bokning\"");
        return text;
    }

    static bool is_free(const std::string &ip, int port)
    {
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in at = Address{ip, port}.socket_address();
        bool free = !bind(fd, (sockaddr *)&at, sizeof at);
        close(fd);
        return free;
    }
    static int free_ports(int n_agents)
    {
        for (int tries = 0, from = 20000 + getpid() % 700 * 16; tries < 700; tries++, from += 16) {
            if (from > 31500)
                from = 20000;
            bool free = true;
            for (int number = 1; number <= 20 + n_agents && free; number++)
                for (int p = from; p < from + PORTS && free; p++)
                    free = is_free("127.0.0." + std::to_string(number), p);
            if (free)
                return from;
        }
        return 0;
    }
};

} // namespace review
