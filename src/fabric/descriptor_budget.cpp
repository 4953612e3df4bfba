#include <walkthread/fabric/descriptor_budget.hpp>

#include <algorithm>
#include <limits>

#include <sys/resource.h>

namespace walkthread
{

namespace
{
constexpr std::size_t reserved_for_files =
    32; // 12 for standard streams, the event loop, and log and snapshot with their directory, as many again
        // while a snapshot is replaced; the rest is spare
constexpr std::size_t min_part = 16; // links to a quorum in both directions; a smaller share is useless
constexpr std::size_t recommended_without_replica = 512; // a few hundred callers at a time
constexpr std::size_t recommended_with_replica =
    1024; // 350 workers with a poll and an order connection each, and 40 processes

// Percentages of the descriptors that files leave. A poll keeps its connection to a worker open while it
// waits; order connections are short-lived. A worker reports to one process at a time, but after a change of
// the seeds all workers may report to the same one.
constexpr std::size_t replica_peers_percent = 15;
constexpr std::size_t replica_callers_percent = 25;
constexpr std::size_t replica_polls_percent = 30;
constexpr std::size_t edge_peers_percent = 20;
constexpr std::size_t percent_base = 100;

// A higher limit gives no benefit; the cap also keeps the shares readable in logs.
constexpr std::size_t max_divided = 100'000;
} // namespace

descriptor_needs required_descriptors(const descriptor_uses& uses)
{
    const std::size_t smallest = uses.replica ? replica_peers_percent : edge_peers_percent;
    return {reserved_for_files + (min_part * percent_base + smallest - 1) / smallest,
            uses.replica ? recommended_with_replica : recommended_without_replica};
}

result<descriptor_budget, std::string> divide_descriptors(std::size_t limit, const descriptor_uses& uses)
{
    const descriptor_needs needs = required_descriptors(uses);
    if (limit < needs.least)
    {
        return "The limit of " + std::to_string(limit) + " file descriptors is below the minimum of " +
               std::to_string(needs.least) + ".";
    }
    descriptor_budget out;
    out.files = reserved_for_files;
    const std::size_t left = std::min(limit, max_divided) - out.files;
    if (!uses.replica)
    {
        out.peers = left * edge_peers_percent / percent_base;
        out.callers = left - out.peers;
        return out;
    }
    out.peers = left * replica_peers_percent / percent_base;
    out.callers = left * replica_callers_percent / percent_base;
    out.polls = left * replica_polls_percent / percent_base;
    out.orders = left - out.peers - out.callers - out.polls;
    return out;
}

std::size_t system_descriptor_limit()
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
    {
        return std::numeric_limits<std::size_t>::max();
    }
    return limit.rlim_cur;
}

} // namespace walkthread
