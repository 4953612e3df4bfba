#include <walkthread/workload/crash_evidence.hpp>

#include <algorithm>
#include <utility>

namespace walkthread
{

namespace
{
constexpr std::size_t max_unresponsive_hosts = 1000; // all hosts of a hall at its maximum size
constexpr std::size_t max_poison_tasks_kept = 100;   // for operators; the log has all of them
constexpr std::size_t max_counted_runs = 16; // per task; a new leader reports only the last few runs again
} // namespace

void crash_evidence_table::note_unresponsive(const std::string& host,
                                             const worker_incarnation_ref& incarnation,
                                             std::vector<lost_run> lost)
{
    static_cast<void>(resolve_unresponsive(host, incarnation));
    std::erase_if(lost,
                  [](const lost_run& item)
                  {
                      return item.over;
                  });
    if (lost.empty())
    {
        return;
    }
    if (m_unresponsive.size() >= max_unresponsive_hosts)
    {
        forget(m_unresponsive.front());
        m_unresponsive.erase(m_unresponsive.begin());
    }
    for (const lost_run& item : lost)
    {
        ++m_suspects[item.run.task].unconfirmed_losses;
    }
    m_unresponsive.push_back({host, incarnation.id, std::move(lost), incarnation.process_start});
}

std::vector<lost_run> crash_evidence_table::resolve_unresponsive(const std::string& host,
                                                                 const worker_incarnation_ref& incarnation)
{
    const auto found = std::find_if(m_unresponsive.begin(), m_unresponsive.end(),
                                    [&host](const unresponsive_host& item)
                                    {
                                        return item.host == host;
                                    });
    if (found == m_unresponsive.end())
    {
        return {};
    }
    forget(*found);
    std::vector<lost_run> lost;
    if (worker_incarnation_ref{found->id, found->process_start} !=
        incarnation) // otherwise it was only partitioned
    {
        lost = std::move(found->lost);
    }
    m_unresponsive.erase(found);
    return lost;
}

// Whether the host crashed or not, its runs are no longer unconfirmed losses.
void crash_evidence_table::forget(const unresponsive_host& host)
{
    for (const lost_run& item : host.lost)
    {
        const auto suspect = m_suspects.find(item.run.task);
        if (suspect == m_suspects.end() || suspect->second.unconfirmed_losses == 0)
        {
            continue; // cleared in the meantime
        }
        if (--suspect->second.unconfirmed_losses == 0 && suspect->second.counted_runs.empty())
        {
            m_suspects.erase(suspect);
        }
    }
}

bool crash_evidence_table::add_crash_evidence(const lost_run& lost, const std::string& host)
{
    if (lost.over)
    {
        return false;
    }
    crash_evidence& against = m_suspects[lost.run.task];
    if (std::find(against.counted_runs.begin(), against.counted_runs.end(), lost.run.run) !=
        against.counted_runs.end())
    {
        return false;
    }
    if (against.counted_runs.size() >= max_counted_runs)
    {
        against.counted_runs.erase(against.counted_runs.begin());
    }
    against.counted_runs.push_back(lost.run.run);
    ++(lost.began ? against.crashes : against.unclear);
    against.blame += lost.began ? std::max(lost.blame, blame::min_share) : 0;
    if (!lost.began || !against.reaches_threshold())
    {
        return false;
    }
    if (m_poison_tasks.size() >= max_poison_tasks_kept)
    {
        m_poison_tasks.erase(m_poison_tasks.begin());
    }
    m_poison_tasks.push_back({lost.run.task, against, host});
    ++m_poison_task_count;
    return true;
}

void crash_evidence_table::clear(const task_ref& task)
{
    m_suspects.erase(task);
}

void crash_evidence_table::clear(submission_id id)
{
    const step_ref first{id, round_id{0}, 0};
    const step_ref last{id, round_id{UINT32_MAX}, UINT32_MAX};
    m_suspects.erase(m_suspects.lower_bound({first, 0}), m_suspects.upper_bound({last, UINT32_MAX}));
}

const crash_evidence* crash_evidence_table::find(const task_ref& task) const
{
    const auto found = m_suspects.find(task);
    return found == m_suspects.end() ? nullptr : &found->second;
}

} // namespace walkthread
