#include <walkthread/dispatch/dispatcher.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include <walkthread/workload/names.hpp>

namespace walkthread
{

namespace
{
constexpr std::size_t max_expired_per_command = 200; // bounds the size of one log entry
constexpr std::size_t max_failed_placements = 120;   // per pass: after so many failures, few others would fit
constexpr std::size_t freed_host_log_size = 4096;    // two seconds of the peak load at 1,100 workers
constexpr duration periodic_work_interval = milliseconds(50); // a fifth of the shortest retry interval
// For work that visits every run: stalled runs, speeds and expiry change within seconds.
constexpr duration review_interval = milliseconds(250);
// Ranks 0 to 2 are long-running work, urgent work and gangs with a reservation.
constexpr int rank_of(timeliness expected_timeliness)
{
    return 3 + static_cast<int>(expected_timeliness);
}
} // namespace

dispatcher::dispatcher(const workload_state& state, dispatch_settings settings, dispatch_hooks hooks,
                       decision_log& log, std::uint64_t fence, monotonic_time now)
    : m_state(state), m_settings(settings), m_hooks(std::move(hooks)), m_log(log), m_fence(fence),
      m_term_start(now), m_schedule(m_settings.backlog), m_first_polls(m_settings.first_polls),
      m_windows(m_settings.backlog), m_hosts(m_state, m_views, m_settings, m_maintenance_hosts),
      m_suspects(state.crashes(), m_settings.suspect_watch_period), m_freed_hosts(freed_host_log_size),
      m_poison_tasks_logged(state.crashes().poison_task_count())
{
    if (!uses(mechanism::answer_tickets))
    {
        m_advice.record_refused_ticket();
    }
    sync_views(now);
}

dispatcher::~dispatcher()
{
    *m_alive = false;
    for (auto& [id, pending] : std::exchange(m_pending_ends, {}))
    {
        for (const auto& then : pending.waiting)
        {
            then();
        }
    }
}

void dispatcher::log_event(monotonic_time now, std::string_view event, std::string_view subject,
                           std::initializer_list<log_field> fields)
{
    m_log.write(now, m_wall, event, subject, fields);
}

// ---------------------------------------------------------------------------------------------------------
// Scheduling pass
// ---------------------------------------------------------------------------------------------------------

void dispatcher::pass(monotonic_time now, wall_ms wall)
{
    m_wall = wall;
    m_state.release_due(wall);
    sync_views(now);
    if (now >= m_periodic_work_due)
    {
        m_periodic_work_due = now + periodic_work_interval;
        run_periodic_work(now, wall);
    }
    send_first_polls(now);
    stop_unwanted_runs(now);
    follow_moved_queues(now);
    const bool all = m_schedule.is_full_pass_due(now);
    if (!all && !m_schedule.is_first_pass_due(now))
    {
        return;
    }
    m_schedule.record_pass(all, m_state.ready().open_steps(), m_state.ready().open_first(),
                           m_settings.full_pass_interval, now);
    m_hosts.begin_pass(now);
    m_suspects.find_isolated(m_state);
    log_waiting(now, wall);
    std::size_t failed = 0;
    std::vector<candidate> candidates = order_candidates(wall, all);
    if (all)
    {
        review_reservations(candidates, now);
    }
    m_waiting_demand.clear();
    m_idle_pools.clear();
    m_windows.clear();
    for (candidate& item : candidates)
    {
        if (!is_within_window(item))
        {
            continue;
        }
        item.permitted = permitted_tasks(item);
        if (item.permitted == 0)
        {
            drop_hold(item.ref); // nothing is held for steps that their organisation's quota blocks
            continue;
        }
        if (leaves_capacity_to_gangs(item))
        {
            continue;
        }
        count_in_window(item);
        item.placed = placed_tasks(item);
        item.lost_with_host = has_crash_suspects(item);
        failed += place(item, now) ? 0 : 1;
        add_waiting_demand(item);
        if (failed > max_failed_placements)
        {
            break;
        }
    }
}

// Work that is not needed after every answer.
void dispatcher::run_periodic_work(monotonic_time now, wall_ms wall)
{
    drop_lost_workers(now);
    find_suspected_racks();
    log_poison_tasks(now);
    poll_workers(now);
    retry_orders(now);
    advance_maintenance_waves(now, wall);
    expire_holds(now);
    if (now >= m_review_due)
    {
        m_review_due = now + review_interval;
        check_stalled_runs(now);
        m_unconfirmed.prune(m_state);
        update_typical_speed();
        expire_submissions(wall);
    }
}

// Fills in the slack and timeliness of a step. Returns false if none of its tasks can be started now.
bool dispatcher::evaluate_candidate(candidate& item, wall_ms wall) const
{
    const wall_ms due = item.owner->spec.due_at(item.ref.round);
    if (due > wall || !has_waiting_tasks(item))
    {
        return false;
    }
    const wall_ms since = std::max(due, item.owner->accepted);
    const auto age = static_cast<double>(std::max<wall_ms>(wall - since, 0));
    if (item.step->long_running)
    {
        item.slack_ms = -age;
        return true;
    }
    const critical_path_times chain = m_objectives.critical_path_of(*item.owner, item.ref.step);
    const double objective = item.queue != nullptr ? objective_ms(chain, *item.queue) : 0.0;
    item.slack_ms = objective - age - chain.remaining_ms;
    item.uncertainty_ms =
        2 * std::sqrt(m_objectives.relative_variance(item.owner->queue_key())) * chain.remaining_ms;
    item.run_ms = m_objectives.expected_ms(item.owner->queue_key(), *item.step);
    item.reserved = has_reservation(item.ref);
    item.expected_timeliness = classify_timeliness(item.slack_ms, objective, m_settings.timeliness_limits);
    return true;
}

// Lower ranks go first; within a rank, less slack goes first. Urgent work goes before other work unless it
// has missed its latency objective: even at risk of being late, it is worth more.
int dispatcher::rank(const candidate& item) const
{
    if (item.step->long_running)
    {
        return 0;
    }
    if (!uses(mechanism::outlook_order))
    {
        return item.urgent() ? 1 : 2;
    }
    if (item.urgent() && !item.missed())
    {
        return 1;
    }
    return item.reserved ? 2 : rank_of(item.expected_timeliness);
}

// A step that may be started, without slack and timeliness.
dispatcher::candidate dispatcher::make_candidate(const step_ref& ref) const
{
    candidate item;
    item.ref = ref;
    item.owner = m_state.find(ref.submission);
    item.step = &item.owner->spec.steps[ref.step];
    item.queue = m_state.queue_of(*item.owner);
    item.pool = m_hosts.number_of(m_state.pool_of(*item.owner));
    return item;
}

std::vector<dispatcher::candidate> dispatcher::order_candidates(wall_ms wall, bool all)
{
    std::vector<candidate> found;
    for (const auto& [needs, group] : m_state.ready().open())
    {
        for (const step_ref& ref : all ? group.steps : group.first)
        {
            candidate item = make_candidate(ref);
            if (evaluate_candidate(item, wall))
            {
                found.push_back(std::move(item));
            }
        }
    }
    apply_shares(found, all);
    // Steps at risk of being late become more so by waiting, so those with more slack go first among them.
    // Gangs get a lead, as they have to gather capacity and tickets before they start.
    const auto lead_ms = static_cast<double>(m_settings.gang_lead_time.count());
    std::vector<std::tuple<int, bool, double, step_ref, std::size_t>> order;
    order.reserve(found.size());
    for (std::size_t i = 0; i < found.size(); ++i)
    {
        const candidate& item = found[i];
        const bool prepares = item.step->gang && !item.urgent();
        const double left = item.slack_ms - (prepares ? lead_ms : 0.0);
        const int place = rank(item);
        order.emplace_back(place, item.beyond_share, place == rank_of(timeliness::at_risk) ? -left : left,
                           item.ref, i);
    }
    std::sort(order.begin(), order.end());
    std::vector<candidate> out;
    out.reserve(found.size());
    for (const auto& entry : order)
    {
        out.push_back(std::move(found[std::get<std::size_t>(entry)]));
    }
    return out;
}

void dispatcher::expire_submissions(wall_ms wall)
{
    if (m_expiry_in_flight)
    {
        return;
    }
    forget_submissions command;
    for (const auto& [ended, id] : m_state.ended())
    {
        if (ended + m_settings.final_retention.count() > wall ||
            command.ids.size() >= max_expired_per_command)
        {
            break;
        }
        if (m_state.find(id)->active == 0)
        {
            command.ids.push_back(id);
        }
    }
    m_advice.prune(
        [this](const step_ref& ref)
        {
            return m_state.ready().contains(ref);
        });
    const auto over = [this](const auto& item)
    {
        return !m_state.ready().contains(item.first);
    };
    std::erase_if(m_last_preemption, over);
    std::erase_if(m_hold_backoff_until, over);
    std::erase_if(m_gang_retry_at, over);
    m_gang_wait_times.prune(over);
    std::erase_if(m_waiting, over);
    std::erase_if(m_unplaced_since, over);
    if (command.ids.empty())
    {
        return;
    }
    m_expiry_in_flight = true;
    m_hooks.propose(std::move(command),
                    [this, alive = m_alive](bool /*committed*/)
                    {
                        if (*alive)
                        {
                            m_expiry_in_flight = false;
                        }
                    });
}

// Stops the runs of submissions that have ended or were cancelled.
void dispatcher::stop_unwanted_runs(monotonic_time now)
{
    for (const submission_id id : m_state.closing())
    {
        const submission& owner = *m_state.find(id);
        for (const auto& [number, round] : owner.open_rounds)
        {
            for (std::uint32_t s = 0; s < round.steps.size(); ++s)
            {
                for (const auto& [index, task] : round.steps[s].tasks.records())
                {
                    const run_ref run{{{id, round_id{number}, s}, index}, task.run};
                    const worker_incarnation* worker = m_state.find(task.worker);
                    if (task.state() == work_phase::active && worker != nullptr &&
                        worker->occupied.contains(run))
                    {
                        send_stop(m_views[worker->id], run, now);
                    }
                }
            }
        }
    }
}

void dispatcher::propose_starts(const candidate& item, const std::vector<planned_start>& starts,
                                const std::vector<std::string>& tickets, monotonic_time now)
{
    const resources room = host_demand_of(*item.step);
    const resources counted = item.step->size * static_cast<std::int64_t>(starts.size());
    drop_hold(item.ref);
    m_unplaced_since.erase(item.ref);
    m_planned_by_organisation[item.owner->organisation] += counted;
    const std::uint32_t round = item.ref.round.value();
    const std::uint64_t rounds = round >= item.owner->next_round ? 1 + round - item.owner->next_round : 0;
    const std::uint64_t bytes = starts.size() * task_bytes() + rounds * round_bytes(item.owner->spec);
    m_planned_bytes += bytes;
    if (m_hooks.planned)
    {
        const wall_ms since = std::max(item.owner->spec.due_at(item.ref.round), item.owner->accepted);
        m_hooks.planned(item.owner->queue, milliseconds(std::max<wall_ms>(m_wall - since, 0)));
    }
    for (const planned_start& planned : starts)
    {
        m_views[planned.worker].planned += room;
        m_hosts.invalidate(planned.worker);
        m_planned[planned.task] = planned.worker;
        if (m_suspects.suspects(planned.task))
        {
            m_suspects.note_start(planned.worker, item.ref.submission, now);
        }
    }
    note_doubtful_starts(item, starts, now);
    log_event(now, "starts_planned", name_of(item.ref),
              {{"queue", item.queue == nullptr ? item.owner->queue : item.queue->name},
               {"tasks", starts.size()},
               {"slack_ms", static_cast<std::int64_t>(item.slack_ms)},
               {"missed", item.missed()},
               {"gang", item.step->gang}});
    // A submission is reported as waiting until a worker confirms its first start.
    const bool first = item.owner->state() == submission_phase::queued;
    m_hooks.propose(record_starts{starts},
                    [this, alive = m_alive, starts, tickets, room, counted, bytes, first, id = item.owner->id,
                     organisation = item.owner->organisation](bool committed)
                    {
                        if (!*alive)
                        {
                            return;
                        }
                        if (first && committed)
                        {
                            m_unconfirmed.add(id);
                        }
                        m_planned_by_organisation[organisation] -= counted;
                        m_planned_bytes -= bytes;
                        for (const planned_start& planned : starts)
                        {
                            m_planned.erase(planned.task);
                            if (worker_view* view = view_of(planned.worker); view != nullptr)
                            {
                                view->planned -= room;
                                m_freed_hosts.note(
                                    planned.worker); // the state machine may have refused the start
                            }
                        }
                        if (committed)
                        {
                            send_recorded_starts(record_starts{starts}, tickets, m_hooks.now());
                        }
                        m_hooks.wake();
                    });
}

} // namespace walkthread
