// The planner on random records and executors: invariants of every round, and of victims.
#include "plan_fixture.h"

namespace
{

struct Random {
    std::mt19937 engine;
    explicit Random(unsigned seed) : engine(seed) {}
    int64_t below(int64_t n) { return (int64_t)(engine() % (uint64_t)n); }
    bool one_in(int64_t n) { return below(n) == 0; }
};

void build(PlanFixture &t, Random &random, bool old)
{
    static const char *const racks[] = {"r0", "r1", "r2"};
    t.max_placements = random.one_in(4) ? 1 + random.below(20) : 300;
    for (int64_t i = 0, n = 1 + random.below(12); i < n; i++) {
        int64_t index =
            t.candidate_add(1000 * (1 + random.below(8)), racks[random.below(3)], random.one_in(4) ? "other" : "s",
                            random.one_in(3) ? "big" : nullptr, random.one_in(4) ? 4 : 0);
        candidate &s = t.candidates[(size_t)index];
        s.open = !random.one_in(8);
        s.duration_pct = random.one_in(4) ? 250 : 100;
        s.failures = random.one_in(4) ? random.below(5) : 0;
        if (random.one_in(10))
            s.departs_ms = 5000 + random.below(4000);
    }
    for (int64_t i = 0; i < 3; i++)
        t.queue(i);
    t.queue(1, 1000000, "other");
    t.queue(0, 1000000, "nowhere");
    for (int64_t i = 0, n = 1 + random.below(20); i < n; i++) {
        std::vector<step_spec> steps;
        int64_t n_steps = 1 + random.below(3), repeats = random.one_in(4) ? 1 + random.below(4) : 0;
        for (int64_t k = 0; k < n_steps; k++) {
            step_spec s = PlanFixture::step(1 + random.below(6), 250 * random.below(12), 500 * random.below(10));
            s.memory_mb = 250 * random.below(12);
            s.gang = random.one_in(4), s.same_rack = s.gang && random.one_in(2);
            s.checkpoints = random.one_in(3), s.long_running = random.one_in(8);
            s.per_executor = random.one_in(4) ? 1 + random.below(2) : 0;
            s.gpus = random.one_in(8) ? 1 + random.below(2) : 0;
            if (random.one_in(4))
                s.label = must_dup("big");
            if (random.one_in(4))
                s.rack = must_dup(racks[random.below(3)]);
            if (k && random.one_in(2)) {
                s.depends_on = static_cast<int64_t *>(must_alloc(sizeof(int64_t)));
                s.depends_on[0] = random.below(k), s.n_depends_on = 1;
            }
            steps.push_back(s);
        }
        int64_t accepted = old ? WALL - random.below(20000) : WALL - random.below(900);
        job *j = t.add(random.below(5), steps, accepted, repeats, WALL - 2000 + random.below(4000), random.below(2000));
        for (int64_t row_index = 0; row_index < j->repetitions * j->tasks; row_index++) {
            int64_t repetition, step, index;
            job_row_position(j, row_index, &repetition, &step, &index);
            j->rows[row_index].attempt = (int32_t)random.below(3);
            if (random.one_in(3) && !j->spec.steps[step].gang && job_step_is_ready(j, repetition, step))
                t.move(j, row_index, ROW_DONE);
            else if (random.one_in(10))
                t.busy.insert({j, row_index});
        }
        if (random.one_in(12))
            j->state = JOB_CANCELLED;
    }
}

bool holds(const candidate &s, const step_spec &spec, bool total)
{
    bool labelled = !spec.label;
    for (int64_t i = 0; i < s.n_labels; i++)
        labelled |= !strcmp(s.labels[i], spec.label ? spec.label : "");
    return labelled && s.open && spec.cpu_milli <= (total ? s.cpu_milli : s.cpu_free) &&
           spec.memory_mb <= (total ? s.memory_mb : s.memory_free) && spec.gpus <= (total ? s.gpus : s.gpus_free);
}

// Checks each placement, and all of them together against the candidates as they were before the round.
void check_round(PlanFixture &t, const std::vector<candidate> &before)
{
    std::set<std::pair<job *, int64_t>> seen;
    std::map<std::tuple<job *, int64_t, int64_t>, std::vector<const placement *>> groups;
    std::vector<candidate> after = before;
    for (int64_t i = 0; i < t.p.n; i++) {
        const placement *at = &t.p.placements[i];
        job *j = at->job;
        int64_t repetition, step, index;
        job_row_position(j, at->row_index, &repetition, &step, &index);
        ASSERT_EQ(repetition, at->repetition);
        ASSERT_EQ(step, at->step);
        const step_spec &spec = j->spec.steps[step];
        EXPECT_FALSE(job_over(j)) << "a job that is over";
        EXPECT_TRUE(seen.insert({j, at->row_index}).second) << "a row twice";
        EXPECT_EQ(j->rows[at->row_index].state, ROW_WAITING);
        EXPECT_FALSE(t.busy.count({j, at->row_index})) << "a busy row";
        EXPECT_GT(at->attempt, j->rows[at->row_index].attempt);
        EXPECT_LE(job_due_ms(j, repetition), t.wall_ms + EARLY) << "before it is due";
        for (int64_t d = 0; d < spec.n_depends_on; d++)
            for (int64_t n = 0; n < j->spec.steps[spec.depends_on[d]].task_count; n++)
                EXPECT_EQ(j->rows[repetition * j->tasks + j->first[spec.depends_on[d]] + n].state, ROW_DONE)
                    << "a dependency is not done";
        candidate &s = after[(size_t)at->candidate];
        EXPECT_STREQ(s.service, t.r.queues[j->queue].config.service);
        EXPECT_TRUE(holds(s, spec, true)) << "label, open or capacity";
        s.cpu_free -= spec.cpu_milli, s.memory_free -= spec.memory_mb, s.gpus_free -= spec.gpus;
        groups[{j, repetition, step}].push_back(at);
    }
    for (size_t i = 0; i < after.size(); i++) {
        EXPECT_GE(after[i].cpu_free, 0) << "candidate " << i;
        EXPECT_GE(after[i].memory_free, 0) << "candidate " << i;
        EXPECT_GE(after[i].gpus_free, 0) << "candidate " << i;
        EXPECT_EQ(after[i].cpu_free, t.candidates[i].cpu_free) << "free capacity does not match the placements";
        EXPECT_EQ(after[i].memory_free, t.candidates[i].memory_free);
        EXPECT_EQ(after[i].gpus_free, t.candidates[i].gpus_free);
    }
    for (auto &[key, placements] : groups) {
        auto [j, repetition, step] = key;
        const step_spec &spec = j->spec.steps[step];
        if (spec.gang) {
            EXPECT_EQ((int64_t)placements.size(), spec.task_count) << "only part of a gang";
            for (const placement *at : placements)
                EXPECT_EQ(at->attempt, placements[0]->attempt);
        }
        std::map<int64_t, int64_t> used;
        for (int64_t n = 0; n < spec.task_count; n++) {
            const row &other = j->rows[repetition * j->tasks + j->first[step] + n];
            if (other.state == ROW_PLACED)
                used[other.incarnation]++;
        }
        for (const placement *at : placements)
            EXPECT_TRUE(++used[t.candidates[(size_t)at->candidate].incarnation_no] <= spec.per_executor ||
                        !spec.per_executor)
                << "more than per_executor on one executor";
    }
    EXPECT_TRUE(t.p.n <= t.max_placements || groups.size() == 1) << "more than the limit of the round";
}

// Checks that all tasks that fit were placed. Holds only if no capacity is reserved for others.
void check_nothing_left(PlanFixture &t)
{
    std::set<std::pair<job *, int64_t>> placed;
    for (int64_t i = 0; i < t.p.n; i++)
        placed.insert({t.p.placements[i].job, t.p.placements[i].row_index});
    int64_t left = 0;
    for (job *j = t.r.oldest; j; j = j->next) {
        for (int64_t row_index = 0; row_index < j->repetitions * j->tasks && !job_over(j); row_index++) {
            int64_t repetition, step, index;
            job_row_position(j, row_index, &repetition, &step, &index);
            const step_spec &spec = j->spec.steps[step];
            if (j->rows[row_index].state != ROW_WAITING || placed.count({j, row_index}) ||
                t.busy.count({j, row_index}) || spec.gang || spec.per_executor ||
                !job_step_is_ready(j, repetition, step) || job_due_ms(j, repetition) > t.wall_ms)
                continue;
            left++;
            for (const candidate &s : t.candidates) {
                bool stays = s.departs_ms == INT64_MAX;
                bool other = strcmp(s.service, t.r.queues[j->queue].config.service) != 0;
                EXPECT_FALSE(stays && !other && holds(s, spec, false))
                    << "row " << row_index << " of job " << j->spec.id << " would fit";
            }
        }
    }
    EXPECT_GE(t.p.blocked, left);
}

TEST(PlanRandom, EveryRoundIsValid)
{
    for (unsigned seed = 0; seed < 600 && !testing::Test::HasFailure(); seed++) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        PlanFixture t;
        Random random(seed);
        bool old = seed % 2;
        build(t, random, old);
        for (int k = 0; k < 4; k++) {
            std::vector<candidate> before = t.candidates;
            t.round();
            check_round(t, before);
            if (!old && t.p.n + 6 <= t.max_placements) // else a gang of up to six may have ended the round
                check_nothing_left(t);
            t.commit();
            for (job *j = t.r.oldest; j; j = j->next)
                for (int64_t row_index = 0; row_index < j->repetitions * j->tasks; row_index++)
                    if (j->rows[row_index].state == ROW_PLACED && random.one_in(4))
                        t.move(j, row_index, random.one_in(3) ? ROW_WAITING : ROW_DONE);
        }
        t.drop();
    }
}

TEST(PlanRandom, VictimsAreLessUrgentAndFreeCapacity)
{
    int64_t named = 0;
    for (unsigned seed = 0; seed < 600 && !testing::Test::HasFailure(); seed++) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        PlanFixture t;
        Random random(seed);
        build(t, random, false);
        t.busy.clear();
        for (job *j = t.r.oldest; j; j = j->next)
            if (j->queue == 0)
                t.r.queues[0].config.priority = 2;
        t.max_placements = 300;
        t.round();
        t.commit();
        int64_t urgent = t.queue(0);
        step_spec s = PlanFixture::step(1, 1000);
        s.gang = random.one_in(3), s.task_count = s.gang ? 3 : 1 + random.below(2);
        job *j = t.add(urgent, {s});
        t.wall_ms += 100;
        t.round();
        t.commit();
        int64_t without = t.placed_of(j), max_placements = 1 + random.below(30);
        std::vector<victim> v = t.victims(max_placements);
        std::set<std::pair<job *, int64_t>> seen;
        EXPECT_LE((int64_t)v.size(), max_placements);
        int64_t least = INT64_MAX;
        for (const victim &chosen : v) {
            int64_t repetition, step, index;
            EXPECT_TRUE(seen.insert({chosen.job, chosen.row_index}).second);
            EXPECT_EQ(chosen.job->rows[chosen.row_index].state, ROW_PLACED);
            EXPECT_FALSE(job_over(chosen.job));
            least = std::min(least, t.r.queues[chosen.job->queue].config.priority);
            job_row_position(chosen.job, chosen.row_index, &repetition, &step, &index);
            for (int64_t n = 0; chosen.job->spec.steps[step].gang && n < chosen.job->spec.steps[step].task_count; n++)
                EXPECT_TRUE(std::count_if(v.begin(), v.end(), [&](const victim &member) {
                    return member.job == chosen.job && member.row_index == chosen.row_index - index + n;
                })) << "only part of a gang";
        }
        if (v.empty()) {
            t.drop();
            continue;
        }
        EXPECT_GT(least, 0);
        named++;
        for (const victim &chosen : v)
            t.move(chosen.job, chosen.row_index, ROW_WAITING);
        t.round();
        int64_t helped = 0;
        for (int64_t i = 0; i < t.p.n; i++)
            helped += t.r.queues[t.p.placements[i].job->queue].config.priority < least;
        EXPECT_GT(helped, 0) << "preempted without effect; placed before " << without;
        t.drop();
    }
    EXPECT_GT(named, 50);
}

} // namespace
