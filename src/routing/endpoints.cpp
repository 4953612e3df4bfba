#include <walkthread/routing/endpoints.hpp>

#include <algorithm>

namespace walkthread
{

endpoint_directory::endpoint_directory(endpoint_choice choice, duration staleness,
                                       std::uint32_t worker_connections)
    : m_choice(std::move(choice)), m_staleness(staleness), m_worker_connections(worker_connections)
{
}

void endpoint_directory::set(hall_id hall, const service_endpoints& update)
{
    auto& known = m_services[{update.organisation, update.service}];
    std::vector<endpoint_key>& reported_endpoints = m_reported_endpoints[{hall, update.job}];
    const auto still_listed = [&update](const endpoint_key& key)
    {
        return std::any_of(update.endpoints.begin(), update.endpoints.end(),
                           [&key](const endpoint& e)
                           {
                               return e.key() == key;
                           });
    };
    for (const endpoint_key& key : reported_endpoints)
    {
        if (!still_listed(key))
        {
            known.erase(key);
        }
    }
    reported_endpoints.clear();
    for (const endpoint& item : update.endpoints)
    {
        endpoint_state& state = known[item.key()];
        state.where = item;
        state.hall = hall;
        reported_endpoints.push_back(item.key());
    }
}

void endpoint_directory::clear(hall_id hall)
{
    for (auto& [service, endpoints] : m_services)
    {
        std::erase_if(endpoints,
                      [hall](const auto& item)
                      {
                          return item.second.hall == hall;
                      });
    }
    std::erase_if(m_reported_endpoints,
                  [hall](const auto& item)
                  {
                      return item.first.first == hall;
                  });
}

void endpoint_directory::confirm(hall_id hall, monotonic_time at)
{
    monotonic_time& confirmed = m_last_confirmation[hall];
    confirmed = std::max(confirmed, at);
}

bool endpoint_directory::usable(const endpoint_state& state, const std::vector<endpoint_key>& tried,
                                monotonic_time now) const
{
    const auto confirmed = m_last_confirmation.find(state.hall);
    const bool fresh = confirmed != m_last_confirmation.end() && now - confirmed->second < m_staleness;
    const auto connections = m_connections.find(state.where.worker);
    const bool has_connection_capacity =
        connections == m_connections.end() || connections->second < m_worker_connections;
    const bool untried = std::find(tried.begin(), tried.end(), state.where.key()) == tried.end();
    return fresh && has_connection_capacity && untried && now >= state.avoid_until;
}

std::optional<endpoint> endpoint_directory::begin(const service_key& service, std::uint64_t hash,
                                                  const std::vector<endpoint_key>& tried, monotonic_time now)
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
    {
        return std::nullopt;
    }
    std::vector<const endpoint_state*> candidates;
    std::vector<const endpoint_state*> suspects;
    for (const auto& [key, state] : found->second)
    {
        if (usable(state, tried, now))
        {
            (now >= state.suspect_until ? candidates : suspects).push_back(&state);
        }
    }
    if (candidates.empty())
    {
        candidates.swap(suspects);
    }
    if (candidates.empty())
    {
        return std::nullopt;
    }
    const endpoint chosen = candidates[m_choice(candidates, hash)]->where;
    ++found->second.at(chosen.key()).outstanding;
    ++m_connections[chosen.worker];
    return chosen;
}

void endpoint_directory::end(const service_key& service, const endpoint& used, endpoint_feedback verdict,
                             monotonic_time now)
{
    const auto connections = m_connections.find(used.worker);
    if (connections != m_connections.end() && --connections->second == 0)
    {
        m_connections.erase(connections);
    }
    const auto found = m_services.find(service);
    if (found == m_services.end())
    {
        return;
    }
    const auto state = found->second.find(used.key());
    if (state == found->second.end())
    {
        return;
    }
    endpoint_state& known = state->second;
    known.outstanding -= known.outstanding > 0 ? 1 : 0;
    known.consecutive_broken = verdict == endpoint_feedback::broken ? known.consecutive_broken + 1 : 0;
    if (known.consecutive_broken >= suspect_threshold)
    {
        known.suspect_until = now + avoidance_period;
    }
    if (verdict == endpoint_feedback::gone)
    {
        known.avoid_until = now + avoidance_period;
    }
}

std::size_t endpoint_directory::count(const service_key& service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0 : found->second.size();
}

} // namespace walkthread
