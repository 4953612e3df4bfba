// dispatcher: queues that the operators send to another pool.

#include <walkthread/dispatch/dispatcher.hpp>

#include <set>

namespace walkthread
{

// Tasks that run in the former pool go on there; what waits is placed in the new one. Capacity that waiting
// steps hold in the former pool would stay idle, and their back-off and scan times come from hosts that they
// no longer use.
void dispatcher::follow_moved_queues(monotonic_time now)
{
    if (!m_state.current_configuration())
    {
        return;
    }
    const std::vector<queue_move> moves = m_queue_pools.update(*m_state.current_configuration(),
                                                               [this](const std::string& route)
                                                               {
                                                                   return m_state.unfinished(route) > 0;
                                                               });
    if (moves.empty())
    {
        return;
    }
    std::set<std::string> moved;
    for (const queue_move& move : moves)
    {
        moved.insert(move.route);
        log_event(now, "queue_moved", move.route,
                  {{"from", move.from}, {"to", move.to}, {"unfinished", m_state.unfinished(move.route)}});
    }
    for (const step_ref& ref : m_state.ready().steps())
    {
        if (moved.contains(m_state.route_of(*m_state.find(ref.submission))))
        {
            drop_hold(ref);
            m_hold_backoff_until.erase(ref);
            m_gang_retry_at.erase(ref);
            m_last_preemption.erase(ref);
            m_waiting.erase(ref);
        }
    }
    m_schedule.request_full_pass(m_state.ready().open_steps(), now);
}

} // namespace walkthread
