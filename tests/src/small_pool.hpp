#pragma once

// What tests of the dispatcher share: a small pool, and a check that no invariant broke there.

#include <boost/test/unit_test.hpp>

#include "pool_stand_in.hpp"

namespace walkthread::test
{

inline pool_settings small(std::size_t workers = 8)
{
    pool_settings settings;
    settings.workers = workers;
    return settings;
}

inline void check_unbroken(const pool_stand_in& pool)
{
    for (const std::string& line : pool.broken())
    {
        BOOST_TEST_MESSAGE(line);
    }
    BOOST_TEST(pool.broken().empty());
}

} // namespace walkthread::test
