// dispatcher: what the leader knows of each incarnation of a worker, kept in step with the replicated state.

#include <walkthread/dispatch/dispatcher.hpp>

#include <algorithm>

namespace walkthread
{

namespace
{
// Percent: pace of filling tasks that an earlier leader started, until tail latencies are known.
constexpr std::int32_t inherited_pace = 25;
constexpr milliseconds clock_resolution{1}; // workers report their clock in whole milliseconds
} // namespace

// Also null between the commit that drops an incarnation and the next pass, which erases its view: answers
// that arrive in between are ignored.
worker_view* dispatcher::view_of(worker_incarnation_id worker)
{
    const auto found = m_views.find(worker);
    return found == m_views.end() || m_state.find(worker) == nullptr ? nullptr : &found->second;
}

worker_address dispatcher::address_of(worker_incarnation_id worker) const
{
    const worker_incarnation* incarnation = m_state.find(worker);
    return incarnation == nullptr
               ? worker_address{}
               : worker_address{worker, incarnation->description.id, incarnation->description.process_start,
                                incarnation->description.address, fencing_token(m_fence, worker)};
}

// Adds views of new incarnations and erases those of dropped ones. Visits only what has changed: each of
// thousands of workers that register is a change of its own.
void dispatcher::sync_views(monotonic_time now)
{
    const worker_change_log& changes = m_state.worker_changes();
    if (m_synced_version == changes.version())
    {
        return;
    }
    const auto changed = changes.since(std::exchange(m_synced_version, changes.version()));
    if (!changed)
    {
        sync_all_views(now);
        return;
    }
    m_counters.views_synced += changed->size();
    for (const worker_incarnation_id id : *changed)
    {
        add_view(id, now);
    }
    for (const worker_incarnation_id id : *changed)
    {
        if (m_state.find(id) == nullptr)
        {
            m_views.erase(id);
        }
    }
}

void dispatcher::sync_all_views(monotonic_time now)
{
    m_counters.views_synced += m_state.workers().size();
    for (const auto& [id, worker] : m_state.workers())
    {
        add_view(id, now);
    }
    std::erase_if(m_views,
                  [this](const auto& item)
                  {
                      return m_state.find(item.first) == nullptr;
                  });
}

// Former incarnations still have their views here: a successor carries state over.
void dispatcher::add_view(worker_incarnation_id id, monotonic_time now)
{
    const worker_incarnation* worker = m_state.find(id);
    if (worker != nullptr && !m_views.contains(id))
    {
        m_views.emplace(id, make_view(*worker, now));
        m_first_polls.add(id, !worker->occupied.empty());
    }
}

// Leases that the worker may hold by orders without this leader's token for this incarnation. Of orders for a
// former process under the same id, whose lease ends are far ahead on the present clock, the worker makes the
// longest lease. A process may have ended before this leader's term, so any worker may be the next one.
foreign_leases dispatcher::find_foreign_leases(const worker_incarnation& worker, monotonic_time now) const
{
    const auto measured_here = [this](milliseconds span)
    {
        const double longest = static_cast<double>(span.count()) * (1.0 + 2 * m_settings.clock_drift);
        return milliseconds(static_cast<std::int64_t>(longest));
    };
    const milliseconds longest = measured_here(m_settings.max_lease);
    const bool inherited = now == m_term_start;
    if (worker.description.process_start == process_start_ms{}) // each process has an id of its own
    {
        const milliseconds drift =
            measured_here(worker_lease::max_reading_age) - worker_lease::max_reading_age;
        return inherited ? foreign_leases{now + longest, std::min(m_settings.lease + drift, longest)}
                         : foreign_leases{now, milliseconds{0}};
    }
    // An earlier leader started runs only on workers that had answered its token for them.
    const bool refuses_late_orders = inherited && worker.follows == worker_incarnation_id{};
    return {now + longest + (refuses_late_orders ? milliseconds{0} : m_settings.late_order_limit),
            m_settings.max_lease + clock_resolution};
}

worker_view dispatcher::make_view(const worker_incarnation& worker, monotonic_time now)
{
    worker_view view;
    view.id = worker.id;
    view.awaits_first_poll = true;
    view.contact = worker_contact(now);
    view.probation = worker_probation(m_settings.probation);
    view.draining = worker.leaving;
    view.sequence = worker.leaving_sequence;     // delayed older reports are ignored
    view.leaves_at = now + m_settings.max_lease; // assumed until the worker reports to this leader
    if (worker.leaving)
    {
        log_event(now, "worker_draining", worker.description.id,
                  {{"from", "log"}, {"sequence", worker.leaving_sequence}, {"runs", worker.occupied.size()}});
    }
    view.lease = worker_lease(find_foreign_leases(worker, now));
    const auto former = m_views.find(worker.follows);
    for (const auto& [run, room] : worker.occupied)
    {
        run_view& known = view.runs[run];
        known.sent = now;
        known.last_progress = now;
        known.inherited = former == m_views.end();
        known.carried_over = !known.inherited;
        // An earlier leader may have throttled it: keep it low until tail latencies on the host are known.
        const step_spec* step = m_state.find(run.task.step);
        view.filler_pace = step != nullptr && step->fills ? inherited_pace : view.filler_pace;
    }
    if (former != m_views.end())
    {
        view.carry_over(former->second, now, m_settings);
    }
    return view;
}

} // namespace walkthread
