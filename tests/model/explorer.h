/* Depth-first exploration of all sequences of choices with a limited number of odd choices. Regular choices are to
 * deliver the oldest message, to start a stopped node and to run the next timer; all others are odd. Each round allows
 * one odd choice more, and states that were visited before are not explored again. */
#ifndef SAGEHITCH_MODEL_EXPLORER_H
#define SAGEHITCH_MODEL_EXPLORER_H
#include "model_cluster.h"

namespace model
{

struct Bounds {
    int odd_choices, depth;
    int64_t states;
    double seconds; /* 0: unbounded */
};

struct SearchResult {
    int64_t states = 0, steps = 0;  /* of the last round; of all rounds */
    int depth = 0, odd_choices = 0; /* the longest path; odd choices of the last complete round */
    bool exhaustive = true;         /* not cut short by the bounds on states and seconds */
    double seconds = 0;
    std::string violation, trace;
};

SearchResult explore(const Study &study, const Bounds &bounds);
std::string replay(const Study &study, const std::string &trace); /* returns the violation, or "" */
const Study *study_named(const std::string &name);
const std::vector<Study> &studies();
} // namespace model
#endif
