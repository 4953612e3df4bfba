#pragma once

/// @file
/// @brief A cordon: an operator's request that nothing new starts in a hall.
/// @since 0.6

#include <string>

#include <msgpack.hpp>

#include <walkthread/units/time.hpp>

namespace walkthread
{

/// @brief Since when a hall is cordoned, and at whose request.
/// @since 0.6
struct hall_cordon
{
    wall_ms since{};          ///< when the request was proposed, at the leader's wall time
    std::string requested_by; ///< the process that took the operator's request
    friend bool operator==(const hall_cordon&, const hall_cordon&) = default;
    MSGPACK_DEFINE(since, requested_by)
};

} // namespace walkthread
