#pragma once

/// @file
/// @brief Errors of the state machines. They are part of encoded results, so their numbers are stable.
/// @since 0.1

#include <walkthread/units/result.hpp>

namespace walkthread
{

/// @brief Why a command had no effect.
enum class state_code
{
    none = 0,                  ///< the command took effect
    version_conflict = 401,    ///< the expected version differs from the current one
    unknown_name = 402,        ///< no such template, configuration, team or job in this organisation
    request_id_reused = 403,   ///< the request id was already used for another command
    over_template_limit = 404, ///< a parameter exceeds the limit of the template
    never_runnable = 405,      ///< no hall has a host large enough for a task of this size
    claim_held = 406,          ///< the key is claimed by another attempt that is still in progress
    key_body_differs = 407,    ///< the key was already used with another body
    key_expired = 408,         ///< the key is older than the window
    key_from_future = 409,     ///< the creation time of the key lies too far in the future
    not_claim_holder = 410,    ///< only the holder of a claim may settle it
    malformed_command = 411,   ///< the log entry cannot be decoded
    outcome_unknown = 412,     ///< the request was sent but its outcome is unknown
    quota_exceeds_pool = 413,  ///< a quota exceeds the capacity of the pool
    bad_parameter = 414,       ///< a parameter is out of range
    lease_active = 415,        ///< the worker still has a lease under another epoch, and tasks may run there
};
using state_error = layer_error<state_code>;

} // namespace walkthread
