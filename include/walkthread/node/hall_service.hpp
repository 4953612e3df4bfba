#pragma once

/// @file
/// @brief One hall's group at one process, and the tasks of its leader: leases, scheduling, orders to
/// workers.
/// @since 0.1

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <walkthread/node/core.hpp>
#include <walkthread/node/root_service.hpp>
#include <walkthread/policy/lease_table.hpp>
#include <walkthread/policy/scheduler.hpp>
#include <walkthread/policy/usage_monitor.hpp>

namespace walkthread
{

/// @brief One hall at one process. Used only on the core thread.
/// @since 0.1
class hall_service
{
  public:
    hall_service(process_core& core, root_service& root, hall_id hall);

    /// @brief Registers the hall's group with the core.
    void attach();
    [[nodiscard]] const hall_state& state() const
    {
        return m_state;
    }
    /// @brief Applies the platform's list of live and leaving hosts. The list is a hint and may lag.
    void apply_platform_list(const std::set<worker_id>& live, const std::set<worker_id>& leaving);

  private:
    /// State of a leader that is not replicated. Discarded when leadership ends.
    struct leader_state
    {
        leader_state(const settings& config, scheduler_settings policy);

        term_id term{};
        scheduler planner;
        lease_table leases;
        usage_monitor usage;
        bool plan_in_flight = false;
        bool reconcile_in_flight = false;
        bool root_changed = true;
        monotonic_time next_summary{};
        std::vector<run_report> reports;                    ///< to be proposed with the next log entry
        std::set<std::pair<run_id, std::uint8_t>> reported; ///< queued or proposed, not applied yet
        std::set<run_id> runs_to_throttle;                  ///< runs to throttle
        std::set<run_id> placed;                            ///< placed by this leader
        std::set<run_id> start_sent; ///< runs whose start order was in a reply of this leader
        std::set<run_id> withdrawn;  ///< reported as never started; commit pending
        std::map<run_id, monotonic_time> stop_first_seen; ///< when this leader first saw the stop
        std::map<job_id, std::uint64_t> service_revision;
        std::uint64_t revision = 1;
        std::set<worker_id> platform_drained;
    };
    /// A renewal (long poll) that is answered when there are orders, or at `until`.
    struct deferred_renewal
    {
        reply_handler handler;
        monotonic_time until{};
        std::vector<run_status> runs;
    };

    // hall_service.cpp
    std::string apply(wall_ms at, const std::string& command);
    void applied();
    void handle(const call_body& body, const reply_handler& handler);
    void tick(monotonic_time now, wall_ms wall);
    void start_leading(monotonic_time now);
    void stop_leading();
    void propose(const hall_command& command, std::function<void(bool, const hall_result&)> handler);
    void expire_leases(monotonic_time now);
    void record_placed(const place_tasks& command);
    [[nodiscard]] std::vector<run_id> withdraw_unsent(worker_id worker);
    void end_withdrawal(const std::vector<run_id>& runs);
    void probe_quarantined(wall_ms wall);
    void schedule_waiting_tasks(wall_ms wall);
    void reconcile_with_root();
    void report_ends(const std::vector<job_id>& ended);
    void send_summary(monotonic_time now);
    [[nodiscard]] scheduler_settings policy_settings() const;
    [[nodiscard]] std::map<team_id, resources> grants() const;
    void handle_endpoints(const endpoints_call& call, const reply_handler& handler);
    [[nodiscard]] service_endpoints endpoints_of(const hall_job& job) const;

    // hall_renewals.cpp
    void handle_renewal(const renew_call& call, const reply_handler& handler);
    void register_new(const renew_call& call, const reply_handler& handler);
    void process_statuses(const worker_record& worker, const renew_call& call, monotonic_time now);
    void process_status(const worker_record& worker, const run_status& status, monotonic_time now);
    void check_usage(const run_status& status, const hall_job& job, monotonic_time now);
    [[nodiscard]] renew_reply orders_for(const worker_record& worker, const std::vector<run_status>& runs,
                                         monotonic_time now);
    void answer_status(const worker_record& worker, const run_status& status, renew_reply& reply) const;
    void add_order(const task_id& id, bool known_to_worker, monotonic_time now, renew_reply& reply);
    [[nodiscard]] std::optional<halt_order> halt_for(const task_id& id, const hall_job& job,
                                                     monotonic_time now);
    void answer_deferred(worker_id worker, monotonic_time now);
    void answer_due_renewals(monotonic_time now);
    void flush_reports();
    [[nodiscard]] static bool has_orders(const renew_reply& reply);

    // hall_events.cpp
    void record_events(wall_ms at, const hall_command& command);
    void record_placements(const place_tasks& command);
    void record_reports(wall_ms at, const report_runs& command);
    void add_event(event_kind kind, const hall_job* job, worker_id worker, std::string text);

    process_core& m_core;
    root_service& m_root;
    hall_id m_hall;
    logger m_log;
    hall_state m_state;
    replicated_group* m_group = nullptr;
    std::unique_ptr<leader_state> m_leader_state;
    std::map<worker_id, deferred_renewal> m_deferred_renewals;
    std::uint64_t m_notified_services = 0;
};

} // namespace walkthread
