#pragma once

/// @file
/// @brief The state machine of one hall: workers, jobs, tasks, reservations and claims.
///
/// Each command is validated against the state when it is applied, so that a plan of a stale leader has no
/// effect: no host is overcommitted and no task runs twice, whoever proposed the command.
/// @since 0.1

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <walkthread/state/claims.hpp>
#include <walkthread/state/estimate.hpp>
#include <walkthread/state/model.hpp>
#include <walkthread/units/hall_cordon.hpp>

namespace walkthread
{

// ---------------------------------------------------------------------------------------------------------
// Records
// ---------------------------------------------------------------------------------------------------------

/// @brief State of a worker; decides whether tasks are placed on it.
enum class worker_phase : std::uint8_t
{
    live = 0,
    draining = 1,    ///< keeps its tasks until they are moved or end; gets no new ones
    quarantined = 2, ///< tasks of several jobs failed there; gets no tasks until probed
    probing = 3,     ///< gets a single task, to test whether it works again
    lost = 4,        ///< its lease expired
};

/// @brief Life cycle of a task.
enum class task_phase : std::uint8_t
{
    pending = 0,  ///< waits for placement
    placed = 1,   ///< resources reserved on a host; start not confirmed yet
    running = 2,  ///< the worker confirmed the start
    stopping = 3, ///< stop requested; resources stay reserved until the worker confirms
    ended = 4,
};

/// @brief Why a task is stopped.
enum class stop_reason : std::uint8_t
{
    none = 0,
    cancelled = 1, ///< its job was cancelled
    preempted = 2, ///< in favour of urgent work
    drained = 3,   ///< its host is being drained
    gang = 4,      ///< another task of its gang was lost
    overused = 5,  ///< it exceeded its declared resources for too long
};

/// @brief A task and its current run.
/// @since 0.1
struct task_record
{
    std::uint8_t phase{};
    std::uint8_t reason{};
    std::uint32_t run{}; ///< number of the current or last run; 0 before the first
    worker_id worker{};
    std::uint16_t port{};  ///< port on which a service's task accepts requests
    bool checkpointed{};   ///< the next run resumes from a checkpoint
    bool preempted_once{}; ///< used to choose preemption victims fairly
    wall_ms since{};       ///< start of the current phase
    MSGPACK_DEFINE(phase, reason, run, worker, port, checkpointed, preempted_once, since)

    [[nodiscard]] task_phase state() const
    {
        return static_cast<task_phase>(phase);
    }
    [[nodiscard]] bool on_host() const
    {
        return state() == task_phase::placed || state() == task_phase::running ||
               state() == task_phase::stopping;
    }
};

/// @brief The part of a job that one hall runs.
/// @since 0.1
struct hall_job
{
    job_spec spec{};
    std::vector<task_record> tasks{};
    std::uint32_t pending{};
    std::uint32_t on_hosts{};
    std::uint32_t ended{};
    bool cancelled{};
    std::uint8_t outcome{};
    std::set<worker_id> failed_on{};
    std::uint32_t failures{}; ///< failures on hosts that are not quarantined
    wall_ms first_start{};    ///< time of the first confirmed start; 0 before
    MSGPACK_DEFINE(spec, tasks, pending, on_hosts, ended, cancelled, outcome, failed_on, failures,
                   first_start)

    [[nodiscard]] bool finished() const
    {
        return ended == tasks.size();
    }
    /// @brief Whether a task may be rerun after a run with unknown outcome. Complexity: constant.
    /// @since 0.6
    [[nodiscard]] bool may_run_again() const
    {
        return spec.repeatable || spec.workload() == workload_kind::service;
    }
    /// @brief Whether the job failed so often that it is not placed any more.
    [[nodiscard]] bool held() const;
};

/// @brief A worker of the hall.
/// @since 0.1
struct worker_record
{
    worker_id id{};
    rack_id rack{};
    std::string address{}; ///< IP address
    std::uint16_t port{};
    resources size{};
    resources reserved{};
    epoch_id epoch{};
    std::uint8_t phase{};
    bool draining{};
    std::vector<task_id> tasks{};
    std::set<job_id> failed_jobs{}; ///< distinct jobs that failed on this worker since its last success
    std::uint32_t quarantines{};
    wall_ms phase_since{};
    bool cordoned{}; ///< its hall is cordoned
    MSGPACK_DEFINE(id, rack, address, port, size, reserved, epoch, phase, draining, tasks, failed_jobs,
                   quarantines, phase_since, cordoned)

    /// @brief Whether operators allow new tasks there.
    [[nodiscard]] bool is_schedulable() const
    {
        return !draining && !cordoned;
    }

    [[nodiscard]] worker_phase state() const
    {
        return static_cast<worker_phase>(phase);
    }
    /// @brief Resources available for placement; none if the worker accepts no tasks.
    [[nodiscard]] resources free() const;
};

// ---------------------------------------------------------------------------------------------------------
// Commands
// ---------------------------------------------------------------------------------------------------------

/// @brief Registers a worker, and states that no run of the epoch `previous` or an earlier one is left there.
/// A delayed duplicate names an older epoch and must not release any reservation.
struct register_worker
{
    worker_id worker{};
    rack_id rack{};
    std::string address{};
    std::uint16_t port{};
    resources size{};
    epoch_id previous{};          ///< the worker's last epoch; 0 if unknown
    std::vector<run_id> unsent{}; ///< runs placed there whose start order was never sent: they never began
    /// Runs that began in the epoch `previous` and were not forgotten; absent if the worker does not say. Any
    /// other run that was placed there in that epoch never began.
    std::optional<std::vector<run_id>> begun{};
    MSGPACK_DEFINE(worker, rack, address, port, size, previous, unsent, begun)
};

/// @brief A worker and one of its lease epochs.
struct worker_epoch
{
    worker_id worker{};
    epoch_id epoch{};
    MSGPACK_DEFINE(worker, epoch)
};

/// @brief Marks workers as lost whose lease has certainly expired.
struct mark_workers_lost
{
    std::vector<worker_epoch> workers{};
    std::vector<run_id> unsent{}; ///< runs placed there whose start order was never sent: they never began
    MSGPACK_DEFINE(workers, unsent)
};

/// @brief Starts or ends draining of workers.
struct drain_workers
{
    std::vector<worker_id> workers{};
    bool draining{};
    MSGPACK_DEFINE(workers, draining)
};

/// @brief Starts probing quarantined workers with a single task.
struct probe_workers
{
    std::vector<worker_id> workers{};
    MSGPACK_DEFINE(workers)
};

/// @brief Admits jobs from root.
struct admit_jobs
{
    log_index root_index{}; ///< position in root's log at which the jobs were read
    std::vector<job_spec> jobs{};
    MSGPACK_DEFINE(root_index, jobs)
};

/// @brief Cancels jobs, any number at once.
struct cancel_hall_jobs
{
    std::vector<job_id> jobs{};
    MSGPACK_DEFINE(jobs)
};

/// @brief Removes jobs whose end root has recorded.
struct forget_jobs
{
    log_index root_index{};
    std::vector<job_id> jobs{};
    MSGPACK_DEFINE(root_index, jobs)
};

/// @brief Placement of one run on one worker.
struct placement
{
    run_id run{};
    worker_id worker{};
    epoch_id epoch{};
    MSGPACK_DEFINE(run, worker, epoch)
};

/// @brief Places tasks. The tasks of a gang are adjacent in the list and are placed all or none.
struct place_tasks
{
    std::vector<placement> placements{};
    MSGPACK_DEFINE(placements)
};

/// @brief An event of a run, as reported by its worker.
enum class run_event : std::uint8_t
{
    started = 0,
    completed = 1,
    failed = 2,
    stopped = 3,      ///< stopped on request, without a checkpoint
    checkpointed = 4, ///< stopped on request, with a checkpoint
    accepted = 5,     ///< accepted by the worker but not started yet; no effect on the state
};

/// @brief A worker's report on one run.
struct run_report
{
    run_id run{};
    worker_epoch from{};
    std::uint8_t event{};
    std::uint16_t port{};
    MSGPACK_DEFINE(run, from, event, port)
};

/// @brief A batch of run reports.
struct report_runs
{
    std::vector<run_report> reports{};
    MSGPACK_DEFINE(reports)
};

/// @brief A request to stop one run.
struct stop_request
{
    run_id run{};
    std::uint8_t reason{};
    MSGPACK_DEFINE(run, reason)
};

/// @brief A batch of stop requests.
struct stop_runs
{
    std::vector<stop_request> orders{};
    MSGPACK_DEFINE(orders)
};

/// @brief Cordons the hall, or lifts its cordon. Idempotent. Nothing new starts in a cordoned hall; what runs
/// there continues.
/// @since 0.6
struct cordon_hall
{
    bool cordoned{};
    std::string requested_by; ///< the node that took the operator's request
    MSGPACK_DEFINE(cordoned, requested_by)
};

using hall_command = std::variant<register_worker, mark_workers_lost, drain_workers, probe_workers,
                                  admit_jobs, cancel_hall_jobs, forget_jobs, place_tasks, report_runs,
                                  stop_runs, claim_request, settle_claim, cordon_hall>;

/// @brief Result of a hall command.
/// @since 0.1
struct hall_result
{
    int code{};              ///< a state_code; 0 if the command took effect
    epoch_id epoch{};        ///< new epoch, for register_worker
    std::uint32_t applied{}; ///< number of placements that took effect
    claim_result claim{};
    MSGPACK_DEFINE(code, epoch, applied, claim)
};

/// @brief Changes since the last call of `take_changes`, recorded so that the owner need not scan the state.
/// @since 0.1
struct hall_changes
{
    std::vector<worker_id> workers{};
    std::vector<job_id> jobs{};
    std::vector<job_id> ended{};
    std::uint64_t services{}; ///< counter, incremented on each change that may affect service endpoints
};

// ---------------------------------------------------------------------------------------------------------
// The state machine
// ---------------------------------------------------------------------------------------------------------

/// @brief The state of one hall.
/// @since 0.1
class hall_state
{
  public:
    /// @brief Distinct jobs that fail on a host without a success in between before it is quarantined.
    static constexpr std::size_t quarantine_after = 3;
    /// @brief Distinct hosts on which a job fails before it is held.
    static constexpr std::size_t hold_after_failed_hosts = 3;
    /// @brief Failures after which a job is held when there are too few hosts to reach that number.
    static constexpr std::uint32_t hold_after_failures = 12;

    hall_state() = default;
    explicit hall_state(hall_id hall) : m_hall(hall)
    {
    }

    /// @brief Applies one committed command. Complexity: logarithmic in workers and jobs for each item in it.
    hall_result apply(wall_ms at, const hall_command& command);

    [[nodiscard]] hall_id hall() const
    {
        return m_hall;
    }
    [[nodiscard]] const std::map<worker_id, worker_record>& workers() const
    {
        return m_workers;
    }
    [[nodiscard]] const std::map<job_id, hall_job>& jobs() const
    {
        return m_jobs;
    }
    /// @brief Total size of all workers with a lease, including draining ones.
    [[nodiscard]] const resources& capacity() const
    {
        return m_capacity;
    }
    /// @brief The hall's cordon, if there is one.
    [[nodiscard]] const std::optional<hall_cordon>& cordon() const
    {
        return m_cordon;
    }
    /// @brief Resources reserved by an organisation. Complexity: logarithmic.
    [[nodiscard]] resources used_by(organisation_id organisation) const;
    /// @brief Resources reserved by a team. Complexity: logarithmic.
    [[nodiscard]] resources used_by(team_id team) const;
    /// @brief The learned run time estimate of a template. Complexity: logarithmic.
    [[nodiscard]] run_estimate estimate_of(template_id id) const;
    /// @brief The newest position of root's log that this hall has applied.
    [[nodiscard]] log_index applied_root_index() const
    {
        return m_applied_root_index;
    }
    [[nodiscard]] std::size_t claims() const
    {
        return m_claims.size();
    }
    /// @brief Returns and clears the changes since the last call.
    [[nodiscard]] hall_changes take_changes();
    /// @brief Checks the invariants, for tests. @return an empty string, or the violated invariant
    [[nodiscard]] std::string check() const;

    /// @brief Serializes the whole state. Complexity: linear in the state.
    [[nodiscard]] std::string save() const;
    /// @brief Replaces the state with a serialized one. @return whether the bytes could be decoded
    bool load(std::string_view bytes);

  private:
    hall_result run(wall_ms at, const register_worker& command);
    hall_result run(wall_ms at, const mark_workers_lost& command);
    hall_result run(wall_ms at, const drain_workers& command);
    hall_result run(wall_ms at, const probe_workers& command);
    hall_result run(wall_ms at, const admit_jobs& command);
    hall_result run(wall_ms at, const cancel_hall_jobs& command);
    hall_result run(wall_ms at, const forget_jobs& command);
    hall_result run(wall_ms at, const place_tasks& command);
    hall_result run(wall_ms at, const report_runs& command);
    hall_result run(wall_ms at, const stop_runs& command);
    hall_result run(wall_ms at, const claim_request& command);
    hall_result run(wall_ms at, const settle_claim& command);
    hall_result run(wall_ms at, const cordon_hall& command);

    [[nodiscard]] bool may_place(const placement& p, const resources& reserved_in_batch) const;
    [[nodiscard]] bool may_place_all(const std::vector<placement>& all, std::size_t first,
                                     std::size_t last) const;
    void reserve(wall_ms at, const placement& p);
    void release(wall_ms at, hall_job& job, std::uint32_t index, task_phase next);
    void apply_report(wall_ms at, const run_report& report);
    void end_completed(wall_ms at, hall_job& job, std::uint32_t index);
    void end_stopped(wall_ms at, hall_job& job, std::uint32_t index, bool checkpointed);
    void end_failed(wall_ms at, hall_job& job, std::uint32_t index);
    void end_lost(wall_ms at, hall_job& job, std::uint32_t index, bool unsent);
    void request_stop(wall_ms at, hall_job& job, std::uint32_t index, stop_reason reason);
    void stop_gang(wall_ms at, hall_job& job);
    void cancel(wall_ms at, hall_job& job, job_outcome outcome);
    void quarantine(wall_ms at, worker_record& worker);
    void set_phase(wall_ms at, worker_record& worker, worker_phase phase);
    /// @brief Runs placed on a worker in its last epoch that certainly never began there.
    [[nodiscard]] std::vector<run_id> never_began(const worker_record& worker,
                                                  const register_worker& command) const;
    void release_all(wall_ms at, worker_record& worker, const std::vector<run_id>& unsent);
    void record_change(const hall_job& job);
    task_record* find_run(const run_id& run, const worker_epoch& from, hall_job*& job);

    hall_id m_hall{};
    std::map<worker_id, worker_record> m_workers;
    std::map<job_id, hall_job> m_jobs;
    std::map<organisation_id, resources> m_used;
    std::map<team_id, resources> m_team_used;
    std::map<template_id, run_estimate> m_estimates;
    resources m_capacity{};
    log_index m_applied_root_index{};
    claim_table m_claims;
    std::optional<hall_cordon> m_cordon;
    hall_changes m_changes;

  public:
    MSGPACK_DEFINE(m_hall, m_workers, m_jobs, m_used, m_team_used, m_estimates, m_capacity,
                   m_applied_root_index, m_claims, m_cordon)
};

} // namespace walkthread
