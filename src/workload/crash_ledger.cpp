#include <walkthread/workload/crash_ledger.hpp>

#include <algorithm>
#include <utility>

namespace walkthread
{

namespace
{
constexpr std::size_t most_unheard = 1000; // all hosts of a hall at its maximum size
constexpr std::size_t verdicts_kept = 100; // for operators; the log has all of them
constexpr std::size_t charges_kept = 16;   // per task; a new leader reports only the last few runs again
} // namespace

void crash_ledger::note_unheard(const std::string& host, const life_ref& life, std::vector<lost_run> lost)
{
    static_cast<void>(take_crashed(host, life));
    std::erase_if(lost,
                  [](const lost_run& item)
                  {
                      return item.over;
                  });
    if (lost.empty())
    {
        return;
    }
    if (m_unheard.size() >= most_unheard)
    {
        forget(m_unheard.front());
        m_unheard.erase(m_unheard.begin());
    }
    for (const lost_run& item : lost)
    {
        ++m_suspects[item.run.task].unproven;
    }
    m_unheard.push_back({host, life.id, std::move(lost), life.born});
}

std::vector<lost_run> crash_ledger::take_crashed(const std::string& host, const life_ref& life)
{
    const auto found = std::find_if(m_unheard.begin(), m_unheard.end(),
                                    [&host](const unheard_host& item)
                                    {
                                        return item.host == host;
                                    });
    if (found == m_unheard.end())
    {
        return {};
    }
    forget(*found);
    std::vector<lost_run> lost;
    if (life_ref{found->id, found->born} != life) // otherwise it was only partitioned
    {
        lost = std::move(found->lost);
    }
    m_unheard.erase(found);
    return lost;
}

// Whether the host crashed or not, its runs are no longer unconfirmed losses.
void crash_ledger::forget(const unheard_host& host)
{
    for (const lost_run& item : host.lost)
    {
        const auto suspect = m_suspects.find(item.run.task);
        if (suspect == m_suspects.end() || suspect->second.unproven == 0)
        {
            continue; // cleared in the meantime
        }
        if (--suspect->second.unproven == 0 && suspect->second.charged.empty())
        {
            m_suspects.erase(suspect);
        }
    }
}

bool crash_ledger::accuse(const lost_run& lost, const std::string& host)
{
    if (lost.over)
    {
        return false;
    }
    suspicion& against = m_suspects[lost.run.task];
    if (std::find(against.charged.begin(), against.charged.end(), lost.run.run) != against.charged.end())
    {
        return false;
    }
    if (against.charged.size() >= charges_kept)
    {
        against.charged.erase(against.charged.begin());
    }
    against.charged.push_back(lost.run.run);
    ++(lost.began ? against.crashes : against.unclear);
    against.blame += lost.began ? std::max(lost.blame, blame::min_share) : 0;
    if (!lost.began || !against.convicts())
    {
        return false;
    }
    if (m_verdicts.size() >= verdicts_kept)
    {
        m_verdicts.erase(m_verdicts.begin());
    }
    m_verdicts.push_back({lost.run.task, against, host});
    ++m_verdict_count;
    return true;
}

void crash_ledger::clear(const task_ref& task)
{
    m_suspects.erase(task);
}

void crash_ledger::clear(submission_id id)
{
    const step_ref first{id, round_id{0}, 0};
    const step_ref last{id, round_id{UINT32_MAX}, UINT32_MAX};
    m_suspects.erase(m_suspects.lower_bound({first, 0}), m_suspects.upper_bound({last, UINT32_MAX}));
}

const suspicion* crash_ledger::find(const task_ref& task) const
{
    const auto found = m_suspects.find(task);
    return found == m_suspects.end() ? nullptr : &found->second;
}

} // namespace walkthread
