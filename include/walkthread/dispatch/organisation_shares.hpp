#pragma once

/// @file
/// @brief Which organisations run more than their share of a contended pool.
///
/// An organisation that sends several times its usual load would otherwise take the capacity of all others,
/// as steps are ordered by slack alone. Capacity that others do not use stays available to every
/// organisation: the order has no effect on a pool in which all steps fit.
/// @since 0.8

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <walkthread/policy/fair_share.hpp>
#include <walkthread/workload/organisation.hpp>

namespace walkthread
{

/// @brief Use of an organisation against its share.
struct organisation_share
{
    double used{};     ///< dominant share of the capacity
    double entitled{}; ///< its weight over the weights of all active organisations
    [[nodiscard]] bool exceeded() const
    {
        return used >= entitled;
    }
};

/// @brief Compares what organisations run with their shares. Derived from the replicated state, so that a new
/// leader decides as the former one did.
/// @since 0.8
class organisation_shares
{
  public:
    /// @brief Weights that are missing or 0 give an organisation what the others leave. Does nothing if the
    /// weights of this version are set already.
    /// @param version of the configuration
    void set_weights(std::uint64_t version, const std::vector<organisation_spec>& organisations);
    /// @brief Forgets which organisations have waiting work.
    void clear_waiting()
    {
        m_waiting.clear();
    }
    /// @brief Forgets the shares: no work competes for capacity.
    void clear()
    {
        m_waiting.clear();
        m_shares.clear();
    }
    void note_waiting(const std::string& organisation)
    {
        m_waiting.insert(organisation);
    }
    /// @brief Computes the shares of all organisations with running or waiting work. Complexity: linear in
    /// the organisations.
    /// @param planned resources of starts that are not recorded yet
    /// @param capacity of all hosts, as usage is counted over all pools
    void update(const quota_usage& usage, const std::map<std::string, resources>& planned,
                const resources& capacity);
    /// @brief Whether an organisation runs at least its share; false for work without an organisation.
    [[nodiscard]] bool exceeds_share(const std::string& organisation) const
    {
        const auto found = m_shares.find(organisation);
        return found != m_shares.end() && found->second.exceeded();
    }
    /// @brief The shares as of the last update, by organisation.
    [[nodiscard]] const std::map<std::string, organisation_share>& shares() const
    {
        return m_shares;
    }

  private:
    void note_use(const std::string& organisation, const resources& used, const resources& capacity);

    fair_share<std::string> m_weights{{}, 0.0};
    std::uint64_t m_version = 0; ///< of the configuration with the weights
    std::set<std::string> m_waiting;
    std::map<std::string, organisation_share> m_shares;
};

} // namespace walkthread
