#include <walkthread/dispatch/advice_cache.hpp>

#include <algorithm>

namespace walkthread
{

namespace
{
// Before any answer: between the shares of the known workloads, 0.3 to 0.7.
constexpr double initial_share = 0.4;
constexpr double min_share = 0.05;     // so that one bad answer does not make a query name all workers
constexpr double learning_rate = 0.15; // weight of one answer
} // namespace

step_advice& advice_cache::of(const step_ref& step)
{
    return m_steps[step];
}

void advice_cache::forget(const step_ref& step)
{
    m_steps.erase(step);
}

void advice_cache::prune(const std::function<bool(const step_ref&)>& keep)
{
    std::erase_if(m_steps,
                  [&keep](const auto& item)
                  {
                      return !keep(item.first) && item.second.pending_questions == 0;
                  });
}

void advice_cache::take(const step_ref& step, const std::string& queue,
                        const std::vector<worker_incarnation_id>& asked,
                        const std::map<worker_incarnation_id, std::string>& tickets,
                        const advice_times& times, milliseconds validity)
{
    step_advice& known = m_steps[step];
    known.last_duration = times.answered - times.asked;
    std::size_t fresh = 0;
    std::size_t good = 0;
    for (const worker_incarnation_id worker : asked)
    {
        const bool first = !known.entries.contains(worker);
        advice_entry& entry = known.entries[worker];
        const auto ticket = tickets.find(worker);
        entry.good = ticket != tickets.end();
        entry.ticket = entry.good ? ticket->second : std::string{};
        entry.valid_until_from_question = times.asked + validity;
        entry.valid_until_from_answer = times.answered + validity;
        fresh += first ? 1 : 0;
        good += first && entry.good ? 1 : 0;
    }
    if (fresh == 0)
    {
        return;
    }
    const double seen = static_cast<double>(good) / static_cast<double>(fresh);
    const auto [share, added] = m_shares.emplace(queue, initial_share);
    const double weight = learning_rate * std::min(1.0, static_cast<double>(fresh) / 8.0);
    share->second += weight * (seen - share->second);
}

double advice_cache::good_share(const std::string& queue) const
{
    const auto found = m_shares.find(queue);
    return std::max(min_share, found == m_shares.end() ? initial_share : found->second);
}

} // namespace walkthread
