// The violations and the trace of a simulated cluster, as text for failed expectations.
#pragma once
#include <cstdlib>
#include <string>

extern "C" {
#include "sim/cluster.h"
}

inline std::string trace_of(struct cluster *cluster)
{
    char *text = cluster_trace_text(cluster);
    std::string all = text;
    free(text);
    return all;
}
