#pragma once

/// @file
/// @brief Hosts on which a step is likely to fail: it prefers any other host, for a limited time.
/// @since 0.12

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include <walkthread/units/time.hpp>

namespace walkthread
{

/// @brief Why a step is likely to fail on a host.
enum class host_doubt : std::uint8_t
{
    none,
    failed_before, ///< a task of the step failed there
    on_probation,  ///< runs of several submissions failed there, or one made no progress
};

/// @brief The names used in logs and explanations, in the order of `host_doubt`.
inline constexpr std::array<std::string_view, 3> host_doubt_names{"", "failed there before", "on probation"};

/// @brief A host with capacity for a step that the step leaves alone in favour of others.
struct doubtful_host
{
    std::string worker; ///< id
    host_doubt doubt{};
    duration wait_left{}; ///< until the step uses it if no other host has taken its tasks; 0 if it may now
};

} // namespace walkthread
