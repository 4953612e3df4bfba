#include <walkthread/fabric/descriptor_budget.hpp>

#include <algorithm>
#include <limits>

#include <sys/resource.h>

namespace walkthread
{

namespace
{
constexpr std::size_t kept_for_files =
    32; // 12 for standard streams, the event loop, and log and snapshot with their directory, as many again
        // while a snapshot is replaced; the rest is spare
constexpr std::size_t least_part = 16;  // links to a quorum in both directions; a smaller share is useless
constexpr std::size_t usual_edge = 512; // a few hundred callers at a time
constexpr std::size_t usual_replica =
    1024; // 350 workers with a poll and an order connection each, and 40 processes

// Percentages of the descriptors that files leave. A poll keeps its connection to a worker open while it
// waits; order connections are short-lived. A worker reports to one process at a time, but after a change of
// the seeds all workers may report to the same one.
constexpr std::size_t peers_of_replica = 15;
constexpr std::size_t callers_of_replica = 25;
constexpr std::size_t looks_of_replica = 30;
constexpr std::size_t peers_of_edge = 20;
constexpr std::size_t percent_base = 100;

// A higher limit gives no benefit; the cap also keeps the shares readable in logs.
constexpr std::size_t max_divided = 100'000;
} // namespace

descriptor_needs needs_of(const descriptor_uses& uses)
{
    const std::size_t smallest = uses.replica ? peers_of_replica : peers_of_edge;
    return {kept_for_files + (least_part * percent_base + smallest - 1) / smallest,
            uses.replica ? usual_replica : usual_edge};
}

result<descriptor_budget, std::string> divide_descriptors(std::size_t limit, const descriptor_uses& uses)
{
    const descriptor_needs needs = needs_of(uses);
    if (limit < needs.least)
    {
        return "The limit of " + std::to_string(limit) + " file descriptors is below the minimum of " +
               std::to_string(needs.least) + ".";
    }
    descriptor_budget out;
    out.files = kept_for_files;
    const std::size_t left = std::min(limit, max_divided) - out.files;
    if (!uses.replica)
    {
        out.peers = left * peers_of_edge / percent_base;
        out.callers = left - out.peers;
        return out;
    }
    out.peers = left * peers_of_replica / percent_base;
    out.callers = left * callers_of_replica / percent_base;
    out.polls = left * looks_of_replica / percent_base;
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
