// The part of dispatcher for hosts on which tasks that serve users and tasks that fill the rest work side by
// side.

#include <walkthread/dispatch/dispatcher.hpp>

#include <algorithm>

#include <walkthread/workload/names.hpp>

namespace walkthread
{

namespace
{
constexpr std::int32_t full_pace = 100; // percent
constexpr std::int32_t least_pace = 10; // below that, fillers rest: their disturbance no longer shrinks much
constexpr std::int32_t pace_gain = 10;  // percent, each time that the tail has been low for a while
constexpr double low_tail = 0.7;        // of the target: fillers may work more
} // namespace

// Follows the tails that serving tasks report, and how much what fills beside them may work: half as much
// with each report over the target, nothing once that goes on, and back in small steps.
void dispatcher::pace_fillers(worker_view& view, const look_answer& answer, monotonic_time now)
{
    bool over = false;
    bool low = true;
    view.serving = 0;
    view.filling = 0;
    for (const listed_run& listed : answer.running)
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
                             low_tail * static_cast<double>(step->latency_target_ms);
        }
    }
    if (view.filling == 0 || view.serving == 0)
    {
        view.over_since.reset();
        view.filler_pace = full_pace;
    }
    else if (over)
    {
        slow_fillers(view, now);
    }
    else
    {
        view.over_since.reset();
        if (low && now - view.pace_changed >= m_settings.pace_rise_after)
        {
            view.filler_pace = std::min(full_pace, view.filler_pace + pace_gain);
            view.pace_changed = now;
        }
    }
    send_paces(view, now);
}

void dispatcher::slow_fillers(worker_view& view, monotonic_time now)
{
    if (!view.over_since)
    {
        view.over_since = now;
    }
    if (now - *view.over_since >= m_settings.harm_patience)
    {
        view.filler_pace = 0;
        view.pace_changed = now;
    }
    else if (now - view.pace_changed >= m_settings.pace_settles)
    {
        const std::int32_t half = view.filler_pace / 2;
        view.filler_pace = half < least_pace ? 0 : half;
        view.pace_changed = now;
    }
}

// Tells the fillers of a host their pace, where they do not work at it yet.
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
        note(now, "run_paced", name_of(run),
             {{"worker", m_state.find(view.id)->facts.id},
              {"percent", view.filler_pace},
              {"before", known.pace},
              {"over_target", view.over_since.has_value()}});
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
                             found->second.pace = percent; // else it is sent again after the next look
                         }
                     });
    }
}

// Whether a lasting task may be ended by our own doing: not while as many others of its step are away as may.
bool dispatcher::may_end_lasting(const run_ref& run)
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
        away += index != run.task.index && !at_work(other) ? 1 : 0;
    }
    return away < step->may_miss;
}

bool dispatcher::at_work(const task_ref& ref)
{
    const work_task* task = m_state.find(ref);
    worker_view* view = task == nullptr ? nullptr : view_of(task->worker);
    if (view == nullptr || task->state() != work_phase::active)
    {
        return false;
    }
    const auto known = view->runs.find(run_ref{ref, task->run});
    // An earlier leader may have stopped it a moment ago, which this one does not know: after a hand-over,
    // two tasks of which one may be away were away.
    if (known != view->runs.end() && known->second.inherited &&
        view->contact.heard() < m_began + m_settings.stops_show)
    {
        return false;
    }
    return known != view->runs.end() && known->second.listed && !known->second.stopping &&
           known->second.percent >= full_pace;
}

} // namespace walkthread
