#pragma once

/// @file
/// @brief Decides how an entry process reaches the leader: directly, through another process, or not at all.
/// @since 0.6

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <walkthread/units/time.hpp>

namespace walkthread
{

/// @brief Timeouts of a `leader_path`.
/// @since 0.6
struct leader_path_settings
{
    /// Silence of the leader after a message that it answers, before other processes are probed. Answers take
    /// a few milliseconds.
    milliseconds probe_after{150};
    milliseconds probe_interval{250}; ///< above the time in which TCP sends a lost packet again
    milliseconds direct_grace{40};    ///< for the leader's answer to the query that is sent with the probes
    milliseconds isolated_after{250}; ///< silence from everyone after the first probe
    milliseconds relay_timeout{600};  ///< a relay that does not confirm its contact for that long is dropped
    std::size_t max_probe_peers = 3;
    milliseconds refresh_interval{10000}; ///< between requests for other probe peers: processes come and go
};

/// @brief Watches whether the leader answers this process, and finds another way if it does not.
///
/// A silent leader may have failed, or only the path to it. The processes without a replica are in the same
/// position, so a few of them are probed. If one has heard the leader since it became silent here, that
/// process relays the calls. If nobody answers at all, this process is isolated: its callers are better
/// served by any other entry process. If the others answer but have not heard the leader either, an election
/// or an outage is under way. Does no I/O: the caller sends the probes.
/// @since 0.6
class leader_path
{
  public:
    explicit leader_path(leader_path_settings settings = {}) : m_settings(settings)
    {
    }

    /// @brief Records that a message was sent that the leader answers.
    void expect_answer(monotonic_time now);
    /// @brief Records a message from the leader.
    void record_leader_contact();
    /// @brief Records a message from any process.
    void record_message(monotonic_time now);
    /// @brief Records an answer to a probe.
    /// @param leader_silent_for how long ago the probed process heard the leader; no value if it knows none
    void record_probe_answer(const std::string& from, std::optional<duration> leader_silent_for,
                             monotonic_time now);
    /// @brief Whether replicas should be asked for probe peers now.
    [[nodiscard]] bool needs_probe_peers(monotonic_time now) const;
    /// @brief Sets the processes to probe; those beyond the limit are ignored, and so is an empty list.
    void set_probe_peers(std::vector<std::string> peers, monotonic_time now);
    /// @brief The processes to probe now, together with the leader; empty while no probe is due.
    [[nodiscard]] std::vector<std::string> peers_to_probe(monotonic_time now);
    /// @brief Whether the leader's answer is still expected.
    [[nodiscard]] bool is_waiting() const
    {
        return m_waiting_since.has_value();
    }
    /// @brief The process that relays calls to the leader now; empty if none is needed or known. Complexity:
    /// constant, as for the others.
    [[nodiscard]] std::string relay(monotonic_time now) const;
    /// @brief Whether this process appears to be cut off from all others.
    [[nodiscard]] bool is_isolated(monotonic_time now) const;

  private:
    leader_path_settings m_settings;
    std::vector<std::string> m_probe_peers;
    std::optional<monotonic_time> m_refreshed;
    std::optional<monotonic_time> m_waiting_since; ///< first unanswered message since the leader was heard
    std::optional<monotonic_time> m_probed_since;  ///< first probe since the leader was heard
    monotonic_time m_last_probe{};
    monotonic_time m_last_message{};
    std::string m_relay;
    monotonic_time m_relay_confirmed{};
};

} // namespace walkthread
