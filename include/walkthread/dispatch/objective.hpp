#pragma once

/// @file
/// @brief Latency objectives of submissions, and the expected time from each step to the end.
/// @since 0.2

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <walkthread/workload/workload_state.hpp>

namespace walkthread
{

/// @brief Whether a submission can still meet its objective, according to estimates. Under overload, work
/// that is more likely to be on time goes first: ordering by slack alone would use all capacity for work that
/// is late when it is done.
enum class timeliness : std::uint8_t
{
    on_time, ///< it will be on time if it starts now
    at_risk, ///< it may be on time, given the error of estimates
    late,    ///< too late for the full value, but still worth a part of it
    expired, ///< it has no value any more; it still runs, after all other work
};

/// @brief Slack thresholds between the classes, relative to the objective.
struct timeliness_thresholds
{
    double on_time = 0.1;   ///< minimum slack; a tenth covers the error of estimates
    double at_risk = -0.25; ///< minimum slack; estimates are off by a quarter and more
    double late = -2.0;     ///< minimum slack: work has a partial value until three times its objective
};

/// @brief Classifies work that has `slack_ms` left against an objective.
[[nodiscard]] timeliness classify_timeliness(double slack_ms, double objective_ms,
                                             const timeliness_thresholds& bounds);

/// @brief Expected times along the longest dependency chains of a submission, in milliseconds.
struct critical_path_times
{
    double total_ms{};     ///< of the longest chain
    double remaining_ms{}; ///< from the start of one step to the end of the longest chain that begins with it
};

/// @brief How long a submission may take to be on time, in milliseconds.
[[nodiscard]] double objective_ms(const critical_path_times& chain, const queue_spec& queue);

/// @brief Learned ratio of observed to estimated run times, by queue.
///
/// Callers give rough estimates; the mean ratio corrects their common bias.
/// @since 0.2
class run_time_estimator
{
  public:
    /// @brief Records a completed run.
    void record_run(const std::string& queue, std::int64_t estimate_ms, std::int64_t took_ms);
    /// @brief Error of the estimates of a queue: the relative variance of observed against expected times.
    [[nodiscard]] double relative_variance(const std::string& queue) const;
    /// @brief The expected run time of one task of a step, in milliseconds.
    [[nodiscard]] double expected_ms(const std::string& queue, const step_spec& step) const;
    /// @brief Expected times along a submission's longest dependency chains. Complexity: linear in the
    /// dependencies.
    [[nodiscard]] critical_path_times critical_path_of(const submission& owner, std::uint32_t step) const;

  private:
    /// What was learned of a queue's estimates.
    struct estimate_record
    {
        double ratio = 1.0; ///< mean of observed to estimated times
        /// Relative variance of `ratio`; the initial value is within the range of the known workloads, 0.05
        /// to 0.8.
        double relative_variance = 0.3;
    };
    std::map<std::string, estimate_record> m_records;
};

} // namespace walkthread
