// A node that follows the control log: updates from the keepers.
#include <gtest/gtest.h>

extern "C" {
#include "base/error.h"
#include "node/node.h"
}

namespace
{

const int64_t KEEPER = 5, SENT_MS = 700;

struct FollowRig : world {
    struct world_calls table = {};
    struct node node = {};
    static int64_t mono(struct world *) { return 1000; }
    static void ignore_note(struct world *, int, const char *) {}
    FollowRig() : world()
    {
        table.mono_ms = mono;
        table.note = ignore_note;
        this->calls = &table;
        node.w = this;
        node.updates_request_to = KEEPER;
        node.updates_request_sent_ms = SENT_MS;
    }
    ~FollowRig() { config_tree_end(&node.config_tree); }
};

} // namespace

// Guards against entries that are never applied: after a snapshot that could not be read, the node counted the entries
// after it as applied, and opened admission under an older configuration.
TEST(Follow, DamagedSnapshotIsRequestedAgain)
{
    FollowRig rig;
    struct control_updates updates = {};
    updates.ok = 1;
    updates.sent_ms = SENT_MS;
    updates.snapshot_index = 10;
    updates.last_index = updates.commit = 12;
    bytes_add(&updates.snapshot, "damaged", 7);
    follow_on_updates(&rig.node, KEEPER, &updates);
    bytes_free(&updates.snapshot);
    EXPECT_EQ(rig.node.applied_index, 0);
    EXPECT_EQ(rig.node.confirmed_ms, 0);
    EXPECT_EQ(rig.node.updates_request_to, 0) << "the next request may be sent";
}
