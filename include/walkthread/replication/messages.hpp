#pragma once

/// @file
/// @brief Messages exchanged by the replicas of a group.
/// @since 0.1

#include <cstdint>
#include <variant>
#include <vector>

#include <walkthread/replication/log.hpp>

namespace walkthread
{

/// @brief Requests a vote; with `pre` set it is a pre-vote, which changes no state at the voter.
struct vote_request
{
    term_id term{};
    log_index last_index{};
    term_id last_term{};
    bool pre{};
    bool transfer{}; ///< part of a leadership transfer; granted even while the current leader is live
    MSGPACK_DEFINE(term, last_index, last_term, pre, transfer)
};

/// @brief Reply to a vote_request.
struct vote_reply
{
    term_id term{};
    bool granted{};
    bool pre{};
    MSGPACK_DEFINE(term, granted, pre)
};

/// @brief Replicates log entries; without entries it is a heartbeat.
struct append_request
{
    term_id term{};
    log_index previous_index{};
    term_id previous_term{};
    log_index commit{};
    std::int64_t sent_at{}; ///< leader's monotonic clock, microseconds; echoed by the follower, compared only
                            ///< by the leader
    std::int64_t lease_duration{}; ///< requested lease in microseconds from receipt; the follower grants no
                                   ///< vote to others meanwhile
    std::vector<log_entry> entries{};
    MSGPACK_DEFINE(term, previous_index, previous_term, commit, sent_at, lease_duration, entries)
};

/// @brief Reply to an append_request, sent once its entries are durable.
struct append_reply
{
    term_id term{};
    bool accepted{};
    log_index match{}; ///< accepted: last index known to match the leader's log; rejected: where to retry
    std::int64_t sent_at{};
    MSGPACK_DEFINE(term, accepted, match, sent_at)
};

/// @brief Installs a snapshot at a follower that needs entries which the leader has already compacted.
struct snapshot_request
{
    term_id term{};
    std::int64_t sent_at{};
    std::int64_t lease_duration{}; ///< as in append_request
    snapshot content{};
    MSGPACK_DEFINE(term, sent_at, lease_duration, content)
};

/// @brief Tells the target of a leadership transfer to start an election at once (TimeoutNow in Raft).
struct timeout_now_request
{
    term_id term{};
    MSGPACK_DEFINE(term)
};

using replica_message = std::variant<vote_request, vote_reply, append_request, append_reply, snapshot_request,
                                     timeout_now_request>;

/// @brief A message with its group, sender and recipient.
/// @since 0.1
struct replica_envelope
{
    group_id group{};
    replica_id from{};
    replica_id to{};
    replica_message message{};
};

} // namespace walkthread
