// dispatcher: workers that announced that they leave, until nothing runs there any more.

#include <walkthread/dispatch/dispatcher.hpp>

#include <algorithm>

#include <walkthread/workload/names.hpp>

namespace walkthread
{

// Whether a worker may leave before the usual lease is over.
bool dispatcher::may_leave_soon(const worker_view& view, monotonic_time now) const
{
    return view.draining && view.leaves_at - now < std::min(m_settings.lease, m_settings.max_lease);
}

// The lease that a poll grants. What still runs on a worker when it leaves starts elsewhere only after its
// lease, so leases are short from the time on at which it may leave.
milliseconds dispatcher::lease_for(const worker_view& view, monotonic_time now) const
{
    const milliseconds usual = std::min(m_settings.lease, m_settings.max_lease);
    if (!may_leave_soon(view, now))
    {
        return usual;
    }
    const auto stays = std::chrono::duration_cast<milliseconds>(view.leaves_at - now);
    return std::min(usual, std::max(stays, m_settings.leaving_lease));
}

// The notice may be a delayed one of a former incarnation with the same id, and its sender runs on until it
// is acknowledged and for some time after. So nothing is started elsewhere because of it.
void dispatcher::handle_leave(const std::string& id, const std::function<void(bool)>& done)
{
    const worker_incarnation* known = m_state.find_id(id);
    worker_view* view = known == nullptr ? nullptr : view_of(known->id);
    if (view != nullptr)
    {
        const monotonic_time now = m_hooks.now();
        log_event(now, "leave_noticed", id,
                  {{"born", known->description.process_start.value()},
                   {"leaving", known->leaving},
                   {"runs", known->occupied.size()}});
        poll_promptly(*view, now);
        m_hooks.wake();
    }
    done(true);
}

// Whether a worker announced that it leaves; to this leader, if the commit of that was lost or is under way.
bool dispatcher::is_leaving(const worker_view& view) const
{
    return view.draining || m_state.find(view.id)->leaving;
}

// Whether a worker that leaves may have runs that go on, whatever answers on its machine meanwhile.
bool dispatcher::may_still_run(const worker_view& view, monotonic_time now) const
{
    return is_leaving(view) && find_departure_proof(*m_state.find(view.id), view, now,
                                                    m_settings.clock_drift) == departure_proof::none;
}

// A worker that announced that it leaves refuses connections, and nothing runs there any more.
void dispatcher::record_departure(worker_view& view, departure_proof proof, monotonic_time now)
{
    view.drop_proposed = true;
    const worker_incarnation& worker = *m_state.find(view.id);
    log_event(now, "worker_left", worker.description.id,
              {{"born", worker.description.process_start.value()},
               {"proof", name_of(proof)},
               {"runs", worker.occupied.size()},
               {"unheard_ms", now - view.contact.last_heard()},
               {"lease_left_ms", view.lease.remaining_ms(now)}});
    for (const auto& [run, room] : worker.occupied)
    {
        log_event(now, "run_lost", name_of(run),
                  {{"worker", worker.description.id}, {"reason", "its worker left"}});
    }
    m_hooks.propose(drop_worker{view.id, true, {}},
                    [this, alive = m_alive, id = view.id](bool)
                    {
                        if (worker_view* later = *alive ? view_of(id) : nullptr; later != nullptr)
                        {
                            later->drop_proposed = false; // not committed: the next poll tells again
                        }
                        if (*alive)
                        {
                            m_hooks.wake();
                        }
                    });
}

// The process of a worker no longer answers at its address. Returns whether it announced that it leaves and
// the answer is dealt with: its runs may go on until there is a proof, so it is polled again without renewing
// its lease.
bool dispatcher::handle_departure(worker_view& view, const poll_answer& answer, monotonic_time sent,
                                  monotonic_time now)
{
    const worker_incarnation& worker = *m_state.find(view.id);
    if (!is_leaving(view) || view.drop_proposed)
    {
        return false;
    }
    const departure_proof proof = find_departure_proof(worker, view, now, m_settings.clock_drift);
    if (proof == departure_proof::none)
    {
        view.contact.record_refusal(now);
        view.contact.record_failed_poll(answer.outcome, sent, now);
        view.poll_due = now + m_settings.poll_retry_delay;
        return true;
    }
    // Only the replicated state keeps starts off a worker that leaves.
    const bool left = answer.refused && worker.leaving;
    if (left)
    {
        record_departure(view, proof, now);
    }
    return left;
}

} // namespace walkthread
