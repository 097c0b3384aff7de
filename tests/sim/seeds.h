// The seeds of a scenario: 1 to N or FIRST to LAST from SAGEHITCH_SEEDS=N or FIRST-LAST, else 1 to fixed.
#pragma once
#include <cstdint>
#include <cstdlib>
#include <vector>

inline std::vector<uint64_t> seeds(int fixed = 3)
{
    uint64_t first = 1, last = (uint64_t)fixed;
    if (const char *wanted = getenv("SAGEHITCH_SEEDS")) {
        char *dash;
        first = strtoull(wanted, &dash, 10);
        last = *dash == '-' ? strtoull(dash + 1, nullptr, 10) : first;
        if (*dash != '-')
            first = 1;
    }
    std::vector<uint64_t> all;
    for (uint64_t s = first; s <= last; s++)
        all.push_back(s);
    return all;
}
