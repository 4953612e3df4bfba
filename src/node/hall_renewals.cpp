// Lease renewals of workers: leases, status reports, and orders to start, stop and throttle runs.

#include <walkthread/node/hall_service.hpp>

#include <algorithm>

#include <walkthread/node/clock.hpp>

namespace walkthread
{

namespace
{
constexpr std::size_t max_reports_per_entry = 512;

bool ends_run(std::uint8_t event)
{
    const auto kind = static_cast<run_event>(event);
    return kind != run_event::started && kind != run_event::accepted;
}
} // namespace

void hall_service::handle_renewal(const renew_call& call, const reply_handler& handler)
{
    const monotonic_time now = monotonic_now();
    m_core.counters().renewals.Increment();
    if (!m_leader_state->leases.may_grant(call.worker))
    {
        handler(
            call_error_reply{{}, static_cast<int>(node_code::overloaded), "The worker's lease has expired."});
        return;
    }
    if (call.epoch.value() == 0)
    {
        register_new(call, handler);
        return;
    }
    const auto found = m_state.workers().find(call.worker);
    const bool current = found != m_state.workers().end() && found->second.epoch == call.epoch &&
                         found->second.state() != worker_phase::lost;
    if (!current)
    {
        renew_reply reply;
        reply.must_register = true;
        handler(std::move(reply));
        return;
    }
    process_statuses(found->second, call, now);
    renew_reply orders = orders_for(found->second, call.runs, now);
    if (has_orders(orders) || call.wait_ms <= 0)
    {
        m_leader_state->leases.granted(call.worker, now);
        handler(std::move(orders));
        return;
    }
    const auto deferred = m_deferred_renewals.find(call.worker);
    if (deferred != m_deferred_renewals.end())
    {
        deferred->second.handler(renew_reply{false, call.epoch, 0, {}, {}, {}, {}});
    }
    m_deferred_renewals[call.worker] = deferred_renewal{handler, now + milliseconds(call.wait_ms), call.runs};
}

void hall_service::register_new(const renew_call& call, const reply_handler& handler)
{
    m_deferred_renewals.erase(call.worker);
    const std::int64_t lease = m_core.config().timing.worker_lease.count();
    register_worker command = call.registration;
    command.unsent = withdraw_unsent(call.worker);
    propose(command,
            [this, handler, lease, command](bool committed, const hall_result& answer)
            {
                end_withdrawal(command.unsent);
                const monotonic_time now = monotonic_now();
                if (!committed || !m_leader_state || !m_core.leads(group_of(m_hall), now))
                {
                    handler(call_error_reply{
                        {}, static_cast<int>(node_code::not_leader), "The hall's leader has changed."});
                    return;
                }
                if (answer.code != 0)
                {
                    handler(call_error_reply{
                        {}, answer.code, "Another epoch of this worker may still hold a lease."});
                    return;
                }
                m_leader_state->leases.granted(command.worker, now);
                renew_reply reply;
                reply.epoch = answer.epoch;
                reply.lease_ms = lease;
                handler(std::move(reply));
            });
}

// ---------------------------------------------------------------------------------------------------------
// Status reports from workers
// ---------------------------------------------------------------------------------------------------------

void hall_service::process_statuses(const worker_record& worker, const renew_call& call, monotonic_time now)
{
    for (const run_status& status : call.runs)
    {
        process_status(worker, status, now);
    }
}

void hall_service::process_status(const worker_record& worker, const run_status& status, monotonic_time now)
{
    const auto found = m_state.jobs().find(status.run.task.job);
    if (found == m_state.jobs().end() || status.run.task.index >= found->second.tasks.size())
    {
        return;
    }
    const hall_job& job = found->second;
    const task_record& task = job.tasks[status.run.task.index];
    const bool is_current_run = task.on_host() && task.run == status.run.run && task.worker == worker.id;
    if (!is_current_run)
    {
        return;
    }
    const bool started = static_cast<run_event>(status.event) == run_event::started;
    const bool must_report = ends_run(status.event) || (started && task.state() == task_phase::placed);
    if (must_report && m_leader_state->reported.emplace(status.run, status.event).second)
    {
        m_leader_state->reports.push_back({status.run, {worker.id, worker.epoch}, status.event, status.port});
    }
    check_usage(status, job, now);
}

void hall_service::check_usage(const run_status& status, const hall_job& job, monotonic_time now)
{
    if (ends_run(status.event))
    {
        m_leader_state->usage.forget(status.run.task);
        m_leader_state->runs_to_throttle.erase(status.run);
        return;
    }
    const resources& declared = job.spec.values.size;
    const usage_action action =
        m_leader_state->usage.evaluate(status.run, declared, status.cpu, status.memory, now);
    if (action == usage_action::throttle)
    {
        m_leader_state->runs_to_throttle.insert(status.run);
    }
    if (action == usage_action::stop && !status.stopping)
    {
        const auto reason = static_cast<std::uint8_t>(stop_reason::overused);
        propose(stop_runs{{{status.run, reason}}}, [](bool, const hall_result&) {});
    }
}

void hall_service::flush_reports()
{
    while (!m_leader_state->reports.empty())
    {
        const std::size_t count = std::min(m_leader_state->reports.size(), max_reports_per_entry);
        const auto last = m_leader_state->reports.begin() + static_cast<std::ptrdiff_t>(count);
        report_runs entry{{m_leader_state->reports.begin(), last}};
        m_leader_state->reports.erase(m_leader_state->reports.begin(), last);
        propose(entry,
                [this, entry](bool, const hall_result&)
                {
                    for (const run_report& report : entry.reports)
                    {
                        if (m_leader_state)
                        {
                            m_leader_state->reported.erase({report.run, report.event});
                        }
                    }
                });
    }
}

// ---------------------------------------------------------------------------------------------------------
// Orders to workers
// ---------------------------------------------------------------------------------------------------------

bool hall_service::has_orders(const renew_reply& reply)
{
    return !reply.start.empty() || !reply.halt.empty() || !reply.throttle.empty() || !reply.forget.empty();
}

renew_reply hall_service::orders_for(const worker_record& worker, const std::vector<run_status>& runs,
                                     monotonic_time now)
{
    renew_reply reply;
    reply.epoch = worker.epoch;
    reply.lease_ms = m_core.config().timing.worker_lease.count();
    std::set<run_id> known_to_worker;
    std::set<run_id> stopping;
    for (const run_status& status : runs)
    {
        known_to_worker.insert(status.run);
        if (status.stopping)
        {
            stopping.insert(status.run);
        }
        answer_status(worker, status, reply);
    }
    for (const task_id& id : worker.tasks)
    {
        const run_id run{id, m_state.jobs().at(id.job).tasks[id.index].run};
        if (!stopping.contains(run))
        {
            add_order(id, known_to_worker.contains(run), now, reply);
        }
    }
    return reply;
}

// Adds the orders that follow from the reported status of a run.
void hall_service::answer_status(const worker_record& worker, const run_status& status,
                                 renew_reply& reply) const
{
    const auto job = m_state.jobs().find(status.run.task.job);
    const bool known = job != m_state.jobs().end() && status.run.task.index < job->second.tasks.size();
    const task_record* task = known ? &job->second.tasks[status.run.task.index] : nullptr;
    const bool is_current_run =
        task != nullptr && task->on_host() && task->run == status.run.run && task->worker == worker.id;
    if (ends_run(status.event))
    {
        if (!is_current_run)
        {
            reply.forget.push_back(status.run);
        }
    }
    else if (!is_current_run && !status.stopping)
    {
        reply.halt.push_back({status.run, false});
    }
    else if (!status.throttled && m_leader_state->runs_to_throttle.contains(status.run))
    {
        reply.throttle.push_back(status.run);
    }
}

// Adds the orders for a task that is placed on the worker.
void hall_service::add_order(const task_id& id, bool known_to_worker, monotonic_time now, renew_reply& reply)
{
    const hall_job& job = m_state.jobs().at(id.job);
    const task_record& task = job.tasks[id.index];
    const run_id run{id, task.run};
    if (task.state() == task_phase::stopping)
    {
        const std::optional<halt_order> order = halt_for(id, job, now);
        if (order)
        {
            reply.halt.push_back(*order);
        }
    }
    else if (task.state() == task_phase::placed && !known_to_worker &&
             !m_leader_state->withdrawn.contains(run))
    {
        m_leader_state->start_sent.insert(run);
        const auto& organisations = m_core.config().organisations;
        const std::string& organisation = organisations.at(job.spec.organisation.value() - 1U).name;
        reply.start.push_back({run, job.spec.name, organisation, job.spec.kind, job.spec.values.size,
                               job.spec.values.run_seconds, task.checkpointed});
    }
    else if (task.state() == task_phase::running && !known_to_worker)
    {
        reply.halt.push_back({run, false}); // the worker no longer knows the run and will report it as ended
    }
}

// A task of a service is stopped only after a grace period, in which gateways stop sending requests to it and
// requests in progress complete.
std::optional<halt_order> hall_service::halt_for(const task_id& id, const hall_job& job, monotonic_time now)
{
    const task_record& task = job.tasks[id.index];
    const run_id run{id, task.run};
    const bool service = job.spec.workload() == workload_kind::service;
    if (!service)
    {
        return halt_order{run, job.spec.repeatable &&
                                   task.reason != static_cast<std::uint8_t>(stop_reason::cancelled)};
    }
    const auto [seen, inserted] = m_leader_state->stop_first_seen.emplace(run, now);
    const timing_settings& timing = m_core.config().timing;
    const duration grace = timing.service_drain + timing.feed + timing.request;
    if (now - seen->second < grace)
    {
        return std::nullopt;
    }
    return halt_order{run, false};
}

void hall_service::answer_deferred(worker_id worker, monotonic_time now)
{
    const auto deferred = m_deferred_renewals.find(worker);
    if (deferred == m_deferred_renewals.end())
    {
        return;
    }
    const worker_record& record = m_state.workers().at(worker);
    renew_reply orders = orders_for(record, deferred->second.runs, now);
    const bool holds_lease = m_core.leads(group_of(m_hall), now) && m_leader_state->leases.may_grant(worker);
    const bool due = now >= deferred->second.until;
    if (!holds_lease || (!has_orders(orders) && !due))
    {
        return;
    }
    m_leader_state->leases.granted(worker, now);
    auto node = m_deferred_renewals.extract(deferred);
    node.mapped().handler(std::move(orders));
}

void hall_service::answer_due_renewals(monotonic_time now)
{
    std::vector<worker_id> due;
    for (const auto& [worker, deferred] : m_deferred_renewals)
    {
        if (now >= deferred.until)
        {
            due.push_back(worker);
        }
    }
    for (const worker_id worker : due)
    {
        answer_deferred(worker, now);
    }
    std::erase_if(m_leader_state->stop_first_seen,
                  [this](const auto& item)
                  {
                      const auto job = m_state.jobs().find(item.first.task.job);
                      return job == m_state.jobs().end() ||
                             job->second.tasks[item.first.task.index].state() != task_phase::stopping;
                  });
}

} // namespace walkthread
