#include <walkthread/storage/storage_limits.hpp>

#include <algorithm>

namespace walkthread
{

namespace
{
// The parts of a disk: 1/4 for the log, 1/8 for its rewriting; the rest is room for two snapshots and for
// what is written while a snapshot or a rewriting is in progress.
constexpr std::uint64_t log_share = 4;
constexpr std::uint64_t snapshot_share = 8;
// At most four times `snapshot_bytes` are in memory, a quarter of it.
constexpr std::uint64_t memory_share = 16;
} // namespace

storage_limits make_storage_limits(std::uint64_t disk_bytes, std::uint64_t memory_bytes)
{
    storage_limits limits;
    if (disk_bytes > 0)
    {
        limits.snapshot_bytes = disk_bytes / snapshot_share;
        limits.log_bytes = disk_bytes / log_share;
    }
    if (memory_bytes > 0)
    {
        limits.snapshot_bytes = std::min(limits.snapshot_bytes, memory_bytes / memory_share);
    }
    return limits;
}

} // namespace walkthread
