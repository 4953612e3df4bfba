#include <walkthread/fabric/leader_watch.hpp>

namespace walkthread
{

leader_watch::leader_watch(std::vector<std::string> seeds, leader_watch_settings settings)
    : m_settings(settings), m_known_peers(seeds.begin(), seeds.end())
{
}

void leader_watch::add_seeds(const std::vector<std::string>& seeds)
{
    m_known_peers.insert(seeds.begin(), seeds.end());
}

void leader_watch::receive(const std::string& from, const leader_status& leader_report, monotonic_time now)
{
    m_known_peers.insert(leader_report.replicas.begin(), leader_report.replicas.end());
    if (leader_report.leads && leader_report.term >= m_term)
    {
        if (m_leader != from)
        {
            m_last_query = {}; // query it at once, so that it knows this process
        }
        m_leader = from;
        m_term = leader_report.term;
        m_last_leader_contact = now;
        return;
    }
    if (!leader_report.leader.empty() && leader_report.leader != m_leader && leader_report.term > m_term)
    {
        // A peer knows a newer leader. Calls go there at once; the leader's own status confirms it later.
        m_leader = leader_report.leader;
        m_term = leader_report.term;
        m_last_leader_contact = now;
        m_known_peers.insert(leader_report.leader);
        return;
    }
    if (from == m_leader && !leader_report.leads && leader_report.term >= m_term)
    {
        m_leader.clear();
    }
}

std::vector<std::string> leader_watch::peers_to_query(monotonic_time now)
{
    if (!m_leader.empty() && now - m_last_leader_contact > m_settings.leader_timeout)
    {
        m_leader.clear();
    }
    const milliseconds pause = m_leader.empty() ? m_settings.discovery_interval : m_settings.query_interval;
    if (now - m_last_query < pause)
    {
        return {};
    }
    m_last_query = now;
    if (m_leader.empty())
    {
        return {m_known_peers.begin(), m_known_peers.end()};
    }
    // Also query one other peer in turn, so that each knows which processes to notify when it becomes leader.
    auto other = m_known_peers.upper_bound(m_last_other_peer);
    other = other == m_known_peers.end() ? m_known_peers.begin() : other;
    m_last_other_peer = *other;
    return *other == m_leader ? std::vector<std::string>{m_leader}
                              : std::vector<std::string>{m_leader, *other};
}

} // namespace walkthread
