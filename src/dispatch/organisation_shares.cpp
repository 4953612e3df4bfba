#include <walkthread/dispatch/organisation_shares.hpp>

namespace walkthread
{

void organisation_shares::set_weights(std::uint64_t version,
                                      const std::vector<organisation_spec>& organisations)
{
    if (version == m_version)
    {
        return;
    }
    m_version = version;
    std::map<std::string, double> weights;
    for (const organisation_spec& organisation : organisations)
    {
        weights[organisation.name] = organisation.weight;
    }
    m_weights = fair_share<std::string>(std::move(weights), 0.0);
}

// Organisations that neither run nor wait for anything leave their share to the others.
void organisation_shares::note_use(const std::string& organisation, const resources& used,
                                   const resources& capacity)
{
    if (used != resources{})
    {
        m_shares[organisation].used = dominant_share(used, capacity);
    }
}

void organisation_shares::update(const quota_usage& usage, const std::map<std::string, resources>& planned,
                                 const resources& capacity)
{
    m_shares.clear();
    for (const std::string& organisation : m_waiting)
    {
        m_shares[organisation];
    }
    for (const auto& [organisation, used] : usage.all_used())
    {
        note_use(organisation, used, capacity);
    }
    for (const auto& [organisation, more] : planned)
    {
        note_use(organisation, usage.used(organisation) + more, capacity);
    }
    m_shares.erase(std::string{}); // work without an organisation
    double total = 0.0;
    for (const auto& [organisation, share] : m_shares)
    {
        total += m_weights.weight_of(organisation);
    }
    for (auto& [organisation, share] : m_shares)
    {
        share.entitled = total > 0.0 ? m_weights.weight_of(organisation) / total : 1.0;
    }
}

} // namespace walkthread
