#pragma once

/// @file
/// @brief Cache of the placement advisor's answers: per step, which workers may run it and until when their
/// tickets are valid.
///
/// Whether a worker may run a step never changes; only tickets expire. Answers are therefore kept for as long
/// as the step exists, and later queries name only workers that are known to be eligible.
/// @since 0.2

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/container/flat_map.hpp>

#include <walkthread/dispatch/orders.hpp>

namespace walkthread
{

/// @brief Maximum number of workers in one query; the advisor's limit.
inline constexpr std::size_t max_workers_per_question = 100;

/// @brief When a ticket query was sent and when it was answered, on the leader's clock.
struct advice_times
{
    monotonic_time asked{};
    /// Not later than the time at which the answer reached the process that queried the advisor.
    monotonic_time answered{};
};

/// @brief What is known about one worker for one step.
struct advice_entry
{
    bool good{};
    std::string ticket;
    monotonic_time valid_until_from_question{}; ///< if ticket validity starts with the query
    monotonic_time valid_until_from_answer{};   ///< if ticket validity starts with the answer
};

/// @brief What is known for one step.
struct step_advice
{
    /// A flat map, as it is iterated more often than modified.
    boost::container::flat_map<worker_incarnation_id, advice_entry> entries;
    std::uint32_t pending_questions{}; ///< several may be pending, each about other workers
    monotonic_time ask_after{};
    duration last_duration{}; ///< duration of the last query, including the wait for a process that sends it
};

/// @brief All answers of the advisor, and the share of eligible workers by queue.
/// @since 0.2
class advice_cache
{
  public:
    /// @brief Returns the entry of a step; creates it if there is none.
    step_advice& of(const step_ref& step);
    void forget(const step_ref& step);
    /// @brief Removes all steps for which `keep` returns false, except those with pending queries.
    void prune(const std::function<bool(const step_ref&)>& keep);
    /// @brief Stores an answer.
    /// @param asked the incarnations of the workers that the query named
    void take(const step_ref& step, const std::string& queue, const std::vector<worker_incarnation_id>& asked,
              const std::map<worker_incarnation_id, std::string>& tickets, const advice_times& times,
              milliseconds validity);
    /// @brief Records that a worker refused a ticket that was considered valid here: from now on, validity is
    /// counted from the query.
    void record_refused_ticket()
    {
        m_count_from_answer = false;
    }
    /// @brief The learned share of workers that may run a step of this queue, 0 to 1.
    [[nodiscard]] double good_share(const std::string& queue) const;
    /// @brief Whether a ticket stays valid for at least `margin`.
    [[nodiscard]] bool usable(const advice_entry& entry, monotonic_time now, milliseconds margin) const
    {
        return entry.good && (m_count_from_answer ? entry.valid_until_from_answer
                                                  : entry.valid_until_from_question) > now + margin;
    }

  private:
    std::map<step_ref, step_advice> m_steps;
    std::map<std::string, double> m_shares;
    /// Workers accept tickets for their whole validity, counted from the answer. For queries of gangs this is
    /// up to a second longer than counted from the query. None was refused in 61,000 starts (two days, 48 and
    /// 350 hosts).
    bool m_count_from_answer = true;
};

} // namespace walkthread
