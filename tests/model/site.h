/* The model's world: a few nodes that run the shipped log over clocks, a net and
 * disks that are plain data, so that a whole site is copied, hashed and compared.
 * A step is one Choice; after each step the monitors compare what all nodes hold,
 * say and answer with everything that was ever committed, voted and acknowledged. */
#ifndef SAGEHITCH_MODEL_SITE_H
#define SAGEHITCH_MODEL_SITE_H
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

constexpr int64_t ELECTION = 1000; /* ms of a node's own clock */
constexpr int NODES_MAX = 8;
constexpr int64_t TICK = 200; /* ms between two timers of a controller */
constexpr uint32_t CLUSTER = 7;
constexpr uint64_t ADDR = 0x1000, ADDR_STEP = 16; /* node i is at ADDR + i * ADDR_STEP */

/* How a process ends: killed (all that was written lasts), without power (only what was
 * synced lasts), torn (half of what was not synced, and all names). */
enum End { KILLED, POWER, TORN };

struct File {
    std::string data;
    size_t synced;
    uint64_t hash; /* of what was added, one after the other */
};
/* A name lasts for the file it stood for at the last sync of names. */
struct Disk {
    std::map<int, File> files;
    std::map<std::string, int> now, lasting;
    int made = 0;

    void after(End how);
    uint64_t hash() const;
};

struct Message {
    int from, to;
    bool held;    /* delayed: delivered only by its own choice, or never, which is a loss */
    bool at_once; /* no choice: it arrives as soon as it is sent */
    std::shared_ptr<const std::string> bytes;
    uint64_t hash;
};

/* Which frames of controllers are choices; the others arrive as soon as they are sent. MEMBERSHIP: all but COLLECT, and
 * who has no leader learns of it at its timer, in place of the directory's search. */
enum Focus { EACH_FRAME, BALLOTS, MEMBERSHIP };

/* The controllers of a study: how many nodes are seeds, the zone of each node (a letter each; those beyond stand in
 * zone "a"), and which nodes have no disk (a bit each). No seeds: the study drives the log alone. */
struct Fleet {
    int seeds = 0;
    const char *zones = "";
    unsigned diskless = 0;
    Focus focus = EACH_FRAME;
};

/* world is the first member: the log's pointer to its world is the node's. The log is that of the controller; in
 * studies of the log alone nothing else of the controller is used. Of a controller only dispatch, relay and the
 * search for the leader are left out: the directory learns from the log alone. */
struct Node {
    struct world world = {};
    int at = 0;
    bool up = false, dying = false;
    int armed = -1;            /* the process ends at its next sync: End, + 4 just behind it; -1: not */
    bool scratch = false;      /* only reads what a disk holds */
    int64_t segment_bytes = 0; /* of the study */
    int64_t id = 0, rate = 1000, jumped = 0, committed = 0;
    struct controller controller = {};
    struct log &log = controller.log;
    const Fleet *fleet = nullptr; /* of the study; null: a log alone */
    bool turn_open = false;       /* more events are taken before what was written is synced */
    bool frozen = false;          /* runs nothing; what is sent to it waits */
    int64_t timer_ran = 0, awake_since = 0;
    int64_t heard[NODES_MAX] = {}; /* when it last took a frame of each node */
    struct Lead {
        int64_t term, round, commit, former_commit; /* commit as this round, and the one before it, began */
    } lead = {};
    std::vector<std::pair<int64_t, int64_t>> rights; /* of each member by its identity, as of the newest turn */
    int64_t members_index = 0;                       /* of the entry that gave them */
    Disk disk;
    std::vector<int64_t> ops; /* the state machine: the ops applied, in order */

    struct Lasting { /* what it would read back if power failed now */
        bool known;
        int64_t term, vote, base;   /* base: index of its snapshot */
        std::vector<int64_t> terms; /* of the entries behind base */
        int64_t promised, accepted; /* ballots of the acceptor */
        uint64_t accepted_list, bootstrap_list;

        bool holds(int64_t index, int64_t term) const
        {
            auto k = (size_t)(index - base - 1);
            return index <= base || (k < terms.size() && terms[k] == term);
        }
    } lasting = {};

    Node();
    Node(const Node &other);
    ~Node();
    int load(); /* log_start and log_load from disk, as after a start */
    int load_controller(bool first_start);
    void unload();
    bool has_disk() const { return !fleet || !(fleet->diskless >> at & 1); }
    bool votes() const { return up && has_disk(); } /* its log is in use */
    int take(const struct frame *frame);
    void on_timer();
    const Lasting &after_power_loss();
    uint64_t hash(int64_t clock) const;

  private:
    void copy_controller(const Node &other);
    void read_bootstrap_files();
    void learn_leader();
    void leave_on_timer();
    void defer_election();
    uint64_t hash_controller(int64_t clock) const;
};

struct Choice {
    char kind;
    int a, b, c;
    std::string text() const;
};
std::vector<Choice> choices_of(const std::string &text);

/* One study: how many nodes, which choices the search has and how often at most
 * ("T5 Z3 P2"), and what is done before it begins ("*": deliver until all is quiet). */
struct Study {
    const char *name;
    int slots, voters;
    int odd; /* how many odd choices a run has in CI (explorer.h) */
    const char *menu, *prefix;
    std::vector<int64_t> rates; /* of the clocks, in thousandths; empty: all alike */
    size_t op_bytes = 8;        /* of what is proposed; beyond 64 KiB (COPY_WINDOW) each entry travels alone */
    Fleet fleet = {};
    int64_t segment_bytes = 0; /* a log's file is closed beyond so many; 0: as shipped */
};

class Site
{
  public:
    explicit Site(const Study &study);
    std::vector<Choice> choices() const; /* kind D, if there, is the first and costs nothing */
    bool possible(const Choice &choice) const;
    void apply(const Choice &choice);
    uint64_t hash() const;
    std::string line() const; /* of each node: role, term, commit/last; messages in flight */
    int oldest() const;       /* message delivered next; -1: all is quiet */

    std::string breach;     /* empty: none */
    bool pointless = false; /* a node that shall end at its next sync had its turn and did not sync: as if not asked */

    /* for the nodes' world */
    int64_t clock(const Node &node) const { return now_ * node.rate / 1000 + node.jumped; }
    uint64_t random() { return identifying_ ? (uint64_t)++fresh_ * 16000 : 0; }
    void sent(Node &node, uint64_t to, const struct blob *frame);
    void proposed(int node, int64_t op, int error);
    void read(int node, int64_t must_see, int error);
    void applied(int node, int64_t index, int64_t op);
    void say(const char *format, ...) __attribute__((format(printf, 2, 3)));

  private:
    struct Commit {
        int64_t term, under; /* of the entry, of who committed it first */
        uint64_t hash;
        int64_t op; /* 0: none */
    };
    struct Vote {
        int64_t id, term, given_to;
    };
    struct Seen {
        int64_t index, term;
        uint64_t hash;
    };

    const Node &node(int i) const { return *nodes_[(size_t)i]; }
    Node &own(int i);
    void load_logs();
    void start(Node &n, bool first_start);
    void end(Node &n, End how);
    void act(Node &n);
    void tick();
    void search_leader(Node &n);
    void deliver_all();
    void deliver_at_once();
    int next_turn() const; /* of which node, if nothing odd happens */
    void step(const Choice &choice);
    void deliver(size_t at, bool keep);
    void change(Node &n, const Choice &choice);
    void wait(int64_t ms);
    void add_node_choices(const Node &n, std::vector<Choice> &to) const;
    void add_member_choices(const Node &n, std::vector<Choice> &to) const;
    bool left(char kind) const;    /* may the search choose it once more? */
    int slot_of(int64_t id) const; /* that has this identity now; -1: none */
    bool retired(int64_t id) const;

    void check(Node &n);
    void check_entries(const Node &n);
    void check_commits(const Node &n);
    void check_quorum(const Node &n, int64_t index, int64_t term);
    void check_leader(const Node &n);
    void check_leases();
    void check_said(Node &n, const struct frame *frame);
    void check_controller_said(Node &n, const struct frame *frame);
    void check_ballot_owner(const Node &n, int64_t ballot);
    void check_list_told(const Node &n, const struct log_members &list);
    void note_round(Node &n);
    void check_vote_given(const Node &n, int64_t id);
    void check_taken_for_gone(const Node &n, int64_t id);
    void check_membership(Node &n);
    void check_may_end(const Node &n, int64_t leaver);
    void check_acceptor(const Node &n);
    void check_controller(const Node &n);
    void voted(int64_t id, int64_t term, int64_t given_to);

    /* A list that acceptors (a bit each) accepted under a ballot. */
    struct Accepted {
        int64_t ballot;
        uint64_t list;
        unsigned by;
    };
    /* A voter that was told that it may end. */
    struct ToldToEnd {
        int64_t id, at;
    };
    /* Which seed proposed under a ballot. */
    struct Proposed {
        int64_t ballot;
        int by;
    };
    /* The list that the voter of this identity took. */
    struct Taken {
        int64_t id;
        uint64_t list;
    };

    const Study *study_;
    std::vector<std::shared_ptr<Node>> nodes_;
    std::vector<Message> messages_;
    std::vector<Commit> commits_; /* of index i + 1 */
    std::vector<Vote> votes_;
    std::vector<Seen> entries_;
    std::vector<int64_t> retired_;
    std::vector<std::pair<int64_t, int64_t>> leaders_; /* term, id */
    std::vector<Accepted> accepted_;
    std::vector<Taken> taken_;
    std::vector<Proposed> proposed_;
    std::vector<ToldToEnd> told_to_end_;
    uint64_t told_list_ = 0, chosen_list_ = 0; /* 0: none yet */
    int used_[128] = {};
    int64_t now_ = 100000, ops_ = 0, acked_ = 0;
    int64_t chosen_ballot_ = 0;
    int fresh_ = 0, turn_ = -1; /* turn_: whose timer ran last in a tick */
    bool identifying_ = false;
    unsigned touched_ = ~0u; /* bit i: the newest step was one of node i, or time passed */
    unsigned sides_ = 0;     /* bit i: node i is on the other side of a split net */
};

extern Site *current; /* whose nodes run */
const struct world_calls *world_calls_of_model();
void log_duplicate(struct log *to, const struct log *from, struct world *w);
uint64_t list_hash(const struct log_members &list); /* 0: it is empty */
uint64_t hash_bytes(const void *at, size_t len, uint64_t into);
uint64_t entry_hash(const struct log_entry *entry);
} // namespace model
#endif
