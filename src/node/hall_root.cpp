// Communication of a hall's leader with root: admits jobs, reports ended jobs, and reports the hall's load.

#include <walkthread/node/hall_service.hpp>

#include <algorithm>

#include <walkthread/wire/codec.hpp>

namespace walkthread
{

namespace
{
constexpr std::size_t max_jobs_per_entry = 256;
constexpr milliseconds summary_interval{1000};
constexpr milliseconds report_timeout{2000};
} // namespace

void hall_service::reconcile_with_root()
{
    const bool stale = m_root.applied() < m_state.applied_root_index();
    if (!m_leader_state->root_changed || m_leader_state->reconcile_in_flight || stale)
    {
        return;
    }
    m_leader_state->root_changed = false;
    admit_jobs admit{m_root.applied(), {}};
    cancel_hall_jobs cancel;
    forget_jobs forget{m_root.applied(), {}};
    finish_jobs never_started;
    const auto& root_jobs = m_root.state().jobs();
    for (const auto& [id, job] : root_jobs)
    {
        const auto& ended = job.ended_halls;
        const bool ended_here = std::find(ended.begin(), ended.end(), m_hall) != ended.end();
        if (job.spec.tasks_in(m_hall) == 0 || ended_here || m_state.jobs().contains(id))
        {
            continue;
        }
        if (job.cancelled)
        {
            never_started.ends.push_back({id, m_hall, static_cast<std::uint8_t>(job_outcome::cancelled)});
        }
        else if (admit.jobs.size() < max_jobs_per_entry)
        {
            admit.jobs.push_back(job.spec);
        }
        else
        {
            m_leader_state->root_changed = true;
        }
    }
    std::vector<job_id> to_report;
    for (const auto& [id, job] : m_state.jobs())
    {
        const auto found = root_jobs.find(id);
        const bool withdrawn = found == root_jobs.end() || found->second.cancelled;
        if (job.finished())
        {
            found == root_jobs.end() ? forget.jobs.push_back(id) : to_report.push_back(id);
        }
        else if (withdrawn && !job.cancelled)
        {
            cancel.jobs.push_back(id);
        }
    }
    const auto on_admitted = [this](bool, const hall_result&)
    {
        if (m_leader_state)
        {
            m_leader_state->reconcile_in_flight = false;
        }
    };
    if (!cancel.jobs.empty())
    {
        propose(cancel, [](bool, const hall_result&) {});
    }
    if (!forget.jobs.empty())
    {
        propose(forget, [](bool, const hall_result&) {});
    }
    if (!admit.jobs.empty())
    {
        m_leader_state->reconcile_in_flight = true;
        propose(admit, on_admitted);
    }
    if (!never_started.ends.empty())
    {
        m_core.call(root_group, root_call{encode(root_command{never_started})}, report_timeout,
                    [](const reply_body&) {});
    }
    report_ends(to_report);
}

void hall_service::report_ends(const std::vector<job_id>& ended)
{
    finish_jobs finish;
    for (const job_id id : ended)
    {
        const auto found = m_state.jobs().find(id);
        if (found != m_state.jobs().end() && found->second.finished())
        {
            finish.ends.push_back({id, m_hall, found->second.outcome});
        }
    }
    if (finish.ends.empty())
    {
        return;
    }
    m_core.call(root_group, root_call{encode(root_command{finish})}, report_timeout,
                [this](const reply_body& reply)
                {
                    if (m_leader_state && !std::holds_alternative<root_reply>(reply))
                    {
                        m_leader_state->root_changed = true; // reported again by the next reconciliation
                    }
                });
}

void hall_service::send_summary(monotonic_time now)
{
    if (now < m_leader_state->next_summary)
    {
        return;
    }
    m_leader_state->next_summary = now + summary_interval;
    hall_summary_call summary;
    summary.hall = m_hall;
    summary.capacity = m_state.capacity();
    for (const auto& [id, worker] : m_state.workers())
    {
        const bool usable = worker.state() != worker_phase::lost;
        summary.reserved += worker.reserved;
        summary.largest.cpu = std::max(summary.largest.cpu, usable ? worker.size.cpu : 0);
        summary.largest.memory = std::max(summary.largest.memory, usable ? worker.size.memory : 0);
        summary.largest.accelerators =
            std::max(summary.largest.accelerators, usable ? worker.size.accelerators : 0);
        summary.largest.slots = std::max(summary.largest.slots, usable ? worker.size.slots : 0);
    }
    summary.cordoned = m_state.cordon().has_value();
    summary.waiting = static_cast<std::uint32_t>(m_leader_state->planner.waiting());
    m_core.call(root_group, summary, summary_interval, [](const reply_body&) {});
}

} // namespace walkthread
