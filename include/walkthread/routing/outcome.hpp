#pragma once

/// @file
/// @brief Maps the result of an exchange with an endpoint to the outcome of the caller's request.
/// @since 0.1

#include <cstdint>

namespace walkthread
{

/// @brief How one exchange with an endpoint ended.
enum class exchange_outcome : std::uint8_t
{
    complete_response = 0, ///< a complete response with this attempt's id was received
    not_sent = 1,          ///< no byte of the request left this process
    refused = 2,           ///< the endpoint is leaving and did not run the request
    broken = 3,            ///< bytes were sent, but no complete response to this attempt was received
};

/// @brief The outcome that is reported to the caller.
enum class request_outcome : std::uint8_t
{
    completed = 0, ///< the request ran once, and this is its complete response
    not_run = 1,   ///< the request did not run and will not; the caller may retry after Retry-After
    unknown = 2,   ///< the request may have run; a not-repeatable one never runs again under its key
};

/// @brief The value of the X-Walkthread-Outcome header for an outcome.
[[nodiscard]] constexpr const char* to_string(request_outcome outcome)
{
    return outcome == request_outcome::completed ? "completed"
           : outcome == request_outcome::not_run ? "not_run"
                                                 : "unknown";
}

/// @brief The action that follows an exchange.
enum class next_step : std::uint8_t
{
    answer = 0,      ///< return the response to the caller
    try_another = 1, ///< try another endpoint, if the retry budget and the deadline allow it
    give_up = 2,     ///< report the outcome `unknown`
};

/// @brief Returns the action that follows an exchange.
///
/// A not-repeatable request is sent to another endpoint only if it certainly did not run: no byte of it was
/// sent, or the endpoint refused it.
[[nodiscard]] constexpr next_step step_after(exchange_outcome end, bool repeatable)
{
    if (end == exchange_outcome::complete_response)
    {
        return next_step::answer;
    }
    const bool known_not_run = end == exchange_outcome::not_sent || end == exchange_outcome::refused;
    return known_not_run || repeatable ? next_step::try_another : next_step::give_up;
}

/// @brief The outcome of a request without a response, when no further endpoint is tried.
[[nodiscard]] constexpr request_outcome outcome_without_answer(bool any_broken)
{
    return any_broken ? request_outcome::unknown : request_outcome::not_run;
}

} // namespace walkthread
