#pragma once

/// @file
/// @brief An HTTP/1.1 server on the event loop.
/// @since 0.2

#include <cstddef>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include <walkthread/fabric/web.hpp>
#include <walkthread/units/time.hpp>

namespace walkthread
{

/// @brief Bounds of a listener.
struct web_bounds
{
    std::size_t header_bytes = 16U << 10U; ///< as the users' limits say by default
    std::size_t body_bytes = 1U << 20U;    ///< a configuration of thousands of queues
    milliseconds header_patience{3000};    ///< from a request's first byte to its end
    milliseconds idle_patience{60000};     ///< a kept-alive connection without a request
    std::size_t connections = 3000;        ///< beyond that the one that is idle for longest is closed
};

/// @brief Serves HTTP on one address. Belongs to the loop's thread.
/// @since 0.2
class web_listener
{
  public:
    web_listener(boost::asio::io_context& loop, web_bounds bounds, web_handler handler);
    ~web_listener();
    web_listener(const web_listener&) = delete;
    web_listener& operator=(const web_listener&) = delete;

    /// @brief Listens on `IP:PORT`. @return what failed, or empty
    std::string open(const std::string& address);
    /// @brief From now on each answer ends its connection; idle connections are closed.
    void wind_down();
    /// @brief Accepts no more connections.
    void stop_accepting();
    /// @brief Requests that wait for their answer or are being read or written.
    [[nodiscard]] std::size_t in_progress() const;
    /// @brief Open connections.
    [[nodiscard]] std::size_t connections() const;

  private:
    struct core;
    std::shared_ptr<core> m_core;
};

} // namespace walkthread
