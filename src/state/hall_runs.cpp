// Placement of tasks and reports on their runs. Workers and jobs are in hall.cpp.

#include <walkthread/state/hall.hpp>

#include <algorithm>

namespace walkthread
{

// ---------------------------------------------------------------------------------------------------------
// Placement
// ---------------------------------------------------------------------------------------------------------

hall_result hall_state::run(wall_ms at, const place_tasks& command)
{
    hall_result answer;
    const std::vector<placement>& all = command.placements;
    for (std::size_t first = 0; first < all.size();)
    {
        std::size_t last = first + 1;
        const auto job = m_jobs.find(all[first].run.task.job);
        const bool gang = job != m_jobs.end() && job->second.spec.workload() == workload_kind::gang;
        while (gang && last < all.size() && all[last].run.task.job == all[first].run.task.job)
        {
            ++last;
        }
        const bool complete_gang =
            !gang || (job->second.on_hosts == 0 && last - first == job->second.pending);
        if (complete_gang && may_place_all(all, first, last))
        {
            std::for_each(all.begin() + static_cast<std::ptrdiff_t>(first),
                          all.begin() + static_cast<std::ptrdiff_t>(last),
                          [this, at](const placement& p)
                          {
                              reserve(at, p);
                          });
            answer.applied += static_cast<std::uint32_t>(last - first);
        }
        else
        {
            m_changes.workers.push_back(all[first].worker);
        }
        first = last;
    }
    return answer;
}

bool hall_state::may_place_all(const std::vector<placement>& all, std::size_t first, std::size_t last) const
{
    std::map<worker_id, resources> taken;
    for (std::size_t i = first; i < last; ++i)
    {
        const resources reserved_in_batch = last - first > 1 ? taken[all[i].worker] : resources{};
        if (!may_place(all[i], reserved_in_batch))
        {
            return false;
        }
        if (last - first > 1)
        {
            taken[all[i].worker] += m_jobs.at(all[i].run.task.job).spec.values.size;
        }
    }
    return true;
}

bool hall_state::may_place(const placement& p, const resources& reserved_in_batch) const
{
    const auto worker = m_workers.find(p.worker);
    const auto job = m_jobs.find(p.run.task.job);
    if (worker == m_workers.end() || job == m_jobs.end() || p.run.task.index >= job->second.tasks.size())
    {
        return false;
    }
    const task_record& task = job->second.tasks[p.run.task.index];
    const bool next_run = task.state() == task_phase::pending && p.run.run == task.run + 1;
    const bool current = worker->second.epoch == p.epoch && !job->second.cancelled;
    return next_run && current &&
           fits(job->second.spec.values.size + reserved_in_batch, worker->second.free());
}

void hall_state::reserve(wall_ms at, const placement& p)
{
    hall_job& job = m_jobs.at(p.run.task.job);
    worker_record& worker = m_workers.at(p.worker);
    task_record& task = job.tasks[p.run.task.index];
    task.phase = static_cast<std::uint8_t>(task_phase::placed);
    task.reason = 0;
    task.run = p.run.run;
    task.worker = p.worker;
    task.port = 0;
    task.since = at;
    worker.reserved += job.spec.values.size;
    worker.tasks.push_back(p.run.task);
    m_used[job.spec.organisation] += job.spec.values.size;
    m_team_used[job.spec.team] += job.spec.values.size;
    --job.pending;
    ++job.on_hosts;
    m_changes.workers.push_back(p.worker);
    record_change(job);
}

void hall_state::release(wall_ms at, hall_job& job, std::uint32_t index, task_phase next)
{
    task_record& task = job.tasks[index];
    worker_record& worker = m_workers.at(task.worker);
    worker.reserved -= job.spec.values.size;
    std::erase(worker.tasks, task_id{job.spec.id, index});
    m_used[job.spec.organisation] -= job.spec.values.size;
    m_team_used[job.spec.team] -= job.spec.values.size;
    --job.on_hosts;
    const bool runs_again = next == task_phase::pending && !job.cancelled;
    task.phase = static_cast<std::uint8_t>(runs_again ? task_phase::pending : task_phase::ended);
    task.since = at;
    ++(runs_again ? job.pending : job.ended);
    m_changes.workers.push_back(task.worker);
    record_change(job);
}

// ---------------------------------------------------------------------------------------------------------
// Reports
// ---------------------------------------------------------------------------------------------------------

hall_result hall_state::run(wall_ms at, const report_runs& command)
{
    for (const run_report& report : command.reports)
    {
        apply_report(at, report);
    }
    return {};
}

task_record* hall_state::find_run(const run_id& run, const worker_epoch& from, hall_job*& job)
{
    const auto found = m_jobs.find(run.task.job);
    const auto worker = m_workers.find(from.worker);
    if (found == m_jobs.end() || worker == m_workers.end() || worker->second.epoch != from.epoch)
    {
        return nullptr;
    }
    job = &found->second;
    if (run.task.index >= job->tasks.size())
    {
        return nullptr;
    }
    task_record& task = job->tasks[run.task.index];
    const bool present = task.on_host() && task.run == run.run && task.worker == from.worker;
    return present ? &task : nullptr;
}

void hall_state::apply_report(wall_ms at, const run_report& report)
{
    hall_job* job = nullptr;
    task_record* task = find_run(report.run, report.from, job);
    if (task == nullptr)
    {
        return;
    }
    const std::uint32_t index = report.run.task.index;
    switch (static_cast<run_event>(report.event))
    {
    case run_event::started:
        if (task->state() == task_phase::placed)
        {
            task->phase = static_cast<std::uint8_t>(task_phase::running);
            task->port = report.port;
            task->since = at;
            job->first_start = job->first_start == 0 ? at : job->first_start;
            record_change(*job);
        }
        return;
    case run_event::accepted:
        return;
    case run_event::completed:
        end_completed(at, *job, index);
        return;
    case run_event::failed:
        end_failed(at, *job, index);
        return;
    case run_event::stopped:
    case run_event::checkpointed:
        end_stopped(at, *job, index, static_cast<run_event>(report.event) == run_event::checkpointed);
        return;
    }
}

void hall_state::end_completed(wall_ms at, hall_job& job, std::uint32_t index)
{
    const task_record& task = job.tasks[index];
    worker_record& worker = m_workers.at(task.worker);
    worker.failed_jobs.clear();
    if (worker.state() == worker_phase::probing)
    {
        set_phase(at, worker, worker_phase::live);
    }
    if (task.state() == task_phase::running && !task.checkpointed)
    {
        m_estimates[job.spec.from].learn(job.spec.values.run_seconds, at - task.since);
    }
    const bool service = job.spec.workload() == workload_kind::service;
    release(at, job, index, service ? task_phase::pending : task_phase::ended);
    if (job.finished() && job.outcome == 0)
    {
        job.outcome = static_cast<std::uint8_t>(job_outcome::completed);
    }
}

// A non-repeatable run that may have begun is never followed by another, whatever stopped it.
void hall_state::end_stopped(wall_ms at, hall_job& job, std::uint32_t index, bool checkpointed)
{
    task_record& task = job.tasks[index];
    const auto reason = static_cast<stop_reason>(task.reason);
    task.checkpointed = checkpointed;
    task.preempted_once |= reason == stop_reason::preempted;
    const bool finished = !job.may_run_again() && !job.cancelled;
    release(at, job, index, finished ? task_phase::ended : task_phase::pending);
    if (finished)
    {
        cancel(at, job, reason == stop_reason::overused ? job_outcome::failed : job_outcome::unknown);
    }
}

void hall_state::end_failed(wall_ms at, hall_job& job, std::uint32_t index)
{
    worker_record& worker = m_workers.at(job.tasks[index].worker);
    worker.failed_jobs.insert(job.spec.id);
    job.failed_on.insert(worker.id);
    ++job.failures;
    const bool probe_failed = worker.state() == worker_phase::probing;
    const bool again = job.may_run_again();
    release(at, job, index, again ? task_phase::pending : task_phase::ended);
    if (!again)
    {
        cancel(at, job, job_outcome::failed);
    }
    else if (job.spec.workload() == workload_kind::gang)
    {
        stop_gang(at, job);
    }
    if (probe_failed || worker.failed_jobs.size() >= quarantine_after)
    {
        quarantine(at, worker);
    }
}

void hall_state::end_lost(wall_ms at, hall_job& job, std::uint32_t index, bool unsent)
{
    const bool again = job.may_run_again() || (unsent && !job.cancelled);
    release(at, job, index, again ? task_phase::pending : task_phase::ended);
    if (!again)
    {
        cancel(at, job, job_outcome::unknown);
    }
    else if (job.spec.workload() == workload_kind::gang)
    {
        stop_gang(at, job);
    }
}

void hall_state::stop_gang(wall_ms at, hall_job& job)
{
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i)
    {
        request_stop(at, job, i, stop_reason::gang);
    }
}

hall_result hall_state::run(wall_ms at, const stop_runs& command)
{
    for (const stop_request& order : command.orders)
    {
        const auto found = m_jobs.find(order.run.task.job);
        const bool known = found != m_jobs.end() && order.run.task.index < found->second.tasks.size();
        if (known && found->second.tasks[order.run.task.index].run == order.run.run)
        {
            request_stop(at, found->second, order.run.task.index, static_cast<stop_reason>(order.reason));
        }
    }
    return {};
}

void hall_state::request_stop(wall_ms at, hall_job& job, std::uint32_t index, stop_reason reason)
{
    task_record& task = job.tasks[index];
    if (task.state() != task_phase::placed && task.state() != task_phase::running)
    {
        return;
    }
    task.phase = static_cast<std::uint8_t>(task_phase::stopping);
    task.reason = static_cast<std::uint8_t>(reason);
    task.since = at;
    m_changes.workers.push_back(task.worker);
    record_change(job);
}

} // namespace walkthread
