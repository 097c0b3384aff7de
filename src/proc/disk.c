/* The disk: files in one flat directory, with append, truncate, atomic rename, and syncs of files and directory. */
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "base/error.h"
#include "proc/runtime.h"

/* Longer than PATH_MAX and a name: a path that does not fit is refused by the system, not cut off to another one. */
enum { PATH_BYTES = PATH_MAX + 128 };

static struct runtime *real_of(struct world *world) { return (struct runtime *)world; }

static const char *path_of(struct runtime *runtime, const char *name)
{
    static char paths[2][PATH_BYTES];
    static int turn;
    char *path = paths[turn++ & 1];
    snprintf(path, sizeof paths[0], "%s/%s", runtime->folder, name);
    return path;
}

static void close_file(struct runtime *runtime, const char *name)
{
    for (int i = 0; i < COUNT_OF(runtime->files); i++)
        if (!strcmp(runtime->files[i].name, name)) {
            close(runtime->files[i].fd);
            runtime->files[i].name[0] = 0;
        }
}

static int open_for_add(struct runtime *runtime, const char *name)
{
    for (int i = 0; i < COUNT_OF(runtime->files); i++)
        if (!strcmp(runtime->files[i].name, name))
            return runtime->files[i].fd;
    int fd = open(path_of(runtime, name), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0640);
    if (fd < 0)
        return -1;
    struct disk_file *file = &runtime->files[runtime->next_file++ % COUNT_OF(runtime->files)];
    if (*file->name)
        close(file->fd);
    snprintf(file->name, sizeof file->name, "%s", name);
    file->fd = fd;
    return fd;
}

/* Makes the folder if there is none. It may have been impossible when the process started. */
static enum sagehitch_error make_folder(const struct runtime *runtime)
{
    struct stat st;
    if (mkdir(runtime->folder, 0750) && errno != EEXIST)
        return ERROR_DISK;
    return stat(runtime->folder, &st) || !S_ISDIR(st.st_mode) ? ERROR_DISK : ERROR_NONE;
}

static enum sagehitch_error disk_list(struct world *world, void (*each)(void *arg, const char *name), void *arg)
{
    DIR *dir = make_folder(real_of(world)) ? NULL : opendir(real_of(world)->folder);
    struct dirent *entry;
    if (!dir)
        return ERROR_DISK;
    while ((entry = readdir(dir)))
        if (entry->d_name[0] != '.')
            each(arg, entry->d_name);
    closedir(dir);
    return ERROR_NONE;
}

static enum sagehitch_error disk_read(struct world *world, const char *name, struct bytes *to)
{
    char chunk[65536];
    int fd = open(path_of(real_of(world), name), O_RDONLY | O_CLOEXEC);
    if (fd < 0)
        return errno == ENOENT ? ERROR_NOT_FOUND : ERROR_DISK;
    ssize_t n;
    while ((n = read(fd, chunk, sizeof chunk)) > 0)
        bytes_add(to, chunk, n);
    close(fd);
    return n < 0 ? ERROR_DISK : ERROR_NONE;
}

static enum sagehitch_error disk_add(struct world *world, const char *name, const void *at, int64_t len)
{
    int fd = open_for_add(real_of(world), name);
    const char *from = at;
    if (fd < 0)
        return ERROR_DISK;
    while (len > 0) {
        ssize_t n = write(fd, from, (size_t)len);
        if (n < 0 && errno == EINTR)
            continue;
        if (n <= 0)
            return ERROR_DISK;
        from += n;
        len -= n;
    }
    return ERROR_NONE;
}

static enum sagehitch_error disk_cut(struct world *world, const char *name, int64_t len)
{
    return truncate(path_of(real_of(world), name), len) ? ERROR_DISK : ERROR_NONE;
}

static enum sagehitch_error disk_sync(struct world *world, const char *name)
{
    int fd = open_for_add(real_of(world), name);
    return fd < 0 || fdatasync(fd) ? ERROR_DISK : ERROR_NONE;
}

static enum sagehitch_error disk_sync_names(struct world *world)
{
    int fd = open(real_of(world)->folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    int rc = fd < 0 || fsync(fd) ? ERROR_DISK : ERROR_NONE;
    if (fd >= 0)
        close(fd);
    return rc;
}

static enum sagehitch_error disk_rename(struct world *world, const char *from, const char *to)
{
    close_file(real_of(world), from);
    close_file(real_of(world), to);
    return rename(path_of(real_of(world), from), path_of(real_of(world), to)) ? ERROR_DISK : ERROR_NONE;
}

static enum sagehitch_error disk_remove(struct world *world, const char *name)
{
    close_file(real_of(world), name);
    return unlink(path_of(real_of(world), name)) && errno != ENOENT ? ERROR_DISK : ERROR_NONE;
}

enum sagehitch_error disk_start(struct runtime *runtime, const char *folder)
{
    runtime->folder = must_dup(folder);
    return make_folder(runtime);
}

void disk_end(struct runtime *runtime)
{
    for (int i = 0; i < COUNT_OF(runtime->files); i++)
        if (*runtime->files[i].name)
            close(runtime->files[i].fd);
    free(runtime->folder);
}

void disk_set_calls(struct world_calls *calls) { WORLD_TAKE_DISK(calls); }
