// An agent between a leader and an executor, all in one hand-moved clock.
#ifndef SAGEHITCH_TESTS_AGENT_RIG_H
#define SAGEHITCH_TESTS_AGENT_RIG_H
#include "agent_executor.h"

namespace agent_rig
{

// --- the world --------------------------------------------------------------

// FAILED: something comes that is no answer; TWICE: answered, and carried out again late_ms later, but for a start that
// was turned away
enum Fate { CARRIED, LOST, ANSWER_LOST, LATE, TWICE, FAILED };

struct Call {
    std::string what, incarnation, body, answer;
    int64_t sent_ms, wait_ms, tag, carry_at, answer_by;
    call_done *done;
    void *arg;
    Fate fate;
    int status;
    bool carried, poll;
    int64_t seq_then, not_before;
    std::shared_ptr<bool> turned_away; // of both copies of one that arrives twice
};

struct Report {
    struct agent_report r = {};
    ~Report() { schema_free(&agent_report_schema, &r); }
};

struct Rig : world {
    struct world_calls table = {};
    int64_t now = 1000, wall = 0;
    Executor ex;
    std::vector<Call> under;
    std::shared_ptr<Report> last = std::make_shared<Report>();
    std::vector<int64_t> reports_at;
    std::function<Fate(const Call &)> fate = [](const Call &) { return CARRIED; };
    std::function<int64_t()> answer_delay = [] { return 0; }; // from carrying out to the answer
    std::vector<std::string> sent;                            // "what body" of every call
    struct agent *a = nullptr;
    bool grant = true, executor_up = true;
    int64_t epoch = 3, late_ms = 700, answered = 0, last_status = 0, seen = 0;
    int64_t granted_at = 0;                 // true time of the newest report that was answered
    std::string leader_incarnation;         // as the leader knows it
    std::map<int64_t, std::string> answers; // to beats, by slot
    int64_t orders_by_heartbeat = 0, slot = 1;

    static Rig *of(struct world *w) { return static_cast<Rig *>(w); }
    static int64_t mono(struct world *w) { return of(w)->now; }
    static int64_t wall_ms(struct world *w) { return of(w)->wall; }
    static uint64_t random(struct world *) { return 4; }
    static void note(struct world *, int, const char *) {}
    static void answer(struct world *w, int64_t slot, int status, int64_t, const char *body)
    {
        of(w)->last_status = status;
        of(w)->answers[slot] = body;
    }
    static void send(struct world *w, uint64_t to, struct blob *frame, int)
    {
        Rig *rig = of(w);
        struct frame f;
        ASSERT_EQ(frame_parse(&f, frame->bytes.at, frame->bytes.len, (uint32_t)hash_text(CLUSTER)), 0);
        if (f.kind != FRAME_REPORT)
            return;
        EXPECT_EQ((int64_t)to, LEADER);
        auto next = std::make_shared<Report>();
        ASSERT_EQ(schema_unpack(&agent_report_schema, &next->r, f.body, f.len), 0);
        rig->last = next;
        rig->reports_at.push_back(rig->now);
    }
    static void call(struct world *w, const struct http_call *call)
    {
        Rig *rig = of(w);
        EXPECT_EQ((int64_t)call->to, EXECUTOR);
        Call c = {};
        c.what = call->path;
        c.incarnation = strchr(call->header, ' ') + 1;
        c.body = call->body;
        c.sent_ms = rig->now;
        c.wait_ms = call->wait_ms;
        c.tag = call->tag;
        c.done = call->done;
        c.arg = call->arg;
        c.fate = rig->fate(c);
        c.carry_at = rig->now + (c.fate == LATE ? rig->late_ms : 1);
        rig->sent.push_back(c.what + " " + c.body);
        bool twice = c.fate == TWICE;
        c.fate = twice ? CARRIED : c.fate;
        c.turned_away = std::make_shared<bool>(false);
        rig->under.push_back(c);
        if (twice) {
            c.done = nullptr;
            c.carry_at = rig->now + 1 + rig->late_ms;
            rig->under.push_back(c);
        }
    }

    explicit Rig(bool commanded_by_beats = false) : world(), orders_by_heartbeat(commanded_by_beats)
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
        ex.incarnation = "A";
        begin();
    }
    ~Rig() { agent_free(a); }
    // From now on all calls have this fate, or the starts, and all others are carried out.
    void calls_get(Fate of_calls)
    {
        fate = [of_calls](const Call &) { return of_calls; };
    }
    void starts_get(Fate of_starts)
    {
        fate = [of_starts](const Call &c) { return c.what == "start" ? of_starts : CARRIED; };
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
        a = agent_new(this, &setup);
    }
    // what it had called is carried out all the same
    void restart()
    {
        for (Call &c : under)
            c.done = nullptr;
        agent_free(a);
        begin();
        last = std::make_shared<Report>();
    }

    void orders(const std::function<void(struct agent_orders &)> &fill = {})
    {
        struct agent_orders o = {};
        o.epoch = epoch;
        o.lease_ms = LEASE;
        o.leader = LEADER;
        o.incarnation = (char *)(leader_incarnation.empty() ? nullptr : leader_incarnation.c_str());
        o.seen = seen;
        if (fill)
            fill(o);
        struct bytes out = {};
        frame_build(&out, FRAME_ORDERS, (uint32_t)hash_text(CLUSTER), LEADER, &agent_orders_schema, &o);
        agent_on_frame(a, out.at, out.len);
        bytes_free(&out);
    }
    void start(int64_t task, int64_t attempt)
    {
        struct run_start s = {1, task, attempt, (char *)"text", nullptr};
        orders([&](struct agent_orders &o) { o.starts = &s, o.n_starts = 1; });
    }
    void stop(int64_t task, int64_t attempt)
    {
        struct run_ref r = {1, task, attempt};
        orders([&](struct agent_orders &o) { o.stops = &r, o.n_stops = 1; });
    }
    void ends_seen(int64_t task, int64_t attempt)
    {
        struct run_ref r = {1, task, attempt};
        orders([&](struct agent_orders &o) { o.ends_seen = &r, o.n_ends_seen = 1; });
    }
    void beat(const std::string &incarnation, int64_t seq, int64_t draining = 0, int64_t kind = HEARTBEAT_ALIVE,
              const char *path = "beat", const std::string &lists = "")
    {
        std::string body = std::to_string(kind) + " " + incarnation + " " + std::to_string(seq) + " " +
                           std::to_string(draining) + (lists.empty() ? "" : " " + lists);
        struct http_request web = {};
        web.method = "PUT";
        web.path = path;
        web.body = body.c_str();
        web.len = (int64_t)body.size();
        agent_request(a, slot, &web);
    }

    void carry_out(Call &c)
    {
        c.carried = true;
        if (!executor_up || c.fate == LOST || *c.turned_away)
            return;
        if (c.incarnation != ex.incarnation) {
            c.status = 421;
            c.answer = ex.plain(0);
        } else {
            int64_t waits = 0;
            c.status = 200;
            c.seq_then = ex.seq;
            c.answer = ex.carry_out(c.what, c.body, waits);
            int64_t clock = 0, refusal = 0;
            std::istringstream(c.answer) >> clock >> refusal;
            *c.turned_away = refusal == REFUSED_NO_CAPACITY || refusal == REFUSED_UNAVAILABLE;
            c.poll = waits > 0 && ex.ended.empty();
            c.answer_by = now + waits;
            c.not_before = c.poll ? 0 : now + answer_delay();
        }
        if (c.fate != CARRIED)
            c.status = c.fate == FAILED ? 500 : 0;
    }
    void move_calls()
    {
        for (size_t i = 0; i < under.size(); i++)
            if (!under[i].carried && now >= under[i].carry_at)
                carry_out(under[i]);
        for (size_t i = 0; i < under.size();) {
            if (under[i].poll && under[i].incarnation != ex.incarnation)
                under[i].status = 0; // it went with the life that kept it waiting
            Call c = under[i];
            bool ready =
                c.carried && c.status && now >= c.not_before && (!c.poll || now >= c.answer_by || ex.seq > c.seq_then);
            bool timed_out = now >= c.sent_ms + c.wait_ms;
            if (c.done && (ready || timed_out)) {
                under[i].done = nullptr;
                if (ready && c.poll)
                    c.answer = ex.lists(0);
                int status = ready && executor_up ? c.status : 0;
                c.done(c.arg, c.tag, status, status ? c.answer.c_str() : "", 0);
                continue;
            }
            if (!c.done && c.carried)
                under.erase(under.begin() + (long)i);
            else
                i++;
        }
    }
    void run(int64_t ms)
    {
        for (int64_t i = 0; i < ms; i++) {
            now++;
            ex.on_timer(now);
            move_calls();
            if (now % 5 == 0)
                agent_on_timer(a);
            size_t before = reports_at.size();
            agent_flush(a);
            if (grant && reports_at.size() > before) {
                leader_incarnation = last->r.present ? last->r.executor.incarnation : "";
                granted_at = last->r.stamp_ms;
                orders([&](struct agent_orders &o) { o.stamp_ms = last->r.stamp_ms; });
            }
            after();
        }
    }
    std::function<void()> after = [] {};
    // A life that is known, fenced and looked at, long after the process began.
    void ready()
    {
        orders();
        beat("A", 1);
        run(100);
        ASSERT_TRUE(last->r.ready);
    }
    void settled()
    {
        ready();
        for (int i = 0; i < 15; i++) { // beyond what an earlier process may have sent
            run(1500);
            beat("A", i + 2);
        }
    }

    const struct agent_report &r() const { return last->r; }
    bool is_active(int64_t task, int64_t attempt) const
    {
        for (int64_t i = 0; i < r().n_active; i++)
            if (r().active[i].task == task && r().active[i].attempt == attempt)
                return true;
        return false;
    }
    bool is_pending(int64_t task) const
    {
        for (int64_t i = 0; i < r().n_pending; i++)
            if (r().pending[i].task == task)
                return true;
        return false;
    }
    int64_t refusal(int64_t task) const
    {
        for (int64_t i = 0; i < r().n_refused; i++)
            if (r().refused[i].task == task)
                return r().refused[i].reason;
        return 0;
    }
    int64_t how_ended(int64_t task) const
    {
        for (int64_t i = 0; i < r().n_ended; i++)
            if (r().ended[i].task == task)
                return r().ended[i].how;
        return 0;
    }
    bool lost(const std::string &incarnation) const
    {
        for (int64_t i = 0; i < r().n_lost_incarnations; i++)
            if (incarnation == r().lost_incarnations[i])
                return true;
        return false;
    }
    int64_t times(const std::string &what) const
    {
        return std::count_if(sent.begin(), sent.end(), [&](const std::string &s) { return s.rfind(what, 0) == 0; });
    }
};

} // namespace agent_rig
#endif
