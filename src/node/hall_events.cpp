// Timeline events and metrics of a hall, written by its leader.

#include <walkthread/node/hall_service.hpp>

#include <walkthread/node/clock.hpp>

namespace walkthread
{

namespace
{
constexpr double ms_per_second = 1000.0;

const char* display_name(run_event event)
{
    switch (event)
    {
    case run_event::started:
        return "started";
    case run_event::completed:
        return "completed";
    case run_event::failed:
        return "failed";
    case run_event::stopped:
        return "stopped";
    case run_event::checkpointed:
        return "stopped at a checkpoint";
    case run_event::accepted:
        return "accepted";
    }
    return "?";
}
} // namespace

void hall_service::add_event(event_kind kind, const hall_job* job, worker_id worker, std::string text)
{
    timeline_event event;
    event.kind = static_cast<std::uint8_t>(kind);
    event.organisation = job == nullptr ? organisation_id{} : job->spec.organisation;
    event.job = job == nullptr ? job_id{} : job->spec.id;
    event.worker = worker;
    event.text = std::move(text);
    m_core.events().add(std::move(event), wall_now());
}

void hall_service::record_events(wall_ms at, const hall_command& command)
{
    if (const auto* placed = std::get_if<place_tasks>(&command))
    {
        record_placements(*placed);
    }
    else if (const auto* reports = std::get_if<report_runs>(&command))
    {
        record_reports(at, *reports);
    }
    else if (const auto* lost = std::get_if<mark_workers_lost>(&command))
    {
        for (const worker_epoch& lost_worker : lost->workers)
        {
            m_log->warn("Worker {} is lost: its lease expired.", lost_worker.worker.value());
            add_event(event_kind::worker_lost, nullptr, lost_worker.worker, "Its lease expired.");
        }
    }
    else if (const auto* registration = std::get_if<register_worker>(&command))
    {
        add_event(event_kind::worker_registered, nullptr, registration->worker, registration->address);
    }
    else if (const auto* drained = std::get_if<drain_workers>(&command))
    {
        for (const worker_id worker : drained->workers)
        {
            add_event(event_kind::worker_draining, nullptr, worker, drained->draining ? "Leaving." : "Back.");
        }
    }
    else if (const auto* cordon = std::get_if<cordon_hall>(&command))
    {
        if (cordon->cordoned != m_state.cordon().has_value())
        {
            m_log->info("Hall {} is {}, at the request of {}.", m_hall.value(),
                        cordon->cordoned ? "cordoned" : "no longer cordoned", cordon->requested_by);
            add_event(cordon->cordoned ? event_kind::hall_cordoned : event_kind::hall_uncordoned, nullptr,
                      worker_id{}, "Requested by " + cordon->requested_by + '.');
        }
    }
    else if (const auto* admitted = std::get_if<admit_jobs>(&command))
    {
        for (const job_spec& spec : admitted->jobs)
        {
            hall_job job;
            job.spec = spec;
            add_event(event_kind::job_admitted, &job, {}, spec.name);
        }
    }
    else if (const auto* stopped = std::get_if<stop_runs>(&command))
    {
        for (const stop_request& order : stopped->orders)
        {
            const auto job = m_state.jobs().find(order.run.task.job);
            if (job != m_state.jobs().end())
            {
                add_event(event_kind::task_stopping, &job->second, {}, to_string(order.run));
            }
        }
    }
}

void hall_service::record_placements(const place_tasks& command)
{
    for (const placement& p : command.placements)
    {
        const auto job = m_state.jobs().find(p.run.task.job);
        if (job != m_state.jobs().end())
        {
            add_event(event_kind::task_placed, &job->second, p.worker, to_string(p.run));
        }
    }
}

void hall_service::record_reports(wall_ms at, const report_runs& command)
{
    for (const run_report& report : command.reports)
    {
        const auto job = m_state.jobs().find(report.run.task.job);
        if (job == m_state.jobs().end())
        {
            continue;
        }
        const auto event = static_cast<run_event>(report.event);
        const bool started = event == run_event::started;
        add_event(started ? event_kind::task_started : event_kind::task_ended, &job->second,
                  report.from.worker, to_string(report.run) + ' ' + display_name(event));
        if (started)
        {
            const double waited = static_cast<double>(at - job->second.spec.submitted) / ms_per_second;
            m_core.counters().observe_start_wait(to_string(job->second.spec.workload()), waited);
        }
    }
}

} // namespace walkthread
