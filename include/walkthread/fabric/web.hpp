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

/// @brief A whole request.
/// @since 0.2
struct web_request
{
    std::string method;
    std::string target;
    std::string host;
    std::vector<web_header> headers; ///< those whose names begin with "X-", besides Host
    std::string body;
    /// Where set, `body` goes over that connection alone, as the process at its other end is the one that is
    /// meant; over any other one `body_elsewhere` goes.
    std::optional<std::uint64_t> connection;
    std::string body_elsewhere;

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
    std::uint64_t connection{}; ///< received: which connection it came over, unique in this process; from 1
    bool repeated{}; ///< received: the request was sent twice, so the first may have been carried out before
};

/// @brief Takes a request and a way to answer it, once, now or later, from the loop's thread.
using web_handler = std::function<void(web_request, std::function<void(web_answer)>)>;

} // namespace walkthread
