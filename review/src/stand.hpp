// Stand-ins for the platform, executors, clients and the operator, for the scripts of review/.
// They follow PROTOCOL.md and DEPLOY.md of the users. All traffic stays on 127.77.0.0/16.
#pragma once
#include <algorithm>
#include <atomic>
#include <cerrno>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <ftw.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

using std::string;

// --- time and record ---------------------------------------------------------------

inline int64_t steady_ms()
{
    timespec t;
    clock_gettime(CLOCK_MONOTONIC, &t);
    return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

inline int64_t start_ms = steady_ms();
inline int64_t now_ms() { return steady_ms() - start_ms; }
inline void sleep_ms(int64_t ms)
{
    if (ms > 0)
        usleep((useconds_t)ms * 1000);
}

inline FILE *record_file;
inline std::mutex record_lock;

__attribute__((format(printf, 1, 2))) inline void record(const char *format, ...)
{
    std::lock_guard<std::mutex> hold(record_lock);
    FILE *to = record_file ? record_file : stderr;
    va_list args;
    va_start(args, format);
    fprintf(to, "%8.3f ", (double)now_ms() / 1000.);
    vfprintf(to, format, args);
    fputc('\n', to);
    fflush(to);
    va_end(args);
}

inline string text(const char *format, ...) __attribute__((format(printf, 1, 2)));
inline string text(const char *format, ...)
{
    char buffer[8192];
    va_list args;
    va_start(args, format);
    vsnprintf(buffer, sizeof buffer, format, args);
    va_end(args);
    return buffer;
}

// --- sockets and HTTP/1.1 ------------------------------------------------------------

struct Address {
    string ip;
    int port = 0;
    string str() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in socket_address(const Address &at)
{
    sockaddr_in in = {};
    in.sin_family = AF_INET;
    in.sin_port = htons((uint16_t)at.port);
    inet_pton(AF_INET, at.ip.c_str(), &in.sin_addr);
    return in;
}

inline int listen_at(const Address &at)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in in = socket_address(at);
    if (bind(fd, (sockaddr *)&in, sizeof in) || listen(fd, 128)) {
        close(fd);
        return -1;
    }
    return fd;
}

struct Message { // a request or a response
    string first; // its first line
    std::map<string, string> headers; // names in lower case
    string body;
};

inline bool wait_readable(int fd, int64_t until)
{
    int64_t left = until - now_ms();
    pollfd p = {fd, POLLIN, 0};
    return left > 0 && poll(&p, 1, (int)left) > 0;
}

// Reads one message; false: the peer closed, or the time is over. rest: bytes read beyond it.
inline bool read_message(int fd, Message &to, string &rest, int64_t until)
{
    char chunk[16384];
    size_t head;
    to = Message();
    while ((head = rest.find("\r\n\r\n")) == string::npos) {
        if (!wait_readable(fd, until))
            return false;
        ssize_t n = recv(fd, chunk, sizeof chunk, 0);
        if (n <= 0)
            return false;
        rest.append(chunk, (size_t)n);
    }
    size_t at = rest.find("\r\n"), length = 0;
    to.first = rest.substr(0, at);
    for (at += 2; at < head + 2;) {
        size_t end = rest.find("\r\n", at), colon = rest.find(':', at);
        if (colon != string::npos && colon < end) {
            string name = rest.substr(at, colon - at), value = rest.substr(colon + 1, end - colon - 1);
            for (char &c : name)
                c = (char)tolower(c);
            value.erase(0, value.find_first_not_of(" \t") == string::npos ? value.size() : value.find_first_not_of(" \t"));
            to.headers[name] = value;
        }
        at = end + 2;
    }
    if (to.headers.count("content-length"))
        length = (size_t)atoll(to.headers["content-length"].c_str());
    while (rest.size() < head + 4 + length) {
        if (!wait_readable(fd, until))
            return false;
        ssize_t n = recv(fd, chunk, sizeof chunk, 0);
        if (n <= 0)
            return false;
        rest.append(chunk, (size_t)n);
    }
    to.body = rest.substr(head + 4, length);
    rest.erase(0, head + 4 + length);
    return true;
}

inline bool write_all(int fd, const string &data)
{
    size_t sent = 0;
    while (sent < data.size()) {
        ssize_t n = send(fd, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += (size_t)n;
    }
    return true;
}

// One request on a connection of its own. Returns the status, 0: no complete answer in time.
inline int call(const Address &to, const string &method, const string &path, const string &headers, const string &body,
                int64_t wait_ms, string *answer = nullptr, const string &from = "")
{
    int64_t until = now_ms() + wait_ms;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0), on = 1, status = 0;
    if (fd < 0)
        return 0;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (!from.empty()) {
        sockaddr_in own = socket_address({from, 0});
        bind(fd, (sockaddr *)&own, sizeof own);
    }
    sockaddr_in in = socket_address(to);
    pollfd p = {fd, POLLOUT, 0};
    if (connect(fd, (sockaddr *)&in, sizeof in) && errno != EINPROGRESS) {
        close(fd);
        return 0;
    }
    int error = 0;
    socklen_t len = sizeof error;
    if (poll(&p, 1, (int)wait_ms) <= 0 || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) || error) {
        close(fd);
        return 0;
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    string request = method + " " + path + " HTTP/1.1\r\n" + headers;
    if (headers.find("Host:") == string::npos)
        request += "Host: " + to.str() + "\r\n";
    if (!body.empty())
        request += "Content-Type: application/json\r\n";
    request += "Content-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
    Message response;
    string rest;
    if (write_all(fd, request) && read_message(fd, response, rest, until) && response.first.size() > 12)
        status = atoi(response.first.c_str() + 9);
    if (answer)
        *answer = response.body;
    close(fd);
    return status;
}

// --- the system's processes ------------------------------------------------------------

inline string work_folder;
inline string program; // target/sagehitch, absolute
inline int base_port;  // control plane; frontend, readiness, app and the internal ports follow

enum { P_CONTROL = 0, P_FRONT = 1, P_READY = 2, P_APP = 3, P_INNER = 4 };

inline bool ends_with_us = true; // false where a thread other than the main one starts processes

inline int remove_entry(const char *path, const struct stat *, int, FTW *) { return ::remove(path); }

struct Bounds {
    int hold_max = 6000, stop = 400, gang = 3000, grace = 6, drain = 2000;
    double checkpoint = 2;
};
inline Bounds bounds;

struct Machine {
    string name, ip, zone;
    bool side = false, disk = false;
    std::vector<string> seeds;
    pid_t pid = 0;
    bool disk_refuses = false; // at the next start: its writes to files fail, until disk_recovers()

    string settings(bool initial) const
    {
        string own = ip + ":", out;
        out += "nodeName: \"" + name + "\"\nrole: \"" + (side ? "agent" : "controller") + "\"\n";
        out += string("machineClass: \"") + (side ? "side" : "edge") + "\"\n";
        out += side ? "serves:\n  - \"side\"\n" : "serves:\n  - \"edge\"\n  - \"control\"\n";
        out += "ipAddress: \"" + ip + "\"\nzone: \"" + zone + "\"\nregion: \"mellansverige\"\n";
        out += "zones:\n  hall-orebro: \"mellansverige\"\n  hall-vasteras: \"mellansverige\"\n"
               "  hall-karlstad: \"mellansverige\"\n";
        out += "bindAddresses:\n  controlPlane: \"" + own + std::to_string(base_port + P_CONTROL) + "\"\n";
        if (!side)
            out += "  frontend: \"" + own + std::to_string(base_port + P_FRONT) + "\"\n  readiness: \"" + own +
                   std::to_string(base_port + P_READY) + "\"\n";
        out += "internalPortRange:\n  - " + std::to_string(base_port + P_INNER) + "\n  - " +
               std::to_string(base_port + P_INNER + 15) + "\n";
        out += "seedNodes:\n";
        for (const string &seed : seeds)
            out += "  - \"" + seed + ":" + std::to_string(base_port + P_CONTROL) + "\"\n";
        out += string("initialStart: ") + (initial ? "true" : "false") + "\n";
        out += string("countsAsLoss: ") + (disk ? "true" : "false") + "\n";
        out += text("limits:\n  cpuShare: %s\n  cpuCores: 1\n  memoryMb: %d\n  maxFileDescriptors: 4096\n"
                    "  networkMbps: 1000.0\n  diskMb: %d\n",
                    side ? "0.15" : "0.5", side ? 128 : 260, disk ? 128 : 0);
        out += disk ? "dataDirectory: \"" + work_folder + "/" + name + ".data\"\n" : "dataDirectory: null\n";
        out += "discoverySource: \"local\"\nentryType: \"virtual_ip\"\nheartbeatIntervalMs: 1500\n";
        out += "activeContracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"recover\"\n"
               "  - \"sched\"\nfaultTolerance:\n  machines: 1\n  zones: 0\n  regions: 0\n";
        out += text("bounds:\n  seedLagS: 3\n  addressReuseS: 2\n  contactMs: 3000\n  ackTimeoutMs: 4000\n  catchUpS: 4\n"
                    "  drainMs: %d\n  gracePeriodS: %d\n  lossSlackMs: 200\n  configApplyMs: 2000\n"
                    "  rollbackSlackMs: 250\n  maxExtensionMs: 5000\n  recoveryS: 12\n  holdMaxMs: %d\n"
                    "  stopTimeoutMs: %d\n  gangTimeoutMs: %d\n  cancel_ms: 3000\n  visible_ms: 3000\n  early_ms: 250\n"
                    "  finish_s: 14\n  status_s: 120\n  spreadFactor: 1.5\n  checkpointIntervalS: %g\n  restoreMs: 600\n",
                    bounds.drain, bounds.grace, bounds.hold_max, bounds.stop, bounds.gang, bounds.checkpoint);
        out += "commands: \"invocation\"\n";
        if (side)
            out += "app: \"" + own + std::to_string(base_port + P_APP) + "\"\nservice: \"bokning\"\n";
        return out;
    }

    void start(bool initial)
    {
        string path = work_folder + "/" + name + ".yaml", log = work_folder + "/" + name + ".log";
        FILE *file = fopen(path.c_str(), "w");
        fputs(settings(initial).c_str(), file);
        fclose(file);
        if (disk)
            mkdir((work_folder + "/" + name + ".data").c_str(), 0750);
        string variable = "SAGEHITCH_CONFIG=" + path;
        pid_t parent = getpid();
        int out[2] = {-1, -1};
        if (disk_refuses && pipe2(out, O_CLOEXEC)) // its log must not be refused, too
            exit(2);
        pid = fork();
        if (!pid) {
            if (ends_with_us) // the signal comes when the thread that started it ends
                prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (getppid() != parent)
                _exit(127);
            int fd = disk_refuses ? out[1] : open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0640);
            if (disk_refuses) {
                rlimit none = {0, RLIM_INFINITY};
                ::signal(SIGXFSZ, SIG_IGN); // write() then fails with EFBIG
                setrlimit(RLIMIT_FSIZE, &none);
            }
            dup2(fd, 1);
            dup2(fd, 2);
            char path_variable[] = "PATH=/usr/bin:/bin", lang[] = "LANG=C", home[] = "HOME=/tmp";
            char *environment[] = {&variable[0], path_variable, lang, home, nullptr};
            execle(program.c_str(), "sagehitch", "platform", side ? "agent" : "controller", nullptr, environment);
            _exit(127);
        }
        if (disk_refuses) {
            close(out[1]);
            std::thread([log, from = out[0]] {
                char chunk[4096];
                FILE *to = fopen(log.c_str(), "a");
                for (ssize_t n; (n = read(from, chunk, sizeof chunk)) > 0; fflush(to))
                    fwrite(chunk, 1, (size_t)n, to);
                fclose(to);
                close(from);
            }).detach();
        }
        record("platform: start %s (%s) pid %d%s", name.c_str(), ip.c_str(), (int)pid,
               disk_refuses ? ", its disk refuses writes" : "");
    }

    void disk_recovers()
    {
        rlimit any = {RLIM_INFINITY, RLIM_INFINITY};
        disk_refuses = false;
        if (prlimit(pid, RLIMIT_FSIZE, &any, nullptr))
            exit(2);
        record("platform: the disk of %s takes writes again", name.c_str());
    }

    void lose_disk() const
    {
        record("platform: %s loses its disk", name.c_str());
        nftw((work_folder + "/" + name + ".data").c_str(), remove_entry, 16, FTW_DEPTH | FTW_PHYS);
    }

    void signal(int number) const
    {
        if (pid > 0)
            kill(pid, number);
    }

    // Ends it and waits. Returns how it ended, as of waitpid().
    int end(int number)
    {
        int status = 0;
        if (pid <= 0)
            return 0;
        kill(pid, number);
        if (number != SIGKILL)
            kill(pid, SIGCONT);
        waitpid(pid, &status, 0);
        pid = 0;
        return status;
    }

    // Whether it ended by itself.
    bool ended()
    {
        int status;
        if (pid <= 0 || waitpid(pid, &status, WNOHANG) != pid)
            return false;
        record("platform: %s ended by itself, status %x", name.c_str(), status);
        pid = 0;
        return true;
    }
};

// --- executors ---------------------------------------------------------------------------

// The text of a task here: "ms=DURATION cpu=MILLI fail=0|1", so that the stand-in knows what it runs.
inline int64_t number_in(const string &from, const char *name, int64_t otherwise)
{
    size_t at = from.find(name);
    return at == string::npos ? otherwise : atoll(from.c_str() + at + strlen(name));
}

struct Interval { // a run as it was on the executor
    string executor, task;
    int64_t attempt, from, to; // to -1: still running
    string how;
    int64_t noted = -1; // when lastSeen reached its end
    int64_t seq = 0;
    string spec, checkpoint;
};
inline std::vector<Interval> intervals;
inline std::mutex world_lock; // intervals, and all executors' states
inline std::condition_variable world_changed;

inline std::vector<string> violations; // under world_lock
inline std::map<string, std::vector<int64_t>> lapses; // executor -> when its hold lapsed, under world_lock

// A gang's run: its members by task, present on some executor. begun_ms: when all were, -1: not yet.
struct Gang {
    std::set<string> present;
    int64_t begun_ms = -1;
    string over; // how its first member ended
};
inline std::map<string, Gang> gangs; // by "JOB.K.STEP attempt"
inline string gang_key(const string &task, int64_t attempt)
{
    return task.substr(0, task.rfind('.')) + " " + std::to_string(attempt);
}

struct Active {
    int64_t attempt, from, work_ms, stop_ms = -1;
    size_t interval;
    bool fail;
    int64_t cpu, gang; // gang: how many members it has, 0: it is none
};
struct Ended {
    int64_t seq;
    string task;
    int64_t attempt;
    string how;
};

struct Executor {
    string id, service = "bokning", rack = "r1";
    const Machine *side = nullptr;
    int64_t clock_offset = 0;
    int64_t cpu = 16000;
    bool guards = true;
    std::map<string, Active> active;
    std::map<string, int64_t> settled; // task -> highest attempt that ended or was stopped here
    std::vector<Ended> finished;
    int64_t next_seq = 1, fence = 0, hold_until = 0, sequence = 0;
    std::atomic<bool> up{false}, beats{false};
    bool draining = false, lapsed = false;
    int listener = -1;
    std::vector<std::thread> threads;
    std::vector<std::thread> late;
    std::set<int> connections;
    std::mutex late_lock;
    // 0: answer; else leave this call unanswered and carry it out so many ms later
    std::function<int64_t(const string &path)> unanswered;
    int64_t calls = 0, calls_unanswered = 0;

    int64_t clock() const { return now_ms() + clock_offset; }

    void end_run(const string &task, const string &how)
    {
        Active run = active[task];
        active.erase(task);
        if (run.gang) {
            Gang &gang = gangs[gang_key(task, run.attempt)];
            gang.present.erase(task);
            if (gang.over.empty())
                gang.over = how;
        }
        settled[task] = std::max(settled[task], run.attempt);
        intervals[run.interval].to = now_ms();
        intervals[run.interval].how = how;
        intervals[run.interval].seq = next_seq;
        finished.push_back({next_seq++, task, run.attempt, how});
        record("executor %s: run %s attempt %lld ended %s", id.c_str(), task.c_str(), (long long)run.attempt, how.c_str());
        world_changed.notify_all();
    }

    void tick()
    {
        if (hold_until && !lapsed && clock() >= hold_until) {
            lapsed = true;
            lapses[id].push_back(now_ms());
        }
        std::vector<std::pair<string, string>> ends;
        for (auto &[task, run] : active) {
            if (clock() >= hold_until)
                ends.push_back({task, "lapsed"});
            else if (run.stop_ms >= 0 && now_ms() >= run.stop_ms)
                ends.push_back({task, "stopped"});
            else if (run.gang) {
                Gang &gang = gangs[gang_key(task, run.attempt)];
                if (!gang.over.empty())
                    ends.push_back({task, gang.over == "done" ? "done" : "broken"});
                else if (gang.begun_ms >= 0 && now_ms() - gang.begun_ms >= run.work_ms)
                    ends.push_back({task, run.fail ? "failed" : "done"});
                else if (gang.begun_ms < 0 && now_ms() - run.from >= bounds.gang)
                    ends.push_back({task, "alone"});
            } else if (now_ms() - run.from >= run.work_ms)
                ends.push_back({task, run.fail ? "failed" : "done"});
        }
        for (auto &[task, how] : ends)
            end_run(task, how);
    }

    void take_hold(json_t *request)
    {
        int64_t expires = json_integer_value(json_object_get(request, "expiresMs"));
        expires = std::min(expires, clock() + bounds.hold_max);
        hold_until = std::max(hold_until, expires);
        lapsed = lapsed && clock() >= hold_until;
    }

    string clock_body(const char *reason = nullptr) const
    {
        return reason ? text("{\"clockMs\":%lld,\"reason\":\"%s\"}", (long long)clock(), reason)
                      : text("{\"clockMs\":%lld}", (long long)clock());
    }

    int start(json_t *request, string &answer)
    {
        string task = json_string_value(json_object_get(request, "taskId"));
        int64_t attempt = json_integer_value(json_object_get(request, "attempt")), used = 0;
        const char *spec = json_string_value(json_object_get(request, "spec"));
        const char *checkpoint = json_string_value(json_object_get(request, "checkpointed"));
        auto there = active.find(task);
        if (there != active.end() && there->second.attempt == attempt) {
            take_hold(request);
            answer = clock_body();
            return 200;
        }
        if ((settled.count(task) && attempt <= settled[task]) ||
            (there != active.end() && attempt < there->second.attempt)) {
            take_hold(request);
            answer = clock_body("old");
            return 409;
        }
        if (json_integer_value(json_object_get(request, "expiresMs")) <= clock()) {
            answer = clock_body("late");
            return 409;
        }
        string own = spec ? spec : "";
        for (auto &[name, run] : active)
            used += run.cpu;
        int64_t cpu_needed = number_in(own, "cpu=", 1000);
        if (!guards && used + cpu_needed > cpu)
            violations.push_back(text("LIMIT: %s starts %s with %lld of %lld in use", id.c_str(), task.c_str(),
                                      (long long)used, (long long)cpu));
        if ((guards && used + cpu_needed > cpu) || there != active.end()) {
            take_hold(request);
            answer = clock_body("room");
            return 409;
        }
        take_hold(request);
        active[task] = {attempt, now_ms(), number_in(own, "ms=", 1000), -1, intervals.size(),
                        number_in(own, "fail=", 0) != 0, cpu_needed, number_in(own, "gang=", 0)};
        if (active[task].gang) {
            Gang &gang = gangs[gang_key(task, attempt)];
            gang.present.insert(task);
            if ((int64_t)gang.present.size() == active[task].gang)
                gang.begun_ms = now_ms();
        }
        intervals.push_back({id, task, attempt, now_ms(), -1, "", -1, 0, own, checkpoint ? checkpoint : ""});
        record("executor %s: run %s attempt %lld begins", id.c_str(), task.c_str(), (long long)attempt);
        answer = clock_body();
        return 200;
    }

    int stop(json_t *request, string &answer)
    {
        string task = json_string_value(json_object_get(request, "taskId"));
        int64_t attempt = json_integer_value(json_object_get(request, "attempt"));
        auto there = active.find(task);
        if (there != active.end() && there->second.attempt <= attempt) {
            if (there->second.stop_ms < 0)
                there->second.stop_ms = now_ms() + bounds.stop / 2;
        } else {
            settled[task] = std::max(settled[task], attempt);
        }
        answer = clock_body();
        return 200;
    }

    void forget(int64_t seen)
    {
        for (const Ended &end : finished)
            if (end.seq <= seen)
                for (Interval &interval : intervals)
                    if (interval.executor == id && interval.seq == end.seq && interval.noted < 0)
                        interval.noted = now_ms();
        finished.erase(std::remove_if(finished.begin(), finished.end(), [&](const Ended &end) { return end.seq <= seen; }),
                       finished.end());
    }

    int hold(json_t *request, string &answer, std::unique_lock<std::mutex> &lock, bool may_wait)
    {
        int64_t wait = json_integer_value(json_object_get(request, "queueWaitMs")), until = now_ms() + std::min<int64_t>(wait, 2000);
        take_hold(request);
        forget(json_integer_value(json_object_get(request, "lastSeen")));
        while (may_wait && up && finished.empty() && now_ms() < until)
            world_changed.wait_for(lock, std::chrono::milliseconds(5));
        string out = text("{\"clockMs\":%lld,\"active\":[", (long long)clock());
        bool first = true;
        for (auto &[task, run] : active) {
            int64_t percent = std::min<int64_t>(99, (now_ms() - run.from) * 100 / std::max<int64_t>(run.work_ms, 1));
            out += text("%s[\"%s\",%lld,\"\",%lld]", first ? "" : ",", task.c_str(), (long long)run.attempt, (long long)percent);
            first = false;
        }
        out += "],\"finished\":[";
        for (size_t i = 0; i < finished.size() && i < 500; i++)
            out += text("%s[%lld,\"%s\",%lld,\"%s\",\"\"]", i ? "," : "", (long long)finished[i].seq,
                        finished[i].task.c_str(), (long long)finished[i].attempt, finished[i].how.c_str());
        answer = out + "]}";
        return 200;
    }

    int carry_out(const Message &message, string &answer, bool may_wait)
    {
        std::unique_lock<std::mutex> lock(world_lock);
        size_t from = message.first.find(' ') + 1;
        string path = message.first.substr(from, message.first.find(' ', from) - from);
        auto expected = message.headers.find("expected-executor");
        if (!up || (expected != message.headers.end() && expected->second != id))
            return 421;
        json_t *request = json_loads(message.body.c_str(), 0, nullptr);
        if (!request)
            return 400;
        int64_t token = json_integer_value(json_object_get(request, "fenceToken"));
        int status = 404;
        tick();
        if (token < fence) {
            answer = clock_body("fence");
            status = 409;
        } else {
            fence = token;
            if (path == "/sagehitch/run-start")
                status = start(request, answer);
            else if (path == "/sagehitch/run-stop")
                status = stop(request, answer);
            else if (path == "/sagehitch/hold")
                status = hold(request, answer, lock, may_wait);
        }
        json_decref(request);
        return status;
    }

    void serve(int fd)
    {
        string rest;
        Message message;
        while (up && read_message(fd, message, rest, now_ms() + 600000)) {
            size_t from = message.first.find(' ') + 1;
            string path = message.first.substr(from, message.first.find(' ', from) - from);
            int64_t late_ms;
            {
                std::lock_guard<std::mutex> lock(world_lock);
                late_ms = unanswered ? unanswered(path) : 0;
                calls++;
                calls_unanswered += late_ms > 0;
            }
            if (late_ms > 0) {
                record("executor %s: call %s left without an answer, to be carried out %lld ms later", id.c_str(),
                       path.c_str(), (long long)late_ms);
                std::lock_guard<std::mutex> hold(late_lock);
                late.emplace_back([this, message, late_ms, path] {
                    for (int64_t until = now_ms() + late_ms; now_ms() < until && up;)
                        sleep_ms(10);
                    string ignored;
                    int status = carry_out(message, ignored, false);
                    record("executor %s: call %s carried out late, %d %s", id.c_str(), path.c_str(), status,
                           status == 409 ? ignored.c_str() : "");
                });
                char byte;
                while (up && recv(fd, &byte, 1, 0) > 0) // until the caller gives up
                    ;
                break;
            }
            string answer;
            int status = carry_out(message, answer, true);
            if (!up || !write_all(fd, text("HTTP/1.1 %d x\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
                                           status, answer.size()) + answer))
                break;
        }
        std::lock_guard<std::mutex> lock(world_lock);
        connections.erase(fd);
        close(fd);
    }

    Address control() const { return {side->ip, base_port + P_CONTROL}; }

    int beat()
    {
        string body = text("{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\",\"revision\":\"v1\",\"capacity\":8,"
                           "\"state\":\"%s\",\"warmupRemainingMs\":0,\"freeCapacity\":{\"vcpus\":%lld,"
                           "\"memoryRequestMb\":32768,\"gpus\":0},\"labels\":[\"a\",\"%s\"],\"clockMs\":%lld,"
                           "\"callSequence\":%lld}",
                           service.c_str(), side->ip.c_str(), base_port + P_APP, side->zone.c_str(),
                           draining ? "draining" : "available", (long long)cpu, rack.c_str(), (long long)clock(),
                           (long long)++sequence);
        return call(control(), "PUT", "/sagehitch/executors/" + id, "", body, 1000);
    }

    int leave()
    {
        beats = false;
        int status = call(control(), "DELETE", "/sagehitch/executors/" + id, "", "", 1000);
        record("executor %s: says DELETE, answered %d", id.c_str(), status);
        return status;
    }

    void begin()
    {
        listener = listen_at({side->ip, base_port + P_APP});
        if (listener < 0) {
            record("executor %s: cannot listen", id.c_str());
            exit(2);
        }
        up = beats = true;
        record("executor %s: begins at %s", id.c_str(), side->ip.c_str());
        threads.emplace_back([this] {
            while (up) {
                pollfd p = {listener, POLLIN, 0};
                if (poll(&p, 1, 50) <= 0)
                    continue;
                int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC), on = 1;
                if (fd < 0)
                    continue;
                setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                std::lock_guard<std::mutex> lock(world_lock);
                connections.insert(fd);
                std::lock_guard<std::mutex> hold(late_lock);
                late.emplace_back([this, fd] { serve(fd); });
            }
        });
        threads.emplace_back([this] {
            while (up) {
                {
                    std::lock_guard<std::mutex> lock(world_lock);
                    tick();
                }
                sleep_ms(5);
            }
        });
        threads.emplace_back([this] {
            for (int64_t next = 0; up; sleep_ms(20))
                if (beats && now_ms() >= next) {
                    next = now_ms() + 1500;
                    if (beat() / 100 != 2)
                        next = now_ms() + 200;
                }
        });
    }

    // It ends: all that runs on it dies.
    void end(const char *why)
    {
        if (!up)
            return;
        {
            std::lock_guard<std::mutex> lock(world_lock);
            up = beats = false;
            record("executor %s: %s", id.c_str(), why);
            for (auto &[task, run] : active) {
                intervals[run.interval].to = now_ms();
                intervals[run.interval].how = "died";
                if (run.gang && gangs[gang_key(task, run.attempt)].over.empty())
                    gangs[gang_key(task, run.attempt)].over = "died";
            }
            active.clear();
            for (int fd : connections)
                shutdown(fd, SHUT_RDWR);
            shutdown(listener, SHUT_RDWR);
        }
        for (std::thread &thread : threads)
            thread.join();
        for (std::thread &thread : late)
            thread.join();
        close(listener);
    }
};

// --- judging -----------------------------------------------------------------------------

// TWICE: two runs of one task at once on executors that are up. slack_ms: clock grain of the stand-ins.
inline int judge_twice(int64_t slack_ms = 20)
{
    std::lock_guard<std::mutex> lock(world_lock);
    int broken = 0;
    for (size_t i = 0; i < intervals.size(); i++)
        for (size_t k = i + 1; k < intervals.size(); k++) {
            const Interval &a = intervals[i], &b = intervals[k];
            if (a.task != b.task)
                continue;
            int64_t a_to = a.to < 0 ? now_ms() : a.to, b_to = b.to < 0 ? now_ms() : b.to;
            int64_t both = std::min(a_to, b_to) - std::max(a.from, b.from);
            if (both > slack_ms) {
                broken++;
                record("TWICE: task %s runs on %s (attempt %lld, %.3f to %.3f, %s) and on %s (attempt %lld, %.3f to %.3f, "
                       "%s): %lld ms at once",
                       a.task.c_str(), a.executor.c_str(), (long long)a.attempt, (double)a.from / 1000., (double)a_to / 1000.,
                       a.how.c_str(), b.executor.c_str(), (long long)b.attempt, (double)b.from / 1000., (double)b_to / 1000.,
                       b.how.c_str(), (long long)both);
            }
        }
    // a start after a run that ended done, whose end is taken note of, unless the hold lapsed in between
    auto excused = [](const Interval &a) {
        for (int64_t at : lapses[a.executor])
            if (at >= a.to && at <= a.noted)
                return true;
        return false;
    };
    for (const Interval &a : intervals)
        for (const Interval &b : intervals)
            if (a.task == b.task && a.how == "done" && a.noted >= 0 && b.from > a.to && &a != &b && !excused(a)) {
                broken++;
                record("TWICE: task %s ended done on %s at %.3f (noted %.3f) and starts again on %s at %.3f", a.task.c_str(),
                       a.executor.c_str(), (double)a.to / 1000., (double)a.noted / 1000., b.executor.c_str(),
                       (double)b.from / 1000.);
            }
    return broken;
}

// --- a small deployment ------------------------------------------------------------------

inline bool ports_free(const std::vector<string> &ips, int base)
{
    for (const string &ip : ips)
        for (int i = 0; i < 20; i++) {
            int fd = listen_at({ip, base + i});
            if (fd < 0)
                return false;
            close(fd);
        }
    return true;
}

struct Site {
    std::vector<std::unique_ptr<Machine>> controllers, agents;
    std::vector<std::unique_ptr<Executor>> executors;
    int revision = 0;
    uint64_t next_job;

    Site(int n_controllers, int n_disks, int n_agents)
    {
        static const char *const zones[] = {"hall-orebro", "hall-vasteras", "hall-karlstad"};
        std::vector<string> ips, seeds;
        next_job = ((uint64_t)getpid() << 32) ^ (uint64_t)steady_ms() * 2654435761u;
        for (int i = 0; i < n_controllers; i++)
            ips.push_back(text("127.77.%d.%d", i % 3 + 1, 10 + i));
        for (int i = 0; i < n_agents; i++)
            ips.push_back(text("127.77.%d.%d", i % 3 + 1, 100 + i));
        for (int i = 0; i < 3 && i < n_controllers; i++)
            seeds.push_back(ips[(size_t)i]);
        srand((unsigned)(getpid() ^ time(nullptr)));
        do
            base_port = 20000 + rand() % 10000;
        while (!ports_free(ips, base_port));
        for (int i = 0; i < n_controllers + n_agents; i++) {
            auto machine = std::make_unique<Machine>();
            machine->ip = ips[(size_t)i];
            machine->zone = zones[(i < n_controllers ? i : i - n_controllers) % 3];
            machine->side = i >= n_controllers;
            machine->disk = i < n_disks;
            machine->seeds = seeds;
            machine->name = text("%s-%d", machine->side ? "side" : "edge", i < n_controllers ? i + 1 : i - n_controllers + 1);
            (machine->side ? agents : controllers).push_back(std::move(machine));
        }
    }

    void start(bool guards = true)
    {
        for (auto &machine : controllers)
            machine->start(true);
        for (auto &machine : agents)
            machine->start(true);
        for (size_t i = 0; i < agents.size(); i++)
            executor_begin(i, guards);
    }

    Executor &executor_begin(size_t agent, bool guards = true)
    {
        static int number;
        auto executor = std::make_unique<Executor>();
        executor->id = text("i-%08x%02d", (unsigned)rand(), ++number);
        executor->side = agents[agent].get();
        executor->rack = text("r1-%zu", agent / 3 + 1);
        executor->clock_offset = 100000 + rand() % 400000;
        executor->guards = guards;
        executor->begin();
        std::lock_guard<std::mutex> lock(world_lock);
        executors.push_back(std::move(executor));
        return *executors.back();
    }

    Address front(size_t i) const { return {controllers[i % controllers.size()]->ip, base_port + P_FRONT}; }
    Address control(size_t i) const { return {controllers[i % controllers.size()]->ip, base_port + P_CONTROL}; }

    static string route(const char *name, const char *prefix, int priority, int attempts, double extension, int target)
    {
        return text("{\"name\":\"%s\",\"host\":\"nony24.example\",\"pathPrefix\":\"%s\",\"routeType\":\"non_idempotent\","
                    "\"timeoutMs\":3000,\"targetLatencyMs\":%d,\"priority\":%d,\"service\":\"bokning\",\"maxAttempts\":%d,"
                    "\"extension\":%g}",
                    name, prefix, target, priority, attempts, extension);
    }

    static string configuration(int revision, bool guards = true)
    {
        return text("{\"revision\":%d,\"routes\":[%s,%s,%s],\"services\":[{\"name\":\"bokning\",\"healthCheckPath\":"
                    "\"/healthcheck\",\"maxConnections\":64,\"protocol\":\"h1\",\"tlsEnabled\":false,\"constraints\":%s}],"
                    "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
                    "\"idleTimeoutMs\":15000}}",
                    revision, route("r-size", "/lohu930/", 0, 4, 1.5, 250).c_str(),
                    route("r-swap", "/pule252/", 1, 3, 2.2, 1000).c_str(),
                    route("r-stock", "/pufi791/", 2, 3, 3.2, 3000).c_str(), guards ? "true" : "false");
    }

    // Sends the first configuration until it is taken; exits with 2 if it never is.
    void configure(bool guards = true)
    {
        string body = configuration(3, guards);
        for (size_t i = 0; now_ms() < 20000; i++) {
            int status = call(control(i), "PUT", "/sagehitch/configuration", "If-Match: 0\r\n", body, 1000);
            if (status == 200) {
                revision = 3;
                record("operator: configuration 3 acknowledged");
                return;
            }
            sleep_ms(200);
        }
        record("operator: the first configuration was never taken");
        finish(2);
    }

    string job_name() { return text("%016llx", (unsigned long long)(next_job += 0x9e3779b97f4a7c15ull)); }

    // Hands a job in until it is accepted, at most wait_ms. Returns whether it was.
    bool submit(const string &prefix, const string &job, const string &body, int64_t wait_ms, size_t first = 0)
    {
        for (size_t i = first; wait_ms > 0; i++) {
            int64_t from = now_ms();
            int status = call(front(i), "POST", prefix + job, "Host: nony24.example\r\nDeadline-Ms: 3000\r\n", body, 3000);
            record("client: POST %s%s at %s: %d", prefix.c_str(), job.c_str(), front(i).str().c_str(), status);
            if (status / 100 == 2)
                return true;
            sleep_ms(200);
            wait_ms -= now_ms() - from;
        }
        return false;
    }

    string state(const string &prefix, const string &job, size_t at = 0)
    {
        string answer;
        int status = call(front(at), "GET", prefix + job, "Host: nony24.example\r\nDeadline-Ms: 3000\r\n", "", 3000, &answer);
        return std::to_string(status) + " " + answer;
    }

    // The controller that says in its log that it leads, by the newest such line; -1: none.
    int leader() const
    {
        int best = -1;
        long long best_term = -1;
        for (size_t i = 0; i < controllers.size(); i++) {
            FILE *file = fopen((work_folder + "/" + controllers[i]->name + ".log").c_str(), "r");
            char line[4096];
            while (file && fgets(line, sizeof line, file)) {
                const char *at = strstr(line, "last=") ? strstr(line, "term=") : nullptr;
                if (at && atoll(at + 5) > best_term) {
                    best_term = atoll(at + 5);
                    best = (int)i;
                }
            }
            if (file)
                fclose(file);
        }
        return best;
    }

    [[noreturn]] void finish(int code)
    {
        for (auto &executor : executors)
            executor->end("the trial is over");
        for (auto &machine : agents)
            machine->end(SIGKILL);
        for (auto &machine : controllers)
            machine->end(SIGKILL);
        record("result: exit %d", code);
        if (!getenv("STAND_KEEP"))
            nftw(work_folder.c_str(), remove_entry, 16, FTW_DEPTH | FTW_PHYS);
        else
            record("kept %s", work_folder.c_str());
        fclose(record_file);
        _exit(code);
    }
};

inline bool trouble()
{
    const char *value = getenv("TROUBLE");
    return !value || strcmp(value, "0") != 0;
}

// main's first step: argv[1]: the program, argv[2]: the record.
inline void trial_begin(int argc, char **argv)
{
    char folder[] = "/tmp/review-XXXXXX", *path = argc > 2 ? realpath(argv[1], nullptr) : nullptr;
    if (!path || access(path, X_OK) || !(record_file = fopen(argv[2], "w")) || !mkdtemp(folder)) {
        fprintf(stderr, "usage: %s PROGRAM RECORD; the program must be built\n", argv[0]);
        exit(2);
    }
    program = path;
    free(path);
    work_folder = folder;
    signal(SIGPIPE, SIG_IGN);
    record("trouble: %s", trouble() ? "on" : "off");
}
