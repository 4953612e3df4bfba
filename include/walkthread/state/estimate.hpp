#pragma once

/// @file
/// @brief Run time estimates learned per template, because declared run times are inaccurate.
/// @since 0.1

#include <cstdint>

#include <msgpack.hpp>

namespace walkthread
{

/// @brief Learns the ratio of observed to declared run time of a template's tasks.
///
/// Keeps exponentially weighted averages of the ratio and of its absolute deviation. The estimate is the mean
/// plus `deviation_factor` deviations, so that most backfilled tasks end in time.
/// @since 0.1
class run_estimate
{
  public:
    /// @brief Number of mean deviations added to the mean ratio.
    static constexpr double deviation_factor = 2.0;
    /// @brief Smallest weight of a new observation.
    static constexpr double learning_rate = 0.1;

    /// @brief Records the run time of a completed run. Complexity: constant.
    void learn(std::int64_t declared_seconds, std::int64_t observed_ms);
    /// @brief The estimated run time in milliseconds; the declared one until a run has been observed.
    [[nodiscard]] std::int64_t predict_ms(std::int64_t declared_seconds) const;
    /// @brief Number of runs observed.
    [[nodiscard]] std::uint64_t count() const
    {
        return m_count;
    }

  private:
    std::uint64_t m_count = 0;
    double m_mean = 1.0;
    double m_deviation = 0.0;

  public:
    MSGPACK_DEFINE(m_count, m_mean, m_deviation)
};

} // namespace walkthread
