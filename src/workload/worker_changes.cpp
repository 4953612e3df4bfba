#include <walkthread/workload/worker_changes.hpp>

namespace walkthread
{

void worker_change_log::note(worker_incarnation_id worker)
{
    ++m_version;
    m_recent.push_back(worker);
    if (m_recent.size() > capacity)
    {
        m_recent.pop_front();
    }
}

void worker_change_log::reset()
{
    ++m_version;
    m_recent.clear();
}

std::optional<std::vector<worker_incarnation_id>> worker_change_log::since(std::uint64_t version) const
{
    const std::uint64_t missing = m_version - version;
    if (missing > m_recent.size())
    {
        return std::nullopt;
    }
    return std::vector<worker_incarnation_id>(m_recent.end() - static_cast<std::ptrdiff_t>(missing),
                                              m_recent.end());
}

} // namespace walkthread
