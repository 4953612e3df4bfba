#pragma once

/// @file
/// @brief On which hosts room came free lately, so that a step that waits looks at these alone.
/// @since 0.3

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include <walkthread/workload/submission.hpp>

namespace walkthread
{

/// @brief A bounded record of hosts where room came free, oldest first.
/// @since 0.3
class room_news
{
  public:
    /// @param kept how many are remembered at least; who read longer ago looks at all hosts again
    explicit room_news(std::size_t kept) : m_kept(kept)
    {
    }

    /// @brief Room came free on a host. Complexity: amortized constant.
    void note(worker_life_id host)
    {
        if (m_hosts.size() >= 2 * m_kept)
        {
            const std::size_t drop = m_hosts.size() - m_kept;
            m_hosts.erase(m_hosts.begin(), m_hosts.begin() + static_cast<std::ptrdiff_t>(drop));
            m_first += drop;
        }
        m_hosts.push_back(host);
    }
    /// @brief How many were noted so far.
    [[nodiscard]] std::uint64_t position() const
    {
        return m_first + m_hosts.size();
    }
    /// @brief Hosts noted since a position, each once, in the order of their ids; no value if some of them
    /// are forgotten.
    [[nodiscard]] std::optional<std::vector<worker_life_id>> since(std::uint64_t position) const
    {
        if (position < m_first)
        {
            return std::nullopt;
        }
        std::vector<worker_life_id> out(m_hosts.begin() + static_cast<std::ptrdiff_t>(position - m_first),
                                        m_hosts.end());
        std::sort(out.begin(), out.end());
        out.erase(std::unique(out.begin(), out.end()), out.end());
        return out;
    }

  private:
    std::size_t m_kept;
    std::uint64_t m_first = 0; ///< the position of the oldest one
    std::vector<worker_life_id> m_hosts;
};

} // namespace walkthread
