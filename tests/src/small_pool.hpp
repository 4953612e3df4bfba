#pragma once

// Shared by the dispatcher tests: a small pool and a check of its invariants.

#include <boost/test/unit_test.hpp>

#include <cstdlib>

#include "simulated_pool.hpp"

namespace walkthread::test
{

// Number of seeds for randomized scenarios: `usual` in CI, or as many as WALKTHREAD_SEEDS requests.
inline std::uint64_t seed_count(std::uint64_t usual)
{
    const char* asked = std::getenv("WALKTHREAD_SEEDS");
    return asked == nullptr ? usual : std::strtoull(asked, nullptr, 10);
}

// Variant for many short scenarios, which run ten times slower under sanitizers.
inline std::uint64_t seed_count([[maybe_unused]] std::uint64_t usual,
                                [[maybe_unused]] std::uint64_t sanitized)
{
#ifdef WALKTHREAD_SANITIZED
    return seed_count(sanitized);
#else
    return seed_count(usual);
#endif
}

// Start here to reproduce a single seed.
inline std::uint64_t first_seed()
{
    const char* asked = std::getenv("WALKTHREAD_FIRST_SEED");
    return asked == nullptr ? 1 : std::strtoull(asked, nullptr, 10);
}

inline pool_settings small_pool_settings(std::size_t workers = 8)
{
    pool_settings settings;
    settings.workers = workers;
    return settings;
}

inline void check_invariants(const simulated_pool& pool)
{
    for (const std::string& line : pool.violations())
    {
        BOOST_TEST_MESSAGE(line);
    }
    BOOST_TEST(pool.violations().empty());
}

} // namespace walkthread::test
