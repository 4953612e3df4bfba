#pragma once

/// @file
/// @brief An HTTP/1.1 client on the event loop: keep-alive channels with one request at a time on each.
/// @since 0.2

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include <walkthread/fabric/web.hpp>
#include <walkthread/units/result.hpp>
#include <walkthread/units/time.hpp>

namespace walkthread
{

/// @brief Why there is no response.
enum class web_failure : std::uint8_t
{
    not_sent,    ///< lack of a connection or of time in this process: certainly not executed
    unreachable, ///< no connection to the address could be made: certainly not executed
    refused,     ///< the address refused the connection, as no process listens there: certainly not executed
    unanswered,  ///< no complete response in time: it may have been executed or may still be
};

/// @brief A response, or why there is none.
using web_result = result<web_response, web_failure>;
using web_response_handler = std::function<void(web_result)>;

/// @brief A keep-alive connection to one address. Requests are queued and sent one at a time.
///
/// A request that fails on a reused connection is sent once more on a new one, so all requests have to be
/// idempotent.
/// @since 0.2
class web_channel : public std::enable_shared_from_this<web_channel>
{
  public:
    static std::shared_ptr<web_channel> make(boost::asio::io_context& loop, const std::string& address);
    virtual ~web_channel() = default;
    /// @brief Sends a request.
    /// @param timeout counted from when the request leaves the queue
    virtual void send(web_request request, milliseconds timeout, web_response_handler handler) = 0;
    /// @brief Closes the connection; queued requests fail with `not_sent`.
    virtual void close() = 0;
    /// @brief Whether there is an open connection that the next request would use.
    [[nodiscard]] virtual bool is_open() const = 0;
    /// @brief Number of requests that are queued or in flight.
    [[nodiscard]] virtual std::size_t waiting() const = 0;
};

} // namespace walkthread
