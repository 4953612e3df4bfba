#pragma once

/// @file
/// @brief What a leader does about replicas that ask to be let into their group, and about newcomers that
/// fell silent.
///
/// A request may arrive after its sender's disk was lost and another replica of the same host was let in:
/// arrival says nothing about which of them is the newer one. A host's replica that answers is there; the
/// other is not.
/// @since 0.3

#include <functional>
#include <optional>

#include <walkthread/replication/log.hpp>
#include <walkthread/units/time.hpp>

namespace walkthread
{

/// @brief Times and sizes for newcomers.
struct newcomer_settings
{
    std::size_t wanted_voters = 3;        ///< below that, a newcomer votes as soon as it has caught up
    duration present = milliseconds(400); ///< heard within that time: it is there; four heartbeats
    duration forgotten = seconds(10);     ///< a newcomer that is silent for so long is let go; above the few
                                          ///< seconds that loading a snapshot takes on a busy small host
};

/// @brief What is known of replicas outside the membership itself.
struct newcomer_hooks
{
    /// Whether two replicas have the same host.
    std::function<bool(const replica_id&, const replica_id&)> same_host;
    /// When a member last answered; no value where unknown.
    std::function<std::optional<monotonic_time>(const replica_id&)> last_heard;
};

/// @brief What to do about a request; nothing if no field is set.
struct newcomer_decision
{
    std::optional<learner> add;
    std::optional<replica_id> remove;  ///< an earlier newcomer of the same host, whose disk is gone
    std::optional<replica_id> present; ///< another replica of the same host answers: the request came late
};

/// @brief Decides about a replica that asks to be let in. Complexity: linear in the members.
[[nodiscard]] newcomer_decision judge_newcomer(const membership& members, const replica_id& asks,
                                               const newcomer_settings& settings, const newcomer_hooks& hooks,
                                               monotonic_time now);

/// @brief A newcomer that is silent for so long that others may take its place; no value for none. It may ask
/// again.
[[nodiscard]] std::optional<replica_id> find_forgotten(const membership& members,
                                                       const newcomer_settings& settings,
                                                       const newcomer_hooks& hooks, monotonic_time now);

} // namespace walkthread
