#pragma once

/// @file
/// @brief Divides a process's file descriptors so that no use can starve another.
/// @since 0.3

#include <cstddef>
#include <string>

#include <walkthread/units/result.hpp>

namespace walkthread
{

/// @brief Uses of a process that need descriptors.
struct descriptor_uses
{
    bool replica{}; ///< hosts a replica: has a log and snapshots, and connects to workers when it leads
};

/// @brief Shares of a process's descriptors. Each component enforces its own share.
struct descriptor_budget
{
    std::size_t files{};   ///< log, snapshots, directories, standard streams, the event loop
    std::size_t peers{};   ///< links to and from other processes, both directions together
    std::size_t callers{}; ///< incoming HTTP connections: callers, operators, workers' reports
    std::size_t polls{};   ///< connections for polling workers
    std::size_t orders{};  ///< connections for orders to workers

    [[nodiscard]] std::size_t sum() const
    {
        return files + peers + callers + polls + orders;
    }
};

/// @brief The minimum and the recommended number of descriptors of a process.
struct descriptor_needs
{
    std::size_t least{};
    std::size_t usual{};
};

/// @brief The number of descriptors that a process with these uses needs.
[[nodiscard]] descriptor_needs required_descriptors(const descriptor_uses& uses);

/// @brief Divides a descriptor limit into shares.
/// @param limit descriptors available to this process
/// @return the shares, whose sum is at most `limit`, or an error message with the limit and the minimum if
/// the limit is below the minimum
[[nodiscard]] result<descriptor_budget, std::string> divide_descriptors(std::size_t limit,
                                                                        const descriptor_uses& uses);

/// @brief The descriptor limit of this process (`RLIMIT_NOFILE`).
[[nodiscard]] std::size_t system_descriptor_limit();

} // namespace walkthread
