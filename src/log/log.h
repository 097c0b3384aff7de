/* Replicated log after Raft: the voters elect one leader per term, the leader appends entries, and an entry is
 * committed once a majority of the voters has it synced to disk. Committed entries are applied to a state machine in
 * order, on every member alike. Extensions: pre-vote, leader lease, snapshots in chunks, and an exchange of two voters
 * in one entry.
 *
 * The module is a step function: the caller feeds frames (log_on_frame()) and ticks (log_on_timer()), and calls
 * log_flush() once per iteration of its event loop, which syncs what was appended. All times are steady time in ms, all
 * indexes count entries from 1. Functions that return int give 0 or an enum sagehitch_error, unless stated otherwise.
 * Not thread-safe. */
#ifndef SAGEHITCH_LOG_H
#define SAGEHITCH_LOG_H
#include "base/frame.h"
#include "base/schema.h"
#include "base/world.h"

/* Candidates ask for pre-votes first, which change nothing at the voters; only a majority of these starts an election.
 */
enum log_role { LOG_FOLLOWER, LOG_PRE_CANDIDATE, LOG_CANDIDATE, LOG_LEADER };
/* BLANK: appended by each new leader, so that it has an entry of its own term to commit. OP: for the state machine.
 * MEMBERS: the whole list of members from this entry on. */
enum log_entry_kind { ENTRY_NOOP, ENTRY_OP, ENTRY_MEMBERS };
/* Heartbeat rounds whose sending time is remembered, for the lease. */
enum { ROUNDS_KEPT = 64 };
/* Names one of several independent logs of the same processes; frames carry it. */
enum log_group { GROUP_CONTROL = 0, GROUP_JOBS = 1, GROUP_COUNT = 2 };

/* One entry. body is owned by the entry: the op, or a packed struct log_members. */
struct log_entry {
    int64_t term, kind;
    struct bytes body;
};

/* A change of voters in one entry names both: who votes from its commit on, and
 * who did until then. Invariant: while that entry is not known to be committed,
 * majorities of both are needed for everything. */
enum log_vote_right { LOG_LEARNER, LOG_VOTER, LOG_OUTGOING_VOTER, LOG_INCOMING_VOTER };

/* id: identity of the member's disk. addr: where it takes frames. zone is owned. A member with LOG_LEARNER is a
 * learner: it receives entries but has no vote. */
struct log_member {
    int64_t id, addr, voter; /* enum log_vote_right */
    char *zone;
};
/* Whether the member has a vote once the newest change of members is committed. */
static inline int log_votes_after_change(const struct log_member *m)
{
    return m->voter == LOG_VOTER || m->voter == LOG_INCOMING_VOTER;
}

/* All members, voters and learners. Owns the array and the zones; freed with schema_free(). */
struct log_members {
    struct log_member *members;
    int64_t n;
};

/* Frames. Each begins with group, term, from, to; from and to are identities. The layout is that of log_schemas.c. */

/* FRAME_VOTE_REQUEST. last_index, last_term: the candidate's newest entry. pre: a pre-vote, asked for with the term
 * that the candidate would take. transfer: the leader told it to lead, so voters don't refuse because they hear a
 * leader. */
struct log_vote_request {
    int64_t group, term, from, to, last_index, last_term, pre, transfer;
};
/* FRAME_VOTE. term: of a granted pre-vote the term asked for, else the voter's own. */
struct log_vote {
    int64_t group, term, from, to, granted, pre;
};
/* FRAME_APPEND, also the heartbeat. entries follow the entry (prev_index, prev_term); commit: the leader's commit
 * index; round: number of the newest round of heartbeats. entries points into the log of the sender while it is packed.
 */
struct log_append {
    int64_t group, term, from, to, prev_index, prev_term, commit, round;
    struct log_entry *entries;
    int64_t n;
};
/* FRAME_APPENDED. ok: all up to match is the same as the leader's, and synced. Not ok: match is a hint where to try
 * next. round: as in the append. sync_ms: how long the member's last sync took. */
struct log_appended {
    int64_t group, term, from, to, ok, match, round, sync_ms;
    int64_t chunks; /* takes snapshots in chunks; 0: of a former version */
};
/* FRAME_SNAPSHOT: a whole snapshot, to a member of a former version only. snapshot_term: term of the entry index. */
struct log_snapshot {
    int64_t group, term, from, to, index, snapshot_term, round;
    struct log_members members;
    struct bytes data;
};
/* FRAME_SNAPSHOT_CHUNK: a part of a snapshot's file. Invariant: index, snapshot_term, total (bytes) and sum (crc_of()
 * the whole file) name the transfer; size is data's length as sent. */
struct log_chunk {
    int64_t group, term, from, to, index, snapshot_term, round, offset, total, sum, size;
    struct bytes data;
};
/* FRAME_SNAPSHOT_GOT acknowledges a chunk: the receiver holds offset bytes from the start of the file. */
struct log_got {
    int64_t group, term, from, to, index, sum, round, offset;
};
/* FRAME_LEAD_NOW: the leader hands over; the receiver starts an election at once, without pre-votes. */
struct log_lead_now {
    int64_t group, term, from, to;
};

/* A snapshot's file: a checksum of 4 bytes, then this. data: the packed state machine after the entry (index, term);
 * members: as of that entry. Owns members and data. */
struct log_saved {
    int64_t index, term;
    struct log_members members;
    struct bytes data;
};
extern const struct schema log_saved_schema, log_entry_schema, log_member_schema, log_members_schema,
    log_vote_request_schema, log_vote_schema, log_append_schema, log_appended_schema, log_snapshot_schema,
    log_chunk_schema, log_got_schema, log_lead_now_schema;

/* The state machine. apply gets every committed op once, in order, and adds its outcome to result, which is NULL where
 * nobody waits for it. snapshot appends the packed state to its buffer; restore replaces the state by such bytes, and
 * on an error leaves it as it was. Arguments are borrowed for the call. */
struct log_machine {
    void *arg;
    void (*apply)(void *arg, int64_t index, const struct bytes *op, struct bytes *result);
    void (*snapshot)(void *arg, struct bytes *to);
    int (*restore)(void *arg, const struct bytes *from);
};

/* Ends log_propose() or log_read(): tag as given; error 0 or an enum sagehitch_error (ERROR_NOT_LEADER: the outcome is
 * not known); result borrowed, NULL with an error. */
typedef void log_done(void *arg, int64_t tag, int error, const struct bytes *result);

/* What the leader knows of a member, also of itself. next: index of the entry to send next; match: the member holds all
 * up to it; acked_round: newest round that it answered; heard_ms: when it last answered; sync_ms: its last sync took so
 * long; rewound_ms: when sending last began anew; chunks: as in struct log_appended. base: sent again from behind it,
 * so entries base+1 to next-1 are under way unless match is higher; match_round: of the append whose answer set match.
 * copying: index of the snapshot that is sent to it, 0: none; offset: bytes of it that it holds; chunk_ms: newest
 * chunk. */
struct log_peer {
    int64_t id, next, match, acked_round, heard_ms, sync_ms;
    int64_t in_flight_base, match_round, rewound_ms, chunks, snapshot_sent_index, offset, chunk_ms;
};
/* A snapshot's file on its way: as the leader sends it, or as far as it has come. index 0: none. total, sum: as in
 * struct log_chunk; from, from_term: the leader that sends it, and its term. Owns data. */
struct log_transfer {
    int64_t index, term, total, sum, from, from_term;
    struct bytes data;
};
/* A caller of log_propose() that waits until the entry (index, term) is applied. */
struct log_pending {
    int64_t index, term, tag;
    log_done *done;
    void *arg;
};
/* A caller of log_read() that waits until a majority answered this round of heartbeats, or a later one. */
struct log_read {
    int64_t round, tag, since_ms;
    log_done *done;
    void *arg;
};
/* A file with entries, votes and cuts. no: its number, rising; first_index: no entry in it is below; bytes: its length;
 * synced: of these surely on disk. */
struct log_segment {
    int64_t no, first_index, bytes, synced;
};

/* A leader sends heartbeats every heartbeat_ms. A follower that hears none for election_ms to twice that stands for
 * election. A sync of slow_sync_ms or more is slow: after three in a row a leader hands over. A segment is closed
 * beyond segment_bytes. A snapshot is due after snapshot_every entries or snapshot_bytes of them, whichever comes
 * first. Behind it stay keep_entries, but at most keep_bytes of them; for a member that is behind more, but at most
 * held_bytes. */
struct log_settings {
    int64_t heartbeat_ms, election_ms, slow_sync_ms, snapshot_every, keep_entries, segment_bytes;
    int64_t snapshot_bytes, keep_bytes, held_bytes;
};

/* Invariants: entries[k] has index first_index + k; commit <= last index;
 * applied <= commit; term never falls and a vote is synced before it is told;
 * members is the newest MEMBERS entry, committed or not. broken: the disk
 * failed us and nothing more is said under this identity.
 *
 * w: borrowed, outlives the log. vote: whom this member voted for in term, 0: nobody. leader_id, leader_addr: 0: not
 * known. synced: index up to which entries are on disk. votes: identities that granted a (pre-)vote in this candidacy.
 * round: newest round of heartbeats. Everything else that points to memory is owned and freed by log_end(). */
struct log {
    struct world *w;
    uint32_t cluster;
    int64_t group, id;
    const char *name;
    struct log_settings settings;
    struct log_machine machine;
    enum log_role role;
    int64_t term, vote, leader_id, leader_addr;
    struct log_entry *entries;
    int64_t n_entries, first_index;
    int64_t snapshot_index, snapshot_term;
    int64_t dropped_term; /* of the entry before first_index, which is not held */
    struct log_transfer outgoing, incoming;
    struct log_members members, snapshot_members;
    int64_t members_index;
    int64_t commit, applied, synced;
    int64_t applied_bytes; /* of the entries applied since the newest snapshot */
    struct log_peer *peers;
    int64_t n_peers;
    int64_t votes[16], n_votes;
    int64_t election_due_ms, heartbeat_due_ms, heard_leader_ms, round;
    struct log_pending *pending;
    int64_t n_pending;
    struct log_read *reads;
    int64_t n_reads;
    struct log_segment *segments;
    int64_t n_segments;
    int64_t from_id, from_addr; /* who spoke last: an empty keeper knows nobody else */
    int64_t last_sync_ms, slow_syncs, broken, syncs, leader_since_ms;
    int64_t round_sent_ms[ROUNDS_KEPT]; /* of round r at r % ROUNDS_KEPT */
    int64_t round_commit;               /* commit when the round before the newest began */
    int64_t beat_commit;                /* and when the newest did */
    int64_t handed_over_ms;             /* in this term we told another to lead; 0: not */
    int64_t discounted_id;              /* nothing is committed by its acknowledgement; 0: all voters count */
    int64_t no_vote_before_ms;          /* no vote before: what we promised a leader in our last life holds */
};

/* log.c */

/* Sets up an empty follower in memory, with default settings, which the caller may change before log_load(). */
void log_start(struct log *log, struct world *w, uint32_t cluster, int64_t group, int64_t id,
               const struct log_machine *machine);
/* Reads snapshot and segments, restores the state machine and opens a fresh segment. ERROR_DISK: the disk holds damage
 * or failed, and the process must not speak under this identity. */
int log_load(struct log *log);
/* Frees what the log owns, without calling back whoever waits. */
void log_end(struct log *log);
/* Heartbeats, elections, stepping down without a majority. To be called at least every few ms. */
void log_on_timer(struct log *log);
/* Sends new entries to the members, syncs them to the own disk, and commits what a majority has. */
void log_flush(struct log *log);
/* Takes one frame (frame_of_log()). ERROR_BAD_FRAME: not readable; ERROR_DISK: the log is broken. */
int log_on_frame(struct log *log, const struct frame *frame);
/* As leader, appends an entry with a copy of op (NULL: empty). done, if not NULL, is called exactly once: with the
 * result once the entry is applied, else with an error, then also during the call. */
void log_propose(struct log *log, int64_t kind, const struct bytes *op, log_done *done, void *arg, int64_t tag);
/* Linearizable read: done is called exactly once, with 0 after a majority confirmed in a round begun after this call
 * that this member still leads; all that was acknowledged before the call is applied by then. Else with an error. */
void log_read(struct log *log, log_done *done, void *arg, int64_t tag);
/* Founds an empty log: term 1, with members as entry 1, synced. All first voters must be given the same list. */
int log_bootstrap(struct log *log, const struct log_members *members);
/* Index of the newest entry, 0: none. */
int64_t log_last(const struct log *log);
/* Term of an entry; 0 for index 0, -1 where it is not known (dropped behind a snapshot, or beyond the last). */
int64_t log_term_at(const struct log *log, int64_t index);
/* Packs msg into a frame for the member to_id, or for whoever spoke last if it has that identity. */
void log_send(struct log *log, int64_t to_id, enum frame_kind kind, const struct schema *schema, const void *msg);
/* log_advance(): as leader, commits what a quorum holds; also steps down if it has left the voters. log_apply():
 * applies all that is committed, answers who waits for it, and saves a snapshot when one is due. */
void log_advance(struct log *log);
/* As leader: from now on nothing is committed by the acknowledgement of the voter id. 0: all count again. */
void log_exclude_from_commit(struct log *log, int64_t id);
void log_apply(struct log *log);

/* log_elect.c: elections */

/* Becomes a follower in term, which is synced first if it is higher. leader_id 0: the leader is not known. */
void log_become_follower(struct log *log, int64_t term, int64_t leader_id);
/* Asks all voters for pre-votes (pre), or for votes in the next term, after that term and the own vote are synced. */
void log_request_votes(struct log *log, int pre, int transfer);
void log_on_vote_request(struct log *log, const struct log_vote_request *request);
void log_on_vote(struct log *log, const struct log_vote *vote);
/* Draws the next time at which this member stands for election if it hears no leader. */
void log_election_reset(struct log *log);
/* As leader, tells a voter that holds all that is committed to lead, the one with the fastest disk. 0: it was told;
 * from then on the lease is void. ERROR_NOT_LEADER; ERROR_NO_OWNER: there is no such voter. */
int log_hand_over(struct log *log);

/* log_copy.c: replication */

/* Becomes leader of the current term, after a won election, and appends a blank entry. */
void log_lead(struct log *log);
/* Sends each member the entries that it lacks; beat: as a new round of heartbeats, which is sent to all. */
void log_copy_all(struct log *log, int beat);
void log_on_append(struct log *log, const struct log_append *append);
void log_on_appended(struct log *log, const struct log_appended *appended);
/* 1 if the member holds all that was committed as the round before the newest began. For learners: under steady writes
 * match is always a little behind commit, so a strict comparison would never hold. */
int log_caught_up(struct log *log, int64_t id);
/* How long, in ms, the entries that are under way to a member may take over the slowest link. */
int64_t log_transit_ms(const struct log *log, const struct log_peer *peer);
void log_reads_done(struct log *log);
/* log_has_lease(): 1 while this leader holds its lease: a quorum answered a round sent less than 90 % of an election
 * time-out ago, so nobody else can lead yet. log_reads_done(): calls back the reads whose round a quorum has answered.
 */
int log_has_lease(const struct log *log);

/* log_member.c: members and their changes. Pointers returned are valid until the next change of members. */

/* NULL: no member has this identity. */
const struct log_member *log_member(const struct log *log, int64_t id);
/* 1 if the member votes now; during an exchange the former voter still does. */
int log_is_voter(const struct log *log, int64_t id);
/* How many of the voters that are to be are a majority. */
int64_t log_majority(const struct log *log);
/* 1 if has(id, x) holds for a majority of the voters; while a change is uncommitted, for one of the former voters too.
 */
int log_quorum(const struct log *log, int (*has)(const struct log *log, int64_t id, int64_t x), int64_t x);
/* Takes members and peers from the newest MEMBERS entry, or from the snapshot. To be called when entries changed. */
void log_members_refresh(struct log *log);
/* NULL: no such member. */
struct log_peer *log_peer(struct log *log, int64_t id);
/* The changes below append one MEMBERS entry as leader. ERROR_NOT_LEADER; ERROR_OVERLOAD: the change before it, or an
 * entry of this term, is not committed yet: try again. */

/* Drops the voter gone_id, whose disk is lost for good, and gives the learner fresh_id a vote. */
int log_replace(struct log *log, int64_t gone_id, int64_t fresh_id);
/* Passes the vote of gone_id, which may come back, to the learner fresh_id; log_finish_exchange() ends the exchange. */
int log_exchange(struct log *log, int64_t gone_id, int64_t fresh_id);
/* Drops the former voter of a committed exchange. ERROR_NO_SUCH: there is none. */
int log_finish_exchange(struct log *log);
/* Removes the member id (gone), sets its right (voter: enum log_vote_right), or adds it with a copy of zone. */
int log_change_member(struct log *log, int64_t id, int64_t addr, const char *zone, int voter, int gone);

/* log_transfer.c: a snapshot goes out in chunks, one under way to a peer */

/* Sends the next chunk, unless one is under way; beat: an empty append as heartbeat with it. */
void log_transfer_send(struct log *log, struct log_peer *peer, int beat);
void log_transfer_tidy(struct log *log); /* frees what is no longer sent or received */
/* Up to which index entries may be dropped from memory, at most upto: less while a member that was heard needs them. */
int64_t log_entries_wanted(const struct log *log, int64_t upto);
void log_on_chunk(struct log *log, const struct log_chunk *chunk);
void log_on_got(struct log *log, const struct log_got *got);
void log_on_snapshot(struct log *log, struct log_snapshot *snapshot); /* whole, of a former version */

/* log_store.c: segments. The store functions append records to the open segment; none lasts before log_store_sync(). A
 * disk error sets broken, after which they do nothing. */

void log_store_entry(struct log *log, int64_t index, const struct log_entry *entry);
/* Entries from from_index on are void. */
void log_store_cut(struct log *log, int64_t from_index);
/* Current term and vote. */
void log_store_vote(struct log *log);
/* On return 0 all records last, and synced is the last index. Closes a segment that is over its size. ERROR_DISK. */
int log_store_sync(struct log *log);
/* Reads all segments behind the snapshot; cuts off an unfinished record at the end. ERROR_DISK: synced records are
 * damaged, or the disk failed. */
int log_store_load(struct log *log);
/* Opens a fresh segment, synced with its name. ERROR_DISK. */
int log_store_open(struct log *log);

/* log_snapshot.c: snapshots on disk. ERROR_DISK: the disk failed, or holds damage. */

/* Saves the state machine as applied, then drops entries and segments that are not needed any more. */
int log_snapshot_save(struct log *log);
/* Restores the newest snapshot from disk, if there is one. */
int log_snapshot_load(struct log *log);
/* Appends the newest snapshot's file, as on disk and checked, to file. */
int log_snapshot_read(struct log *log, struct bytes *file);
/* Appends saved to file as it stands on disk, with its checksum. */
void log_snapshot_pack(const struct log_saved *saved, struct bytes *file);
int log_snapshot_write(struct log *log, const struct bytes *file); /* lasts on return 0, under snapshot_index */
/* The reverse of log_snapshot_pack(). members and data belong to the caller on success; ERROR_BAD_FRAME: not whole. */
int log_snapshot_open(const struct bytes *file, struct log_saved *saved);
/* Replaces the state machine, and entries that differ, by a snapshot that the leader sent; lasts on return 0. */
int log_snapshot_take(struct log *log, const struct log_saved *saved, const struct bytes *file);

/* log.c: the entries in memory; none of these writes to disk */

int64_t log_entry_bytes(const struct log_entry *entry); /* that it takes in memory */
/* The last applied entry behind which those applied take at most so many bytes. */
int64_t log_entries_beyond(const struct log *log, int64_t bytes);
/* Frees the entries up to and with upto; the log begins behind it. */
void log_entries_drop(struct log *log, int64_t upto);
/* Appends an entry with a copy of body (NULL: empty). */
void log_entry_add(struct log *log, int64_t term, int64_t kind, const struct bytes *body);
/* Frees the entries from from_index on. */
void log_entries_cut(struct log *log, int64_t from_index);
#endif
