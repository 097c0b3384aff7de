// Two logs with disks in memory and a network that the test drives: a leader, and a member that needs a snapshot.
#ifndef SAGEHITCH_TESTS_LOG_PAIR_H
#define SAGEHITCH_TESTS_LOG_PAIR_H
#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "base/error.h"
#include "base/events.h"
#include "log/log.h"
}

namespace log_pair
{

const int64_t LEADER = 1, MEMBER = 2, CHUNK = 32 << 10;

// A log whose state is a text, with its files in memory and a queue of sent frames.
struct Node : world {
    struct world_calls table = {};
    int64_t now = 1000;
    struct log log = {};
    std::string state;
    bool refuse_restore = false;
    std::map<std::string, std::string> files;
    std::deque<std::string> sent;
    std::map<int, int> events;

    static Node *of(struct world *w) { return static_cast<Node *>(w); }
    static int64_t mono(struct world *w) { return of(w)->now; }
    static uint64_t random(struct world *) { return 4; }
    static void note(struct world *w, int event, const char *) { of(w)->events[event]++; }
    static void send(struct world *w, uint64_t, struct blob *frame, int)
    {
        of(w)->sent.emplace_back((const char *)frame->bytes.at, (size_t)frame->bytes.len);
    }
    static int list(struct world *w, void (*each)(void *, const char *), void *arg)
    {
        std::vector<std::string> names;
        for (auto &file : of(w)->files)
            names.push_back(file.first);
        for (auto &name : names)
            each(arg, name.c_str());
        return 0;
    }
    static int read(struct world *w, const char *name, struct bytes *to)
    {
        if (!of(w)->files.count(name))
            return ERROR_NOT_FOUND;
        const std::string &file = of(w)->files[name];
        bytes_add(to, file.data(), (int64_t)file.size());
        return 0;
    }
    static int add(struct world *w, const char *name, const void *at, int64_t len)
    {
        of(w)->files[name].append((const char *)at, (size_t)len);
        return 0;
    }
    static int cut(struct world *w, const char *name, int64_t len)
    {
        of(w)->files[name].resize((size_t)len);
        return 0;
    }
    static int sync(struct world *, const char *) { return 0; }
    static int sync_names(struct world *) { return 0; }
    static int rename(struct world *w, const char *from, const char *to)
    {
        of(w)->files[to] = of(w)->files[from];
        of(w)->files.erase(from);
        return 0;
    }
    static int remove(struct world *w, const char *name)
    {
        of(w)->files.erase(name);
        return 0;
    }
    static void apply(void *arg, int64_t, const struct bytes *op, struct bytes *)
    {
        ((Node *)arg)->state.append((const char *)op->at, (size_t)op->len);
    }
    static void pack(void *arg, struct bytes *to)
    {
        bytes_add(to, ((Node *)arg)->state.data(), (int64_t)((Node *)arg)->state.size());
    }
    static int restore(void *arg, const struct bytes *from)
    {
        if (((Node *)arg)->refuse_restore)
            return ERROR_BAD_FRAME;
        ((Node *)arg)->state.assign((const char *)from->at, (size_t)from->len);
        return 0;
    }

    explicit Node(int64_t id)
    {
        table.mono_ms = mono, table.random = random, table.note = note, table.send = send;
        table.disk_list = list, table.disk_read = read, table.disk_add = add, table.disk_cut = cut;
        table.disk_sync = sync, table.disk_sync_names = sync_names, table.disk_rename = rename;
        table.disk_remove = remove;
        calls = &table;
        self = (uint64_t)id << 16 | 7000;
        const struct log_machine machine = {this, apply, pack, restore};
        log_start(&log, this, 9, GROUP_JOBS, id, &machine);
        log.settings.keep_entries = 0;
        EXPECT_EQ(log_load(&log), 0);
    }
    ~Node() { log_end(&log); }
    int take(const std::string &frame)
    {
        struct frame f;
        EXPECT_EQ(frame_parse(&f, (const uint8_t *)frame.data(), (int64_t)frame.size(), 9), 0);
        return log_on_frame(&log, &f);
    }
    std::string pop_sent()
    {
        std::string frame = sent.front();
        sent.pop_front();
        return frame;
    }
};

inline struct log_member member_of(int64_t id) { return {id, id << 16 | 7000, LOG_VOTER, must_dup("z")}; }

// A leader that has all its entries in a snapshot of the given size, and an empty member.
struct Pair {
    Node leader{LEADER}, member{MEMBER};
    explicit Pair(size_t bytes)
    {
        struct log_members members = {};
        members.members = (struct log_member *)must_alloc(sizeof *members.members);
        members.members[members.n++] = member_of(LEADER);
        EXPECT_EQ(log_bootstrap(&leader.log, &members), 0);
        leader.log.term = 2;
        log_become_leader(&leader.log);
        log_flush(&leader.log);
        std::mt19937 random(7);
        for (size_t i = 0; i < bytes; i++)
            leader.state.push_back((char)random());
        EXPECT_EQ(log_change_member(&leader.log, MEMBER, MEMBER << 16 | 7000, "z", LOG_LEARNER, 0), 0);
        log_flush(&leader.log);
        EXPECT_EQ(log_snapshot_save(&leader.log), 0);
        schema_free(&log_members_schema, &members);
        leader.sent.clear();
    }
    // runs both for ms and delivers all frames
    void run(int ms)
    {
        for (int i = 0; i < ms; i += 20) {
            leader.now += 20, member.now += 20;
            log_on_timer(&leader.log);
            log_flush(&leader.log);
            while (!leader.sent.empty() || !member.sent.empty()) {
                while (!leader.sent.empty())
                    member.take(leader.pop_sent());
                while (!member.sent.empty())
                    leader.take(member.pop_sent());
            }
        }
    }
    // delivers a whole snapshot and returns its chunks as they were sent
    std::vector<std::string> chunks()
    {
        std::vector<std::string> all;
        for (int i = 0; i < 400 && member.log.commit == 0; i++) {
            leader.now += 20, member.now += 20;
            log_on_timer(&leader.log);
            while (!leader.sent.empty() || !member.sent.empty()) {
                while (!leader.sent.empty()) {
                    if (leader.sent.front()[3] == FRAME_SNAPSHOT_CHUNK)
                        all.push_back(leader.sent.front());
                    member.take(leader.pop_sent());
                }
                while (!member.sent.empty())
                    leader.take(member.pop_sent());
            }
        }
        return all;
    }
};

inline struct log_chunk unpack_chunk(const std::string &frame)
{
    struct frame f;
    struct log_chunk chunk = {};
    EXPECT_EQ(frame_parse(&f, (const uint8_t *)frame.data(), (int64_t)frame.size(), 9), 0);
    EXPECT_EQ(schema_unpack(&log_chunk_schema, &chunk, f.body, f.len), 0);
    return chunk;
}

inline std::string pack_chunk(const struct log_chunk &chunk)
{
    struct bytes out = {};
    frame_build(&out, FRAME_SNAPSHOT_CHUNK, 9, (uint64_t)LEADER << 16 | 7000, &log_chunk_schema, &chunk);
    std::string frame((const char *)out.at, (size_t)out.len);
    bytes_free(&out);
    return frame;
}

} // namespace log_pair
#endif
