#pragma once

/// @file
/// @brief Polls the platform's list of live and leaving hosts. The list lags.
/// @since 0.1

#include <atomic>
#include <functional>
#include <set>
#include <thread>

#include <walkthread/observe/log.hpp>
#include <walkthread/settings/settings.hpp>

namespace walkthread
{

/// @brief Polls the platform every second. The list is a hint and is never the only ground for a decision.
/// @since 0.1
class platform_watch
{
  public:
    /// @brief Receives the hosts listed as live and as leaving. Called from the polling thread.
    using list_handler = std::function<void(std::set<worker_id> live, std::set<worker_id> leaving)>;

    platform_watch(socket_address platform, list_handler handler);
    ~platform_watch();
    platform_watch(const platform_watch&) = delete;
    platform_watch& operator=(const platform_watch&) = delete;

    void start();
    void stop();

  private:
    void loop();
    void poll_once();

    socket_address m_platform;
    list_handler m_handler;
    logger m_log;
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

} // namespace walkthread
