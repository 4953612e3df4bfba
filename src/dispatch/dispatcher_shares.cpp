// dispatcher: order between organisations that compete for a pool.

#include <walkthread/dispatch/dispatcher.hpp>

namespace walkthread
{

namespace
{
constexpr double logged_deviation = 0.1; // of a share
} // namespace

// Marks the steps of organisations that already run at least their share.
void dispatcher::apply_shares(std::vector<candidate>& items, bool all)
{
    if (!m_settings.contended_pool || !m_state.current_configuration())
    {
        return;
    }
    if (items.empty() && all)
    {
        m_shares.clear();
    }
    if (items.empty())
    {
        return;
    }
    const cluster_configuration& configuration = *m_state.current_configuration();
    m_shares.set_weights(configuration.version, configuration.organisations);
    if (all)
    {
        m_shares.clear_waiting();
    }
    for (const candidate& item : items)
    {
        m_shares.note_waiting(item.owner->organisation);
    }
    m_shares.update(m_state.quotas(), m_planned_by_organisation, m_hosts.total_capacity());
    for (candidate& item : items)
    {
        item.beyond_share = m_shares.exceeds_share(item.owner->organisation);
    }
}

// Logs the organisations that exceed their shares while work waits.
void dispatcher::log_shares(monotonic_time now)
{
    for (const auto& [organisation, share] : m_shares.shares())
    {
        if (share.used > share.entitled * (1.0 + logged_deviation))
        {
            log_event(now, "organisation_share", organisation,
                      {{"used", share.used}, {"entitled", share.entitled}});
        }
    }
}

} // namespace walkthread
