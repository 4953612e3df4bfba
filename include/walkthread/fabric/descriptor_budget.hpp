#pragma once

/// @file
/// @brief How a process's descriptors are divided, so that no use of them can starve another.
/// @since 0.3

#include <cstddef>
#include <string>

#include <walkthread/units/result.hpp>

namespace walkthread
{

/// @brief What a process does that takes descriptors.
struct descriptor_uses
{
    bool replica{}; ///< keeps a log and snapshots, and speaks with workers when it leads
};

/// @brief Parts of a process's descriptors. Each user of a part keeps to it by itself.
struct descriptor_budget
{
    std::size_t files{};   ///< log, snapshots, folders, standard streams, the loop's own
    std::size_t peers{};   ///< links to and from other processes, both ways together
    std::size_t callers{}; ///< connections that others open over HTTP: callers, operators, workers' reports
    std::size_t looks{};   ///< connections to workers for looks
    std::size_t orders{};  ///< connections to workers for orders

    [[nodiscard]] std::size_t sum() const
    {
        return files + peers + callers + looks + orders;
    }
};

/// @brief Descriptors that a process cannot do without, and that it usually wants.
struct descriptor_needs
{
    std::size_t least{};
    std::size_t usual{};
};

/// @brief What a process with these uses needs.
[[nodiscard]] descriptor_needs needs_of(const descriptor_uses& uses);

/// @brief Divides a limit.
/// @param limit descriptors that this process may have
/// @return the parts, whose sum is at most `limit`; or a sentence with both figures if it is below the least
/// need
[[nodiscard]] result<descriptor_budget, std::string> divide_descriptors(std::size_t limit,
                                                                        const descriptor_uses& uses);

/// @brief The limit that the operating system sets for this process.
[[nodiscard]] std::size_t system_descriptor_limit();

} // namespace walkthread
