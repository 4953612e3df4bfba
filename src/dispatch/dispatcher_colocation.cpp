// dispatcher: pacing of filling tasks, which use spare capacity, on hosts that they share with serving tasks,
// which have a latency target.

#include <walkthread/dispatch/dispatcher.hpp>

#include <algorithm>

#include <walkthread/workload/names.hpp>

namespace walkthread
{

namespace
{
constexpr std::int32_t full_pace = 100; // percent
constexpr std::int32_t min_pace = 10;   // percent; paused below that, as a lower pace hardly disturbs less
constexpr std::int32_t pace_increment = 10; // percent, each time the tail latency has been low for a while
constexpr double low_tail_fraction = 0.7;   // share of the latency target below which the pace may rise
} // namespace

// Sets the pace of filling tasks from the tail latencies that serving tasks on the host report:
// halves it while the target is exceeded, pauses them if that lasts, and raises it again in small steps.
void dispatcher::pace_fillers(worker_view& view, const poll_answer& answer, monotonic_time now)
{
    bool over = false;
    bool low = true;
    view.serving = 0;
    view.filling = 0;
    for (const reported_run& listed : answer.running)
    {
        const step_spec* step = m_state.find(listed.run.task.step);
        if (step == nullptr)
        {
            continue;
        }
        view.filling += step->fills ? 1 : 0;
        if (step->latency_target_ms > 0)
        {
            ++view.serving;
            over = over || listed.figure > step->latency_target_ms;
            low = low && static_cast<double>(listed.figure) <
                             low_tail_fraction * static_cast<double>(step->latency_target_ms);
        }
    }
    if (view.filling == 0 || view.serving == 0)
    {
        view.over_target_since.reset();
        view.filler_pace = full_pace;
    }
    else if (over)
    {
        slow_fillers(view, now);
    }
    else
    {
        view.over_target_since.reset();
        if (low && now - view.pace_changed >= m_settings.pace_rise_interval)
        {
            view.filler_pace = std::min(full_pace, view.filler_pace + pace_increment);
            view.pace_changed = now;
        }
    }
    send_paces(view, now);
}

void dispatcher::slow_fillers(worker_view& view, monotonic_time now)
{
    if (!view.over_target_since)
    {
        view.over_target_since = now;
    }
    if (now - *view.over_target_since >= m_settings.over_target_tolerance)
    {
        view.filler_pace = 0;
        view.pace_changed = now;
    }
    else if (now - view.pace_changed >= m_settings.pace_settling_time)
    {
        const std::int32_t half = view.filler_pace / 2;
        view.filler_pace = half < min_pace ? 0 : half;
        view.pace_changed = now;
    }
}

// Sends the pace to those filling tasks of a host that do not run at it yet.
void dispatcher::send_paces(worker_view& view, monotonic_time now)
{
    for (auto& [run, known] : view.runs)
    {
        const step_spec* step = m_state.find(run.task.step);
        const bool filler = step != nullptr && step->fills && known.listed && !known.stopping;
        if (!filler || known.pace == view.filler_pace || known.pace_in_flight)
        {
            continue;
        }
        log_event(now, "run_paced", name_of(run),
                  {{"worker", m_state.find(view.id)->description.id},
                   {"percent", view.filler_pace},
                   {"before", known.pace},
                   {"over_target", view.over_target_since.has_value()}});
        known.pace_in_flight = true;
        const std::int32_t percent = view.filler_pace;
        m_hooks.pace(pace_task_order{address_of(view.id), run, percent},
                     [this, alive = m_alive, worker = view.id, run = run, percent](const order_answer& answer)
                     {
                         worker_view* later = *alive ? view_of(worker) : nullptr;
                         const auto found = later == nullptr ? std::map<run_ref, run_view>::iterator{}
                                                             : later->runs.find(run);
                         if (later == nullptr || found == later->runs.end())
                         {
                             return;
                         }
                         found->second.pace_in_flight = false;
                         if (answer.outcome == order_outcome::accepted)
                         {
                             found->second.pace = percent; // otherwise resent after the next poll
                         }
                     });
    }
}

// Whether a long-running task may be stopped: not if its step already misses as many tasks as it may.
bool dispatcher::may_stop_long_running(const run_ref& run)
{
    const step_spec* step = m_state.find(run.task.step);
    if (step == nullptr || step->may_miss == 0)
    {
        return true;
    }
    std::uint32_t away = 0;
    for (std::uint32_t index = 0; index < step->count; ++index)
    {
        const task_ref other{run.task.step, index};
        away += index != run.task.index && !at_full_pace(other) ? 1 : 0;
    }
    return away < step->may_miss;
}

bool dispatcher::at_full_pace(const task_ref& ref)
{
    const work_task* task = m_state.find(ref);
    worker_view* view = task == nullptr ? nullptr : view_of(task->worker);
    if (view == nullptr || task->state() != work_phase::active)
    {
        return false;
    }
    const auto known = view->runs.find(run_ref{ref, task->run});
    // An earlier leader may have stopped it a moment ago, unknown to this one. Without this check, two tasks
    // of a step that may miss one were stopped around a change of leader.
    if (known != view->runs.end() && known->second.inherited &&
        view->contact.last_heard() < m_term_start + m_settings.stop_effect_delay)
    {
        return false;
    }
    return known != view->runs.end() && known->second.listed && !known->second.stopping &&
           known->second.percent >= full_pace;
}

} // namespace walkthread
