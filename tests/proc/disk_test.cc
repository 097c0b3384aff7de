// The disk of a process: a data folder that cannot be made when the process starts.
#include <gtest/gtest.h>

#include <cstdlib>
#include <string>

#include <limits.h>
#include <sys/stat.h>
#include <unistd.h>

extern "C" {
#include "base/error.h"
#include "proc/runtime.h"
}

namespace
{

// A new folder, removed at the end with what the tests make in it.
struct TemporaryFolder {
    std::string path;
    TemporaryFolder()
    {
        char name[] = "/tmp/sagehitch_disk.XXXXXX";
        path = mkdtemp(name);
    }
    ~TemporaryFolder()
    {
        unlink((path + "/parent/data/identity").c_str());
        rmdir((path + "/parent/data").c_str());
        rmdir((path + "/parent").c_str());
        rmdir(path.c_str());
    }
};

struct DiskRig {
    struct runtime runtime = {};
    struct world_calls calls = {};
    DiskRig()
    {
        disk_set_calls(&calls);
        runtime.base.calls = &calls;
    }
    struct world *world() { return &runtime.base; }
    static void ignore_name(void *, const char *) {}
};

} // namespace

// Guards against a process that ends, or that stays without its disk, because its data folder could not be made at its
// start.
TEST(Disk, FolderIsMadeOnceThatIsPossible)
{
    TemporaryFolder folder;
    DiskRig rig;
    EXPECT_EQ(disk_start(&rig.runtime, (folder.path + "/parent/data").c_str()), ERROR_DISK);
    EXPECT_EQ(rig.calls.disk_list(rig.world(), DiskRig::ignore_name, nullptr), ERROR_DISK);
    EXPECT_EQ(rig.calls.disk_add(rig.world(), "identity", "x", 1), ERROR_DISK);
    ASSERT_EQ(mkdir((folder.path + "/parent").c_str(), 0750), 0);
    EXPECT_EQ(rig.calls.disk_list(rig.world(), DiskRig::ignore_name, nullptr), ERROR_NONE);
    EXPECT_EQ(rig.calls.disk_add(rig.world(), "identity", "x", 1), ERROR_NONE);
    EXPECT_EQ(rig.calls.disk_sync(rig.world(), "identity"), ERROR_NONE);
    disk_end(&rig.runtime);
}

// Guards against a path that is cut off, which would be another file.
TEST(Disk, FilesOfAFolderWithALongPathKeepTheirNames)
{
    for (size_t len : {(size_t)1190, (size_t)1193, (size_t)1199, (size_t)4000}) {
        TemporaryFolder folder;
        DiskRig rig;
        ASSERT_EQ(disk_start(&rig.runtime, (folder.path + std::string(len - folder.path.size(), '/')).c_str()),
                  ERROR_NONE);
        EXPECT_EQ(rig.calls.disk_add(rig.world(), "identity", "x", 1), ERROR_NONE) << len;
        disk_end(&rig.runtime);
        EXPECT_EQ(unlink((folder.path + "/identity").c_str()), 0) << len;
    }
}
