// dispatcher: reduced polling of idle workers where there are more workers than connections.

#include <walkthread/dispatch/dispatcher.hpp>

#include <algorithm>

namespace walkthread
{

namespace
{
// Times the usual idle interval: intervals are spread by up to a quarter, and polls wait for connections.
constexpr int max_idle_poll_factor = 2;
} // namespace

// Where there are more workers than connections for polls, idle workers are polled rarely and keep no
// connection: each poll would take one away from a worker that has work.
bool dispatcher::may_poll_rarely(const worker_view& view) const
{
    return m_views.size() > m_settings.poll_connections && view.runs.empty() &&
           view.unanswered_starts.empty();
}

// Unless the leader is partitioned, at least one worker answers within that time.
duration dispatcher::max_expected_silence() const
{
    const bool polled_rarely = m_views.size() > m_settings.poll_connections;
    return m_settings.silent_after() +
           (polled_rarely ? max_idle_poll_factor * m_settings.idle_poll_interval : milliseconds(0));
}

void dispatcher::poll_rarely(worker_view& view, monotonic_time now) const
{
    // Spreads the polls, as all workers answer a new leader at about the same time.
    const auto spread = m_settings.idle_poll_interval / 4 * (view.id.value() % 4U) / 4;
    view.poll_due = now + m_settings.idle_poll_interval + spread;
    view.contact.poll_rarely(view.poll_due);
}

// Polls one idle worker, whose answer tells whether the leader is partitioned.
void dispatcher::poll_one_idle_worker(monotonic_time now)
{
    const auto idle_worker = std::find_if(m_views.begin(), m_views.end(),
                                          [now](const auto& item)
                                          {
                                              return item.second.contact.polled_rarely(now);
                                          });
    if (idle_worker != m_views.end())
    {
        poll_promptly(idle_worker->second, now);
    }
}

void dispatcher::poll_promptly(worker_view& view, monotonic_time now)
{
    view.poll_due = std::min(view.poll_due, now);
    view.contact.poll_promptly(now);
}

} // namespace walkthread
