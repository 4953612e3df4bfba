// Workers, jobs and claims of a hall; placement and run reports are in hall_runs.cpp.

#include <walkthread/state/hall.hpp>

#include <algorithm>

#include <walkthread/wire/codec.hpp>

namespace walkthread
{

bool hall_job::held() const
{
    return failed_on.size() >= hall_state::hold_after_failed_hosts ||
           failures >= hall_state::hold_after_failures;
}

resources worker_record::free() const
{
    const bool takes_work =
        is_schedulable() && (state() == worker_phase::live || state() == worker_phase::probing);
    if (!takes_work)
    {
        return {};
    }
    if (state() == worker_phase::probing && !tasks.empty())
    {
        return {};
    }
    return size - reserved;
}

hall_result hall_state::apply(wall_ms at, const hall_command& command)
{
    return std::visit(
        [this, at](const auto& c)
        {
            return run(at, c);
        },
        command);
}

// ---------------------------------------------------------------------------------------------------------
// Workers
// ---------------------------------------------------------------------------------------------------------

hall_result hall_state::run(wall_ms at, const register_worker& command)
{
    worker_record& worker = m_workers[command.worker];
    const bool known = worker.epoch.value() != 0;
    const bool may_run_tasks = known && worker.state() != worker_phase::lost && !worker.tasks.empty();
    if (may_run_tasks && command.previous != worker.epoch)
    {
        hall_result refused;
        refused.code = static_cast<int>(state_code::lease_active);
        return refused;
    }
    if (known)
    {
        release_all(at, worker, never_began(worker, command));
        if (worker.state() != worker_phase::lost)
        {
            m_capacity -= worker.size;
        }
    }
    worker.id = command.worker;
    worker.rack = command.rack;
    worker.address = command.address;
    worker.port = command.port;
    worker.size = command.size;
    worker.cordoned = m_cordon.has_value();
    worker.epoch = epoch_id{worker.epoch.value() + 1};
    m_capacity += worker.size;
    const bool stays_quarantined = known && worker.state() == worker_phase::quarantined;
    if (!stays_quarantined)
    {
        set_phase(at, worker, worker_phase::live);
    }
    m_changes.workers.push_back(worker.id);
    hall_result answer;
    answer.epoch = worker.epoch;
    return answer;
}

hall_result hall_state::run(wall_ms at, const mark_workers_lost& command)
{
    for (const worker_epoch& expired : command.workers)
    {
        const auto found = m_workers.find(expired.worker);
        const bool current = found != m_workers.end() && found->second.epoch == expired.epoch;
        if (!current || found->second.state() == worker_phase::lost)
        {
            continue;
        }
        worker_record& worker = found->second;
        release_all(at, worker, command.unsent);
        m_capacity -= worker.size;
        set_phase(at, worker, worker_phase::lost);
    }
    return {};
}

hall_result hall_state::run(wall_ms at, const drain_workers& command)
{
    for (const worker_id id : command.workers)
    {
        const auto found = m_workers.find(id);
        if (found == m_workers.end() || found->second.draining == command.draining)
        {
            continue;
        }
        found->second.draining = command.draining;
        m_changes.workers.push_back(id);
        ++m_changes.services;
        const std::vector<task_id> tasks = found->second.tasks;
        for (const task_id& task : tasks)
        {
            hall_job& job = m_jobs.at(task.job);
            const bool movable = job.spec.repeatable || job.spec.workload() == workload_kind::service;
            if (command.draining && movable)
            {
                request_stop(at, job, task.index, stop_reason::drained);
            }
        }
    }
    return {};
}

// Unlike draining, a cordon stops nothing that runs.
hall_result hall_state::run(wall_ms at, const cordon_hall& command)
{
    if (command.cordoned == m_cordon.has_value())
    {
        return {};
    }
    m_cordon = command.cordoned ? std::optional(hall_cordon{at, command.requested_by}) : std::nullopt;
    for (auto& [id, worker] : m_workers)
    {
        worker.cordoned = command.cordoned;
        m_changes.workers.push_back(id);
    }
    return {};
}

hall_result hall_state::run(wall_ms at, const probe_workers& command)
{
    for (const worker_id id : command.workers)
    {
        const auto found = m_workers.find(id);
        if (found != m_workers.end() && found->second.state() == worker_phase::quarantined)
        {
            set_phase(at, found->second, worker_phase::probing);
        }
    }
    return {};
}

void hall_state::set_phase(wall_ms at, worker_record& worker, worker_phase phase)
{
    worker.phase = static_cast<std::uint8_t>(phase);
    worker.phase_since = at;
    m_changes.workers.push_back(worker.id);
}

void hall_state::quarantine(wall_ms at, worker_record& worker)
{
    for (const job_id id : worker.failed_jobs)
    {
        const auto job = m_jobs.find(id);
        if (job != m_jobs.end())
        {
            job->second.failed_on.erase(worker.id);
            job->second.failures = 0; // the failures are attributed to the host
            record_change(job->second);
        }
    }
    worker.failed_jobs.clear();
    ++worker.quarantines;
    set_phase(at, worker, worker_phase::quarantined);
}

std::vector<run_id> hall_state::never_began(const worker_record& worker, const register_worker& command) const
{
    std::vector<run_id> out = command.unsent;
    if (!command.begun || command.previous != worker.epoch)
    {
        return out;
    }
    for (const task_id& id : worker.tasks)
    {
        const task_record& task = m_jobs.at(id.job).tasks[id.index];
        const run_id run{id, task.run};
        const bool begun =
            std::find(command.begun->begin(), command.begun->end(), run) != command.begun->end();
        if (task.state() == task_phase::placed && !begun)
        {
            out.push_back(run);
        }
    }
    return out;
}

void hall_state::release_all(wall_ms at, worker_record& worker, const std::vector<run_id>& unsent)
{
    const std::vector<task_id> tasks = worker.tasks;
    for (const task_id& task : tasks)
    {
        hall_job& job = m_jobs.at(task.job);
        const run_id run{task, job.tasks[task.index].run};
        end_lost(at, job, task.index, std::find(unsent.begin(), unsent.end(), run) != unsent.end());
    }
}

// ---------------------------------------------------------------------------------------------------------
// Jobs
// ---------------------------------------------------------------------------------------------------------

hall_result hall_state::run(wall_ms at, const admit_jobs& command)
{
    if (command.root_index < m_applied_root_index)
    {
        return {};
    }
    m_applied_root_index = command.root_index;
    for (const job_spec& spec : command.jobs)
    {
        const std::uint32_t count = spec.tasks_in(m_hall);
        if (count == 0 || m_jobs.contains(spec.id))
        {
            continue;
        }
        hall_job& job = m_jobs[spec.id];
        job.spec = spec;
        job.tasks.resize(count);
        job.pending = count;
        for (task_record& task : job.tasks)
        {
            task.since = at;
        }
        record_change(job);
    }
    return {};
}

hall_result hall_state::run(wall_ms at, const cancel_hall_jobs& command)
{
    for (const job_id id : command.jobs)
    {
        const auto found = m_jobs.find(id);
        if (found != m_jobs.end() && !found->second.finished())
        {
            cancel(at, found->second, job_outcome::cancelled);
        }
    }
    return {};
}

hall_result hall_state::run(wall_ms /*at*/, const forget_jobs& command)
{
    m_applied_root_index = std::max(m_applied_root_index, command.root_index);
    for (const job_id id : command.jobs)
    {
        const auto found = m_jobs.find(id);
        if (found != m_jobs.end() && found->second.finished())
        {
            m_jobs.erase(found);
        }
    }
    return {};
}

void hall_state::cancel(wall_ms at, hall_job& job, job_outcome outcome)
{
    job.cancelled = true;
    job.outcome = std::max(job.outcome, static_cast<std::uint8_t>(outcome));
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i)
    {
        task_record& task = job.tasks[i];
        if (task.state() == task_phase::pending)
        {
            task.phase = static_cast<std::uint8_t>(task_phase::ended);
            task.since = at;
            --job.pending;
            ++job.ended;
        }
        else if (task.on_host())
        {
            request_stop(at, job, i, stop_reason::cancelled);
        }
    }
    record_change(job);
}

void hall_state::record_change(const hall_job& job)
{
    m_changes.jobs.push_back(job.spec.id);
    if (job.finished())
    {
        m_changes.ended.push_back(job.spec.id);
    }
    if (job.spec.workload() == workload_kind::service)
    {
        ++m_changes.services;
    }
}

// ---------------------------------------------------------------------------------------------------------
// Claims, queries and persistence
// ---------------------------------------------------------------------------------------------------------

hall_result hall_state::run(wall_ms at, const claim_request& command)
{
    hall_result answer;
    answer.claim = m_claims.claim(at, command);
    return answer;
}

hall_result hall_state::run(wall_ms /*at*/, const settle_claim& command)
{
    hall_result answer;
    answer.claim = m_claims.settle(command);
    return answer;
}

resources hall_state::used_by(organisation_id organisation) const
{
    const auto found = m_used.find(organisation);
    return found == m_used.end() ? resources{} : found->second;
}

resources hall_state::used_by(team_id team) const
{
    const auto found = m_team_used.find(team);
    return found == m_team_used.end() ? resources{} : found->second;
}

run_estimate hall_state::estimate_of(template_id id) const
{
    const auto found = m_estimates.find(id);
    return found == m_estimates.end() ? run_estimate{} : found->second;
}

hall_changes hall_state::take_changes()
{
    hall_changes taken = std::move(m_changes);
    m_changes = {};
    m_changes.services = taken.services;
    return taken;
}

std::string hall_state::check() const
{
    std::map<worker_id, resources> sums;
    for (const auto& [id, job] : m_jobs)
    {
        for (const task_record& task : job.tasks)
        {
            if (task.on_host())
            {
                sums[task.worker] += job.spec.values.size;
            }
        }
    }
    for (const auto& [id, worker] : m_workers)
    {
        if (!(sums[id] == worker.reserved))
        {
            return "Worker " + std::to_string(id.value()) +
                   ": reserved resources differ from the sum of its tasks.";
        }
        if (!fits(worker.reserved, worker.size))
        {
            return "Worker " + std::to_string(id.value()) + " has reserved more than its size.";
        }
    }
    return {};
}

std::string hall_state::save() const
{
    return encode(*this);
}

bool hall_state::load(std::string_view bytes)
{
    auto decoded = decode<hall_state>(bytes);
    if (!ok(decoded))
    {
        return false;
    }
    *this = std::move(value_of(decoded));
    return true;
}

} // namespace walkthread
