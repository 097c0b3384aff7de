// Routes of queues that are removed, moved, swapped and named again while jobs are open: a job stays where it was
// accepted, whichever queue has that route now. SAGEHITCH_SEEDS=N or FIRST-LAST for a longer sweep.
#include <cstdio>
#include <random>

#include "../sim/seeds.h"
#include "leader_rig.h"

using namespace leader_rig;

namespace
{

struct Route {
    std::string name, prefix, host = "host.example", service = "work";
    int64_t attempts_max = 1000;
};

// A leader and its callers.
struct World {
    Rig rig;
    int64_t version = 1;
    const std::vector<step_spec> one = {Rig::step(1, 100)};

    record_op config_op(const std::vector<Route> &routes)
    {
        record_op op = {};
        config_change &change = *record_op_make_config(&op);
        std::vector<record_build::Queue> list;
        for (const Route &route : routes)
            list.push_back({route.name, route.attempts_max});
        change.base = version++;
        change.config = record_build::config_of(version, list, "raw " + std::to_string(version));
        for (size_t i = 0; i < routes.size(); i++) {
            queue_config &queue = change.config.queues[i];
            free(queue.prefix), free(queue.host), free(queue.service);
            queue.prefix = record_build::dup(routes[i].prefix);
            queue.host = record_build::dup(routes[i].host);
            queue.service = record_build::dup(routes[i].service);
        }
        service_config &other = record_build::more_of(change.config.services, change.config.n_services);
        other.name = record_build::dup("other");
        return op;
    }
    void configure(const std::vector<Route> &routes)
    {
        record_op op = config_op(routes);
        ASSERT_EQ(record_apply(&rig.record, &op), 0);
        schema_free(&record_op_schema, &op);
    }
    static std::string path_of(const std::string &prefix, int64_t id)
    {
        char name[17];
        snprintf(name, sizeof name, "%016llx", (unsigned long long)id);
        return prefix + name;
    }
    int64_t send(const std::string &host, const std::string &path, const std::function<void(api_request &)> &fill)
    {
        api_request request = {};
        request.host = (char *)host.c_str();
        request.path = (char *)path.c_str();
        fill(request);
        dispatch_request(rig.dispatch, ++rig.ticket, &request);
        return rig.ticket;
    }
    int64_t answer_to(int64_t ticket)
    {
        rig.settle();
        EXPECT_EQ(rig.answers[ticket].size(), 1u);
        return rig.answers[ticket].empty() ? -99 : rig.answers[ticket][0].error;
    }
    int64_t send_submission(int64_t id, const std::string &prefix, const std::string &host, int64_t tasks = 1)
    {
        std::vector<step_spec> steps = {Rig::step(tasks, 100)};
        return send(host, path_of(prefix, id), [&](api_request &request) {
            job_spec &spec = *api_request_make_job(&request);
            spec.id = id, spec.text = (char *)"text", spec.steps = steps.data(), spec.n_steps = 1;
        });
    }
    int64_t submit(int64_t id, const std::string &prefix, const std::string &host = "host.example", int64_t tasks = 1)
    {
        return answer_to(send_submission(id, prefix, host, tasks));
    }
    int64_t state(int64_t id, const std::string &prefix, const std::string &host = "host.example")
    {
        return answer_to(send(host, path_of(prefix, id), [&](api_request &r) { api_request_make_state(&r, id); }));
    }
    int64_t cancel(int64_t id, const std::string &prefix, const std::string &host = "host.example")
    {
        return answer_to(send(host, path_of(prefix, id), [&](api_request &r) { api_request_make_cancel(&r, id); }));
    }
    const queue_config &queue_of(int64_t id) { return rig.record.queues[record_job(&rig.record, id)->queue].config; }
    // A job is found, known again and cancelled there.
    void expect_known(int64_t id, const std::string &prefix, const std::string &host = "host.example")
    {
        EXPECT_EQ(state(id, prefix, host), 0);
        EXPECT_EQ(submit(id, prefix, host), 0);
        EXPECT_EQ(submit(id, prefix, host, 2), ERROR_KEY_TAKEN) << "another job";
        EXPECT_EQ(cancel(id, prefix, host), 0);
        EXPECT_EQ(record_job(&rig.record, id)->state, JOB_CANCELLED);
    }
    void restore_from_snapshot()
    {
        bytes stored = {};
        record_snapshot(&rig.record, &stored);
        rig.new_leader();
        dispatch_become_follower(rig.dispatch);
        ASSERT_EQ(record_restore(&rig.record, &stored), 0);
        dispatch_become_leader(rig.dispatch, ++rig.epoch);
        bytes_free(&stored);
    }
};

struct Routes : testing::Test, World {
};

} // namespace

// Guards against 410 for an accepted job, and for its cancellation, once the name of its removed route was used for
// another one.
TEST_F(Routes, JobIsKnownAfterTheNameOfItsRouteIsUsedAgain)
{
    configure({{"one", "/one/"}});
    ASSERT_EQ(submit(1, "/one/"), 0);
    configure({{"two", "/one/"}});
    EXPECT_EQ(state(1, "/one/"), 0);
    configure({{"two", "/one/"}, {"one", "/three/"}});
    expect_known(1, "/one/");
}

// Guards against the same for a route that moves in one change: another queue has its path, or a shorter one.
TEST_F(Routes, JobIsKnownAfterItsRouteMoved)
{
    configure({{"one", "/one/"}, {"all", "/"}});
    ASSERT_EQ(submit(1, "/one/"), 0);
    ASSERT_EQ(submit(2, "/one/"), 0);
    ASSERT_EQ(submit(3, "/one/"), 0);
    configure({{"one", "/moved/"}, {"all", "/"}});
    expect_known(1, "/one/");
    expect_known(2, "/moved/");
    ASSERT_EQ(submit(4, "/moved/"), 0);
    configure({{"one", "/moved/again/"}, {"two", "/one/"}, {"all", "/moved/"}});
    expect_known(3, "/one/");
    expect_known(4, "/moved/");
}

TEST_F(Routes, JobIsKnownAfterTheHostChanged)
{
    configure({{"one", "/one/"}});
    ASSERT_EQ(submit(1, "/one/"), 0);
    configure({{"one", "/one/", "new.example"}, {"two", "/one/"}});
    expect_known(1, "/one/");
}

// Guards against jobs of two queues that trade places.
TEST_F(Routes, JobsAreKnownAfterRoutesWereSwapped)
{
    configure({{"one", "/one/"}, {"two", "/two/"}});
    ASSERT_EQ(submit(1, "/one/"), 0);
    ASSERT_EQ(submit(2, "/two/"), 0);
    configure({{"one", "/two/"}, {"two", "/one/"}});
    restore_from_snapshot();
    expect_known(1, "/one/");
    expect_known(2, "/two/");
}

// Guards against 410 once a route with a longer prefix takes the path.
TEST_F(Routes, JobIsKnownBehindALongerPrefix)
{
    configure({{"one", "/one/"}});
    ASSERT_EQ(submit(1, "/one/"), 0);
    configure({{"one", "/one/"}, {"longer", "/one/0"}});
    expect_known(1, "/one/");
}

// Guards against tasks of a job that start on executors of another service: the name of its route is used again, but
// for another queue. A queue that is only moved, or comes back to its place, keeps its jobs.
TEST_F(Routes, NameUsedAgainIsAnotherQueue)
{
    configure({{"one", "/one/"}});
    ASSERT_EQ(submit(1, "/one/"), 0);
    configure({{"two", "/two/"}});
    configure({{"two", "/two/"}, {"one", "/three/", "host.example", "other", 7}});
    ASSERT_EQ(submit(2, "/three/"), 0);
    EXPECT_STREQ(queue_of(1).service, "work");
    EXPECT_EQ(queue_of(1).attempts_max, 1000);
    EXPECT_STREQ(queue_of(2).service, "other");
    configure({{"two", "/one/"}, {"one", "/four/", "host.example", "other", 8}});
    EXPECT_EQ(queue_of(1).attempts_max, 1000);
    EXPECT_EQ(queue_of(2).attempts_max, 8) << "moved";
    configure({{"two", "/two/"}});
    configure({{"one", "/one/", "HOST.example", "other", 9}});
    EXPECT_EQ(queue_of(1).attempts_max, 9) << "back at its place";
    EXPECT_EQ(queue_of(2).attempts_max, 8);
}

// Guards against 404 for a job whose path always had a queue, and against a job that is put into a queue at another
// path, since the configuration changed before its submission was committed.
TEST_F(Routes, SubmissionThatAConfigurationOvertakesGoesByItsRoute)
{
    configure({{"one", "/one/"}});
    int64_t first = send_submission(1, "/one/", "host.example"), second = send_submission(1, "/one/", "host.example");
    configure({{"two", "/one/"}, {"one", "/three/"}});
    EXPECT_EQ(answer_to(first), 0);
    EXPECT_EQ(answer_to(second), 0) << "resent";
    EXPECT_STREQ(queue_of(1).name, "two");
    first = send_submission(2, "/one/", "host.example"), second = send_submission(1, "/one/", "host.example");
    configure({{"three", "/one/"}});
    EXPECT_EQ(answer_to(first), 0) << "its queue is removed";
    EXPECT_EQ(answer_to(second), 0) << "accepted before";
    EXPECT_STREQ(queue_of(2).name, "three");
    expect_known(2, "/one/");
    first = send_submission(3, "/one/", "host.example");
    configure({{"all", "/"}});
    EXPECT_EQ(answer_to(first), ERROR_UNAVAILABLE) << "sent again, it is for the other queue";
    EXPECT_EQ(record_job(&rig.record, 3), nullptr);
    first = send_submission(3, "/", "host.example");
    configure({{"one", "/one/"}});
    EXPECT_EQ(answer_to(first), ERROR_NOT_FOUND);
}

// Random histories of configurations: names and routes come, go, move and are swapped, with snapshots in between. A job
// is known by the path at which it was accepted whenever any queue has that path.
TEST_F(Routes, JobsAreKnownThroughHistoriesOfConfigurations)
{
    struct Accepted {
        int64_t id;
        std::string prefix, host;
        bool cancelled;
    };
    const std::vector<std::string> prefixes = {"/", "/a/", "/a/b/", "/a/0", "/c/", "/d/"}, hosts = {"h.example", "k"};
    for (uint64_t seed : seeds(60)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        World world;
        std::mt19937_64 random(seed);
        auto pick = [&](size_t n) { return (size_t)(random() % n); };
        std::vector<Accepted> accepted;
        int64_t next_id = (int64_t)(seed << 20);
        for (int change = 0; change < 12; change++) {
            std::map<std::pair<std::string, std::string>, std::string> route_names;
            for (const char *name : {"n1", "n2", "n3", "n4"})
                if (pick(4))
                    route_names.insert({{hosts[pick(2)], prefixes[pick(prefixes.size())]}, name});
            std::vector<Route> routes;
            for (auto &[route, name] : route_names)
                routes.push_back({name, route.second, route.first});
            world.configure(routes);
            if (!pick(4))
                world.restore_from_snapshot();
            for (int i = 0; i < 2 && !routes.empty(); i++) {
                const Route &route = routes[pick(routes.size())];
                ASSERT_EQ(world.submit(++next_id, route.prefix, route.host), 0);
                accepted.push_back({next_id, route.prefix, route.host, false});
            }
            for (Accepted &job : accepted) {
                bool has_queue =
                    config_route(&world.rig.record.config, job.host.c_str(), path_of(job.prefix, job.id).c_str()) >= 0;
                ASSERT_EQ(world.state(job.id, job.prefix, job.host), has_queue ? 0 : ERROR_NOT_FOUND) << job.prefix;
                ASSERT_EQ(world.submit(job.id, job.prefix, job.host), has_queue ? 0 : ERROR_OUTCOME_UNKNOWN);
                if (pick(8) || !has_queue)
                    continue;
                ASSERT_EQ(world.cancel(job.id, job.prefix, job.host), 0);
                job.cancelled = true;
            }
            for (const Accepted &job : accepted)
                ASSERT_EQ(record_job(&world.rig.record, job.id)->state == JOB_CANCELLED, job.cancelled);
        }
    }
}
