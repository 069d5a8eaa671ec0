// Shows that a property check can fail: with a mechanism switched off, some
// history must violate an invariant.

#ifndef PROP_FINDS_H
#define PROP_FINDS_H

#include <cstdint>
#include <cstdio>
#include <string>

// Runs histories of seeds 1 to `seeds` until one violates an invariant; true
// if one did.  `run` takes a seed and returns the violation, or "".
template <typename Run>
bool
prop_finds(int weakness, uint64_t seeds, Run run)
{
    for (uint64_t seed = 1; seed <= seeds; seed++) {
        std::string violation = run(seed);
        if (!violation.empty()) {
            std::printf("weakness %d: seed %llu: %s\n", weakness,
                        (unsigned long long)seed, violation.c_str());
            return true;
        }
    }
    std::printf("weakness %d: no violation found\n", weakness);
    return false;
}

#endif
