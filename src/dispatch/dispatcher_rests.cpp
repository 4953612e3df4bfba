// The part of dispatcher that leaves workers without work alone where connections are fewer than workers.

#include <walkthread/dispatch/dispatcher.hpp>

#include <algorithm>

namespace walkthread
{

namespace
{
constexpr int longest_rest =
    2; // times the usual one: rests are spread by a quarter, and looks wait for connections
} // namespace

// Where there are more workers than connections for looks, those without work are asked seldom and keep none:
// each look would take a connection away from a worker that has work.
bool dispatcher::may_rest(const worker_view& view) const
{
    return m_views.size() > m_settings.look_connections && view.runs.empty() && view.late_starts.empty();
}

// Some worker answers within that time, unless the leader is cut off.
duration dispatcher::longest_quiet() const
{
    const bool rests = m_views.size() > m_settings.look_connections;
    return m_settings.silent_after() + (rests ? longest_rest * m_settings.idle_look_gap : milliseconds(0));
}

void dispatcher::rest(worker_view& view, monotonic_time now) const
{
    // Spread, as all of them answer a new leader at about the same time.
    const auto spread = m_settings.idle_look_gap / 4 * (view.id.value() % 4U) / 4;
    view.look_due = now + m_settings.idle_look_gap + spread;
    view.contact.rest(view.look_due);
}

// Its answer tells whether the leader is cut off.
void dispatcher::ask_a_resting_worker(monotonic_time now)
{
    const auto resting = std::find_if(m_views.begin(), m_views.end(),
                                      [now](const auto& item)
                                      {
                                          return item.second.contact.rests(now);
                                      });
    if (resting != m_views.end())
    {
        end_rest(resting->second, now);
    }
}

void dispatcher::end_rest(worker_view& view, monotonic_time now)
{
    view.look_due = std::min(view.look_due, now);
    view.contact.end_rest(now);
}

} // namespace walkthread
