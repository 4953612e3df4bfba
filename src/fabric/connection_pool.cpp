#include <walkthread/fabric/connection_pool.hpp>

#include <iterator>

namespace walkthread
{

std::optional<pool_grant> connection_pool::acquire(pooled_call call, const std::string& address,
                                                   call_need priority, monotonic_time deadline,
                                                   monotonic_time now)
{
    address_state& state = m_addresses[address];
    if (!state.idle.empty())
    {
        return use_idle(state, address, call);
    }
    const bool busy = state.open > 0;
    if (!busy && may_open(state))
    {
        return open_fresh(state, address, call);
    }
    const queue_position position{priority, m_next_turn++};
    state.waiting.emplace(position, waiting_call{call, deadline, busy});
    m_deadlines.emplace(deadline, position, address);
    if (busy)
    {
        m_patient.emplace(now + m_settings.busy_lasts, position, address);
    }
    take_place_in_line(state, address);
    return std::nullopt;
}

std::vector<pool_grant> connection_pool::open_more(monotonic_time now)
{
    std::vector<pool_grant> out;
    while (!m_patient.empty() && std::get<0>(*m_patient.begin()) <= now)
    {
        const auto [when, position, address] = *m_patient.begin();
        m_patient.erase(m_patient.begin());
        const auto at = m_addresses.find(address);
        const bool waits = at != m_addresses.end() && at->second.waiting.contains(position);
        if (!waits)
        {
            continue;
        }
        address_state& state = at->second;
        state.waiting.at(position).waits_for_own = false;
        if (may_open(state))
        {
            const waiting_call next = take_first(state);
            out.push_back(open_fresh(state, address, next.call));
        }
        take_place_in_line(state, address);
    }
    return out;
}

std::optional<pool_grant> connection_pool::release(pooled_id connection, bool open, monotonic_time now)
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
        !m_short.empty() && (!same_address_waits || m_short.begin()->first < state.waiting.begin()->first);
    if (open && same_address_waits && !other)
    {
        const waiting_call next = take_first(state);
        take_place_in_line(state, address);
        return pool_grant{next.call, connection, address, false, std::nullopt};
    }
    if (open && !other)
    {
        m_idle.push_back({connection, now});
        found->second.idle = std::prev(m_idle.end());
        state.idle.push_back(connection);
        return std::nullopt;
    }
    remove(connection);
    take_place_in_line(state, address); // calls to the same address may use the released capacity
    if (m_short.empty())
    {
        forget_if_unused(address);
        return std::nullopt;
    }
    const std::string next_address = m_short.begin()->second;
    address_state& next_state = m_addresses[next_address];
    const waiting_call next = take_first(next_state);
    pool_grant grant = open_fresh(next_state, next_address, next.call);
    take_place_in_line(next_state, next_address);
    if (open)
    {
        grant.replaced = connection;
    }
    forget_if_unused(address);
    return grant;
}

std::vector<pooled_call> connection_pool::expire(monotonic_time now)
{
    std::vector<pooled_call> out;
    while (!m_deadlines.empty() && std::get<0>(*m_deadlines.begin()) <= now)
    {
        const auto [when, position, address] = *m_deadlines.begin();
        m_deadlines.erase(m_deadlines.begin());
        address_state& state = m_addresses[address];
        out.push_back(state.waiting.at(position).call);
        state.waiting.erase(position);
        take_place_in_line(state, address);
        forget_if_unused(address);
    }
    return out;
}

std::vector<pooled_id> connection_pool::close_idle(monotonic_time now)
{
    std::vector<pooled_id> out;
    while (!m_idle.empty() && now - m_idle.front().since >= m_settings.idle_lasts)
    {
        const pooled_id oldest = m_idle.front().id;
        const std::string address = m_connections.at(oldest).address;
        remove(oldest);
        forget_if_unused(address);
        out.push_back(oldest);
    }
    return out;
}

pool_grant connection_pool::use_idle(address_state& state, const std::string& address, pooled_call call)
{
    const pooled_id connection = state.idle.back();
    state.idle.pop_back();
    connection_state& known = m_connections.at(connection);
    m_idle.erase(*known.idle);
    known.idle.reset();
    return pool_grant{call, connection, address, false, std::nullopt};
}

pool_grant connection_pool::open_fresh(address_state& state, const std::string& address, pooled_call call)
{
    pool_grant grant{call, pooled_id{m_next_connection++}, address, true, std::nullopt};
    if (m_connections.size() >= m_settings.max_connections)
    {
        grant.replaced = m_idle.front().id;
        const std::string other = m_connections.at(*grant.replaced).address;
        remove(*grant.replaced);
        if (other != address)
        {
            forget_if_unused(other);
        }
    }
    m_connections[grant.connection].address = address;
    ++state.open;
    return grant;
}

bool connection_pool::may_open(const address_state& state) const
{
    const bool has_capacity = m_connections.size() < m_settings.max_connections || !m_idle.empty();
    return has_capacity && state.open < m_settings.most_each;
}

connection_pool::waiting_call connection_pool::take_first(address_state& state)
{
    const auto first = state.waiting.begin();
    const waiting_call out = first->second;
    m_deadlines.erase(m_deadlines.lower_bound({out.deadline, first->first, {}}));
    state.waiting.erase(first);
    return out;
}

// An address waits for pool capacity while its first waiting call could use another connection.
void connection_pool::take_place_in_line(address_state& state, const std::string& address)
{
    if (state.in_line)
    {
        m_short.erase(*state.in_line);
        state.in_line.reset();
    }
    const bool waits =
        !state.waiting.empty() && !(state.open > 0 && state.waiting.begin()->second.waits_for_own);
    if (waits && state.open < m_settings.most_each)
    {
        state.in_line = state.waiting.begin()->first;
        m_short[*state.in_line] = address;
    }
}

void connection_pool::remove(pooled_id connection)
{
    const auto found = m_connections.find(connection);
    address_state& state = m_addresses[found->second.address];
    if (found->second.idle)
    {
        m_idle.erase(*found->second.idle);
        std::erase(state.idle, connection);
    }
    --state.open;
    m_connections.erase(found);
}

void connection_pool::forget_if_unused(const std::string& address)
{
    const auto found = m_addresses.find(address);
    if (found != m_addresses.end() && found->second.open == 0 && found->second.waiting.empty())
    {
        m_addresses.erase(found);
    }
}

} // namespace walkthread
