// An agent between a simulated leader and a simulated executor, all on one virtual clock.
#ifndef SAGEHITCH_TESTS_AGENT_RIG_H
#define SAGEHITCH_TESTS_AGENT_RIG_H
#include "agent_executor.h"

namespace agent_rig
{

// --- the world --------------------------------------------------------------

// What happens to a call. FAILED: its response is invalid; DUPLICATED: it gets a response and is executed again late_ms
// later, except for a start that was refused for lack of capacity or health.
enum CallFault { EXECUTED, LOST, RESPONSE_LOST, LATE, DUPLICATED, FAILED };

struct Call {
    std::string method, incarnation, body, response;
    int64_t sent_ms, wait_ms, tag, execute_at, respond_by;
    call_done *done;
    void *arg;
    CallFault fault;
    int status;
    bool executed, waiting_poll;
    int64_t seq_before, respond_after;
    std::shared_ptr<bool> start_refused; // whether the start was refused; shared by both copies of a duplicated call
};

struct Report {
    struct agent_report report = {};
    ~Report() { schema_free(&agent_report_schema, &report); }
};

struct Rig : world {
    struct world_calls table = {};
    int64_t now = 1000, wall = 0;
    SimulatedExecutor executor;
    std::vector<Call> in_flight;
    std::shared_ptr<Report> last_report = std::make_shared<Report>();
    std::vector<int64_t> reports_at;
    std::vector<std::pair<int, std::string>> events; // logged: number and text
    std::function<CallFault(const Call &)> fault = [](const Call &) { return EXECUTED; };
    std::function<int64_t()> response_delay = [] { return 0; }; // from the execution to the response
    std::vector<std::string> sent;                              // "METHOD BODY" of every call
    struct agent *agent = nullptr;
    bool grant = true, executor_up = true;
    int64_t epoch = 3, late_ms = 700, answered = 0, last_status = 0, seen = 0;
    int64_t granted_at = 0;                   // time of the newest report that the leader answered
    std::string leader_incarnation;           // the incarnation that the leader knows
    std::map<int64_t, std::string> responses; // to heartbeats, by slot
    int64_t orders_by_heartbeat = 0, slot = 1;

    static Rig *of(struct world *w) { return static_cast<Rig *>(w); }
    static int64_t mono(struct world *w) { return of(w)->now; }
    static int64_t wall_ms(struct world *w) { return of(w)->wall; }
    static uint64_t random(struct world *) { return 4; }
    static void note(struct world *w, int event, const char *text) { of(w)->events.push_back({event, text}); }
    static void answer(struct world *w, int64_t slot, int status, int64_t, const char *body)
    {
        of(w)->last_status = status;
        of(w)->responses[slot] = body;
    }
    static void send(struct world *w, uint64_t to, struct blob *frame, int)
    {
        Rig *rig = of(w);
        struct frame parsed;
        ASSERT_EQ(frame_parse(&parsed, frame->bytes.at, frame->bytes.len, (uint32_t)hash_text(CLUSTER)), 0);
        if (parsed.kind != FRAME_REPORT)
            return;
        EXPECT_EQ((int64_t)to, LEADER);
        auto next = std::make_shared<Report>();
        ASSERT_EQ(schema_unpack(&agent_report_schema, &next->report, parsed.body, parsed.len), 0);
        rig->last_report = next;
        rig->reports_at.push_back(rig->now);
    }
    static void call(struct world *w, const struct http_call *http_call)
    {
        Rig *rig = of(w);
        EXPECT_EQ((int64_t)http_call->to, EXECUTOR);
        Call call = {};
        call.method = http_call->path;
        call.incarnation = strchr(http_call->header, ' ') + 1;
        call.body = http_call->body;
        call.sent_ms = rig->now;
        call.wait_ms = http_call->wait_ms;
        call.tag = http_call->tag;
        call.done = http_call->done;
        call.arg = http_call->arg;
        call.fault = rig->fault(call);
        call.execute_at = rig->now + (call.fault == LATE ? rig->late_ms : 1);
        rig->sent.push_back(call.method + " " + call.body);
        bool duplicated = call.fault == DUPLICATED;
        call.fault = duplicated ? EXECUTED : call.fault;
        call.start_refused = std::make_shared<bool>(false);
        rig->in_flight.push_back(call);
        if (duplicated) {
            call.done = nullptr;
            call.execute_at = rig->now + 1 + rig->late_ms;
            rig->in_flight.push_back(call);
        }
    }

    explicit Rig(bool orders_by_heartbeats = false) : world(), orders_by_heartbeat(orders_by_heartbeats)
    {
        table.mono_ms = mono;
        table.wall_ms = wall_ms;
        table.random = random;
        table.send = send;
        table.call = call;
        table.answer = answer;
        table.note = note;
        this->calls = &table;
        self = SELF;
        executor.incarnation = "A";
        begin();
    }
    ~Rig() { agent_free(agent); }
    // From now on all calls, or all starts, meet this fault; the others are executed.
    void set_fault(CallFault of_calls)
    {
        fault = [of_calls](const Call &) { return of_calls; };
    }
    void set_start_fault(CallFault of_starts)
    {
        fault = [of_starts](const Call &call) { return call.method == "start" ? of_starts : EXECUTED; };
    }
    void begin()
    {
        static const int64_t seeds[] = {LEADER};
        struct agent_setup setup = {};
        setup.cluster = CLUSTER;
        setup.zone = "z";
        setup.seeds = seeds;
        setup.n_seeds = 1;
        setup.boot = 1;
        setup.executor = EXECUTOR;
        setup.hold_max_ms = HOLD_MAX;
        setup.stop_timeout_ms = 400;
        setup.grace_ms = 6000;
        setup.orders_by_heartbeat = orders_by_heartbeat;
        setup.codec = &api_codec;
        setup.executor_codec = &executor_codec;
        agent = agent_new(this, &setup);
    }
    // Restarts the agent. Calls in flight are still executed.
    void restart()
    {
        for (Call &call : in_flight)
            call.done = nullptr;
        agent_free(agent);
        begin();
        last_report = std::make_shared<Report>();
    }

    void orders(const std::function<void(struct agent_orders &)> &fill = {})
    {
        struct agent_orders message = {};
        message.epoch = epoch;
        message.lease_ms = LEASE;
        message.leader = LEADER;
        message.incarnation = (char *)(leader_incarnation.empty() ? nullptr : leader_incarnation.c_str());
        message.seen = seen;
        if (fill)
            fill(message);
        struct bytes out = {};
        frame_build(&out, FRAME_ORDERS, (uint32_t)hash_text(CLUSTER), LEADER, &agent_orders_schema, &message);
        agent_on_frame(agent, out.at, out.len);
        bytes_free(&out);
    }
    void start(int64_t task, int64_t attempt)
    {
        struct run_start run = {1, task, attempt, (char *)"text", nullptr};
        orders([&](struct agent_orders &message) { message.starts = &run, message.n_starts = 1; });
    }
    void stop(int64_t task, int64_t attempt)
    {
        struct run_ref run = {1, task, attempt};
        orders([&](struct agent_orders &message) { message.stops = &run, message.n_stops = 1; });
    }
    void ends_seen(int64_t task, int64_t attempt)
    {
        struct run_ref run = {1, task, attempt};
        orders([&](struct agent_orders &message) { message.ends_seen = &run, message.n_ends_seen = 1; });
    }
    void heartbeat(const std::string &incarnation, int64_t seq, int64_t draining = 0, int64_t kind = HEARTBEAT_ALIVE,
                   const char *path = "heartbeat", const std::string &lists = "")
    {
        std::string body = std::to_string(kind) + " " + incarnation + " " + std::to_string(seq) + " " +
                           std::to_string(draining) + (lists.empty() ? "" : " " + lists);
        struct http_request http_request = {};
        http_request.method = "PUT";
        http_request.path = path;
        http_request.body = body.c_str();
        http_request.len = (int64_t)body.size();
        agent_request(agent, slot, &http_request);
    }

    void execute(Call &call)
    {
        call.executed = true;
        if (!executor_up || call.fault == LOST || *call.start_refused)
            return;
        if (call.incarnation != executor.incarnation) {
            call.status = 421;
            call.response = executor.response_without_lists(0);
        } else {
            int64_t waits = 0;
            call.status = 200;
            call.seq_before = executor.seq;
            call.response = executor.execute(call.method, call.body, waits);
            int64_t clock = 0, refusal = 0;
            std::istringstream(call.response) >> clock >> refusal;
            *call.start_refused = refusal == REFUSED_NO_CAPACITY || refusal == REFUSED_UNAVAILABLE;
            call.waiting_poll = waits > 0 && executor.ended.empty();
            call.respond_by = now + waits;
            call.respond_after = call.waiting_poll ? 0 : now + response_delay();
        }
        if (call.fault != EXECUTED)
            call.status = call.fault == FAILED ? 500 : 0;
    }
    void move_calls()
    {
        for (size_t i = 0; i < in_flight.size(); i++)
            if (!in_flight[i].executed && now >= in_flight[i].execute_at)
                execute(in_flight[i]);
        for (size_t i = 0; i < in_flight.size();) {
            if (in_flight[i].waiting_poll && in_flight[i].incarnation != executor.incarnation)
                in_flight[i].status = 0; // the incarnation that let it wait has ended
            Call call = in_flight[i];
            bool ready = call.executed && call.status && now >= call.respond_after &&
                         (!call.waiting_poll || now >= call.respond_by || executor.seq > call.seq_before);
            bool timed_out = now >= call.sent_ms + call.wait_ms;
            if (call.done && (ready || timed_out)) {
                in_flight[i].done = nullptr;
                if (ready && call.waiting_poll)
                    call.response = executor.lists(0);
                int status = ready && executor_up ? call.status : 0;
                call.done(call.arg, call.tag, status, status ? call.response.c_str() : "", 0);
                continue;
            }
            if (!call.done && call.executed)
                in_flight.erase(in_flight.begin() + (long)i);
            else
                i++;
        }
    }
    void run(int64_t ms)
    {
        for (int64_t i = 0; i < ms; i++) {
            now++;
            executor.on_timer(now);
            move_calls();
            if (now % 5 == 0)
                agent_on_timer(agent);
            size_t before = reports_at.size();
            agent_flush(agent);
            if (grant && reports_at.size() > before) {
                leader_incarnation = last_report->report.present ? last_report->report.executor.incarnation : "";
                granted_at = last_report->report.stamp_ms;
                orders([&](struct agent_orders &message) { message.stamp_ms = last_report->report.stamp_ms; });
            }
            after();
        }
    }
    std::function<void()> after = [] {};
    // Makes the executor known, fenced and polled. settled(): also waits until no calls of a former process can arrive.
    void ready()
    {
        orders();
        heartbeat("A", 1);
        run(100);
        ASSERT_TRUE(last_report->report.ready);
    }
    void settled()
    {
        ready();
        for (int i = 0; i < 15; i++) { // longer than calls of a former process may be executed
            run(1500);
            heartbeat("A", i + 2);
        }
    }

    const struct agent_report &report() const { return last_report->report; }
    bool is_active(int64_t task, int64_t attempt) const
    {
        for (int64_t i = 0; i < report().n_active; i++)
            if (report().active[i].task == task && report().active[i].attempt == attempt)
                return true;
        return false;
    }
    bool is_pending(int64_t task) const
    {
        for (int64_t i = 0; i < report().n_pending; i++)
            if (report().pending[i].task == task)
                return true;
        return false;
    }
    int64_t refusal(int64_t task) const
    {
        for (int64_t i = 0; i < report().n_refused; i++)
            if (report().refused[i].task == task)
                return report().refused[i].reason;
        return 0;
    }
    int64_t how_ended(int64_t task) const
    {
        for (int64_t i = 0; i < report().n_ended; i++)
            if (report().ended[i].task == task)
                return report().ended[i].how;
        return 0;
    }
    bool lost(const std::string &incarnation) const
    {
        for (int64_t i = 0; i < report().n_lost_incarnations; i++)
            if (incarnation == report().lost_incarnations[i])
                return true;
        return false;
    }
    int64_t count_calls(const std::string &method) const
    {
        return std::count_if(sent.begin(), sent.end(), [&](const std::string &s) { return s.rfind(method, 0) == 0; });
    }
};

} // namespace agent_rig
#endif
