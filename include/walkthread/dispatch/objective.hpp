#pragma once

/// @file
/// @brief When a submission has to be done to be on time, and how much of its way lies behind each step.
/// @since 0.2

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <walkthread/workload/workload_state.hpp>

namespace walkthread
{

/// @brief What a submission can still earn, as far as estimates say. Under overload the better outlook goes
/// first: an order by slack alone would spend all room on work that is late by the time it is done.
enum class outlook : std::uint8_t
{
    on_time,   ///< it will be done in time if it starts now
    doubtful,  ///< it may be, as estimates are rough
    late,      ///< it earns the part that late work earns
    worthless, ///< it earns nothing any more; it is done all the same, last
};

/// @brief Bounds between outlooks, as parts of the objective.
struct outlook_bounds
{
    double on_time = 0.1;    ///< slack above: a tenth for what estimates leave open
    double doubtful = -0.25; ///< slack above; estimates are off by a quarter and more
    double late = -2.0;      ///< slack above: work earns a part until three times its objective
};

/// @brief The outlook of work that has `slack_ms` left against an objective.
[[nodiscard]] outlook judge_outlook(double slack_ms, double objective_ms, const outlook_bounds& bounds);

/// @brief Expected times of a submission, in milliseconds.
struct chain_times
{
    double longest_ms{};   ///< of its longest chain
    double remaining_ms{}; ///< from the start of one step to the end, along the longest chain
};

/// @brief How long a submission may take to be on time, in milliseconds.
[[nodiscard]] double objective_ms(const chain_times& chain, const queue_spec& queue);

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
    /// @brief Expected times along a submission's longest chains of steps. Complexity: linear in the
    /// dependencies.
    [[nodiscard]] chain_times chain_of(const submission& owner, std::uint32_t step) const;

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
