#pragma once

/// @file
/// @brief The leader's scheduling logic: places tasks on workers, polls the workers and records outcomes.
///
/// Has no side effects of its own: the current time is an argument or comes with an answer, and all I/O goes
/// through `dispatch_hooks`. The replicated state changes only by commands that are proposed here.
/// @since 0.2

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include <walkthread/dispatch/advice_cache.hpp>
#include <walkthread/dispatch/backlog_window.hpp>
#include <walkthread/dispatch/candidate.hpp>
#include <walkthread/dispatch/capacity_forecast.hpp>
#include <walkthread/dispatch/departure_proof.hpp>
#include <walkthread/dispatch/dispatch_counters.hpp>
#include <walkthread/dispatch/doubtful_host.hpp>
#include <walkthread/dispatch/drop_blocker.hpp>
#include <walkthread/dispatch/freed_capacity_log.hpp>
#include <walkthread/dispatch/gang_wait_times.hpp>
#include <walkthread/dispatch/host_table.hpp>
#include <walkthread/dispatch/lost_runs.hpp>
#include <walkthread/dispatch/objective.hpp>
#include <walkthread/dispatch/orders.hpp>
#include <walkthread/dispatch/organisation_shares.hpp>
#include <walkthread/dispatch/queue_pools.hpp>
#include <walkthread/dispatch/suspect_isolation.hpp>
#include <walkthread/dispatch/unconfirmed_submissions.hpp>
#include <walkthread/dispatch/waiting_demand.hpp>
#include <walkthread/dispatch/worker_view.hpp>
#include <walkthread/observe/decision_log.hpp>
#include <walkthread/workload/workload_state.hpp>

namespace walkthread
{

/// @brief Schedules tasks on workers. One object serves one term of leadership.
/// @since 0.2
class dispatcher
{
  public:
    /// @param state the replicated state, read only
    /// @param fence this leader's term
    dispatcher(const workload_state& state, dispatch_settings settings, dispatch_hooks hooks,
               decision_log& log, std::uint64_t fence, monotonic_time now);

    /// @brief Handles a worker's report. An incarnation that is not known yet is proposed first.
    /// @param done called with true once the report is accepted and its incarnation is in the replicated
    /// state, with false if the worker has to report again
    void handle_report(const worker_report& report, monotonic_time now,
                       const std::function<void(bool)>& done);
    /// @brief Handles a notice that a worker is shutting down now. It is a hint only, as it names no
    /// incarnation and its sender may still be running: the address is polled at once.
    void handle_leave(const std::string& id, const std::function<void(bool)>& done);
    /// @brief Runs one scheduling pass: urgent and long-running steps each time, the others once per
    /// `dispatch_settings::full_pass_interval`. Complexity: at most the steps considered times the workers.
    void pass(monotonic_time now, wall_ms wall);
    /// @brief The latest time at which `pass` has to be called again.
    [[nodiscard]] monotonic_time next_pass(monotonic_time now) const;

    /// @brief Calls `then` once all run ends that workers listed for this submission are committed, so that a
    /// read that arrives after an end reflects it. Calls it at once if there are none to commit, and when the
    /// term ends.
    void after_ends_committed(submission_id id, std::function<void()> then);

    /// @brief The number of submissions of a queue none of whose tasks is known to have started on a worker.
    /// Complexity: linear in the submissions whose first start orders are not confirmed.
    [[nodiscard]] std::uint32_t pending(const std::string& queue) const;

    /// @brief The hosts with capacity for a step that it leaves alone for now, as it is likely to fail there.
    /// Complexity: linear in the workers.
    /// @param ref a ready step
    [[nodiscard]] std::vector<doubtful_host> doubtful_hosts(const step_ref& ref, monotonic_time now);

    [[nodiscard]] const dispatch_counters& counters() const
    {
        return m_counters;
    }
    /// @brief The number of runs recorded as running on workers that have not answered for longer than a
    /// lease; updated about once a second.
    [[nodiscard]] std::size_t runs_on_unresponsive_workers() const
    {
        return m_runs_on_unresponsive_workers;
    }
    /// @brief What organisations run against their shares; empty unless the pool is contended.
    [[nodiscard]] const std::map<std::string, organisation_share>& shares() const
    {
        return m_shares.shares();
    }
    /// @brief The number of workers on probation; updated about four times a second.
    [[nodiscard]] std::size_t workers_on_probation() const
    {
        return m_workers_on_probation;
    }
    [[nodiscard]] const std::map<worker_incarnation_id, worker_view>& views() const
    {
        return m_views;
    }

  private:
    using candidate = step_candidate;
    using offer = host_candidate;

    // dispatcher_views.cpp: the view of each incarnation of a worker
    void sync_views(monotonic_time now);
    void sync_all_views(monotonic_time now);
    void add_view(worker_incarnation_id id, monotonic_time now);
    [[nodiscard]] foreign_leases find_foreign_leases(const worker_incarnation& worker,
                                                     monotonic_time now) const;
    [[nodiscard]] worker_view make_view(const worker_incarnation& worker, monotonic_time now);

    // dispatcher.cpp: the scheduling pass and the order of the candidates
    void run_periodic_work(monotonic_time now, wall_ms wall);
    [[nodiscard]] candidate make_candidate(const step_ref& ref) const;
    [[nodiscard]] std::vector<candidate> order_candidates(wall_ms wall, bool all);
    [[nodiscard]] bool evaluate_candidate(candidate& item, wall_ms wall) const;
    [[nodiscard]] int rank(const candidate& item) const;
    [[nodiscard]] bool uses(mechanism which) const
    {
        return m_settings.mechanisms.on(which);
    }
    void expire_submissions(wall_ms wall);
    void log_waiting(monotonic_time now, wall_ms wall);
    void log_waiting_step(const step_ref& ref, const submission& owner, wall_ms waited_ms,
                          monotonic_time now);
    void log_unresponsive_worker(monotonic_time now);
    void find_suspected_racks();
    void log_waiting_gang(monotonic_time now, wall_ms wall);
    void log_closed_steps(monotonic_time now);
    void stop_unwanted_runs(monotonic_time now);
    void follow_moved_queues(monotonic_time now);
    void propose_starts(const candidate& item, const std::vector<planned_start>& starts,
                        const std::vector<std::string>& tickets, monotonic_time now);
    void log_event(monotonic_time now, std::string_view event, std::string_view subject,
                   std::initializer_list<log_field> fields);

    // dispatcher_reports.cpp: worker reports and the admission of incarnations
    [[nodiscard]] bool has_known_pool(const worker_report& report) const;
    [[nodiscard]] bool lacks_start_time(const worker_report& report) const;
    void handle_known_report(worker_view& view, const worker_report& report, monotonic_time now);
    void record_leaving(const worker_incarnation& known, const worker_report& report,
                        const std::function<void(bool)>& done);
    void verify_incarnation(const worker_report& report, worker_incarnation_id present,
                            const std::function<void(bool)>& done);
    void admit(const worker_report& report, const poll_answer& answer, const std::function<void(bool)>& done);

    // dispatcher_departures.cpp: workers that leave
    [[nodiscard]] bool may_leave_soon(const worker_view& view, monotonic_time now) const;
    [[nodiscard]] milliseconds lease_for(const worker_view& view, monotonic_time now) const;
    [[nodiscard]] bool is_leaving(const worker_view& view) const;
    [[nodiscard]] bool may_still_run(const worker_view& view, monotonic_time now) const;
    bool handle_departure(worker_view& view, const poll_answer& answer, monotonic_time sent,
                          monotonic_time now);
    void record_departure(worker_view& view, departure_proof proof, monotonic_time now);

    // dispatcher_place.cpp: choice of workers
    [[nodiscard]] std::uint32_t permitted_tasks(const candidate& item) const;
    [[nodiscard]] std::uint32_t tasks_within_memory(const candidate& item) const;
    bool place(candidate& item, monotonic_time now);
    bool place_individually(candidate& item, monotonic_time now);
    void update_typical_speed();
    [[nodiscard]] bool is_eligible(const candidate& item, const host_row& row) const;
    [[nodiscard]] std::string_view ticket_for(const candidate& item, worker_incarnation_id worker,
                                              monotonic_time now);
    [[nodiscard]] resources available_resources(const candidate& item, const host_row& row,
                                                monotonic_time now) const;
    [[nodiscard]] std::uint32_t slots(const candidate& item, worker_incarnation_id worker,
                                      const resources& room) const;
    [[nodiscard]] std::uint32_t waiting_tasks(const candidate& item) const;
    [[nodiscard]] bool has_waiting_tasks(const candidate& item) const;
    [[nodiscard]] bool recently_scanned(const candidate& item, monotonic_time now) const;
    [[nodiscard]] std::vector<offer> find_offers_on_freed_hosts(candidate& item, monotonic_time now);
    void plan_tasks(const candidate& item, std::vector<offer>& offers, std::vector<planned_start>& starts,
                    std::vector<std::string>& tickets, std::uint32_t& left) const;
    bool plan_crash_suspects(const candidate& item, std::vector<offer>& offers,
                             std::vector<planned_start>& starts, std::vector<std::string>& tickets,
                             std::uint32_t& left, monotonic_time now) const;
    [[nodiscard]] std::tuple<int, bool, std::size_t> crash_suspect_cost(const candidate& item, const offer& o,
                                                                        monotonic_time now) const;
    [[nodiscard]] std::vector<offer> find_offers_to_query(const candidate& item, std::uint32_t need,
                                                          monotonic_time now);
    [[nodiscard]] std::map<worker_incarnation_id, std::uint32_t> placed_tasks(const candidate& item) const;
    [[nodiscard]] int suspicion_penalty(const candidate& item, const host_row& row, monotonic_time now) const;
    [[nodiscard]] offer make_offer(const candidate& item, const host_row& row, monotonic_time now);
    [[nodiscard]] std::vector<offer> find_offers(const candidate& item, monotonic_time now);
    [[nodiscard]] std::vector<offer> find_approved_offers(const candidate& item, monotonic_time now);
    [[nodiscard]] std::vector<offer> find_startable_offers(const candidate& item, monotonic_time now);
    [[nodiscard]] bool is_approved(const candidate& item, worker_incarnation_id worker);
    [[nodiscard]] static bool is_startable(const candidate& item, const offer& o);
    [[nodiscard]] bool preserves_large_slots(const resources& room, const resources& need) const;

    // dispatcher_doubtful_hosts.cpp: hosts on which work may fail, used only if no others take it in time
    void prepare_offers(candidate& item, monotonic_time now);
    [[nodiscard]] std::set<worker_incarnation_id> workers_with_failures(const candidate& item);
    [[nodiscard]] bool has_other_hosts(const candidate& item, const std::set<worker_incarnation_id>& failed);
    [[nodiscard]] static host_doubt doubt_of(const candidate& item, const host_row& row);
    void note_doubtful_starts(const candidate& item, const std::vector<planned_start>& starts,
                              monotonic_time now);
    [[nodiscard]] static std::uint32_t trial_slots(const candidate& item, const worker_view& view,
                                                   std::uint32_t room, monotonic_time now);
    [[nodiscard]] duration wait_for_other_hosts(const candidate& item, const host_row& row) const;
    [[nodiscard]] bool may_use_soon(const candidate& item, const host_row& row) const;

    // dispatcher_gangs.cpp: steps whose tasks all start together
    bool place_gang(candidate& item, monotonic_time now);
    [[nodiscard]] bool has_crash_suspects(const candidate& item) const;
    [[nodiscard]] bool has_suspect_in_backoff(const candidate& item, monotonic_time now) const;
    [[nodiscard]] bool start_gang(const candidate& item, monotonic_time now);
    void plan_gang_start(const candidate& item, std::vector<offer> offers, monotonic_time now);
    void update_large_task_size(const candidate& item);
    [[nodiscard]] static bool preserves_accelerators(const candidate& item, const offer& o);
    gang_wait hold_resources(const candidate& item, monotonic_time now);
    void log_gang_wait(const candidate& item, monotonic_time now);
    [[nodiscard]] bool may_gather(const candidate& item) const;
    [[nodiscard]] std::uint32_t held_tasks(const step_ref& ref) const;
    void set_hold(const step_ref& ref, capacity_hold next);
    void drop_hold(const step_ref& ref);
    void expire_holds(monotonic_time now);
    bool query_more_hosts(const candidate& item, monotonic_time now);
    void query_advisor_for_gang(const candidate& item, monotonic_time now);
    [[nodiscard]] std::vector<worker_incarnation_id>
    hosts_without_ticket(const candidate& item, const capacity_hold& hold, monotonic_time now);
    [[nodiscard]] milliseconds expected_query_time(const candidate& item, const capacity_hold& hold);

    // dispatcher_gang_reservations.cpp: reservations for gangs that have waited long
    [[nodiscard]] std::vector<candidate> gangs_by_waiting_time(const std::vector<candidate>& items,
                                                               monotonic_time now);
    [[nodiscard]] reservation_review begin_reservation_review(pool_number pool);
    void review_reservations(const std::vector<candidate>& items, monotonic_time now);
    [[nodiscard]] host_forecast forecast_host(const candidate& item, const offer& o,
                                              const std::map<step_ref, capacity_hold>& before,
                                              monotonic_time now);
    [[nodiscard]] std::optional<gang_reservation>
    find_reservation(const candidate& item, const std::map<step_ref, capacity_hold>& before,
                     monotonic_time now);
    [[nodiscard]] capacity_hold make_reservation(const candidate& item, const gang_reservation& found,
                                                 monotonic_time now);
    void set_reservations(std::map<step_ref, capacity_hold> next);
    [[nodiscard]] bool has_reservation(const step_ref& ref) const;
    [[nodiscard]] resources reserved_for_others(const candidate& item, worker_incarnation_id host,
                                                bool meantime, monotonic_time now) const;
    void query_advisor_for_reservation(const candidate& item, monotonic_time now);

    // dispatcher_window.cpp: how many waiting steps are examined; dispatcher_shares.cpp: organisations
    [[nodiscard]] bool is_within_window(const candidate& item);
    void count_in_window(const candidate& item);
    [[nodiscard]] resources expected_capacity(const candidate& item);
    void apply_shares(std::vector<candidate>& items, bool all);
    void log_shares(monotonic_time now);

    // dispatcher_priority.cpp: work that can wait leaves capacity to gangs
    void add_waiting_demand(const candidate& item);
    [[nodiscard]] bool leaves_capacity_to_gangs(const candidate& item);
    [[nodiscard]] bool is_idle(pool_number pool);

    // dispatcher_reserve.cpp: hosts reserved for large tasks
    void reserve_hosts(const candidate& item, std::uint32_t left, monotonic_time now);
    void query_large_hosts(const candidate& item, monotonic_time now);
    [[nodiscard]] std::size_t reserved_hosts(const candidate& item) const;
    [[nodiscard]] std::size_t max_reserved_hosts(const candidate& item);
    [[nodiscard]] std::vector<worker_incarnation_id>
    hosts_soon_free(const candidate& item, const capacity_hold& hold, monotonic_time now);
    [[nodiscard]] std::vector<run_forecast> forecast_runs(const offer& o) const;
    [[nodiscard]] std::optional<double> time_until_task_fits(const candidate& item, const offer& o) const;
    [[nodiscard]] std::optional<double> expected_remaining_ms(const run_ref& run,
                                                              const run_view& known) const;

    // dispatcher_advice.cpp: queries to the placement advisor
    void query_advisor(const candidate& item, std::uint32_t need, monotonic_time now);
    void renew_tickets(const candidate& item, monotonic_time now);
    [[nodiscard]] bool may_query_advisor(const candidate& item, bool pressing, monotonic_time now);
    void send_advisor_query(const candidate& item, std::vector<worker_incarnation_id> workers, bool pressing,
                            monotonic_time now);
    void handle_advice(const step_ref& ref, const std::string& queue,
                       const std::vector<worker_incarnation_id>& workers, const advice_answer& answer,
                       milliseconds validity);

    // dispatcher_preempt.cpp: preemption
    void preempt_for(const candidate& item, std::uint32_t need, monotonic_time now);
    std::uint32_t preempt_on(const candidate& item, const offer& o, const resources& room, std::uint32_t need,
                             monotonic_time now);
    [[nodiscard]] bool may_preempt(const candidate& item, const run_ref& run, const run_view& known) const;

    // dispatcher_polling.cpp: polls, leases, run ends; dispatcher_orders.cpp: starts, stops, retries
    void poll_workers(monotonic_time now);
    void send_first_polls(monotonic_time now);
    void poll_worker(worker_view& view, monotonic_time now);
    [[nodiscard]] bool may_poll_rarely(const worker_view& view) const;
    void poll_rarely(worker_view& view, monotonic_time now) const;
    [[nodiscard]] duration max_expected_silence() const;
    void poll_one_idle_worker(monotonic_time now);
    static void poll_promptly(worker_view& view, monotonic_time now);
    void record_poll_outcome(const worker_view& view, bool lost, monotonic_time now);
    [[nodiscard]] bool polls_often_lost() const
    {
        return m_poll_loss_rate > m_settings.poll_loss_threshold && uses(mechanism::short_looks);
    }
    void handle_poll_answer(worker_incarnation_id worker, const poll_answer& answer, monotonic_time sent,
                            monotonic_time now);
    void handle_restart(worker_view& view, const poll_answer& answer, monotonic_time now);
    [[nodiscard]] std::vector<lost_run>
    runs_lost_at_restart(const worker_view& former, const poll_answer& answer, monotonic_time now) const;
    void log_restart(const worker_view& former, process_start_ms process_start, std::string_view from,
                     monotonic_time now);
    void poll_new_incarnation(const worker_incarnation_ref& incarnation, monotonic_time now);
    void stop_possible_late_starts(worker_view& view, monotonic_time now);
    void apply_running(worker_view& view, const poll_answer& answer, monotonic_time now);
    void apply_ends(worker_view& view, const poll_answer& answer, monotonic_time sent, monotonic_time now);
    void handle_absent_runs(const std::set<run_ref>& absent);
    void begin_recording(const record_ends& command);
    void end_recording(const record_ends& command);
    void evaluate_end(worker_view& view, const reported_end& end, monotonic_time now);
    void drop_lost_workers(monotonic_time now);
    [[nodiscard]] duration expected_run_time(const run_ref& run) const;
    [[nodiscard]] static monotonic_time latest_loss_time(const worker_view& view, monotonic_time now);
    [[nodiscard]] std::vector<lost_run> runs_known_on(const worker_view& view,
                                                      std::optional<monotonic_time> lost_by) const;
    [[nodiscard]] bool gang_may_have_broken_earlier(const run_ref& run, monotonic_time lost_by,
                                                    worker_incarnation_id lost_with) const;
    [[nodiscard]] bool responded_since(const run_ref& run, worker_incarnation_id worker,
                                       monotonic_time then) const;
    [[nodiscard]] std::vector<lost_run> runs_lost_with(const worker_view& view, monotonic_time now) const;
    void save_last_known_runs(worker_view& view);
    void clear_last_known_runs(worker_view& view);
    void propose_last_known_runs(worker_view& view, std::vector<lost_run> runs);
    void log_lost_runs(const worker_view& view, const std::vector<lost_run>& lost, monotonic_time now);
    void log_poison_tasks(monotonic_time now);
    void drop_replaced_worker(worker_view& view, monotonic_time now);
    void drop_incarnation(worker_view& view, std::string_view reason, bool for_good, monotonic_time now);
    void send_start(worker_incarnation_id worker, const run_ref& run, monotonic_time now);
    void note_start(worker_view& view, const run_ref& run, monotonic_time now);
    [[nodiscard]] bool may_still_start(const worker_view& view, const run_ref& run) const;
    void send_recorded_starts(const record_starts& recorded, const std::vector<std::string>& tickets,
                              monotonic_time now);
    void handle_start_answer(worker_incarnation_id worker, const run_ref& run, const order_answer& answer,
                             monotonic_time now);
    void handle_unsent_start(worker_view& view, const run_ref& run, order_outcome outcome,
                             monotonic_time now);
    static void record_unsent_call(worker_view& view, order_outcome outcome, monotonic_time now);
    void send_stop(worker_view& view, const run_ref& run, monotonic_time now);
    void handle_stop_answer(worker_incarnation_id worker, const run_ref& run, const order_answer& answer,
                            monotonic_time now);
    void retry_orders(monotonic_time now);
    void check_stalled_runs(monotonic_time now);
    void end_run(worker_incarnation_id worker, const run_ref& run, run_end how, monotonic_time now);
    void stop_rest_of_gang(const run_ref& run, monotonic_time now);
    [[nodiscard]] worker_address address_of(worker_incarnation_id worker) const;
    worker_view* view_of(worker_incarnation_id worker);

    // dispatcher_colocation.cpp: filling tasks on hosts with serving tasks
    void pace_fillers(worker_view& view, const poll_answer& answer, monotonic_time now);
    void slow_fillers(worker_view& view, monotonic_time now);
    void send_paces(worker_view& view, monotonic_time now);
    [[nodiscard]] bool may_stop_long_running(const run_ref& run);
    [[nodiscard]] bool at_full_pace(const task_ref& ref);

    // dispatcher_maintenance.cpp: host maintenance
    void advance_maintenance_waves(monotonic_time now, wall_ms wall);
    [[nodiscard]] bool missing_in_maintenance(const std::string& host, monotonic_time now);
    [[nodiscard]] bool drain_blocked(const std::string& host, monotonic_time now);
    [[nodiscard]] std::set<std::string> choose_maintenance_hosts(const maintenance_wave& wave,
                                                                 monotonic_time now);
    void advance_wave(const maintenance_wave& wave, monotonic_time now, wall_ms wall);
    void confirm_return(const maintenance_wave& wave, const worker_incarnation& worker, monotonic_time now);
    bool drain_host(const worker_incarnation& worker, monotonic_time now, bool force_stop);

    const workload_state& m_state;
    dispatch_settings m_settings;
    dispatch_hooks m_hooks;
    decision_log& m_log;
    std::uint64_t m_fence; ///< the term
    monotonic_time m_term_start;
    wall_ms m_wall{};
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< until the end of the term

    std::map<worker_incarnation_id, worker_view> m_views;
    std::uint64_t m_synced_version = 0;
    monotonic_time m_periodic_work_due{};
    monotonic_time m_waiting_log_due{};                      ///< next log line about the longest waiting step
    std::map<std::string, monotonic_time> m_suspected_racks; ///< when a host there was last suspected
    std::size_t m_runs_on_unresponsive_workers = 0;          ///< on workers silent for longer than a lease
    std::size_t m_workers_on_probation = 0;
    contact_streak m_contact_history;
    monotonic_time m_review_due{};
    pass_schedule m_schedule;
    queue_pools m_queue_pools;
    double m_poll_loss_rate = 0.0; ///< moving average of the share of polls that got no answer
    first_poll_queue m_first_polls;
    double m_typical_speed = 1.0; ///< median speed of the faster half of the hosts
    turnover_time m_turnover;
    organisation_shares m_shares;
    backlog_windows m_windows;                           ///< of this pass
    std::map<task_ref, worker_incarnation_id> m_planned; ///< starts that are being committed
    std::uint64_t m_planned_bytes = 0;                   ///< size that these starts add to the state, at most
    std::map<std::string, resources> m_planned_by_organisation; ///< resources of these starts by organisation
    unconfirmed_submissions m_unconfirmed;
    advice_cache m_advice;
    run_time_estimator m_objectives;
    std::map<step_ref, capacity_hold> m_holds;               ///< capacity holds and reservations
    std::map<step_ref, monotonic_time> m_hold_backoff_until; ///< back-off of gangs whose hold expired
    std::map<step_ref, monotonic_time> m_gang_retry_at; ///< next placement attempt of gangs without a hold
    std::map<step_ref, monotonic_time> m_gang_waiting_since; ///< waiting gangs, and since when they wait
    gang_wait_times m_gang_wait_times;
    waiting_demand m_waiting_demand;
    std::map<pool_number, bool> m_idle_pools; ///< whether most of a pool is idle, as evaluated in this pass
    monotonic_time m_gang_review_due{};
    std::set<step_ref> m_gangs_short_of_hosts; ///< overdue gangs with too few approved hosts
    std::map<worker_incarnation_id, std::vector<step_ref>> m_reserved_on; ///< gangs with a reservation there
    std::map<step_ref, monotonic_time> m_last_preemption;                 ///< last preemption for a step
    resources m_large_task{};                                             ///< typical size of a gang's task
    std::set<std::string> m_admitting_hosts; ///< hosts whose incarnations are being admitted
    std::set<std::string> m_maintenance_in_flight;
    std::map<std::string, monotonic_time> m_maintenance_retry;
    std::map<std::string, monotonic_time> m_maintenance_accepted; ///< when the platform accepted an order
    std::map<std::string, monotonic_time> m_maintenance_absent; ///< since when a host of a wave has no worker
    std::map<std::string, monotonic_time> m_drain_blocked_since; ///< since when a host may not be drained
    std::set<std::string> m_maintenance_overtaken; ///< ordered hosts that no longer delay the others
    std::set<std::string> m_maintenance_hosts;     ///< hosts being drained for maintenance
    host_table m_hosts;
    suspect_isolation m_suspects;
    freed_capacity_log m_freed_hosts; ///< hosts on which capacity became free
    std::map<step_ref, waiting_step> m_waiting;
    /// Steps with waiting tasks: when this leader first considered them after the last start or end.
    std::map<step_ref, monotonic_time> m_unplaced_since;
    /// Run ends of one submission that are being committed.
    struct pending_ends
    {
        std::size_t entries{};
        std::vector<std::function<void()>> waiting;
    };
    std::map<submission_id, pending_ends> m_pending_ends;
    std::uint64_t m_poison_tasks_logged; ///< how many poison tasks were logged so far
    std::size_t m_closed_steps_logged = 0;
    bool m_expiry_in_flight = false;
    dispatch_counters m_counters;

  public:
    ~dispatcher();
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;
};

} // namespace walkthread
