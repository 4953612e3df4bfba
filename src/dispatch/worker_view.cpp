#include <walkthread/dispatch/worker_view.hpp>

#include <algorithm>

namespace walkthread
{

void worker_view::record_broken_gang(const run_ref& run)
{
    std::erase_if(broken_gangs,
                  [this](const auto& item)
                  {
                      const auto there = runs.lower_bound(run_ref{task_ref{item.first, 0}, 0});
                      return there == runs.end() || there->first.task.step != item.first;
                  });
    broken_gangs[run.task.step] = run.run;
}

bool worker_view::ended_with_gang(const run_ref& run) const
{
    const auto found = broken_gangs.find(run.task.step);
    return found != broken_gangs.end() && found->second == run.run;
}

void worker_view::carry_over(const worker_view& former, monotonic_time now, const dispatch_settings& settings)
{
    for (const auto& [run, before] : former.runs)
    {
        const auto found = runs.find(run);
        if (found == runs.end() && !before.stopping)
        {
            continue; // it has ended
        }
        run_view& known = runs[run];
        known = before;
        known.carried_over = true;
        known.listed = known.order_in_flight = known.stop_in_flight = known.pace_in_flight = false;
        known.never_began_pending = false; // the pending commit concerns the former incarnation
        known.stop_retry = {};
        known.stop_outcome_known_at.reset();
        // If exactly one order was sent and it was answered, none can arrive late.
        if (known.tries != 1 && !known.inherited)
        {
            known.outcome_known_at.reset();
        }
    }
    for (const auto& [run, since] : former.unanswered_starts)
    {
        if (now - since < settings.late_order_limit && !runs.contains(run))
        {
            runs[run].carried_over = runs[run].stopping = true;
        }
    }
    unanswered_starts = former.unanswered_starts;
    speed = former.speed; // a property of the machine, not of the incarnation
}

bool worker_view::has_unresolved_runs() const
{
    return std::any_of(runs.begin(), runs.end(),
                       [](const auto& item)
                       {
                           return item.second.carried_over && !item.second.listed;
                       });
}

bool worker_view::has_pending_stops() const
{
    return std::any_of(runs.begin(), runs.end(),
                       [](const auto& item)
                       {
                           return item.second.carried_over && item.second.stopping &&
                                  !item.second.stop_outcome_known_at;
                       });
}

bool worker_view::has_unresolved_start() const
{
    return std::any_of(unanswered_starts.begin(), unanswered_starts.end(),
                       [this](const auto& item)
                       {
                           const auto found = runs.find(item.first);
                           return found != runs.end() && !found->second.outcome_known_at;
                       });
}

} // namespace walkthread
