// A weakness must be found in some history: a check that can't fail is none.

#ifndef PROP_FINDS_H
#define PROP_FINDS_H

#include <cstdint>
#include <cstdio>
#include <string>

// Run histories of seeds 1 to `seeds` until one is broken; `run` takes a seed
// and returns what was broken, or "".
template <typename Run>
bool
prop_finds(int weakness, uint64_t seeds, Run run)
{
    for (uint64_t seed = 1; seed <= seeds; seed++) {
        std::string broken = run(seed);
        if (!broken.empty()) {
            std::printf("weakness %d: seed %llu: %s\n", weakness,
                        (unsigned long long)seed, broken.c_str());
            return true;
        }
    }
    std::printf("weakness %d was not found\n", weakness);
    return false;
}

#endif
