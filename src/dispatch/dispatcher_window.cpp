// dispatcher: how many waiting steps a pass examines, and when the next pass is due.

#include <walkthread/dispatch/dispatcher.hpp>

#include <algorithm>

namespace walkthread
{

namespace
{
constexpr std::int64_t idle_pass_interval_ms = 100; // checks leases and retries

// Gangs that are not urgent are always examined: they gather capacity in advance, and their retries are
// limited.
bool is_limited_by_window(const step_candidate& item)
{
    return !item.step->long_running && (!item.step->gang || item.urgent());
}

backlog_windows::group group_of(const step_candidate& item)
{
    return {item.pool, item.step->required_label, item.step->size.accelerators > 0};
}
} // namespace

monotonic_time dispatcher::next_pass(monotonic_time now) const
{
    monotonic_time latest = now + milliseconds(idle_pass_interval_ms);
    if (const std::optional<wall_ms> due = m_state.next_due())
    {
        const wall_ms ahead = std::clamp<wall_ms>(*due - m_wall, 0, idle_pass_interval_ms);
        latest = std::min(latest, now + milliseconds(ahead));
    }
    return m_schedule.next(m_state.ready().open_steps(), m_state.ready().open_first(), now, latest);
}

// What is free on the hosts that a step may use, or expected to be freed there within the lookahead.
resources dispatcher::expected_capacity(const candidate& item)
{
    resources free;
    resources used;
    for (std::size_t place = 0; place < m_hosts.size(); ++place)
    {
        const host_row& row = m_hosts.at(place);
        if (row.usable && is_eligible(item, row))
        {
            free += row.free;
            used += row.worker->description.size - row.open;
        }
    }
    const double freed = m_turnover.freed_within(m_settings.backlog.lookahead);
    const auto part = [freed](std::int64_t amount)
    {
        return static_cast<std::int64_t>(freed * static_cast<double>(amount));
    };
    return free + resources{part(used.cpu), part(used.memory),
                            static_cast<std::int32_t>(part(used.accelerators)), 0};
}

bool dispatcher::is_within_window(const candidate& item)
{
    return !is_limited_by_window(item) ||
           m_windows.is_open(group_of(item),
                             [this, &item]
                             {
                                 return is_idle(item.pool) ? std::nullopt
                                                           : std::optional(expected_capacity(item));
                             });
}

void dispatcher::count_in_window(const candidate& item)
{
    if (is_limited_by_window(item))
    {
        m_windows.add(group_of(item),
                      host_demand_of(*item.step) * std::min(waiting_tasks(item), item.permitted));
    }
}

} // namespace walkthread
