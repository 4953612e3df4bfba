#pragma once

/// @file
/// @brief Helpers of the operators' interface, shared by its source files.
/// @since 0.6

#include <map>
#include <string>

#include <walkthread/node/http_responses.hpp>
#include <walkthread/node/messages.hpp>
#include <walkthread/units/time.hpp>

namespace walkthread
{

inline constexpr milliseconds command_timeout{6000};
inline constexpr milliseconds query_timeout{3000};

/// @brief The response to a call that failed: 504 if it may have taken effect, else 503.
[[nodiscard]] inline http_response call_error_response(const reply_body& reply)
{
    const auto* call_error = std::get_if<call_error_reply>(&reply);
    const int code = call_error == nullptr ? static_cast<int>(node_code::no_leader) : call_error->code;
    const bool outcome_unknown = code == static_cast<int>(node_code::timed_out);
    return error_response(outcome_unknown ? http_status::timed_out : http_status::unavailable, code,
                          outcome_unknown ? "No reply before the timeout. Resend with the same request id."
                                          : "The group has no leader at the moment.");
}

/// @brief A query parameter, or an empty string.
[[nodiscard]] inline std::string query_text(const std::map<std::string, std::string>& query,
                                            const std::string& key)
{
    const auto found = query.find(key);
    return found == query.end() ? std::string{} : found->second;
}

} // namespace walkthread
