#pragma once

/// @file
/// @brief A process that hosts a replica of the workload group and may lead the group.
/// @since 0.2

#include <memory>
#include <optional>
#include <random>
#include <string>

#include <walkthread/dispatch/dispatcher.hpp>
#include <walkthread/fabric/advisor_query_queue.hpp>
#include <walkthread/fabric/fabric_node.hpp>
#include <walkthread/fabric/replica_host.hpp>
#include <walkthread/fabric/state_admission.hpp>
#include <walkthread/replication/join_policy.hpp>
#include <walkthread/workload/caller_access.hpp>

namespace walkthread
{

/// @brief The replicated group that holds the workload state.
inline constexpr group_id workload_group{0};

/// @brief Settings of a core node.
struct core_node_settings
{
    replica_settings replication{};
    milliseconds tick{40};                 ///< of the replica; less than half a heartbeat interval
    milliseconds join_retry_interval{300}; ///< how often a replica outside the membership asks to join
    milliseconds voter_timeout{
        2500}; ///< silence after which a learner may replace a voter; longer than an election
    milliseconds min_pass_interval{
        2}; ///< least time between passes, so that one pass handles several answers
    milliseconds member_review_interval{500}; ///< how often the leader checks for silent or lagging members
    milliseconds member_silence_limit{
        1200}; ///< silence after which a member is reported; longer than an election
    milliseconds lag_report_interval{1000};   ///< how often a lagging member is reported again
    std::uint64_t lag_report_threshold = 500; ///< in entries; about two seconds under load
    milliseconds leader_contact_limit{
        400}; ///< a replica with leader contact within this time has current worker
              ///< descriptions: above three heartbeats, below an election and a lease
    milliseconds leader_notice_window{
        5000}; ///< processes that queried within this time are notified of a new leader
    join_settings join_rules{};
    dispatch_settings dispatch{};
};

/// @brief A process with a replica. To be used from the event loop's thread only.
/// @since 0.2
class core_node final : public fabric_node
{
  public:
    core_node(boost::asio::io_context& loop, fabric_settings settings, core_node_settings core_settings,
              platform_hooks hooks, decision_log& log, std::function<void(const storage_error&)> stop);
    ~core_node() override;

    /// @brief Opens the data folder and starts.
    /// @return an error message, or an empty string on success
    std::string start() override;
    void prepare_stop() override;
    /// @brief Whether this process no longer leads, so that it may exit.
    [[nodiscard]] bool may_exit() const;
    void fill(metrics_page& page) const override;
    [[nodiscard]] caller_limits limits_of_callers() const override;

  protected:
    void receive(const std::string& from, mesh_message message) override;
    bool handle_locally(const service_call& body, const call_handler& handler) override;
    void query_leader(monotonic_time now) override;
    [[nodiscard]] std::optional<service_reply> try_answer_locally(const service_call& body,
                                                                  monotonic_time now) const override;
    [[nodiscard]] std::uint64_t known_term() const override
    {
        const replica& core = m_replica->group().core();
        return core.leader().node.value() != 0 ? core.term().value() : m_watch.term();
    }

  private:
    // core_node.cpp: the replica, leadership; core_members.cpp: peers, membership; core_metrics.cpp: metrics
    void open_group(std::unique_ptr<data_folder> folder);
    void changed();
    void begin_leading(monotonic_time now);
    void end_leading(std::string_view reason);
    void handle_disk_refusal(const storage_error& error);
    void handle_disk_recovery();
    void log_maintenance(const disk_report& report, const result<done, storage_error>& outcome);
    void handle_join(const join_request& request, monotonic_time now);
    void request_join(monotonic_time now);
    void review_members(monotonic_time now);
    void promote_standby(monotonic_time now);
    void remove_expired_learner(monotonic_time now);
    [[nodiscard]] join_hooks make_join_hooks() const;
    void announce_leadership(monotonic_time now);
    [[nodiscard]] replica_id find_unresponsive_voter(monotonic_time now) const;
    [[nodiscard]] leader_status describe_leader(monotonic_time now) const;
    [[nodiscard]] std::vector<std::string> choose_probe_peers(const std::string& asker,
                                                              const std::vector<std::string>& replicas,
                                                              monotonic_time now) const;
    [[nodiscard]] bool leads(monotonic_time now) const;
    [[nodiscard]] std::size_t target_voters() const
    {
        return 2 * m_settings.max_disk_losses + 1;
    }
    [[nodiscard]] bool has_enough_voters() const;
    [[nodiscard]] dispatch_hooks make_hooks();
    void wake_dispatcher();
    void schedule_pass(monotonic_time when);
    void run_pass();

    // core_calls.cpp: calls handled by the leader; core_caller_calls.cpp: those of callers
    void propose(const workload_command& command,
                 std::function<void(std::optional<workload_result>)> handler);
    void propose_and_reply(const workload_command& command, const call_handler& handler);
    void handle(const submit_call& call, const call_handler& handler);
    void handle(const state_call& call, const call_handler& handler);
    void reply_with_state(const state_call& call, const call_handler& handler);
    void handle(const cancel_call& call, const call_handler& handler);
    void handle(const pending_call& call, const call_handler& handler);
    [[nodiscard]] service_reply refuse_unknown(const access_decision& caller, submission_id id) const;
    [[nodiscard]] std::optional<service_reply> check_room(const submit_call& call, std::uint64_t bytes);
    [[nodiscard]] std::string describe_round(const submission& owner, round_id round);
    void handle(const put_configuration_call& call, const call_handler& handler);
    void handle(const get_configuration_call& call, const call_handler& handler);
    void handle(const report_call& call, const call_handler& handler);
    void handle(const leave_call& call, const call_handler& handler);
    void handle(const begin_wave_call& call, const call_handler& handler);
    void handle(const wave_state_call& call, const call_handler& handler);
    void handle(const advise_call& call, const call_handler& handler);
    void handle(const explain_call& call, const call_handler& handler);
    void handle(const hall_cordon_call& call, const call_handler& handler);
    void handle(const list_cordons_call& call, const call_handler& handler);
    [[nodiscard]] std::vector<std::string> known_halls() const;
    [[nodiscard]] std::string choose_report_address(const std::string& incarnation, monotonic_time now) const;
    [[nodiscard]] std::optional<service_reply> check_access(const access_decision& caller,
                                                            std::string_view call);

    void fill_leading(metrics_page& page) const;

    core_node_settings m_core_settings;
    std::function<void(const storage_error&)> m_stop;
    workload_state m_state;
    std::unique_ptr<replica_host> m_replica;
    std::unique_ptr<dispatcher> m_dispatcher;
    advisor_query_queue m_advisor_queries;
    time_histograms m_commit_times{
        "walkthread_commit_seconds", "From a proposal at the leader to its commit.", {}};
    time_histograms m_start_waits{
        "walkthread_start_wait_seconds", "From a step's turn to the plan of its tasks, by queue.", {"queue"}};
    time_histograms m_advisor_query_times{
        "walkthread_advice_seconds", "Questions to the placement advisor, waiting included.", {"answered"}};
    std::uint64_t m_led_term = 0;
    monotonic_time m_last_join_request{};
    monotonic_time m_last_pass{};
    monotonic_time m_last_member_review{};
    /// A process that sent a leader query.
    struct leader_client
    {
        monotonic_time asked{};
        bool can_query_advisor{}; ///< it can reach the placement advisor
    };
    std::map<std::string, leader_client> m_leader_clients;  ///< by address; notified of a new leader
    std::map<replica_id, monotonic_time> m_lagging_members; ///< when lagging members were last reported
    state_admission m_admission;
    std::uint64_t m_state_refusals = 0;
    std::minstd_rand m_random{std::random_device{}()};
    boost::asio::steady_timer m_pass_timer;
    bool m_pass_due = false;
    bool m_stopping = false;
    bool m_disk_refuses = false;
};

/// @brief The peer address of a replica, derived from the IPv4 address in its identity.
[[nodiscard]] std::string peer_address_of(const replica_id& replica, std::uint16_t port);

} // namespace walkthread
