#include <walkthread/workload/workload_state.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace walkthread
{

namespace
{
constexpr std::uint32_t max_tasks = 4096; // per submission and round; far above what callers send
constexpr std::size_t max_open_submissions =
    20'000; // bounds the leader's work; `state_size.hpp` bounds memory

workload_result refuse(workload_code code, std::string detail)
{
    return {static_cast<std::int32_t>(code), std::move(detail)};
}
} // namespace

resources host_demand_of(const step_spec& step)
{
    resources room = step.size;
    room.slots = 0;
    if (step.fills)
    {
        room.cpu = 0;
    }
    return room;
}

bool maintenance_wave::complete() const
{
    return std::all_of(hosts.begin(), hosts.end(),
                       [](const auto& item)
                       {
                           return item.second == static_cast<std::uint8_t>(maintenance_phase::finished);
                       });
}

std::string find_fault(const submission_spec& spec)
{
    if (spec.steps.empty() || spec.steps.size() > max_steps)
    {
        return "A submission must have between 1 and " + std::to_string(max_steps) + " steps.";
    }
    std::uint64_t tasks = 0;
    for (std::uint32_t i = 0; i < spec.steps.size(); ++i)
    {
        const step_spec& step = spec.steps[i];
        const std::string name = "Step " + std::to_string(i);
        tasks += step.count;
        if (step.count == 0 || tasks > max_tasks)
        {
            return name + ": a step needs at least one task, and all steps together may have at most " +
                   std::to_string(max_tasks) + '.';
        }
        if (step.size.cpu < 0 || step.size.memory < 0 || step.size.accelerators < 0 || step.estimate_ms < 0)
        {
            return name + ": a resource size or the run time estimate is negative.";
        }
        for (const std::uint32_t earlier : step.after)
        {
            if (earlier >= i)
            {
                return name + ": a step may only depend on earlier steps.";
            }
        }
    }
    if (spec.rounds == 0 || spec.period_ms < 0 || spec.first_due < 0)
    {
        return "The number of rounds, their period or the time of the first one is out of range.";
    }
    if (spec.due_at(round_id{spec.rounds - 1}) == std::numeric_limits<wall_ms>::max())
    {
        return "The last round is due later than a time stamp can tell.";
    }
    return {};
}

// ---------------------------------------------------------------------------------------------------------
// Reading
// ---------------------------------------------------------------------------------------------------------

const queue_spec* workload_state::find_queue(const std::string& name) const
{
    const auto found = m_queue_positions.find(name);
    return found == m_queue_positions.end() ? nullptr : &m_configuration->queues[found->second];
}

const queue_spec* workload_state::find_route(const std::string& route) const
{
    const auto found = m_route_positions.find(route);
    return found == m_route_positions.end() ? nullptr : &m_configuration->queues[found->second];
}

const std::string& workload_state::route_of(const submission& owner) const
{
    const auto moved = m_moved_routes.find(owner.route);
    return moved == m_moved_routes.end() ? owner.route : moved->second;
}

const queue_spec* workload_state::configured_queue_of(const submission& owner) const
{
    return find_route(route_of(owner));
}

const queue_spec* workload_state::queue_of(const submission& owner) const
{
    if (const queue_spec* queue = configured_queue_of(owner))
    {
        return queue;
    }
    const auto removed = m_removed_queues.find(route_of(owner));
    return removed == m_removed_queues.end() ? nullptr : &removed->second;
}

const std::string& workload_state::pool_of(const submission& owner) const
{
    const queue_spec* queue = queue_of(owner);
    return queue == nullptr ? owner.pool : queue->pool;
}

const submission* workload_state::find(submission_id id) const
{
    const auto found = m_submissions.find(id);
    return found == m_submissions.end() ? nullptr : &found->second;
}

const worker_incarnation* workload_state::find(worker_incarnation_id id) const
{
    const auto found = m_workers.find(id);
    return found == m_workers.end() ? nullptr : &found->second;
}

const worker_incarnation* workload_state::find_incarnation(const worker_incarnation_ref& incarnation) const
{
    const auto found = m_by_incarnation.find(incarnation);
    return found == m_by_incarnation.end() ? nullptr : find(found->second);
}

const worker_incarnation* workload_state::find_id(const std::string& id) const
{
    worker_incarnation_id newest{};
    for (auto at = m_by_incarnation.lower_bound({id, process_start_ms{INT64_MIN}});
         at != m_by_incarnation.end() && at->first.id == id; ++at)
    {
        newest = std::max(newest, at->second);
    }
    return find(newest);
}

const worker_incarnation* workload_state::find_host(const std::string& host) const
{
    const auto found = m_by_host.find(host);
    return found == m_by_host.end() ? nullptr : find(found->second);
}

const work_task* workload_state::find(const task_ref& ref) const
{
    const submission* owner = find(ref.step.submission);
    if (owner == nullptr || ref.step.round.value() >= owner->spec.rounds ||
        ref.step.step >= owner->spec.steps.size() || ref.index >= owner->spec.steps[ref.step.step].count)
    {
        return nullptr;
    }
    return &step_tasks(*owner, ref.step)[ref.index];
}

const step_spec* workload_state::find(const step_ref& ref) const
{
    const submission* owner = find(ref.submission);
    return owner == nullptr || ref.step >= owner->spec.steps.size() ? nullptr : &owner->spec.steps[ref.step];
}

task_table* workload_state::tasks_of(submission& owner, const step_ref& ref)
{
    const auto round = owner.open_rounds.find(ref.round.value());
    return round == owner.open_rounds.end() ? nullptr : &round->second.steps[ref.step].tasks;
}

std::uint32_t workload_state::queued(const std::string& queue) const
{
    const queue_spec* known = find_queue(queue);
    const auto found = known == nullptr ? m_queued.end() : m_queued.find(walkthread::route_of(*known));
    return found == m_queued.end() ? 0 : found->second;
}

std::uint32_t workload_state::unfinished(const std::string& route) const
{
    const auto found = m_unfinished.find(route);
    return found == m_unfinished.end() ? 0 : found->second;
}

bool workload_state::needs_run(const run_ref& run) const
{
    const submission* owner = find(run.task.step.submission);
    const work_task* task = find(run.task);
    return owner != nullptr && task != nullptr && !owner->final() && task->state() == work_phase::active &&
           task->run == run.run;
}

// ---------------------------------------------------------------------------------------------------------
// Commands
// ---------------------------------------------------------------------------------------------------------

workload_result workload_state::apply(wall_ms at, const workload_command& command)
{
    const workload_result outcome = std::visit(
        [this, at](const auto& body)
        {
            return handle(at, body);
        },
        command);
    for (const submission_id id : std::exchange(m_ended_by_command, {}))
    {
        const auto found = m_submissions.find(id);
        if (found != m_submissions.end())
        {
            drop_details(found->second);
        }
    }
    return outcome;
}

workload_result workload_state::handle(wall_ms /*at*/, const replace_cluster_configuration& command)
{
    if (auto fault = find_fault(command.next))
    {
        return refuse(workload_code::bad_configuration, *fault);
    }
    if (!m_configuration || command.next.version > m_configuration->version)
    {
        follow_routes(command.next);
        keep_removed_queues(command.next);
        m_configuration = command.next;
        index_configuration();
        recount_submissions();
        m_quotas.set_limits(m_configuration->organisations);
    }
    return {};
}

workload_result workload_state::handle(wall_ms at, const accept_submission& command)
{
    const queue_spec* queue = command.route.empty() ? find_queue(command.queue) : find_route(command.route);
    const submission* known = find(command.id);
    if (known != nullptr)
    {
        const bool same_removed =
            command.route.empty() ? known->queue == command.queue : known->route == command.route;
        const bool same_queue = queue == nullptr ? same_removed : queue == configured_queue_of(*known);
        return same_queue && known->organisation == command.organisation
                   ? workload_result{}
                   : refuse(workload_code::id_in_use,
                            "A submission of another queue or organisation has this id.");
    }
    if (queue == nullptr)
    {
        return refuse(workload_code::unknown_queue, "There is no such queue.");
    }
    if (std::string fault = find_fault(command.spec); !fault.empty())
    {
        return refuse(workload_code::bad_submission, std::move(fault));
    }
    if (m_submissions.size() - m_ended.size() >= max_open_submissions)
    {
        return refuse(workload_code::too_many, "Too many unfinished submissions.");
    }
    submission kept;
    kept.id = command.id;
    kept.queue = queue->name;
    kept.route = walkthread::route_of(*queue);
    kept.organisation = command.organisation;
    kept.pool = queue->pool;
    kept.max_attempts = queue->max_attempts;
    kept.spec = command.spec;
    kept.accepted = at;
    submission& owner = m_submissions.emplace(command.id, std::move(kept)).first->second;
    count_submission(owner);
    owner.description_bytes = description_bytes(owner.spec);
    charge(owner);
    index_next_rounds(owner);
    return {};
}

workload_result workload_state::handle(wall_ms at, const cancel_submission& command)
{
    const auto found = m_submissions.find(command.id);
    if (found == m_submissions.end() || found->second.queue != command.queue)
    {
        return refuse(workload_code::unknown_submission, "There is no such submission.");
    }
    if (!found->second.final())
    {
        finish(at, found->second, submission_phase::cancelled);
    }
    return {};
}

workload_result workload_state::handle(wall_ms /*at*/, const record_starts& command)
{
    if (command.starts.empty())
    {
        return {};
    }
    const submission* owner = find(command.starts.front().task.step.submission);
    const bool gang = owner != nullptr && command.starts.front().task.step.step < owner->spec.steps.size() &&
                      owner->spec.steps[command.starts.front().task.step.step].gang;
    if (gang)
    {
        start_all_or_none(command);
        return {};
    }
    for (const planned_start& planned : command.starts)
    {
        start(planned);
    }
    return {};
}

workload_result workload_state::handle(wall_ms at, const record_ends& command)
{
    const auto found = m_workers.find(command.worker);
    if (found == m_workers.end())
    {
        return {};
    }
    for (const observed_end& end : command.ends)
    {
        apply_end(at, found->second, end);
    }
    found->second.ends_recorded_up_to =
        std::max(found->second.ends_recorded_up_to, command.ends_recorded_up_to);
    return {};
}

workload_result workload_state::handle(wall_ms /*at*/, const forget_submissions& command)
{
    for (const submission_id id : command.ids)
    {
        const auto found = m_submissions.find(id);
        if (found != m_submissions.end() && found->second.final() && found->second.active == 0)
        {
            m_ended.erase({found->second.ended, id});
            m_submission_bytes -= found->second.charged_bytes;
            m_submissions.erase(found);
        }
    }
    return {};
}

workload_result workload_state::handle(wall_ms at, const begin_wave& command)
{
    if (command.hosts.empty() || command.at_once == 0)
    {
        return refuse(workload_code::bad_wave,
                      "A maintenance wave needs at least one host and a limit above 0.");
    }
    if (m_waves.contains(command.wave))
    {
        return {};
    }
    maintenance_wave& wave = m_waves[command.wave];
    wave.wave = command.wave;
    wave.asked = at;
    wave.within_s = command.within_s;
    wave.at_once = command.at_once;
    for (const std::string& host : command.hosts)
    {
        wave.hosts[host] = static_cast<std::uint8_t>(maintenance_phase::waiting);
    }
    return {};
}

workload_result workload_state::handle(wall_ms /*at*/, const advance_maintenance& command)
{
    const auto wave = m_waves.find(command.wave);
    if (wave == m_waves.end() || !wave->second.hosts.contains(command.host))
    {
        return refuse(workload_code::bad_wave, "There is no such wave or host.");
    }
    std::uint8_t& phase = wave->second.hosts[command.host];
    phase = std::max(phase, command.phase);
    return {};
}

workload_result workload_state::handle(wall_ms at, const set_hall_cordon& command)
{
    if (!command.cordoned)
    {
        m_cordons.remove(command.hall);
        return {};
    }
    // Checked here and not only by the leader, so that two requests at once cannot cordon the last two halls.
    if (!m_cordons.contains(command.hall) && !m_cordons.leaves_any(command.halls, command.hall))
    {
        return refuse(workload_code::last_hall, "No other hall would accept work.");
    }
    m_cordons.add(command.hall, {at, command.requested_by});
    return {};
}

} // namespace walkthread
