#pragma once

/// @file
/// @brief What the placement advisor said: per step, which workers may run it, and until when tickets count.
///
/// Whether a worker may run a step never changes; only tickets run out. So answers are remembered for the
/// step's life, and later questions name only workers that may.
/// @since 0.2

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/container/flat_map.hpp>

#include <walkthread/dispatch/orders.hpp>

namespace walkthread
{

/// @brief Workers in one question at most; the advisor's bound.
inline constexpr std::size_t most_asked = 100;

/// @brief When a question about tickets left and when its answer was made, on the leader's clock.
struct advice_times
{
    monotonic_time asked{};
    monotonic_time answered{}; ///< no later than the advisor's answer reached the process that asked
};

/// @brief What is known about one worker for one step.
struct advice_entry
{
    bool good{};
    std::string ticket;
    monotonic_time sure_until{};  ///< if tickets count from the question on
    monotonic_time valid_until{}; ///< if they count from the answer on
};

/// @brief What is known for one step.
struct step_advice
{
    boost::container::flat_map<worker_life_id, advice_entry> entries; ///< walked more often than changed
    std::uint32_t open_questions{}; ///< several may be asked at once, each about other workers
    monotonic_time ask_after{};
    duration last_took{}; ///< the last question, its wait for a process that asks included
};

/// @brief All answers of the advisor, and the share of good ones by queue.
/// @since 0.2
class advice_book
{
  public:
    /// @brief What is known for a step; made if new.
    step_advice& of(const step_ref& step);
    /// @brief Forgets a step.
    void forget(const step_ref& step);
    /// @brief Forgets all steps of which `keep` says no.
    void prune(const std::function<bool(const step_ref&)>& keep);
    /// @brief Takes an answer in.
    /// @param asked the workers that were named, with their lives
    void take(const step_ref& step, const std::string& queue, const std::vector<worker_life_id>& asked,
              const std::map<worker_life_id, std::string>& tickets, const advice_times& times,
              milliseconds validity);
    /// @brief A worker refused a ticket that counted here: from now on tickets count from the question.
    void note_refused_ticket()
    {
        m_from_answer = false;
    }
    /// @brief The learned share of workers that may run a step of this queue, 0 to 1.
    [[nodiscard]] double good_share(const std::string& queue) const;
    /// @brief Whether a ticket counts for a while longer.
    [[nodiscard]] bool usable(const advice_entry& entry, monotonic_time now, milliseconds margin) const
    {
        return entry.good && (m_from_answer ? entry.valid_until : entry.sure_until) > now + margin;
    }

  private:
    std::map<step_ref, step_advice> m_steps;
    std::map<std::string, double> m_shares;
    /// Workers take tickets for their whole validity from the answer on, which for a gang's questions is up
    /// to a second more than from the question on: none was refused in 61,000 starts (two days, 48 and 350
    /// hosts).
    bool m_from_answer = true;
};

} // namespace walkthread
