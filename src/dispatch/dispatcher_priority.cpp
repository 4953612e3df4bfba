// dispatcher: work that can wait leaves free capacity to waiting gangs of higher priority.

#include <walkthread/dispatch/dispatcher.hpp>

namespace walkthread
{

// Records a gang that can still be on time and waits for capacity only.
void dispatcher::add_waiting_demand(const candidate& item)
{
    const std::optional<gang_wait> cause = m_gang_wait_times.cause_of(item.ref);
    const bool waits = cause == gang_wait::turn || cause == gang_wait::capacity;
    if (waits && item.queue != nullptr && !item.urgent() && !item.missed())
    {
        m_waiting_demand.add(item.pool, item.queue->priority, item.step->size.accelerators > 0);
    }
}

// Whether single tasks of a step are not started now: gangs of higher priority wait for the capacity, and the
// step has time left, also if its runs take longer than estimated. It starts in any case once its slack is no
// longer than a gang needs to prepare, and while most of the pool is idle.
bool dispatcher::leaves_capacity_to_gangs(const candidate& item)
{
    const double certain_slack_ms = item.slack_ms - item.uncertainty_ms;
    const bool can_wait = item.queue != nullptr && !item.step->gang && !item.step->long_running &&
                          certain_slack_ms > static_cast<double>(m_settings.gang_lead_time.count());
    return can_wait &&
           m_waiting_demand.competes(item.pool, item.queue->priority, item.step->size.accelerators > 0) &&
           !is_idle(item.pool);
}

// Evaluated once per pass and pool, as it visits all hosts.
bool dispatcher::is_idle(pool_number pool)
{
    const auto known = m_idle_pools.find(pool);
    return known != m_idle_pools.end()
               ? known->second
               : m_idle_pools.emplace(pool, begin_reservation_review(pool).idle()).first->second;
}

} // namespace walkthread
