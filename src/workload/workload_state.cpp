#include <walkthread/workload/workload_state.hpp>

#include <algorithm>
#include <utility>

#include <walkthread/wire/codec.hpp>

namespace walkthread
{

namespace
{
constexpr std::uint32_t max_steps = 64;    // far above what callers send; bounds one entry's size
constexpr std::uint32_t max_tasks = 4096;  // the same, for one submission and round
constexpr std::uint32_t max_rounds = 1000; // the same
constexpr std::size_t max_former_lives =
    1000; // a late report comes within seconds; a restart wave is hundreds
constexpr std::size_t max_open_submissions = 20'000; // bounds memory: about 1 KB each

workload_result refuse(workload_code code, std::string detail)
{
    return {static_cast<std::int32_t>(code), std::move(detail)};
}

bool step_done(const step_progress& progress)
{
    return progress.completed == progress.tasks.size();
}
} // namespace

resources room_of(const step_spec& step)
{
    resources room = step.size;
    room.slots = 0;
    if (step.fills)
    {
        room.cpu = 0;
    }
    return room;
}

bool upkeep_wave::complete() const
{
    return std::all_of(hosts.begin(), hosts.end(),
                       [](const auto& item)
                       {
                           return item.second == static_cast<std::uint8_t>(upkeep_phase::finished);
                       });
}

std::string find_fault(const submission_spec& spec)
{
    if (spec.steps.empty() || spec.steps.size() > max_steps)
    {
        return "A submission has between 1 and " + std::to_string(max_steps) + " steps.";
    }
    std::uint64_t tasks = 0;
    for (std::uint32_t i = 0; i < spec.steps.size(); ++i)
    {
        const step_spec& step = spec.steps[i];
        const std::string name = "Step " + std::to_string(i);
        tasks += step.count;
        if (step.count == 0 || tasks > max_tasks)
        {
            return name + ": a step has at least one task, all steps at most " + std::to_string(max_tasks) +
                   '.';
        }
        if (step.size.cpu < 0 || step.size.memory < 0 || step.size.accelerators < 0 || step.estimate_ms < 0)
        {
            return name + ": a size or an estimate is negative.";
        }
        for (const std::uint32_t earlier : step.after)
        {
            if (earlier >= i)
            {
                return name + ": it may only depend on earlier steps.";
            }
        }
    }
    if (spec.rounds == 0 || spec.rounds > max_rounds || spec.period_ms < 0)
    {
        return "The number of rounds or their period is out of range.";
    }
    return {};
}

// ---------------------------------------------------------------------------------------------------------
// Reading
// ---------------------------------------------------------------------------------------------------------

const submission* workload_state::find(submission_id id) const
{
    const auto found = m_submissions.find(id);
    return found == m_submissions.end() ? nullptr : &found->second;
}

const worker_life* workload_state::find(worker_life_id id) const
{
    const auto found = m_workers.find(id);
    return found == m_workers.end() ? nullptr : &found->second;
}

const worker_life* workload_state::find_life(const std::string& life) const
{
    const auto found = m_by_life.find(life);
    return found == m_by_life.end() ? nullptr : find(found->second);
}

const work_task* workload_state::find(const task_ref& ref) const
{
    const submission* owner = find(ref.step.submission);
    if (owner == nullptr || ref.step.round.value() >= owner->rounds.size())
    {
        return nullptr;
    }
    const round_progress& round = owner->rounds[ref.step.round.value()];
    if (ref.step.step >= round.steps.size() || ref.index >= round.steps[ref.step.step].tasks.size())
    {
        return nullptr;
    }
    return &round.steps[ref.step.step].tasks[ref.index];
}

const step_spec* workload_state::find(const step_ref& ref) const
{
    const submission* owner = find(ref.submission);
    return owner == nullptr || ref.step >= owner->spec.steps.size() ? nullptr : &owner->spec.steps[ref.step];
}

work_task* workload_state::task_of(const task_ref& ref)
{
    return const_cast<work_task*>(std::as_const(*this).find(ref));
}

std::uint32_t workload_state::queued(const std::string& queue) const
{
    const auto found = m_queued.find(queue);
    return found == m_queued.end() ? 0 : found->second;
}

bool workload_state::wants(const run_ref& run) const
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
    for (const submission_id id : std::exchange(m_over, {}))
    {
        const auto found = m_submissions.find(id);
        if (found != m_submissions.end())
        {
            drop_details(found->second);
        }
    }
    return outcome;
}

workload_result workload_state::handle(wall_ms /*at*/, const replace_catalogue& command)
{
    if (auto fault = find_fault(command.next))
    {
        return refuse(workload_code::bad_catalogue, *fault);
    }
    if (!m_catalogue || command.next.version > m_catalogue->version)
    {
        m_catalogue = command.next;
    }
    return {};
}

workload_result workload_state::handle(wall_ms at, const keep_submission& command)
{
    const submission* known = find(command.id);
    if (known != nullptr)
    {
        return known->queue == command.queue
                   ? workload_result{}
                   : refuse(workload_code::id_in_use, "Another queue's submission has this id.");
    }
    const queue_spec* queue = m_catalogue ? find_queue_by_name(*m_catalogue, command.queue) : nullptr;
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
        return refuse(workload_code::too_many, "Too many submissions wait.");
    }
    submission kept;
    kept.id = command.id;
    kept.queue = command.queue;
    kept.pool = queue->pool;
    kept.max_attempts = queue->max_attempts;
    kept.spec = command.spec;
    kept.accepted = at;
    kept.rounds.resize(command.spec.rounds);
    for (round_progress& round : kept.rounds)
    {
        for (const step_spec& step : command.spec.steps)
        {
            round.steps.emplace_back().tasks.resize(step.count);
        }
    }
    ++m_queued[kept.queue];
    const submission& owner = m_submissions.emplace(command.id, std::move(kept)).first->second;
    for (std::uint32_t round = 0; round < owner.spec.rounds; ++round)
    {
        refresh_round(owner, round_id{round});
    }
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

workload_result workload_state::handle(wall_ms at, const admit_worker& command)
{
    const auto known = m_by_life.find(command.facts.life);
    if (known != m_by_life.end())
    {
        m_workers[known->second].facts = command.facts;
        return {};
    }
    if (std::find(m_former.begin(), m_former.end(), command.facts.life) != m_former.end())
    {
        return refuse(workload_code::former_worker, "This life of the worker is over.");
    }
    const auto before = m_by_host.find(command.facts.host);
    if (before != m_by_host.end())
    {
        retire(m_workers[before->second].facts.life);
        drop(at, before->second);
    }
    finish_upkeep(command.facts.host);
    ++m_workers_version;
    const worker_life_id id{m_next_worker++};
    worker_life& worker = m_workers[id];
    worker.id = id;
    worker.facts = command.facts;
    m_by_life[command.facts.life] = id;
    m_by_host[command.facts.host] = id;
    return {};
}

void workload_state::retire(const std::string& life)
{
    m_former.push_back(life);
    if (m_former.size() > max_former_lives)
    {
        m_former.erase(m_former.begin());
    }
}

// A new life after the platform took the order: the host is through.
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
    if (worker != nullptr && command.for_good)
    {
        retire(worker->facts.life);
    }
    drop(at, command.worker);
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
        take_end(at, found->second, end);
    }
    found->second.listed_up_to = std::max(found->second.listed_up_to, command.listed_up_to);
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
            m_submissions.erase(found);
        }
    }
    return {};
}

workload_result workload_state::handle(wall_ms at, const begin_wave& command)
{
    if (command.hosts.empty() || command.at_once == 0)
    {
        return refuse(workload_code::bad_wave, "A wave names at least one host and a limit above 0.");
    }
    if (m_waves.contains(command.wave))
    {
        return {};
    }
    upkeep_wave& wave = m_waves[command.wave];
    wave.wave = command.wave;
    wave.asked = at;
    wave.within_s = command.within_s;
    wave.at_once = command.at_once;
    for (const std::string& host : command.hosts)
    {
        wave.hosts[host] = static_cast<std::uint8_t>(upkeep_phase::waiting);
    }
    return {};
}

workload_result workload_state::handle(wall_ms /*at*/, const advance_upkeep& command)
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

// ---------------------------------------------------------------------------------------------------------
// Starts and ends
// ---------------------------------------------------------------------------------------------------------

bool workload_state::can_start(const planned_start& planned) const
{
    const submission* owner = find(planned.task.step.submission);
    const work_task* task = find(planned.task);
    const worker_life* worker = find(planned.worker);
    if (owner == nullptr || task == nullptr || worker == nullptr || owner->final())
    {
        return false;
    }
    const resources room = room_of(owner->spec.steps[planned.task.step.step]);
    const bool fresh = task->state() == work_phase::waiting && planned.run > task->run;
    return fresh && fits(worker->used + room, worker->facts.size);
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
    worker_life& worker = m_workers[planned.worker];
    const resources room = room_of(owner.spec.steps[planned.task.step.step]);
    worker.occupied.emplace(run_ref{planned.task, planned.run}, room);
    worker.used += room;
    if (owner.state() == submission_phase::queued)
    {
        set_phase(owner, submission_phase::running);
    }
    refresh_ready(owner, planned.task.step.round, planned.task.step.step);
    return true;
}

void workload_state::start_all_or_none(const record_starts& command)
{
    std::map<worker_life_id, resources> sums;
    for (const planned_start& planned : command.starts)
    {
        const worker_life* worker = find(planned.worker);
        if (!can_start(planned) || worker == nullptr)
        {
            return;
        }
        resources& sum = sums[planned.worker];
        sum += room_of(find(planned.task.step.submission)->spec.steps[planned.task.step.step]);
        if (!fits(worker->used + sum, worker->facts.size))
        {
            return;
        }
    }
    for (const planned_start& planned : command.starts)
    {
        start(planned);
    }
}

void workload_state::release(worker_life& worker, const run_ref& run)
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
    --owner->second.active;
    if (owner->second.active == 0 && owner->second.final())
    {
        m_closing.erase(owner->first);
        drop_details(owner->second);
    }
}

// Of a submission that is over only its outcome is asked for: the rest would be most of the state.
void workload_state::drop_details(submission& owner)
{
    owner.spec = submission_spec{};
    owner.rounds = {};
}

void workload_state::take_end(wall_ms at, worker_life& worker, const observed_end& end)
{
    const auto how = static_cast<run_end>(end.how);
    const bool known = worker.occupied.contains(end.run);
    release(worker, end.run); // of a final submission this may drop the details
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
    if (how == run_end::completed && step.gang && !step.lasting)
    {
        complete_gang(at, owner, end.run);
        return;
    }
    if (task->state() != work_phase::active || task->run != end.run.run)
    {
        return;
    }
    task->phase = static_cast<std::uint8_t>(work_phase::waiting);
    if (how == run_end::completed && !step.lasting)
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
    ++step.completed;
    if (!step_done(step))
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

void workload_state::fail_task(wall_ms at, submission& owner, const run_ref& run, worker_life_id worker)
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
    if (!spec.lasting && failures >= owner.max_attempts)
    {
        finish(at, owner, submission_phase::failed);
    }
}

void workload_state::drop(wall_ms at, worker_life_id id)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end())
    {
        return;
    }
    ++m_workers_version;
    const auto occupied = found->second.occupied;
    for (const auto& [run, room] : occupied)
    {
        take_end(at, found->second, observed_end{run, static_cast<std::uint8_t>(run_end::lapsed), {}});
    }
    m_by_life.erase(found->second.facts.life);
    const auto by_host = m_by_host.find(found->second.facts.host);
    if (by_host != m_by_host.end() && by_host->second == id)
    {
        m_by_host.erase(by_host);
    }
    m_workers.erase(found);
}

// ---------------------------------------------------------------------------------------------------------
// Phases and indexes
// ---------------------------------------------------------------------------------------------------------

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
    owner.ended = at;
    m_ended.insert({at, owner.id});
    if (owner.active > 0)
    {
        m_closing.insert(owner.id);
    }
    else
    {
        m_over.push_back(owner.id); // its details may be in use by who called this
    }
    m_ready.erase(m_ready.lower_bound(step_ref{owner.id, round_id{0}, 0}),
                  m_ready.upper_bound(step_ref{owner.id, round_id{UINT32_MAX}, UINT32_MAX}));
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
                                      return step_done(progress.steps[earlier]);
                                  });
    const step_ref ref{owner.id, round, step};
    if (waits && free && !owner.final())
    {
        m_ready.insert(ref);
    }
    else
    {
        m_ready.erase(ref);
    }
}

void workload_state::refresh_round(const submission& owner, round_id round)
{
    for (std::uint32_t step = 0; step < owner.spec.steps.size(); ++step)
    {
        refresh_ready(owner, round, step);
    }
}

void workload_state::rebuild_indexes()
{
    ++m_workers_version;
    m_by_life.clear();
    m_by_host.clear();
    m_ready.clear();
    m_closing.clear();
    m_ended.clear();
    m_queued.clear();
    for (const auto& [id, worker] : m_workers)
    {
        m_by_life[worker.facts.life] = id;
        m_by_host[worker.facts.host] = id;
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
        for (std::uint32_t round = 0; round < owner.rounds.size(); ++round)
        {
            refresh_round(owner, round_id{round});
        }
    }
}

std::string workload_state::save() const
{
    image out;
    out.held = m_catalogue;
    out.next_worker = m_next_worker;
    out.former = m_former;
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
    auto decoded = decode<image>(bytes);
    if (!ok(decoded))
    {
        return false;
    }
    image& in = value_of(decoded);
    m_catalogue = std::move(in.held);
    m_next_worker = in.next_worker;
    m_former = std::move(in.former);
    m_submissions.clear();
    m_workers.clear();
    m_waves.clear();
    for (submission& owner : in.submissions)
    {
        const submission_id id = owner.id;
        m_submissions.emplace(id, std::move(owner));
    }
    for (worker_life& worker : in.workers)
    {
        const worker_life_id id = worker.id;
        m_workers.emplace(id, std::move(worker));
    }
    for (upkeep_wave& wave : in.waves)
    {
        const std::uint64_t number = wave.wave;
        m_waves.emplace(number, std::move(wave));
    }
    rebuild_indexes();
    return true;
}

} // namespace walkthread
