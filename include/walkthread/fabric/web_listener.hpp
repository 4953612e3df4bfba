#pragma once

/// @file
/// @brief An HTTP/1.1 server on the event loop.
/// @since 0.2

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include <walkthread/fabric/connection_memory.hpp>
#include <walkthread/fabric/web.hpp>
#include <walkthread/units/time.hpp>

namespace walkthread
{

/// @brief Limits of a listener.
struct web_limits
{
    std::size_t header_bytes = 16U << 10U; ///< the default limit of the documented interface
    std::size_t body_bytes = 1U << 20U;    ///< fits a cluster configuration with thousands of queues
    /// Chunk headers, chunk extensions and trailers of one request together, besides the five bytes that the
    /// header of a chunk of one byte takes.
    std::size_t framing_bytes = 16U << 10U;
    milliseconds request_timeout{3000}; ///< from the first byte of a request to its last
    milliseconds idle_timeout{60000};   ///< for a keep-alive connection without a request
    std::size_t connections = 3000;     ///< beyond that the connection that has been idle longest is closed
};

/// @brief Serves HTTP on one address. To be used from the event loop's thread only.
/// @since 0.2
class web_listener
{
  public:
    /// @param memory the account of all listeners of the process
    web_listener(boost::asio::io_context& loop, web_limits bounds, web_handler handler,
                 std::shared_ptr<connection_memory> memory =
                     std::make_shared<connection_memory>(connection_memory_limits{}));
    ~web_listener();
    web_listener(const web_listener&) = delete;
    web_listener& operator=(const web_listener&) = delete;

    /// @brief Sets a limit of the body that may change while the listener is open.
    /// @param current called for each request; a higher limit than `web_limits::body_bytes` has no effect
    void limit_bodies(std::function<std::size_t()> current);
    /// @brief Listens on `IP:PORT`.
    /// @return an error message, or an empty string on success
    std::string open(const std::string& address);
    /// @brief Closes each connection after its next response.
    void drain_connections();
    /// @brief Stops accepting connections.
    void stop_accepting();
    /// @brief Number of requests that are being read, handled or answered.
    [[nodiscard]] std::size_t in_progress() const;
    /// @brief Number of open connections.
    [[nodiscard]] std::size_t connections() const;

  private:
    struct core;
    std::shared_ptr<core> m_core;
};

} // namespace walkthread
