// A disk in memory. Everything written is durable, also without a sync and after the process that wrote it has ended.
#ifndef SAGEHITCH_TESTS_MEMORY_DISK_H
#define SAGEHITCH_TESTS_MEMORY_DISK_H
#include <map>
#include <string>

extern "C" {
#include "base/error.h"
#include "base/world.h"
}

namespace proc_rig
{

struct MemoryDisk {
    std::map<std::string, std::string> files;

    static MemoryDisk &(*&of())(struct world *)
    {
        static MemoryDisk &(*find)(struct world *) = nullptr;
        return find;
    }
    // Sets the disk functions of a table. find: returns the disk of a world.
    static void fill(struct world_calls *calls, MemoryDisk &(*find)(struct world *))
    {
        of() = find;
        calls->disk_list = [](struct world *w, void (*each)(void *, const char *), void *arg) -> int {
            auto names = of()(w).files; // each() may change the disk
            for (auto &[name, bytes] : names)
                each(arg, name.c_str());
            return ERROR_NONE;
        };
        calls->disk_read = [](struct world *w, const char *name, struct bytes *to) -> int {
            auto at = of()(w).files.find(name);
            if (at == of()(w).files.end())
                return ERROR_NOT_FOUND;
            bytes_add(to, at->second.data(), (int64_t)at->second.size());
            return ERROR_NONE;
        };
        calls->disk_add = [](struct world *w, const char *name, const void *at, int64_t len) -> int {
            of()(w).files[name].append((const char *)at, (size_t)len);
            return ERROR_NONE;
        };
        calls->disk_cut = [](struct world *w, const char *name, int64_t len) -> int {
            of()(w).files[name].resize((size_t)len);
            return ERROR_NONE;
        };
        calls->disk_sync = [](struct world *, const char *) -> int { return ERROR_NONE; };
        calls->disk_sync_names = [](struct world *) -> int { return ERROR_NONE; };
        calls->disk_rename = [](struct world *w, const char *from, const char *to) -> int {
            auto &files = of()(w).files;
            files[to] = files[from];
            files.erase(from);
            return ERROR_NONE;
        };
        calls->disk_remove = [](struct world *w, const char *name) -> int {
            of()(w).files.erase(name);
            return ERROR_NONE;
        };
    }
};

} // namespace proc_rig
#endif
