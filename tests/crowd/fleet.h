// Three controllers and an agent as processes on loopback addresses, with the limits of their machines, and the
// ordinary requests that they must answer whatever other clients do.
#ifndef SAGEHITCH_TESTS_CROWD_FLEET_H
#define SAGEHITCH_TESTS_CROWD_FLEET_H
#include <chrono>
#include <string>
#include <thread>

#include "tests/history/connection.h"
#include "tests/history/controllers.h"
#include "tests/history/operators.h"

namespace crowd
{

using history::Controller;
using history::MachineLimits;

// An address that the product serves, by the clients it is for.
enum Target { CALLERS, OPERATORS, READINESS, AGENT };

// Descriptors of a machine that are kept for files outside the data folder (the users' DEPLOY page).
enum { FILE_DESCRIPTORS_KEPT = 200 };

class Fleet
{
    enum { CONTROLLERS = 3, CALL_MS = 3000, ANSWERED_MS = 60000, PAUSE_MS = 100 };
    history::Controllers controllers;
    history::Connection connection;
    int64_t version = 0, jobs = 0, heartbeats = 0;

    // Repeats a request until it is answered with 200, as ordinary clients do after a refusal or silence.
    bool answered(const std::function<int64_t()> &request)
    {
        int64_t until_us = history::now_us() + ANSWERED_MS * 1000;
        while (history::now_us() < until_us) {
            if (request() == 200)
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(PAUSE_MS));
        }
        return false;
    }
    int64_t call(const std::string &method, const std::string &url, const std::string &body,
                 const std::vector<std::string> &headers)
    {
        history::Connection fresh; // ordinary clients do not depend on a connection
        return fresh.call(method, url, body, headers, CALL_MS);
    }

  public:
    // agent and leader may be used once start() returned true.
    Fleet(const std::string &binary, const MachineLimits &of_controllers, const MachineLimits &of_agent)
        : controllers(binary, CONTROLLERS, 1)
    {
        for (Controller &c : controllers.all)
            c.limits = of_controllers;
        agent().agent = true;
        agent().limits = of_agent;
    }
    Controller &agent() { return controllers.all.back(); }
    // The controller that is attacked at an address: the leader by callers, another one by operators, so that copies on
    // their way between controllers count too.
    Controller &attacked(Target target)
    {
        if (target == AGENT)
            return agent();
        int leader = controllers.leader();
        return controllers.all[target == OPERATORS ? (leader == 0 ? 1 : 0) : (size_t)std::max(leader, 0)];
    }
    // The port for frames of other processes: the first of the inner ports, of an agent the second.
    int frame_port(const Controller &c) const { return controllers.operators_port() + (c.agent ? 2 : 1); }
    std::vector<const Controller *> of_controllers() const
    {
        std::vector<const Controller *> found;
        for (const Controller &c : controllers.all)
            if (!c.agent)
                found.push_back(&c);
        return found;
    }
    int port(Target target) const
    {
        return target == CALLERS     ? controllers.callers_port()
               : target == READINESS ? controllers.readiness_port()
                                     : controllers.operators_port();
    }
    std::string url(const Controller &c, Target target, const std::string &path) const
    {
        return "http://" + c.address() + ":" + std::to_string(port(target)) + path;
    }
    // All processes run and have taken a first configuration.
    bool start()
    {
        for (Controller &c : controllers.all)
            controllers.start(c, true);
        return ordinary(OPERATORS, controllers.all[0]) && ordinary(CALLERS, controllers.all[0]) &&
               ordinary(READINESS, controllers.all[0]) && ordinary(AGENT, agent()) && controllers.leader() >= 0;
    }
    static std::string configuration(int64_t revision, const std::string &more = "")
    {
        return "{\"revision\":" + std::to_string(revision) + ",\"routes\":[" + history::ROUTE +
               "],\"services\":[{\"name\":\"s\"}],\"limits\":{}" + more + "}";
    }
    static std::string job(const std::string &more = "")
    {
        return R"({"spec":"wait","stages":[{"taskCount":1,"vcpus":100,"memoryRequestMb":10}])" + more + "}";
    }
    static std::string heartbeat(int64_t sequence, const std::string &more = "")
    {
        return R"({"service":"s","address":"127.0.0.9:8080","zone":"north","revision":"v1","capacity":8,)"
               R"("state":"available","warmupRemainingMs":0,"freeCapacity":{"vcpus":16000,"memoryRequestMb":32768},)"
               R"("labels":["a","r1-3"],"clockMs":1,"callSequence":)" +
               std::to_string(sequence) + more + "}";
    }
    static std::string job_name(int64_t number)
    {
        char name[32];
        snprintf(name, sizeof name, "%016llx", 0xc0ffee0000000000ULL + (unsigned long long)number);
        return name;
    }
    // Puts the next configuration at c, again until it is taken.
    bool configure(const Controller &c, const std::string &more)
    {
        std::string base = "If-Match: " + std::to_string(version), body = configuration(version + 1, more);
        bool taken = answered([&] { return call("PUT", url(c, OPERATORS, "/sagehitch/configuration"), body, {base}); });
        version += taken;
        return taken;
    }
    bool submit(const Controller &c)
    {
        std::string at = url(c, CALLERS, "/jobs/" + job_name(jobs++));
        return answered([&] { return call("POST", at, job(), {"Host: jobs.example"}); }) &&
               answered([&] { return call("GET", at, "", {"Host: jobs.example"}); });
    }
    // An ordinary request of those that the address is for is answered.
    bool ordinary(Target target, const Controller &c)
    {
        switch (target) {
        case CALLERS: return submit(c);
        case OPERATORS: return configure(c, "");
        case READINESS: return answered([&] { return call("GET", url(c, READINESS, "/sagehitch/readiness"), "", {}); });
        default:
            return answered(
                [&] { return call("PUT", url(c, AGENT, "/sagehitch/executors/e-1"), heartbeat(++heartbeats), {}); });
        }
    }
    int64_t current_version() const { return version; }
    // One request, sent once; the status, 0: no complete answer.
    int64_t once(const std::string &method, const std::string &at, const std::string &body,
                 const std::vector<std::string> &headers)
    {
        return connection.call(method, at, body, headers, ANSWERED_MS);
    }
    // A process that ended, or that is above the limits of its machine; "": none.
    std::string over_limits()
    {
        std::string text = controllers.died();
        for (const Controller &c : controllers.all) {
            int64_t peak = history::Controllers::peak_kib(c), open = history::Controllers::descriptors(c);
            if (peak > c.limits.memory_mb << 10)
                text += c.address() + (c.agent ? " (agent)" : "") + ": " + std::to_string(peak) + " KiB of " +
                        std::to_string(c.limits.memory_mb << 10) + "; ";
            if (open > c.limits.descriptors - FILE_DESCRIPTORS_KEPT)
                text += c.address() + (c.agent ? " (agent)" : "") + ": " + std::to_string(open) + " descriptors of " +
                        std::to_string(c.limits.descriptors - FILE_DESCRIPTORS_KEPT) + "; ";
        }
        return text;
    }
    std::string sizes() const
    {
        std::string text;
        for (const Controller &c : controllers.all)
            text += c.address() + ": peak " + std::to_string(history::Controllers::peak_kib(c)) + " KiB, " +
                    std::to_string(history::Controllers::descriptors(c)) + " descriptors; ";
        return text;
    }
};

} // namespace crowd
#endif
