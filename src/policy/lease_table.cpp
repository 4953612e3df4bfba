#include <walkthread/policy/lease_table.hpp>

namespace walkthread
{

lease_table::lease_table(duration lease, double drift)
    : m_expiry_delay(std::chrono::duration_cast<duration>(lease * (1.0 + 2.0 * drift)))
{
}

void lease_table::reset(const std::vector<worker_id>& workers, monotonic_time now)
{
    m_granted_at.clear();
    m_expired.clear();
    for (const worker_id worker : workers)
    {
        m_granted_at[worker] = now;
    }
}

void lease_table::granted(worker_id worker, monotonic_time now)
{
    m_granted_at[worker] = now;
}

bool lease_table::may_grant(worker_id worker) const
{
    return !m_expired.contains(worker);
}

std::vector<worker_id> lease_table::expire(monotonic_time now)
{
    std::vector<worker_id> over;
    for (const auto& [worker, answered] : m_granted_at)
    {
        if (now - answered > m_expiry_delay && !m_expired.contains(worker))
        {
            over.push_back(worker);
        }
    }
    m_expired.insert(over.begin(), over.end());
    return over;
}

void lease_table::forget(worker_id worker)
{
    m_granted_at.erase(worker);
    m_expired.erase(worker);
}

} // namespace walkthread
