// A simulated cluster whose voters are lost one after the other, for scenarios of repair.
// Steps of a repair are read from the leader's log. Breaches the judge found fail the scenario.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "cluster_trace.h"

extern "C" {
#include "controller/controller_state.h"
#include "sim/cluster.h"
}

namespace losses
{

// How a machine is lost. SENDS_CUT: it hears the others and is not heard; RECEIVES_CUT: the other way round.
enum Loss { KILLED, WIPED, REPLACED, FROZEN, CUT_OFF, SENDS_CUT, RECEIVES_CUT };
// How far the repair of the first loss has come. LOST: not begun.
enum Step { LOST, LEARNS, CAUGHT_UP, PROPOSED, COMMITTED, REMOVED };

const char *name_of(Loss loss);
const char *name_of(Step step);
// Whoever was lost so has no successor of its own: a machine that learns stands ready.
bool has_spare(Loss loss);

// A controller that runs, with a log that its disk keeps.
bool has_log(const host *h);

class Losses
{
  public:
    struct cluster c;
    Loss kind;                                        // of the first loss
    int voters;                                       // that are wanted
    host *lost = nullptr;                             // the first
    int64_t lost_id = 0, fresh_addr = 0, lost_us = 0; // its identity; where a successor of its own answers; when
    std::vector<host *> away;                         // whoever is lost now

    Losses(uint64_t seed, int n, Loss first, int agents = 8);
    ~Losses();
    std::string trace() { return trace_of(&c); }

    // Who leads now by the highest term, among those that are not away; nullptr: nobody.
    host *leader();
    struct log *log();
    // The controllers with a disk that don't lead, in the order of their numbers.
    std::vector<host *> followers();
    int64_t n_voters();
    // The host of a member that is up and not away; nullptr: none is.
    host *host_of(const struct log_member &member);
    bool is_away(const host *h) const;
    // A random voter by what it knows itself, up and not away.
    host *pick_voter();
    // A random learner of the leader's, up and not away; nullptr: none.
    host *pick_learner();

    void lose_first();
    void lose(host *h, Loss loss, int64_t frozen_ms);
    // All read the seeds anew, as processes do when their settings file changes; seeds that were replaced are in it.
    void reread_seeds();
    // What was lost is back, with its disk; a frozen one when it thaws, an emptied or replaced one never.
    void restore(host *h, Loss loss);
    // No links between the controllers with a disk that are on this side and the others with one.
    void part(const std::vector<host *> &side);
    void heal_all();
    // The first that was lost is back as it was. False: it can't come back.
    bool restore_first();

    Step step();
    bool run_to(Step wanted);
    // Whether those that are up, without the lost ones, could elect a leader.
    bool electable(const std::vector<host *> &without);
    // Whether any n more may be lost at once.
    bool bears(size_t n);
    // The wanted number of voters, each up, and no change under way.
    bool whole();
    bool run_until_whole();

    // Until a caller's order is accepted, and one more. -1: none within the time.
    int64_t serves_within(int64_t within_ms);
    void run_until_thawed();
    void expect_one_log();
    // What is committed is the same wherever it is, and operators saw one configuration register.
    void expect_agreement();

  private:
    struct Cut {
        host *h;
        Loss loss;
    };
    std::vector<Cut> cuts; // in force now
    void cut(host *h, Loss loss);
    void heal(host *h);
    void apply_cuts();
    bool bears_from(size_t n, size_t first, std::vector<host *> &without);
};

} // namespace losses
