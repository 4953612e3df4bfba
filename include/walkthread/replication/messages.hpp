#pragma once

/// @file
/// @brief Messages between replicas of one group.
/// @since 0.1

#include <cstdint>
#include <variant>
#include <vector>

#include <walkthread/replication/log.hpp>

namespace walkthread
{

/// @brief Asks for a vote; with `pre` set it only asks whether one would be given.
struct vote_request
{
    term_id term{};
    log_index last_index{};
    term_id last_term{};
    bool pre{};
    bool transfer{}; ///< the old leader asked for this election, so a live leader is no reason to refuse
    MSGPACK_DEFINE(term, last_index, last_term, pre, transfer)
};

/// @brief Answers a vote_request.
struct vote_reply
{
    term_id term{};
    bool granted{};
    bool pre{};
    MSGPACK_DEFINE(term, granted, pre)
};

/// @brief Entries, or none as a heartbeat.
struct append_request
{
    term_id term{};
    log_index previous_index{};
    term_id previous_term{};
    log_index commit{};
    std::int64_t sent_at{}; ///< the leader's own clock in microseconds; echoed, never compared elsewhere
    std::int64_t promise{}; ///< microseconds from receipt for which the leader asks for no vote against it
    std::vector<log_entry> entries{};
    MSGPACK_DEFINE(term, previous_index, previous_term, commit, sent_at, promise, entries)
};

/// @brief Answers an append_request after its entries are synced.
struct append_reply
{
    term_id term{};
    bool accepted{};
    log_index match{}; ///< accepted: last index known to equal the leader's; refused: where to try next
    std::int64_t sent_at{};
    MSGPACK_DEFINE(term, accepted, match, sent_at)
};

/// @brief A snapshot for a follower that is behind the leader's log.
struct snapshot_request
{
    term_id term{};
    std::int64_t sent_at{};
    std::int64_t promise{}; ///< as in append_request
    snapshot content{};
    MSGPACK_DEFINE(term, sent_at, promise, content)
};

/// @brief Tells a caught-up follower to start an election at once.
struct election_order
{
    term_id term{};
    MSGPACK_DEFINE(term)
};

using replica_message =
    std::variant<vote_request, vote_reply, append_request, append_reply, snapshot_request, election_order>;

/// @brief A message with its group and both ends.
/// @since 0.1
struct replica_envelope
{
    group_id group{};
    replica_id from{};
    replica_id to{};
    replica_message message{};
};

} // namespace walkthread
