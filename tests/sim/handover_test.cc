// Leaving in order: nodes and keepers asked to stop, a fleet restarted a zone
// at a time, gangs whose executors die between reserving and starting.
#include "fleet.h"

namespace
{

struct Handover : Fleet {
    explicit Handover(uint64_t seed) : Fleet(seed) { run(6000); }
    // As a process does on SIGTERM: leave, wait until nothing is left, end.
    int64_t leave(machine *m)
    {
        int64_t from = sim_ms(&s);
        if (m->kind == M_NODE)
            node_leave(&m->core.node);
        else
            keeper_leave(&m->core.keeper);
        while (sim_ms(&s) - from < 10000 &&
               !(m->kind == M_NODE ? node_has_left(&m->core.node) : keeper_has_left(&m->core.keeper)))
            run(20);
        sim_kill(m, 0);
        return sim_ms(&s) - from;
    }
};

TEST(Handover, ANodeAskedToStopHandsOverWithoutAGap)
{
    for (uint64_t seed : seeds()) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Handover f(seed);
        caller *load = sim_load(&f.s, 600, 15);
        f.run(2000);
        for (int i = 0; i < 4; i++) {
            machine *m = f.any();
            EXPECT_LE(f.leave(m), 2500) << m->name;
            f.run(500);
            sim_restart(m);
            f.run(1000);
        }
        EXPECT_EQ(f.settle(load), 0);
        EXPECT_EQ(sim_load_state(&f.s, "done"), load->n_jobs);
        EXPECT_EQ(f.breaches(), "");
    }
}

TEST(Handover, AKeeperAskedToStopHandsItsLeadOver)
{
    for (uint64_t seed : seeds()) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Handover f(seed);
        caller *load = sim_load(&f.s, 600, 12);
        f.run(2000);
        for (int64_t g = 0; g < GROUP_COUNT; g++) {
            machine *m = sim_leader(&f.s, g);
            f.leave(m);
            EXPECT_LE(f.until_served("lead"), 2000);
            sim_restart(m);
            f.run(3000);
        }
        EXPECT_EQ(f.settle(load), 0);
        EXPECT_EQ(sim_load_state(&f.s, "done"), load->n_jobs);
        EXPECT_EQ(f.breaches(), "");
    }
}

// Asleep between its commit and the start it was to order: when it wakes, another
// owner has long cancelled the job, and a home that knows that owner refuses.
TEST(Handover, AnOwnerThatWakesStartsNothingOfACancelledJob)
{
    int64_t struck = 0;
    for (uint64_t seed : seeds(8)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Handover f(seed);
        std::vector<std::string> ids;
        int64_t due = sim_wall_ms(&f.s) + 1500;
        for (int i = 0; i < 12; i++)
            ids.push_back(f.text(f.persist("POST", "/v1/jobs",
                                           f.lookup("z" + std::to_string(i),
                                                    "\"startAtMs\":" + std::to_string(due + 20 * i) + ",", "ms=3000")),
                                 "id"));
        f.run(due - sim_wall_ms(&f.s));
        f.s.trap.kind = FRAME_PROPOSED; // of a placement, seen from the node that waits for it
        f.s.trap.nth = 1 + sim_pick(&f.s, 4);
        f.s.trap.receiver = 1;
        f.s.trap.freeze_ms = 6500;
        f.s.trap.armed = 1;
        f.run(4500);
        ASSERT_TRUE(f.s.trap.triggered);
        for (const std::string &id : ids) {
            const job *j = sim_job(&f.s, job_id_parse(id.c_str()));
            struck += sim_shard_owner(&f.s, job_shard(j->id)) != f.s.trap.victim && j->rows[0].state == ROW_PLACED;
            f.persist("DELETE", "/v1/jobs/" + id, "");
        }
        f.run(8000);
        for (const std::string &id : ids)
            EXPECT_TRUE(f.ended(f.job_state(id)));
        EXPECT_EQ(f.breaches(), "");
    }
    EXPECT_GT(struck, 0);
}

// By hand, what only a deposed owner could send: a batch to the jobs log, and to
// a home the start of a task that was cancelled.
TEST(Handover, WhatADeposedOwnerSendsChangesNothing)
{
    for (uint64_t seed : seeds(3)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Handover f(seed);
        std::string runs = f.text(f.persist("POST", "/v1/jobs", f.lookup("runs", "", "ms=6000")), "id");
        std::string gone = f.text(f.persist("POST", "/v1/jobs", f.lookup("gone", "", "ms=6000")), "id");
        f.run(600);
        f.persist("DELETE", "/v1/jobs/" + gone, "");
        f.run(2000);
        ASSERT_EQ(f.job_state(gone), "cancelled");
        machine *leader = sim_leader(&f.s, GROUP_JOBS);
        int64_t id = job_id_parse(runs.c_str()), shard = job_shard(id);
        struct rows *rows = &leader->core.keeper.shards[shard];
        struct op end = {};
        end.kind = OP_END, end.job = id, end.attempt = 1, end.state = ROW_DONE;
        struct batch batch = {};
        batch.shard = shard, batch.epoch = rows->epoch - 1, batch.seq = rows->seq + 1, batch.ops = &end,
        batch.n_ops = 1;
        struct propose m = {};
        m.group = GROUP_JOBS;
        schema_pack(&batch_schema, &batch, &m.op);
        bytes frame = {};
        frame_build(&frame, FRAME_PROPOSE, leader->core.keeper.cluster, f.at("node1")->base.self, &propose_schema, &m);
        keeper_on_frame(&leader->core.keeper, frame.at, frame.len);
        keeper_flush(&leader->core.keeper);
        bytes_free(&frame);
        bytes_free(&m.op);

        const job *j = sim_job(&f.s, job_id_parse(gone.c_str()));
        machine *home = sim_executor_owner(&f.s, j->rows[0].executor);
        struct start_order order = {};
        order.shard = job_shard(j->id);
        order.shard_epoch = leader->core.keeper.shards[order.shard].epoch - 1;
        order.executor_epoch = executor_owner_find(&home->core.node, j->rows[0].executor)->epoch;
        order.incarnation = j->rows[0].incarnation;
        order.executor = j->rows[0].executor;
        order.start = {};
        order.start.job = j->id, order.start.attempt = 2, order.start.cores = 1, order.start.lease_ms = 4000;
        order.start.service = j->spec.service, order.start.kind = j->spec.steps[0].tasks[0].kind;
        frame_build(&frame, FRAME_START, home->core.node.cluster, f.at("node1")->base.self, &start_order_schema,
                    &order);
        node_on_frame(&home->core.node, frame.at, frame.len);
        bytes_free(&frame);
        f.run(1000);
        EXPECT_EQ(f.job_state(runs), "active");
        oracle_job_state_seen(f.s.oracle, id, f.job_state(runs).c_str());
        EXPECT_EQ(f.breaches(), "");
    }
}

TEST(Handover, AFleetRestartedAZoneAtATime)
{
    for (uint64_t seed : seeds()) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Handover f(seed);
        caller *load = sim_load(&f.s, 600, 25);
        for (const char *zone : {"z1", "z2", "z3"}) {
            std::vector<machine *> here;
            for (int64_t i = 0; i < f.s.n; i++)
                if ((f.s.machines[i]->kind == M_NODE || f.s.machines[i]->kind == M_KEEPER) &&
                    !strcmp(f.s.machines[i]->zone, zone))
                    here.push_back(f.s.machines[i]);
            for (machine *m : here)
                m->kind == M_NODE ? node_leave(&m->core.node) : keeper_leave(&m->core.keeper);
            f.run(2500);
            for (machine *m : here)
                sim_kill(m, 0);
            f.run(500);
            for (machine *m : here)
                sim_restart(m);
            f.run(3500);
        }
        EXPECT_EQ(f.settle(load), 0);
        EXPECT_EQ(sim_load_state(&f.s, "done"), load->n_jobs);
        EXPECT_EQ(f.breaches(), "");
    }
}

TEST(Handover, GangsWhoseExecutorsDieAtTheStartAreNotTorn)
{
    for (uint64_t seed : seeds(8)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Handover f(seed);
        std::vector<std::string> ids;
        for (int i = 0; i < 12; i++) {
            std::string body = f.one_step("g" + std::to_string(i), "stock", "q",
                                          "\"gang\":true,\"perExecutor\":1," + f.tasks(4, "ms=4000", 2));
            sim_request(
                &f.s,
                {f.any(), "POST", "/v1/jobs", body.c_str(),
                 [](sim *, void *arg, int64_t, int status, const char *text) {
                     json_t *j = json_loads(text, 0, nullptr);
                     if (status == 201)
                         ((std::vector<std::string> *)arg)->push_back(json_string_value(json_object_get(j, "id")));
                     json_decref(j);
                 },
                 &ids, 0});
            f.run(4 + sim_pick(&f.s, 12));
            if (i % 3 == 2) {
                machine *e = f.at("executor" + std::to_string(1 + sim_pick(&f.s, 11)));
                if (seed % 2)
                    sim_kill(e, 0);
                else
                    sim_cut_off(&f.s, e);
            }
        }
        f.run(10000);
        sim_heal(&f.s);
        for (int i = 1; i <= 11; i++)
            if (!f.at("executor" + std::to_string(i))->up)
                sim_restart(f.at("executor" + std::to_string(i)));
        f.run(40000);
        EXPECT_EQ(ids.size(), 12u);
        for (const std::string &id : ids)
            EXPECT_TRUE(f.ended(f.job_state(id))) << id << f.job_state(id);
        EXPECT_EQ(f.breaches(), "");
    }
}

} // namespace
