#pragma once

/// @file
/// @brief Weighted fair sharing of a pool between organisations, over all of its resources.
///
/// Ghodsi et al., "Dominant Resource Fairness", NSDI 2011: an organisation's use counts by the resource of
/// which it takes the largest part.
/// @since 0.8

#include <map>
#include <utility>

#include <walkthread/units/amounts.hpp>

namespace walkthread
{

/// @brief Weights of organisations, and what follows from them.
/// @tparam Organisation identifies an organisation; ordered
/// @since 0.8
template <typename Organisation>
class fair_share
{
  public:
    /// @param weights positive; relative to each other
    /// @param default_weight of organisations without an entry
    explicit fair_share(std::map<Organisation, double> weights = {}, double default_weight = 1.0)
        : m_weights(std::move(weights)), m_default_weight(default_weight)
    {
    }
    /// @brief Complexity: logarithmic in the organisations.
    [[nodiscard]] double weight_of(const Organisation& organisation) const
    {
        const auto found = m_weights.find(organisation);
        return found == m_weights.end() ? m_default_weight : found->second;
    }
    /// @brief Whether an organisation has a weight of its own.
    [[nodiscard]] bool contains(const Organisation& organisation) const
    {
        return m_weights.contains(organisation);
    }
    /// @brief The sum of all configured weights. Complexity: linear in the organisations.
    [[nodiscard]] double total_weight() const
    {
        double sum = 0.0;
        for (const auto& [organisation, weight] : m_weights)
        {
            sum += weight;
        }
        return sum;
    }
    /// @brief Dominant share per weight: the organisation with the lowest value is served next.
    /// @param used what the organisation runs
    /// @param capacity of the pool
    [[nodiscard]] double weighted_usage(const Organisation& organisation, const resources& used,
                                        const resources& capacity) const
    {
        return dominant_share(used, capacity) / weight_of(organisation);
    }

  private:
    std::map<Organisation, double> m_weights;
    double m_default_weight;
};

} // namespace walkthread
