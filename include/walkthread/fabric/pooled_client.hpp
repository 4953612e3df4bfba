#pragma once

/// @file
/// @brief HTTP requests to many addresses over a bounded number of connections.
/// @since 0.3

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <walkthread/fabric/connection_pool.hpp>
#include <walkthread/fabric/web_client.hpp>
#include <walkthread/observe/decision_log.hpp>
#include <walkthread/observe/metrics_page.hpp>

namespace walkthread
{

/// @brief Opens, uses and closes connections as decided by a `connection_pool`. To be used from the event
/// loop's thread only.
/// @since 0.3
class pooled_client
{
  public:
    /// @param name purpose of the connections, used in logs and metric names
    pooled_client(boost::asio::io_context& loop, connection_pool_settings settings, std::string name,
                  decision_log& log);
    ~pooled_client();
    pooled_client(const pooled_client&) = delete;
    pooled_client& operator=(const pooled_client&) = delete;

    /// @brief Sends a request as soon as a connection is available.
    /// @param timeout limit for the wait for a connection, and again for the request itself
    /// @param next when the address is likely to be called again
    void send(const std::string& address, web_request request, call_priority priority, milliseconds timeout,
              web_response_handler handler, next_use next = next_use::soon);
    /// @brief Adds the metrics of the connections to a metrics page.
    void fill(metrics_page& page) const;

  private:
    struct open_call
    {
        web_request request;
        milliseconds timeout{};
        web_response_handler handler;
        next_use next{};
    };

    void begin(const pool_grant& grant);
    void finish(pooled_connection_id connection, const web_response_handler& handler,
                const web_result& outcome, next_use next);
    void close(pooled_connection_id connection);
    void arm();
    void fail_expired(const std::vector<pooled_call_id>& calls, monotonic_time now);

    boost::asio::io_context& m_loop;
    std::string m_name;
    decision_log& m_log;
    connection_pool m_pool;
    std::map<pooled_connection_id, std::shared_ptr<web_channel>> m_channels;
    std::map<pooled_call_id, open_call> m_waiting;
    boost::asio::steady_timer m_timer;
    bool m_armed = false;
    monotonic_time m_last_prune{};
    std::uint64_t m_next_call = 1;
    std::uint64_t m_opened = 0;
    std::uint64_t m_replaced = 0;
    std::uint64_t m_not_sent = 0;
    std::uint64_t m_unreachable = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace walkthread
