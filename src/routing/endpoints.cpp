#include <walkthread/routing/endpoints.hpp>

#include <algorithm>

namespace walkthread
{

endpoint_directory::endpoint_directory(endpoint_choice choice, duration staleness,
                                       std::uint32_t worker_connections)
    : m_choice(std::move(choice)), m_staleness(staleness), m_worker_connections(worker_connections)
{
}

void endpoint_directory::set(hall_id hall, const service_endpoints& news)
{
    auto& known = m_services[{news.organisation, news.service}];
    std::vector<endpoint_key>& told = m_told[{hall, news.job}];
    const auto still_there = [&news](const endpoint_key& key)
    {
        return std::any_of(news.endpoints.begin(), news.endpoints.end(),
                           [&key](const endpoint& e)
                           {
                               return e.key() == key;
                           });
    };
    for (const endpoint_key& key : told)
    {
        if (!still_there(key))
        {
            known.erase(key);
        }
    }
    told.clear();
    for (const endpoint& item : news.endpoints)
    {
        endpoint_state& state = known[item.key()];
        state.where = item;
        state.hall = hall;
        told.push_back(item.key());
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
    std::erase_if(m_told,
                  [hall](const auto& item)
                  {
                      return item.first.first == hall;
                  });
}

void endpoint_directory::confirm(hall_id hall, monotonic_time at)
{
    monotonic_time& confirmed = m_confirmed[hall];
    confirmed = std::max(confirmed, at);
}

bool endpoint_directory::usable(const endpoint_state& state, const std::vector<endpoint_key>& tried,
                                monotonic_time now) const
{
    const auto confirmed = m_confirmed.find(state.hall);
    const bool fresh = confirmed != m_confirmed.end() && now - confirmed->second < m_staleness;
    const auto connections = m_connections.find(state.where.worker);
    const bool room = connections == m_connections.end() || connections->second < m_worker_connections;
    const bool untried = std::find(tried.begin(), tried.end(), state.where.key()) == tried.end();
    return fresh && room && untried && now >= state.avoid_until;
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

void endpoint_directory::end(const service_key& service, const endpoint& used, endpoint_verdict verdict,
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
    known.broken_in_a_row = verdict == endpoint_verdict::broken ? known.broken_in_a_row + 1 : 0;
    if (known.broken_in_a_row >= suspect_after)
    {
        known.suspect_until = now + avoid_time;
    }
    if (verdict == endpoint_verdict::gone)
    {
        known.avoid_until = now + avoid_time;
    }
}

std::size_t endpoint_directory::count(const service_key& service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0 : found->second.size();
}

} // namespace walkthread
