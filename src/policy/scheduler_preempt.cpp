// Preemption: selects tasks to stop, after a checkpoint, so that urgent work can start or a share is
// reclaimed.

#include <walkthread/policy/scheduler.hpp>

#include <algorithm>

namespace walkthread
{

namespace
{
constexpr std::size_t max_hosts_per_preemption = 32;
constexpr std::uint32_t max_tasks_per_preemption = 8;
constexpr wall_ms preemption_retry_delay = 10'000;
constexpr std::uint32_t max_preemption_attempts_per_plan = 4;
constexpr wall_ms reclaim_retry_delay = 1'000;
} // namespace

bool scheduler::may_preempt(const hall_job& job, const plan_state& p) const
{
    if (!m_settings.preempt)
    {
        return false;
    }
    if (job.spec.values.urgency >= urgent)
    {
        return true;
    }
    if (!m_settings.reclaim)
    {
        return false;
    }
    const organisation_id organisation = job.spec.organisation;
    const resources after = used_by(organisation, p) + job.spec.values.size;
    const bool under_share = dominant_share(after, p.state.capacity()) <= guarantee_of(organisation);
    return under_share && p.now - job.spec.submitted >= m_settings.reclaim_after;
}

bool scheduler::preempt_for(const hall_job& job, plan_state& p)
{
    if (!may_preempt(job, p) || m_pool.size() == 0)
    {
        return false;
    }
    const auto last_attempt = m_preempting.find(job.spec.id);
    if (last_attempt != m_preempting.end() && p.now < last_attempt->second.next_try)
    {
        return last_attempt->second.found;
    }
    const bool reclaiming = job.spec.values.urgency < urgent;
    if (p.preemption_tries >= max_preemption_attempts_per_plan || (reclaiming && p.now < m_next_reclaim))
    {
        return false;
    }
    ++p.preemption_tries;
    const bool found = find_victims(job, p);
    m_next_reclaim = reclaiming && !found ? p.now + reclaim_retry_delay : m_next_reclaim;
    m_preempting[job.spec.id] = {p.now + preemption_retry_delay, found};
    return found;
}

bool scheduler::find_victims(const hall_job& job, plan_state& p)
{
    bool any = false;
    std::set<host_slot> taken;
    const std::uint32_t wanted = std::min(job.pending, max_tasks_per_preemption);
    for (std::uint32_t n = 0; n < wanted; ++n)
    {
        std::optional<victim_set> best;
        host_slot best_slot = 0;
        const host_slot first = m_random() % m_pool.size();
        const std::size_t hosts_to_examine = std::min(max_hosts_per_preemption, m_pool.size());
        m_pool.count_examined(hosts_to_examine);
        for (std::size_t i = 0; i < hosts_to_examine; ++i)
        {
            const host_slot slot = (first + i) % m_pool.size();
            std::optional<victim_set> found = taken.contains(slot) ? std::nullopt : victims_on(slot, job, p);
            if (found && (!best || found->lost_work < best->lost_work))
            {
                best = std::move(found);
                best_slot = slot;
            }
        }
        if (!best)
        {
            break;
        }
        any = true;
        taken.insert(best_slot);
        for (const stop_request& order : best->orders)
        {
            const hall_job& victim = p.state.jobs().at(order.run.task.job);
            p.stopped[victim.spec.organisation] += victim.spec.values.size;
            p.out.stops.push_back(order);
        }
    }
    return any;
}

std::optional<scheduler::victim_set> scheduler::victims_on(host_slot slot, const hall_job& job,
                                                           const plan_state& p) const
{
    const host_view& host = m_pool.at(slot);
    const worker_record& worker = p.state.workers().at(host.worker);
    const resources& need = job.spec.values.size;
    const bool usable =
        worker.state() == worker_phase::live && worker.is_schedulable() && fits(need, host.size);
    if (!usable)
    {
        return std::nullopt;
    }
    std::vector<std::pair<std::int64_t, task_id>> candidates;
    for (const task_id& id : worker.tasks)
    {
        const hall_job& victim = p.state.jobs().at(id.job);
        const std::int64_t work = (p.now - victim.tasks[id.index].since) * victim.spec.values.size.cpu;
        candidates.emplace_back(work, id);
    }
    std::sort(candidates.begin(), candidates.end());
    victim_set victims;
    std::map<organisation_id, resources> already = p.stopped;
    for (const auto& [work, id] : candidates)
    {
        if (fits(need, host.free + victims.freed))
        {
            break;
        }
        const hall_job& victim = p.state.jobs().at(id.job);
        const task_record& task = victim.tasks[id.index];
        if (!is_victim(victim, task, job, p, already[victim.spec.organisation]))
        {
            continue;
        }
        already[victim.spec.organisation] += victim.spec.values.size;
        victims.freed += victim.spec.values.size;
        victims.lost_work += work;
        const auto reason = static_cast<std::uint8_t>(stop_reason::preempted);
        victims.orders.push_back(stop_request{run_id{id, task.run}, reason});
    }
    const bool enough = !victims.orders.empty() && fits(need, host.free + victims.freed);
    return enough ? std::optional(std::move(victims)) : std::nullopt;
}

bool scheduler::is_victim(const hall_job& victim, const task_record& task, const hall_job& job,
                          const plan_state& p, const resources& already) const
{
    const bool may_stop = victim.spec.repeatable && victim.spec.workload() == workload_kind::batch &&
                          task.state() == task_phase::running && !task.preempted_once;
    if (!may_stop || victim.spec.values.urgency >= urgent)
    {
        return false;
    }
    if (victim.spec.organisation == job.spec.organisation)
    {
        return job.spec.values.urgency >= urgent;
    }
    const resources left = used_by(victim.spec.organisation, p) - already - victim.spec.values.size;
    return dominant_share(left, p.state.capacity()) >= guarantee_of(victim.spec.organisation);
}

} // namespace walkthread
