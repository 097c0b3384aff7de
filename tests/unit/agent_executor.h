// An executor for tests of the agent: it keeps fence, hold, attempts and lists as real
// ones do; a test codec of plain words stands for whatever is really spoken.
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

inline void make_call(struct executor_call *call, const char *what, const char *incarnation, const std::string &body)
{
    call->method = must_dup("POST");
    call->path = must_dup(what);
    call->header = must_printf("Life: %s", incarnation);
    call->body = must_dup(body.c_str());
}
inline std::string words(std::initializer_list<int64_t> numbers)
{
    std::ostringstream out;
    for (int64_t n : numbers)
        out << n << ' ';
    return out.str();
}
inline void codec_start(struct executor_call *call, const char *incarnation, const struct run_start *s, int64_t expires,
                        int64_t epoch)
{
    make_call(call, "start", incarnation,
              words({epoch, expires, s->job, s->task, s->attempt}) + (s->checkpoint ? s->checkpoint : "-"));
}
inline void codec_stop(struct executor_call *call, const char *incarnation, const struct run_ref *r, int64_t epoch)
{
    make_call(call, "stop", incarnation, words({epoch, r->job, r->task, r->attempt}));
}
inline void codec_poll(struct executor_call *call, const char *incarnation, int64_t epoch, int64_t seen,
                       int64_t expires, int64_t wait)
{
    make_call(call, "look", incarnation, words({epoch, seen, expires, wait}));
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
inline char *codec_beat_answer(const struct heartbeat_orders *o)
{
    std::string body = words({o->epoch, o->seen, o->hold_ms, o->retry_ms});
    for (int list = 0; list < 2; list++) {
        int64_t n = list ? o->n_stops : o->n_starts;
        body += words({n});
        for (int64_t i = 0; i < n; i++) {
            const struct run_start *run = list ? o->stops[i] : o->starts[i];
            body += words({run->job, run->task, run->attempt});
        }
    }
    return must_dup(body.c_str());
}
const struct executor_codec executor_codec = {codec_start, codec_stop, codec_poll, codec_read, codec_beat_answer};

// A beat is "KIND LIFE SEQ DRAINING", and its lists as in an answer where it is commanded by them.
inline int api_read(struct api_request *request, const struct http_request *web, struct validation_error *)
{
    std::istringstream in(web->body);
    std::string incarnation;
    int64_t kind = 0;
    if (!strcmp(web->path, "other")) {
        api_request_make_count(request);
        return 0;
    }
    executor_heartbeat *beat = api_request_make_beat(request);
    in >> kind >> incarnation >> beat->seq >> beat->state.draining;
    beat->kind = kind;
    beat->state.incarnation = must_dup(incarnation.c_str());
    std::string lists;
    std::getline(in, lists);
    if (lists.empty())
        return 0;
    std::istringstream account(lists);
    int64_t refusal = REFUSED_NONE;
    account >> beat->account.clock_ms >> refusal;
    read_lists(account, &beat->account.lists);
    return 0;
}
inline void api_write(const struct api_response *answer, int *status, char **body)
{
    *status = answer->error ? error_response((int)answer->error)->status : 200;
    *body = must_dup("");
}
const struct api_codec api_codec = {api_read, api_write, nullptr};

// --- the executor -----------------------------------------------------------

using Key = std::pair<int64_t, int64_t>; // job, task

struct Executor {
    std::string incarnation;
    double rate = 1.0; // of its clock against true time
    double clock = 50000;
    int64_t fence = 0, hold = 0, last_seen = 0, seq = 0, room = 100, sick = 0;
    std::map<Key, int64_t> active, barred, stopped; // stopped: when, on its clock, it will have ended
    int64_t stop_ms = 0;
    struct End {
        int64_t seq, job, task, attempt, how;
    };
    std::vector<End> ended;
    std::vector<std::string> starts; // all that were begun, as "task.attempt"
    int64_t polls = 0, start_calls = 0, lapsed_at = 0;
    bool strict_seen = true; // not where looks may be carried out late

    int64_t now() const { return (int64_t)clock; }
    void end(Key key, int64_t how)
    {
        auto it = active.find(key);
        if (it == active.end())
            return;
        ended.push_back({++seq, key.first, key.second, it->second, how});
        barred[key] = std::max(barred[key], it->second);
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
        if (now() < hold || active.empty())
            return;
        lapsed_at = true_ms;
        while (!active.empty())
            end(active.begin()->first, END_LAPSED);
    }
    void renew(int64_t expires) { hold = std::max(hold, std::min(expires, now() + HOLD_MAX)); }
    std::string lists(int64_t refusal)
    {
        std::ostringstream out;
        out << now() << ' ' << refusal << ' ' << active.size() << ' ';
        for (auto &[key, attempt] : active)
            out << words({key.first, key.second, attempt, 10, 0, 0});
        out << ended.size() << ' ';
        for (auto &e : ended)
            out << words({e.job, e.task, e.attempt, 0, e.seq, e.how});
        return out.str();
    }
    std::string plain(int64_t refusal) { return words({now(), refusal, 0, 0}); }
    // waits: set where the answer is to wait for an end
    std::string carry_out(const std::string &what, const std::string &body, int64_t &waits)
    {
        std::istringstream in(body);
        int64_t epoch = 0;
        in >> epoch;
        if (sick > 0 && what == "start") {
            sick--;
            return plain(REFUSED_UNAVAILABLE);
        }
        if (epoch < fence)
            return plain(REFUSED_STALE_EPOCH);
        fence = epoch;
        if (what == "look") {
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
        if (what == "start")
            in >> expires;
        in >> job >> task >> attempt;
        Key key{job, task};
        if (what == "stop") {
            if (active.count(key) && active[key] == attempt)
                stopped[key] = now() + stop_ms;
            else
                barred[key] = std::max(barred[key], attempt);
            return plain(0);
        }
        start_calls++;
        if (expires <= now())
            return plain(REFUSED_LATE);
        renew(expires);
        if (active.count(key) && active[key] == attempt)
            return plain(0);
        if (barred.count(key) && barred[key] >= attempt)
            return plain(REFUSED_OUTDATED);
        if ((int64_t)active.size() >= room)
            return plain(REFUSED_NO_CAPACITY);
        active[key] = attempt;
        starts.push_back(std::to_string(task) + "." + std::to_string(attempt));
        return plain(0);
    }
};

} // namespace agent_rig
#endif
