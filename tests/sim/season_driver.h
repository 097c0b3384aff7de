// Drives a simulated season: changes of head office's and outlets' rules, jobs, reads through the API, and faults.
#ifndef SAGEHITCH_TESTS_SEASON_OFFICE_H
#define SAGEHITCH_TESTS_SEASON_OFFICE_H
#include <gtest/gtest.h>

#include <jansson.h>

#include "season.h"
#include "tests/unit/record_build.h"

namespace season
{

const int64_t OUTLETS = 40, QUEUES = 3, OUTLETS_WITH_QUEUE = 10, DAYS = 3, OPENS_MIN = 8 * 60;

inline std::string outlet_name(int64_t no) { return "outlet-" + std::to_string(no); }

inline Values json_values(const json_t *from, const char *field)
{
    Values to;
    const char *key;
    json_t *value;
    json_object_foreach((json_t *)from, key, value)
    {
        const json_t *number = field ? json_object_get(value, field) : value;
        if (json_is_integer(number))
            to[key] = json_integer_value(number);
    }
    return to;
}

struct SeasonDriver : Season {
    struct RulesState {
        int64_t version = 0;
        bool busy = false;
        Values own;
    };
    RulesState head;
    std::vector<RulesState> outlets = std::vector<RulesState>(OUTLETS);
    std::map<std::string, std::tuple<int64_t, int64_t, int64_t>> rules;
    int64_t n_jobs = 0, n_accepted = 0, n_stale = 0, n_bound = 0, n_changes = 0, n_clamped = 0, n_elections = 0;

    explicit SeasonDriver(unsigned seed) : Season(seed) { configure(); }

    void configure()
    {
        std::vector<record_build::Queue> queues;
        for (int64_t q = 0; q < QUEUES; q++)
            queues.push_back({"q" + std::to_string(q), 4});
        for (int64_t q = 0; q < OUTLETS_WITH_QUEUE; q++)
            queues.push_back({"till-" + std::to_string(q), 4});
        api_request &a = request([](const api_response &answer) { EXPECT_EQ(answer.error, 0); });
        api_request_make_config_put(&a)->config = record_build::config_of(1, queues, "config");
        for (int i = 0; i < 10; i++)
            on_timer();
    }
    static void put(rule_values &to, const std::string &name, int64_t value)
    {
        const field *f = schema_field(&rule_values_schema, name.c_str());
        *rule_at(&to, (int)(f - rule_values_schema.fields)) = value;
    }
    // Sets a random value for a rule, with random limits for the outlets.
    void random_rule(const std::string &name, int64_t min, int64_t max)
    {
        int64_t least = min + random_below(max - min + 1), most = least + random_below(max - least + 1);
        int64_t value = least + random_below(most - least + 1);
        if (!random_below(4))
            least = most = value;
        rules[name] = {value, least, most};
    }
    void change_head_rules()
    {
        if (head.busy)
            return;
        rules.clear();
        random_rule("inTurn", TURN_BEGUN, TURN_OVER);
        if (random_below(5))
            random_rule("runningMost", 2, 6);
        if (random_below(5))
            random_rule("attemptsMax", 2, 5);
        if (random_below(3))
            random_rule("priority", 0, 9);
        if (random_below(2))
            random_rule("targetMs", 1000, 60000);
        if (random_below(2)) {
            random_rule("opensAtMin", OPENS_MIN - 3, OPENS_MIN + 1);
            random_rule("closesAtMin", OPENS_MIN + 3, OPENS_MIN + 5);
        }
        bool stale = !random_below(5); // based on a version that is not the current one
        int64_t base = stale ? head.version + 7 : head.version, to = base + 1 + random_below(3);
        api_request &a = request([this, stale, to](const api_response &answer) {
            head.busy = false;
            EXPECT_EQ(answer.error, stale ? ERROR_STALE : ERROR_NONE);
            n_stale += stale;
            if (stale)
                return;
            head.version = to, n_changes++;
            note(CHANGE_ACKNOWLEDGED).of_head = to;
        });
        rules_change *c = api_request_make_rules_put(&a, nullptr);
        head.busy = true;
        c->base = base, c->head.version = to;
        for (auto &[name, r] : rules) {
            put(c->head.value, name, std::get<0>(r));
            put(c->head.least, name, std::get<1>(r));
            put(c->head.most, name, std::get<2>(r));
        }
    }
    void change_outlet_rules(int64_t no)
    {
        static const std::vector<std::tuple<const char *, int64_t, int64_t>> all = {{"runningMost", 2, 6},
                                                                                    {"attemptsMax", 2, 5},
                                                                                    {"priority", 0, 9},
                                                                                    {"inTurn", 1, 2},
                                                                                    {"targetMs", 1000, 60000}};
        RulesState &state = outlets[(size_t)no];
        if (state.busy)
            return;
        Values own = state.own;
        if (state.version && random_below(6)) {
            auto &[name, min, max] = all[(size_t)random_below((int64_t)all.size())];
            own[name] = min + random_below(max - min + 1);
        }
        int64_t to = state.version + 1 + random_below(2);
        api_request &a = request([this, no, to, own](const api_response &answer) {
            RulesState &mine = outlets[(size_t)no];
            mine.busy = false;
            EXPECT_TRUE(!answer.error || answer.error == ERROR_BOUND) << answer.error;
            n_bound += answer.error == ERROR_BOUND;
            if (answer.error)
                return;
            mine.version = to, mine.own = own, n_changes++;
            Event &event = note(CHANGE_ACKNOWLEDGED);
            event.outlet = outlet_name(no), event.of_head = to, event.values = own;
        });
        rules_change *c = api_request_make_rules_put(&a, outlet_name(no).c_str());
        state.busy = true;
        c->base = state.version, c->to.version = to;
        for (auto &[name, v] : own)
            put(c->to.own, name, v);
        if (no < OUTLETS_WITH_QUEUE)
            record_build::more_of(c->to.queues, c->to.n_queues) = must_dup(("till-" + std::to_string(no)).c_str());
    }
    void submit_job(int64_t no)
    {
        if (!outlets[(size_t)no].version)
            return;
        bool own_queue = no < OUTLETS_WITH_QUEUE && random_below(2);
        std::string queue = own_queue ? "till-" + std::to_string(no) : "q" + std::to_string(random_below(QUEUES));
        record_build::Spec spec = {{{1 + random_below(3), {}}}, 0};
        if (!random_below(3))
            spec.steps.push_back({1, {0}});
        int64_t id = ++n_jobs;
        Event &event = note(JOB_SUBMITTED);
        event.job = id, event.of_head = head.version, event.of_outlet = outlets[(size_t)no].version;
        api_request &a = request([this, id](const api_response &answer) {
            EXPECT_EQ(answer.error, 0);
            n_accepted++;
            read_job_rules(id);
        });
        a.host = must_dup("host.example"), a.path = must_dup(("/" + queue + "/" + std::to_string(id)).c_str());
        job_spec &sent = *api_request_make_job(&a);
        sent = record_build::spec_of(id, spec);
        for (int64_t s = 0; s < sent.n_steps; s++)
            sent.steps[s].cpu_milli = 500 + random_below(3) * 500, sent.steps[s].estimate_ms = 800;
        if (!own_queue)
            sent.outlet = must_dup(outlet_name(no).c_str());
    }
    // Reads a job's rules through the API, just after its acceptance and again later.
    void read_job_rules(int64_t id)
    {
        api_request &a = request([this, id](const api_response &answer) {
            if (answer.error)
                return; // no longer retained
            const bytes &text = api_response_document(&answer)->text;
            json_t *json = json_loadb((const char *)text.at, (size_t)text.len, 0, nullptr);
            Event &event = note(JOB_RULES_READ);
            event.job = id, event.outlet = json_string_value(json_object_get(json, "outlet"));
            event.of_head = json_integer_value(json_object_get(json, "ofHeadOffice"));
            event.of_outlet = json_integer_value(json_object_get(json, "ofOutlet"));
            event.values = json_values(json_object_get(json, "rules"), nullptr);
            json_decref(json);
        });
        api_request_make_rules_job(&a, id);
    }
    void read_outlet_rules(int64_t no)
    {
        if (outlets[(size_t)no].busy || !outlets[(size_t)no].version)
            return;
        outlets[(size_t)no].busy = true;
        api_request &a = request([this, no](const api_response &answer) {
            outlets[(size_t)no].busy = false;
            ASSERT_EQ(answer.error, 0);
            const bytes &text = api_response_document(&answer)->text;
            json_t *json = json_loadb((const char *)text.at, (size_t)text.len, 0, nullptr);
            Event &event = note(OUTLET_RULES_READ);
            event.outlet = outlet_name(no);
            event.values = json_values(json_object_get(json, "rules"), "own");
            n_clamped += strstr((const char *)text.at, "\"clamped\":true") != nullptr;
            json_decref(json);
        });
        api_request_make_rules_get(&a, outlet_name(no).c_str());
    }
    void inject_faults()
    {
        if (!random_below(400)) {
            elect((size_t)random_below(3));
            n_elections++;
        }
        if (!random_below(300))
            restart((size_t)random_below(3));
        if (!random_below(200))
            crash(executors[(size_t)random_below((int64_t)executors.size())]);
        if (!random_below(100))
            catch_up(nodes[(size_t)random_below(3)].get());
    }
    // Runs seven minutes of the day, around the opening hours, then until all is idle. The rest of the day is skipped.
    void day(int64_t no, bool busy)
    {
        now_ms = std::max(now_ms, no * 86400000 + (OPENS_MIN - 2) * 60000);
        int64_t till_ms = no * 86400000 + (OPENS_MIN + 5) * 60000;
        while (now_ms < till_ms) {
            if (busy && !random_below(100))
                change_head_rules();
            if (!random_below(12))
                change_outlet_rules(random_below(OUTLETS));
            if (!random_below(30))
                read_outlet_rules(random_below(OUTLETS));
            if (busy && !random_below(10) && n_jobs)
                read_job_rules(1 + random_below(n_jobs));
            if (busy && !random_below(5))
                submit_job(random_below(OUTLETS));
            inject_faults();
            on_timer();
        }
        for (int i = 0; i < 4000 && !idle(); i++)
            on_timer();
        EXPECT_TRUE(idle());
    }
    void season()
    {
        for (int64_t no = 0; no < DAYS; no++)
            day(no, true);
        for (int64_t no = DAYS; no < DAYS + 4 && leader->r.n_live; no++)
            day(no, false);
        for (int64_t no = 0; no < OUTLETS; no++)
            read_outlet_rules(no);
        for (int i = 0; i < 10; i++)
            on_timer();
    }
};

inline void expect_no_violations(const SeasonOracle &oracle)
{
    EXPECT_EQ(oracle.violations.size(), 0u);
    for (size_t i = 0; i < oracle.violations.size() && i < 10; i++)
        ADD_FAILURE() << oracle.violations[i];
}

} // namespace season
#endif
