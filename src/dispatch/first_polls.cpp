#include <walkthread/dispatch/first_polls.hpp>

namespace walkthread
{

void first_poll_queue::add(worker_incarnation_id worker, bool has_runs)
{
    (has_runs ? m_with_runs : m_others).push_back(worker);
}

std::vector<worker_incarnation_id> first_poll_queue::take(monotonic_time now)
{
    while (!m_by_age.empty() && now - m_by_age.begin()->first >= m_settings.slot_time)
    {
        finish(m_by_age.begin()->second);
    }
    std::vector<worker_incarnation_id> out;
    while (waiting() > 0 && m_in_progress.size() < m_settings.max_in_progress)
    {
        std::deque<worker_incarnation_id>& from = m_with_runs.empty() ? m_others : m_with_runs;
        const worker_incarnation_id next = from.front();
        from.pop_front();
        m_in_progress[next] = now;
        m_by_age.emplace(now, next);
        out.push_back(next);
    }
    return out;
}

void first_poll_queue::finish(worker_incarnation_id worker)
{
    const auto found = m_in_progress.find(worker);
    if (found != m_in_progress.end())
    {
        m_by_age.erase({found->second, worker});
        m_in_progress.erase(found);
    }
}

} // namespace walkthread
