#pragma once

/// @file
/// @brief Decides whether calls are held or rejected while no leader is known.
/// @since 0.4

#include <cstdint>
#include <optional>

#include <walkthread/units/time.hpp>

namespace walkthread
{

/// @brief Limits for calls during a leader outage.
struct leader_outage_settings
{
    /// Time that calls are held, counted from when the leader is dropped (after 1.1 s without an answer). In
    /// that time an election (0.45 s) completes, and so does a restart of all replicas (1.5 to 2.5 s).
    milliseconds call_hold_time{2000};
    std::int64_t max_retry_after_s = 5; ///< callers' time budgets are a few seconds
};

/// @brief Tracks a leader outage and decides how calls are treated meanwhile. The caller provides the time
/// and the random numbers.
///
/// Elections and restarts take a few seconds, so calls are held for about that long. A longer outage has
/// another cause, such as a quorum that lost power or is partitioned; calls are then rejected at once with a
/// retry time. An outage is expected to last about as long again as it has lasted, and retry times are spread
/// over that period so that callers do not retry all at once. Both extremes lose work: holding calls until
/// their timeout in an outage of seven seconds costs 1.3 % of the total value, rejecting them after 0.7 s
/// costs 1.4 % with shorter outages.
/// @since 0.4
class leader_outage
{
  public:
    explicit leader_outage(monotonic_time now, leader_outage_settings settings = {});

    /// @brief Records whether a leader is known.
    /// @return the duration of the outage that this ends, if any
    std::optional<duration> set_leader_known(bool known, monotonic_time now);
    /// @brief How long no leader has been known; zero if one is known.
    [[nodiscard]] duration age(monotonic_time now) const;
    /// @brief Whether the outage has exceeded the hold time, so that calls are rejected.
    [[nodiscard]] bool rejects_calls(monotonic_time now) const;
    /// @brief The time after which a caller should retry, in seconds; at least 1.
    /// @param draw a random number in [0, 1]
    /// @param timeout how long the caller would still wait; the retry time is not later, except for the
    /// minimum of 1 s
    [[nodiscard]] std::int64_t choose_retry_after_s(monotonic_time now, double draw,
                                                    milliseconds timeout) const;

  private:
    leader_outage_settings m_settings;
    std::optional<monotonic_time> m_outage_start;
};

} // namespace walkthread
