#pragma once

/// @file
/// @brief HTTP requests and answers as plain values, for the event loop's server and client.
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

struct web_answer;

/// @brief The one process at an address that a request is for; another one may have taken its place there.
///
/// A connection ends with the process at its other end. So the request goes only over a connection that this
/// process answered on; on any other one a question that does no harm goes first.
/// @since 0.5
struct web_recipient
{
    std::string name;                                ///< of the process, unique over its lives
    std::string question;                            ///< a body for the same target
    std::function<bool(const web_answer&)> is_meant; ///< whether an answer to the question is of this process
};

/// @brief A whole request.
/// @since 0.2
struct web_request
{
    std::string method;
    std::string target;
    std::string host;
    std::vector<web_header> headers; ///< those whose names begin with "X-", and Authorization
    std::string body;
    std::optional<web_recipient> recipient; ///< sent: for one process alone

    /// @brief A header's value, or empty. Complexity: linear in the headers.
    [[nodiscard]] std::string_view header(std::string_view name) const;
};

/// @brief A whole answer.
struct web_answer
{
    unsigned status{};
    std::string body; ///< JSON; empty for none
    std::optional<std::int64_t> retry_after_s;
    std::vector<web_header> headers;
    bool repeated{}; ///< received: the request was sent twice, so the first may have been carried out before
};

/// @brief Takes a request and a way to answer it, once, now or later, from the loop's thread.
using web_handler = std::function<void(web_request, std::function<void(web_answer)>)>;

} // namespace walkthread
