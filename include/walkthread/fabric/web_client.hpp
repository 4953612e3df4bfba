#pragma once

/// @file
/// @brief An HTTP/1.1 client on the event loop: kept-alive channels, one request at a time on each.
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

/// @brief Why there is no answer.
enum class web_failure : std::uint8_t
{
    not_sent,    ///< this process had no connection for it, or no time: it was surely not carried out
    unreachable, ///< the address refused a connection or did not answer: it was surely not carried out
    unanswered,  ///< none came whole and in time: it may have been carried out, or may be yet
};

/// @brief An answer, or why there is none.
using web_result = result<web_answer, web_failure>;
using web_answer_handler = std::function<void(web_result)>;

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
    /// @brief Ends the connection; requests that wait are answered as not sent.
    virtual void close() = 0;
    /// @brief Whether the next request would use the connection that is there.
    [[nodiscard]] virtual bool is_open() const = 0;
    /// @brief Requests that wait or are under way.
    [[nodiscard]] virtual std::size_t waiting() const = 0;
};

} // namespace walkthread
