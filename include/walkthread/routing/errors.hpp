#pragma once

/// @file
/// @brief Error codes of the routing layer, as reported to callers.
/// @since 0.1

#include <walkthread/units/result.hpp>

namespace walkthread
{

/// @brief Why a request was not sent, or has no known response.
enum class routing_code
{
    over_rate = 601,            ///< the organisation exceeded its request rate
    over_concurrency = 602,     ///< the organisation reached its limit of concurrent requests
    no_endpoint = 603,          ///< the service has no usable endpoint at the moment
    unconfirmed = 604,          ///< this gateway cannot confirm the configuration at the moment
    endpoint_unreachable = 605, ///< no endpoint could be reached; the request was not sent
    claim_unavailable = 606,    ///< the key could not be claimed at the moment
    broken_exchange = 607,      ///< the request was sent, but no complete response was received
    stopping = 608,             ///< this gateway is shutting down
    response_not_stored = 609,  ///< the request ran, but its response was too large to store for a resend
};
using routing_error = layer_error<routing_code>;

} // namespace walkthread
