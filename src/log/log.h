/* A log replicated by the Raft algorithm: the voters elect one leader per term, the leader appends entries, and an
 * entry is committed once a majority of the voters has synced it to disk. Every member applies the committed entries to
 * its state machine in the same order. Extensions: pre-vote, leader lease, snapshots sent in chunks, and the exchange
 * of two voters by one entry.
 *
 * The module has no threads or timers of its own: the caller passes in frames (log_on_frame()) and timer ticks
 * (log_on_timer()), and calls log_flush() once per iteration of its event loop to sync the appended entries. All times
 * are monotonic time in ms, and indexes count entries from 1. Functions that return int return 0 or an enum
 * sagehitch_error, unless stated otherwise. Not thread-safe. */
#ifndef SAGEHITCH_LOG_H
#define SAGEHITCH_LOG_H
#include "base/frame.h"
#include "base/schema.h"
#include "base/world.h"

/* A candidate first asks for pre-votes, which change no state at the voters, and starts an election only once a
 * majority has granted them. */
enum log_role { LOG_FOLLOWER, LOG_PRE_CANDIDATE, LOG_CANDIDATE, LOG_LEADER };
/* ENTRY_NOOP: appended by each new leader, so that it has an entry of its own term to commit. ENTRY_OP: an operation
 * for the state machine. ENTRY_MEMBERS: the complete list of members that is in effect from this entry on. */
enum log_entry_kind { ENTRY_NOOP, ENTRY_OP, ENTRY_MEMBERS };
/* Number of heartbeat rounds whose sending time is kept, to compute the lease. */
enum { ROUNDS_KEPT = 64 };
/* Identifies one of several independent logs that the same processes replicate; part of each frame. */
enum log_group { GROUP_CONTROL = 0, GROUP_JOBS = 1, GROUP_COUNT = 2 };

/* One log entry. body is owned by the entry: the operation, or a packed struct log_members. */
struct log_entry {
    int64_t term, kind;
    struct bytes body;
};

/* What a member is. A MEMBERS entry that exchanges voters contains two sets: the voters after its commit (LOG_VOTER and
 * LOG_INCOMING_VOTER) and the voters before it (LOG_VOTER and LOG_OUTGOING_VOTER). Invariant: until that entry is known
 * to be committed, elections, commits, reads and leases need a majority of both sets. */
enum log_membership { LOG_LEARNER, LOG_VOTER, LOG_OUTGOING_VOTER, LOG_INCOMING_VOTER };

/* id: identity of the member's disk. addr: its address for frames. zone is owned. A learner receives entries but has
 * no vote. */
struct log_member {
    int64_t id, addr, voter; /* voter: enum log_membership */
    char *zone;
};
/* Whether the member is a voter once the newest change of members is committed. */
static inline int log_votes_after_change(const struct log_member *m)
{
    return m->voter == LOG_VOTER || m->voter == LOG_INCOMING_VOTER;
}

/* All members, voters and learners. Owns the array and the zones; freed with schema_free(). */
struct log_members {
    struct log_member *members;
    int64_t n;
};

/* Frames. Each begins with group, term, from and to, where from and to are member identities. log_schemas.c defines the
 * layout. */

/* FRAME_VOTE_REQUEST. last_index, last_term: the candidate's newest entry. pre: a request for a pre-vote; term is the
 * one that the candidate would start. transfer: the leader handed over to the candidate, so voters must not refuse
 * because the leader is still alive. */
struct log_vote_request {
    int64_t group, term, from, to, last_index, last_term, pre, transfer;
};
/* FRAME_VOTE. term: the requested term if a pre-vote is granted, otherwise the voter's own. */
struct log_vote {
    int64_t group, term, from, to, granted, pre;
};
/* FRAME_APPEND, also used as heartbeat. entries follow the entry (prev_index, prev_term); commit: the leader's commit
 * index; round: number of the newest heartbeat round. While the sender packs the frame, entries points into its log. */
struct log_append {
    int64_t group, term, from, to, prev_index, prev_term, commit, round;
    struct log_entry *entries;
    int64_t n;
};
/* FRAME_APPENDED, the reply to an append. ok: all entries up to match equal the leader's and are synced. Otherwise
 * match is a hint for the prev_index of the next attempt. round: copied from the append. sync_ms: duration of the
 * member's last sync. */
struct log_appended {
    int64_t group, term, from, to, ok, match, round, sync_ms;
    int64_t chunks; /* 1 if the member accepts snapshots in chunks; older versions send 0 */
};
/* FRAME_SNAPSHOT: a whole snapshot, sent only to members that run an older version. snapshot_term: term of the entry
 * at index. */
struct log_snapshot {
    int64_t group, term, from, to, index, snapshot_term, round;
    struct log_members members;
    struct bytes data;
};
/* FRAME_SNAPSHOT_CHUNK: a part of a snapshot file. Invariant: index, snapshot_term, total (bytes of the file) and sum
 * (crc_of() the whole file) identify the transfer; size is the length of data as sent. */
struct log_chunk {
    int64_t group, term, from, to, index, snapshot_term, round, offset, total, sum, size;
    struct bytes data;
};
/* FRAME_SNAPSHOT_CHUNK_ACK: the receiver has the first offset bytes of the file. */
struct log_chunk_ack {
    int64_t group, term, from, to, index, sum, round, offset;
};
/* FRAME_LEAD_NOW: the leader hands over leadership; the receiver starts an election at once, without pre-votes. */
struct log_lead_now {
    int64_t group, term, from, to;
};

/* Contents of a snapshot file, after a checksum of 4 bytes. data: the packed state machine after the entry (index,
 * term); members: as of that entry. Owns members and data. */
struct log_snapshot_file {
    int64_t index, term;
    struct log_members members;
    struct bytes data;
};
extern const struct schema log_snapshot_file_schema, log_entry_schema, log_member_schema, log_members_schema,
    log_vote_request_schema, log_vote_schema, log_append_schema, log_appended_schema, log_snapshot_schema,
    log_chunk_schema, log_chunk_ack_schema, log_lead_now_schema;

/* The state machine. apply is called once for each committed operation, in order, and appends the outcome to result,
 * which is NULL if no caller waits for it. snapshot appends the packed state to its buffer; restore replaces the state
 * by such bytes, and leaves it unchanged on an error. Arguments are borrowed for the call. */
struct log_machine {
    void *arg;
    void (*apply)(void *arg, int64_t index, const struct bytes *op, struct bytes *result);
    void (*snapshot)(void *arg, struct bytes *to);
    int (*restore)(void *arg, const struct bytes *from);
};

/* Completes log_propose() or log_read(). tag: as passed in; error: 0 or an enum sagehitch_error (ERROR_NOT_LEADER: the
 * outcome is unknown); result: borrowed, NULL on an error. */
typedef void log_done(void *arg, int64_t tag, int error, const struct bytes *result);

/* What the leader knows about a member, itself included.
 *
 * next: index of the entry to send next. match: the member has all entries up to this index. acked_round: newest
 * heartbeat round that it acknowledged. heard_ms: time of its last reply. sync_ms: duration of its last sync.
 * in_flight_base: index after which sending last restarted; the entries after max(in_flight_base, match) and before
 * next are in flight. match_round: round of the append whose reply set match. last_rewind_ms: when sending was last
 * restarted for lack of replies. chunks: as in struct log_appended. snapshot_sent_index: index of the snapshot that is
 * being sent to the member, 0: none. offset: how many bytes of that snapshot it has. chunk_ms: when the last chunk was
 * sent. */
struct log_peer {
    int64_t id, next, match, acked_round, heard_ms, sync_ms;
    int64_t in_flight_base, match_round, last_rewind_ms, chunks, snapshot_sent_index, offset, chunk_ms;
};
/* A snapshot file in transfer: on the leader the whole file, on the receiver the bytes received so far. index 0: none.
 * total, sum: as in struct log_chunk; from, from_term: the sending leader and its term. Owns data. */
struct log_transfer {
    int64_t index, term, total, sum, from, from_term;
    struct bytes data;
};
/* A call of log_propose() that waits until the entry (index, term) is applied. */
struct log_pending {
    int64_t index, term, tag;
    log_done *done;
    void *arg;
};
/* A call of log_read() that waits until a majority has acknowledged this heartbeat round or a later one. */
struct log_read {
    int64_t round, tag, since_ms;
    log_done *done;
    void *arg;
};
/* A segment file, which holds records of entries, votes and truncations. number: increases with each new file;
 * first_index: all its entries have at least this index; bytes: its length; synced: how many of these are on disk. */
struct log_segment {
    int64_t number, first_index, bytes, synced;
};

/* heartbeat_ms: interval of the leader's heartbeats. election_ms: a follower becomes a candidate if it receives no
 * heartbeat for a random time of election_ms to twice that. slow_sync_ms: a leader hands over after three successive
 * syncs that took this long or longer. segment_bytes: a segment file that is longer is closed. A snapshot is taken
 * after snapshot_every entries or snapshot_bytes of entries, whichever comes first. After it the newest keep_entries
 * entries stay in memory, limited to keep_bytes; for a lagging member more stay, limited to lagging_keep_bytes. */
struct log_settings {
    int64_t heartbeat_ms, election_ms, slow_sync_ms, snapshot_every, keep_entries, segment_bytes;
    int64_t snapshot_bytes, keep_bytes, lagging_keep_bytes;
};

/* Invariants: entries[k] has index first_index + k; applied <= commit <= last index; term never decreases, and a vote
 * is synced before it is sent; members is the list of the newest MEMBERS entry, committed or not.
 *
 * w: borrowed, outlives the log. vote: identity that this member voted for in term, 0: none. leader_id, leader_addr:
 * 0 if unknown. synced: index up to which entries are on disk. votes: identities that granted a vote or pre-vote in the
 * current candidacy. round: number of the newest heartbeat round. broken: the disk failed, and the member sends nothing
 * more under this identity. All other pointers are owned and freed by log_end(). */
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
    int64_t dropped_term; /* term of the entry before first_index, which is no longer in memory */
    struct log_transfer outgoing, incoming;
    struct log_members members, snapshot_members;
    int64_t members_index;
    int64_t commit, applied, synced;
    int64_t applied_bytes; /* size of the entries applied since the newest snapshot */
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
    int64_t last_sender_id, last_sender_addr; /* of the newest frame: an empty log knows no other address to reply to */
    int64_t last_sync_ms, slow_syncs, broken, syncs, leader_since_ms;
    int64_t round_sent_ms[ROUNDS_KEPT]; /* round r was sent at round_sent_ms[r % ROUNDS_KEPT] */
    int64_t previous_round_commit;      /* commit index when the round before the newest began */
    int64_t newest_round_commit;        /* commit index when the newest round began */
    int64_t handed_over_ms;             /* when this leader handed over in its term; 0: it has not */
    int64_t excluded_voter_id;          /* its acknowledgement does not count for commits; 0: all voters count */
    int64_t no_vote_before_ms; /* no vote before: a leader's lease may count on an acknowledgement before the restart */
};

/* log.c */

/* Initializes an empty follower in memory with default settings, which the caller may change before log_load(). */
void log_start(struct log *log, struct world *w, uint32_t cluster, int64_t group, int64_t id,
               const struct log_machine *machine);
/* Reads snapshot and segments, restores the state machine and opens a new segment. ERROR_DISK: the disk failed or its
 * data are damaged; the process must not send anything under this identity. */
int log_load(struct log *log);
/* Frees what the log owns. Callbacks of pending proposals and reads are not called. */
void log_end(struct log *log);
/* Sends heartbeats, starts elections, and steps down without a majority. To be called at least every few ms. */
void log_on_timer(struct log *log);
/* Sends new entries to the members, syncs them to the local disk, and commits what a majority has. */
void log_flush(struct log *log);
/* Handles one frame (frame_is_for_log()). ERROR_BAD_FRAME: it cannot be decoded; ERROR_DISK: the log is broken. */
int log_on_frame(struct log *log, const struct frame *frame);
/* As leader, appends an entry with a copy of op (NULL: empty). done, if not NULL, is called exactly once: with the
 * result once the entry is applied, or with an error, possibly during this call. */
void log_propose(struct log *log, int64_t kind, const struct bytes *op, log_done *done, void *arg, int64_t tag);
/* Linearizable read. done is called exactly once: with 0 once a majority has acknowledged this leader in a heartbeat
 * round begun after this call, by when all that was acknowledged before the call is applied; or with an error. */
void log_read(struct log *log, log_done *done, void *arg, int64_t tag);
/* Bootstraps an empty log: term 1, with members as entry 1, synced. All first voters must be given the same list. */
int log_bootstrap(struct log *log, const struct log_members *members);
/* Index of the newest entry, 0: none. */
int64_t log_last(const struct log *log);
/* Term of an entry; 0 for index 0; -1 if unknown because the entry was dropped after a snapshot or does not exist. */
int64_t log_term_at(const struct log *log, int64_t index);
/* Packs msg into a frame for the member to_id, or for the sender of the newest frame if that has this identity. */
void log_send(struct log *log, int64_t to_id, enum frame_kind kind, const struct schema *schema, const void *msg);
/* As leader, commits the entries that a quorum has; steps down if this member is no longer a voter. */
void log_advance(struct log *log);
/* As leader: the acknowledgements of the voter id no longer count for commits. 0: all voters count again. */
void log_exclude_from_commit(struct log *log, int64_t id);
/* Applies the committed entries, completes pending proposals, and saves a snapshot if enough entries were applied since
 * the last. */
void log_apply(struct log *log);

/* log_elect.c: elections */

/* Becomes a follower in term; a higher term is synced first. leader_id 0: the leader is unknown. */
void log_become_follower(struct log *log, int64_t term, int64_t leader_id);
/* Asks all voters for pre-votes (pre); or for votes in the next term, once that term and this member's own vote are
 * synced. transfer: see struct log_vote_request. */
void log_request_votes(struct log *log, int pre, int transfer);
/* Handlers of frames, called by log_on_frame(). */
void log_on_vote_request(struct log *log, const struct log_vote_request *request);
void log_on_vote(struct log *log, const struct log_vote *vote);
/* Picks the random time at which this member becomes a candidate unless it receives a heartbeat before. */
void log_election_reset(struct log *log);
/* As leader, asks the voter with the fastest disk that has all committed entries to take over leadership. Returns 0
 * once it is asked; this leader has no lease any more. ERROR_NOT_LEADER; ERROR_NO_OWNER: there is no such voter. */
int log_hand_over(struct log *log);

/* log_replication.c: replication */

/* Becomes leader of the current term after a won election, and appends an ENTRY_NOOP. */
void log_become_leader(struct log *log);
/* Sends each member the entries that it lacks. heartbeat: as a new heartbeat round, which is sent to all members. */
void log_replicate(struct log *log, int heartbeat);
/* Handlers of frames, called by log_on_frame(). */
void log_on_append(struct log *log, const struct log_append *append);
void log_on_appended(struct log *log, const struct log_appended *appended);
/* 1 if the member has all entries that were committed when the heartbeat round before the newest began. Used for
 * learners: under steady writes match always lags commit a little, so a comparison with commit would never hold. */
int log_caught_up(struct log *log, int64_t id);
/* Time in ms that the entries in flight to a member may take over the slowest link. */
int64_t log_transit_ms(const struct log *log, const struct log_peer *peer);
/* Completes the reads whose heartbeat round a quorum has acknowledged. */
void log_complete_reads(struct log *log);
/* 1 while this leader holds its lease: a quorum has acknowledged a heartbeat round that was sent less than 90 % of an
 * election time-out ago, so no other member can be leader yet. */
int log_has_lease(const struct log *log);

/* log_member.c: members and their changes. Pointers returned are valid until the next change of members. */

/* NULL: no member has this identity. */
const struct log_member *log_member(const struct log *log, int64_t id);
/* 1 if the member is a voter now; the outgoing voter of an exchange is one until the exchange is committed. */
int log_is_voter(const struct log *log, int64_t id);
/* Size of a majority of the voters after the newest change of members. */
int64_t log_majority(const struct log *log);
/* 1 if has(id, x) holds for a majority of the voters, and, while a change of members is uncommitted, also for a
 * majority of the former voters. */
int log_quorum(const struct log *log, int (*has)(const struct log *log, int64_t id, int64_t x), int64_t x);
/* Updates members and peers from the newest MEMBERS entry, or from the snapshot. Call after entries were changed. */
void log_members_refresh(struct log *log);
/* NULL: no such member. */
struct log_peer *log_peer(struct log *log, int64_t id);
/* The changes below append one MEMBERS entry as leader. ERROR_NOT_LEADER; ERROR_OVERLOAD: the previous change, or the
 * first entry of this term, is not committed yet: try again later. */

/* Removes the voter former_id, whose disk is permanently lost, and makes the learner new_id a voter. */
int log_replace(struct log *log, int64_t former_id, int64_t new_id);
/* Passes the vote of former_id, which may return, to the learner new_id. log_finish_exchange() completes the exchange.
 */
int log_exchange(struct log *log, int64_t former_id, int64_t new_id);
/* Removes the outgoing voter of a committed exchange. ERROR_NOT_FOUND: there is no exchange to complete. */
int log_finish_exchange(struct log *log);
/* Removes the member id (remove), or sets its kind (voter: enum log_membership), or adds it with a copy of zone. */
int log_change_member(struct log *log, int64_t id, int64_t addr, const char *zone, int voter, int remove);

/* log_transfer.c: sends snapshots in chunks, one in flight to each peer */

/* Sends the next chunk, unless one is in flight. heartbeat: also sends an empty append as heartbeat. */
void log_transfer_send(struct log *log, struct log_peer *peer, int heartbeat);
void log_transfer_free_unused(struct log *log); /* frees transfers that are no longer needed */
/* The index up to which entries may be dropped from memory: last_index, or less if a responsive member needs them. */
int64_t log_entries_droppable(const struct log *log, int64_t last_index);
/* Handlers of frames, called by log_on_frame(). */
void log_on_chunk(struct log *log, const struct log_chunk *chunk);
void log_on_chunk_ack(struct log *log, const struct log_chunk_ack *ack);
void log_on_snapshot(struct log *log, struct log_snapshot *snapshot); /* a whole one, from an older version */

/* log_store.c: segments. The store functions append records to the open segment, which are durable only after
 * log_store_sync(). A disk error sets broken, after which they do nothing. */

void log_store_entry(struct log *log, int64_t index, const struct log_entry *entry);
/* Records that the entries from from_index on are removed. */
void log_store_cut(struct log *log, int64_t from_index);
/* Records the current term and vote. */
void log_store_vote(struct log *log);
/* Syncs all records and sets synced to the last index; then opens a new segment if this one is too long. ERROR_DISK. */
int log_store_sync(struct log *log);
/* Reads all segments after the snapshot and truncates an incomplete record at the end. ERROR_DISK: synced records are
 * damaged, or the disk failed. */
int log_store_load(struct log *log);
/* Opens a new segment and syncs it and its file name. ERROR_DISK. */
int log_store_open(struct log *log);

/* log_snapshot.c: snapshots on disk. ERROR_DISK: the disk failed, or its data are damaged. */

/* Saves the applied state, then drops entries and segments that are no longer needed. */
int log_snapshot_save(struct log *log);
/* Restores the newest snapshot from disk, if there is one. */
int log_snapshot_load(struct log *log);
/* Reads the newest snapshot file from disk, checks it, and appends it to file. */
int log_snapshot_read(struct log *log, struct bytes *file);
/* Appends saved to file in the format on disk, with its checksum. */
void log_snapshot_pack(const struct log_snapshot_file *saved, struct bytes *file);
int log_snapshot_write(struct log *log, const struct bytes *file); /* durable on return 0, under snapshot_index */
/* The reverse of log_snapshot_pack(). On success the caller owns members and data. ERROR_BAD_FRAME: damaged. */
int log_snapshot_unpack(const struct bytes *file, struct log_snapshot_file *saved);
/* Replaces the state machine and all entries by a snapshot that the leader sent; durable on return 0. */
int log_snapshot_install(struct log *log, const struct log_snapshot_file *saved, const struct bytes *file);

/* log.c: the entries in memory; none of these functions writes to disk */

int64_t log_entry_bytes(const struct log_entry *entry); /* its size in memory */
/* The index up to which entries must be dropped so that the applied entries after it take at most bytes of memory. */
int64_t log_drop_index_for_bytes(const struct log *log, int64_t bytes);
/* Frees the entries up to and including last_index; the log then begins after it. */
void log_entries_drop(struct log *log, int64_t last_index);
/* Appends an entry with a copy of body (NULL: empty). */
void log_entry_add(struct log *log, int64_t term, int64_t kind, const struct bytes *body);
/* Frees the entries from from_index on. */
void log_entries_cut(struct log *log, int64_t from_index);
#endif
