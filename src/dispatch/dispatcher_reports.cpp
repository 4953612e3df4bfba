// dispatcher: worker reports, which tell which incarnations exist and which of them are leaving.

#include <walkthread/dispatch/dispatcher.hpp>

#include <algorithm>

namespace walkthread
{

void dispatcher::handle_report(const worker_report& report, monotonic_time now,
                               const std::function<void(bool)>& done)
{
    const worker_incarnation* known = m_state.find_incarnation(report.description.incarnation());
    if (known != nullptr && !known->assumed && known->description == report.description)
    {
        sync_views(now);
        handle_known_report(m_views[known->id], report, now);
        record_leaving(*known, report, done);
        return;
    }
    if (known != nullptr && !known->assumed && report.sequence < known->description_sequence)
    {
        // The worker's capacity may have changed since: going back to an older one led to overcommitted
        // hosts.
        log_event(now, "report_not_taken", report.description.id,
                  {{"reason", "older than the last accepted report"}, {"sequence", report.sequence}});
        done(true);
        return;
    }
    if (known == nullptr && m_state.has_ended(report.description.incarnation()))
    {
        // Its process may still run and answer polls. It must not replace the present incarnation.
        log_event(now, "report_not_taken", report.description.id,
                  {{"reason", "its incarnation has been replaced"},
                   {"born", report.description.process_start.value()}});
        done(false);
        return;
    }
    if (lacks_start_time(report))
    {
        log_event(now, "report_not_taken", report.description.id,
                  {{"reason", "process start time missing"}, {"address", report.description.address}});
        done(false);
        return;
    }
    if (!has_known_pool(report))
    {
        log_event(now, "report_not_taken", report.description.id,
                  {{"reason", "unknown pool"},
                   {"pool", report.description.pool},
                   {"address", report.description.address}});
        done(false); // the worker keeps reporting, so its pool may be configured later
        return;
    }
    if (!m_admitting_hosts.insert(report.description.host).second)
    {
        done(false); // a report of this host is already in progress; the worker reports again
        return;
    }
    const worker_incarnation* present = m_state.find_host(report.description.host);
    if (known == nullptr && present != nullptr)
    {
        verify_incarnation(report, present->id, done);
        return;
    }
    admit(report, {}, done);
}

// Whether a report lacks the process start time although workers here send one: then it does not come from a
// worker of this cell. Either all workers send it or none, so it is enough to check one of them.
bool dispatcher::lacks_start_time(const worker_report& report) const
{
    const auto& workers = m_state.workers();
    return report.description.process_start == process_start_ms{} && !workers.empty() &&
           workers.begin()->second.description.process_start != process_start_ms{};
}

// Accepts any pool until there is a cluster configuration, so that workers that report early are known when
// work arrives.
bool dispatcher::has_known_pool(const worker_report& report) const
{
    const auto& held = m_state.current_configuration();
    return !held || std::any_of(held->pools.begin(), held->pools.end(),
                                [&report](const pool_spec& pool)
                                {
                                    return pool.name == report.description.pool;
                                });
}

void dispatcher::handle_known_report(worker_view& view, const worker_report& report, monotonic_time now)
{
    view.reported = true;
    if (report.sequence >= view.sequence)
    {
        view.sequence = report.sequence;
        if (report.draining != view.draining)
        {
            m_hooks.wake();
            log_event(now, report.draining ? "worker_draining" : "worker_ready", report.description.id,
                      {{"from", "report"},
                       {"sequence", report.sequence},
                       {"remaining_ms", report.remaining_ms},
                       {"runs", m_state.find(view.id)->occupied.size()}});
        }
        view.draining = report.draining;
        view.leaves_at = now + milliseconds(report.remaining_ms);
    }
    if (!view.answered)
    {
        view.lease.update_clock(report.clock_ms, now);
    }
}

// Acknowledges that a worker is leaving only after this is committed: a new leader gets the worker's reports
// only seconds after its election, as they went to the previous leader. Each report of a leaving worker is
// recorded with its sequence number, so that the next leader ignores an older, delayed report that says
// otherwise.
void dispatcher::record_leaving(const worker_incarnation& known, const worker_report& report,
                                const std::function<void(bool)>& done)
{
    const bool not_leaving = !report.draining && !known.leaving;
    if (not_leaving || report.sequence <= known.leaving_sequence)
    {
        done(true);
        return;
    }
    m_hooks.propose(mark_leaving{known.id, report.sequence, report.draining},
                    [this, alive = m_alive, incarnation = known.description.id, leaving = report.draining,
                     sequence = report.sequence, proposed = m_hooks.now(), done](bool committed)
                    {
                        if (*alive)
                        {
                            const monotonic_time now = m_hooks.now();
                            log_event(now, "leaving_recorded", incarnation,
                                      {{"leaving", leaving},
                                       {"sequence", sequence},
                                       {"committed", committed},
                                       {"took_ms", now - proposed}});
                        }
                        done(committed);
                    });
}

// A report delayed by a network partition may arrive after its incarnation has ended and another one has
// started on the host, so the order of arrival does not tell which is newer. Polls the reported address to
// find out which incarnation runs there before the work of the known one is given up: otherwise that work ran
// twice.
void dispatcher::verify_incarnation(const worker_report& report, worker_incarnation_id present,
                                    const std::function<void(bool)>& done)
{
    poll_order question;
    question.to = {worker_incarnation_id{}, report.description.id, report.description.process_start,
                   report.description.address, fencing_token(m_fence, present)};
    question.timeout = m_settings.poll_timeout;
    m_hooks.poll(question,
                 [this, alive = m_alive, report, present, done](const poll_answer& answer)
                 {
                     if (!*alive)
                     {
                         done(false);
                         return;
                     }
                     const worker_incarnation* still = m_state.find_host(report.description.host);
                     const bool unchanged = still == nullptr || still->id == present;
                     const bool is_running = answer.outcome == order_outcome::accepted &&
                                             answer.process_start == report.description.process_start;
                     sync_views(m_hooks.now());
                     const worker_view* former = still == nullptr ? nullptr : view_of(still->id);
                     const bool awaited = former != nullptr && may_still_run(*former, m_hooks.now());
                     if (is_running && unchanged && !awaited)
                     {
                         admit(report, answer, done);
                         return;
                     }
                     m_admitting_hosts.erase(report.description.host);
                     log_event(m_hooks.now(), "report_not_taken", report.description.id,
                               {{"host", report.description.host},
                                {"address", report.description.address},
                                {"outcome", static_cast<int>(answer.outcome)},
                                {"born", report.description.process_start.value()},
                                {"lives", answer.process_start.value()},
                                {"awaits_departure", awaited},
                                {"present", still == nullptr ? std::string{} : still->description.id}});
                     done(false);
                 });
}

void dispatcher::admit(const worker_report& report, const poll_answer& answer,
                       const std::function<void(bool)>& done)
{
    const worker_incarnation* present = m_state.find_host(report.description.host);
    const bool replaces =
        present != nullptr && present->description.incarnation() != report.description.incarnation();
    worker_view* former = replaces ? view_of(present->id) : nullptr;
    admit_worker command{report.description, report.sequence, false, {}};
    if (former != nullptr && present->description.id == report.description.id)
    {
        log_restart(*former, report.description.process_start, "report", m_hooks.now());
        former->drop_proposed = true;
        command.lost = runs_lost_at_restart(*former, answer, m_hooks.now());
        log_lost_runs(*former, command.lost, m_hooks.now());
    }
    else if (former != nullptr)
    {
        drop_replaced_worker(*former, m_hooks.now());
    }
    const worker_incarnation_id before = former == nullptr ? worker_incarnation_id{} : former->id;
    m_hooks.propose(command,
                    [this, alive = m_alive, report, done, before](bool committed)
                    {
                        if (!*alive)
                        {
                            done(false);
                            return;
                        }
                        m_admitting_hosts.erase(report.description.host);
                        poll_new_incarnation(report.description.incarnation(), m_hooks.now());
                        if (worker_view* still = view_of(before); still != nullptr)
                        {
                            still->drop_proposed = false; // not committed, or rejected where it was applied
                        }
                        const worker_incarnation* admitted =
                            m_state.find_incarnation(report.description.incarnation());
                        if (!committed || admitted == nullptr || admitted->description != report.description)
                        {
                            done(false);
                            return;
                        }
                        const monotonic_time now = m_hooks.now();
                        log_event(now, "worker_admitted", report.description.id,
                                  {{"host", report.description.host},
                                   {"hall", report.description.hall},
                                   {"born", report.description.process_start.value()}});
                        handle_report(report, now, done);
                    });
}

} // namespace walkthread
