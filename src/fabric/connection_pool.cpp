#include <walkthread/fabric/connection_pool.hpp>

#include <iterator>

namespace walkthread
{

std::optional<pool_grant> connection_pool::acquire(pooled_call_id call, const std::string& address,
                                                   call_priority priority, monotonic_time deadline,
                                                   monotonic_time now)
{
    address_state& state = m_addresses[address];
    if (!state.idle.empty())
    {
        return use_idle(state, address, call);
    }
    const bool busy = state.open > 0;
    if (!busy && can_open(state))
    {
        return open_new(state, address, call);
    }
    const queue_position position{priority, m_next_turn++};
    state.waiting.emplace(position, waiting_call{call, deadline, busy});
    m_deadlines.emplace(deadline, position, address);
    if (busy)
    {
        m_waiting_for_busy.emplace(now + m_settings.busy_wait_limit, position, address);
    }
    update_pool_queue(state, address);
    return std::nullopt;
}

std::vector<pool_grant> connection_pool::open_additional(monotonic_time now)
{
    std::vector<pool_grant> out;
    while (!m_waiting_for_busy.empty() && std::get<0>(*m_waiting_for_busy.begin()) <= now)
    {
        const auto [when, position, address] = *m_waiting_for_busy.begin();
        m_waiting_for_busy.erase(m_waiting_for_busy.begin());
        const auto at = m_addresses.find(address);
        const bool waits = at != m_addresses.end() && at->second.waiting.contains(position);
        if (!waits)
        {
            continue;
        }
        address_state& state = at->second;
        state.waiting.at(position).waits_for_busy = false;
        if (can_open(state))
        {
            const waiting_call next = pop_first_waiting(state);
            out.push_back(open_new(state, address, next.call));
        }
        update_pool_queue(state, address);
    }
    return out;
}

std::optional<pool_grant> connection_pool::release(pooled_connection_id connection, bool open,
                                                   monotonic_time now, next_use next_call)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end())
    {
        return std::nullopt;
    }
    const std::string address = found->second.address;
    address_state& state = m_addresses[address];
    const bool same_address_waits = !state.waiting.empty();
    const bool other =
        !m_waiting_for_capacity.empty() &&
        (!same_address_waits || m_waiting_for_capacity.begin()->first < state.waiting.begin()->first);
    if (open && same_address_waits && !other)
    {
        const waiting_call next = pop_first_waiting(state);
        update_pool_queue(state, address);
        return pool_grant{next.call, connection, address, false, std::nullopt};
    }
    if (open && !other)
    {
        std::list<idle_connection>& idle = idle_list(next_call);
        idle.push_back({connection, now});
        found->second.idle = std::prev(idle.end());
        found->second.next = next_call;
        state.idle.push_back(connection);
        return std::nullopt;
    }
    remove(connection);
    update_pool_queue(state, address); // calls to the same address may use the released capacity
    if (m_waiting_for_capacity.empty())
    {
        erase_if_unused(address);
        return std::nullopt;
    }
    const std::string next_address = m_waiting_for_capacity.begin()->second;
    address_state& next_state = m_addresses[next_address];
    const waiting_call next = pop_first_waiting(next_state);
    pool_grant grant = open_new(next_state, next_address, next.call);
    update_pool_queue(next_state, next_address);
    if (open)
    {
        grant.replaced = connection;
    }
    erase_if_unused(address);
    return grant;
}

std::vector<pooled_call_id> connection_pool::expire(monotonic_time now)
{
    std::vector<pooled_call_id> out;
    while (!m_deadlines.empty() && std::get<0>(*m_deadlines.begin()) <= now)
    {
        const auto [when, position, address] = *m_deadlines.begin();
        m_deadlines.erase(m_deadlines.begin());
        address_state& state = m_addresses[address];
        out.push_back(state.waiting.at(position).call);
        state.waiting.erase(position);
        update_pool_queue(state, address);
        erase_if_unused(address);
    }
    return out;
}

std::vector<pooled_connection_id> connection_pool::close_idle(monotonic_time now)
{
    std::vector<pooled_connection_id> out;
    for (;;)
    {
        const bool late =
            m_idle.empty() || (!m_idle_late.empty() && m_idle_late.front().since < m_idle.front().since);
        const std::list<idle_connection>& idle = late ? m_idle_late : m_idle;
        if (idle.empty() || now - idle.front().since < m_settings.idle_timeout)
        {
            return out;
        }
        const pooled_connection_id oldest = idle.front().id;
        const std::string address = m_connections.at(oldest).address;
        remove(oldest);
        erase_if_unused(address);
        out.push_back(oldest);
    }
}

std::list<connection_pool::idle_connection>& connection_pool::idle_list(next_use next)
{
    return next == next_use::late ? m_idle_late : m_idle;
}

pooled_connection_id connection_pool::choose_replaced() const
{
    return m_idle_late.empty() ? m_idle.front().id : m_idle_late.back().id;
}

pool_grant connection_pool::use_idle(address_state& state, const std::string& address, pooled_call_id call)
{
    const pooled_connection_id connection = state.idle.back();
    state.idle.pop_back();
    connection_state& known = m_connections.at(connection);
    idle_list(known.next).erase(*known.idle);
    known.idle.reset();
    return pool_grant{call, connection, address, false, std::nullopt};
}

pool_grant connection_pool::open_new(address_state& state, const std::string& address, pooled_call_id call)
{
    pool_grant grant{call, pooled_connection_id{m_next_connection++}, address, true, std::nullopt};
    if (m_connections.size() >= m_settings.max_connections)
    {
        grant.replaced = choose_replaced();
        const std::string other = m_connections.at(*grant.replaced).address;
        remove(*grant.replaced);
        if (other != address)
        {
            erase_if_unused(other);
        }
    }
    m_connections[grant.connection].address = address;
    ++state.open;
    return grant;
}

bool connection_pool::can_open(const address_state& state) const
{
    const bool has_capacity = m_connections.size() < m_settings.max_connections || idle() > 0;
    return has_capacity && state.open < m_settings.max_per_address;
}

connection_pool::waiting_call connection_pool::pop_first_waiting(address_state& state)
{
    const auto first = state.waiting.begin();
    const waiting_call out = first->second;
    m_deadlines.erase(m_deadlines.lower_bound({out.deadline, first->first, {}}));
    state.waiting.erase(first);
    return out;
}

// An address waits for pool capacity while its first waiting call could use another connection.
void connection_pool::update_pool_queue(address_state& state, const std::string& address)
{
    if (state.pool_queue_position)
    {
        m_waiting_for_capacity.erase(*state.pool_queue_position);
        state.pool_queue_position.reset();
    }
    const bool waits =
        !state.waiting.empty() && !(state.open > 0 && state.waiting.begin()->second.waits_for_busy);
    if (waits && state.open < m_settings.max_per_address)
    {
        state.pool_queue_position = state.waiting.begin()->first;
        m_waiting_for_capacity[*state.pool_queue_position] = address;
    }
}

void connection_pool::remove(pooled_connection_id connection)
{
    const auto found = m_connections.find(connection);
    address_state& state = m_addresses[found->second.address];
    if (found->second.idle)
    {
        idle_list(found->second.next).erase(*found->second.idle);
        std::erase(state.idle, connection);
    }
    --state.open;
    m_connections.erase(found);
}

void connection_pool::erase_if_unused(const std::string& address)
{
    const auto found = m_addresses.find(address);
    if (found != m_addresses.end() && found->second.open == 0 && found->second.waiting.empty())
    {
        m_addresses.erase(found);
    }
}

} // namespace walkthread
