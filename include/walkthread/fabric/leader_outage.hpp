#pragma once

/// @file
/// @brief What callers are told while no leader is known: to wait, or when to come back.
/// @since 0.4

#include <cstdint>
#include <optional>

#include <walkthread/units/time.hpp>

namespace walkthread
{

/// @brief Bounds of a leader outage.
struct leader_outage_settings
{
    /// After a leader is given up, itself after 1.1 s of silence: by then an election (0.45 s) is over, and
    /// so is a restart of all replicas (1.5 to 2.5 s).
    milliseconds hold_for{2000};
    std::int64_t longest_come_back_s = 5; ///< callers' time budgets are seconds
};

/// @brief How long there has been no leader, and what follows for callers. Pure: the caller has the clock and
/// the random numbers.
///
/// Elections and restarts are over within seconds, so calls are held for about that long. An outage that
/// lasts has another cause, a quorum without power or cut off: then a call is refused at once, and its caller
/// learns when to come back. What has lasted for a while is expected to last about as long again; the times
/// that callers are told are spread over that, so that they do not come back all at once. Callers held until
/// their patience is over cost 0.013 of all worth on a day with an outage of seven seconds; refusing them
/// after 0.7 s cost 0.014 on days with shorter ones (paired, four seeds each).
/// @since 0.4
class leader_outage
{
  public:
    explicit leader_outage(monotonic_time now, leader_outage_settings settings = {});

    /// @brief Takes in whether a leader is known.
    /// @return how long there was none, if this ends an outage
    std::optional<duration> note_leader(bool known, monotonic_time now);
    /// @brief How long there has been no leader; zero if there is one.
    [[nodiscard]] duration age(monotonic_time now) const;
    /// @brief Whether waiting any longer is in vain as far as is known.
    [[nodiscard]] bool hopeless(monotonic_time now) const;
    /// @brief When a caller should come back, in seconds from 1.
    /// @param draw a random number, 0 to 1
    /// @param patience how long the caller would still have waited: it is not told to come back after that
    [[nodiscard]] std::int64_t come_back_s(monotonic_time now, double draw, milliseconds patience) const;

  private:
    leader_outage_settings m_settings;
    std::optional<monotonic_time> m_since;
};

} // namespace walkthread
