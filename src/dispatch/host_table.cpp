#include <walkthread/dispatch/host_table.hpp>

#include <algorithm>

namespace walkthread
{

void host_table::begin_pass(monotonic_time now)
{
    ++m_pass;
    m_now = now;
    m_usable.clear();
    if (m_version != m_state.workers_version())
    {
        m_version = m_state.workers_version();
        rebuild();
    }
}

void host_table::rebuild()
{
    m_rows.clear();
    m_places.clear();
    m_capacities.clear();
    m_rows.reserve(m_state.workers().size());
    for (const auto& [id, worker] : m_state.workers())
    {
        host_row row;
        row.worker = &worker;
        row.view = &m_views.at(id);
        const auto next = static_cast<std::uint32_t>(m_pools.size() + 1);
        row.pool = m_pools.emplace(worker.description.pool, pool_number{next}).first->second;
        m_capacities[row.pool] += worker.description.size;
        m_places.emplace(id, m_rows.size());
        m_rows.push_back(row);
    }
}

void host_table::recompute(host_row& row) const
{
    const worker_incarnation& worker = *row.worker;
    const auto held = m_held.find(worker.id);
    row.open = worker.description.size - worker.used - row.view->planned;
    row.free = held == m_held.end() ? row.open : row.open - held->second;
    const bool closed = !m_closed.empty() && m_closed.contains(worker.description.host);
    const bool cordoned = m_state.cordons().contains(worker.description.hall);
    row.reason = availability_of(*row.view, worker, closed, cordoned, m_now, m_settings);
    row.usable = row.reason == host_availability::usable;
    row.stamp = m_pass;
}

const host_row& host_table::at(std::size_t place)
{
    host_row& row = m_rows[place];
    if (row.stamp != m_pass)
    {
        recompute(row);
    }
    return row;
}

const host_row* host_table::find(worker_incarnation_id worker)
{
    const auto found = m_places.find(worker);
    return found == m_places.end() ? nullptr : &at(found->second);
}

pool_number host_table::number_of(const std::string& pool) const
{
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? pool_number{} : found->second;
}

resources host_table::capacity_of(pool_number pool) const
{
    const auto found = m_capacities.find(pool);
    return found == m_capacities.end() ? resources{} : found->second;
}

resources host_table::total_capacity() const
{
    resources sum;
    for (const auto& [pool, capacity] : m_capacities)
    {
        sum += capacity;
    }
    return sum;
}

std::size_t host_table::usable_in(pool_number pool)
{
    const auto known = m_usable.find(pool);
    if (known != m_usable.end())
    {
        return known->second;
    }
    std::size_t count = 0;
    for (std::size_t place = 0; place < m_rows.size(); ++place)
    {
        const host_row& row = at(place);
        count += row.usable && row.pool == pool ? 1 : 0;
    }
    m_usable[pool] = count;
    return count;
}

void host_table::invalidate(worker_incarnation_id worker)
{
    const auto found = m_places.find(worker);
    if (found != m_places.end())
    {
        m_rows[found->second].stamp = 0;
    }
}

void host_table::hold(worker_incarnation_id worker, const resources& room)
{
    m_held[worker] += room;
    invalidate(worker);
}

void host_table::release(worker_incarnation_id worker, const resources& room)
{
    const auto held = m_held.find(worker);
    if (held == m_held.end())
    {
        return;
    }
    held->second -= room;
    if (held->second == resources{})
    {
        m_held.erase(held);
    }
    invalidate(worker);
}

} // namespace walkthread
