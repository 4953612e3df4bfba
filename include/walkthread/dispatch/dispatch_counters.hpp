#pragma once

/// @file
/// @brief Event counts of the dispatcher, for metrics.
/// @since 0.2

#include <cstdint>

namespace walkthread
{

/// @brief Event counts of the current term of leadership.
struct dispatch_counters
{
    std::uint64_t starts{};
    std::uint64_t doubtful_starts{}; ///< on hosts where they are likely to fail, as no other host took them
    std::uint64_t ends{};
    std::uint64_t refused_starts{};
    std::uint64_t unanswered_orders{};
    std::uint64_t unsent_orders{}; ///< no connection was available
    std::uint64_t lost_workers{};
    std::uint64_t restarted_workers{}; ///< restarts under the same worker id
    std::uint64_t tasks_given_up{};    ///< poison tasks: they crash the workers they run on
    std::uint64_t questions{};
    std::uint64_t preemptions{};
    std::uint64_t starts_before_report{}; ///< on workers that had not reported to this leader yet
    std::uint64_t starts_withdrawn{};     ///< not sent or resent because the worker is leaving
    std::uint64_t views_synced{};         ///< workers visited as workers were added or removed
};

} // namespace walkthread
