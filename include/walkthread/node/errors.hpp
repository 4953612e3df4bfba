#pragma once

/// @file
/// @brief Errors of the node layer, as they appear in HTTP responses and exit codes.
/// @since 0.1

#include <walkthread/units/result.hpp>

namespace walkthread
{

/// @brief Why a call or an HTTP request returned no result.
enum class node_code
{
    not_leader = 801,      ///< another process leads the group
    no_leader = 802,       ///< no leader was found before the timeout
    timed_out = 803,       ///< no reply in time; the command may have taken effect: resend with the same id
    bad_request = 804,     ///< the body or a parameter is malformed
    unauthorised = 805,    ///< the token is missing or wrong
    not_found = 806,       ///< the object does not exist in this organisation
    too_large = 807,       ///< the body exceeds the size limit
    overloaded = 808,      ///< the connection queue is full
    bad_key = 809,         ///< the Idempotency-Key is missing or not a version 7 UUID
    stopping = 810,        ///< this process is shutting down
    change_pending = 811,  ///< another membership change is in progress
    connection_lost = 812, ///< the peer connection was lost
    last_hall = 813,       ///< cordoning this hall would leave none that accepts work
};
using node_error = layer_error<node_code>;

} // namespace walkthread
