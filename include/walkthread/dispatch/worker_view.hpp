#pragma once

/// @file
/// @brief What the leader knows of a worker besides the replicated state: its clock, its lease, its health.
/// @since 0.2

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <walkthread/dispatch/backlog_window.hpp>
#include <walkthread/dispatch/first_polls.hpp>
#include <walkthread/dispatch/gang_reservations.hpp>
#include <walkthread/dispatch/gathering.hpp>
#include <walkthread/dispatch/mechanisms.hpp>
#include <walkthread/dispatch/objective.hpp>
#include <walkthread/dispatch/orders.hpp>
#include <walkthread/dispatch/worker_contact.hpp>
#include <walkthread/dispatch/worker_lease.hpp>
#include <walkthread/dispatch/worker_probation.hpp>
#include <walkthread/units/time.hpp>

namespace walkthread
{

/// @brief Timeouts and limits of the dispatcher. The defaults suit the supported platform; settings may
/// override them.
/// @since 0.2
struct dispatch_settings
{
    mechanism_set mechanisms;                  ///< which policies are on
    state_limits state = make_state_limits(0); ///< on the size of the replicated state
    milliseconds lease{4500};     ///< longer than an election, so that a new leader renews leases in time
    milliseconds max_lease{6000}; ///< workers cut longer leases to this; from the platform's settings
    milliseconds late_order_limit{
        12000}; ///< an unanswered order may still be carried out until then; limit of the platform
    double clock_drift = 0.02;      ///< maximum rate error of a worker's clock; limit of the platform
    milliseconds poll_wait{1000};   ///< a poll waits that long for the end of a run: well under the lease
    milliseconds poll_overdue{200}; ///< after `poll_wait`: the host is used last for new work
    milliseconds poll_timeout{700}; ///< after `poll_wait`, until a poll times out
    /// If a larger share of polls of live workers is lost, polls are short; it stays below while a tenth of
    /// the workers is unresponsive.
    double poll_loss_threshold = 0.015;
    /// A lost poll then leaves a worker's state unknown for 0.4 s instead of 1.9 s; urgent runs end every
    /// 0.15 s.
    milliseconds short_poll_wait{200};
    milliseconds short_poll_timeout{200}; ///< an answer takes a few milliseconds, a lost packet 0.2 s
    /// Maximum number of concurrent polls; from the limit on file descriptors.
    std::size_t poll_connections{SIZE_MAX};
    /// Poll interval of workers without runs if there are fewer connections than workers.
    milliseconds idle_poll_interval{5000};
    milliseconds poll_retry_delay{150}; ///< after an unanswered poll
    first_poll_settings first_polls{};  ///< pace of a new leader
    /// A poll that fails sooner was refused, or its connection broke, which takes a few milliseconds: a
    /// silent host fails it by a timeout, the shortest of which is `short_poll_timeout`.
    milliseconds refusal_time{150};
    milliseconds start_window{2500};     ///< a worker refuses an order to start that arrives later
    milliseconds order_retry_delay{250}; ///< before an unanswered order is sent again
    int max_start_attempts = 3;          ///< unanswered orders before the run is stopped instead
    int max_unsent_attempts = 3;      ///< orders that could not be sent before the task is placed elsewhere
    milliseconds suspect_after{1300}; ///< without contact for that long: nothing new is placed there
    /// @brief A worker without contact for that long is silent: it is only polled.
    [[nodiscard]] duration silent_after() const
    {
        return suspect_after + poll_wait;
    }
    /// A ticket is not used if it expires sooner: time for the commit and the transfer.
    milliseconds ticket_margin{150};
    milliseconds advice_interval{60};     ///< minimum time between two queries for one step
    milliseconds advice_retry_delay{250}; ///< after a query without an answer
    timeliness_thresholds timeliness_limits{};
    /// Between passes over steps that are not urgent: their objectives are seconds, and such passes take most
    /// of the leader's time.
    milliseconds full_pass_interval{20};
    /// Work that workers can take starts within this time; limit of the platform.
    milliseconds start_bound{3000};
    milliseconds start_reserve{1000};    ///< part of `start_bound` for a query of the advisor and the start
    probation_settings probation{};      ///< of workers on which runs fail
    milliseconds unhealthy_backoff{800}; ///< after a worker reported that it can't start anything
    milliseconds stall_timeout{
        2500}; ///< a run without progress for that long, and for three times the usual interval, is stalled
    /// Until a new pace has an effect: tail latencies cover the last half second.
    milliseconds pace_settling_time{600};
    milliseconds pace_rise_interval{1500}; ///< between increases: the interference changes within seconds
    /// Filling tasks are paused once the tail latency is over its target for that long; less than half of the
    /// platform's limit.
    milliseconds over_target_tolerance{1800};
    milliseconds colocation_poll_wait{400}; ///< for polls of hosts with both serving and filling tasks
    /// A task that started within this time before the crash of its host is a likely cause, as such tasks
    /// crash at their start; half of the shortest usual run.
    milliseconds startup_crash_window{500};
    /// `startup_crash_window` plus the commit and the transfer to the host.
    milliseconds suspect_watch_period{700};
    /// Before a draining worker leaves, runs that lose nothing by it are stopped: lasting ones and those with
    /// checkpoints.
    milliseconds drain_stop_lead{1000};
    /// For a worker that may leave before its lease ends; its last runs are known to be over after that time.
    /// One lost poll does not end it: two waits and one timeout are shorter.
    milliseconds leaving_lease{1800};
    milliseconds leaving_poll_wait{400}; ///< for polls of such a worker
    milliseconds final_retention{
        150000}; ///< final submissions are kept for that long; more than the platform's limit
    /// A poll sent that long after the platform accepted the maintenance of a host reaches its next
    /// incarnation: all runs there are killed at once, and a call takes 1 to 3 ms.
    milliseconds maintenance_effect_delay{300};
    /// A host that can't be drained for that long lets others go first: by then long-running tasks are at
    /// work again elsewhere if possible.
    milliseconds maintenance_blocked_timeout{2000};
    /// A host has had no worker for that long: five times the maintenance time of the platform.
    milliseconds maintenance_lost_timeout{10000};
    /// Stops sent by an earlier leader are carried out by then: the platform allows 400 ms.
    milliseconds stop_effect_delay{600};
    gathering_limits gathering{};
    reservation_settings reservations{}; ///< of capacity for gangs
    /// Organisations compete for capacity: those that run less than their share go first.
    bool contended_pool = false;
    backlog_settings backlog{}; ///< of the examination of waiting steps
    /// From first being considered to the start: two queries, and gathering between them.
    milliseconds gang_lead_time{4000};
    /// Relative to the usual speed: urgent work uses slower hosts last; hosts differ by a factor of 1 to 1.3.
    double slow_speed_threshold = 0.88;
    /// A gang queries hosts until their total capacity, when empty, is that many times its tasks: about a
    /// third of it is free at a time.
    double gang_candidate_factor = 5.0;
    milliseconds hold_timeout{4000}; ///< a hold that has not grown for that long is released
    /// Maximum share of a pool's hosts held for large tasks at a time, but at least one host.
    double max_reserved_share = 0.35;
    /// With less slack, less urgent runs with checkpoints are stopped for the gang.
    milliseconds gang_preempt_slack{4500};
};

/// @brief A run as the leader sees it; the replicated state says that it may exist.
struct run_view
{
    monotonic_time sent{};                          ///< time of the last order to start it
    std::optional<monotonic_time> outcome_known_at; ///< when the worker gave a definite answer about it
    bool order_in_flight{};
    int tries{};           ///< orders to start that left this process
    int unsent_attempts{}; ///< orders to start that did not leave this process
    /// The command that records that it never began waits for its commit: no more orders are sent for it.
    bool never_began_pending{};
    bool stopping{};
    bool stop_in_flight{};
    monotonic_time stop_retry{};
    std::optional<monotonic_time> stop_outcome_known_at;
    std::string ticket;
    std::int32_t percent{};
    monotonic_time last_progress{}; ///< when the percentage last increased
    std::string checkpoint;
    std::int32_t pace = 100; ///< the percentage of full speed that it was told to run at
    bool pace_in_flight{};
    bool carried_over{}; ///< its order was for a former incarnation with the same id, and may still reach
                         ///< this one
    bool listed{};       ///< in the last poll answer
    bool inherited{};    ///< started by an earlier leader
};

/// @brief A worker's incarnation as the leader sees it.
/// @since 0.2
struct worker_view
{
    worker_incarnation_id id{};
    bool answered{};                     ///< it has answered with this leader's fencing token
    bool awaits_first_poll{};            ///< it is in the queue of first polls
    worker_contact contact;              ///< whether it can be reached
    monotonic_time answered_poll_sent{}; ///< send time of the newest poll that was answered
    worker_lease lease;                  ///< its clock, and the leases that it may hold
    bool poll_in_flight{};
    monotonic_time poll_sent{};
    monotonic_time poll_due{};
    bool ends_commit_pending{}; ///< ends of runs wait for their commit, and the next poll waits for that
    bool drop_proposed{};       ///< a command that drops it is proposed
    /// A command that records the last state of its runs, or that it answers again, waits for its commit.
    bool status_commit_pending{};
    bool draining{};
    monotonic_time leaves_at{};   ///< while draining: it does not leave earlier
    monotonic_time avoid_until{}; ///< it could not start a run: gets nothing new until then
    worker_probation probation;
    std::uint32_t serving{}; ///< tasks with a latency target in the last poll answer
    /// Filling tasks (best-effort tasks that use spare capacity) in the last poll answer.
    std::uint32_t filling{};
    std::optional<monotonic_time> over_target_since; ///< a tail latency has been over its target since then
    std::int32_t filler_pace = 100;                  ///< percentage of full speed for filling tasks
    monotonic_time pace_changed{};
    double speed = 1.0;       ///< learned from run times relative to the expected ones
    resources planned{};      ///< resources of starts that wait for their commit
    std::uint64_t sequence{}; ///< of the newest report
    bool reported{};    ///< to this leader; before that, only the replicated state tells whether it leaves
    bool start_noted{}; ///< a start before its first report to this leader was logged
    std::map<run_ref, run_view> runs;
    /// Runs of gangs that were ended here because another member was lost.
    std::map<step_ref, std::uint32_t> broken_gangs;
    /// Unanswered orders to start, with the time when they were found to be so.
    std::map<run_ref, monotonic_time> unanswered_starts;

    /// @brief Records that a run of a gang was ended here because another member was lost; its other members
    /// here end as well.
    void record_broken_gang(const run_ref& run);
    /// @brief Whether a run was ended here for that reason, as far as the host has reported. Complexity:
    /// logarithmic in the number of such gangs.
    [[nodiscard]] bool ended_with_gang(const run_ref& run) const;
    /// @brief Takes over the runs that a former incarnation with the same id was told to start: orders for
    /// that incarnation may have reached this one, or may still do so.
    /// @param settings define for how long
    void carry_over(const worker_view& former, monotonic_time now, const dispatch_settings& settings);
    /// @brief Whether it is unknown for any run that a former incarnation was told to start whether it is
    /// here.
    [[nodiscard]] bool has_unresolved_runs() const;
    /// @brief Whether stops that prevent such runs are unanswered.
    [[nodiscard]] bool has_pending_stops() const;
    /// @brief Whether it is unknown for any unanswered start whether it was carried out.
    [[nodiscard]] bool has_unresolved_start() const;
};

} // namespace walkthread
