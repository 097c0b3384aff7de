// Real controllers and agents of the platform as processes on loopback addresses: 127.0.0.1, 127.0.0.2 ... with ports
// alike, each with its settings file, its log and perhaps a disk folder below one temporary directory.
// They are started, killed, frozen and restarted by id only, from one thread; that thread's end is their end too.
#pragma once
#include <cctype>
#include <cerrno>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace history
{

namespace fs = std::filesystem;

// The limits of a machine, as its settings file states them.
struct MachineLimits {
    int64_t memory_mb, descriptors;
};

// One machine's controller, or its agent. pid 0: not running. removed: for good; its address isn't used again.
struct Controller {
    int number; // 127.0.0.number
    bool disk;
    pid_t pid = 0;
    bool frozen = false, removed = false, agent = false;
    MachineLimits limits = {260, 4100};
    std::string address() const { return "127.0.0." + std::to_string(number); }
};

class Controllers
{
    std::string binary;
    fs::path folder;
    enum { FRONTEND = 6, READINESS = 7 };
    int port; // control plane; the inner ports follow, then those for callers and for readiness
    std::vector<int> seeds;

    fs::path file(const Controller &c, const std::string &what) const { return folder / (c.address() + "." + what); }

    std::string settings(const Controller &c, bool initial) const
    {
        std::string own = c.address(), text;
        auto line = [&](const std::string &name, const std::string &value) { text += name + ": " + value + "\n"; };
        line("nodeName", "\"node-" + std::to_string(c.number) + "\"");
        line("role", c.agent ? "\"agent\"" : "\"controller\"");
        line("ipAddress", "\"" + own + "\"");
        line("zone", "\"north\"");
        line("region", "\"coast\"");
        line("zones", "\n  north: \"coast\"");
        auto bind = [&](int at) { return "\"" + own + ":" + std::to_string(at) + "\""; };
        std::string callers = "\n  frontend: " + bind(port + FRONTEND) + "\n  readiness: " + bind(port + READINESS);
        line("bindAddresses", "\n  controlPlane: " + bind(port) + (c.agent ? "" : callers));
        line("internalPortRange", "\n  - " + std::to_string(port + 1) + "\n  - " + std::to_string(port + 5));
        std::string list;
        for (int number : seeds)
            list += "\n  - \"127.0.0." + std::to_string(number) + ":" + std::to_string(port) + "\"";
        line("seedNodes", list);
        line("initialStart", initial ? "true" : "false");
        line("countsAsLoss", "true");
        line("limits", "\n  cpuShare: 1.0\n  memoryMb: " + std::to_string(c.limits.memory_mb) +
                           "\n  maxFileDescriptors: " + std::to_string(c.limits.descriptors));
        line("dataDirectory", c.disk ? "\"" + data(c).string() + "\"" : "null");
        line("heartbeatIntervalMs", "1500");
        line("faultTolerance", "\n  machines: 1\n  zones: 0");
        line("bounds", "\n  contactMs: 3000\n  catchUpS: 4\n  drainMs: 2000\n  gracePeriodS: 6\n  holdMaxMs: 6000"
                       "\n  stopTimeoutMs: 400\n  gangTimeoutMs: 3000\n  cancel_ms: 3000\n  early_ms: 250"
                       "\n  status_s: 120\n  spreadFactor: 1.5\n  checkpointIntervalS: 2\n  restoreMs: 600");
        line("commands", "\"invocation\"");
        if (c.agent) {
            line("app", bind(port + FRONTEND)); // no executor answers there
            line("service", "\"s\"");
        }
        return text;
    }

    static bool free_at(int number, int port)
    {
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in to = {};
        to.sin_family = AF_INET;
        to.sin_port = htons((uint16_t)port);
        to.sin_addr.s_addr = htonl(0x7f000000U + (uint32_t)number);
        bool free = !bind(fd, (sockaddr *)&to, sizeof to);
        close(fd);
        return free;
    }

    static bool all_free(int from)
    {
        for (int number = 1; number <= 16; number++)
            for (int p = from; p <= from + READINESS; p++)
                if (!free_at(number, p))
                    return false;
        return true;
    }

    // Below the ports that the system gives to outgoing connections.
    static int free_ports()
    {
        for (int tries = 0, from = 24000 + getpid() % 900 * 8; tries < 900; tries++, from += 8) {
            if (from > 31500)
                from = 24000;
            if (all_free(from))
                return from;
        }
        return 0;
    }

  public:
    std::vector<Controller> all;

    // with_disk controllers that hold data, then without more that hold none. Nothing runs yet.
    Controllers(const std::string &path, int with_disk, int without) : binary(path), port(free_ports())
    {
        std::string name = (fs::temp_directory_path() / "platform_trial.XXXXXX").string();
        if (!port || !mkdtemp(name.data())) {
            fprintf(stderr, "platform_trial: no free ports, or no folder\n");
            exit(2);
        }
        folder = name;
        for (int i = 1; i <= with_disk + without; i++)
            all.push_back({i, i <= with_disk});
        seeds = {1, 2, 3};
    }
    ~Controllers()
    {
        for (Controller &c : all)
            kill(c);
        std::error_code ignored;
        if (!getenv("PLATFORM_TRIAL_KEEP"))
            fs::remove_all(folder, ignored);
        else
            fprintf(stderr, "platform_trial: kept %s\n", folder.c_str());
    }
    Controllers(const Controllers &) = delete;

    fs::path data(const Controller &c) const { return file(c, "data"); }
    std::string url(const Controller &c) const
    {
        return "http://" + c.address() + ":" + std::to_string(port) + "/sagehitch/configuration";
    }

    int operators_port() const { return port; }
    int callers_port() const { return port + FRONTEND; }
    int readiness_port() const { return port + READINESS; }

    // Where callers reach the queue of path prefix /jobs/.
    std::string jobs_url(const Controller &c) const
    {
        return "http://" + c.address() + ":" + std::to_string(port + FRONTEND) + "/jobs/";
    }

    void start(Controller &c, bool initial)
    {
        std::ofstream(file(c, "yaml")) << settings(c, initial);
        if (c.disk)
            fs::create_directories(data(c));
        std::string variable = "SAGEHITCH_CONFIG=" + file(c, "yaml").string();
        std::string log = file(c, "log").string();
        char *arguments[] = {binary.data(), (char *)"platform", (char *)(c.agent ? "agent" : "controller"), nullptr};
        std::vector<char *> variables;
        for (char **at = environ; *at; at++)
            variables.push_back(*at);
        variables.push_back(variable.data());
        variables.push_back(nullptr);
        pid_t parent = getpid();
        c.pid = fork();
        if (c.pid)
            return;
        prctl(PR_SET_PDEATHSIG, SIGKILL); // the operators' sockets are not for it
        int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        if (getppid() == parent && fd >= 0 && dup2(fd, 1) >= 0 && dup2(fd, 2) >= 0 && !close_range(3, ~0U, 0))
            execve(binary.c_str(), arguments, variables.data());
        _exit(127);
    }
    // SIGKILL; returns when it is gone.
    void kill(Controller &c)
    {
        if (c.pid <= 0)
            return;
        ::kill(c.pid, SIGKILL);
        while (waitpid(c.pid, nullptr, 0) < 0 && errno == EINTR)
            ;
        c.pid = 0;
        c.frozen = false;
    }
    void freeze(Controller &c, bool on)
    {
        ::kill(c.pid, on ? SIGSTOP : SIGCONT);
        c.frozen = on;
    }
    void empty_disk(const Controller &c) { fs::remove_all(data(c)); }
    // The disk of a controller that doesn't run, kept aside and put back.
    void keep_disk(const Controller &c)
    {
        fs::remove_all(file(c, "older"));
        fs::copy(data(c), file(c, "older"), fs::copy_options::recursive);
    }
    bool has_older(const Controller &c) const { return fs::exists(file(c, "older")); }
    void older_disk(const Controller &c)
    {
        empty_disk(c);
        fs::copy(file(c, "older"), data(c), fs::copy_options::recursive);
    }
    // Ends one for good and gives its place to a new address with an empty disk; returns its index.
    size_t replace(size_t index)
    {
        kill(all[index]);
        all[index].removed = true;
        int number = all.back().number + 1;
        for (int &seed : seeds)
            seed = seed == all[index].number ? number : seed;
        all.push_back({number, all[index].disk});
        return all.size() - 1;
    }
    // Those that ended though nobody ended them, "": none.
    std::string died()
    {
        std::string text;
        for (Controller &c : all) {
            int status;
            if (c.pid > 0 && waitpid(c.pid, &status, WNOHANG) == c.pid) {
                text += c.address() + " ended by itself, status " + std::to_string(status) + "; ";
                c.pid = 0;
            }
        }
        return text;
    }
    // Index of the one whose log tells of the newest leadership (event 2002, by its term) and that runs; -1: none.
    int leader() const
    {
        int found = -1;
        int64_t newest = -1;
        for (size_t i = 0; i < all.size(); i++) {
            std::ifstream log(file(all[i], "log"));
            for (std::string line; std::getline(log, line);) {
                size_t at = line.find("term=");
                if (line.find("E2002") == std::string::npos || at == std::string::npos)
                    continue;
                int64_t term = atoll(line.c_str() + at + 5);
                if (term > newest) {
                    newest = term;
                    found = (int)i;
                }
            }
        }
        return found >= 0 && all[(size_t)found].pid > 0 ? found : -1;
    }
    // What a sanitizer said in any log, "": nothing.
    std::string complaints() const
    {
        for (const Controller &c : all) {
            std::ifstream log(file(c, "log"));
            for (std::string line; std::getline(log, line);)
                if (line.find("runtime error") != std::string::npos || line.find("Sanitizer") != std::string::npos)
                    return c.address() + ": " + line;
        }
        return "";
    }
    // A figure of /proc/PID/status in KiB, such as "VmRSS:"; 0: the process is gone.
    static int64_t status_kib(const Controller &c, const std::string &name)
    {
        std::ifstream status("/proc/" + std::to_string(c.pid) + "/status");
        for (std::string line; std::getline(status, line);)
            if (!line.compare(0, name.size(), name))
                return atoll(line.c_str() + name.size());
        return 0;
    }
    static int64_t descriptors(const Controller &c)
    {
        std::error_code gone;
        int64_t n = 0;
        for ([[maybe_unused]] const auto &entry :
             fs::directory_iterator("/proc/" + std::to_string(c.pid) + "/fd", gone))
            n++;
        return n;
    }
    // Resident KiB and open descriptors of a running one.
    static std::pair<int64_t, int64_t> size(const Controller &c) { return {status_kib(c, "VmRSS:"), descriptors(c)}; }
    // The most KiB that were resident since the start of a running one.
    static int64_t peak_kib(const Controller &c) { return status_kib(c, "VmHWM:"); }
};

} // namespace history
