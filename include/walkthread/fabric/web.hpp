#pragma once

/// @file
/// @brief HTTP requests and responses as plain values, for the event loop's server and client.
/// @since 0.2

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace walkthread
{

/// @brief A header line.
struct web_header
{
    std::string name;
    std::string value;
};

struct web_response;

/// @brief Restricts a request to one process at an address, where another process may have replaced it.
///
/// A connection does not outlive the process at its other end. The request is therefore sent only over a
/// connection on which that process has identified itself; on other connections a harmless probe goes first.
/// @since 0.5
struct web_recipient
{
    std::string name;     ///< identifies the process, unique for each incarnation
    std::string question; ///< the body of the probe, sent to the same target
    std::function<bool(const web_response&)>
        is_from_recipient; ///< whether a response to the probe is from this process
};

/// @brief A complete request.
/// @since 0.2
struct web_request
{
    std::string method;
    std::string target;
    std::string host;
    std::vector<web_header> headers; ///< those whose names begin with "X-", and Authorization
    std::string body;
    std::optional<web_recipient> recipient; ///< client side only: the process that the request is meant for

    /// @brief A header's value, or empty if there is none. Complexity: linear in the headers.
    [[nodiscard]] std::string_view header(std::string_view name) const;
};

/// @brief A complete response.
struct web_response
{
    unsigned status{};
    std::string body; ///< JSON; empty for none
    std::optional<std::int64_t> retry_after_s;
    std::vector<web_header> headers;
    bool repeated{}; ///< client side only: the request was sent twice, the first may have been executed
};

/// @brief Handles a request. The callback must be called once, now or later, on the event loop's thread.
using web_handler = std::function<void(web_request, std::function<void(web_response)>)>;

} // namespace walkthread
