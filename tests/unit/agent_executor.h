// A simulated executor for tests of the agent: it implements fencing epoch, lease, attempts and lists of runs like a
// real one. The test codec encodes calls and responses as plain words.
#ifndef SAGEHITCH_TESTS_AGENT_EXECUTOR_H
#define SAGEHITCH_TESTS_AGENT_EXECUTOR_H
#include <gtest/gtest.h>

#include <algorithm>
#include <cinttypes>
#include <functional>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

extern "C" {
#include "agent/agent.h"
#include "base/frame.h"
#include "base/error.h"
}

namespace agent_rig
{

constexpr int64_t LEADER = 77, SELF = 5, EXECUTOR = 9, HOLD_MAX = 6000, LEASE = 2500;
const char *const CLUSTER = "test";

// --- the codec ------------------------------------------------------------

inline void make_call(struct executor_call *call, const char *method, const char *incarnation, const std::string &body)
{
    call->method = must_dup("POST");
    call->path = must_dup(method);
    call->header = must_printf("Incarnation: %s", incarnation);
    call->body = must_dup(body.c_str());
}
inline std::string words(std::initializer_list<int64_t> numbers)
{
    std::ostringstream out;
    for (int64_t n : numbers)
        out << n << ' ';
    return out.str();
}
inline void codec_start(struct executor_call *call, const char *incarnation, const struct run_start *start,
                        int64_t expires, int64_t epoch)
{
    make_call(call, "start", incarnation,
              words({epoch, expires, start->job, start->task, start->attempt}) +
                  (start->checkpoint ? start->checkpoint : "-"));
}
inline void codec_stop(struct executor_call *call, const char *incarnation, const struct run_ref *run, int64_t epoch)
{
    make_call(call, "stop", incarnation, words({epoch, run->job, run->task, run->attempt}));
}
inline void codec_poll(struct executor_call *call, const char *incarnation, int64_t epoch, int64_t seen,
                       int64_t expires, int64_t wait)
{
    make_call(call, "poll", incarnation, words({epoch, seen, expires, wait}));
}
// Each run is "JOB TASK ATTEMPT PERCENT SEQ HOW" in both lists.
inline void read_lists(std::istream &in, struct run_lists *lists)
{
    int64_t count = 0, unused = 0;
    in >> count;
    for (int64_t i = 0; i < count; i++) {
        lists->active = (run_active *)must_grow(lists->active, sizeof(run_active) * (size_t)(i + 1));
        run_active &run = lists->active[lists->n_active++] = {};
        in >> run.job >> run.task >> run.attempt >> run.percent >> unused >> unused;
    }
    count = 0;
    in >> count;
    for (int64_t i = 0; i < count; i++) {
        lists->ended = (run_ended *)must_grow(lists->ended, sizeof(run_ended) * (size_t)(i + 1));
        run_ended &run = lists->ended[lists->n_ended++] = {};
        in >> run.job >> run.task >> run.attempt >> unused >> run.seq >> run.how;
    }
}
inline int codec_read(struct executor_response *response, int status, const char *body, int64_t)
{
    if (status == 500)
        return ERROR_BAD_JSON;
    std::istringstream in(body);
    int64_t refusal = REFUSED_NONE;
    in >> response->clock_ms >> refusal;
    if (status == 421)
        executor_response_other_incarnation(response);
    else if (refusal != REFUSED_NONE)
        executor_response_refuse(response, (start_refusal)refusal);
    else
        read_lists(in, executor_response_accept(response));
    return 0;
}
// "EPOCH SEEN HOLD RETRY N (JOB TASK ATTEMPT)... N (JOB TASK ATTEMPT)..."
inline char *codec_heartbeat_response(const struct heartbeat_orders *orders)
{
    std::string body = words({orders->epoch, orders->seen, orders->hold_ms, orders->retry_ms});
    for (int list = 0; list < 2; list++) {
        int64_t n = list ? orders->n_stops : orders->n_starts;
        body += words({n});
        for (int64_t i = 0; i < n; i++) {
            const struct run_start *run = list ? orders->stops[i] : orders->starts[i];
            body += words({run->job, run->task, run->attempt});
        }
    }
    return must_dup(body.c_str());
}
const struct executor_codec executor_codec = {codec_start, codec_stop, codec_poll, codec_read,
                                              codec_heartbeat_response};

// A heartbeat is "KIND INCARNATION SEQ DRAINING", followed by the lists of a response if it takes orders by heartbeats.
inline int api_read(struct api_request *request, const struct http_request *http_request, struct validation_error *)
{
    std::istringstream in(http_request->body);
    std::string incarnation;
    int64_t kind = 0;
    if (!strcmp(http_request->path, "other")) {
        api_request_make_count(request);
        return 0;
    }
    executor_heartbeat *heartbeat = api_request_make_heartbeat(request);
    in >> kind >> incarnation >> heartbeat->seq >> heartbeat->state.draining;
    heartbeat->kind = kind;
    heartbeat->state.incarnation = must_dup(incarnation.c_str());
    std::string lists;
    std::getline(in, lists);
    if (lists.empty())
        return 0;
    std::istringstream account(lists);
    int64_t refusal = REFUSED_NONE;
    account >> heartbeat->account.clock_ms >> refusal;
    read_lists(account, &heartbeat->account.lists);
    return 0;
}
inline void api_write(const struct api_response *response, int *status, char **body)
{
    *status = response->error ? error_response((int)response->error)->status : 200;
    *body = must_dup("");
}
const struct api_codec api_codec = {api_read, api_write, nullptr};

// --- the executor -----------------------------------------------------------

using Key = std::pair<int64_t, int64_t>; // job, task

struct SimulatedExecutor {
    std::string incarnation;
    double rate = 1.0; // rate of its clock relative to true time
    double clock = 50000;
    int64_t fence_epoch = 0, lease_expiry_ms = 0, last_seen = 0, seq = 0, capacity = 100, unavailable_starts = 0;
    // barred_attempts: the highest attempt that may not start; stopped: when a stopped run ends, on this clock
    std::map<Key, int64_t> active, barred_attempts, stopped;
    int64_t stop_ms = 0;
    struct End {
        int64_t seq, job, task, attempt, how;
    };
    std::vector<End> ended;
    std::vector<std::string> starts; // all started runs, as "task.attempt"
    int64_t polls = 0, start_calls = 0, lapsed_at = 0;
    bool strict_seen = true; // false: polls may be executed late, so seen may fall

    int64_t now() const { return (int64_t)clock; }
    void end(Key key, int64_t how)
    {
        auto it = active.find(key);
        if (it == active.end())
            return;
        ended.push_back({++seq, key.first, key.second, it->second, how});
        barred_attempts[key] = std::max(barred_attempts[key], it->second);
        active.erase(it);
        stopped.erase(key);
    }
    void on_timer(int64_t true_ms)
    {
        clock += rate;
        for (auto it = stopped.begin(); it != stopped.end();) {
            Key key = it->first;
            int64_t at = (it++)->second;
            if (now() >= at)
                end(key, END_STOPPED);
        }
        if (now() < lease_expiry_ms || active.empty())
            return;
        lapsed_at = true_ms;
        while (!active.empty())
            end(active.begin()->first, END_LAPSED);
    }
    void renew(int64_t expires) { lease_expiry_ms = std::max(lease_expiry_ms, std::min(expires, now() + HOLD_MAX)); }
    std::string lists(int64_t refusal)
    {
        std::ostringstream out;
        out << now() << ' ' << refusal << ' ' << active.size() << ' ';
        for (auto &[key, attempt] : active)
            out << words({key.first, key.second, attempt, 10, 0, 0});
        out << ended.size() << ' ';
        for (auto &end : ended)
            out << words({end.job, end.task, end.attempt, 0, end.seq, end.how});
        return out.str();
    }
    std::string response_without_lists(int64_t refusal) { return words({now(), refusal, 0, 0}); }
    // Executes a call. waits: set to how long the response waits for a run to end.
    std::string execute(const std::string &method, const std::string &body, int64_t &waits)
    {
        std::istringstream in(body);
        int64_t epoch = 0;
        in >> epoch;
        if (unavailable_starts > 0 && method == "start") {
            unavailable_starts--;
            return response_without_lists(REFUSED_UNAVAILABLE);
        }
        if (epoch < fence_epoch)
            return response_without_lists(REFUSED_STALE_EPOCH);
        fence_epoch = epoch;
        if (method == "poll") {
            int64_t seen, expires;
            polls++;
            in >> seen >> expires >> waits;
            EXPECT_TRUE(!strict_seen || seen >= last_seen) << "seen fell";
            last_seen = std::max(seen, last_seen);
            ended.erase(std::remove_if(ended.begin(), ended.end(), [&](End &e) { return e.seq <= last_seen; }),
                        ended.end());
            if (expires)
                renew(expires);
            return lists(0);
        }
        int64_t expires = 0, job, task, attempt;
        if (method == "start")
            in >> expires;
        in >> job >> task >> attempt;
        Key key{job, task};
        if (method == "stop") {
            if (active.count(key) && active[key] == attempt)
                stopped[key] = now() + stop_ms;
            else
                barred_attempts[key] = std::max(barred_attempts[key], attempt);
            return response_without_lists(0);
        }
        start_calls++;
        if (expires <= now())
            return response_without_lists(REFUSED_LATE);
        renew(expires);
        if (active.count(key) && active[key] == attempt)
            return response_without_lists(0);
        if (barred_attempts.count(key) && barred_attempts[key] >= attempt)
            return response_without_lists(REFUSED_OUTDATED);
        if ((int64_t)active.size() >= capacity)
            return response_without_lists(REFUSED_NO_CAPACITY);
        active[key] = attempt;
        starts.push_back(std::to_string(task) + "." + std::to_string(attempt));
        return response_without_lists(0);
    }
};

} // namespace agent_rig
#endif
