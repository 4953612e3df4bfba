#pragma once

/// @file
/// @brief Finds the leader and the processes that keep replicas, from a few seeds that may be stale.
/// @since 0.2

#include <functional>
#include <set>
#include <string>
#include <vector>

#include <walkthread/fabric/messages.hpp>
#include <walkthread/units/time.hpp>

namespace walkthread
{

/// @brief Times of a leader watch.
struct leader_watch_settings
{
    milliseconds ask_every{400};      ///< while the leader answers
    milliseconds ask_unknown{150};    ///< while no leader is known: everyone known is asked
    milliseconds leader_silent{1100}; ///< three questions without an answer: it is gone or cut off
};

/// @brief Who leads, from the answers of whoever answers. Pure: the caller sends the questions.
/// @since 0.2
class leader_watch
{
  public:
    /// @param seeds peer addresses from the settings
    leader_watch(std::vector<std::string> seeds, leader_watch_settings settings);

    /// @brief Takes an answer in.
    void take(const std::string& from, const leader_note& note, monotonic_time now);
    /// @brief Whom to ask now; empty if it is not time yet.
    [[nodiscard]] std::vector<std::string> whom_to_ask(monotonic_time now);
    /// @brief Adds seeds, after the settings have changed.
    void add_seeds(const std::vector<std::string>& seeds);

    /// @brief The leader's address, or empty.
    [[nodiscard]] const std::string& leader() const
    {
        return m_leader;
    }
    /// @brief The newest term that a leader was known in.
    [[nodiscard]] std::uint64_t term() const
    {
        return m_term;
    }
    [[nodiscard]] const std::set<std::string>& known() const
    {
        return m_known;
    }

  private:
    leader_watch_settings m_settings;
    std::set<std::string> m_known;
    std::string m_leader;
    std::string m_last_other; ///< the last one asked besides the leader
    std::uint64_t m_term = 0;
    monotonic_time m_heard{};
    monotonic_time m_asked{};
};

} // namespace walkthread
