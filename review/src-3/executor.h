// Stand-ins of the platform's executors, as PROTOCOL.md describes them: one for each agent's machine. They run nothing;
// a run is a time to wait and a way to end, which the case sets for each step of its jobs.
#pragma once
#include <condition_variable>
#include <deque>
#include <memory>
#include <optional>

#include <jansson.h>

#include "machines.h"

namespace review
{

// What a run does: it ends after duration_ms in the way `how`, or lasts until it is stopped if duration_ms is 0.
struct RunPlan {
    int64_t duration_ms = 0;
    std::string how = "done";
};
// A step as the executors know it. gang_size 0: no gang. plan: called once for each run that begins.
struct StepPlan {
    int64_t vcpus = 1000, memory_mb = 100;
    int gang_size = 0;
    std::function<RunPlan(int index, int64_t attempt)> plan = [](int, int64_t) { return RunPlan{1000, "done"}; };
};

// The parts of a task's name, ID.K.STEP.INDEX.
struct TaskName {
    std::string job;
    int repetition = 0, step = 0, index = 0;
    static TaskName parse(const std::string &text)
    {
        TaskName name;
        size_t dot = text.find('.');
        name.job = text.substr(0, dot);
        sscanf(text.c_str() + dot, ".%d.%d.%d", &name.repetition, &name.step, &name.index);
        return name;
    }
    std::string step_key() const { return job + "." + std::to_string(step); }
    std::string gang_key(int64_t attempt) const
    {
        return job + "." + std::to_string(repetition) + "." + std::to_string(step) + "/" + std::to_string(attempt);
    }
};

// What an executor saw or did. kind: start (a run begins), end, noted (an end that lastSeen reached), refused, stop.
struct Event {
    int64_t at_ms;
    std::string executor, kind, task;
    int64_t attempt;
    std::string detail;
};

struct Run {
    std::string task;
    int64_t attempt, vcpus, memory_mb;
    std::string gang; // key of its gang, "": none
    int64_t present_ms, began_ms = 0, stop_ms = 0;
    RunPlan plan;
};
struct Ended {
    int64_t number;
    std::string task;
    int64_t attempt;
    std::string how;
};

class Executor;

// All executors of a deployment, the plans of the jobs, and the record of what happened.
class Fleet
{
  public:
    std::recursive_mutex lock;
    std::condition_variable_any changed;
    std::vector<Event> events;
    std::map<std::string, StepPlan> steps; // by JOB.STEP
    std::vector<std::unique_ptr<Executor>> executors;
    Machines &machines;
    int64_t began_ms = now_ms();

    explicit Fleet(Machines &of) : machines(of) {}
    ~Fleet();
    void begin();
    void note(const std::string &executor, const std::string &kind, const std::string &task, int64_t attempt,
              const std::string &detail)
    {
        std::lock_guard<std::recursive_mutex> held(lock);
        events.push_back({now_ms() - began_ms, executor, kind, task, attempt, detail});
    }
    int64_t elapsed_ms() const { return now_ms() - began_ms; }
    // How many runs of the gang are present on all executors.
    int gang_present(const std::string &gang) const;
    void gang_end(const std::string &gang, const std::string &how, const Run *except);
    void write(FILE *to)
    {
        std::lock_guard<std::recursive_mutex> held(lock);
        for (const Event &event : events)
            fprintf(to, "%8.3f %-10s %-8s %s %lld %s\n", (double)event.at_ms / 1000, event.executor.c_str(),
                    event.kind.c_str(), event.task.c_str(), (long long)event.attempt, event.detail.c_str());
    }

  private:
    std::atomic<bool> ending{false};
    std::thread ticking, beating;
};

class Executor
{
  public:
    Fleet &fleet;
    Machine &machine;
    int number, life = 0;
    int64_t vcpus = 16000, memory_mb = 32768;
    bool guards = true;
    std::vector<std::string> labels;
    bool up = true, draining = false;
    bool sick = false;     // answers each run-start with 503 and does nothing
    int64_t beat_ms = 1500;

    Executor(Fleet &of, Machine &at, int number_, std::vector<std::string> labels_)
        : fleet(of), machine(at), number(number_), labels(std::move(labels_)),
          server(of.machines.app(at), [this](const std::string &method, const std::string &path,
                                             const Message &message) { return handle(method, path, message); })
    {
    }

    std::string id() const { return "i-" + std::to_string(number) + "-" + std::to_string(life); }
    int64_t clock_ms() const { return now_ms() - born_ms + 5000; }
    int64_t used_vcpus() const
    {
        int64_t used = 0;
        for (const auto &run : runs)
            used += run->vcpus;
        return used;
    }
    int64_t used_memory() const
    {
        int64_t used = 0;
        for (const auto &run : runs)
            used += run->memory_mb;
        return used;
    }
    std::vector<std::unique_ptr<Run>> runs;

    // Ends all runs without a word and begins a new life, which is up after down_ms.
    void crash(int64_t down_ms)
    {
        std::lock_guard<std::recursive_mutex> held(fleet.lock);
        fleet.note(id(), "crash", "-", 0, "runs=" + std::to_string(runs.size()));
        runs.clear();
        ended.clear();
        highest.clear();
        fence = next_number = expires_ms = 0;
        life++;
        up = false;
        up_at_ms = now_ms() + down_ms;
        fleet.changed.notify_all();
    }

    // Leaves in order: says draining, serves on for serves_ms after that was acknowledged, sends DELETE and ends for good.
    void leave(int64_t serves_ms)
    {
        {
            std::lock_guard<std::recursive_mutex> held(fleet.lock);
            draining = true;
            departs_at_ms = now_ms() + serves_ms;
            next_beat_ms = 0;
            fleet.note(id(), "draining", "-", 0, "");
        }
        beat();
        sleep_ms(serves_ms);
        Answer answer = call(fleet.machines.control(machine), "DELETE", "/sagehitch/executors/" + id(), "", {}, 1000);
        std::lock_guard<std::recursive_mutex> held(fleet.lock);
        gone = true;
        fleet.note(id(), "gone", "-", 0, "DELETE: " + std::to_string(answer.status) + ", runs=" +
                                             std::to_string(runs.size()));
        runs.clear();
        fleet.changed.notify_all();
    }

    void end_run(size_t at, const std::string &how)
    {
        std::unique_ptr<Run> run = std::move(runs[at]);
        runs.erase(runs.begin() + (long)at);
        ended.push_back({++next_number, run->task, run->attempt, how});
        fleet.note(id(), "end", run->task, run->attempt, how);
        if (!run->gang.empty())
            fleet.gang_end(run->gang, how == "done" ? "done" : "broken", run.get());
        fleet.changed.notify_all();
    }
    void end_gang_members(const std::string &gang, const std::string &how, const Run *except)
    {
        for (size_t i = runs.size(); i-- > 0;)
            if (runs[i]->gang == gang && runs[i].get() != except) {
                std::unique_ptr<Run> run = std::move(runs[i]);
                runs.erase(runs.begin() + (long)i);
                ended.push_back({++next_number, run->task, run->attempt, how});
                fleet.note(id(), "end", run->task, run->attempt, how);
            }
    }
    int count_gang(const std::string &gang) const
    {
        int n = 0;
        for (const auto &run : runs)
            n += run->gang == gang;
        return n;
    }
    void begin_run(Run &run)
    {
        TaskName name = TaskName::parse(run.task);
        run.began_ms = now_ms();
        run.plan = fleet.steps[name.step_key()].plan(name.index, run.attempt);
        fleet.note(id(), "start", run.task, run.attempt, "vcpus=" + std::to_string(run.vcpus));
    }

    void tick()
    {
        int64_t now = now_ms();
        if (!up && now >= up_at_ms) {
            up = true;
            born_ms = now;
            next_beat_ms = 0;
        }
        if (!up)
            return;
        if (!runs.empty() && clock_ms() >= expires_ms)
            while (!runs.empty())
                end_run(runs.size() - 1, "lapsed");
        for (size_t i = runs.size(); i-- > 0;) {
            if (i >= runs.size())
                continue;
            Run &run = *runs[i];
            if (!run.began_ms && !run.gang.empty()) {
                int size = fleet.steps[TaskName::parse(run.task).step_key()].gang_size;
                if (fleet.gang_present(run.gang) >= size)
                    begin_run(run);
                else if (now - run.present_ms >= fleet.machines.bounds.gang_timeout_ms) {
                    end_run(i, "alone");
                    continue;
                }
            }
            if (run.stop_ms && now >= run.stop_ms)
                end_run(i, "stopped");
            else if (run.began_ms && run.plan.duration_ms && now >= run.began_ms + run.plan.duration_ms)
                end_run(i, run.plan.how);
        }
    }

    // Sends one beat if it is time. Not called under the lock.
    void beat()
    {
        std::string body, path;
        {
            std::lock_guard<std::recursive_mutex> held(fleet.lock);
            if (!up || gone || now_ms() < next_beat_ms)
                return;
            next_beat_ms = now_ms() + beat_ms;
            path = "/sagehitch/executors/" + id();
            std::string list;
            for (const std::string &label : labels)
                list += (list.empty() ? "\"" : ",\"") + label + "\"";
            std::string departure =
                draining ? ",\"departureMs\":" + std::to_string(std::max<int64_t>(0, departs_at_ms - now_ms())) : "";
            body = "{\"service\":\"bokning\",\"address\":\"" + fleet.machines.app(machine).text() + "\",\"zone\":\"" +
                   machine.zone + "\",\"revision\":\"v1\",\"capacity\":8,\"state\":\"" +
                   (draining ? "draining" : "available") + "\"" + departure + ",\"warmupRemainingMs\":0,\"freeCapacity\":{\"vcpus\":" +
                   std::to_string(vcpus) + ",\"memoryRequestMb\":" + std::to_string(memory_mb) +
                   ",\"gpus\":0},\"labels\":[" + list + "],\"clockMs\":" + std::to_string(clock_ms()) +
                   ",\"callSequence\":" + std::to_string(++sequence) + "}";
        }
        Answer answer = call(fleet.machines.control(machine), "PUT", path, body, {}, 1000);
        std::lock_guard<std::recursive_mutex> held(fleet.lock);
        if (answer.status < 200 || answer.status > 299)
            next_beat_ms = now_ms() + 200;
    }

    bool gone = false;

  private:
    int64_t born_ms = now_ms(), up_at_ms = 0, next_beat_ms = 0, sequence = 0, departs_at_ms = 0;
    int64_t fence = 0, next_number = 0, expires_ms = 0;
    std::map<std::string, int64_t> highest; // by task: the highest attempt that was stopped or began
    std::deque<Ended> ended;
    Server server;

    std::string clock_text(const std::string &more = "") const
    {
        return "{\"clockMs\":" + std::to_string(clock_ms()) + more + "}";
    }
    Answer refused(const std::string &reason, const std::string &task, int64_t attempt)
    {
        fleet.note(id(), "refused", task, attempt, reason);
        return {409, clock_text(",\"reason\":\"" + reason + "\"")};
    }
    void extend(int64_t until_ms)
    {
        int64_t longest_ms = clock_ms() + fleet.machines.bounds.hold_max_ms;
        expires_ms = std::max(expires_ms, std::min(until_ms, longest_ms));
    }
    bool has_run(const std::string &task, int64_t attempt) const
    {
        for (const auto &run : runs)
            if (run->task == task && run->attempt == attempt)
                return true;
        return false;
    }

    Answer run_start(const std::string &task, int64_t attempt, int64_t until_ms)
    {
        if (has_run(task, attempt)) {
            extend(until_ms);
            return {200, clock_text()};
        }
        TaskName name = TaskName::parse(task);
        auto step = fleet.steps.find(name.step_key());
        if (step == fleet.steps.end())
            fleet.note(id(), "unasked", task, attempt, "no client sent this task");
        if (until_ms && until_ms <= clock_ms())
            return refused("late", task, attempt);
        extend(until_ms);
        if (highest.count(task) && highest[task] >= attempt)
            return refused("old", task, attempt);
        if (expires_ms <= clock_ms())
            return refused("late", task, attempt);
        int64_t cpu = step == fleet.steps.end() ? 0 : step->second.vcpus,
                memory = step == fleet.steps.end() ? 0 : step->second.memory_mb;
        bool fits = used_vcpus() + cpu <= vcpus && used_memory() + memory <= memory_mb;
        if (guards && !fits)
            return refused("room", task, attempt);
        if (!fits)
            fleet.note(id(), "over", task, attempt, "over freeCapacity");
        highest[task] = attempt;
        auto run = std::make_unique<Run>();
        run->task = task;
        run->attempt = attempt;
        run->vcpus = cpu;
        run->memory_mb = memory;
        run->present_ms = now_ms();
        if (step != fleet.steps.end() && step->second.gang_size)
            run->gang = name.gang_key(attempt);
        if (run->gang.empty())
            begin_run(*run);
        runs.push_back(std::move(run));
        return {200, clock_text()};
    }

    Answer run_stop(const std::string &task, int64_t attempt)
    {
        fleet.note(id(), "stop", task, attempt, "");
        if (!highest.count(task) || highest[task] < attempt)
            highest[task] = attempt;
        for (auto &run : runs)
            if (run->task == task && run->attempt == attempt && !run->stop_ms)
                run->stop_ms = now_ms() + 20;
        return {200, clock_text()};
    }

    Answer hold(std::unique_lock<std::recursive_mutex> &held, json_t *request)
    {
        int64_t seen = json_integer_value(json_object_get(request, "lastSeen")),
                wait_ms = json_integer_value(json_object_get(request, "queueWaitMs")), before_life = life;
        int64_t until_ms = json_integer_value(json_object_get(request, "expiresMs"));
        if (until_ms)
            extend(until_ms);
        while (!ended.empty() && ended.front().number <= seen) {
            fleet.note(id(), "noted", ended.front().task, ended.front().attempt, ended.front().how);
            ended.pop_front();
        }
        int64_t end_ms = now_ms() + std::min<int64_t>(wait_ms, 2000);
        while (ended.empty() && now_ms() < end_ms && life == before_life)
            fleet.changed.wait_for(held, std::chrono::milliseconds(std::max<int64_t>(1, end_ms - now_ms())));
        if (life != before_life)
            return {0, ""};
        std::string active, finished;
        for (const auto &run : runs) {
            int64_t ran_ms = run->began_ms ? now_ms() - run->began_ms : 0;
            int64_t percent = run->plan.duration_ms ? std::min<int64_t>(99, ran_ms * 100 / run->plan.duration_ms) : 0;
            active += (active.empty() ? "[\"" : ",[\"") + run->task + "\"," + std::to_string(run->attempt) + ",\"\"," +
                      std::to_string(percent) + "]";
        }
        int n = 0;
        for (const Ended &end : ended) {
            if (n++ == 500)
                break;
            finished += (finished.empty() ? "[" : ",[") + std::to_string(end.number) + ",\"" + end.task + "\"," +
                        std::to_string(end.attempt) + ",\"" + end.how + "\",\"\"]";
        }
        return {200, clock_text(",\"active\":[" + active + "],\"finished\":[" + finished + "]")};
    }

    Answer handle(const std::string &method, const std::string &path, const Message &message)
    {
        std::unique_lock<std::recursive_mutex> held(fleet.lock);
        if (!up || gone)
            return {0, ""};
        if (method == "GET")
            return {200, "{}"};
        if (message.header("expected-executor") != id())
            return {421, "{}"};
        json_t *request = json_loads(message.body.c_str(), 0, nullptr);
        if (!request)
            return {400, "{}"};
        int64_t token = json_integer_value(json_object_get(request, "fenceToken"));
        int64_t attempt = json_integer_value(json_object_get(request, "attempt"));
        const char *task_text = json_string_value(json_object_get(request, "taskId"));
        std::string task = task_text ? task_text : "-";
        Answer answer;
        if (sick && path == "/sagehitch/run-start") {
            fleet.note(id(), "refused", task, attempt, "503, sick");
            answer = {503, clock_text()};
        } else if (token < fence) {
            answer = refused("fence", task, attempt);
        } else {
            fence = token;
            if (path == "/sagehitch/run-start")
                answer = run_start(task, attempt, json_integer_value(json_object_get(request, "expiresMs")));
            else if (path == "/sagehitch/run-stop")
                answer = run_stop(task, attempt);
            else if (path == "/sagehitch/hold")
                answer = hold(held, request);
            else
                answer = {404, "{}"};
        }
        json_decref(request);
        return answer;
    }
};

inline void Fleet::begin()
{
    ticking = std::thread([this] {
        while (!ending) {
            {
                std::lock_guard<std::recursive_mutex> held(lock);
                for (auto &executor : executors)
                    executor->tick();
            }
            sleep_ms(3);
        }
    });
    beating = std::thread([this] {
        while (!ending) {
            std::vector<std::thread> sending;
            for (auto &executor : executors)
                sending.emplace_back([&executor] { executor->beat(); });
            for (std::thread &thread : sending)
                thread.join();
            sleep_ms(50);
        }
    });
}
inline Fleet::~Fleet()
{
    ending = true;
    if (ticking.joinable())
        ticking.join();
    if (beating.joinable())
        beating.join();
    for (auto &executor : executors)
        executor->gone = true;
    changed.notify_all();
}
inline int Fleet::gang_present(const std::string &gang) const
{
    int n = 0;
    for (const auto &executor : executors)
        n += executor->count_gang(gang);
    return n;
}
inline void Fleet::gang_end(const std::string &gang, const std::string &how, const Run *except)
{
    for (auto &executor : executors)
        executor->end_gang_members(gang, how, except);
}

} // namespace review
