// A stand-in for an executor and its tasks, as the pages describe it: run-start, run-stop and hold, a fence, a hold on
// its own steady clock, ends that are listed until they are seen, capacity that it guards, and heartbeats to the agent
// beside it. What a task does is written in its job's spec:
//   work=MS      it ends `done` after that much work
//   fail=MS      it ends `failed` after that much work
#ifndef SAGEHITCH_REVIEW_2_EXECUTOR_H
#define SAGEHITCH_REVIEW_2_EXECUTOR_H
#include <jansson.h>

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>

#include "http.h"
#include "record.h"

namespace review
{

class Executor
{
    struct Run {
        int64_t attempt, started_ms, work_ms;
        bool fails;
    };
    struct End {
        int64_t number;
        std::string task;
        int64_t attempt;
        std::string how;
    };
    enum { CLOCK_START_MS = 482113, BEAT_MS = 1500, CAPACITY_MILLI = 16000, CAPACITY_MB = 32768 };

    Record &record;
    std::string ip, service, id, kind;
    int app_port, agent_port;
    int64_t hold_max_ms, born_ms = now_ms();
    std::mutex mutex;
    std::condition_variable ended_changed;
    std::map<std::string, Run> runs;
    std::map<std::string, int64_t> closed; // the highest attempt of a task that was stopped or ended here
    std::deque<End> ended;
    int64_t fence = 0, hold_until_ms = 0, last_number = 0, beats = 0;

    int64_t clock_ms() const { return CLOCK_START_MS + now_ms() - born_ms; }

    static int64_t number_in(const std::string &spec, const char *name)
    {
        size_t at = spec.find(name);
        return at == std::string::npos ? -1 : atoll(spec.c_str() + at + strlen(name));
    }

    void end(std::map<std::string, Run>::iterator run, const char *how)
    {
        ended.push_back({++last_number, run->first, run->second.attempt, how});
        record.run_ended(id, run->first, run->second.attempt, how);
        int64_t &highest = closed[run->first];
        highest = std::max(highest, run->second.attempt);
        runs.erase(run);
        ended_changed.notify_all();
    }

    void extend_hold(const json_t *request)
    {
        int64_t until_ms = json_integer_value(json_object_get(request, "expiresMs"));
        until_ms = std::min(until_ms, clock_ms() + hold_max_ms);
        hold_until_ms = std::max(hold_until_ms, until_ms);
    }

    Message refusal(const char *reason)
    {
        Message response;
        response.status = 409;
        response.body = "{\"clockMs\":" + std::to_string(clock_ms()) + ",\"reason\":\"" + reason + "\"}";
        return response;
    }

    Message done(const std::string &more = "")
    {
        Message response;
        response.status = 200;
        response.body = "{\"clockMs\":" + std::to_string(clock_ms()) + more + "}";
        return response;
    }

    Message start(const json_t *request)
    {
        std::string task = json_string_value(json_object_get(request, "taskId"));
        int64_t attempt = json_integer_value(json_object_get(request, "attempt"));
        const char *spec = json_string_value(json_object_get(request, "spec"));
        auto run = runs.find(task);
        if (run != runs.end() && run->second.attempt == attempt) {
            extend_hold(request);
            return done();
        }
        if (run != runs.end() || (closed.count(task) && attempt <= closed[task])) {
            extend_hold(request);
            return refusal("old");
        }
        if (json_integer_value(json_object_get(request, "expiresMs")) <= clock_ms())
            return refusal("late");
        extend_hold(request);
        if ((runs.size() + 1) * 1000 > CAPACITY_MILLI) // each task of the cases asks for 1000
            return refusal("room");
        std::string text = spec ? spec : "";
        int64_t fails_ms = number_in(text, "fail="), work_ms = number_in(text, "work=");
        runs[task] = {attempt, now_ms(), fails_ms >= 0 ? fails_ms : work_ms, fails_ms >= 0};
        record.run_started(id, task, attempt, text);
        return done();
    }

    Message stop(const json_t *request)
    {
        std::string task = json_string_value(json_object_get(request, "taskId"));
        int64_t attempt = json_integer_value(json_object_get(request, "attempt"));
        auto run = runs.find(task);
        if (run != runs.end() && run->second.attempt <= attempt)
            end(run, "stopped");
        int64_t &highest = closed[task];
        highest = std::max(highest, attempt);
        return done();
    }

    Message hold(const json_t *request, std::unique_lock<std::mutex> &lock)
    {
        int64_t seen = json_integer_value(json_object_get(request, "lastSeen"));
        int64_t wait_ms = json_integer_value(json_object_get(request, "queueWaitMs"));
        if (json_object_get(request, "expiresMs"))
            extend_hold(request);
        while (!ended.empty() && ended.front().number <= seen)
            ended.pop_front();
        if (wait_ms > 0)
            ended_changed.wait_for(lock, std::chrono::milliseconds(wait_ms), [&] { return !ended.empty(); });
        std::string lists = ",\"active\":[";
        for (auto &run : runs) {
            int64_t percent = run.second.work_ms > 0 ? (now_ms() - run.second.started_ms) * 100 / run.second.work_ms : 0;
            lists += (lists.back() == '[' ? "[\"" : ",[\"") + run.first + "\"," + std::to_string(run.second.attempt) +
                     ",\"\"," + std::to_string(std::min<int64_t>(percent, 99)) + "]";
        }
        lists += "],\"finished\":[";
        for (size_t i = 0; i < ended.size() && i < 500; i++)
            lists += (i ? ",[" : "[") + std::to_string(ended[i].number) + ",\"" + ended[i].task + "\"," +
                     std::to_string(ended[i].attempt) + ",\"" + ended[i].how + "\",\"\"]";
        return done(lists + "]");
    }

    Message answer(const Message &request)
    {
        Message response;
        if (request.headers.count("expected-executor") && request.headers.at("expected-executor") != id) {
            response.status = 421;
            return response;
        }
        json_t *body = json_loadb(request.body.data(), request.body.size(), 0, nullptr);
        std::unique_lock<std::mutex> lock(mutex);
        int64_t token = json_integer_value(json_object_get(body, "fenceToken"));
        if (!body)
            response.status = 400;
        else if (token < fence)
            response = refusal("fence");
        else {
            fence = token;
            if (request.path == "/sagehitch/run-start")
                response = start(body);
            else if (request.path == "/sagehitch/run-stop")
                response = stop(body);
            else if (request.path == "/sagehitch/hold")
                response = hold(body, lock);
            else
                response.status = 404;
        }
        json_decref(body);
        return response;
    }

    void work()
    {
        for (;; sleep_ms(5)) {
            std::unique_lock<std::mutex> lock(mutex);
            bool lapsed = clock_ms() >= hold_until_ms;
            for (auto run = runs.begin(); run != runs.end();) {
                auto next = std::next(run);
                if (now_ms() - run->second.started_ms >= run->second.work_ms)
                    end(run, run->second.fails ? "failed" : "done");
                else if (lapsed)
                    end(run, "lapsed");
                run = next;
            }
        }
    }

    void beat()
    {
        for (;; sleep_ms(BEAT_MS)) {
            std::string body = "{\"service\":\"" + service + "\",\"address\":\"" + ip + ":" + std::to_string(app_port) +
                               "\",\"zone\":\"north\",\"revision\":\"v1\",\"capacity\":8,\"state\":\"available\","
                               "\"warmupRemainingMs\":0,\"freeCapacity\":{\"vcpus\":" +
                               std::to_string(CAPACITY_MILLI) +
                               ",\"memoryRequestMb\":" + std::to_string(CAPACITY_MB) + ",\"gpus\":0},\"labels\":[\"" +
                               kind + "\",\"r-1\"],\"clockMs\":" + std::to_string(clock_ms()) +
                               ",\"callSequence\":" + std::to_string(++beats) + "}";
            call(ip, agent_port, "PUT", "/sagehitch/executors/" + id, {"Host: " + ip}, body, 1000);
        }
    }

  public:
    Executor(Record &to, const std::string &at, const std::string &its_service, const std::string &its_id,
             const std::string &its_kind, int app, int agent, int64_t hold_max)
        : record(to), ip(at), service(its_service), id(its_id), kind(its_kind), app_port(app), agent_port(agent),
          hold_max_ms(hold_max)
    {
    }

    bool begin()
    {
        if (!serve(ip, app_port, [this](const Message &request) { return answer(request); }))
            return false;
        std::thread([this] { work(); }).detach();
        std::thread([this] { beat(); }).detach();
        return true;
    }
};

} // namespace review
#endif
