#include <walkthread/policy/job_queue.hpp>

#include <algorithm>

namespace walkthread
{

const char* to_string(wait_reason reason)
{
    switch (reason)
    {
    case wait_reason::none:
        return "The job has not been examined yet.";
    case wait_reason::no_room:
        return "No host has enough free resources at the moment.";
    case wait_reason::too_large:
        return "The task is larger than every host of the hall.";
    case wait_reason::quota:
        return "The team's quota in this hall is used up.";
    case wait_reason::held:
        return "It failed on several hosts and is held; change or withdraw the configuration.";
    case wait_reason::gang_reserved:
        return "Hosts are reserved until the whole gang can start.";
    case wait_reason::preempting:
        return "Other tasks are being stopped to make room for the job.";
    case wait_reason::behind:
        return "Jobs earlier in the queue are waiting for free resources.";
    }
    return "?";
}

void job_queue::add(job_id job, queue_item item)
{
    item.level = std::min(item.urgency, max_urgency);
    const auto [found, fresh] = m_items.emplace(job, item);
    if (!fresh)
    {
        return;
    }
    if (!m_levels.contains(item.organisation))
    {
        m_organisations.push_back(item.organisation);
    }
    m_levels[item.organisation][item.level].insert({item.submitted, job});
}

void job_queue::remove(job_id job)
{
    const auto found = m_items.find(job);
    if (found == m_items.end())
    {
        return;
    }
    const queue_item& item = found->second;
    m_levels[item.organisation][item.level].erase({item.submitted, job});
    m_items.erase(found);
}

void job_queue::age(wall_ms now, wall_ms step)
{
    for (auto& [organisation, by_level] : m_levels)
    {
        for (std::size_t level = urgent - 1; level-- > 0;)
        {
            level_set& jobs = by_level[level];
            for (auto it = jobs.begin(); it != jobs.end();)
            {
                queue_item& item = m_items.at(it->job);
                const wall_ms raised_at = item.submitted + step * (item.level - item.urgency + 1);
                if (raised_at > now)
                {
                    ++it;
                    break;
                }
                ++item.level;
                by_level[item.level].insert(*it);
                it = jobs.erase(it);
            }
        }
    }
}

queue_item* job_queue::find(job_id job)
{
    const auto found = m_items.find(job);
    return found == m_items.end() ? nullptr : &found->second;
}

const job_queue::level_set& job_queue::jobs_of(organisation_id organisation, std::size_t level)
{
    return m_levels[organisation][level];
}

} // namespace walkthread
