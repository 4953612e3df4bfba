#pragma once

/// @file
/// @brief An HTTP/1.1 client on the event loop: kept-alive channels, one request at a time on each.
/// @since 0.2

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>

#include <walkthread/fabric/web.hpp>
#include <walkthread/units/time.hpp>

namespace walkthread
{

/// @brief Takes the answer, or no value if none came whole and in time: it may have been done or not.
using web_answer_handler = std::function<void(std::optional<web_answer>)>;

/// @brief A kept-alive connection to one address. Requests wait for their turn.
///
/// A request that fails on a connection that was kept idle is sent once more on a new one: use it only for
/// requests that may safely be repeated.
/// @since 0.2
class web_channel : public std::enable_shared_from_this<web_channel>
{
  public:
    static std::shared_ptr<web_channel> make(boost::asio::io_context& loop, const std::string& address);
    virtual ~web_channel() = default;
    /// @brief Sends a request. @param patience from its turn to its answer
    virtual void send(web_request request, milliseconds patience, web_answer_handler handler) = 0;
    /// @brief Ends the connection; requests that wait are answered with no value.
    virtual void close() = 0;
    /// @brief Requests that wait or are under way.
    [[nodiscard]] virtual std::size_t waiting() const = 0;
};

} // namespace walkthread
