// Parts of workload_state: submission phases, indexes and snapshots.

#include <walkthread/workload/workload_state.hpp>

#include <algorithm>

#include <walkthread/wire/codec.hpp>

namespace walkthread
{

void workload_state::set_phase(submission& owner, submission_phase phase)
{
    if (owner.state() == submission_phase::queued)
    {
        --m_queued[owner.queue];
    }
    owner.phase = static_cast<std::uint8_t>(phase);
}

void workload_state::finish(wall_ms at, submission& owner, submission_phase phase)
{
    set_phase(owner, phase);
    if (const auto open = m_unfinished.find(owner.queue); open != m_unfinished.end() && --open->second == 0)
    {
        m_unfinished.erase(open);
        m_removed_queues.erase(owner.queue);
    }
    m_crashes.clear(owner.id);
    owner.ended = at;
    m_ended.insert({at, owner.id});
    if (owner.active > 0)
    {
        m_closing.insert(owner.id);
    }
    else
    {
        m_ended_by_command.push_back(owner.id); // the caller may still use its details
    }
    for (std::set<step_ref>* index : {&m_ready, &m_ready_first})
    {
        index->erase(index->lower_bound(step_ref{owner.id, round_id{0}, 0}),
                     index->upper_bound(step_ref{owner.id, round_id{UINT32_MAX}, UINT32_MAX}));
    }
}

bool workload_state::goes_first(const submission& owner, const step_spec& step) const
{
    const queue_spec* queue = queue_of(owner);
    return step.long_running || (queue != nullptr && queue->priority == 0);
}

void workload_state::index_ready_first()
{
    m_ready_first.clear();
    for (const step_ref& ref : m_ready)
    {
        const submission& owner = *find(ref.submission);
        if (goes_first(owner, owner.spec.steps[ref.step]))
        {
            m_ready_first.insert(m_ready_first.end(), ref);
        }
    }
}

void workload_state::refresh_ready(const submission& owner, round_id round, std::uint32_t step)
{
    const round_progress& progress = owner.rounds[round.value()];
    const auto& tasks = progress.steps[step].tasks;
    const bool waits = std::any_of(tasks.begin(), tasks.end(),
                                   [](const work_task& task)
                                   {
                                       return task.state() == work_phase::waiting;
                                   });
    const auto& after = owner.spec.steps[step].after;
    const bool free = std::all_of(after.begin(), after.end(),
                                  [&progress](std::uint32_t earlier)
                                  {
                                      return progress.steps[earlier].complete();
                                  });
    const step_ref ref{owner.id, round, step};
    if (waits && free && !owner.final())
    {
        m_ready.insert(ref);
        if (goes_first(owner, owner.spec.steps[step]))
        {
            m_ready_first.insert(ref);
        }
    }
    else
    {
        m_ready.erase(ref);
        m_ready_first.erase(ref);
    }
}

void workload_state::refresh_round(const submission& owner, round_id round)
{
    for (std::uint32_t step = 0; step < owner.spec.steps.size(); ++step)
    {
        refresh_ready(owner, round, step);
    }
}

// Called before the configuration is replaced.
void workload_state::keep_removed_queues(const cluster_configuration& next)
{
    if (m_configuration)
    {
        for (const queue_spec& queue : m_configuration->queues)
        {
            if (m_unfinished.contains(queue.name))
            {
                m_removed_queues.insert_or_assign(queue.name, queue);
            }
        }
    }
    for (const queue_spec& queue : next.queues)
    {
        m_removed_queues.erase(queue.name);
    }
}

void workload_state::index_configuration()
{
    m_keys = m_configuration ? api_key_index(m_configuration->organisations) : api_key_index{};
    m_queue_positions.clear();
    for (std::size_t place = 0; m_configuration && place < m_configuration->queues.size(); ++place)
    {
        m_queue_positions.emplace(m_configuration->queues[place].name, place);
    }
    index_ready_first();
}

void workload_state::index_usage()
{
    m_quotas.clear_usage();
    for (const auto& [id, worker] : m_workers)
    {
        for (const auto& [run, room] : worker.occupied)
        {
            const submission* owner = find(run.task.step.submission);
            const step_spec* step = find(run.task.step);
            if (owner != nullptr && step != nullptr)
            {
                m_quotas.take(owner->organisation, step->size);
            }
        }
    }
}

void workload_state::rebuild_indexes()
{
    m_ready.clear(); // before the configuration is indexed: it may name steps of the former state
    index_configuration();
    index_usage();
    m_worker_changes.reset();
    m_by_incarnation.clear();
    m_by_host.clear();
    m_closing.clear();
    m_ended.clear();
    m_queued.clear();
    m_unfinished.clear();
    for (const auto& [id, worker] : m_workers)
    {
        m_by_incarnation[worker.description.incarnation()] = id;
        m_by_host[worker.description.host] = id;
    }
    for (const auto& [id, owner] : m_submissions)
    {
        if (owner.state() == submission_phase::queued)
        {
            ++m_queued[owner.queue];
        }
        if (owner.final())
        {
            m_ended.insert({owner.ended, id});
            if (owner.active > 0)
            {
                m_closing.insert(id);
            }
            continue;
        }
        ++m_unfinished[owner.queue];
        for (std::uint32_t round = 0; round < owner.rounds.size(); ++round)
        {
            refresh_round(owner, round_id{round});
        }
    }
}

std::string workload_state::save() const
{
    snapshot_content out;
    out.held = m_configuration;
    out.next_worker = m_next_incarnation;
    out.former = m_former;
    out.unheard = m_unresponsive;
    out.crashes = m_crashes;
    out.quotas = m_quotas;
    out.cordons = m_cordons;
    for (const auto& [name, queue] : m_removed_queues)
    {
        out.removed_queues.push_back(queue);
    }
    for (const auto& [id, owner] : m_submissions)
    {
        out.submissions.push_back(owner);
    }
    for (const auto& [id, worker] : m_workers)
    {
        out.workers.push_back(worker);
    }
    for (const auto& [id, wave] : m_waves)
    {
        out.waves.push_back(wave);
    }
    return encode(out);
}

bool workload_state::load(const std::string& bytes)
{
    auto decoded = decode<snapshot_content>(bytes);
    if (!ok(decoded))
    {
        return false;
    }
    snapshot_content& in = value_of(decoded);
    m_configuration = std::move(in.held);
    m_next_incarnation = in.next_worker;
    m_former = std::move(in.former);
    for (std::string& id : in.former_ids)
    {
        m_former.push_back({std::move(id), process_start_ms{}});
    }
    m_unresponsive = std::move(in.unheard);
    m_crashes = std::move(in.crashes);
    m_quotas = std::move(in.quotas);
    m_cordons = std::move(in.cordons);
    m_removed_queues.clear();
    for (queue_spec& queue : in.removed_queues)
    {
        const std::string name = queue.name;
        m_removed_queues.emplace(name, std::move(queue));
    }
    m_submissions.clear();
    m_workers.clear();
    m_waves.clear();
    for (submission& owner : in.submissions)
    {
        const submission_id id = owner.id;
        m_submissions.emplace(id, std::move(owner));
    }
    for (worker_incarnation& worker : in.workers)
    {
        const worker_incarnation_id id = worker.id;
        m_workers.emplace(id, std::move(worker));
    }
    for (maintenance_wave& wave : in.waves)
    {
        const std::uint64_t number = wave.wave;
        m_waves.emplace(number, std::move(wave));
    }
    rebuild_indexes();
    return true;
}

} // namespace walkthread
