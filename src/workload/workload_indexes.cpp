// Parts of workload_state: submission phases and indexes.

#include <walkthread/workload/workload_state.hpp>

#include <algorithm>
#include <utility>

namespace walkthread
{

void workload_state::set_phase(submission& owner, submission_phase phase)
{
    if (owner.state() == submission_phase::queued)
    {
        --m_queued[route_of(owner)];
    }
    owner.phase = static_cast<std::uint8_t>(phase);
}

void workload_state::finish(wall_ms at, submission& owner, submission_phase phase)
{
    set_phase(owner, phase);
    if (const auto open = m_unfinished.find(route_of(owner));
        open != m_unfinished.end() && --open->second == 0)
    {
        m_removed_queues.erase(open->first);
        m_unfinished.erase(open);
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
    m_scheduled.erase({owner.spec.due_at(round_id{owner.indexed_end}), owner.id});
    m_ready.erase(owner.id);
}

bool workload_state::goes_first(const submission& owner, const step_spec& step) const
{
    const queue_spec* queue = queue_of(owner);
    return step.long_running || (queue != nullptr && queue->priority == 0);
}

namespace
{
bool can_take(const worker_incarnation& worker, const step_requirement& needs)
{
    const worker_description& there = worker.description;
    return there.pool == needs.pool && fits(needs.size, there.size) &&
           (needs.label.empty() ||
            std::find(there.labels.begin(), there.labels.end(), needs.label) != there.labels.end());
}
} // namespace

step_requirement workload_state::requirement_of(const submission& owner, const step_spec& step) const
{
    return {pool_of(owner), step.required_label, host_demand_of(step)};
}

worker_incarnation_id workload_state::find_worker_for(const step_requirement& needs) const
{
    for (const auto& [id, worker] : m_workers)
    {
        if (can_take(worker, needs))
        {
            return id;
        }
    }
    return {};
}

// To be called when a worker was added or its description has changed.
void workload_state::index_worker(worker_incarnation_id id)
{
    unindex_worker(id);
    m_ready.add_worker(id,
                       [&worker = m_workers.at(id)](const step_requirement& needs)
                       {
                           return can_take(worker, needs);
                       });
}

// To be called when a worker was removed or its description has changed.
void workload_state::unindex_worker(worker_incarnation_id id)
{
    m_ready.remove_worker(id,
                          [this](const step_requirement& needs)
                          {
                              return find_worker_for(needs);
                          });
}

// The pools and priorities of queues have changed.
void workload_state::rebuild_ready_groups()
{
    const std::set<step_ref> steps = m_ready.steps();
    m_ready.clear();
    for (const step_ref& ref : steps)
    {
        set_ready(*find(ref.submission), ref, true);
    }
}

void workload_state::set_ready(const submission& owner, const step_ref& ref, bool ready) const
{
    if (!ready)
    {
        m_ready.erase(ref);
        return;
    }
    if (!m_ready.contains(ref))
    {
        const step_spec& step = owner.spec.steps[ref.step];
        m_ready.insert(ref, requirement_of(owner, step), goes_first(owner, step),
                       [this](const step_requirement& needs)
                       {
                           return find_worker_for(needs);
                       });
    }
}

void workload_state::refresh_ready(const submission& owner, round_id round, std::uint32_t step) const
{
    const auto& after = owner.spec.steps[step].after;
    const bool free = std::all_of(after.begin(), after.end(),
                                  [&owner, round](std::uint32_t earlier)
                                  {
                                      return step_tasks(owner, round, earlier).complete();
                                  });
    const bool waits = step_tasks(owner, round, step).waiting() > 0;
    set_ready(owner, {owner.id, round, step}, waits && free && !owner.final());
}

void workload_state::refresh_round(const submission& owner, round_id round) const
{
    for (std::uint32_t step = 0; step < owner.spec.steps.size(); ++step)
    {
        refresh_ready(owner, round, step);
    }
}

// A round that lies ahead, or for which the window of ready rounds has no place, costs nothing until its
// turn.
void workload_state::index_next_rounds(const submission& owner) const
{
    while (!owner.final() && owner.indexed_end < owner.spec.rounds &&
           owner.indexed_end - owner.next_round < max_ready_rounds)
    {
        const round_id next{owner.indexed_end};
        const wall_ms due = owner.spec.due_at(next);
        if (due > std::max(owner.accepted, m_released_up_to))
        {
            m_scheduled.insert({due, owner.id});
            return;
        }
        ++owner.indexed_end;
        refresh_round(owner, next);
    }
}

void workload_state::release_due(wall_ms now) const
{
    m_released_up_to = now;
    while (!m_scheduled.empty() && m_scheduled.begin()->first <= now)
    {
        const submission& owner = *find(m_scheduled.begin()->second);
        m_scheduled.erase(m_scheduled.begin());
        index_next_rounds(owner);
    }
}

std::optional<wall_ms> workload_state::next_due() const
{
    return m_scheduled.empty() ? std::nullopt : std::optional(m_scheduled.begin()->first);
}

std::uint64_t workload_state::bytes() const
{
    // A worker's entry, its indexes and the dispatcher's view of it.
    constexpr std::uint64_t worker_bytes = 1536;
    return m_submission_bytes + m_configuration_bytes + m_workers.size() * worker_bytes;
}

void workload_state::charge(submission& owner)
{
    m_submission_bytes -= std::exchange(owner.charged_bytes, size_of(owner));
    m_submission_bytes += owner.charged_bytes;
}

// Called before the configuration is replaced. Callers of a former route that is given to a queue again mean
// that queue.
void workload_state::follow_routes(const cluster_configuration& next)
{
    if (!m_configuration)
    {
        return;
    }
    for (const auto& [former, present] : find_moved_routes(*m_configuration, next))
    {
        for (auto& [earlier, route] : m_moved_routes)
        {
            route = route == former ? present : route;
        }
        m_moved_routes.insert_or_assign(former, present);
    }
    std::set<std::string> in_use;
    for (const auto& [id, owner] : m_submissions)
    {
        in_use.insert(owner.route);
    }
    for (const queue_spec& queue : next.queues)
    {
        in_use.erase(walkthread::route_of(queue));
    }
    std::erase_if(m_moved_routes,
                  [&in_use](const auto& item)
                  {
                      return !in_use.contains(item.first);
                  });
}

// Called before the configuration is replaced.
void workload_state::keep_removed_queues(const cluster_configuration& next)
{
    if (m_configuration)
    {
        for (const queue_spec& queue : m_configuration->queues)
        {
            const std::string route = walkthread::route_of(queue);
            if (m_unfinished.contains(route))
            {
                m_removed_queues.insert_or_assign(route, queue);
            }
        }
    }
    for (const queue_spec& queue : next.queues)
    {
        m_removed_queues.erase(walkthread::route_of(queue));
    }
    for (const auto& [former, present] : m_moved_routes)
    {
        m_removed_queues.erase(former);
    }
}

void workload_state::count_submission(const submission& owner)
{
    const std::string& route = route_of(owner);
    m_queued[route] += owner.state() == submission_phase::queued ? 1 : 0;
    if (!owner.final())
    {
        ++m_unfinished[route];
    }
}

// A queue may have another route now, or a route another queue.
void workload_state::recount_submissions()
{
    m_queued.clear();
    m_unfinished.clear();
    for (const auto& [id, owner] : m_submissions)
    {
        count_submission(owner);
    }
}

void workload_state::index_configuration()
{
    m_keys = m_configuration ? api_key_index(m_configuration->organisations) : api_key_index{};
    m_queue_positions.clear();
    m_route_positions.clear();
    for (std::size_t place = 0; m_configuration && place < m_configuration->queues.size(); ++place)
    {
        m_queue_positions.emplace(m_configuration->queues[place].name, place);
        m_route_positions.emplace(walkthread::route_of(m_configuration->queues[place]), place);
    }
    // The parsed queues take about as much as the document that lists them.
    m_configuration_bytes = m_configuration ? 2 * text_bytes(m_configuration->source.size()) : 0;
    rebuild_ready_groups();
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
    m_scheduled.clear();
    m_submission_bytes = 0;
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
    for (auto& [id, owner] : m_submissions)
    {
        index_submission(owner);
    }
}

void workload_state::index_submission(submission& owner)
{
    owner.description_bytes = description_bytes(owner.spec);
    charge(owner);
    count_submission(owner);
    if (owner.final())
    {
        m_ended.insert({owner.ended, owner.id});
        if (owner.active > 0)
        {
            m_closing.insert(owner.id);
        }
        return;
    }
    for (const auto& [number, round] : owner.open_rounds)
    {
        refresh_round(owner, round_id{number});
    }
    owner.indexed_end = owner.next_round;
    index_next_rounds(owner);
}

} // namespace walkthread
