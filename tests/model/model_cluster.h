/* The state that the model checker explores: a few nodes that run the production log over clocks, a network and disks
 * that are plain data, so that a whole cluster can be copied, hashed and compared. A step is one Choice. After each
 * step the monitors compare the state and the frames of all nodes with everything that was committed, voted and
 * acknowledged before. */
#ifndef SAGEHITCH_MODEL_CLUSTER_H
#define SAGEHITCH_MODEL_CLUSTER_H
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

extern "C" {
#include "base/error.h"
#include "controller/controller_state.h"
}

namespace model
{

constexpr int64_t ELECTION_MS = 1000; /* by the node's own clock */
constexpr int NODES_MAX = 8;
constexpr int64_t TIMER_MS = 200; /* between two timers of a controller */
constexpr uint32_t CLUSTER = 7;
constexpr uint64_t ADDR = 0x1000, ADDR_STEP = 16; /* node i is at ADDR + i * ADDR_STEP */

/* How a process ends. KILLED: all written data stay. POWER_LOSS: only synced data stay. TORN_WRITE: half of the
 * unsynced data of each file and all names stay. */
enum Crash { KILLED, POWER_LOSS, TORN_WRITE };

struct File {
    std::string data;
    size_t synced;
    uint64_t hash; /* of the appended data */
};
/* names: the files by name, as seen by the process; durable: as of the last sync of names. */
struct Disk {
    std::map<int, File> files;
    std::map<std::string, int> names, durable;
    int files_made = 0;

    void crash(Crash how);
    uint64_t hash() const;
};

struct Message {
    int from, to;
    bool held;    /* delivered only by a choice of its own; if that never comes, it is lost */
    bool at_once; /* delivered as soon as it is sent, without a choice */
    std::shared_ptr<const std::string> bytes;
    uint64_t hash;
};

/* Which frames of controllers are delivered by a choice; the others are delivered as soon as they are sent.
 * BALLOT_FRAMES: neither COLLECT nor frames of the log. MEMBERSHIP_FRAMES: all but COLLECT; in addition a controller
 * that knows no leader finds it at its timer, in place of the directory's search. */
enum FrameChoices { ALL_FRAMES, BALLOT_FRAMES, MEMBERSHIP_FRAMES };

/* The controllers of a study. seeds: how many nodes are seeds; 0: the study uses the log without controllers. zones:
 * the zone of each node, one letter each; nodes beyond the string are in zone "a". diskless: a bit for each node
 * without a disk. */
struct ControllerSetup {
    int seeds = 0;
    const char *zones = "";
    unsigned diskless = 0;
    FrameChoices frame_choices = ALL_FRAMES;
};

/* A process. world is the first member, so that a node can be found by its log's pointer to the world. The log is that
 * of the controller; studies of the log alone use no other part of it. Of a controller, dispatch, relay and the search
 * for the leader are left out: the directory learns the leader only from the log. */
struct Node {
    struct world world = {};
    int number = 0;
    bool up = false, crashing = false;
    int crash_at_sync = -1;    /* crash at the next sync: enum Crash, + 4: just after it; -1: none */
    bool is_reader = false;    /* a temporary copy that only reads a disk */
    int64_t segment_bytes = 0; /* of the study */
    int64_t id = 0, rate = 1000, clock_offset = 0, committed = 0;
    struct controller controller = {};
    struct log &log = controller.log;
    const ControllerSetup *controller_setup = nullptr; /* of the study; null: the log alone */
    bool sync_deferred = false;                        /* further events are handled before the log is flushed */
    bool frozen = false;                               /* runs nothing; messages to it wait */
    int64_t last_timer_ms = 0, awake_since_ms = 0;
    int64_t last_reply_ms[NODES_MAX] = {}; /* time of the last reply from each node */
    struct HeartbeatRound {
        int64_t term, round, commit,
            previous_commit; /* commit index when the newest round, and the one before it, began */
    } heartbeat_round = {};
    std::vector<std::pair<int64_t, int64_t>> member_kinds; /* identity, kind; as of the end of the last turn */
    int64_t members_index = 0;                             /* of the entry with these member_kinds */
    Disk disk;
    std::vector<int64_t> ops; /* the state machine: the applied operations in order */

    struct Durable { /* what the node would read from its disk after a loss of power now */
        bool known;
        int64_t term, vote, base;   /* base: index of its snapshot */
        std::vector<int64_t> terms; /* of the entries after base */
        int64_t promised, accepted; /* ballots of the acceptor */
        uint64_t accepted_list, bootstrap_list;

        bool holds(int64_t index, int64_t term) const
        {
            auto k = (size_t)(index - base - 1);
            return index <= base || (k < terms.size() && terms[k] == term);
        }
    } durable = {};

    Node();
    Node(const Node &other);
    ~Node();
    int load(); /* log_start() and log_load() from disk, as after a process start */
    int load_controller(bool first_start);
    void unload();
    bool has_disk() const { return !controller_setup || !(controller_setup->diskless >> number & 1); }
    bool votes() const { return up && has_disk(); } /* whether its log is in use */
    int take(const struct frame *frame);
    void on_timer();
    const Durable &after_power_loss();
    uint64_t hash(int64_t clock) const;

  private:
    void copy_controller(const Node &other);
    void read_bootstrap_files();
    void learn_leader();
    void leave_on_timer();
    void defer_election();
    uint64_t controller_hash(int64_t clock) const;
};

/* One step of a run. kind: a letter of studies.cc; a, b, c: its arguments, in most cases a is the node. */
struct Choice {
    char kind;
    int a, b, c;
    std::string text() const;
};
/* The reverse of Choice::text(), for choices separated by spaces. */
std::vector<Choice> choices_of(const std::string &text);

/* A study: a cluster and the bounds of its exploration. voters: the first voters if the study has no controllers.
 * choice_limits: the kinds of choices and how often each is used at most ("T5 Z3 P2"; see studies.cc). setup: choices
 * that are made before the exploration starts ("*": deliver messages until none is in flight). */
struct Study {
    const char *name;
    int n_nodes, voters;
    int odd_choices; /* maximum of odd choices in CI (explorer.h) */
    const char *choice_limits, *setup;
    std::vector<int64_t> rates; /* of the clocks, in thousandths; empty: all equal */
    size_t op_bytes = 8; /* size of a proposed operation; above 64 KiB (IN_FLIGHT_BYTES_MAX) each entry is sent alone */
    ControllerSetup controller_setup = {};
    int64_t segment_bytes = 0; /* 0: the default of the log */
};

/* The state of a run and the history that the monitors check it against. */
class Cluster
{
  public:
    explicit Cluster(const Study &study);
    std::vector<Choice> choices() const; /* if a message can be delivered (D), that is the first */
    bool possible(const Choice &choice) const;
    void apply(const Choice &choice);
    uint64_t hash() const;
    std::string summary() const; /* of each node: role, term, commit/last; messages in flight */
    int oldest() const;          /* the message that is delivered next; -1: none */

    std::string violation;     /* the first violated invariant; empty: none */
    bool crash_unused = false; /* a node with crash_at_sync had its turn without a sync: explored already without it */

    /* callbacks of the nodes' environment */
    int64_t clock(const Node &node) const { return now_ * node.rate / 1000 + node.clock_offset; }
    uint64_t random() { return making_identity_ ? (uint64_t)++identities_made_ * 16000 : 0; }
    void on_send(Node &node, uint64_t to, const struct blob *frame);
    void on_proposed(int number, int64_t op, int error);
    void on_read(int number, int64_t must_see, int error);
    void on_applied(int number, int64_t index, int64_t op);
    void report_violation(const char *format, ...) __attribute__((format(printf, 2, 3)));

  private:
    struct Commit {
        int64_t term, committed_in; /* term of the entry, and term in which it was first committed */
        uint64_t hash;
        int64_t op; /* 0: the entry has no operation */
    };
    struct Vote {
        int64_t id, term, given_to;
    };
    struct SeenEntry {
        int64_t index, term;
        uint64_t hash;
    };

    const Node &node_at(int i) const { return *nodes_[(size_t)i]; }
    Node &mutable_node(int i);
    void load_logs();
    void start(Node &node, bool first_start);
    void crash(Node &node, Crash how);
    void end_turn(Node &node);
    void run_next_timer();
    void search_leader(Node &node);
    void deliver_all();
    void deliver_at_once();
    int next_turn() const; /* the node that acts next unless an odd choice is made */
    void step(const Choice &choice);
    void deliver(size_t at, bool keep);
    void change_members(Node &node, const Choice &choice);
    void wait(int64_t ms);
    void add_node_choices(const Node &node, std::vector<Choice> &to) const;
    void add_member_choices(const Node &node, std::vector<Choice> &to) const;
    bool may_choose(char kind) const; /* the limit of this kind is not used up */
    int number_of(int64_t id) const;  /* the node that has this identity now; -1: none */
    bool retired(int64_t id) const;

    void check(Node &node);
    void check_entries(const Node &node);
    void check_commits(const Node &node);
    void check_quorum(const Node &node, int64_t index, int64_t term);
    void check_leader(const Node &node);
    void check_leases();
    void check_log_frame(Node &node, const struct frame *frame);
    void check_controller_frame(Node &node, const struct frame *frame);
    void check_ballot_owner(const Node &node, int64_t ballot);
    void check_announced_list(const Node &node, const struct log_members &list);
    void record_round(Node &node);
    void check_vote_passed(const Node &node, int64_t id);
    void check_declared_lost(const Node &node, int64_t id);
    void check_membership(Node &node);
    void check_stop_permit(const Node &node, int64_t leaver);
    void check_acceptor(const Node &node);
    void check_controller(const Node &node);
    void record_vote(int64_t id, int64_t term, int64_t given_to);

    /* A list of first voters and the acceptors (a bit each) that accepted it under a ballot. */
    struct Accepted {
        int64_t ballot;
        uint64_t list;
        unsigned by;
    };
    /* A voter that was permitted to stop. */
    struct StopPermit {
        int64_t id, at_ms;
    };
    /* The seed that proposed under a ballot. */
    struct Proposed {
        int64_t ballot;
        int by;
    };
    /* The list that the voter with this identity was bootstrapped with. */
    struct Bootstrapped {
        int64_t id;
        uint64_t list;
    };

    const Study *study_;
    std::vector<std::shared_ptr<Node>> nodes_;
    std::vector<Message> messages_;
    std::vector<Commit> commits_; /* at [i]: the entry with index i + 1 */
    std::vector<Vote> votes_;
    std::vector<SeenEntry> entries_;
    std::vector<int64_t> retired_;
    std::vector<std::pair<int64_t, int64_t>> leaders_; /* term, id */
    std::vector<Accepted> accepted_;
    std::vector<Bootstrapped> bootstrapped_;
    std::vector<Proposed> proposed_;
    std::vector<StopPermit> stop_permits_;
    uint64_t announced_list_ = 0, chosen_list_ = 0; /* hashes; 0: none yet */
    int choices_used_[128] = {};
    int64_t now_ = 100000, ops_ = 0, acked_ = 0;
    int64_t chosen_ballot_ = 0;
    int identities_made_ = 0, timer_turn_ = -1; /* timer_turn_: the node whose timer ran last */
    bool making_identity_ = false;
    unsigned changed_nodes_ = ~0u; /* bit i: the newest step was one of node i, or time passed */
    unsigned partition_ = 0;       /* bit i: node i is on the other side of the partition */
};

extern Cluster *current; /* the cluster whose nodes run */
const struct world_calls *world_calls_of_model();
void log_duplicate(struct log *to, const struct log *from, struct world *w);
uint64_t list_hash(const struct log_members &list); /* 0: empty list */
uint64_t hash_bytes(const void *at, size_t len, uint64_t into);
uint64_t entry_hash(const struct log_entry *entry);
} // namespace model
#endif
