// dispatcher: workers that restart under the same id.

#include <walkthread/dispatch/dispatcher.hpp>

#include <algorithm>

#include <walkthread/workload/names.hpp>

namespace walkthread
{

void dispatcher::log_restart(const worker_view& former, process_start_ms process_start, std::string_view from,
                             monotonic_time now)
{
    ++m_counters.restarted_workers;
    const worker_incarnation& worker = *m_state.find(former.id);
    log_event(now, "worker_started_again", worker.description.id,
              {{"from", from},
               {"born", process_start.value()},
               {"former", worker.description.process_start.value()},
               {"unheard_ms", now - former.contact.last_heard()},
               {"ends_seen", worker.ends_recorded_up_to},
               {"runs", worker.occupied.size()},
               {"poll_in_flight", former.poll_in_flight},
               {"unanswered_starts", former.unanswered_starts.size()},
               {"leaving", worker.leaving}});
}

// A new incarnation answers under the id of the known one. It is admitted with the known description of its
// host, so that its runs and their ends are recorded; new work goes there once it has reported.
void dispatcher::handle_restart(worker_view& view, const poll_answer& answer, monotonic_time now)
{
    if (view.drop_proposed)
    {
        return;
    }
    view.drop_proposed = true;
    log_restart(view, answer.process_start, "look", now);
    admit_worker command{m_state.find(view.id)->description, 0, true,
                         runs_lost_at_restart(view, answer, now)};
    command.description.process_start = answer.process_start;
    log_lost_runs(view, command.lost, now);
    m_hooks.propose(
        command,
        [this, alive = m_alive, former = view.id, incarnation = command.description.incarnation()](bool)
        {
            worker_view* still = *alive ? view_of(former) : nullptr;
            if (still != nullptr)
            {
                still->drop_proposed = false; // erased by the next sync if it was replaced
            }
            if (*alive)
            {
                poll_new_incarnation(incarnation, m_hooks.now());
                m_hooks.wake();
            }
        });
}

// Polls a new incarnation at once, while the view of the former one still exists to carry state over from.
void dispatcher::poll_new_incarnation(const worker_incarnation_ref& incarnation, monotonic_time now)
{
    sync_views(now);
    const worker_incarnation* admitted = m_state.find_incarnation(incarnation);
    worker_view* view = admitted == nullptr ? nullptr : view_of(admitted->id);
    if (view != nullptr && !view->poll_in_flight && !view->answered)
    {
        poll_worker(*view, now);
    }
}

// Runs that ended with the former incarnation: all it was ordered to run, except those the new one lists.
std::vector<lost_run> dispatcher::runs_lost_at_restart(const worker_view& former, const poll_answer& answer,
                                                       monotonic_time now) const
{
    std::vector<lost_run> lost = runs_lost_with(former, now);
    const auto is_there = [&answer](const lost_run& item)
    {
        const auto same = [&item](const auto& listed)
        {
            return listed.run == item.run;
        };
        return std::any_of(answer.running.begin(), answer.running.end(), same) ||
               std::any_of(answer.ended.begin(), answer.ended.end(), same);
    };
    std::erase_if(lost, is_there);
    return lost;
}

// A start order for the former incarnation that got no answer may still be carried out by this one, while
// the same task is started elsewhere. Stops such runs to rule that out.
void dispatcher::stop_possible_late_starts(worker_view& view, monotonic_time now)
{
    std::vector<run_ref> open;
    for (const auto& [run, known] : view.runs)
    {
        if (known.carried_over && !known.outcome_known_at && !known.inherited && !known.listed &&
            !known.stop_outcome_known_at)
        {
            open.push_back(run);
        }
    }
    for (const run_ref& run : open)
    {
        send_stop(view, run, now);
    }
}

} // namespace walkthread
