// Runs each shipped runbook against a simulated cluster, with the test doing what the runbook tells the operator to do;
// and rejects invalid runbooks.
#include <fstream>
#include <functional>
#include <sstream>

#include "fleet.h"

extern "C" {
#include "runbook/runbook.h"
}

namespace
{

std::string read_runbook(const std::string &name)
{
    std::ifstream in(std::string(SAGEHITCH_SOURCE) + "/runbooks/" + name + ".run");
    std::stringstream all;
    all << in.rdbuf();
    // the runbooks allow operators up to an hour; the simulation allows 30 s
    std::string text = all.str();
    for (const char *hours : {"3600000", "600000"})
        for (size_t at; (at = text.find(std::string("within ") + hours)) != std::string::npos;)
            text.replace(at, strlen("within ") + strlen(hours), "within 30000");
    return text;
}

struct Runner : Fleet {
    std::function<void(const std::string &)> operator_action = [](const std::string &) {};
    std::vector<std::string> printed;
    std::string record, why;
    int n_requests = 0;
    explicit Runner(int keepers = 3) : Fleet(1, 15, 6, 16, "dackhuset", keepers)
    {
        for (int i = 4; i <= keepers; i++)
            sim_kill(at("keeper" + std::to_string(i)), 0), sim_wipe(at("keeper" + std::to_string(i)));
        run(12000);
    }
    static long request_(void *arg, int64_t node, const char *method, const char *path, const char *body, bytes *got)
    {
        Runner *r = (Runner *)arg;
        std::vector<machine *> up;
        for (int i = 1; i <= 15; i++)
            if (r->at("node" + std::to_string(i))->up)
                up.push_back(r->at("node" + std::to_string(i)));
        if (node >= (int64_t)up.size())
            return -1;
        r->n_requests++;
        Answer a = r->request(node < 0 ? r->any() : up[(size_t)node], method, path, body ? body : "");
        got->len = 0;
        bytes_add(got, a.body.data(), (int64_t)a.body.size());
        return a.status;
    }
    static int64_t now_(void *arg) { return sim_ms(&((Runner *)arg)->s); }
    static void pause_(void *arg, int64_t ms) { ((Runner *)arg)->run(ms); }
    static void print_(void *arg, const char *text)
    {
        Runner *r = (Runner *)arg;
        r->printed.push_back(text);
        r->operator_action(text);
    }
    int run_book(const std::string &text, std::vector<std::pair<std::string, std::string>> settings, int dry = 0)
    {
        runbook b;
        char buffer[600] = "";
        std::vector<binding> bindings;
        for (auto &p : settings)
            bindings.push_back({p.first.data(), p.second.data()});
        if (runbook_parse(&b, text.c_str(), buffer, sizeof buffer)) {
            why = buffer;
            return ERROR_BAD_SETTING;
        }
        runbook_environment w = {this, request_, now_, pause_, print_};
        bytes rec = {};
        bytes_add(&rec, record.data(), (int64_t)record.size());
        runbook_options options = {bindings.data(), (int64_t)bindings.size(), dry};
        int rc = runbook_run(&b, &options, &w, &rec, buffer, sizeof buffer);
        record.assign((char *)rec.at, (size_t)rec.len);
        why = buffer;
        bytes_free(&rec);
        runbook_free(&b);
        return rc;
    }
    std::string addr(const std::string &name) { return addr_text(at(name)->base.self); }
    bool has_printed(const std::string &what)
    {
        return std::any_of(printed.begin(), printed.end(),
                           [&](const std::string &s) { return s.find(what) != std::string::npos; });
    }
};

TEST(Runbook, ChangeABranchThenRollItBack)
{
    Runner r;
    std::vector<std::pair<std::string, std::string>> change = {
        {"path", "root/lookup"}, {"overrides", "{\"attemptsMax\":2}"}, {"name", "attemptsMax"}, {"value", "2"}};
    EXPECT_EQ(r.run_book(read_runbook("change-branch"), change, 1), ERROR_NONE) << r.why;
    EXPECT_TRUE(r.has_printed("PUT /v1/settings/branch?expect=0&path=root/lookup"));
    EXPECT_EQ(r.number(r.request(r.any(), "GET", "/v1/settings"), "version"), 0);
    r.record.clear();
    EXPECT_EQ(r.run_book(read_runbook("change-branch"), change), ERROR_NONE) << r.why;
    EXPECT_EQ(r.number(r.request(r.any(), "GET", "/v1/settings"), "version"), 1);
    r.record.clear();
    EXPECT_EQ(r.run_book(read_runbook("change-branch"), change), ERROR_NONE) << r.why; // repeating it changes nothing
    EXPECT_EQ(r.number(r.request(r.any(), "GET", "/v1/settings"), "version"), 1);
    r.record.clear();
    EXPECT_EQ(r.run_book(read_runbook("roll-back"),
                         {{"path", "root/lookup"}, {"overrides", "{}"}, {"name", "attemptsMax"}, {"value", "3"}}),
              ERROR_NONE)
        << r.why;
    EXPECT_EQ(r.number(r.request(r.any(), "GET", "/v1/settings"), "version"), 2);
}

TEST(Runbook, DrainAnExecutorUnderLoad)
{
    Runner r;
    caller *load = sim_load(&r.s, 600, 30);
    r.run(2000);
    r.operator_action = [&](const std::string &text) {
        if (text.find("is empty: stop it now") != std::string::npos) {
            EXPECT_EQ(r.at("executor2")->core.executor.n_work, 0);
            sim_kill(r.at("executor2"), 1);
        }
    };
    EXPECT_EQ(r.run_book(read_runbook("drain-executor"),
                         {{"executor", "executor2"}, {"at", std::to_string(sim_wall_ms(&r.s) + 6000)}}),
              ERROR_NONE)
        << r.why;
    EXPECT_FALSE(r.at("executor2")->up);
    EXPECT_EQ(r.settle(load), 0);
    EXPECT_EQ(sim_load_state(&r.s, "done"), load->n_jobs);
    EXPECT_EQ(r.breaches(), "");
}

TEST(Runbook, SwapKeeperResumesAfterAFailedStep)
{
    Runner r(4);
    std::vector<std::pair<std::string, std::string>> settings = {{"lost", r.addr("keeper2")},
                                                                 {"fresh", r.addr("keeper4")}};
    sim_kill(r.at("keeper2"), 1);
    EXPECT_EQ(r.run_book(read_runbook("swap-keeper"), settings),
              ERROR_OUTCOME_UNKNOWN); // the new keeper is not started
    EXPECT_NE(r.why.find("line 12"), std::string::npos) << r.why;
    EXPECT_NE(r.record.find("\"how\":\"failed\""), std::string::npos);
    EXPECT_NE(r.record.find("\"how\":\"done\""), std::string::npos);
    r.printed.clear();
    r.operator_action = [&](const std::string &text) {
        if (text.find("start an empty keeper") != std::string::npos)
            sim_boot(r.at("keeper4"));
    };
    EXPECT_EQ(r.run_book(read_runbook("swap-keeper"), settings), ERROR_NONE) << r.why;
    EXPECT_FALSE(r.has_printed("be sure the others hold")); // was done in the first run
    EXPECT_EQ(r.breaches(), "");
}

TEST(Runbook, ExchangeAllKeepersAndRestartAZone)
{
    Runner r(6);
    r.operator_action = [&](const std::string &text) {
        for (int i = 1; i <= 3; i++) {
            std::string from = "keeper" + std::to_string(i), to = "keeper" + std::to_string(i + 3);
            if (text.find("stop the keeper at " + r.addr(from)) == std::string::npos)
                continue;
            sim_kill(r.at(from), 0);
            r.s.seeds[i - 1] = (int64_t)r.at(to)->base.self;
            sim_boot(r.at(to));
        }
        if (text.find("send SIGTERM to the keeper and the nodes of z2") == std::string::npos)
            return;
        for (int64_t i = 0; i < r.s.n; i++) {
            machine *m = r.s.machines[i];
            if (!m->up || strcmp(m->zone, "z2") || m->kind > M_NODE)
                continue;
            m->kind == M_NODE ? node_leave(&m->core.node) : keeper_leave(&m->core.keeper);
            r.run(1500);
            sim_kill(m, 0);
        }
        r.run(3000);
        for (int64_t i = 0; i < r.s.n; i++)
            if (!r.s.machines[i]->up && !strcmp(r.s.machines[i]->zone, "z2") &&
                (r.s.machines[i]->kind == M_NODE || r.s.machines[i] == r.at("keeper5")))
                sim_restart(r.s.machines[i]);
    };
    EXPECT_EQ(r.run_book(read_runbook("exchange-keepers"), {{"oldA", r.addr("keeper1")},
                                                            {"newA", r.addr("keeper4")},
                                                            {"oldB", r.addr("keeper2")},
                                                            {"newB", r.addr("keeper5")},
                                                            {"oldC", r.addr("keeper3")},
                                                            {"newC", r.addr("keeper6")}}),
              ERROR_NONE)
        << r.why;
    r.record.clear();
    r.run(5000);
    EXPECT_EQ(r.run_book(read_runbook("restart-zone"), {{"zone", "z2"}, {"all", "18"}}), ERROR_NONE) << r.why;
    EXPECT_EQ(r.breaches(), "");
}

TEST(Runbook, AfterAPowerCut)
{
    Runner r;
    for (int64_t i = 0; i < r.s.n; i++)
        sim_kill(r.s.machines[i], 1);
    r.operator_action = [&](const std::string &text) {
        if (text.find("start the keepers") != std::string::npos)
            for (int64_t i = 0; i < r.s.n; i++)
                sim_restart(r.s.machines[i]);
    };
    EXPECT_EQ(r.run_book(read_runbook("after-power-cut"), {{"executors", "6"}}), ERROR_NONE) << r.why;
    EXPECT_EQ(r.breaches(), "");
}

TEST(Runbook, InvalidRunbooksAreRejectedWithTheLineBeforeAnyRequest)
{
    Runner r;
    struct InvalidRunbook {
        const char *text, *why;
    } invalid_runbooks[] = {
        {"", "line 1: expected at least one step"},
        {"step a\n", "line 1: expected runbook NAME first"},
        {"runbook x\nstep a\n  dance\n", "line 3: expected runbook, param, step"},
        {"runbook x\nlet a = GET /v1/status gate\n", "line 2: expected a step first"},
        {"runbook x\nstep a\nwait GET /v1/status gate is true\n", "line 3: expected within MS"},
        {"runbook x\nstep a\nwait GET /v1/status gate is true within soon\n",
         "line 3: expected a number of milliseconds, got 'soon'"},
        {"runbook x\nstep a\nexpect GET /v1/status gate equals true\n",
         "line 3: expected is, isnt, atleast or atmost, got 'equals'"},
        {"runbook x\nstep a\ndo GET /v1/status\n", "line 3: expected PUT, POST or DELETE, got 'GET'"},
        {"runbook x\nstep a\ndo PUT /v1/settings?expect={version} {}\n",
         "line 3: expected a parameter or a name let before, got 'version'"},
        {"runbook x\nstep a\nlet v GET /v1/status gate\n", "line 3: expected NAME = GET PATH SELECTOR"},
        {"runbook x\nstep a\nparam b\n", "line 3: expected param NAME before the first step"},
    };
    for (const InvalidRunbook &w : invalid_runbooks) {
        EXPECT_EQ(r.run_book(w.text, {}), ERROR_BAD_SETTING);
        EXPECT_EQ(r.why.rfind(w.why, 0), 0u) << r.why << " instead of " << w.why;
    }
    EXPECT_EQ(r.run_book("runbook x\nparam a\nstep s\n tell {a}\n", {}), ERROR_BAD_SETTING);
    EXPECT_EQ(r.n_requests, 0);
    EXPECT_EQ(r.record, "");
    // a run stops at the first expectation that is not met and reports what was seen; later steps are not run
    EXPECT_EQ(
        r.run_book(
            "runbook x\nstep one\nexpect GET /v1/settings version is 7\nstep two\ndo PUT /v1/settings?expect=0 {}\n",
            {}),
        ERROR_REJECTED);
    EXPECT_EQ(r.why, "line 3: expectation not met, seen: 0");
    EXPECT_EQ(r.number(r.request(r.any(), "GET", "/v1/settings"), "version"), 0);
    EXPECT_EQ(r.record.find("two"), std::string::npos);
    EXPECT_EQ(r.run_book("runbook y\nstep three\ndo PUT /v1/settings?expect=9 {}\n", {}), ERROR_REJECTED);
    EXPECT_NE(r.why.find("409"), std::string::npos);
}

} // namespace
