// The hall's group and the periodic tasks of its leader. Communication with root is in hall_root.cpp, lease
// renewals are in hall_renewals.cpp, and events in hall_events.cpp.

#include <walkthread/node/hall_service.hpp>

#include <algorithm>

#include <walkthread/node/clock.hpp>
#include <walkthread/node/documents.hpp>
#include <walkthread/wire/codec.hpp>

namespace walkthread
{

namespace
{
constexpr double clock_drift = 0.05;
constexpr std::size_t max_placements_per_entry = 512;
constexpr std::size_t max_placed_kept = 20'000; // starts per minute at the design load of a cell
constexpr wall_ms initial_probe_delay = 60'000;
constexpr std::uint32_t max_probe_doublings = 6;
} // namespace

hall_service::leader_state::leader_state(const settings& config, scheduler_settings policy)
    : planner(std::move(policy)), leases(config.timing.worker_lease, clock_drift)
{
}

hall_service::hall_service(process_core& core, root_service& root, hall_id hall)
    : m_core(core), m_root(root), m_hall(hall), m_log(make_logger("hall " + std::to_string(hall.value()))),
      m_state(hall)
{
}

void hall_service::attach()
{
    state_machine_hooks hooks;
    hooks.apply = [this](wall_ms at, const std::string& command)
    {
        return apply(at, command);
    };
    hooks.save = [this]
    {
        return m_state.save();
    };
    hooks.load = [this](const std::string& bytes)
    {
        return m_state.load(bytes);
    };
    group_callbacks callbacks;
    callbacks.handle = [this](const call_body& body, const reply_handler& handler)
    {
        handle(body, handler);
    };
    callbacks.tick = [this](monotonic_time now, wall_ms wall)
    {
        tick(now, wall);
    };
    callbacks.applied = [this]
    {
        applied();
    };
    m_group = &m_core.add_group(group_of(m_hall), std::move(hooks), std::move(callbacks));
    m_root.on_change(
        [this]
        {
            if (m_leader_state)
            {
                m_leader_state->root_changed = true;
                m_leader_state->planner.set_grants(grants());
            }
        });
}

// ---------------------------------------------------------------------------------------------------------
// The state machine
// ---------------------------------------------------------------------------------------------------------

std::string hall_service::apply(wall_ms at, const std::string& bytes)
{
    auto command = decode<hall_command>(bytes);
    if (!ok(command))
    {
        hall_result refused;
        refused.code = static_cast<int>(state_code::malformed_command);
        return encode(refused);
    }
    if (m_leader_state)
    {
        record_events(at, value_of(command));
    }
    return encode(m_state.apply(at, value_of(command)));
}

void hall_service::applied()
{
    const hall_changes changes = m_state.take_changes();
    if (!m_leader_state)
    {
        return;
    }
    m_leader_state->planner.take(changes, m_state);
    const monotonic_time now = monotonic_now();
    for (const job_id id : changes.jobs)
    {
        const auto found = m_state.jobs().find(id);
        const bool service =
            found != m_state.jobs().end() && found->second.spec.workload() == workload_kind::service;
        if (service)
        {
            m_leader_state->service_revision[id] = ++m_leader_state->revision;
        }
    }
    if (changes.services != m_notified_services)
    {
        m_notified_services = changes.services;
        m_core.notify_peers(group_of(m_hall));
    }
    const std::set<worker_id> touched(changes.workers.begin(), changes.workers.end());
    for (const worker_id worker : touched)
    {
        answer_deferred(worker, now);
    }
    if (!changes.ended.empty())
    {
        m_leader_state->root_changed = true;
        report_ends(changes.ended);
    }
}

void hall_service::propose(const hall_command& command, std::function<void(bool, const hall_result&)> handler)
{
    const auto answered = [handler = std::move(handler)](const std::optional<std::string>& bytes)
    {
        auto answer = bytes ? decode<hall_result>(*bytes) : result<hall_result, wire_error>{wire_error{}};
        handler(ok(answer), ok(answer) ? value_of(answer) : hall_result{});
    };
    m_group->propose(wall_now(), encode(command), answered, monotonic_now());
}

// ---------------------------------------------------------------------------------------------------------
// Leadership
// ---------------------------------------------------------------------------------------------------------

void hall_service::tick(monotonic_time now, wall_ms wall)
{
    const bool holds_lease = m_core.leads(group_of(m_hall), now);
    const bool same_term = m_leader_state && m_leader_state->term == m_group->core().term();
    if (m_leader_state && (m_group->core().role() != replica_role::leader || !same_term))
    {
        stop_leading();
    }
    if (!holds_lease)
    {
        return;
    }
    if (!m_leader_state)
    {
        start_leading(now);
    }
    expire_leases(now);
    probe_quarantined(wall);
    flush_reports();
    reconcile_with_root();
    schedule_waiting_tasks(wall);
    answer_due_renewals(now);
    send_summary(now);
}

void hall_service::start_leading(monotonic_time now)
{
    m_leader_state = std::make_unique<leader_state>(m_core.config(), policy_settings());
    m_leader_state->term = m_group->core().term();
    m_leader_state->planner.reset(m_state);
    std::vector<worker_id> workers;
    for (const auto& [id, worker] : m_state.workers())
    {
        if (worker.state() != worker_phase::lost)
        {
            workers.push_back(id);
        }
    }
    m_leader_state->leases.reset(workers, now);
    for (const auto& [id, job] : m_state.jobs())
    {
        if (job.spec.workload() == workload_kind::service)
        {
            m_leader_state->service_revision[id] = m_leader_state->revision;
        }
    }
    m_log->info("Became leader with {} workers and {} jobs.", m_state.workers().size(),
                m_state.jobs().size());
}

void hall_service::stop_leading()
{
    m_leader_state.reset();
    for (auto& [worker, deferred] : std::exchange(m_deferred_renewals, {}))
    {
        deferred.handler(
            call_error_reply{{}, static_cast<int>(node_code::not_leader), "The hall's leader has changed."});
    }
    m_log->info("No longer the leader.");
}

scheduler_settings hall_service::policy_settings() const
{
    scheduler_settings policy;
    for (const organisation_settings& organisation : m_core.config().organisations)
    {
        policy.weights[organisation.id] = organisation.weight;
    }
    policy.grants = grants();
    return policy;
}

// A team's quota is divided evenly among the halls, so that each hall decides on its own and the sum never
// exceeds the quota.
std::map<team_id, resources> hall_service::grants() const
{
    std::map<team_id, resources> out;
    const auto halls = static_cast<std::int64_t>(m_core.config().halls.size());
    for (const auto& [key, team] : m_root.state().teams())
    {
        const auto accelerators = static_cast<std::int32_t>(team.quota.accelerators / halls);
        out[team.id] = resources{team.quota.cpu / halls, team.quota.memory / halls, accelerators, 0};
    }
    return out;
}

void hall_service::expire_leases(monotonic_time now)
{
    mark_workers_lost lost;
    for (const worker_id id : m_leader_state->leases.expire(now))
    {
        const auto found = m_state.workers().find(id);
        if (found != m_state.workers().end())
        {
            lost.workers.push_back({id, found->second.epoch});
            const std::vector<run_id> unsent = withdraw_unsent(id);
            lost.unsent.insert(lost.unsent.end(), unsent.begin(), unsent.end());
        }
    }
    if (lost.workers.empty())
    {
        return;
    }
    m_core.counters().workers_lost.Increment(static_cast<double>(lost.workers.size()));
    propose(lost,
            [this, lost](bool committed, const hall_result&)
            {
                end_withdrawal(lost.unsent);
                for (const worker_epoch& lost_worker : lost.workers)
                {
                    if (committed && m_leader_state)
                    {
                        m_leader_state->leases.forget(lost_worker.worker);
                    }
                }
            });
}

void hall_service::record_placed(const place_tasks& command)
{
    if (m_leader_state->placed.size() > max_placed_kept)
    {
        const auto no_longer_placed = [this](const run_id& run)
        {
            const auto job = m_state.jobs().find(run.task.job);
            const bool present = job != m_state.jobs().end() && run.task.index < job->second.tasks.size();
            return !present || job->second.tasks[run.task.index].run != run.run ||
                   job->second.tasks[run.task.index].state() != task_phase::placed;
        };
        std::erase_if(m_leader_state->placed, no_longer_placed);
        std::erase_if(m_leader_state->start_sent, no_longer_placed);
    }
    for (const placement& made : command.placements)
    {
        m_leader_state->placed.insert(made.run);
    }
}

// Returns runs that this leader placed on a worker without ever sending the start order, and prevents that it
// is sent later. Such runs certainly never started. Otherwise a job that is not repeatable would end with an
// unknown outcome if its worker's lease expired before the worker found the new leader.
std::vector<run_id> hall_service::withdraw_unsent(worker_id worker)
{
    std::vector<run_id> out;
    const auto found = m_state.workers().find(worker);
    if (found == m_state.workers().end())
    {
        return out;
    }
    for (const task_id& id : found->second.tasks)
    {
        const task_record& task = m_state.jobs().at(id.job).tasks[id.index];
        const run_id run{id, task.run};
        const bool unsent = m_leader_state->placed.contains(run) && !m_leader_state->start_sent.contains(run);
        if (task.state() == task_phase::placed && unsent)
        {
            out.push_back(run);
            m_leader_state->withdrawn.insert(run);
        }
    }
    return out;
}

void hall_service::end_withdrawal(const std::vector<run_id>& runs)
{
    for (const run_id& run : runs)
    {
        if (m_leader_state)
        {
            m_leader_state->withdrawn.erase(run);
        }
    }
}

void hall_service::probe_quarantined(wall_ms wall)
{
    probe_workers probe;
    for (const auto& [id, worker] : m_state.workers())
    {
        const std::uint32_t doublings = std::min(worker.quarantines, max_probe_doublings);
        const wall_ms wait = initial_probe_delay << (doublings > 0 ? doublings - 1 : 0);
        if (worker.state() == worker_phase::quarantined && wall - worker.phase_since >= wait)
        {
            probe.workers.push_back(id);
        }
    }
    if (!probe.workers.empty())
    {
        propose(probe, [](bool, const hall_result&) {});
    }
}

void hall_service::schedule_waiting_tasks(wall_ms wall)
{
    m_core.counters().tasks_waiting.Set(static_cast<double>(m_leader_state->planner.waiting()));
    if (m_leader_state->plan_in_flight || m_leader_state->planner.waiting() == 0)
    {
        return;
    }
    schedule plan = m_leader_state->planner.plan(m_state, wall, max_placements_per_entry);
    if (plan.empty())
    {
        return;
    }
    m_leader_state->plan_in_flight = true;
    m_core.counters().placements.Increment(static_cast<double>(plan.placements.size()));
    m_core.counters().preemptions.Increment(static_cast<double>(plan.stops.size()));
    if (!plan.stops.empty())
    {
        propose(stop_runs{std::move(plan.stops)}, [](bool, const hall_result&) {});
    }
    const term_id term = m_leader_state->term;
    const place_tasks command{std::move(plan.placements)};
    propose(command,
            [this, term, command](bool committed, const hall_result& answer)
            {
                if (!m_leader_state || m_leader_state->term != term)
                {
                    return;
                }
                m_leader_state->plan_in_flight = false;
                if (committed && answer.applied == command.placements.size())
                {
                    record_placed(command);
                }
                if (!committed)
                {
                    m_leader_state->planner.reset(m_state);
                }
            });
}

// ---------------------------------------------------------------------------------------------------------
// Calls
// ---------------------------------------------------------------------------------------------------------

void hall_service::handle(const call_body& body, const reply_handler& handler)
{
    if (!m_leader_state)
    {
        handler(call_error_reply{
            {}, static_cast<int>(node_code::not_leader), "The leader of the hall is not ready yet."});
        return;
    }
    if (const auto* renewal = std::get_if<renew_call>(&body))
    {
        handle_renewal(*renewal, handler);
    }
    else if (const auto* endpoints = std::get_if<endpoints_call>(&body))
    {
        handle_endpoints(*endpoints, handler);
    }
    else if (const auto* query = std::get_if<query_call>(&body))
    {
        const std::optional<wait_reason> reason = m_leader_state->planner.reason_of(query->job);
        handler(document_reply{hall_document(*query, m_state, reason, m_group->core())});
    }
    else if (const auto* call = std::get_if<hall_call>(&body))
    {
        auto command = decode<hall_command>(call->command);
        if (!ok(command))
        {
            handler(call_error_reply{{}, error_of(command).number(), error_of(command).detail});
            return;
        }
        propose(value_of(command),
                [handler](bool committed, const hall_result& answer)
                {
                    committed
                        ? handler(hall_reply{answer})
                        : handler(call_error_reply{
                              {}, static_cast<int>(node_code::not_leader), "The command was not committed."});
                });
    }
    else
    {
        handler(call_error_reply{
            {}, static_cast<int>(node_code::bad_request), "A hall does not handle this kind of call."});
    }
}

service_endpoints hall_service::endpoints_of(const hall_job& job) const
{
    service_endpoints out{job.spec.organisation, job.spec.name, job.spec.id, {}};
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i)
    {
        const task_record& task = job.tasks[i];
        if (task.state() != task_phase::running || task.port == 0)
        {
            continue;
        }
        const worker_record& worker = m_state.workers().at(task.worker);
        if (!worker.draining)
        {
            out.endpoints.push_back(
                {run_id{task_id{job.spec.id, i}, task.run}, task.worker, worker.address, task.port});
        }
    }
    return out;
}

void hall_service::handle_endpoints(const endpoints_call& call, const reply_handler& handler)
{
    endpoints_reply reply;
    reply.term = m_leader_state->term;
    reply.revision = m_leader_state->revision;
    reply.is_full = call.term != m_leader_state->term;
    const std::uint64_t known = reply.is_full ? 0 : call.revision;
    for (const auto& [id, revision] : m_leader_state->service_revision)
    {
        const auto job = m_state.jobs().find(id);
        if (revision <= known)
        {
            continue;
        }
        if (job != m_state.jobs().end())
        {
            reply.services.push_back(endpoints_of(job->second));
        }
    }
    handler(std::move(reply));
}

void hall_service::apply_platform_list(const std::set<worker_id>& live, const std::set<worker_id>& leaving)
{
    if (!m_leader_state)
    {
        return;
    }
    drain_workers drain{{}, true};
    drain_workers undrain{{}, false};
    for (const auto& [id, worker] : m_state.workers())
    {
        std::set<worker_id>& drained = m_leader_state->platform_drained;
        if (leaving.contains(id) && !worker.draining && drained.insert(id).second)
        {
            drain.workers.push_back(id);
        }
        else if (live.contains(id) && worker.draining && drained.erase(id) > 0)
        {
            undrain.workers.push_back(id);
        }
    }
    for (const drain_workers& change : {drain, undrain})
    {
        if (!change.workers.empty())
        {
            propose(change, [](bool, const hall_result&) {});
        }
    }
}

} // namespace walkthread
