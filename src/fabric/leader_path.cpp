#include <walkthread/fabric/leader_path.hpp>

#include <algorithm>
#include <utility>

namespace walkthread
{

void leader_path::expect_answer(monotonic_time now)
{
    m_waiting_since = m_waiting_since.value_or(now);
}

void leader_path::record_leader_contact()
{
    m_waiting_since.reset();
    m_probed_since.reset();
    m_relay.clear();
}

void leader_path::record_message(monotonic_time now)
{
    m_last_message = now;
}

// A contact from before the silence began says nothing: the leader may have failed since.
void leader_path::record_probe_answer(const std::string& from, std::optional<duration> leader_silent_for,
                                      monotonic_time now)
{
    const bool reaches_leader =
        m_waiting_since && leader_silent_for && now - *leader_silent_for > *m_waiting_since;
    const bool other_relays =
        !m_relay.empty() && m_relay != from && now - m_relay_confirmed < m_settings.relay_timeout;
    if (!reaches_leader || other_relays)
    {
        return;
    }
    m_relay = from;
    m_relay_confirmed = now;
}

bool leader_path::needs_probe_peers(monotonic_time now) const
{
    return !m_refreshed || now - *m_refreshed >= m_settings.refresh_interval;
}

void leader_path::set_probe_peers(std::vector<std::string> peers, monotonic_time now)
{
    if (peers.empty())
    {
        return;
    }
    peers.resize(std::min(peers.size(), m_settings.max_probe_peers));
    m_probe_peers = std::move(peers);
    m_refreshed = now;
}

std::vector<std::string> leader_path::peers_to_probe(monotonic_time now)
{
    const bool silent = m_waiting_since && now - *m_waiting_since >= m_settings.probe_after;
    const bool probed_recently = m_probed_since && now - m_last_probe < m_settings.probe_interval;
    if (!silent || probed_recently)
    {
        return {};
    }
    m_probed_since = m_probed_since.value_or(now);
    m_last_probe = now;
    return m_probe_peers;
}

std::string leader_path::relay(monotonic_time now) const
{
    const bool leader_had_time = m_probed_since && now - *m_probed_since >= m_settings.direct_grace;
    const bool confirmed = now - m_relay_confirmed < m_settings.relay_timeout;
    return leader_had_time && confirmed ? m_relay : std::string{};
}

bool leader_path::is_isolated(monotonic_time now) const
{
    return m_probed_since && !m_probe_peers.empty() &&
           now - std::max(*m_probed_since, m_last_message) >= m_settings.isolated_after;
}

} // namespace walkthread
