// dispatcher: hosts on which a step is likely to fail. It prefers any other host, but only for a limited
// time.

#include <walkthread/dispatch/dispatcher.hpp>

#include <algorithm>

#include <walkthread/workload/names.hpp>

namespace walkthread
{

// Fills in what offers for the step depend on. Not done for steps that are only passed over, as it visits the
// step's tasks.
void dispatcher::prepare_offers(candidate& item, monotonic_time now)
{
    item.failed_on = workers_with_failures(item);
    item.unplaced = now - m_unplaced_since.try_emplace(item.ref, now).first->second;
}

std::set<worker_incarnation_id> dispatcher::workers_with_failures(const candidate& item)
{
    std::set<worker_incarnation_id> failed;
    if (!uses(mechanism::failed_hosts))
    {
        return failed;
    }
    for (const auto& [index, task] : step_tasks(*item.owner, item.ref).records())
    {
        if (task.failed_on.value() != 0 && task.state() == work_phase::waiting)
        {
            failed.insert(task.failed_on);
        }
    }
    // A gang needs many hosts, and one member's failure says little about its host: it uses the host at once
    // if the others are few.
    const bool uses_all = !failed.empty() && item.step->gang && !has_other_hosts(item, failed);
    return uses_all ? std::set<worker_incarnation_id>{} : failed;
}

// Whether hosts without a failure could take all tasks of a gang twice over if they were empty.
bool dispatcher::has_other_hosts(const candidate& item, const std::set<worker_incarnation_id>& failed)
{
    const bool advised = item.queue != nullptr && item.queue->advised;
    const step_advice& known = m_advice.of(item.ref);
    const double need = 2.0 * item.step->count;
    double others = 0;
    for (std::size_t place = 0; place < m_hosts.size() && others < need; ++place)
    {
        const host_row& row = m_hosts.at(place);
        const worker_incarnation_id id = row.worker->id;
        const auto entry = known.entries.find(id);
        const bool bad = advised && entry != known.entries.end() && !entry->second.good;
        if (!bad && !failed.contains(id) && row.usable && is_eligible(item, row))
        {
            const bool is_known = !advised || entry != known.entries.end();
            others += (is_known ? 1.0 : m_advice.good_share(item.owner->queue_key())) *
                      slots(item, id, row.worker->description.size);
        }
    }
    return others >= need;
}

host_doubt dispatcher::doubt_of(const candidate& item, const host_row& row)
{
    return item.failed_on.contains(row.worker->id)         ? host_doubt::failed_before
           : row.reason == host_availability::on_probation ? host_doubt::on_probation
                                                           : host_doubt::none;
}

// How long the step waits for other hosts before it uses this one. Those may have no capacity for it until
// some run ends that never does, so the wait is limited.
duration dispatcher::wait_for_other_hosts(const candidate& item, const host_row& row) const
{
    const milliseconds longest = m_settings.start_bound - m_settings.start_reserve;
    switch (doubt_of(item, row))
    {
    case host_doubt::failed_before:
        return longest;
    case host_doubt::on_probation: // then it may have to wait for its turn as well
        return longest - m_settings.probation.trial_interval;
    case host_doubt::none:
        break;
    }
    return duration{0};
}

// Whether the host is eligible, and the step will have waited long enough for others by the time a query of
// the advisor is answered.
bool dispatcher::may_use_soon(const candidate& item, const host_row& row) const
{
    return is_eligible(item, row) &&
           item.unplaced + m_settings.start_reserve >= wait_for_other_hosts(item, row);
}

// The tasks of a step that may start now on a worker on probation: one, or a gang's.
std::uint32_t dispatcher::trial_slots(const candidate& item, const worker_view& view, std::uint32_t room,
                                      monotonic_time now)
{
    const std::uint32_t most = item.step->gang ? room : std::min(room, 1U);
    return now < view.probation.next_trial() ? 0 : most;
}

void dispatcher::note_doubtful_starts(const candidate& item, const std::vector<planned_start>& starts,
                                      monotonic_time now)
{
    std::set<worker_incarnation_id> noted;
    for (const planned_start& planned : starts)
    {
        const host_row& row = *m_hosts.find(planned.worker);
        const host_doubt doubt = doubt_of(item, row);
        if (doubt == host_doubt::none)
        {
            continue;
        }
        ++m_counters.doubtful_starts;
        if (row.reason == host_availability::on_probation)
        {
            m_views.at(planned.worker).probation.record_trial(now);
        }
        if (noted.insert(planned.worker).second)
        {
            log_event(now, "doubtful_host_used", name_of(item.ref),
                      {{"worker", row.worker->description.id},
                       {"reason", host_doubt_names.at(static_cast<std::size_t>(doubt))},
                       {"unplaced_ms", item.unplaced}});
        }
    }
}

std::vector<doubtful_host> dispatcher::doubtful_hosts(const step_ref& ref, monotonic_time now)
{
    std::vector<doubtful_host> out;
    sync_views(now);
    m_hosts.begin_pass(now);
    candidate item = make_candidate(ref);
    item.placed = placed_tasks(item);
    prepare_offers(item, now);
    for (std::size_t place = 0; place < m_hosts.size(); ++place)
    {
        const host_row& row = m_hosts.at(place);
        const host_doubt doubt = doubt_of(item, row);
        if (doubt != host_doubt::none && is_eligible(item, row) && slots(item, row.worker->id, row.open) > 0)
        {
            const duration step_left = wait_for_other_hosts(item, row) - item.unplaced;
            const duration trial_left = row.reason == host_availability::on_probation
                                            ? row.view->probation.next_trial() - now
                                            : duration{0};
            out.push_back(
                {row.worker->description.id, doubt, std::max({step_left, trial_left, duration{0}})});
        }
    }
    return out;
}

} // namespace walkthread
