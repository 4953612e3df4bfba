#pragma once

/// @file
/// @brief Records on which hosts capacity was freed recently, so that a waiting step examines only these.
/// @since 0.3

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include <walkthread/units/time.hpp>
#include <walkthread/workload/submission.hpp>

namespace walkthread
{

/// @brief A bounded log of hosts on which capacity was freed, oldest first.
/// @since 0.3
class freed_capacity_log
{
  public:
    /// @param kept minimum number of entries that are kept; a reader whose position is older examines all
    /// hosts again
    explicit freed_capacity_log(std::size_t kept) : m_kept(kept)
    {
    }

    /// @brief Records that capacity was freed on a host. Complexity: amortized constant.
    void note(worker_incarnation_id host)
    {
        if (m_hosts.size() >= 2 * m_kept)
        {
            const std::size_t drop = m_hosts.size() - m_kept;
            m_hosts.erase(m_hosts.begin(), m_hosts.begin() + static_cast<std::ptrdiff_t>(drop));
            m_first += drop;
        }
        m_hosts.push_back(host);
    }
    /// @brief Number of entries recorded so far.
    [[nodiscard]] std::uint64_t position() const
    {
        return m_first + m_hosts.size();
    }
    /// @brief Hosts recorded since a position, without duplicates, in the order of their ids; no value if
    /// some of the entries have been discarded.
    [[nodiscard]] std::optional<std::vector<worker_incarnation_id>> since(std::uint64_t position) const
    {
        if (position < m_first)
        {
            return std::nullopt;
        }
        std::vector<worker_incarnation_id> out(
            m_hosts.begin() + static_cast<std::ptrdiff_t>(position - m_first), m_hosts.end());
        std::sort(out.begin(), out.end());
        out.erase(std::unique(out.begin(), out.end()), out.end());
        return out;
    }

  private:
    std::size_t m_kept;
    std::uint64_t m_first = 0; ///< position of the oldest entry
    std::vector<worker_incarnation_id> m_hosts;
};

/// @brief A step for which too little capacity was free.
/// @since 0.3
struct waiting_step
{
    std::uint64_t seen{};            ///< position in the log of freed hosts up to which it has checked
    monotonic_time next_full_scan{}; ///< next scan of all hosts
};

} // namespace walkthread
