// dispatcher: workers that have not answered for longer than a lease, and suspected racks.

#include <walkthread/dispatch/dispatcher.hpp>

#include <algorithm>

#include <walkthread/workload/names.hpp>

namespace walkthread
{

// Hosts of a rack that loses power fail together, so a host that has not answered since another one of its
// rack was suspected may be down as well.
void dispatcher::find_suspected_racks()
{
    m_suspected_racks.clear();
    for (const auto& [id, view] : m_views)
    {
        const worker_incarnation* worker = view.contact.doubted() ? m_state.find(id) : nullptr;
        if (worker != nullptr && !worker->description.labels.empty())
        {
            monotonic_time& since = m_suspected_racks[worker->description.labels.back()];
            since = std::max(since, view.contact.doubted_since());
        }
    }
}

// Logs the worker with runs that has been unresponsive for longest, at most one line a second.
void dispatcher::log_unresponsive_worker(monotonic_time now)
{
    const worker_view* longest = nullptr;
    m_runs_on_unresponsive_workers = 0;
    for (const auto& [id, view] : m_views)
    {
        const worker_incarnation* worker = m_state.find(id);
        const bool unheard = view.contact.time_since_contact(now) > m_settings.lease;
        if (!unheard || worker == nullptr || worker->occupied.empty())
        {
            continue;
        }
        m_runs_on_unresponsive_workers += worker->occupied.size();
        const bool longer = longest == nullptr || longest->contact.last_heard() > view.contact.last_heard();
        longest = longer ? &view : longest;
    }
    if (longest == nullptr)
    {
        return;
    }
    const worker_incarnation& worker = *m_state.find(longest->id);
    const failed_calls& failed = longest->contact.failed();
    log_event(now, "worker_unheard", worker.description.id,
              {{"unheard_ms", longest->contact.time_since_contact(now)},
               {"kept_as", name_of(find_drop_blocker(*longest, m_contact_history, now, m_settings))},
               {"runs", worker.occupied.size()},
               {"run", name_of(worker.occupied.begin()->first)},
               {"runs_on_unheard_workers", m_runs_on_unresponsive_workers},
               {"answered_this_leader", longest->answered},
               {"not_sent", failed.not_sent},
               {"unreachable", failed.unreachable},
               {"unconfirmed", failed.unconfirmed}});
}

} // namespace walkthread
