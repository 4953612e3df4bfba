#pragma once

/// @file
/// @brief Replicated commands of the workload group and their results.
/// @since 0.2

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <walkthread/units/result.hpp>
#include <walkthread/workload/cluster_configuration.hpp>
#include <walkthread/workload/crash_evidence.hpp>
#include <walkthread/workload/incarnation.hpp>
#include <walkthread/workload/submission.hpp>

namespace walkthread
{

/// @brief Errors of the workload layer.
enum class workload_code
{
    unknown_queue = 420,      ///< no queue matches this host and path
    unknown_submission = 421, ///< the queue has no submission with this id
    bad_submission = 422,     ///< a field is out of range, or a dependency is not an earlier step
    bad_configuration = 423,  ///< the configuration is malformed or inconsistent
    too_many = 424,           ///< the limit of unfinished submissions is reached
    id_in_use = 425,          ///< a submission of another queue or organisation has this id
    bad_wave = 426,           ///< a maintenance wave names no host or no limit
    former_incarnation = 427, ///< this incarnation of the worker has ended; a late report has no effect
    no_key = 428,             ///< the queue requires an API key
    unknown_key = 429,        ///< the API key belongs to no organisation
    unknown_hall = 430,       ///< no setting and no worker names this hall
    last_hall = 431,          ///< cordoning this hall would leave none that accepts work
    state_full = 432,         ///< the state has no room for a submission; callers may come back later
};
using workload_error = layer_error<workload_code>;

/// @brief Replaces the configuration if the version is higher than the current one.
struct replace_cluster_configuration
{
    cluster_configuration next;
    MSGPACK_DEFINE(next)
};

/// @brief Accepts a submission. Idempotent: repeating an id has no effect.
struct accept_submission
{
    submission_id id{};
    std::string queue;
    submission_spec spec;
    std::string organisation; ///< owner; empty for none
    /// Of the queue. It counts and not the name, which may be another queue's when the command is applied;
    /// empty in commands of releases before 0.10.
    std::string route{};
    MSGPACK_DEFINE(id, queue, spec, organisation, route)
};

/// @brief Cancels a submission at its caller's request.
struct cancel_submission
{
    submission_id id{};
    std::string queue;
    MSGPACK_DEFINE(id, queue)
};

/// @brief What a worker reports about itself and its host.
/// @since 0.2
struct worker_description
{
    std::string id;      ///< chosen by the worker; a later incarnation may reuse it
    std::string host;    ///< host name
    std::string address; ///< IP address and port
    std::string pool;
    std::string hall;
    std::vector<std::string> labels;
    resources size{};
    process_start_ms process_start{};
    friend bool operator==(const worker_description&, const worker_description&) = default;
    MSGPACK_DEFINE(id, host, address, pool, hall, labels, size, process_start)

    [[nodiscard]] worker_incarnation_ref incarnation() const
    {
        return {id, process_start};
    }
};

/// @brief Adds an incarnation of a worker and assigns its number. If it is known already, a report that is
/// older than the stored description has no effect.
///
/// This ends any former incarnation on the same host. If that had another worker id, its runs end as
/// lapsed, since orders addressed to it are rejected from now on. If it had the same id, the new incarnation
/// may have executed orders meant for the former one, or may do so later. The runs are therefore transferred
/// to the new incarnation and count as active there until it is known that they do not exist.
struct admit_worker
{
    worker_description description;
    std::uint64_t sequence{}; ///< report number
    /// The description is that of the former incarnation: the new one answers, but has not reported yet.
    bool assumed{};
    std::vector<lost_run> lost{}; ///< runs that ended with the former incarnation of the same id
    MSGPACK_DEFINE(description, sequence, assumed, lost)
};

/// @brief Removes an incarnation of a worker: it left, or its lease has expired. Its runs end as lapsed.
struct drop_worker
{
    worker_incarnation_id worker{};
    /// It has ended. Otherwise it may report again and is then added under a new number.
    bool for_good{};
    std::vector<lost_run> lost{}; ///< its runs; no crash evidence if it had announced that it leaves
    MSGPACK_DEFINE(worker, for_good, lost)
};

/// @brief A worker announced that it is about to leave, or withdrew that. The report with the highest
/// sequence number takes effect.
struct mark_leaving
{
    worker_incarnation_id worker{};
    std::uint64_t sequence{}; ///< report number
    bool leaving{};
    MSGPACK_DEFINE(worker, sequence, leaving)
};

/// @brief Stores the last known state of a worker's runs when it stops answering; empty once it answers
/// again. A new leader could not tell otherwise which runs had started there, and when.
struct record_last_known_runs
{
    worker_incarnation_id worker{};
    std::vector<lost_run> runs;
    MSGPACK_DEFINE(worker, runs)
};

/// @brief One planned start of a task on a worker.
struct planned_start
{
    task_ref task{};
    std::uint32_t run{};
    worker_incarnation_id worker{};
    MSGPACK_DEFINE(task, run, worker)
};

/// @brief Records starts before the start orders are sent. All starts of a gang are in one command.
struct record_starts
{
    std::vector<planned_start> starts;
    MSGPACK_DEFINE(starts)
};

/// @brief The end of one run.
struct observed_end
{
    run_ref run{};
    std::uint8_t how{}; ///< a run_end
    std::string checkpoint;
    MSGPACK_DEFINE(run, how, checkpoint)
};

/// @brief Ends of runs on one worker.
struct record_ends
{
    worker_incarnation_id worker{};
    /// Highest sequence number of the ends that the worker listed; 0 for ends that it did not list itself.
    std::uint64_t ends_recorded_up_to{};
    std::vector<observed_end> ends;
    MSGPACK_DEFINE(worker, ends_recorded_up_to, ends)
};

/// @brief Removes final submissions.
struct forget_submissions
{
    std::vector<submission_id> ids;
    MSGPACK_DEFINE(ids)
};

/// @brief Starts a maintenance wave: each host once, at most `at_once` hosts at a time.
struct begin_wave
{
    std::uint64_t wave{};
    std::vector<std::string> hosts;
    std::int64_t within_s{};
    std::uint32_t at_once{};
    MSGPACK_DEFINE(wave, hosts, within_s, at_once)
};

/// @brief Progress of a host in a maintenance wave.
enum class maintenance_phase : std::uint8_t
{
    waiting,
    ordered,   ///< the order may have been sent
    under_way, ///< the platform accepted the order
    finished,
};

/// @brief Advances a host of a maintenance wave to a phase. Phases never go back.
struct advance_maintenance
{
    std::uint64_t wave{};
    std::string host;
    std::uint8_t phase{}; ///< a maintenance_phase
    MSGPACK_DEFINE(wave, host, phase)
};

/// @brief Cordons a hall, or lifts its cordon. Idempotent. While a hall is cordoned, nothing new starts on
/// its workers; what runs there continues.
/// @since 0.6
struct set_hall_cordon
{
    std::string hall;
    bool cordoned{};
    std::string requested_by;       ///< the process that took the operator's request
    std::vector<std::string> halls; ///< all halls known to the leader: at least one has to accept work
    MSGPACK_DEFINE(hall, cordoned, requested_by, halls)
};

using workload_command =
    std::variant<replace_cluster_configuration, accept_submission, cancel_submission, admit_worker,
                 drop_worker, record_starts, record_ends, forget_submissions, begin_wave, advance_maintenance,
                 mark_leaving, record_last_known_runs, set_hall_cordon>;

/// @brief Result of applying a command: 0 for success, or a workload_code.
struct workload_result
{
    std::int32_t code{};
    std::string detail;
    MSGPACK_DEFINE(code, detail)
};

/// @brief Describes the first error in a submission; empty if it is valid.
[[nodiscard]] std::string find_fault(const submission_spec& spec);

} // namespace walkthread
