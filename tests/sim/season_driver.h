// The people of a season: head office that changes its mind, outlets that adjust, callers, and
// the troubles of a site.
#ifndef SAGEHITCH_TESTS_SEASON_OFFICE_H
#define SAGEHITCH_TESTS_SEASON_OFFICE_H
#include <gtest/gtest.h>

#include <jansson.h>

#include "season.h"
#include "tests/unit/record_build.h"

namespace season
{

const int64_t OUTLETS = 40, QUEUES = 3, CLAIMED = 10, DAYS = 3, OPENS = 8 * 60;

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

struct Office : Season {
    struct Side {
        int64_t version = 0;
        bool busy = false;
        Values own;
    };
    Side head;
    std::vector<Side> outlets = std::vector<Side>(OUTLETS);
    std::map<std::string, std::tuple<int64_t, int64_t, int64_t>> rules;
    int64_t n_jobs = 0, n_taken = 0, n_stale = 0, n_bound = 0, n_changes = 0, n_clamped = 0, n_led = 0;

    explicit Office(unsigned seed) : Season(seed) { configure(); }

    void configure()
    {
        std::vector<record_build::Queue> queues;
        for (int64_t q = 0; q < QUEUES; q++)
            queues.push_back({"q" + std::to_string(q), 4});
        for (int64_t q = 0; q < CLAIMED; q++)
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
    // value, and how far outlets may go
    void rule(const std::string &name, int64_t min, int64_t max)
    {
        int64_t least = min + below(max - min + 1), most = least + below(max - least + 1);
        int64_t value = least + below(most - least + 1);
        if (!below(4))
            least = most = value;
        rules[name] = {value, least, most};
    }
    void head_office()
    {
        if (head.busy)
            return;
        rules.clear();
        rule("inTurn", TURN_BEGUN, TURN_OVER);
        if (below(5))
            rule("runningMost", 2, 6);
        if (below(5))
            rule("attemptsMax", 2, 5);
        if (below(3))
            rule("priority", 0, 9);
        if (below(2))
            rule("targetMs", 1000, 60000);
        if (below(2)) {
            rule("opensAtMin", OPENS - 3, OPENS + 1);
            rule("closesAtMin", OPENS + 3, OPENS + 5);
        }
        bool rogue = !below(5); // built on a version that is no longer the newest
        int64_t base = rogue ? head.version + 7 : head.version, to = base + 1 + below(3);
        api_request &a = request([this, rogue, to](const api_response &answer) {
            head.busy = false;
            EXPECT_EQ(answer.error, rogue ? ERROR_STALE : ERROR_NONE);
            n_stale += rogue;
            if (rogue)
                return;
            head.version = to, n_changes++;
            note(TAKEN).of_head = to;
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
    void adjust(int64_t no)
    {
        static const std::vector<std::tuple<const char *, int64_t, int64_t>> all = {{"runningMost", 2, 6},
                                                                                    {"attemptsMax", 2, 5},
                                                                                    {"priority", 0, 9},
                                                                                    {"inTurn", 1, 2},
                                                                                    {"targetMs", 1000, 60000}};
        Side &side = outlets[(size_t)no];
        if (side.busy)
            return;
        Values own = side.own;
        if (side.version && below(6)) {
            auto &[name, min, max] = all[(size_t)below((int64_t)all.size())];
            own[name] = min + below(max - min + 1);
        }
        int64_t to = side.version + 1 + below(2);
        api_request &a = request([this, no, to, own](const api_response &answer) {
            Side &mine = outlets[(size_t)no];
            mine.busy = false;
            EXPECT_TRUE(!answer.error || answer.error == ERROR_BOUND) << answer.error;
            n_bound += answer.error == ERROR_BOUND;
            if (answer.error)
                return;
            mine.version = to, mine.own = own, n_changes++;
            Event &event = note(TAKEN);
            event.outlet = outlet_name(no), event.of_head = to, event.values = own;
        });
        rules_change *c = api_request_make_rules_put(&a, outlet_name(no).c_str());
        side.busy = true;
        c->base = side.version, c->to.version = to;
        for (auto &[name, v] : own)
            put(c->to.own, name, v);
        if (no < CLAIMED)
            record_build::more_of(c->to.queues, c->to.n_queues) = must_dup(("till-" + std::to_string(no)).c_str());
    }
    void job(int64_t no)
    {
        if (!outlets[(size_t)no].version)
            return;
        bool claimed = no < CLAIMED && below(2);
        std::string queue = claimed ? "till-" + std::to_string(no) : "q" + std::to_string(below(QUEUES));
        record_build::Spec spec = {{{1 + below(3), {}}}, 0};
        if (!below(3))
            spec.steps.push_back({1, {0}});
        int64_t id = ++n_jobs;
        Event &event = note(SENT);
        event.job = id, event.of_head = head.version, event.of_outlet = outlets[(size_t)no].version;
        api_request &a = request([this, id](const api_response &answer) {
            EXPECT_EQ(answer.error, 0);
            n_taken++;
            show(id);
        });
        a.host = must_dup("host.example"), a.path = must_dup(("/" + queue + "/" + std::to_string(id)).c_str());
        job_spec &sent = *api_request_make_job(&a);
        sent = record_build::spec_of(id, spec);
        for (int64_t s = 0; s < sent.n_steps; s++)
            sent.steps[s].cpu_milli = 500 + below(3) * 500, sent.steps[s].estimate_ms = 800;
        if (!claimed)
            sent.outlet = must_dup(outlet_name(no).c_str());
    }
    // What a job ran under, as the door tells; now and at a later day.
    void show(int64_t id)
    {
        api_request &a = request([this, id](const api_response &answer) {
            if (answer.error)
                return; // forgotten since
            const bytes &text = api_response_document(&answer)->text;
            json_t *json = json_loadb((const char *)text.at, (size_t)text.len, 0, nullptr);
            Event &event = note(JOB_SHOWN);
            event.job = id, event.outlet = json_string_value(json_object_get(json, "outlet"));
            event.of_head = json_integer_value(json_object_get(json, "ofHeadOffice"));
            event.of_outlet = json_integer_value(json_object_get(json, "ofOutlet"));
            event.values = json_values(json_object_get(json, "rules"), nullptr);
            json_decref(json);
        });
        api_request_make_rules_job(&a, id);
    }
    void show_outlet(int64_t no)
    {
        if (outlets[(size_t)no].busy || !outlets[(size_t)no].version)
            return;
        outlets[(size_t)no].busy = true;
        api_request &a = request([this, no](const api_response &answer) {
            outlets[(size_t)no].busy = false;
            ASSERT_EQ(answer.error, 0);
            const bytes &text = api_response_document(&answer)->text;
            json_t *json = json_loadb((const char *)text.at, (size_t)text.len, 0, nullptr);
            Event &event = note(OUTLET_SHOWN);
            event.outlet = outlet_name(no);
            event.values = json_values(json_object_get(json, "rules"), "own");
            n_clamped += strstr((const char *)text.at, "\"clamped\":true") != nullptr;
            json_decref(json);
        });
        api_request_make_rules_get(&a, outlet_name(no).c_str());
    }
    void trouble()
    {
        if (!below(400)) {
            lead((size_t)below(3));
            n_led++;
        }
        if (!below(300))
            restart((size_t)below(3));
        if (!below(200))
            go_down(standins[(size_t)below((int64_t)standins.size())]);
        if (!below(100))
            catch_up(nodes[(size_t)below(3)].get());
    }
    // Seven minutes of each day; the other hours are passed over while nothing runs.
    void day(int64_t no, bool busy)
    {
        now_ms = std::max(now_ms, no * 86400000 + (OPENS - 2) * 60000);
        int64_t till_ms = no * 86400000 + (OPENS + 5) * 60000;
        while (now_ms < till_ms) {
            if (busy && !below(100))
                head_office();
            if (!below(12))
                adjust(below(OUTLETS));
            if (!below(30))
                show_outlet(below(OUTLETS));
            if (busy && !below(10) && n_jobs)
                show(1 + below(n_jobs));
            if (busy && !below(5))
                job(below(OUTLETS));
            trouble();
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
            show_outlet(no);
        for (int i = 0; i < 10; i++)
            on_timer();
    }
};

inline void expect_quiet(const Judge &judge)
{
    EXPECT_EQ(judge.breaches.size(), 0u);
    for (size_t i = 0; i < judge.breaches.size() && i < 10; i++)
        ADD_FAILURE() << judge.breaches[i];
}

} // namespace season
#endif
