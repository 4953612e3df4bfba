#pragma once

/// @file
/// @brief The daemon: its components, how they are connected, and graceful shutdown.
/// @since 0.1

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include <walkthread/node/core.hpp>
#include <walkthread/node/endpoint_feed.hpp>
#include <walkthread/node/hall_service.hpp>
#include <walkthread/node/http_server.hpp>
#include <walkthread/node/operator_api.hpp>
#include <walkthread/node/platform_watch.hpp>
#include <walkthread/node/request_router.hpp>
#include <walkthread/node/root_service.hpp>
#include <walkthread/node/worker_api.hpp>

namespace walkthread
{

/// @brief One daemon.
/// @since 0.1
class process
{
  public:
    /// @param folder the data folder; null for a node without the control role
    process(const settings& config, std::unique_ptr<data_folder> folder);
    ~process();
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    /// @brief Starts all components. @return whether all addresses could be bound
    [[nodiscard]] bool start();
    /// @brief Shuts down gracefully: reports unhealthy, waits for the load balancer to stop routing here,
    /// completes requests in progress and transfers leadership.
    void stop();
    /// @brief Whether storage failed, so that the process has to stop.
    [[nodiscard]] bool failed() const
    {
        return m_core.failed();
    }

  private:
    void make_listeners();
    [[nodiscard]] std::unique_ptr<http_server> make_server(const socket_address& address,
                                                           std::size_t threads) const;

    const settings& m_settings;
    std::unique_ptr<data_folder> m_folder;
    logger m_log;
    timeline m_events;
    metrics m_metrics;
    process_core m_core;
    root_service m_root;
    std::map<hall_id, std::unique_ptr<hall_service>> m_halls;
    endpoint_feed m_feed;
    request_router m_router;
    std::atomic<bool> m_healthy{true};
    operator_api m_operators;
    worker_api m_workers;
    access_check m_access;
    std::unique_ptr<platform_watch> m_platform;
    std::vector<std::unique_ptr<http_server>> m_caller_servers;
    std::vector<std::unique_ptr<http_server>> m_servers;
    bool m_started = false;
};

} // namespace walkthread
