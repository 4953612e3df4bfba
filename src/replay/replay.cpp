#include <walkthread/replay/replay.hpp>

#include <algorithm>
#include <limits>
#include <memory>
#include <queue>
#include <random>
#include <set>

namespace walkthread
{

namespace
{
constexpr wall_ms plan_interval = 20;           // the daemon's tick
constexpr wall_ms start_delay = 50;             // from placement to the worker's report
constexpr wall_ms stop_delay = 500;             // from a stop order to the worker's report
constexpr wall_ms failure_delay = 2'000;        // run time of a task on a failing worker
constexpr wall_ms lease_expiry_delay = 33'000;  // the default lease plus its clock drift bound
constexpr wall_ms initial_probe_delay = 60'000; // the daemon's delay before the first probe
constexpr wall_ms sample_interval = 1'000;      // for packing and share metrics
constexpr std::size_t placements_per_plan = 512;
constexpr double ms_per_second = 1000.0;
constexpr double ms_per_hour = 3.6e6;

/// An event that the replay generates, as opposed to one from the trace.
struct simulation_event
{
    enum class kind : std::uint8_t
    {
        started,
        ended,
        stopped,
        lost,
        probe
    };
    wall_ms at{};
    std::uint64_t order{};
    kind what{};
    run_id run{};
    worker_epoch from{};
    run_event event{};

    friend bool operator>(const simulation_event& a, const simulation_event& b)
    {
        return std::pair(a.at, a.order) > std::pair(b.at, b.order);
    }
};

struct task_progress
{
    wall_ms first_start = -1;
    wall_ms left = -1; ///< remaining run time after the last checkpoint
};

class replayer
{
  public:
    replayer(const trace& recorded, std::string policy, scheduler_settings settings)
        : m_trace(recorded), m_state(hall_id{1}), m_scheduler(with_weights(std::move(settings))), m_by_name(),
          m_policy(std::move(policy))
    {
    }

    replay_report run()
    {
        std::size_t next = 0;
        wall_ms now = 0;
        while (now <= m_trace.end)
        {
            while (next < m_trace.events.size() && m_trace.events[next].at <= now)
            {
                const timed_event& event = m_trace.events[next++];
                std::visit(
                    [&](const auto& e)
                    {
                        take(e, event.at);
                    },
                    event.event);
            }
            process_due_events(now);
            plan(now);
            sample(now);
            now = next_time(now, next);
        }
        return report();
    }

  private:
    static scheduler_settings with_weights(scheduler_settings settings)
    {
        settings.weights = {{organisation_id{1}, 1.0}, {organisation_id{2}, 1.0}};
        return settings;
    }

    hall_result apply(wall_ms now, const hall_command& command)
    {
        return m_state.apply(now, command);
    }

    void schedule_event(wall_ms at, simulation_event::kind what, const run_id& run, const worker_epoch& from,
                        run_event event)
    {
        m_pending_events.push(simulation_event{at, ++m_order, what, run, from, event});
    }

    // Events of the trace
    // ------------------------------------------------------------------------------------

    void take(const trace_workers& workers, wall_ms now)
    {
        for (std::uint32_t i = 0; i < workers.count; ++i)
        {
            const worker_id id{++m_workers};
            const rack_id rack{(id.value() - 1) / workers.rack_size};
            apply(now, register_worker{id, rack, "10.0.0.1", 80, workers.size, {}});
        }
    }

    void take(const trace_job& job, wall_ms now)
    {
        job_spec spec;
        spec.id = job_id{++m_jobs};
        spec.organisation = job.organisation;
        spec.from = template_id{job.from};
        spec.name = job.name;
        spec.kind = static_cast<std::uint8_t>(job.kind);
        spec.repeatable = job.repeatable;
        spec.values = parameters{job.size, job.tasks, job.urgency, job.declared_s, {}};
        spec.parts = {{hall_id{1}, job.tasks}};
        spec.submitted = now;
        m_actual_ms[spec.id] =
            job.actual_s > 0 ? job.actual_s * 1000 : std::numeric_limits<wall_ms>::max() / 4;
        m_task_progress[spec.id].resize(job.tasks);
        m_by_name[job.name].push_back(spec.id);
        apply(now, admit_jobs{log_index{0}, {std::move(spec)}});
    }

    void take(const trace_cancel& cancel, wall_ms now)
    {
        apply(now, cancel_hall_jobs{m_by_name[cancel.name]});
        stop_all(now);
    }

    void take(const trace_worker_loss& lost, wall_ms now)
    {
        for (std::uint32_t id = lost.first; id <= lost.last; ++id)
        {
            const worker_id worker{id};
            m_lost_workers.insert(worker);
            schedule_event(now + lease_expiry_delay, simulation_event::kind::lost, {},
                           {worker, m_state.workers().at(worker).epoch}, {});
        }
    }

    void take(const trace_worker_failures& failing, wall_ms)
    {
        for (std::uint32_t id = failing.first; id <= failing.last; ++id)
        {
            m_failing.insert(worker_id{id});
        }
    }

    // Simulated workers
    // ----------------------------------------------------------------------------------------

    void process_due_events(wall_ms now)
    {
        while (!m_pending_events.empty() && m_pending_events.top().at <= now)
        {
            const simulation_event s = m_pending_events.top();
            m_pending_events.pop();
            handle(s);
        }
    }

    void handle(const simulation_event& s)
    {
        if (s.what == simulation_event::kind::lost)
        {
            count_lost_work(s.from.worker, s.at);
            apply(s.at, mark_workers_lost{{s.from}});
            return;
        }
        if (s.what == simulation_event::kind::probe)
        {
            apply(s.at, probe_workers{{s.from.worker}});
            return;
        }
        if (m_lost_workers.contains(s.from.worker) || !is_current_run(s))
        {
            return;
        }
        if (s.what == simulation_event::kind::started)
        {
            on_run_started(s);
        }
        if (s.what == simulation_event::kind::stopped)
        {
            on_run_stopped(s);
        }
        m_failed_runs += s.event == run_event::failed ? 1 : 0;
        apply(s.at, report_runs{{{s.run, s.from, static_cast<std::uint8_t>(s.event), 0}}});
    }

    bool is_current_run(const simulation_event& s) const
    {
        const auto job = m_state.jobs().find(s.run.task.job);
        if (job == m_state.jobs().end())
        {
            return false;
        }
        const task_record& task = job->second.tasks[s.run.task.index];
        return task.on_host() && task.run == s.run.run;
    }

    void on_run_started(const simulation_event& s)
    {
        task_progress& progress = m_task_progress[s.run.task.job][s.run.task.index];
        progress.first_start = progress.first_start < 0 ? s.at : progress.first_start;
        progress.left = progress.left < 0 ? m_actual_ms[s.run.task.job] : progress.left;
        if (m_failing.contains(s.from.worker))
        {
            schedule_event(s.at + failure_delay, simulation_event::kind::ended, s.run, s.from,
                           run_event::failed);
        }
        else
        {
            schedule_event(s.at + progress.left, simulation_event::kind::ended, s.run, s.from,
                           run_event::completed);
        }
    }

    // A checkpoint preserves the completed work; a stop without one loses it.
    void on_run_stopped(const simulation_event& s)
    {
        const hall_job& job = m_state.jobs().at(s.run.task.job);
        const task_record& task = job.tasks[s.run.task.index];
        const wall_ms done = std::max<wall_ms>(s.at - task.since, 0);
        task_progress& progress = m_task_progress[s.run.task.job][s.run.task.index];
        if (s.event == run_event::checkpointed && progress.left > 0)
        {
            progress.left = std::max<wall_ms>(progress.left - done, 1);
        }
    }

    void count_lost_work(worker_id worker, wall_ms now)
    {
        for (const task_id& id : m_state.workers().at(worker).tasks)
        {
            const hall_job& job = m_state.jobs().at(id.job);
            if (job.spec.workload() != workload_kind::service)
            {
                const auto span = static_cast<double>(now - job.tasks[id.index].since);
                m_lost_core_hours +=
                    span / ms_per_hour * static_cast<double>(job.spec.values.size.cpu) / 1000.0;
            }
        }
    }

    // Schedules the stop report of each stopping task that has none scheduled yet.
    void stop_all(wall_ms now)
    {
        for (const auto& [id, worker] : m_state.workers())
        {
            for (const task_id& task : worker.tasks)
            {
                schedule_ordered_stop(task, worker, now);
            }
        }
    }

    void schedule_ordered_stop(const task_id& id, const worker_record& worker, wall_ms now)
    {
        const hall_job& job = m_state.jobs().at(id.job);
        const task_record& task = job.tasks[id.index];
        const run_id run{id, task.run};
        if (task.state() != task_phase::stopping || !m_stopping.insert(run).second)
        {
            return;
        }
        const bool can_checkpoint = job.spec.repeatable && !job.cancelled;
        const run_event event = can_checkpoint ? run_event::checkpointed : run_event::stopped;
        schedule_event(now + stop_delay, simulation_event::kind::stopped, run, {worker.id, worker.epoch},
                       event);
    }

    // Scheduling
    // ----------------------------------------------------------------------------------------------

    void plan(wall_ms now)
    {
        const hall_changes changes = m_state.take_changes();
        m_scheduler.take(changes, m_state);
        schedule_probes(changes, now);
        if (m_scheduler.waiting() == 0)
        {
            return;
        }
        const schedule made = m_scheduler.plan(m_state, now, placements_per_plan);
        if (made.empty())
        {
            return;
        }
        apply(now, stop_runs{made.stops});
        for (const stop_request& order : made.stops)
        {
            const task_record& task = m_state.jobs().at(order.run.task.job).tasks[order.run.task.index];
            schedule_ordered_stop(order.run.task, m_state.workers().at(task.worker), now);
        }
        apply(now, place_tasks{made.placements});
        for (const placement& p : made.placements)
        {
            schedule_event(now + start_delay, simulation_event::kind::started, p.run, {p.worker, p.epoch},
                           run_event::started);
        }
        m_invariant_violation = m_invariant_violation.empty() ? m_state.check() : m_invariant_violation;
    }

    void schedule_probes(const hall_changes& changes, wall_ms now)
    {
        for (const worker_id id : std::set<worker_id>(changes.workers.begin(), changes.workers.end()))
        {
            const worker_record& worker = m_state.workers().at(id);
            if (worker.state() == worker_phase::quarantined && m_probed_quarantines[id] != worker.quarantines)
            {
                m_probed_quarantines[id] = worker.quarantines;
                const wall_ms wait = initial_probe_delay << std::min(worker.quarantines - 1, 6U);
                schedule_event(now + wait, simulation_event::kind::probe, {}, {id, worker.epoch}, {});
            }
        }
    }

    wall_ms next_time(wall_ms now, std::size_t next_event) const
    {
        wall_ms next = m_trace.end + 1;
        if (next_event < m_trace.events.size())
        {
            next = std::min(next, m_trace.events[next_event].at);
        }
        if (!m_pending_events.empty())
        {
            next = std::min(next, m_pending_events.top().at);
        }
        if (const_cast<scheduler&>(m_scheduler).waiting() > 0)
        {
            next = std::min(next, now + sample_interval);
        }
        return std::max(next, now + plan_interval);
    }

    // Metrics
    // ------------------------------------------------------------------------------------------------

    void sample(wall_ms now)
    {
        const wall_ms span = std::min(now - m_sampled_at, sample_interval);
        m_sampled_at = now;
        if (m_scheduler.waiting() == 0 || m_state.capacity().cpu == 0 || span <= 0)
        {
            return;
        }
        resources used;
        for (const std::uint16_t organisation : {1, 2})
        {
            used += m_state.used_by(organisation_id{organisation});
        }
        const auto weight = static_cast<double>(span);
        m_packing += weight * dominant_share(used, m_state.capacity());
        m_packing_span += weight;
        sample_shares(weight);
    }

    void sample_shares(double weight)
    {
        constexpr double fair_share = 0.5;
        double worst = 1.0;
        std::set<organisation_id> waiting;
        for (const auto& [id, job] : m_state.jobs())
        {
            if (job.pending > 0 && !job.held() && !job.cancelled)
            {
                waiting.insert(job.spec.organisation);
            }
        }
        if (waiting.size() < 2)
        {
            return; // without competition a share says nothing about fairness
        }
        for (const organisation_id organisation : waiting)
        {
            const double share = dominant_share(m_state.used_by(organisation), m_state.capacity());
            worst = std::min(worst, share / fair_share);
        }
        m_worst_share += weight * worst;
        m_share_span += weight;
    }

    replay_report report()
    {
        replay_report out;
        out.policy = m_policy;
        std::map<std::string, std::vector<double>> waits;
        for (const auto& [id, job] : m_state.jobs())
        {
            const std::string group =
                std::to_string(job.spec.organisation.value()) + '/' + to_string(job.spec.workload());
            for (const task_progress& progress : m_task_progress[id])
            {
                if (progress.first_start < 0 && job.cancelled)
                {
                    continue;
                }
                const wall_ms until = progress.first_start < 0 ? m_trace.end : progress.first_start;
                const double waited = static_cast<double>(until - job.spec.submitted) / ms_per_second;
                out.waits[group].never_started += progress.first_start < 0 ? 1 : 0;
                waits[group].push_back(waited);
                if (job.spec.values.urgency >= urgent)
                {
                    waits["urgent"].push_back(waited);
                }
            }
            out.jobs_completed += job.outcome == static_cast<std::uint8_t>(job_outcome::completed) ? 1 : 0;
            out.jobs_held += job.held() ? 1 : 0;
        }
        for (auto& [group, values] : waits)
        {
            fill_waits(out.waits[group], values);
        }
        const scheduler_counters& counters = m_scheduler.counters();
        out.packing = m_packing_span > 0 ? m_packing / m_packing_span : 0.0;
        out.worst_share = m_share_span > 0 ? m_worst_share / m_share_span : 1.0;
        out.preemptions = counters.preemptions;
        out.placements = counters.placements;
        out.failed_runs = m_failed_runs;
        out.lost_core_hours = m_lost_core_hours;
        out.hosts_per_placement = static_cast<double>(m_scheduler.hosts_examined()) /
                                  static_cast<double>(std::max<std::uint64_t>(counters.placements, 1));
        out.invariant_violation = m_invariant_violation;
        return out;
    }

    static void fill_waits(wait_statistics& out, std::vector<double>& values)
    {
        std::sort(values.begin(), values.end());
        const auto at = [&values](double part)
        {
            const auto index = static_cast<std::size_t>(part * static_cast<double>(values.size()));
            return values[std::min(index, values.size() - 1)];
        };
        out.tasks = values.size();
        out.p50_s = at(0.5);
        out.p99_s = at(0.99);
        out.p999_s = at(0.999);
    }

    const trace& m_trace;
    hall_state m_state;
    scheduler m_scheduler;
    std::map<std::string, std::vector<job_id>> m_by_name;
    std::string m_policy;
    std::priority_queue<simulation_event, std::vector<simulation_event>, std::greater<>> m_pending_events;
    std::uint64_t m_order = 0;
    std::uint32_t m_workers = 0;
    std::uint64_t m_jobs = 0;
    std::map<job_id, wall_ms> m_actual_ms;
    std::map<job_id, std::vector<task_progress>> m_task_progress;
    std::set<run_id> m_stopping;
    std::set<worker_id> m_lost_workers;
    std::set<worker_id> m_failing;
    std::map<worker_id, std::uint32_t> m_probed_quarantines;
    std::uint64_t m_failed_runs = 0;
    double m_lost_core_hours = 0.0;
    wall_ms m_sampled_at = 0;
    double m_packing = 0.0;
    double m_packing_span = 0.0;
    double m_worst_share = 0.0;
    double m_share_span = 0.0;
    std::string m_invariant_violation;
};
} // namespace

replay_report replay(const trace& recorded, const std::string& policy, scheduler_settings settings)
{
    return replayer(recorded, policy, std::move(settings)).run();
}

} // namespace walkthread
