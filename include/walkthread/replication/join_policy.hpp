#pragma once

/// @file
/// @brief The leader's policy for join requests of replicas and for learners that stopped replying.
///
/// A join request may be delayed until its sender's disk has been lost and another replica of the same host
/// has joined, so the order of arrival does not tell which replica is newer. The replica that replies is
/// taken as the live one; the other no longer exists.
/// @since 0.3

#include <functional>
#include <optional>

#include <walkthread/replication/log.hpp>
#include <walkthread/units/time.hpp>

namespace walkthread
{

/// @brief Limits for join requests and for learners.
struct join_settings
{
    std::size_t target_voters = 3; ///< with fewer voters, a joining replica is promoted once caught up
    duration live_window = milliseconds(400); ///< a member with a reply within this time is live; four
                                              ///< heartbeats
    duration learner_timeout = seconds(10);   ///< a learner without replies for this long is removed; above
                                              ///< the few seconds that loading a snapshot takes on a small
                                              ///< host under load
};

/// @brief Queries about replicas that the membership does not answer.
struct join_hooks
{
    /// Whether two replicas run on the same host.
    std::function<bool(const replica_id&, const replica_id&)> same_host;
    /// Time of the last reply of a member; no value if unknown.
    std::function<std::optional<monotonic_time>(const replica_id&)> last_heard;
};

/// @brief The action for a join request; none if no field is set.
struct join_decision
{
    std::optional<learner> add;
    std::optional<replica_id> remove;       ///< an earlier learner of the same host, whose disk is lost
    std::optional<replica_id> live_replica; ///< live replica of the same host: the request is outdated
};

/// @brief Decides on a join request. Complexity: linear in the members.
[[nodiscard]] join_decision decide_join(const membership& members, const replica_id& requester,
                                        const join_settings& settings, const join_hooks& hooks,
                                        monotonic_time now);

/// @brief A learner that has sent no reply for longer than the learner timeout and is to be removed; no value
/// if there is none. The removed replica may request to join again.
[[nodiscard]] std::optional<replica_id> find_expired_learner(const membership& members,
                                                             const join_settings& settings,
                                                             const join_hooks& hooks, monotonic_time now);

} // namespace walkthread
