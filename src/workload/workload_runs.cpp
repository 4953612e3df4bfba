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
    const step_ref& ref = planned.task.step;
    if (ref.round.value() >= owner.next_round)
    {
        begin_rounds(owner, ref.round);
    }
    tasks_of(owner, ref)->start(planned.task.index, planned.run, planned.worker);
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
    charge(owner);
    refresh_ready(owner, ref.round, ref.step);
    return true;
}

// A round that could not start yet begins together with the first one behind it that does.
void workload_state::begin_rounds(submission& owner, round_id last)
{
    const std::uint32_t first = owner.next_round;
    m_scheduled.erase({owner.spec.due_at(round_id{owner.indexed_end}), owner.id});
    owner.begin_rounds(last.value());
    owner.indexed_end = std::max(owner.indexed_end, owner.next_round);
    for (std::uint32_t round = first; round <= last.value(); ++round)
    {
        refresh_round(owner, round_id{round});
    }
    index_next_rounds(owner);
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
    owner.open_rounds = {};
    owner.description_bytes = 0;
    charge(owner);
}

void workload_state::apply_end(wall_ms at, worker_incarnation& worker, const observed_end& end)
{
    const auto how = static_cast<run_end>(end.how);
    const bool known = worker.occupied.contains(end.run);
    release(worker, end.run); // may drop the details of a final submission
    const auto found = m_submissions.find(end.run.task.step.submission);
    const work_task* task = find(end.run.task);
    if (!known || found == m_submissions.end() || task == nullptr || task->state() == work_phase::completed)
    {
        return;
    }
    submission& owner = found->second;
    const step_spec& step = owner.spec.steps[end.run.task.step.step];
    task_table* tasks = tasks_of(owner, end.run.task.step);
    if (!end.checkpoint.empty() && task->run == end.run.run && tasks != nullptr)
    {
        tasks->set_checkpoint(end.run.task.index, end.checkpoint);
        charge(owner);
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
    tasks->end(end.run.task.index, how);
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
    const auto found = owner.open_rounds.find(ref.step.round.value());
    if (found == owner.open_rounds.end() ||
        found->second.steps[ref.step.step].tasks[ref.index].state() == work_phase::completed)
    {
        return;
    }
    round_progress& round = found->second;
    task_table& tasks = round.steps[ref.step.step].tasks;
    tasks.complete(ref.index);
    m_crashes.clear(ref);
    if (tasks.complete() && ++round.completed_steps == round.steps.size())
    {
        for (std::uint32_t step = 0; step < owner.spec.steps.size(); ++step)
        {
            set_ready(owner, {owner.id, ref.step.round, step}, false);
        }
        owner.open_rounds.erase(found);
        charge(owner);
        if (owner.open_rounds.empty() && owner.next_round == owner.spec.rounds)
        {
            finish(at, owner, submission_phase::completed);
        }
        return;
    }
    charge(owner);
    if (tasks.complete())
    {
        refresh_round(owner, ref.step.round);
    }
}

void workload_state::complete_gang(wall_ms at, submission& owner, const run_ref& run)
{
    const step_ref step = run.task.step;
    const std::uint32_t count = owner.spec.steps[step.step].count;
    const step_tasks tasks(owner, step);
    const bool newest = std::none_of(tasks.records().begin(), tasks.records().end(),
                                     [&run](const auto& item)
                                     {
                                         return item.second.run > run.run;
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
    step_progress& progress = owner.open_rounds.at(step.round.value()).steps[step.step];
    progress.tasks.count_failure(run.task.index, worker);
    if (spec.gang && progress.gang_failed_run < run.run)
    {
        progress.gang_failed_run = run.run;
        ++progress.gang_failures;
    }
    const std::uint32_t failures =
        spec.gang ? progress.gang_failures : progress.tasks[run.task.index].failures;
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
    unindex_worker(id);
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
