#pragma once

/// @file
/// @brief The common part of all processes: event loop, mesh, calls to the leader and decision log.
/// @since 0.2

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <walkthread/fabric/call_router.hpp>
#include <walkthread/fabric/leader_path.hpp>
#include <walkthread/fabric/leader_watch.hpp>
#include <walkthread/observe/decision_log.hpp>
#include <walkthread/observe/metrics_page.hpp>
#include <walkthread/storage/storage_limits.hpp>
#include <walkthread/workload/state_size.hpp>

namespace walkthread
{

/// @brief Settings of a process.
/// @since 0.2
struct fabric_settings
{
    std::string name;
    std::string hall;
    std::vector<std::string> halls; ///< all halls of the deployment, as far as the settings name them
    std::string peer_address;       ///< address that peers connect to, `IP:PORT`
    std::string bind_address;       ///< address to listen on, if peers connect through a proxy or NAT
    std::vector<std::string> seeds; ///< peer addresses of some processes with replicas; may be stale
    std::string data_folder;        ///< empty for a process without a replica
    storage_limits storage{};       ///< what the data folder and the replica's log may take
    state_limits state = make_state_limits(0); ///< what the replicated state may take
    bool founding{};                           ///< this is the first start of the whole cluster
    std::uint32_t max_disk_losses{2};          ///< number of disks that may be lost at the same time
    std::string report_address; ///< address for worker reports; empty if this process takes none
    milliseconds max_lease{6000};
    std::size_t max_links = 1000; ///< links to other processes, for each direction
};

/// @brief Calls to workers and the placement advisor, provided by the platform adapter.
struct platform_hooks
{
    std::function<void(const poll_order&, std::function<void(const poll_answer&)>)> poll;
    std::function<void(const start_task_order&, std::function<void(const order_answer&)>)> start;
    std::function<void(const stop_task_order&, std::function<void(const order_answer&)>)> stop;
    std::function<void(const pace_task_order&, std::function<void(const order_answer&)>)> pace;
    std::function<void(const std::string& host, std::uint64_t wave, std::uint64_t fence,
                       std::function<void(const order_answer&)>)>
        order_maintenance;
    std::function<void(const advice_question&, std::function<void(const advice_answer&)>)> ask_advisor;
};

/// @brief A process of the cluster; processes with replicas are `core_node`s.
/// @since 0.2
class fabric_node
{
  public:
    fabric_node(boost::asio::io_context& loop, fabric_settings settings, platform_hooks hooks,
                decision_log& log);
    virtual ~fabric_node();
    fabric_node(const fabric_node&) = delete;
    fabric_node& operator=(const fabric_node&) = delete;

    /// @brief Opens the mesh and starts.
    /// @return an error message, or an empty string on success
    virtual std::string start();
    /// @brief Sends a call to the leader; see `call_router::call`.
    void call(service_call body, milliseconds timeout, call_handler handler);
    [[nodiscard]] const std::string& name() const
    {
        return m_settings.name;
    }
    /// @brief The address of the leader that calls are sent to; empty for unknown.
    [[nodiscard]] const std::string& leader() const
    {
        return m_router.leader();
    }
    /// @brief Whether a responsive leader is known.
    [[nodiscard]] bool connected() const;
    /// @brief How long no leader has been known; zero if one is known.
    [[nodiscard]] duration leaderless_for(monotonic_time now) const
    {
        return m_router.leaderless_for(now);
    }
    /// @brief Limits of callers' requests, from the newest cluster configuration that this process knows of.
    [[nodiscard]] virtual caller_limits limits_of_callers() const
    {
        return m_caller_limits;
    }
    /// @brief Adds seeds after a settings reload.
    void add_seeds(const std::vector<std::string>& seeds);
    /// @brief Transfers leadership, if held, before a planned stop.
    virtual void prepare_stop()
    {
    }
    /// @brief Adds this process's metrics to a metrics page.
    virtual void fill(metrics_page& page) const;

  protected:
    virtual void receive(const std::string& from, mesh_message message);
    virtual bool handle_locally(const service_call& body, const call_handler& handler);
    virtual void query_leader(monotonic_time now);
    /// @brief The reply to a call, if this process can give it without the leader.
    [[nodiscard]] virtual std::optional<service_reply> try_answer_locally(const service_call& /*body*/,
                                                                          monotonic_time /*now*/) const
    {
        return std::nullopt;
    }
    void log_suspension();
    void log_event(std::string_view event, std::string_view subject, std::initializer_list<log_field> fields);
    void answer_call(const std::string& from, const call_message& message);
    void relay_call(service_call body, const call_handler& answer);
    /// @brief Sets the leader that calls are sent to; empty for unknown. Each change of the leader or its
    /// term is logged, also a change without an outage in between.
    void follow(const std::string& leader);
    /// @brief The highest term that this process knows.
    [[nodiscard]] virtual std::uint64_t known_term() const
    {
        return m_watch.term();
    }

    boost::asio::io_context& m_loop;
    fabric_settings m_settings;
    platform_hooks m_platform_hooks;
    decision_log& m_log;
    mesh m_mesh;
    call_router m_router;
    leader_watch m_watch;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);

  private:
    void tick();
    void check_leader_path(monotonic_time now);
    void arm_path_check();
    void route_calls(const std::string& leader, monotonic_time now);
    void answer_probe(const std::string& from, monotonic_time now);
    void record_ignored_reply(const std::string& from, reply_match match);
    void record_sender(const std::string& from, const mesh_message& message, monotonic_time now);
    caller_limits m_caller_limits; ///< as last reported by a replica
    leader_path m_path;
    boost::asio::steady_timer m_path_timer;
    bool m_path_check_due = false;
    std::string m_logged_relay;      ///< the relay in the last logged event
    duration m_suspended;            ///< total time this machine had been suspended at the last check
    std::string m_logged_leader;     ///< the leader in the last logged leader event
    std::uint64_t m_logged_term = 0; ///< the term in that event
    std::uint64_t m_leader_changes = 0;
    std::uint64_t m_ignored_replies = 0; ///< replies that ended no call
    std::uint64_t m_foreign_replies = 0; ///< of these, the ones that no call of this process can have caused
};

} // namespace walkthread
