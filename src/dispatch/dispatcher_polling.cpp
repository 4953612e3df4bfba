// dispatcher: polls workers to renew their leases and to learn which runs they have and which have ended.

#include <walkthread/dispatch/dispatcher.hpp>

#include <algorithm>
#include <utility>

#include <walkthread/workload/names.hpp>

namespace walkthread
{

namespace
{
constexpr std::size_t max_listed_ends = 500; // ends that a worker lists in one answer at most
constexpr double speed_smoothing = 0.1;      // smoothing for runs with reliable estimates: settles in a dozen
constexpr double reliable_spread = 0.06;     // spread of estimates that are off by about a quarter
constexpr double poll_loss_smoothing = 0.005; // smoothing of the share of lost polls: about the last second
constexpr double min_speed_sample = 0.3;      // bounds the effect of a single run
constexpr double max_speed_sample = 2.5;
} // namespace

// ---------------------------------------------------------------------------------------------------------
// Polls and leases
// ---------------------------------------------------------------------------------------------------------

void dispatcher::poll_workers(monotonic_time now)
{
    for (auto& [id, view] : m_views)
    {
        const bool overdue =
            view.poll_in_flight && now - view.poll_sent > m_settings.poll_wait + 2 * m_settings.poll_timeout;
        if (overdue)
        {
            view.poll_in_flight = false; // a late answer still counts
        }
        if (!view.awaits_first_poll && !view.poll_in_flight && !view.ends_commit_pending &&
            !view.drop_proposed && now >= view.poll_due)
        {
            poll_worker(view, now);
        }
    }
}

void dispatcher::send_first_polls(monotonic_time now)
{
    for (const worker_incarnation_id worker : m_first_polls.take(now))
    {
        worker_view* view = view_of(worker);
        if (view != nullptr && view->awaits_first_poll)
        {
            view->contact.poll_rarely(now); // it was not silent while it was not polled
            poll_worker(*view, now);
        }
        else
        {
            m_first_polls.finish(worker);
        }
    }
}

void dispatcher::poll_worker(worker_view& view, monotonic_time now)
{
    const worker_incarnation* worker = m_state.find(view.id);
    if (worker == nullptr || view.drop_proposed)
    {
        return;
    }
    view.awaits_first_poll = false;
    poll_order order;
    order.to = address_of(view.id);
    order.last_seen = worker->ends_recorded_up_to;
    // A worker whose answers are lost may still receive polls. Its lease has to expire at some time, so a
    // poll of an unresponsive worker does not renew it.
    const bool unresponsive = view.contact.time_since_contact(now) > m_settings.silent_after();
    const bool may_have_left = is_leaving(view) && view.contact.refused_since().has_value();
    if (view.lease.clock_known() && !unresponsive && !may_have_left)
    {
        order.until_ms = view.lease.grant(now, lease_for(view, now));
    }
    const bool shared = view.serving > 0 && view.filling > 0;
    const bool leaves_soon = may_leave_soon(view, now) && !view.runs.empty();
    const milliseconds wait = polls_often_lost() ? m_settings.short_poll_wait
                              : leaves_soon      ? m_settings.leaving_poll_wait
                              : shared           ? m_settings.colocation_poll_wait
                                                 : m_settings.poll_wait;
    // A worker that has just become idle is likely to get work again, so that only the next poll finds it
    // idle.
    order.idle = may_poll_rarely(view) && now - view.poll_sent >= m_settings.idle_poll_interval;
    // Unanswered orders are resolved by the list of runs, which a poll that waits for an end would delay.
    const bool waits = view.answered && !view.has_unresolved_runs() && !view.has_unresolved_start() &&
                       !may_poll_rarely(view);
    order.wait_ms = waits ? wait.count() : 0;
    order.timeout = polls_often_lost() ? m_settings.short_poll_timeout : m_settings.poll_timeout;
    view.poll_in_flight = true;
    view.poll_sent = now;
    m_hooks.poll(order,
                 [this, alive = m_alive, worker_id = view.id, now](const poll_answer& answer)
                 {
                     if (*alive)
                     {
                         handle_poll_answer(worker_id, answer, now, m_hooks.now());
                     }
                 });
}

// Only polls of responsive workers count, as those of failed ones say nothing about lost messages.
void dispatcher::record_poll_outcome(const worker_view& view, bool lost, monotonic_time now)
{
    const bool responsive = view.contact.time_since_contact(now) < m_settings.silent_after();
    if (responsive)
    {
        m_poll_loss_rate += poll_loss_smoothing * ((lost ? 1.0 : 0.0) - m_poll_loss_rate);
    }
}

void dispatcher::handle_poll_answer(worker_incarnation_id worker, const poll_answer& answer,
                                    monotonic_time sent, monotonic_time now)
{
    m_first_polls.finish(worker);
    worker_view* view = view_of(worker);
    if (view == nullptr)
    {
        return;
    }
    if (view->poll_sent == sent)
    {
        view->poll_in_flight = false;
    }
    const process_start_ms known = m_state.find(worker)->description.process_start;
    // An answer to a poll that was sent before the known incarnation's last answer may be one of a former
    // one.
    const bool another_answers = answer.outcome == order_outcome::accepted &&
                                 answer.process_start != process_start_ms{} &&
                                 answer.process_start != known && sent >= view->contact.last_heard();
    const bool replaced = another_answers || answer.outcome == order_outcome::wrong_incarnation;
    if ((answer.refused || replaced) && handle_departure(*view, answer, sent, now))
    {
        return;
    }
    if (answer.outcome == order_outcome::wrong_incarnation)
    {
        drop_replaced_worker(*view, now);
        return;
    }
    // An answer without a process start time does not come from this worker if its reports have one.
    const bool from_other_process = answer.outcome == order_outcome::accepted &&
                                    known != process_start_ms{} && answer.process_start == process_start_ms{};
    const bool lost = answer.outcome == order_outcome::unanswered || from_other_process;
    if (!surely_not_executed(answer.outcome)) // a poll that was not sent was not lost
    {
        record_poll_outcome(*view, lost, now);
    }
    if (answer.outcome != order_outcome::accepted || from_other_process)
    {
        // It may only be a broken connection, so the first failed poll is repeated at once.
        const bool at_once = lost && (polls_often_lost() || !view->contact.doubted());
        const bool no_answer =
            answer.outcome == order_outcome::unanswered || answer.outcome == order_outcome::unreachable;
        if (no_answer && now - sent < m_settings.refusal_time)
        {
            view->contact.record_refusal(now);
        }
        if (answer.outcome != order_outcome::not_sent && view->contact.doubted())
        {
            save_last_known_runs(*view);
        }
        const bool first = lost && !view->contact.doubted();
        view->contact.record_failed_poll(answer.outcome, sent, now); // a refused poll renews no lease either
        view->poll_due = at_once ? now : now + m_settings.poll_retry_delay;
        if (first && !view->poll_in_flight && !view->ends_commit_pending)
        {
            poll_worker(*view,
                        now); // the sooner a failure is known, the less is lost if this leader fails too
        }
        return;
    }
    if (answer.process_start != known)
    {
        // If the known incarnation answered after this poll was sent, it is unclear which of them is newer.
        view->poll_due = now;
        if (sent >= view->contact.last_heard())
        {
            handle_restart(*view, answer, now);
        }
        return;
    }
    view->poll_due = now;
    view->contact.record_answer(now);
    m_contact_history.record_answer(now, max_expected_silence());
    view->answered_poll_sent = std::max(view->answered_poll_sent, sent);
    view->lease.update_clock(answer.clock_ms, now);
    view->lease.record_fenced(answer.clock_ms);
    apply_running(*view, answer, now);
    pace_fillers(*view, answer, now);
    apply_ends(*view, answer, sent, now);
    stop_possible_late_starts(*view, now);
    view->answered = true;
    clear_last_known_runs(*view);
    if (view->has_pending_stops() || view->has_unresolved_start())
    {
        view->poll_due =
            now + m_settings.poll_retry_delay; // answers to the open orders trigger a poll earlier
    }
    else if (!view->ends_commit_pending && may_poll_rarely(*view))
    {
        poll_rarely(*view, now);
    }
    else if (!view->ends_commit_pending)
    {
        poll_worker(*view, now);
    }
    m_hooks.wake();
}

void dispatcher::apply_running(worker_view& view, const poll_answer& answer, monotonic_time now)
{
    for (auto& [run, known] : view.runs)
    {
        known.listed = false;
    }
    for (const reported_run& listed : answer.running)
    {
        const auto found = view.runs.find(listed.run);
        if (found == view.runs.end())
        {
            send_stop(view, listed.run, now); // late start of a run that is no longer wanted
            continue;
        }
        run_view& known = found->second;
        known.listed = true;
        m_unconfirmed.confirm(listed.run.task.step.submission);
        if (!known.outcome_known_at)
        {
            known.outcome_known_at = now;
        }
        if (!listed.checkpoint.empty())
        {
            known.checkpoint = listed.checkpoint;
        }
        if (listed.percent > known.percent)
        {
            known.percent = listed.percent;
            known.last_progress = now;
        }
        if (!m_state.needs_run(listed.run) && !m_state.closing().contains(listed.run.task.step.submission))
        {
            const work_task* task = m_state.find(listed.run.task);
            const bool gang_done = task != nullptr && task->state() == work_phase::completed;
            if (!gang_done)
            {
                send_stop(view, listed.run, now);
            }
        }
    }
}

void dispatcher::apply_ends(worker_view& view, const poll_answer& answer, monotonic_time sent,
                            monotonic_time now)
{
    const worker_incarnation& worker = *m_state.find(view.id);
    record_ends command;
    command.worker = view.id;
    std::set<run_ref> ended;
    std::set<run_ref> absent; // starts recorded by an earlier leader that the worker does not list
    for (const reported_end& end : answer.ended)
    {
        command.ends_recorded_up_to = std::max(command.ends_recorded_up_to, end.number);
        if (end.number > worker.ends_recorded_up_to)
        {
            m_unconfirmed.confirm(end.run.task.step.submission);
            evaluate_end(view, end, now);
            command.ends.push_back({end.run, static_cast<std::uint8_t>(end.how), end.checkpoint});
            ended.insert(end.run);
        }
    }
    for (const auto& [run, room] : worker.occupied)
    {
        const auto found = view.runs.find(run);
        if (found == view.runs.end() || found->second.listed || ended.contains(run) ||
            answer.ended.size() >= max_listed_ends)
        {
            continue;
        }
        const run_view& known = found->second;
        const bool settled_before = known.outcome_known_at && *known.outcome_known_at < sent;
        const bool stopped_before = known.stop_outcome_known_at && *known.stop_outcome_known_at < sent;
        if (known.inherited || settled_before || stopped_before)
        {
            log_event(now, "run_absent", name_of(run),
                      {{"worker", worker.description.id},
                       {"born", worker.description.process_start.value()},
                       {"inherited", known.inherited},
                       {"restarted", known.carried_over}});
            command.ends.push_back({run, static_cast<std::uint8_t>(run_end::never_began), known.checkpoint});
            if (known.inherited)
            {
                absent.insert(run);
            }
        }
    }
    if (command.ends.empty())
    {
        return;
    }
    view.ends_commit_pending = true;
    m_counters.ends += command.ends.size();
    begin_recording(command);
    m_hooks.propose(command,
                    [this, alive = m_alive, command, absent](bool committed)
                    {
                        if (*alive)
                        {
                            handle_absent_runs(absent);
                            end_recording(command);
                        }
                        worker_view* later = *alive ? view_of(command.worker) : nullptr;
                        if (later == nullptr)
                        {
                            return;
                        }
                        later->ends_commit_pending = false;
                        m_freed_hosts.note(command.worker);
                        for (const observed_end& end : command.ends)
                        {
                            if (committed)
                            {
                                later->runs.erase(end.run);
                            }
                        }
                        if (!later->poll_in_flight)
                        {
                            poll_worker(*later, m_hooks.now());
                        }
                        m_hooks.wake();
                    });
}

// Handles starts that an earlier leader recorded and that were never carried out.
void dispatcher::handle_absent_runs(const std::set<run_ref>& absent)
{
    for (const run_ref& run : absent)
    {
        const submission* owner = m_state.find(run.task.step.submission);
        if (owner != nullptr && shows_no_start(*owner))
        {
            m_unconfirmed.add(owner->id);
        }
    }
}

void dispatcher::begin_recording(const record_ends& command)
{
    for (const observed_end& end : command.ends)
    {
        ++m_pending_ends[end.run.task.step.submission].entries;
    }
}

void dispatcher::end_recording(const record_ends& command)
{
    std::vector<std::function<void()>> ready;
    for (const observed_end& end : command.ends)
    {
        const auto pending = m_pending_ends.find(end.run.task.step.submission);
        if (pending != m_pending_ends.end() && --pending->second.entries == 0)
        {
            std::move(pending->second.waiting.begin(), pending->second.waiting.end(),
                      std::back_inserter(ready));
            m_pending_ends.erase(pending);
        }
    }
    for (const auto& then : ready)
    {
        then();
    }
}

void dispatcher::after_ends_committed(submission_id id, std::function<void()> then)
{
    const auto pending = m_pending_ends.find(id);
    if (pending == m_pending_ends.end())
    {
        then();
        return;
    }
    pending->second.waiting.push_back(std::move(then));
}

// Learns run times and the worker's speed from an end, and puts workers on which runs fail on probation.
void dispatcher::evaluate_end(worker_view& view, const reported_end& end, monotonic_time now)
{
    const submission* owner = m_state.find(end.run.task.step.submission);
    const auto known = view.runs.find(end.run);
    const duration took = known == view.runs.end() ? duration{0} : now - known->second.sent;
    log_event(now, "run_ended", name_of(end.run),
              {{"worker", m_state.find(view.id)->description.id},
               {"how", name_of(end.how)},
               {"took_ms", took},
               {"number", end.number}});
    m_unplaced_since.erase(end.run.task.step);
    const step_spec* spec = m_state.find(end.run.task.step);
    if (spec == nullptr || known == view.runs.end())
    {
        return;
    }
    const step_spec& step = *spec;
    if (end.how == run_end::broken)
    {
        view.record_broken_gang(end.run);
    }
    if (end.how == run_end::completed)
    {
        if (view.probation.record_completion(known->second.sent, now))
        {
            log_event(now, "probation_over", m_state.find(view.id)->description.id,
                      {{"run", name_of(end.run)}});
        }
        if (!step.long_running && !known->second.inherited && m_state.find(end.run.task) != nullptr &&
            m_state.find(end.run.task)->checkpoint.empty())
        {
            const std::int64_t took_ms = std::chrono::duration_cast<milliseconds>(took).count();
            const double expected = m_objectives.expected_ms(owner->queue_key(), step);
            m_objectives.record_run(owner->queue_key(), step.estimate_ms, took_ms);
            m_turnover.record(step.size, milliseconds(took_ms));
            const double sound =
                std::min(1.0, reliable_spread / m_objectives.relative_variance(owner->queue_key()));
            const double seen = std::clamp(expected / static_cast<double>(std::max<std::int64_t>(took_ms, 1)),
                                           min_speed_sample, max_speed_sample);
            const bool learns =
                !step.gang &&
                uses(mechanism::learned_speeds); // a gang runs at the speed of its slowest member
            view.speed += learns ? speed_smoothing * sound * (seen - view.speed) : 0.0;
        }
    }
    else if (end.how == run_end::failed && !step.long_running && uses(mechanism::quarantine) &&
             view.probation.record_failure(owner->id, known->second.sent, now))
    {
        log_event(now, "worker_on_probation", m_state.find(view.id)->description.id,
                  {{"reason", "consecutive failures"},
                   {"run", name_of(end.run)},
                   {"for_ms", view.probation.until() - now}});
    }
}

void dispatcher::drop_lost_workers(monotonic_time now)
{
    bool leader_may_be_partitioned = false;
    for (auto& [id, view] : m_views)
    {
        const drop_blocker kept = find_drop_blocker(view, m_contact_history, now, m_settings);
        if (kept == drop_blocker::leader_may_be_isolated)
        {
            leader_may_be_partitioned = true;
            view.contact.keep_failed_poll(m_contact_history.since());
        }
        if (kept == drop_blocker::none)
        {
            drop_incarnation(view, "lease expired without an answer", false, now);
        }
    }
    if (leader_may_be_partitioned)
    {
        poll_one_idle_worker(now);
    }
}

// A replaced incarnation is dropped for good: a delayed report does not bring it back. If it had announced
// that it leaves, its runs may outlive its port.
void dispatcher::drop_replaced_worker(worker_view& view, monotonic_time now)
{
    if (may_still_run(view, now))
    {
        view.contact.record_refusal(now);
        poll_promptly(view, now);
        return;
    }
    drop_incarnation(view, "replaced by another incarnation at its address", true, now);
}

} // namespace walkthread
