#pragma once

/// @file
/// @brief Discovers the leader and the processes with replicas from a few, possibly stale, seeds.
/// @since 0.2

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <walkthread/fabric/messages.hpp>
#include <walkthread/units/time.hpp>

namespace walkthread
{

/// @brief Query intervals and timeout of a leader watch.
struct leader_watch_settings
{
    milliseconds query_interval{400};     ///< while the leader responds
    milliseconds discovery_interval{150}; ///< while no leader is known and all known peers are queried
    milliseconds leader_timeout{
        1100}; ///< more than two query intervals without a response: the leader failed or is partitioned
};

/// @brief Determines the leader from received leader status messages. Does no I/O: the caller sends queries.
/// @since 0.2
class leader_watch
{
  public:
    /// @param seeds peer addresses from the settings
    leader_watch(std::vector<std::string> seeds, leader_watch_settings settings);

    /// @brief Handles a leader status message.
    void receive(const std::string& from, const leader_status& leader_report, monotonic_time now);
    /// @brief The peers to query now; empty if no query is due.
    [[nodiscard]] std::vector<std::string> peers_to_query(monotonic_time now);
    /// @brief Adds seeds after a settings reload.
    void add_seeds(const std::vector<std::string>& seeds);

    /// @brief The leader's address, or empty.
    [[nodiscard]] const std::string& leader() const
    {
        return m_leader;
    }
    /// @brief How long ago the leader was heard; no value if none is known.
    [[nodiscard]] std::optional<duration> silent_for(monotonic_time now) const
    {
        return m_leader.empty() ? std::nullopt : std::optional<duration>(now - m_last_leader_contact);
    }
    /// @brief The highest term in which a leader was known.
    [[nodiscard]] std::uint64_t term() const
    {
        return m_term;
    }
    [[nodiscard]] const std::set<std::string>& known() const
    {
        return m_known_peers;
    }

  private:
    leader_watch_settings m_settings;
    std::set<std::string> m_known_peers;
    std::string m_leader;
    std::string m_last_other_peer; ///< the peer last queried in addition to the leader
    std::uint64_t m_term = 0;
    monotonic_time m_last_leader_contact{};
    monotonic_time m_last_query{};
};

} // namespace walkthread
