#pragma once

/// @file
/// @brief When a submission has to be done to be on time, and how much of its way lies behind each step.
/// @since 0.2

#include <map>
#include <string>
#include <vector>

#include <walkthread/workload/workload_state.hpp>

namespace walkthread
{

/// @brief Learned ratio of observed to estimated run times, by queue.
///
/// Estimates are the callers' rough guesses; the mean ratio corrects what they have in common.
/// @since 0.2
class objective_book
{
  public:
    /// @brief Takes a completed run in.
    void note_run(const std::string& queue, std::int64_t estimate_ms, std::int64_t took_ms);
    /// @brief How far estimates of a queue are off: the variance of observed times as a part of the expected.
    [[nodiscard]] double spread(const std::string& queue) const;
    /// @brief The expected run time of one task of a step, in milliseconds.
    [[nodiscard]] double expected_ms(const std::string& queue, const step_spec& step) const;
    /// @brief The time from the start of `step` to the end of the submission, along the longest chain.
    /// Complexity: linear in the dependencies.
    [[nodiscard]] double remaining_ms(const submission& owner, std::uint32_t step) const;
    /// @brief How long a submission may take to be on time.
    [[nodiscard]] double objective_ms(const submission& owner, const queue_spec& queue) const;

  private:
    /// What was learned of a queue's estimates.
    struct estimate_record
    {
        double ratio = 1.0;  ///< observed to estimated, mean
        double spread = 0.3; ///< variance of that, relative to the mean; before any run in the middle of the
                             ///< users' kinds, 0.05 to 0.8
    };
    std::map<std::string, estimate_record> m_records;
};

} // namespace walkthread
