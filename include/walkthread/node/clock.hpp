#pragma once

/// @file
/// @brief The only functions that read the system clocks.
/// @since 0.1

#include <ctime>

#include <walkthread/units/time.hpp>

namespace walkthread
{

namespace detail
{
[[nodiscard]] inline duration read_clock(clockid_t clock)
{
    timespec now{};
    clock_gettime(clock, &now); // fails only for an unsupported clock; Linux has these since 2.6.39
    return seconds(now.tv_sec) + duration(now.tv_nsec / 1000);
}
} // namespace detail

/// @brief Current time of the monotonic clock. It also advances while the process is frozen or its machine is
/// suspended, so that a leader that resumes sees its lease as expired.
[[nodiscard]] inline monotonic_time monotonic_now()
{
    return monotonic_time{detail::read_clock(CLOCK_BOOTTIME)};
}

/// @brief Total time that this machine has been suspended since boot. Complexity: constant.
[[nodiscard]] inline duration total_suspended_time()
{
    const duration running = detail::read_clock(CLOCK_MONOTONIC);
    return detail::read_clock(CLOCK_BOOTTIME) - running;
}

/// @brief Current time of the wall clock.
[[nodiscard]] inline wall_ms wall_now()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
}

} // namespace walkthread
