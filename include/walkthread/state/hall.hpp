#pragma once

/// @file
/// @brief The state machine of one hall: workers, jobs, tasks, reservations and claims.
///
/// Applying an entry checks it against the state, so that a plan made by a stale leader has no effect: no
/// host is over its size and no task is in two places, whoever proposed.
/// @since 0.1

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <walkthread/state/claims.hpp>
#include <walkthread/state/estimate.hpp>
#include <walkthread/state/model.hpp>

namespace walkthread
{

// ---------------------------------------------------------------------------------------------------------
// Records
// ---------------------------------------------------------------------------------------------------------

/// @brief Whether a worker gets work.
enum class worker_phase : std::uint8_t
{
    live = 0,
    draining = 1,    ///< leaving: keeps what it runs until it is moved or ends, gets nothing new
    quarantined = 2, ///< failed tasks of several jobs; gets nothing until probed
    probing = 3,     ///< gets one task, to see whether it works again
    lost = 4,        ///< its lease ran out
};

/// @brief Where a task is in its life.
enum class task_phase : std::uint8_t
{
    pending = 0,  ///< waits for a host
    placed = 1,   ///< reserved on a host; its start is not confirmed
    running = 2,  ///< the worker confirmed the start
    stopping = 3, ///< to be stopped; the host stays reserved until the worker confirms
    ended = 4,
};

/// @brief Why a task is stopped.
enum class stop_reason : std::uint8_t
{
    none = 0,
    cancelled = 1, ///< its job was cancelled
    preempted = 2, ///< for urgent work
    drained = 3,   ///< its host is leaving
    gang = 4,      ///< another task of its gang was lost
    overused = 5,  ///< it used more than it declared for too long
};

/// @brief A task and its present run.
/// @since 0.1
struct task_record
{
    std::uint8_t phase{};
    std::uint8_t reason{};
    std::uint32_t run{}; ///< number of the present or last run; 0 before the first
    worker_id worker{};
    std::uint16_t port{};  ///< where a service's task answers
    bool checkpointed{};   ///< the next run goes on from a checkpoint
    bool preempted_once{}; ///< for fairness among victims
    wall_ms since{};       ///< start of the present phase
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

/// @brief A job as one hall runs it.
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
    std::uint32_t failures{}; ///< on hosts that are not quarantined
    wall_ms first_start{};    ///< 0 until the first task was confirmed running
    MSGPACK_DEFINE(spec, tasks, pending, on_hosts, ended, cancelled, outcome, failed_on, failures,
                   first_start)

    [[nodiscard]] bool over() const
    {
        return ended == tasks.size();
    }
    /// @brief Whether a task may run again after a run whose effect is not known. Complexity: constant.
    /// @since 0.6
    [[nodiscard]] bool may_run_again() const
    {
        return spec.repeatable || spec.workload() == workload_kind::service;
    }
    /// @brief Whether it failed on so many hosts that it gets no more of them.
    [[nodiscard]] bool held() const;
};

/// @brief A worker of the hall.
/// @since 0.1
struct worker_record
{
    worker_id id{};
    rack_id rack{};
    std::string address{}; ///< IP number
    std::uint16_t port{};
    resources size{};
    resources reserved{};
    epoch_id epoch{};
    std::uint8_t phase{};
    bool draining{};
    std::vector<task_id> tasks{};
    std::set<job_id> failed_jobs{}; ///< distinct jobs that failed here since the last success
    std::uint32_t quarantines{};
    wall_ms phase_since{};
    MSGPACK_DEFINE(id, rack, address, port, size, reserved, epoch, phase, draining, tasks, failed_jobs,
                   quarantines, phase_since)

    [[nodiscard]] worker_phase state() const
    {
        return static_cast<worker_phase>(phase);
    }
    /// @brief What may still be placed here; nothing when the worker gets no work.
    [[nodiscard]] resources free() const;
};

// ---------------------------------------------------------------------------------------------------------
// Commands
// ---------------------------------------------------------------------------------------------------------

/// @brief A worker announces itself, and that nothing runs there from the epoch `previous` or an earlier one.
/// A copy that was delayed on its way names an older epoch, and must free nothing.
struct register_worker
{
    worker_id worker{};
    rack_id rack{};
    std::string address{};
    std::uint16_t port{};
    resources size{};
    epoch_id previous{};          ///< the worker's last epoch; 0 if it does not know
    std::vector<run_id> untold{}; ///< runs placed there which nobody told it to start: they never began
    MSGPACK_DEFINE(worker, rack, address, port, size, previous, untold)
};

/// @brief A worker under one epoch.
struct worker_epoch
{
    worker_id worker{};
    epoch_id epoch{};
    MSGPACK_DEFINE(worker, epoch)
};

/// @brief Workers whose lease has surely run out.
struct lose_workers
{
    std::vector<worker_epoch> workers{};
    std::vector<run_id> untold{}; ///< runs placed there which nobody told them to start: they never began
    MSGPACK_DEFINE(workers, untold)
};

/// @brief Starts or ends draining of workers.
struct drain_workers
{
    std::vector<worker_id> workers{};
    bool draining{};
    MSGPACK_DEFINE(workers, draining)
};

/// @brief Lets quarantined workers try one task.
struct probe_workers
{
    std::vector<worker_id> workers{};
    MSGPACK_DEFINE(workers)
};

/// @brief Takes jobs from root.
struct admit_jobs
{
    log_index root_index{}; ///< root's log position at which the jobs were seen
    std::vector<job_spec> jobs{};
    MSGPACK_DEFINE(root_index, jobs)
};

/// @brief Cancels jobs, any number at once.
struct cancel_hall_jobs
{
    std::vector<job_id> jobs{};
    MSGPACK_DEFINE(jobs)
};

/// @brief Drops jobs that root knows to have ended.
struct forget_jobs
{
    log_index root_index{};
    std::vector<job_id> jobs{};
    MSGPACK_DEFINE(root_index, jobs)
};

/// @brief One task on one host.
struct placement
{
    run_id run{};
    worker_id worker{};
    epoch_id epoch{};
    MSGPACK_DEFINE(run, worker, epoch)
};

/// @brief Places tasks. A gang's tasks stand together and take effect together or not at all.
struct place_tasks
{
    std::vector<placement> placements{};
    MSGPACK_DEFINE(placements)
};

/// @brief What a worker says of a run.
enum class run_event : std::uint8_t
{
    started = 0,
    completed = 1,
    failed = 2,
    stopped = 3,      ///< stopped as asked, without a checkpoint
    checkpointed = 4, ///< stopped as asked, with a checkpoint
    accepted = 5,     ///< taken by the worker, not started yet; changes nothing
};

/// @brief A worker's word on one run.
struct run_report
{
    run_id run{};
    worker_epoch from{};
    std::uint8_t event{};
    std::uint16_t port{};
    MSGPACK_DEFINE(run, from, event, port)
};

/// @brief Words of workers, batched.
struct report_runs
{
    std::vector<run_report> reports{};
    MSGPACK_DEFINE(reports)
};

/// @brief One run to stop.
struct stop_order
{
    run_id run{};
    std::uint8_t reason{};
    MSGPACK_DEFINE(run, reason)
};

/// @brief Runs to stop, batched.
struct stop_runs
{
    std::vector<stop_order> orders{};
    MSGPACK_DEFINE(orders)
};

using hall_command =
    std::variant<register_worker, lose_workers, drain_workers, probe_workers, admit_jobs, cancel_hall_jobs,
                 forget_jobs, place_tasks, report_runs, stop_runs, claim_request, settle_claim>;

/// @brief What a hall command did.
/// @since 0.1
struct hall_result
{
    int code{};              ///< a state_code; 0 when it took effect
    epoch_id epoch{};        ///< of register_worker
    std::uint32_t applied{}; ///< placements that took effect
    claim_result claim{};
    MSGPACK_DEFINE(code, epoch, applied, claim)
};

/// @brief What changed since the owner last looked; kept by the state so that nothing scans it.
/// @since 0.1
struct hall_changes
{
    std::vector<worker_id> workers{};
    std::vector<job_id> jobs{};
    std::vector<job_id> ended{};
    std::uint64_t services{}; ///< grows with each change of a service's endpoints
};

// ---------------------------------------------------------------------------------------------------------
// The state machine
// ---------------------------------------------------------------------------------------------------------

/// @brief The state of one hall.
/// @since 0.1
class hall_state
{
  public:
    /// @brief Distinct jobs failing in a row on one host before it is quarantined.
    static constexpr std::size_t quarantine_after = 3;
    /// @brief Distinct hosts on which a job may fail before it is held.
    static constexpr std::size_t hold_after = 3;
    /// @brief Failures after which a job is held where there are too few hosts for that.
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
    /// @brief Sizes of all workers that have a lease, draining ones included.
    [[nodiscard]] const resources& capacity() const
    {
        return m_capacity;
    }
    /// @brief What an organisation has reserved. Complexity: logarithmic.
    [[nodiscard]] resources used_by(organisation_id organisation) const;
    /// @brief What a team has reserved. Complexity: logarithmic.
    [[nodiscard]] resources used_by(team_id team) const;
    /// @brief The learned run time of a template. Complexity: logarithmic.
    [[nodiscard]] run_estimate estimate_of(template_id id) const;
    /// @brief The newest position of root's log that this hall has acted on.
    [[nodiscard]] log_index root_seen() const
    {
        return m_root_seen;
    }
    [[nodiscard]] std::size_t claims() const
    {
        return m_claims.size();
    }
    /// @brief Takes what changed since the last call.
    [[nodiscard]] hall_changes take_changes();
    /// @brief Checks what must always hold, for tests. @return an empty string, or what is broken
    [[nodiscard]] std::string check() const;

    /// @brief The whole state as bytes. Complexity: linear in the state.
    [[nodiscard]] std::string save() const;
    /// @brief Replaces the state. @return whether the bytes were readable
    bool load(std::string_view bytes);

  private:
    hall_result run(wall_ms at, const register_worker& command);
    hall_result run(wall_ms at, const lose_workers& command);
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

    [[nodiscard]] bool may_place(const placement& p, const resources& already) const;
    [[nodiscard]] bool may_place_all(const std::vector<placement>& all, std::size_t first,
                                     std::size_t last) const;
    void reserve(wall_ms at, const placement& p);
    void release(wall_ms at, hall_job& job, std::uint32_t index, task_phase next);
    void apply_report(wall_ms at, const run_report& report);
    void end_well(wall_ms at, hall_job& job, std::uint32_t index);
    void end_stopped(wall_ms at, hall_job& job, std::uint32_t index, bool checkpointed);
    void end_failed(wall_ms at, hall_job& job, std::uint32_t index);
    void end_lost(wall_ms at, hall_job& job, std::uint32_t index, bool untold);
    void order_stop(wall_ms at, hall_job& job, std::uint32_t index, stop_reason reason);
    void stop_gang(wall_ms at, hall_job& job);
    void cancel(wall_ms at, hall_job& job, job_outcome outcome);
    void quarantine(wall_ms at, worker_record& worker);
    void set_phase(wall_ms at, worker_record& worker, worker_phase phase);
    void release_all(wall_ms at, worker_record& worker, const std::vector<run_id>& untold);
    void touch(const hall_job& job);
    task_record* find_run(const run_id& run, const worker_epoch& from, hall_job*& job);

    hall_id m_hall{};
    std::map<worker_id, worker_record> m_workers;
    std::map<job_id, hall_job> m_jobs;
    std::map<organisation_id, resources> m_used;
    std::map<team_id, resources> m_team_used;
    std::map<template_id, run_estimate> m_estimates;
    resources m_capacity{};
    log_index m_root_seen{};
    claim_table m_claims;
    hall_changes m_changes;

  public:
    MSGPACK_DEFINE(m_hall, m_workers, m_jobs, m_used, m_team_used, m_estimates, m_capacity, m_root_seen,
                   m_claims)
};

} // namespace walkthread
