// What was sent, answered and run, as clients and executors saw it: written to record.txt, and kept for the judgement.
#ifndef SAGEHITCH_REVIEW_2_RECORD_H
#define SAGEHITCH_REVIEW_2_RECORD_H
#include <cstdarg>
#include <cstdio>
#include <mutex>
#include <string>
#include <vector>

#include "http.h"

namespace review
{

// A run of a task at an executor. ended_ms 0: it is present.
struct RunSeen {
    std::string executor, task, how;
    int64_t attempt, started_ms, ended_ms;
    std::string job() const { return task.substr(0, task.find('.')); }
};

class Record
{
    FILE *file;
    std::mutex mutex;
    int64_t begun_ms = now_ms();
    std::vector<RunSeen> seen;

    void line(const char *format, va_list arguments)
    {
        fprintf(file, "%8.3f ", (double)(now_ms() - begun_ms) / 1000);
        vfprintf(file, format, arguments);
        fputc('\n', file);
        fflush(file);
    }

  public:
    explicit Record(const char *path) : file(fopen(path, "w")) {}
    bool open() const { return file != nullptr; }
    int64_t begun() const { return begun_ms; }
    __attribute__((format(printf, 2, 3))) void note(const char *format, ...)
    {
        std::lock_guard<std::mutex> lock(mutex);
        va_list arguments;
        va_start(arguments, format);
        line(format, arguments);
        va_end(arguments);
    }
    void run_started(const std::string &executor, const std::string &task, int64_t attempt, const std::string &spec)
    {
        note("%s begins %s attempt %lld spec \"%s\"", executor.c_str(), task.c_str(), (long long)attempt, spec.c_str());
        std::lock_guard<std::mutex> lock(mutex);
        seen.push_back({executor, task, "", attempt, now_ms(), 0});
    }
    void run_ended(const std::string &executor, const std::string &task, int64_t attempt, const char *how)
    {
        note("%s ends %s attempt %lld %s", executor.c_str(), task.c_str(), (long long)attempt, how);
        std::lock_guard<std::mutex> lock(mutex);
        for (RunSeen &run : seen)
            if (!run.ended_ms && run.executor == executor && run.task == task && run.attempt == attempt) {
                run.ended_ms = now_ms();
                run.how = how;
            }
    }
    std::vector<RunSeen> runs()
    {
        std::lock_guard<std::mutex> lock(mutex);
        return seen;
    }
};

} // namespace review
#endif
