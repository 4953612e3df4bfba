// Parts of workload_state: incarnations of workers, when they are added, when they end and when they leave.

#include <walkthread/workload/workload_state.hpp>

#include <algorithm>

namespace walkthread
{

namespace
{
// Late reports arrive within seconds, and a mass restart concerns hundreds of workers.
constexpr std::size_t max_former_lives = 1000;
} // namespace

workload_result workload_state::handle(wall_ms at, const admit_worker& command)
{
    const life_ref life = command.facts.life();
    const auto known = m_by_life.find(life);
    if (known != m_by_life.end())
    {
        worker_life& present = m_workers[known->second];
        if (!command.assumed && (present.assumed || command.sequence >= present.facts_sequence))
        {
            present.facts = command.facts;
            present.facts_sequence = command.sequence;
            present.assumed = false;
            ++m_workers_version;
        }
        return {};
    }
    if (std::find(m_former.begin(), m_former.end(), life) != m_former.end())
    {
        return {static_cast<std::int32_t>(workload_code::former_worker),
                "This incarnation of the worker has ended."};
    }
    const std::string& host = command.facts.host;
    std::vector<lost_run> crashed = m_crashes.take_crashed(host, life);
    const auto before = m_by_host.find(host);
    const worker_life_id former = before == m_by_host.end() ? worker_life_id{} : before->second;
    if (former != worker_life_id{} && m_workers[former].facts.id == life.id)
    {
        transfer_runs(at, command, former);
    }
    else
    {
        if (former != worker_life_id{})
        {
            for (const auto& [run, room] :
                 m_workers[former].leaving ? std::map<run_ref, resources>{} : m_workers[former].occupied)
            {
                crashed.push_back({run, false, blame::min_share, {}, false});
            }
            retire(m_workers[former].facts.life());
            drop(at, former, {});
        }
        number_life(command);
    }
    if (!in_upkeep(host))
    {
        accuse(at, host, crashed);
    }
    finish_upkeep(host);
    ++m_workers_version;
    return {};
}

void workload_state::number_life(const admit_worker& command)
{
    const worker_life_id id{m_next_worker++};
    worker_life& worker = m_workers[id];
    worker.id = id;
    worker.facts = command.facts;
    worker.facts_sequence = command.sequence;
    worker.assumed = command.assumed;
    recall_unheard(worker);
    m_by_life[command.facts.life()] = id;
    m_by_host[command.facts.host] = id;
}

// The new incarnation may have executed an order that was meant for the former one with the same id. A task
// that is restarted elsewhere immediately could then run twice, so each run stays assigned to this worker
// until the new incarnation is known not to have it.
void workload_state::transfer_runs(wall_ms at, const admit_worker& command, worker_life_id former)
{
    const worker_life before = m_workers[former];
    retire(before.facts.life());
    m_by_life.erase(before.facts.life());
    m_workers.erase(former);
    number_life(command);
    worker_life& worker = m_workers[m_by_host[command.facts.host]];
    worker.follows = former;
    worker.occupied = before.occupied;
    worker.used = before.used;
    for (const auto& [run, room] : worker.occupied)
    {
        work_task* task = task_of(run.task);
        if (task != nullptr && task->run == run.run)
        {
            task->worker = worker.id;
        }
    }
    std::vector<lost_run> lost = command.lost;
    std::erase_if(lost,
                  [&before](const lost_run& item)
                  {
                      return before.leaving || !before.occupied.contains(item.run);
                  });
    if (!in_upkeep(command.facts.host))
    {
        accuse(at, command.facts.host, lost);
    }
}

void workload_state::retire(const life_ref& life)
{
    m_former.push_back(life);
    if (m_former.size() > max_former_lives)
    {
        m_former.erase(m_former.begin());
    }
}

void workload_state::remember_unheard(const worker_life& worker)
{
    if (worker.leaving_sequence == 0)
    {
        return; // it never announced that it leaves
    }
    m_unheard.push_back({worker.facts.id, worker.leaving_sequence, worker.leaving, worker.facts.born});
    if (m_unheard.size() > max_former_lives)
    {
        m_unheard.erase(m_unheard.begin());
    }
}

// The report that adds an incarnation again may be older than the acknowledged one that announced its
// leaving. Without the stored leaving state, the worker would get new work until its next report.
void workload_state::recall_unheard(worker_life& worker)
{
    const auto found = std::find_if(m_unheard.begin(), m_unheard.end(),
                                    [&worker](const unheard_life& item)
                                    {
                                        return life_ref{item.id, item.born} == worker.facts.life();
                                    });
    if (found != m_unheard.end())
    {
        worker.leaving = found->leaving;
        worker.leaving_sequence = found->leaving_sequence;
        m_unheard.erase(found);
    }
}

// A new incarnation after the platform accepted the order means that the host's maintenance has finished.
void workload_state::finish_upkeep(const std::string& host)
{
    for (auto& [number, wave] : m_waves)
    {
        const auto found = wave.hosts.find(host);
        if (found != wave.hosts.end() && found->second == static_cast<std::uint8_t>(upkeep_phase::under_way))
        {
            found->second = static_cast<std::uint8_t>(upkeep_phase::finished);
        }
    }
}

workload_result workload_state::handle(wall_ms at, const drop_worker& command)
{
    const worker_life* worker = find(command.worker);
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
    const std::string host = worker->facts.host;
    if (command.for_good)
    {
        retire(worker->facts.life());
    }
    else
    {
        remember_unheard(*worker);
        m_crashes.note_unheard(host, worker->facts.life(), lost);
    }
    drop(at, command.worker, command.lost);
    if (command.for_good && !in_upkeep(host))
    {
        accuse(at, host, lost);
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

workload_result workload_state::handle(wall_ms /*at*/, const note_last_word& command)
{
    const auto found = m_workers.find(command.worker);
    if (found != m_workers.end())
    {
        found->second.last_word = command.runs;
    }
    return {};
}

} // namespace walkthread
