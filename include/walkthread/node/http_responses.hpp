#pragma once

/// @file
/// @brief HTTP responses shared by several interfaces, and the status codes that walkthread uses.
/// @since 0.1

#include <string>

#include <walkthread/node/errors.hpp>
#include <walkthread/node/http_server.hpp>

namespace walkthread
{

namespace http_status
{
inline constexpr int bad_request = 400;
inline constexpr int unauthorised = 401;
inline constexpr int not_found = 404;
inline constexpr int conflict = 409;
inline constexpr int gone = 410;
inline constexpr int too_large = 413;
inline constexpr int unprocessable = 422;
inline constexpr int internal = 500;
inline constexpr int unavailable = 503;
inline constexpr int timed_out = 504;
} // namespace http_status

/// @brief A response with an error document. Status 503 carries Retry-After.
[[nodiscard]] http_response error_response(int status, int code, const std::string& detail);
/// @brief A response with an error of the node layer.
[[nodiscard]] http_response error_response(int status, node_code code, const std::string& detail);
/// @brief A response with status 200.
[[nodiscard]] http_response ok_response(std::string body, std::string content_type = "application/json");

} // namespace walkthread
