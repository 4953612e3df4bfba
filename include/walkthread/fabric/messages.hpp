#pragma once

/// @file
/// @brief Messages between walkthread's processes on the users' platform, and the calls that travel in them.
/// @since 0.2

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <walkthread/dispatch/orders.hpp>
#include <walkthread/replication/messages.hpp>
#include <walkthread/workload/commands.hpp>

namespace walkthread
{

// ---------------------------------------------------------------------------------------------------------
// Calls: each may be sent again and then gives the same answer
// ---------------------------------------------------------------------------------------------------------

/// @brief A caller hands a submission in.
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

/// @brief A caller asks how many submissions of a queue wait.
struct pending_call
{
    std::string host;
    std::string path;
    std::string key;
    MSGPACK_DEFINE(host, path, key)
};

/// @brief An operator sends a configuration.
struct put_catalogue_call
{
    catalogue next;
    MSGPACK_DEFINE(next)
};

/// @brief An operator reads the configuration.
struct get_catalogue_call
{
    std::uint8_t unused{};
    MSGPACK_DEFINE(unused)
};

/// @brief A worker reports.
struct report_call
{
    worker_report report;
    MSGPACK_DEFINE(report)
};

/// @brief A worker ends.
struct leave_call
{
    std::string life;
    MSGPACK_DEFINE(life)
};

/// @brief An operator asks for a wave of upkeep.
struct begin_wave_call
{
    begin_wave wave;
    MSGPACK_DEFINE(wave)
};

/// @brief An operator asks how far a wave is.
struct wave_state_call
{
    std::uint64_t wave{};
    MSGPACK_DEFINE(wave)
};

/// @brief The leader asks another process to put a question to the placement advisor.
struct advise_call
{
    advice_question question;
    MSGPACK_DEFINE(question)
};

/// @brief An engineer asks why a submission is as it is.
struct explain_call
{
    submission_id id{};
    MSGPACK_DEFINE(id)
};

using service_call =
    std::variant<submit_call, state_call, cancel_call, pending_call, put_catalogue_call, get_catalogue_call,
                 report_call, leave_call, begin_wave_call, wave_state_call, advise_call, explain_call>;

/// @brief What became of a call.
enum class reply_kind : std::uint8_t
{
    done,        ///< it holds; `text` or `number` has what was asked for
    refused,     ///< it does not hold and never will; `code` and `text` say why
    unavailable, ///< nothing of it was kept; come back
    not_leading, ///< another process leads; nothing was done
    unknown,     ///< it may hold or not: the call may be sent again
};

/// @brief The answer to a call.
struct service_reply
{
    std::uint8_t kind{};    ///< a reply_kind
    std::int32_t code{};    ///< a workload_code where refused
    std::uint64_t number{}; ///< a count, a version or a submission_phase; unavailable: seconds until the
                            ///< caller should come back, 0 for the usual time
    std::string text;       ///< a document or a reason
    std::string leader;     ///< where not leading: who does, as far as known
    std::string redirect;   ///< reports: where to send later ones; empty for anywhere
    advice_answer advice;   ///< advise_call only
    MSGPACK_DEFINE(kind, code, number, text, leader, redirect, advice)

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

// ---------------------------------------------------------------------------------------------------------
// Frames between processes
// ---------------------------------------------------------------------------------------------------------

/// @brief First on each connection: who speaks.
struct peer_greeting
{
    std::string address; ///< where the speaker hears peers
    std::string name;
    bool keeps_replica{};
    MSGPACK_DEFINE(address, name, keeps_replica)
};

/// @brief A replica's message, encoded.
struct replica_note
{
    replica_id from{};
    replica_id to{};
    std::string message;
    MSGPACK_DEFINE(from, to, message)
};

/// @brief Asks a process that keeps a replica who leads.
struct leader_question
{
    bool can_advise{}; ///< the asker reaches the placement advisor
    MSGPACK_DEFINE(can_advise)
};

/// @brief Who leads, as far as the speaker knows.
struct leader_note
{
    bool leads{};       ///< the speaker itself, surely
    std::string leader; ///< its address for peers; empty for unknown
    std::uint64_t term{};
    std::vector<std::string> replicas; ///< addresses of all that keep a replica
    MSGPACK_DEFINE(leads, leader, term, replicas)
};

/// @brief A replica outside the membership asks to be let in.
struct join_request
{
    replica_id self{};
    MSGPACK_DEFINE(self)
};

/// @brief A reply on its way.
struct reply_note
{
    std::uint64_t number{};
    service_reply reply;
    MSGPACK_DEFINE(number, reply)
};

/// @brief A call on its way, its body encoded.
struct call_note
{
    std::uint64_t number{};
    std::string body;
    MSGPACK_DEFINE(number, body)
};

using mesh_message = std::variant<peer_greeting, replica_note, leader_question, leader_note, join_request,
                                  call_note, reply_note>;

} // namespace walkthread
