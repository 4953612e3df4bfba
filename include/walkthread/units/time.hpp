#pragma once

/// @file
/// @brief Times and durations. Functions take the current time as an argument instead of reading a clock.
/// @since 0.1

#include <chrono>
#include <cstdint>

namespace walkthread
{

namespace detail
{
/// @brief A clock type without `now()`, so that deterministic layers cannot read the time.
struct monotonic_time_line
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_time_line, duration>;
    static constexpr bool is_steady = true;
};
} // namespace detail

/// @brief A time on one process's monotonic clock. Not comparable between processes.
using monotonic_time = detail::monotonic_time_line::time_point;
/// @brief A duration in microseconds.
using duration = std::chrono::microseconds;
/// @brief Wall time in milliseconds since the Unix epoch, as stored in log entries by the leader.
using wall_ms = std::int64_t;

using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace walkthread
