#pragma once

/// @file
/// @brief Messages between walkthread processes, and the calls that they carry.
/// @since 0.2

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include <walkthread/dispatch/orders.hpp>
#include <walkthread/replication/messages.hpp>
#include <walkthread/units/strong.hpp>
#include <walkthread/workload/commands.hpp>
#include <walkthread/workload/hall_cordons.hpp>

namespace walkthread
{

// ---------------------------------------------------------------------------------------------------------
// Calls: all are idempotent, a repeated call gives the same reply
// ---------------------------------------------------------------------------------------------------------

/// @brief A caller sends a submission.
struct submit_call
{
    std::string host;
    std::string path;
    submission_id id{};
    submission_spec spec;
    std::string key; ///< of the caller's organisation; empty for none
    MSGPACK_DEFINE(host, path, id, spec, key)
};

/// @brief A caller asks for a submission's state.
struct state_call
{
    std::string host;
    std::string path;
    submission_id id{};
    std::string key;
    MSGPACK_DEFINE(host, path, id, key)
};

/// @brief A caller cancels a submission.
struct cancel_call
{
    std::string host;
    std::string path;
    submission_id id{};
    std::string key;
    MSGPACK_DEFINE(host, path, id, key)
};

/// @brief A caller asks for the number of waiting submissions of a queue.
struct pending_call
{
    std::string host;
    std::string path;
    std::string key;
    MSGPACK_DEFINE(host, path, key)
};

/// @brief An operator replaces the cluster configuration.
struct put_configuration_call
{
    cluster_configuration next;
    MSGPACK_DEFINE(next)
};

/// @brief An operator reads the cluster configuration.
struct get_configuration_call
{
    std::uint8_t unused{};
    MSGPACK_DEFINE(unused)
};

/// @brief A worker's periodic report.
struct report_call
{
    worker_report report;
    MSGPACK_DEFINE(report)
};

/// @brief A worker announces that it shuts down.
struct leave_call
{
    std::string incarnation;
    MSGPACK_DEFINE(incarnation)
};

/// @brief An operator starts a maintenance wave.
struct begin_wave_call
{
    begin_wave wave;
    MSGPACK_DEFINE(wave)
};

/// @brief An operator asks for the progress of a maintenance wave.
struct wave_state_call
{
    std::uint64_t wave{};
    MSGPACK_DEFINE(wave)
};

/// @brief The leader asks another process to send an advisor query.
struct advise_call
{
    advice_question question;
    MSGPACK_DEFINE(question)
};

/// @brief An engineer asks for an explanation of a submission's state.
struct explain_call
{
    submission_id id{};
    MSGPACK_DEFINE(id)
};

/// @brief An operator cordons a hall or lifts its cordon.
/// @since 0.6
struct hall_cordon_call
{
    std::string hall;
    bool cordoned{};
    std::string requested_by; ///< the process that took the request
    MSGPACK_DEFINE(hall, cordoned, requested_by)
};

/// @brief An operator asks which halls are cordoned.
/// @since 0.6
struct list_cordons_call
{
    std::uint8_t unused{};
    MSGPACK_DEFINE(unused)
};

using service_call =
    std::variant<submit_call, state_call, cancel_call, pending_call, put_configuration_call,
                 get_configuration_call, report_call, leave_call, begin_wave_call, wave_state_call,
                 advise_call, explain_call, hall_cordon_call, list_cordons_call>;

/// @brief The outcome of a call.
enum class reply_kind : std::uint8_t
{
    done,        ///< it took effect; `text` or `number` has the result
    refused,     ///< permanently rejected; `code` and `text` have the reason
    unavailable, ///< it had no effect; the caller may retry
    not_leading, ///< another process leads; it had no effect
    unknown,     ///< it may have taken effect or not; the call can be repeated
    isolated,    ///< this process reaches no other; it had no effect, and any other process can take it now
};

/// @brief The reply to a call.
struct service_reply
{
    std::uint8_t kind{};    ///< a reply_kind
    std::int32_t code{};    ///< a workload_code where refused
    std::uint64_t number{}; ///< a count, a version or a submission_phase; if refused for now or
                            ///< unavailable, the seconds after which the caller should retry, 0 for the
                            ///< default
    std::string text;       ///< a document or a reason
    std::string leader;     ///< if not leading, the address of the leader if known
    std::string redirect;   ///< for reports: the address for later reports; empty for any
    advice_answer advice;   ///< advise_call only
    std::map<std::string, hall_cordon> cordons; ///< list_cordons_call only
    MSGPACK_DEFINE(kind, code, number, text, leader, redirect, advice, cordons)

    [[nodiscard]] reply_kind what() const
    {
        return static_cast<reply_kind>(kind);
    }
};

/// @brief A reply without details.
[[nodiscard]] inline service_reply make_reply(reply_kind kind, std::string text = {})
{
    service_reply reply;
    reply.kind = static_cast<std::uint8_t>(kind);
    reply.text = std::move(text);
    return reply;
}

/// @brief A reply of kind `refused`.
[[nodiscard]] inline service_reply make_refusal(workload_code code, std::string text)
{
    service_reply reply = make_reply(reply_kind::refused, std::move(text));
    reply.code = static_cast<std::int32_t>(code);
    return reply;
}

// ---------------------------------------------------------------------------------------------------------
// Frames between processes
// ---------------------------------------------------------------------------------------------------------

/// @brief The first frame of each connection; identifies the sender.
struct peer_greeting
{
    std::string address; ///< the address that the sender listens on for peers
    std::string name;
    bool has_replica{};
    MSGPACK_DEFINE(address, name, has_replica)
};

/// @brief An encoded message between replicas.
struct encoded_replica_message
{
    replica_id from{};
    replica_id to{};
    std::string message;
    MSGPACK_DEFINE(from, to, message)
};

/// @brief Asks a process with a replica who leads.
struct leader_query
{
    bool can_query_advisor{}; ///< the sender can reach the placement advisor
    bool wants_probe_peers{}; ///< the sender asks for other processes without a replica
    MSGPACK_DEFINE(can_query_advisor, wants_probe_peers)
};

/// @brief Limits of callers' requests, from the cluster configuration that the sender holds.
/// @since 0.11
struct caller_limits
{
    std::uint64_t version{};       ///< of the configuration; 0 for none
    std::int64_t max_body_bytes{}; ///< 0 for no limit
    MSGPACK_DEFINE(version, max_body_bytes)
};

/// @brief The leader that the sender knows of.
struct leader_status
{
    bool leads{};       ///< the sender itself leads, confirmed by its lease
    std::string leader; ///< peer address of the leader; empty for unknown
    std::uint64_t term{};
    std::vector<std::string> replicas;      ///< peer addresses of all processes with a replica
    std::vector<std::string> probe_peers{}; ///< some processes without one, if the query asked for them
    /// From a process without a replica: milliseconds since it heard the leader; negative if it knows none.
    std::int64_t leader_silent_ms = -1;
    caller_limits limits{};
    MSGPACK_DEFINE(leads, leader, term, replicas, probe_peers, leader_silent_ms, limits)
};

/// @brief A replica outside the membership asks to join.
struct join_request
{
    replica_id self{};
    MSGPACK_DEFINE(self)
};

/// @brief One life of a process: a process that starts again at the same address has another one.
using process_life_id = strong<struct process_life_id_tag, std::uint64_t>;
/// @brief Number of a call, unique in the life of the process that makes it.
using call_number = strong<struct call_number_tag, std::uint64_t>;

/// @brief A reply with the number of its call and the life of the process that made the call.
struct reply_message
{
    call_number number{};
    service_reply reply{};
    process_life_id caller{}; ///< as in the call; 0 from releases before 0.9
    MSGPACK_DEFINE(number, reply, caller)
};

/// @brief A numbered call with an encoded body.
struct call_message
{
    call_number number{};
    std::string body{};
    process_life_id caller{}; ///< the life of the sender; 0 from releases before 0.9
    MSGPACK_DEFINE(number, body, caller)
};

using mesh_message = std::variant<peer_greeting, encoded_replica_message, leader_query, leader_status,
                                  join_request, call_message, reply_message>;

} // namespace walkthread
