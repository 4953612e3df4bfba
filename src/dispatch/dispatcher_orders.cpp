// dispatcher: start and stop orders and their retries.

#include <walkthread/dispatch/dispatcher.hpp>

#include <algorithm>

#include <walkthread/workload/names.hpp>

namespace walkthread
{

namespace
{
constexpr duration stop_retry = milliseconds(250); // before an unanswered stop is resent
constexpr double stall_factor = 3.0;               // times the expected run time without progress: stalled
} // namespace

// ---------------------------------------------------------------------------------------------------------
// Starts
// ---------------------------------------------------------------------------------------------------------

// Since the start was planned, the worker may have begun to drain, its hall may have been cordoned, or the
// submission may have been cancelled.
bool dispatcher::may_still_start(const worker_view& view, const run_ref& run) const
{
    const worker_incarnation* worker = m_state.find(view.id);
    const bool cordoned = worker != nullptr && m_state.cordons().contains(worker->description.hall);
    return !view.draining && !view.drop_proposed && !cordoned && m_state.needs_run(run);
}

// Sends the committed starts. Sends none of a gang if any of its members may no longer start.
void dispatcher::send_recorded_starts(const record_starts& recorded, const std::vector<std::string>& tickets,
                                      monotonic_time now)
{
    const auto may_start = [this](const planned_start& planned)
    {
        const worker_view* view = view_of(planned.worker);
        return view != nullptr && may_still_start(*view, run_ref{planned.task, planned.run});
    };
    const step_spec* step = m_state.find(recorded.starts.front().task.step);
    const bool none = step != nullptr && step->gang &&
                      !std::all_of(recorded.starts.begin(), recorded.starts.end(), may_start);
    for (std::size_t i = 0; i < recorded.starts.size(); ++i)
    {
        const planned_start& planned = recorded.starts[i];
        const run_ref run{planned.task, planned.run};
        worker_view* view = view_of(planned.worker);
        if (view == nullptr || !m_state.find(planned.worker)->occupied.contains(run))
        {
            continue; // refused by the state machine
        }
        run_view& known = view->runs[run];
        known.ticket = tickets[i];
        known.last_progress = now;
        if (none || !may_start(planned))
        {
            ++m_counters.starts_withdrawn;
            end_run(planned.worker, run, run_end::never_began, now);
            continue;
        }
        send_start(planned.worker, run, now);
    }
}

void dispatcher::send_start(worker_incarnation_id worker, const run_ref& run, monotonic_time now)
{
    worker_view& view = m_views[worker];
    run_view& known = view.runs[run];
    const submission* owner = m_state.find(run.task.step.submission);
    const work_task* task = m_state.find(run.task);
    if (owner == nullptr || task == nullptr || known.order_in_flight)
    {
        return;
    }
    start_task_order order;
    order.to = address_of(worker);
    order.run = run;
    order.payload = owner->spec.payload;
    order.checkpoint = task->checkpoint;
    order.ticket = known.ticket == "-" ? std::string{} : known.ticket;
    const step_spec* step = m_state.find(run.task.step);
    const queue_spec* queue = m_state.queue_of(*owner);
    order.has_priority = (queue != nullptr && queue->priority == 0) || (step != nullptr && step->gang);
    order.until_ms = view.lease.grant(now, std::min(m_settings.start_window, m_settings.max_lease));
    note_start(view, run, now);
    poll_promptly(view, now);
    known.sent = now;
    known.order_in_flight = true;
    ++known.tries;
    ++m_counters.starts;
    m_hooks.start(order,
                  [this, alive = m_alive, worker, run](const order_answer& answer)
                  {
                      if (*alive)
                      {
                          handle_start_answer(worker, run, answer, m_hooks.now());
                      }
                  });
}

// Counts and logs starts on workers that have not reported to this leader yet, of which only the replicated
// log tells whether they are leaving. One log line per worker, so that such a start can be explained.
void dispatcher::note_start(worker_view& view, const run_ref& run, monotonic_time now)
{
    m_counters.starts_before_report += view.reported ? 0 : 1;
    if (view.reported || view.start_noted)
    {
        return;
    }
    view.start_noted = true;
    const worker_incarnation& worker = *m_state.find(view.id);
    log_event(now, "start_before_report", name_of(run),
              {{"worker", worker.description.id},
               {"leaving", worker.leaving},
               {"sequence", worker.leaving_sequence},
               {"led_for_ms", now - m_term_start}});
}

void dispatcher::handle_start_answer(worker_incarnation_id worker, const run_ref& run,
                                     const order_answer& answer, monotonic_time now)
{
    worker_view* view = view_of(worker);
    const auto found = view == nullptr ? std::map<run_ref, run_view>::iterator{} : view->runs.find(run);
    if (view == nullptr || found == view->runs.end())
    {
        return;
    }
    run_view& known = found->second;
    known.order_in_flight = false;
    if (answer.clock_ms)
    {
        view->lease.update_clock(*answer.clock_ms, now);
    }
    if (answer.outcome == order_outcome::accepted)
    {
        m_unconfirmed.confirm(run.task.step.submission);
        known.outcome_known_at = now;
        known.last_progress = now;
        return;
    }
    log_event(now, "start_not_taken", name_of(run),
              {{"worker", m_state.find(worker)->description.id},
               {"outcome", static_cast<int>(answer.outcome)},
               {"tries", known.tries},
               {"after_ms", now - known.sent}});
    if (answer.outcome == order_outcome::unanswered)
    {
        ++m_counters.unanswered_orders;
        view->unanswered_starts[run] = now;
        return; // retry_orders resends or stops it
    }
    if (surely_not_executed(answer.outcome))
    {
        record_unsent_call(*view, answer.outcome, now);
        handle_unsent_start(*view, run, answer.outcome, now);
        return;
    }
    if (answer.outcome == order_outcome::wrong_incarnation)
    {
        drop_replaced_worker(*view, now);
        return;
    }
    ++m_counters.refused_starts;
    if (answer.outcome == order_outcome::ticket_rejected)
    {
        m_advice.record_refused_ticket();
    }
    if (answer.outcome == order_outcome::unhealthy)
    {
        view->avoid_until = std::max(view->avoid_until, now + m_settings.unhealthy_backoff);
    }
    if (answer.outcome == order_outcome::superseded)
    {
        known.outcome_known_at = now; // it was stopped or has ended there: the next poll tells which
        return;
    }
    if (known.tries == 1 && !answer.repeated && answer.outcome != order_outcome::fenced)
    {
        end_run(worker, run, run_end::never_began, now); // the only order was refused
        return;
    }
    send_stop(*view, run, now); // an earlier order may have been, or may still be, carried out
}

// An order that was never sent cannot be carried out and does not count as an attempt. If no order was ever
// sent, the task may go to another worker after a few failures to send, without waiting for the lease of an
// unresponsive worker to expire; a single task may do so at once if the address refuses connections. A gang
// is retried, as its other members have already started.
void dispatcher::handle_unsent_start(worker_view& view, const run_ref& run, order_outcome outcome,
                                     monotonic_time now)
{
    run_view& known = view.runs.at(run);
    const step_spec* step = m_state.find(run.task.step);
    const bool goes_elsewhere = outcome == order_outcome::unreachable && step != nullptr && !step->gang;
    ++m_counters.unsent_orders;
    --known.tries;
    ++known.unsent_attempts;
    if (known.tries > 0 || (known.unsent_attempts < m_settings.max_unsent_attempts && !goes_elsewhere))
    {
        return; // retry_orders sends it again
    }
    view.avoid_until = std::max(view.avoid_until, now + m_settings.unhealthy_backoff);
    end_run(view.id, run, run_end::never_began, now);
}

void dispatcher::end_run(worker_incarnation_id worker, const run_ref& run, run_end how, monotonic_time now)
{
    log_event(now, "run_ended", name_of(run),
              {{"worker", m_state.find(worker)->description.id}, {"how", name_of(how)}});
    record_ends command;
    command.worker = worker;
    command.ends.push_back({run, static_cast<std::uint8_t>(how), {}});
    m_views[worker].runs[run].never_began_pending = true;
    m_hooks.propose(command,
                    [this, alive = m_alive, worker, run](bool committed)
                    {
                        worker_view* later = *alive ? view_of(worker) : nullptr;
                        if (later != nullptr && committed)
                        {
                            later->runs.erase(run);
                            m_freed_hosts.note(worker);
                            stop_rest_of_gang(run, m_hooks.now());
                            m_hooks.wake();
                        }
                        else if (later != nullptr && later->runs.contains(run))
                        {
                            later->runs[run].never_began_pending =
                                false; // retry_orders proposes the end again
                        }
                    });
}

// Stops the other members of a gang, which would wait several seconds for a member that never starts.
void dispatcher::stop_rest_of_gang(const run_ref& run, monotonic_time now)
{
    const step_spec* step = m_state.find(run.task.step);
    if (step == nullptr || !step->gang)
    {
        return;
    }
    for (std::uint32_t index = 0; index < step->count; ++index)
    {
        const run_ref member{task_ref{run.task.step, index}, run.run};
        const work_task* task = m_state.find(member.task);
        const bool active = task != nullptr && task->state() == work_phase::active && task->run == member.run;
        worker_view* view = active ? view_of(task->worker) : nullptr;
        if (view != nullptr)
        {
            send_stop(*view, member, now);
        }
    }
}

std::uint32_t dispatcher::pending(const std::string& queue) const
{
    return m_state.queued(queue) + m_unconfirmed.count(queue, m_state);
}

// ---------------------------------------------------------------------------------------------------------
// Stops and retries
// ---------------------------------------------------------------------------------------------------------

void dispatcher::send_stop(worker_view& view, const run_ref& run, monotonic_time now)
{
    run_view& known = view.runs[run];
    if (known.stop_in_flight || known.stop_outcome_known_at || now < known.stop_retry)
    {
        return;
    }
    if (!known.stopping)
    {
        log_event(now, "run_stopping", name_of(run),
                  {{"worker", m_state.find(view.id)->description.id}, {"wanted", m_state.needs_run(run)}});
    }
    known.stopping = true;
    known.stop_in_flight = true;
    m_hooks.stop(stop_task_order{address_of(view.id), run},
                 [this, alive = m_alive, worker = view.id, run](const order_answer& answer)
                 {
                     if (*alive)
                     {
                         handle_stop_answer(worker, run, answer, m_hooks.now());
                     }
                 });
}

void dispatcher::handle_stop_answer(worker_incarnation_id worker, const run_ref& run,
                                    const order_answer& answer, monotonic_time now)
{
    worker_view* view = view_of(worker);
    const auto found = view == nullptr ? std::map<run_ref, run_view>::iterator{} : view->runs.find(run);
    if (view == nullptr || found == view->runs.end())
    {
        return;
    }
    run_view& known = found->second;
    known.stop_in_flight = false;
    if (answer.outcome == order_outcome::accepted)
    {
        known.stop_outcome_known_at = now;
        if (!m_state.find(worker)->occupied.contains(run))
        {
            view->runs.erase(found); // late start of a run that has already ended
        }
        if (!view->has_pending_stops() && !view->poll_in_flight && !view->ends_commit_pending)
        {
            poll_worker(*view, now); // runs it does not list now never started there
        }
        return;
    }
    known.stop_retry = now + stop_retry;
    if (answer.outcome == order_outcome::wrong_incarnation)
    {
        drop_replaced_worker(*view, now);
    }
    else if (surely_not_executed(answer.outcome))
    {
        record_unsent_call(*view, answer.outcome, now);
    }
}

// A refused connection makes the worker suspected, whichever call it was for; a poll confirms or clears that.
void dispatcher::record_unsent_call(worker_view& view, order_outcome outcome, monotonic_time now)
{
    view.contact.record_failure(outcome, now);
    if (outcome == order_outcome::unreachable)
    {
        poll_promptly(view, now);
    }
}

void dispatcher::retry_orders(monotonic_time now)
{
    for (auto& [id, view] : m_views)
    {
        const bool unresponsive = view.contact.time_since_contact(now) > m_settings.silent_after();
        std::vector<run_ref> again;
        for (auto& [run, known] : view.runs)
        {
            if (known.stopping && !known.stop_outcome_known_at)
            {
                send_stop(view, run, now);
            }
            const bool open = !known.outcome_known_at && !known.inherited && !known.carried_over &&
                              !known.order_in_flight && !known.stopping && !known.never_began_pending;
            const bool may_be_running =
                unresponsive && known.tries > 0; // it may run there: waits for the worker's answer
            if (open && !may_be_running && now - known.sent >= m_settings.order_retry_delay)
            {
                again.push_back(run);
            }
        }
        for (const run_ref& run : again)
        {
            const bool withdrawn = m_state.needs_run(run) && !may_still_start(view, run);
            m_counters.starts_withdrawn += withdrawn ? 1 : 0;
            const run_view& known = view.runs[run];
            const bool retryable =
                known.tries > 0
                    ? known.tries < m_settings.max_start_attempts
                    : known.unsent_attempts > 0 && known.unsent_attempts < m_settings.max_unsent_attempts;
            const bool again_now = retryable && !unresponsive && may_still_start(view, run);
            if (again_now)
            {
                send_start(id, run, now);
            }
            else if (known.tries == 0)
            {
                end_run(id, run, run_end::never_began, now); // no order for it was ever sent
            }
            else
            {
                send_stop(view, run, now);
            }
        }
    }
}

// Stops stalled runs so that they start elsewhere, and puts their worker on probation. On workers that are
// about to leave, also stops lasting runs and those with checkpoints: while the worker answers, the end of a
// run is certain, and it can start elsewhere at once.
void dispatcher::check_stalled_runs(monotonic_time now)
{
    m_workers_on_probation = 0;
    for (auto& [id, view] : m_views)
    {
        m_workers_on_probation += view.probation.active(now) ? 1 : 0;
        std::erase_if(view.unanswered_starts,
                      [this, now](const auto& item)
                      {
                          return now - item.second > m_settings.late_order_limit;
                      });
        for (auto& [run, known] : view.runs)
        {
            const submission* owner = m_state.find(run.task.step.submission);
            const step_spec* spec = m_state.find(run.task.step);
            if (spec == nullptr || !known.listed || known.stopping)
            {
                continue;
            }
            const step_spec& step = *spec;
            const bool leaving = view.draining && (step.checkpoints || step.long_running) &&
                                 view.leaves_at - now < m_settings.drain_stop_lead;
            const double expected = m_objectives.expected_ms(owner->queue_key(), step) * stall_factor;
            const duration stall_limit = std::max<duration>(
                m_settings.stall_timeout, milliseconds(static_cast<std::int64_t>(expected)));
            const bool paced = known.pace < 100; // throttled by this leader, so no progress is expected
            // Measured up to the last answer: runs of an unresponsive worker may well make progress.
            const bool stalled =
                !step.long_running && !paced && view.contact.last_heard() - known.last_progress > stall_limit;
            if (stalled && view.probation.record_stall(known.sent, now))
            {
                log_event(now, "worker_on_probation", m_state.find(id)->description.id,
                          {{"reason", "run made no progress"},
                           {"run", name_of(run)},
                           {"unchanged_ms", now - known.last_progress},
                           {"for_ms", view.probation.until() - now}});
            }
            if (leaving || stalled)
            {
                send_stop(view, run, now);
            }
        }
    }
}

} // namespace walkthread
