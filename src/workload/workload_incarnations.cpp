// Parts of workload_state: incarnations of workers, when they are added, when they end and when they leave.

#include <walkthread/workload/workload_state.hpp>

#include <algorithm>

namespace walkthread
{

namespace
{
// Late reports arrive within seconds, and a mass restart concerns hundreds of workers.
constexpr std::size_t max_former_incarnations = 1000;
} // namespace

workload_result workload_state::handle(wall_ms at, const admit_worker& command)
{
    const worker_incarnation_ref incarnation = command.description.incarnation();
    const auto known = m_by_incarnation.find(incarnation);
    if (known != m_by_incarnation.end())
    {
        worker_incarnation& present = m_workers[known->second];
        if (!command.assumed && (present.assumed || command.sequence >= present.description_sequence))
        {
            present.description = command.description;
            present.description_sequence = command.sequence;
            present.assumed = false;
            m_worker_changes.note(known->second);
            index_worker(known->second);
        }
        return {};
    }
    if (has_ended(incarnation))
    {
        return {static_cast<std::int32_t>(workload_code::former_incarnation),
                "This incarnation of the worker has ended."};
    }
    const std::string& host = command.description.host;
    std::vector<lost_run> crashed = m_crashes.resolve_unresponsive(host, incarnation);
    const auto before = m_by_host.find(host);
    const worker_incarnation_id former = before == m_by_host.end() ? worker_incarnation_id{} : before->second;
    if (former != worker_incarnation_id{} && m_workers[former].description.id == incarnation.id)
    {
        transfer_runs(at, command, former);
    }
    else
    {
        if (former != worker_incarnation_id{})
        {
            for (const auto& [run, room] :
                 m_workers[former].leaving ? std::map<run_ref, resources>{} : m_workers[former].occupied)
            {
                crashed.push_back({run, false, blame::min_share, {}, false});
            }
            mark_former(m_workers[former].description.incarnation());
            drop(at, former, {});
        }
        add_incarnation(command);
    }
    if (!in_maintenance(host))
    {
        add_crash_evidence(at, host, crashed);
    }
    finish_maintenance(host);
    return {};
}

void workload_state::add_incarnation(const admit_worker& command)
{
    const worker_incarnation_id id{m_next_incarnation++};
    worker_incarnation& worker = m_workers[id];
    worker.id = id;
    worker.description = command.description;
    worker.description_sequence = command.sequence;
    worker.assumed = command.assumed;
    restore_leaving_state(worker);
    m_by_incarnation[command.description.incarnation()] = id;
    m_by_host[command.description.host] = id;
    m_worker_changes.note(id);
    index_worker(id);
}

// The new incarnation may have executed an order that was meant for the former one with the same id. A task
// that is restarted elsewhere immediately could then run twice, so each run stays assigned to this worker
// until the new incarnation is known not to have it.
void workload_state::transfer_runs(wall_ms at, const admit_worker& command, worker_incarnation_id former)
{
    const worker_incarnation before = m_workers[former];
    mark_former(before.description.incarnation());
    m_by_incarnation.erase(before.description.incarnation());
    m_workers.erase(former);
    m_worker_changes.note(former);
    unindex_worker(former);
    add_incarnation(command);
    worker_incarnation& worker = m_workers[m_by_host[command.description.host]];
    worker.follows = former;
    worker.occupied = before.occupied;
    worker.used = before.used;
    for (const auto& [run, room] : worker.occupied)
    {
        const work_task* task = find(run.task);
        if (task != nullptr && task->state() != work_phase::completed && task->run == run.run)
        {
            tasks_of(m_submissions.at(run.task.step.submission), run.task.step)
                ->move(run.task.index, worker.id);
        }
    }
    std::vector<lost_run> lost = command.lost;
    std::erase_if(lost,
                  [&before](const lost_run& item)
                  {
                      return before.leaving || !before.occupied.contains(item.run);
                  });
    if (!in_maintenance(command.description.host))
    {
        add_crash_evidence(at, command.description.host, lost);
    }
}

bool workload_state::has_ended(const worker_incarnation_ref& incarnation) const
{
    return std::find(m_former.begin(), m_former.end(), incarnation) != m_former.end();
}

void workload_state::mark_former(const worker_incarnation_ref& incarnation)
{
    m_former.push_back(incarnation);
    if (m_former.size() > max_former_incarnations)
    {
        m_former.erase(m_former.begin());
    }
}

void workload_state::save_leaving_state(const worker_incarnation& worker)
{
    if (worker.leaving_sequence == 0)
    {
        return; // it never announced that it leaves
    }
    m_unresponsive.push_back(
        {worker.description.id, worker.leaving_sequence, worker.leaving, worker.description.process_start});
    if (m_unresponsive.size() > max_former_incarnations)
    {
        m_unresponsive.erase(m_unresponsive.begin());
    }
}

// The report that adds an incarnation again may be older than the acknowledged one that announced its
// leaving. Without the stored leaving state, the worker would get new work until its next report.
void workload_state::restore_leaving_state(worker_incarnation& worker)
{
    const auto found = std::find_if(
        m_unresponsive.begin(), m_unresponsive.end(),
        [&worker](const unresponsive_incarnation& item)
        {
            return worker_incarnation_ref{item.id, item.process_start} == worker.description.incarnation();
        });
    if (found != m_unresponsive.end())
    {
        worker.leaving = found->leaving;
        worker.leaving_sequence = found->leaving_sequence;
        m_unresponsive.erase(found);
    }
}

// A new incarnation after the platform accepted the order means that the host's maintenance has finished.
void workload_state::finish_maintenance(const std::string& host)
{
    for (auto& [number, wave] : m_waves)
    {
        const auto found = wave.hosts.find(host);
        if (found != wave.hosts.end() &&
            found->second == static_cast<std::uint8_t>(maintenance_phase::under_way))
        {
            found->second = static_cast<std::uint8_t>(maintenance_phase::finished);
        }
    }
}

workload_result workload_state::handle(wall_ms at, const drop_worker& command)
{
    const worker_incarnation* worker = find(command.worker);
    if (worker == nullptr)
    {
        return {};
    }
    std::vector<lost_run> lost = command.lost;
    std::erase_if(lost,
                  [this, worker](const lost_run& item)
                  {
                      return worker->leaving || !worker->occupied.contains(item.run) ||
                             !may_be_given_up(item.run);
                  });
    const std::string host = worker->description.host;
    if (command.for_good)
    {
        mark_former(worker->description.incarnation());
    }
    else
    {
        save_leaving_state(*worker);
        m_crashes.note_unresponsive(host, worker->description.incarnation(), lost);
    }
    drop(at, command.worker, command.lost);
    if (command.for_good && !in_maintenance(host))
    {
        add_crash_evidence(at, host, lost);
    }
    return {};
}

workload_result workload_state::handle(wall_ms /*at*/, const mark_leaving& command)
{
    const auto found = m_workers.find(command.worker);
    if (found != m_workers.end() && command.sequence > found->second.leaving_sequence)
    {
        found->second.leaving = command.leaving;
        found->second.leaving_sequence = command.sequence;
    }
    return {};
}

workload_result workload_state::handle(wall_ms /*at*/, const record_last_known_runs& command)
{
    const auto found = m_workers.find(command.worker);
    if (found != m_workers.end())
    {
        found->second.last_known_runs = command.runs;
    }
    return {};
}

} // namespace walkthread
