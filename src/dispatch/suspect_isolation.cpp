#include <walkthread/dispatch/suspect_isolation.hpp>

#include <algorithm>

namespace walkthread
{

namespace
{
constexpr std::uint32_t losses_before_backoff = 3; // the platform allows two starts after the third crash
constexpr std::uint32_t losses_until_isolated = 3; // if crashes are conclusive at all, two usually are
constexpr std::uint32_t most_doublings = 2;
// A host is back after some seconds, the lease included (3 to 4 s); ordinary work must not stall for 3 s.
constexpr milliseconds initial_backoff{2000};
constexpr milliseconds max_backoff = initial_backoff * (1U << most_doublings);
} // namespace

// A task that was merely present at one crash is started like other work: the loss of a rack leaves dozens of
// such tasks.
bool suspect_isolation::suspects(const task_ref& task) const
{
    const crash_evidence* against = m_crashes.find(task);
    return against != nullptr && (against->blame >= blame::one_of_many || against->losses() > 1);
}

void suspect_isolation::find_isolated(const workload_state& state)
{
    m_isolated.clear();
    for (const auto& [task, against] : m_crashes.suspects())
    {
        const work_task* known = against.losses() >= losses_until_isolated ? state.find(task) : nullptr;
        if (known != nullptr && known->state() == work_phase::active)
        {
            const submission_id owner = task.step.submission;
            const auto there = m_isolated.emplace(known->worker, owner).first;
            there->second = there->second == owner ? owner : submission_id{};
        }
    }
}

void suspect_isolation::note_start(worker_incarnation_id worker, submission_id owner, monotonic_time now)
{
    std::erase_if(m_watches,
                  [now](const auto& item)
                  {
                      return item.second.until <= now;
                  });
    m_watches[worker] = {owner, now + m_watch_period};
}

void suspect_isolation::record_loss(const task_ref& task, monotonic_time now)
{
    if (now - m_pruned > max_backoff)
    {
        m_pruned = now;
        std::erase_if(m_last_loss,
                      [now](const auto& item)
                      {
                          return now - item.second > max_backoff;
                      });
    }
    m_last_loss[task] = now;
}

bool suspect_isolation::in_backoff(const task_ref& task, monotonic_time now) const
{
    const crash_evidence* against = m_crashes.find(task);
    const auto lost = m_last_loss.find(task);
    if (against == nullptr || against->unconfirmed_losses == 0 || lost == m_last_loss.end())
    {
        return false;
    }
    const std::uint32_t losses = against->losses();
    if (losses < losses_before_backoff)
    {
        return false;
    }
    const std::uint32_t doublings = std::min(losses - losses_before_backoff, most_doublings);
    return now - lost->second < initial_backoff * (1U << doublings);
}

bool suspect_isolation::has_foreign_suspect(worker_incarnation_id worker, submission_id owner,
                                            monotonic_time now) const
{
    const auto isolated = m_isolated.find(worker);
    if (isolated != m_isolated.end() && isolated->second != owner)
    {
        return true;
    }
    const auto found = m_watches.find(worker);
    return found != m_watches.end() && found->second.owner != owner && now < found->second.until;
}

} // namespace walkthread
