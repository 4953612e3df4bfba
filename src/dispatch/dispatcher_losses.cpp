// dispatcher: runs lost with a worker, and the share of the blame for its crash that each of them gets.

#include <walkthread/dispatch/dispatcher.hpp>

#include <algorithm>

#include <walkthread/dispatch/lost_runs.hpp>
#include <walkthread/workload/names.hpp>

namespace walkthread
{

// A worker that does not answer, not even on a new connection, may have crashed. Replicates the last known
// state of its runs: a leader that takes over before the crash is established could not tell the run that
// caused it from its neighbours or from runs that never started. Of a host that is only silent, no run is
// recorded as begun: it may run on and end before the worker is lost.
void dispatcher::save_last_known_runs(worker_view& view)
{
    const worker_incarnation& worker = *m_state.find(view.id);
    if (!view.answered || view.runs.empty() || view.status_commit_pending || !worker.last_known_runs.empty())
    {
        return;
    }
    propose_last_known_runs(view, runs_known_on(view, view.contact.refused_since()));
}

void dispatcher::clear_last_known_runs(worker_view& view)
{
    if (!view.status_commit_pending && !m_state.find(view.id)->last_known_runs.empty())
    {
        propose_last_known_runs(view, {});
    }
}

void dispatcher::propose_last_known_runs(worker_view& view, std::vector<lost_run> runs)
{
    view.status_commit_pending = true;
    m_hooks.propose(record_last_known_runs{view.id, std::move(runs)},
                    [this, alive = m_alive, id = view.id](bool)
                    {
                        if (worker_view* later = *alive ? view_of(id) : nullptr; later != nullptr)
                        {
                            later->status_commit_pending = false;
                        }
                    });
}

duration dispatcher::expected_run_time(const run_ref& run) const
{
    const submission* owner = m_state.find(run.task.step.submission);
    const step_spec* step = m_state.find(run.task.step);
    const double expected_ms = step == nullptr ? 0.0 : m_objectives.expected_ms(owner->queue_key(), *step);
    return milliseconds(static_cast<std::int64_t>(expected_ms));
}

// When the process of a lost worker had certainly ended. A host that is silent may be cut off and crash
// later, so only a refused connection tells that before another incarnation answers.
monotonic_time dispatcher::latest_loss_time(const worker_view& view, monotonic_time now)
{
    return view.contact.refused_since().value_or(now);
}

// What this leader knows of the runs there.
std::vector<lost_run> dispatcher::runs_known_on(const worker_view& view,
                                                std::optional<monotonic_time> lost_by) const
{
    const auto run_time = [this](const run_ref& run)
    {
        return expected_run_time(run);
    };
    return assign_blame(view, m_settings.startup_crash_window, lost_by, run_time);
}

// For a worker that never answered this leader, uses the last known runs that the previous leader saved.
std::vector<lost_run> dispatcher::runs_lost_with(const worker_view& view, monotonic_time now) const
{
    std::vector<lost_run> lost = runs_known_on(view, latest_loss_time(view, now));
    for (const lost_run& before : m_state.find(view.id)->last_known_runs)
    {
        const auto same = [&before](const lost_run& item)
        {
            return item.run == before.run;
        };
        if (!view.answered)
        {
            std::replace_if(lost.begin(), lost.end(), same, before);
        }
    }
    for (lost_run& item : lost)
    {
        item.began =
            item.began && !gang_may_have_broken_earlier(item.run, latest_loss_time(view, now), view.id);
    }
    return lost;
}

// Whether a run of a gang may have ended before its host was lost, because another member was lost first. The
// members of a gang end as soon as one of them is lost, so of several hosts lost under one run only the first
// still had running members. A host that reported the end of its own member was lost later.
bool dispatcher::gang_may_have_broken_earlier(const run_ref& run, monotonic_time lost_by,
                                              worker_incarnation_id lost_with) const
{
    const step_spec* step = m_state.find(run.task.step);
    for (std::uint32_t index = 0; step != nullptr && step->gang && index < step->count; ++index)
    {
        const run_ref member{task_ref{run.task.step, index}, run.run};
        const work_task* known = m_state.find(member.task);
        const bool elsewhere = known != nullptr && known->worker != lost_with;
        if (elsewhere && !known->broke(run.run) &&
            !(known->is_active(run.run) && responded_since(member, known->worker, lost_by)))
        {
            return true;
        }
    }
    return false;
}

// Whether the incarnation that a run was started on has answered since `then`.
bool dispatcher::responded_since(const run_ref& run, worker_incarnation_id worker, monotonic_time then) const
{
    const worker_incarnation* incarnation = m_state.find(worker);
    const auto view = m_views.find(worker);
    if (incarnation == nullptr || view == m_views.end() || view->second.drop_proposed)
    {
        return false;
    }
    const auto known = view->second.runs.find(run);
    const bool follows = incarnation->follows != worker_incarnation_id{};
    const bool of_former_incarnation = known != view->second.runs.end() &&
                                       (known->second.carried_over || (known->second.inherited && follows));
    return !of_former_incarnation && view->second.contact.last_heard() >= then;
}

// Logs each run lost with a worker and the data that decides whether it becomes a crash suspect: one line per
// run, a few dozen at most.
void dispatcher::log_lost_runs(const worker_view& view, const std::vector<lost_run>& lost, monotonic_time now)
{
    for (const lost_run& item : lost)
    {
        const run_view& known = view.runs.at(item.run);
        const crash_evidence* before = m_state.crashes().find(item.run.task);
        log_event(
            now, "run_lost", name_of(item.run),
            {{"worker", m_state.find(view.id)->description.id},
             {"began", item.began},
             {"over", item.over},
             {"inherited", known.inherited},
             {"sent_before_last_word_ms", view.contact.last_heard() - known.sent},
             {"ran_at_most_ms",
              known.outcome_known_at ? latest_loss_time(view, now) - *known.outcome_known_at : duration{}},
             {"expected_ms", expected_run_time(item.run)},
             {"beside", lost.size() - 1},
             {"blame", item.blame},
             {"blame_before", before == nullptr ? 0 : before->blame}});
    }
}

void dispatcher::log_poison_tasks(monotonic_time now)
{
    const crash_evidence_table& crashes = m_state.crashes();
    const std::uint64_t fresh = crashes.poison_task_count() - m_poison_tasks_logged;
    const auto& kept = crashes.poison_tasks();
    for (std::size_t i = kept.size() - std::min<std::size_t>(fresh, kept.size()); i < kept.size(); ++i)
    {
        ++m_counters.tasks_given_up;
        log_event(now, "task_given_up", name_of(kept[i].task),
                  {{"reason", "poison task: it repeatedly crashed its workers"},
                   {"crashes", kept[i].against.crashes},
                   {"unclear", kept[i].against.unclear},
                   {"blame", kept[i].against.blame},
                   {"last_host", kept[i].last_host}});
    }
    m_poison_tasks_logged = crashes.poison_task_count();
}

// An incarnation dropped only because it was unresponsive may come back, unless `for_good` is set.
void dispatcher::drop_incarnation(worker_view& view, std::string_view reason, bool for_good,
                                  monotonic_time now)
{
    if (view.drop_proposed)
    {
        return;
    }
    view.drop_proposed = true;
    ++m_counters.lost_workers;
    const std::vector<lost_run> lost = runs_lost_with(view, now);
    log_lost_runs(view, lost, now);
    for (const lost_run& item : lost)
    {
        m_suspects.record_loss(item.run.task, now);
    }
    const worker_incarnation& worker = *m_state.find(view.id);
    log_event(now, "worker_dropped", worker.description.id,
              {{"reason", reason},
               {"unheard_ms", now - view.contact.last_heard()},
               {"answered_this_leader", view.answered},
               {"lease_end_ms", view.lease.latest_end_ms()},
               {"clock_ms", view.lease.clock_known() ? view.lease.clock_now(now) : -1},
               {"runs", worker.occupied.size()}});
    const auto again = [this, alive = m_alive, id = view.id](bool committed)
    {
        worker_view* later = *alive ? view_of(id) : nullptr;
        if (later != nullptr && !committed)
        {
            later->drop_proposed = false;
        }
        if (*alive)
        {
            m_hooks.wake();
        }
    };
    m_hooks.propose(drop_worker{view.id, for_good, lost}, again);
}

} // namespace walkthread
