#include <walkthread/fabric/leader_watch.hpp>

namespace walkthread
{

leader_watch::leader_watch(std::vector<std::string> seeds, leader_watch_settings settings)
    : m_settings(settings), m_known(seeds.begin(), seeds.end())
{
}

void leader_watch::add_seeds(const std::vector<std::string>& seeds)
{
    m_known.insert(seeds.begin(), seeds.end());
}

void leader_watch::take(const std::string& from, const leader_note& note, monotonic_time now)
{
    m_known.insert(note.replicas.begin(), note.replicas.end());
    if (note.leads && note.term >= m_term)
    {
        if (m_leader != from)
        {
            m_asked = {}; // query it at once, so that it knows this process
        }
        m_leader = from;
        m_term = note.term;
        m_heard = now;
        return;
    }
    if (!note.leader.empty() && note.leader != m_leader && note.term > m_term)
    {
        // A peer knows a newer leader. Calls go there at once; the leader's own status confirms it later.
        m_leader = note.leader;
        m_term = note.term;
        m_heard = now;
        m_known.insert(note.leader);
        return;
    }
    if (from == m_leader && !note.leads && note.term >= m_term)
    {
        m_leader.clear();
    }
}

std::vector<std::string> leader_watch::whom_to_ask(monotonic_time now)
{
    if (!m_leader.empty() && now - m_heard > m_settings.leader_silent)
    {
        m_leader.clear();
    }
    const milliseconds pause = m_leader.empty() ? m_settings.ask_unknown : m_settings.ask_every;
    if (now - m_asked < pause)
    {
        return {};
    }
    m_asked = now;
    if (m_leader.empty())
    {
        return {m_known.begin(), m_known.end()};
    }
    // Also query one other peer in turn, so that each knows which processes to notify when it becomes leader.
    auto other = m_known.upper_bound(m_last_other);
    other = other == m_known.end() ? m_known.begin() : other;
    m_last_other = *other;
    return *other == m_leader ? std::vector<std::string>{m_leader}
                              : std::vector<std::string>{m_leader, *other};
}

} // namespace walkthread
