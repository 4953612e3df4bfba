// Parts of workload_state: starts and ends of runs.

#include <walkthread/workload/workload_state.hpp>

#include <algorithm>

namespace walkthread
{

bool workload_state::can_start(const planned_start& planned) const
{
    const submission* owner = find(planned.task.step.submission);
    const work_task* task = find(planned.task);
    const worker_incarnation* worker = find(planned.worker);
    if (owner == nullptr || task == nullptr || worker == nullptr || owner->final())
    {
        return false;
    }
    // Checked here as well, since a leader may propose a start on the basis of outdated knowledge.
    if (worker->leaving || worker->assumed || m_cordons.contains(worker->description.hall))
    {
        return false;
    }
    const step_spec& step = owner->spec.steps[planned.task.step.step];
    const resources room = host_demand_of(step);
    if (m_quotas.places(owner->organisation, step.size) == 0)
    {
        return false;
    }
    const bool fresh = task->state() == work_phase::waiting && planned.run > task->run;
    return fresh && fits(worker->used + room, worker->description.size);
}

bool workload_state::start(const planned_start& planned)
{
    if (!can_start(planned))
    {
        return false;
    }
    submission& owner = m_submissions[planned.task.step.submission];
    work_task& task = *task_of(planned.task);
    task.phase = static_cast<std::uint8_t>(work_phase::active);
    task.run = planned.run;
    task.worker = planned.worker;
    ++owner.active;
    worker_incarnation& worker = m_workers[planned.worker];
    const resources room = host_demand_of(owner.spec.steps[planned.task.step.step]);
    worker.occupied.emplace(run_ref{planned.task, planned.run}, room);
    worker.used += room;
    m_quotas.take(owner.organisation, owner.spec.steps[planned.task.step.step].size);
    if (owner.state() == submission_phase::queued)
    {
        set_phase(owner, submission_phase::running);
    }
    refresh_ready(owner, planned.task.step.round, planned.task.step.step);
    return true;
}

void workload_state::start_all_or_none(const record_starts& command)
{
    const submission* owner = find(command.starts.front().task.step.submission);
    const step_spec& step = owner->spec.steps[command.starts.front().task.step.step];
    if (m_quotas.places(owner->organisation, step.size) < command.starts.size())
    {
        return;
    }
    std::map<worker_incarnation_id, resources> sums;
    for (const planned_start& planned : command.starts)
    {
        const worker_incarnation* worker = find(planned.worker);
        if (!can_start(planned) || worker == nullptr)
        {
            return;
        }
        resources& sum = sums[planned.worker];
        sum += host_demand_of(step);
        if (!fits(worker->used + sum, worker->description.size))
        {
            return;
        }
    }
    for (const planned_start& planned : command.starts)
    {
        start(planned);
    }
}

void workload_state::release(worker_incarnation& worker, const run_ref& run)
{
    const auto held = worker.occupied.find(run);
    if (held == worker.occupied.end())
    {
        return;
    }
    worker.used -= held->second;
    worker.occupied.erase(held);
    const auto owner = m_submissions.find(run.task.step.submission);
    if (owner == m_submissions.end())
    {
        return;
    }
    if (const step_spec* step = find(run.task.step); step != nullptr)
    {
        m_quotas.release(owner->second.organisation, step->size);
    }
    --owner->second.active;
    if (owner->second.active == 0 && owner->second.final())
    {
        m_closing.erase(owner->first);
        drop_details(owner->second);
    }
}

// Callers only ask for the outcome of a final submission; its details would make up most of the state.
void workload_state::drop_details(submission& owner)
{
    owner.spec = submission_spec{};
    owner.rounds = {};
}

void workload_state::apply_end(wall_ms at, worker_incarnation& worker, const observed_end& end)
{
    const auto how = static_cast<run_end>(end.how);
    const bool known = worker.occupied.contains(end.run);
    release(worker, end.run); // may drop the details of a final submission
    const auto found = m_submissions.find(end.run.task.step.submission);
    work_task* task = task_of(end.run.task);
    if (!known || found == m_submissions.end() || task == nullptr)
    {
        return;
    }
    submission& owner = found->second;
    const step_spec& step = owner.spec.steps[end.run.task.step.step];
    if (!end.checkpoint.empty() && task->run == end.run.run)
    {
        task->checkpoint = end.checkpoint;
    }
    if (owner.final())
    {
        return;
    }
    if (how == run_end::completed && step.gang && !step.long_running)
    {
        complete_gang(at, owner, end.run);
        return;
    }
    if (task->state() != work_phase::active || task->run != end.run.run)
    {
        return;
    }
    task->phase = static_cast<std::uint8_t>(work_phase::waiting);
    task->last_end = end.how;
    if (how == run_end::completed && !step.long_running)
    {
        complete_task(at, owner, end.run.task);
    }
    else if (how == run_end::failed)
    {
        fail_task(at, owner, end.run, worker.id);
    }
    if (!owner.final())
    {
        refresh_ready(owner, end.run.task.step.round, end.run.task.step.step);
    }
}

void workload_state::complete_task(wall_ms at, submission& owner, const task_ref& ref)
{
    round_progress& round = owner.rounds[ref.step.round.value()];
    step_progress& step = round.steps[ref.step.step];
    work_task& task = step.tasks[ref.index];
    if (task.state() == work_phase::completed)
    {
        return;
    }
    task.phase = static_cast<std::uint8_t>(work_phase::completed);
    task.checkpoint.clear();
    m_crashes.clear(ref);
    ++step.completed;
    if (!step.complete())
    {
        return;
    }
    ++round.completed_steps;
    if (round.completed_steps == round.steps.size())
    {
        ++owner.completed_rounds;
    }
    if (owner.completed_rounds == owner.rounds.size())
    {
        finish(at, owner, submission_phase::completed);
        return;
    }
    refresh_round(owner, ref.step.round);
}

void workload_state::complete_gang(wall_ms at, submission& owner, const run_ref& run)
{
    const step_ref step = run.task.step;
    const std::uint32_t count = owner.spec.steps[step.step].count;
    const step_progress& progress = owner.rounds[step.round.value()].steps[step.step];
    const bool newest = std::none_of(progress.tasks.begin(), progress.tasks.end(),
                                     [&run](const work_task& task)
                                     {
                                         return task.run > run.run;
                                     });
    for (std::uint32_t index = 0; newest && index < count && !owner.final(); ++index)
    {
        complete_task(at, owner, task_ref{step, index});
    }
    if (!owner.final())
    {
        refresh_ready(owner, step.round, step.step);
    }
}

void workload_state::fail_task(wall_ms at, submission& owner, const run_ref& run,
                               worker_incarnation_id worker)
{
    const step_ref step = run.task.step;
    const step_spec& spec = owner.spec.steps[step.step];
    step_progress& progress = owner.rounds[step.round.value()].steps[step.step];
    work_task& task = progress.tasks[run.task.index];
    ++task.failures;
    task.failed_on = worker;
    if (spec.gang && progress.gang_failed_run < run.run)
    {
        progress.gang_failed_run = run.run;
        ++progress.gang_failures;
    }
    const std::uint32_t failures = spec.gang ? progress.gang_failures : task.failures;
    if (!spec.long_running && failures >= owner.max_attempts)
    {
        finish(at, owner, submission_phase::failed);
    }
}

void workload_state::drop(wall_ms at, worker_incarnation_id id, const std::vector<lost_run>& lost)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end())
    {
        return;
    }
    m_worker_changes.note(id);
    std::map<run_ref, std::string> checkpoints;
    for (const lost_run& item : lost)
    {
        checkpoints.emplace(item.run, item.checkpoint);
    }
    const auto occupied = found->second.occupied;
    for (const auto& [run, room] : occupied)
    {
        apply_end(at, found->second,
                  observed_end{run, static_cast<std::uint8_t>(run_end::lapsed), checkpoints[run]});
    }
    m_by_incarnation.erase(found->second.description.incarnation());
    const auto by_host = m_by_host.find(found->second.description.host);
    if (by_host != m_by_host.end() && by_host->second == id)
    {
        m_by_host.erase(by_host);
    }
    m_workers.erase(found);
}

// Tasks of a long-running step are restarted however they end, so they are never failed.
bool workload_state::may_be_given_up(const run_ref& run) const
{
    const submission* owner = find(run.task.step.submission);
    const step_spec* step = find(run.task.step);
    const work_task* task = find(run.task);
    return owner != nullptr && !owner->final() && step != nullptr && !step->long_running && task != nullptr &&
           task->state() != work_phase::completed;
}

// A run that ended because its host crashed is restarted like any lapsed run, but not indefinitely: a task
// that crashes every host it runs on would take down one host after the other.
void workload_state::add_crash_evidence(wall_ms at, const std::string& host,
                                        const std::vector<lost_run>& lost)
{
    for (const lost_run& item : lost)
    {
        if (may_be_given_up(item.run) && m_crashes.add_crash_evidence(item, host))
        {
            finish(at, m_submissions.at(item.run.task.step.submission), submission_phase::failed);
        }
    }
}

// Maintenance ends all runs on a host on purpose, so their loss is not crash evidence.
bool workload_state::in_maintenance(const std::string& host) const
{
    return std::any_of(m_waves.begin(), m_waves.end(),
                       [&host](const auto& item)
                       {
                           const auto found = item.second.hosts.find(host);
                           return found != item.second.hosts.end() &&
                                  (found->second == static_cast<std::uint8_t>(maintenance_phase::ordered) ||
                                   found->second == static_cast<std::uint8_t>(maintenance_phase::under_way));
                       });
}

} // namespace walkthread
