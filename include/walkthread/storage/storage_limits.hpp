#pragma once

/// @file
/// @brief How many bytes a replica keeps on its disk and in memory.
/// @since 0.6

#include <cstdint>

namespace walkthread
{

/// @brief Limits in bytes that follow from the size of the disk and the memory of a process.
///
/// With S the size of a snapshot and W the largest single write, the data folder takes at most
/// `log_bytes` + W (the log) + `snapshot_bytes` + W (its rewriting) + 2 S (a snapshot and its successor).
/// In memory the log takes at most 2 `snapshot_bytes` + W, and twice `snapshot_bytes` more while it is
/// rewritten.
/// @since 0.6
struct storage_limits
{
    /// A snapshot is due once entries of this size were applied since the last one. Entries kept in memory
    /// before a snapshot, for replicas that are behind, have the same limit.
    std::uint64_t snapshot_bytes = 16U << 20U;
    /// The log is rewritten once it is larger.
    std::uint64_t log_bytes = 32U << 20U;
};

/// @brief The limits for a process.
/// @param disk_bytes space for the data folder; 0 if unknown
/// @param memory_bytes memory of the process; 0 if unknown
[[nodiscard]] storage_limits make_storage_limits(std::uint64_t disk_bytes, std::uint64_t memory_bytes);

} // namespace walkthread
