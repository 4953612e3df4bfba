#pragma once

/// @file
/// @brief Messages between processes of a cell: consensus, calls and their replies.
/// @since 0.1

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <walkthread/observe/timeline.hpp>
#include <walkthread/replication/messages.hpp>
#include <walkthread/routing/endpoints.hpp>
#include <walkthread/state/hall.hpp>
#include <walkthread/state/root.hpp>

namespace walkthread
{

// ---------------------------------------------------------------------------------------------------------
// Calls
// ---------------------------------------------------------------------------------------------------------

/// @brief Proposes a root command; the root leader chooses the halls.
struct root_call
{
    std::string command{}; ///< an encoded root_command
    MSGPACK_DEFINE(command)
};

/// @brief Proposes a hall command.
struct hall_call
{
    std::string command{}; ///< an encoded hall_command
    MSGPACK_DEFINE(command)
};

/// @brief Status of one run, as reported by its worker.
struct run_status
{
    run_id run{};
    std::uint8_t event{}; ///< a run_event
    std::uint16_t port{};
    std::int64_t cpu{};    ///< recent usage in millicores; lags
    std::int64_t memory{}; ///< recent usage in MiB; lags
    bool throttled{};      ///< the run is throttled as ordered
    bool stopping{};       ///< the run is being stopped as ordered
    MSGPACK_DEFINE(run, event, port, cpu, memory, throttled, stopping)
};

/// @brief A worker's lease renewal, with the status of its runs.
struct renew_call
{
    worker_id worker{};
    epoch_id epoch{};               ///< 0 to register
    register_worker registration{}; ///< used when registering
    std::vector<run_status> runs{};
    std::int64_t wait_ms{}; ///< how long the leader may hold the reply until there are orders (long poll)
    MSGPACK_DEFINE(worker, epoch, registration, runs, wait_ms)
};

/// @brief Requests root log entries after a given position from the root leader.
struct root_update_call
{
    log_index known{};
    MSGPACK_DEFINE(known)
};

/// @brief Requests changed endpoints from a hall's leader.
struct endpoints_call
{
    term_id term{};
    std::uint64_t revision{};
    MSGPACK_DEFINE(term, revision)
};

/// @brief A hall leader's load summary. The root leader chooses halls for jobs by it.
struct hall_summary_call
{
    hall_id hall{};
    resources capacity{};
    resources reserved{};
    resources largest{}; ///< largest capacity of any host in each dimension
    std::uint32_t waiting{};
    bool cordoned{};
    MSGPACK_DEFINE(hall, capacity, reserved, largest, waiting, cordoned)
};

/// @brief Requests timeline events.
struct timeline_call
{
    timeline_filter filter{};
    MSGPACK_DEFINE(filter)
};

/// @brief The subject of a query.
enum class query_kind : std::uint8_t
{
    jobs = 0,           ///< jobs of an organisation in one hall
    explain = 1,        ///< one job in one hall
    hosts = 2,          ///< workers of one hall
    group = 3,          ///< leader, members and replication lag of one group
    configurations = 4, ///< root: all configurations of an organisation
    configuration = 5,  ///< root: one configuration by name
    templates = 6,      ///< root
    all_jobs = 7,       ///< root: jobs of an organisation, including ended ones
    teams = 8,          ///< root
    cordon = 9,         ///< whether one hall is cordoned, since when, and at whose request
};

/// @brief Requests a JSON document from a group's leader.
struct query_call
{
    std::uint8_t kind{};
    organisation_id organisation{}; ///< only what belongs to it is included; 0 for administrators: everything
    job_id job{};
    std::string name{};
    MSGPACK_DEFINE(kind, organisation, job, name)
};

/// @brief Changes a group's members.
struct members_call
{
    learner add{};       ///< node 0: nothing to add
    replica_id remove{}; ///< node 0: nothing to remove
    MSGPACK_DEFINE(add, remove)
};

using call_body = std::variant<root_call, hall_call, renew_call, root_update_call, endpoints_call,
                               hall_summary_call, timeline_call, query_call, members_call>;

// ---------------------------------------------------------------------------------------------------------
// Replies
// ---------------------------------------------------------------------------------------------------------

/// @brief The call failed or has to go to another process.
struct call_error_reply
{
    node_id leader{}; ///< 0 if unknown
    int code{};       ///< a node_code
    std::string detail{};
    MSGPACK_DEFINE(leader, code, detail)
};

/// @brief Reply to root_call, sent after the command is committed.
struct root_reply
{
    root_result answer{};
    MSGPACK_DEFINE(answer)
};

/// @brief Reply to hall_call, sent after the command is committed.
struct hall_reply
{
    hall_result answer{};
    MSGPACK_DEFINE(answer)
};

/// @brief An order to a worker to start a run.
struct start_order
{
    run_id run{};
    std::string name{}; ///< name of the configuration
    std::string organisation{};
    std::uint8_t kind{};
    resources size{};
    std::int64_t run_seconds{};
    bool from_checkpoint{};
    MSGPACK_DEFINE(run, name, organisation, kind, size, run_seconds, from_checkpoint)
};

/// @brief An order to a worker to stop a run, with a checkpoint if supported and requested.
struct halt_order
{
    run_id run{};
    bool checkpoint{};
    MSGPACK_DEFINE(run, checkpoint)
};

/// @brief Reply to renew_call: the lease and orders.
struct renew_reply
{
    bool must_register{}; ///< the lease has expired: stop all runs and register again
    epoch_id epoch{};
    std::int64_t lease_ms{}; ///< counted from when the worker sent the renewal
    std::vector<start_order> start{};
    std::vector<halt_order> halt{};
    std::vector<run_id> throttle{};
    std::vector<run_id> forget{}; ///< ended runs whose end is recorded
    MSGPACK_DEFINE(must_register, epoch, lease_ms, start, halt, throttle, forget)
};

/// @brief Reply to the request for root log entries. Its content was current when the call was sent or later.
struct root_update_reply
{
    log_index commit{};
    bool has_snapshot{};
    snapshot content{};
    std::vector<log_entry> entries{};
    MSGPACK_DEFINE(commit, has_snapshot, content, entries)
};

/// @brief Reply to endpoints_call.
struct endpoints_reply
{
    term_id term{};
    std::uint64_t revision{};
    bool is_full{}; ///< full list: replaces all earlier content
    std::vector<service_endpoints> services{};
    MSGPACK_DEFINE(term, revision, is_full, services)
};

/// @brief Reply to timeline_call.
struct timeline_reply
{
    std::vector<timeline_event> events{};
    MSGPACK_DEFINE(events)
};

/// @brief Reply to query_call.
struct document_reply
{
    std::string json{};
    MSGPACK_DEFINE(json)
};

/// @brief Reply to calls that return no content.
struct done_reply
{
    bool changed{}; ///< for members_call: whether the replica was not a member before
    MSGPACK_DEFINE(changed)
};

using reply_body = std::variant<call_error_reply, root_reply, hall_reply, renew_reply, root_update_reply,
                                endpoints_reply, timeline_reply, document_reply, done_reply>;

// ---------------------------------------------------------------------------------------------------------
// Frames
// ---------------------------------------------------------------------------------------------------------

/// @brief The first message on a connection.
struct hello
{
    node_id node{};
    incarnation_id incarnation{};
    std::string secret{};
    MSGPACK_DEFINE(node, incarnation, secret)
};

/// @brief A consensus message.
struct replica_frame
{
    group_id group{};
    replica_id from{};
    replica_id to{};
    std::string message{}; ///< an encoded replica_message
    MSGPACK_DEFINE(group, from, to, message)
};

/// @brief A call to a group's leader at another process.
struct call_frame
{
    std::uint64_t id{};
    group_id group{};
    std::string body{}; ///< an encoded call_body
    MSGPACK_DEFINE(id, group, body)
};

/// @brief The reply to a call.
struct reply_frame
{
    std::uint64_t id{};
    std::string body{}; ///< an encoded reply_body
    MSGPACK_DEFINE(id, body)
};

/// @brief Notice that the state of root or of a hall changed, so that receivers request changes before
/// their next regular poll.
struct change_notice
{
    group_id group{};
    MSGPACK_DEFINE(group)
};

using peer_message = std::variant<hello, replica_frame, call_frame, reply_frame, change_notice>;

/// @brief Content of a frame: a hybrid time stamp that orders events across processes, and a message.
struct peer_envelope
{
    hybrid_stamp stamp{};
    std::string message{}; ///< an encoded peer_message
    MSGPACK_DEFINE(stamp, message)
};

} // namespace walkthread
