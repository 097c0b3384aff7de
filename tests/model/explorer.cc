#include "explorer.h"

#include <chrono>
#include <unordered_map>

namespace model
{
namespace
{

bool is_regular(const Choice &choice) { return choice.kind == 'D' || choice.kind == 'S' || choice.kind == 'W'; }

struct Search {
    const Study &study;
    const Bounds &bounds;
    SearchResult &result;
    std::chrono::steady_clock::time_point started;
    int deepest_allowed;
    std::unordered_map<uint64_t, int> seen; /* state -> most odd choices that remained there */
    std::vector<Choice> path;

    double seconds() const { return std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count(); }

    bool limit_reached()
    {
        if ((int64_t)seen.size() < bounds.states && (!bounds.seconds || seconds() < bounds.seconds))
            return false;
        result.exhaustive = false;
        return true;
    }

    bool visit(const Cluster &cluster, int odd_choices)
    {
        if ((int)path.size() >= bounds.depth)
            return false;
        for (const Choice &choice : cluster.choices()) {
            int left = odd_choices - !is_regular(choice);
            if (left < 0)
                continue;
            if (limit_reached())
                return false;
            Cluster next = cluster;
            next.apply(choice);
            result.steps++;
            path.push_back(choice);
            result.depth = std::max(result.depth, (int)path.size());
            if (!next.violation.empty()) {
                result.violation = next.violation;
                return true;
            }
            auto at = seen.emplace(next.hash(), left);
            if (!next.crash_unused && (at.second || at.first->second < left)) {
                at.first->second = left;
                if (visit(next, left))
                    return true;
            }
            path.pop_back();
        }
        return false;
    }
};

std::string format_path(const std::vector<Choice> &path)
{
    std::string text;
    for (const Choice &c : path)
        text += (text.empty() ? "" : " ") + c.text();
    return text;
}

/* Makes the choices up to the first violation, which it returns; skips impossible choices. */
std::string run_path(const Study &study, const std::vector<Choice> &path, std::vector<Choice> *done)
{
    Cluster cluster(study);
    for (const Choice &c : path) {
        if (!cluster.possible(c))
            continue;
        cluster.apply(c);
        if (done)
            done->push_back(c);
        if (!cluster.violation.empty())
            break;
    }
    return cluster.violation;
}

/* Removes the choices that the violation does not need. */
void shorten(const Study &study, std::vector<Choice> &path, const std::string &violation)
{
    for (bool changed = true; changed;) {
        changed = false;
        for (size_t i = 0; i < path.size(); i++) {
            std::vector<Choice> fewer = path, done;
            fewer.erase(fewer.begin() + (long)i);
            if (run_path(study, fewer, &done) == violation && done.size() < path.size()) {
                path = done;
                changed = true;
            }
        }
    }
}
} // namespace

SearchResult explore(const Study &study, const Bounds &bounds)
{
    SearchResult result;
    Search search = {study, bounds, result, std::chrono::steady_clock::now(), 0, {}, {}};
    Cluster first(study);
    result.violation = first.violation;
    for (int odd_choices = 1; odd_choices <= bounds.odd_choices && result.violation.empty() && result.exhaustive;
         odd_choices++) {
        search.seen.clear();
        search.visit(first, odd_choices);
        result.states = (int64_t)search.seen.size();
        if (result.exhaustive && result.violation.empty())
            result.odd_choices = odd_choices;
    }
    result.seconds = search.seconds();
    if (!result.violation.empty()) {
        shorten(study, search.path, result.violation);
        result.trace = format_path(search.path);
    }
    return result;
}

std::string replay(const Study &study, const std::string &trace)
{
    Cluster cluster(study);
    printf("%-8s %s\n", "", cluster.summary().c_str());
    for (const Choice &c : choices_of(trace)) {
        if (!cluster.violation.empty())
            break;
        if (c.kind != '*' && !cluster.possible(c))
            return "no choice " + c.text();
        for (int i = 0; c.kind == '*' && cluster.oldest() >= 0 && i < 200; i++)
            cluster.apply({'D', 0, 0, 0});
        if (c.kind != '*')
            cluster.apply(c);
        printf("%-8s %s\n", c.text().c_str(), cluster.summary().c_str());
    }
    return cluster.violation;
}

const Study *study_named(const std::string &name)
{
    for (const Study &s : studies())
        if (s.name == name)
            return &s;
    return nullptr;
}
} // namespace model
