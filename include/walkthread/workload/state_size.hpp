#pragma once

/// @file
/// @brief How much memory the replicated state takes up, and its limit.
///
/// The sizes are estimates: they follow from the content, so that all replicas compute the same, and are
/// meant to be too high rather than too low.
/// @since 0.10

#include <cstdint>

#include <walkthread/workload/submission.hpp>

namespace walkthread
{

/// @brief How often a process may hold the encoded state at the same time: the last snapshot, the next one
/// twice while it is written, and one that is sent as content, message and frame. Receiving one takes no
/// more.
inline constexpr std::uint64_t encoded_copies = 6;

/// @brief Memory for one text of the state: the text and its encoded copies.
[[nodiscard]] constexpr std::uint64_t text_bytes(std::uint64_t length)
{
    return (1 + encoded_copies) * length;
}

/// @brief Memory for a submission's description, in bytes. Complexity: linear in its steps.
[[nodiscard]] std::uint64_t description_bytes(const submission_spec& spec);

/// @brief Memory for a submission: its outcome, and until it ends its description and the work in progress.
/// Complexity: linear in the steps of the rounds in progress.
[[nodiscard]] std::uint64_t size_of(const submission& owner);

/// @brief Memory for a submission that has just been accepted. What its caller asks for in numbers, such as
/// tasks and rounds, does not count.
[[nodiscard]] std::uint64_t size_when_accepted(const submission_spec& spec);

/// @brief Memory for one more task in progress.
[[nodiscard]] std::uint64_t task_bytes();
/// @brief Memory for one more round in progress, without its tasks.
[[nodiscard]] std::uint64_t round_bytes(const submission_spec& spec);

/// @brief Limits on the size of the replicated state.
/// @since 0.10
struct state_limits
{
    std::uint64_t accept_bytes; ///< at this size no submissions are accepted and no further rounds begin
    std::uint64_t start_bytes;  ///< at this size no tasks start that have not begun before
};

/// @brief The limits for a process.
/// @param memory_bytes memory of the process; 0 if unknown
[[nodiscard]] state_limits make_state_limits(std::uint64_t memory_bytes);

} // namespace walkthread
