#pragma once

// State of simulated workers: their runs, ends and leases, and the invariant violations found there.

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <walkthread/dispatch/orders.hpp>
#include <walkthread/workload/names.hpp>
#include <walkthread/workload/workload_state.hpp>

#include "pool_settings.hpp"
#include "virtual_events.hpp"

namespace walkthread::test
{

class simulation_records : public virtual_events
{
  public:
    explicit simulation_records(pool_settings settings) : m_settings(settings), m_random(settings.seed)
    {
    }

    worker_faults& faults(const std::string& incarnation)
    {
        return m_workers[incarnation].faults;
    }
    workload_state& state()
    {
        return m_state;
    }
    [[nodiscard]] const std::vector<std::string>& violations() const
    {
        return m_violations;
    }
    // Limits the resources that each organisation may use from now on; an empty limit changes nothing.
    void limit_organisations(const resources& limit)
    {
        if (limit == resources{})
        {
            return;
        }
        cluster_configuration next = *m_state.current_configuration();
        ++next.version;
        next.organisations.clear();
        for (const char* name : {"hens", "geese"})
        {
            next.organisations.push_back({name, {std::string(name) + "-key"}, 0, 10.0, limit});
        }
        configure(next);
        m_former_limit = m_limit;
        m_limit = limit;
        m_limited = m_now;
    }
    // Resources in use on workers that are up; everything on a worker is killed once its lease has expired.
    [[nodiscard]] resources running_resources_of(const std::string& organisation) const
    {
        resources sum;
        for (const auto& [incarnation, worker] : m_workers)
        {
            for (const auto& [run, state] : worker.running)
            {
                const submission* owner = m_state.find(run.task.step.submission);
                const step_spec* step = m_state.find(run.task.step);
                const bool counts =
                    !worker.terminated && lease_holds(worker) && owner != nullptr && step != nullptr;
                sum += counts && owner->organisation == organisation ? step->size : resources{};
            }
        }
        return sum;
    }
    // An operator sends a queue to another pool.
    void send_queue(const std::string& queue, const std::string& pool)
    {
        change_configuration(
            [&](cluster_configuration& next)
            {
                for (queue_spec& present : next.queues)
                {
                    present.pool = present.name == queue ? pool : present.pool;
                }
            });
    }
    // An operator removes a queue.
    void remove_queue(const std::string& queue)
    {
        change_configuration(
            [&](cluster_configuration& next)
            {
                std::erase_if(next.queues,
                              [&queue](const queue_spec& present)
                              {
                                  return present.name == queue;
                              });
            });
    }
    // An operator adds a queue that was removed, with its former settings but the pool.
    void restore_queue(const std::string& queue, const std::string& pool)
    {
        change_configuration(
            [&](cluster_configuration& next)
            {
                next.queues.push_back(m_queues.at(queue));
                next.queues.back().pool = pool;
            });
    }
    // An operator removes a pool to which no queue is sent.
    void remove_pool(const std::string& pool)
    {
        change_configuration(
            [&](cluster_configuration& next)
            {
                std::erase_if(next.pools,
                              [&pool](const pool_spec& present)
                              {
                                  return present.name == pool;
                              });
            });
    }
    void change_configuration(const std::function<void(cluster_configuration&)>& change)
    {
        cluster_configuration next = *m_state.current_configuration();
        ++next.version;
        change(next);
        configure(next);
    }
    [[nodiscard]] std::size_t starts_of(const task_ref& task) const
    {
        const auto found = m_starts.find(task);
        return found == m_starts.end() ? 0 : found->second;
    }
    [[nodiscard]] std::size_t starts_on(const std::string& incarnation) const
    {
        const auto found = m_workers.find(incarnation);
        return found == m_workers.end() ? 0 : found->second.starts;
    }
    [[nodiscard]] std::size_t running_on(const std::string& incarnation) const
    {
        return m_workers.at(incarnation).running.size();
    }
    [[nodiscard]] std::int64_t tail_latency_on(const std::string& incarnation) const
    {
        return tail_latency_on(m_workers.at(incarnation));
    }
    // All incarnations that ever existed, with their actual state.
    [[nodiscard]] const auto& workers() const
    {
        return m_workers;
    }
    [[nodiscard]] const workload_state& state() const
    {
        return m_state;
    }
    // Whether the runs listed there really execute.
    [[nodiscard]] bool lease_holds_on(const std::string& incarnation) const
    {
        return lease_holds(m_workers.at(incarnation));
    }
    // Until when an unanswered order for the task may still be carried out.
    [[nodiscard]] monotonic_time late_order_until(const task_ref& task) const
    {
        const auto found = m_late_order_until.find(task);
        return found == m_late_order_until.end() ? monotonic_time{} : found->second;
    }
    // The longest time that a run existed on a worker after its submission's cancellation was committed.
    [[nodiscard]] duration longest_after_cancel() const
    {
        return m_longest_after_cancel;
    }
    [[nodiscard]] std::size_t max_hosts_down() const
    {
        return m_max_hosts_down;
    }
    std::set<submission_id> failing_submissions;  // all their runs fail
    std::set<submission_id> crashing_submissions; // the first task of each crashes the worker that starts it
    // How many workers crashed while running the task.
    [[nodiscard]] std::size_t crashes_under(const task_ref& task) const
    {
        const auto found = m_crashes.find(task);
        return found == m_crashes.end() ? 0 : found->second;
    }

    [[nodiscard]] wall_ms wall() const
    {
        return 1'700'000'000'000 + std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()).count();
    }

  protected:
    struct sim_run
    {
        monotonic_time ends{};
        bool fails{};
        std::int64_t length_ms{};
        monotonic_time began{};
        std::int32_t pace = 100;
        bool assembled{}; // all members of its gang are present
    };
    struct sim_worker
    {
        worker_description description;
        worker_faults faults;
        duration clock_origin{}; // when its clock started counting
        bool terminated = false;
        // Connections to it are refused: its process has ended, its machine is up.
        bool refuses_connections = false;
        // Its port is closed and its connections are reset, while its runs go on until its process ends.
        bool port_closed = false;
        bool draining = false;
        monotonic_time leaves_at{}; // while draining: not before
        double slowness = 1.0;
        std::uint64_t fence = 0;
        std::uint64_t sequence = 0;
        std::uint64_t next_end = 1;
        std::int64_t lease_until = 0;
        std::map<run_ref, sim_run> running;
        std::map<task_ref, std::uint32_t> highest; // highest run number that was stopped or ended there
        std::vector<reported_end> ended;
        std::map<std::uint64_t, monotonic_time> ended_at;
        monotonic_time lease_expired_at{};
        std::function<void(const poll_answer&)> pending_poll;
        poll_order pending_poll_order; // of `pending_poll`
        std::uint64_t poll_number = 0;
        std::size_t starts = 0;
        std::optional<monotonic_time> leaving_acknowledged;
        std::uint64_t acknowledged_sequence = 0; // of the newest acknowledged report
    };
    // Time after the acknowledgement beyond which no task may start: half of the platform's shortest bound.
    static constexpr milliseconds drain_bound{1000};
    // The same for a cordoned hall: a fifth of the platform's bound.
    static constexpr milliseconds cordon_bound{1000};

    void note_acknowledged(const worker_report& report)
    {
        sim_worker& worker = m_workers[report.description.id];
        if (report.sequence < worker.acknowledged_sequence)
        {
            return;
        }
        worker.acknowledged_sequence = report.sequence;
        if (!report.draining)
        {
            worker.leaving_acknowledged.reset();
        }
        else if (!worker.leaving_acknowledged)
        {
            worker.leaving_acknowledged = m_now;
        }
    }
    // The platform's bound on what an organisation runs: its limit plus a tenth plus one task. Orders in
    // transit may not take a limit into account that was just lowered.
    void check_limit(const submission& owner, const step_spec& step, const run_ref& run)
    {
        const bool fresh = m_now - m_limited < limit_propagation_time;
        const std::int64_t limit = fresh ? std::max(m_limit.cpu, m_former_limit.cpu) : m_limit.cpu;
        const std::int64_t uses = running_resources_of(owner.organisation).cpu;
        if (!owner.organisation.empty() && limit > 0 && uses > limit + limit / 10 + step.size.cpu)
        {
            m_violations.push_back("resources in use exceed the limit of organisation " + owner.organisation +
                                   ": " + name_of(run));
        }
    }
    [[nodiscard]] std::string hall_name(std::size_t place) const
    {
        return "hall" + std::to_string(place % m_settings.halls);
    }
    // Hosts are assigned to halls in turn; all incarnations on a host are in its hall.
    std::string hall_of(const std::string& host)
    {
        return hall_name(m_host_places.emplace(host, m_host_places.size()).first->second);
    }
    // Hosts are numbered "h0", "h1", ...; the last ones are in the second pool.
    [[nodiscard]] std::string pool_of(const std::string& host) const
    {
        if (m_settings.reserve_workers == 0)
        {
            return "pool";
        }
        const bool second = std::stoul(host.substr(1)) + m_settings.reserve_workers >= m_settings.workers;
        return second ? "reserve" : "pool";
    }
    void check_cordon(const sim_worker& worker, const run_ref& run)
    {
        const auto since = m_cordoned_since.find(worker.description.hall);
        if (since != m_cordoned_since.end() && m_now - since->second > cordon_bound)
        {
            m_violations.push_back("started in a cordoned hall: " + name_of(run) + " on " +
                                   worker.description.id);
        }
    }
    void configure(const cluster_configuration& next)
    {
        for (const queue_spec& queue : next.queues)
        {
            m_queues.insert_or_assign(queue.name, queue);
            m_pools_of_queue[queue.name].insert(queue.pool);
        }
        if (commit(replace_cluster_configuration{next}).code != 0)
        {
            m_violations.push_back("a configuration of the test was refused");
        }
    }
    // The platform allows a start only in a pool to which some configuration has sent the queue.
    void check_pool(const sim_worker& worker, const submission& owner, const run_ref& run)
    {
        if (!m_pools_of_queue[owner.queue].contains(worker.description.pool))
        {
            m_violations.push_back("started in a pool to which its queue was never sent: " + name_of(run) +
                                   " on " + worker.description.id);
        }
    }
    workload_result commit(const workload_command& command)
    {
        return m_state.apply(wall(), command);
    }
    [[nodiscard]] std::int64_t clock_of(const sim_worker& worker) const
    {
        const duration up = m_now.time_since_epoch() - worker.clock_origin;
        return 5000 + std::chrono::duration_cast<milliseconds>(up).count();
    }
    // A lease longer than the platform allows is truncated.
    void extend_lease(sim_worker& worker, std::int64_t until) const
    {
        worker.lease_until =
            std::max(worker.lease_until, std::min(until, clock_of(worker) + m_settings.max_lease.count()));
    }
    [[nodiscard]] bool lease_holds(const sim_worker& worker) const
    {
        return worker.lease_until >= clock_of(worker);
    }
    // Simulated tail latency of serving tasks in milliseconds: 60, plus one for each percent of a filler's
    // pace.
    [[nodiscard]] std::int64_t tail_latency_on(const sim_worker& worker) const
    {
        std::int64_t tail = 60;
        for (const auto& [run, state] : worker.running)
        {
            const step_spec* spec = m_state.find(run.task.step);
            tail += spec != nullptr && spec->fills ? state.pace : 0;
        }
        return tail;
    }
    // Null for a worker that does not answer.
    sim_worker* find(const std::string& incarnation)
    {
        const auto found = m_workers.find(incarnation);
        const bool silent = found == m_workers.end() || found->second.terminated ||
                            found->second.port_closed || found->second.faults.unresponsive;
        return silent ? nullptr : &found->second;
    }
    double random_fraction()
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(m_random);
    }

    pool_settings m_settings;
    std::mt19937_64 m_random;
    workload_state m_state;
    // Workers, each with the terms of leaders that have a connection to it.
    std::set<std::pair<std::string, std::uint64_t>> m_connected;
    std::map<std::string, sim_worker> m_workers;
    std::map<std::string, std::size_t> m_host_places; // in the order of their first worker
    std::map<std::pair<step_ref, std::string>, monotonic_time> m_tickets;
    static constexpr milliseconds limit_propagation_time{2000};
    resources m_limit{}; // of each organisation
    resources m_former_limit{};
    monotonic_time m_limited{};
    std::set<task_ref> m_completed_tasks;                           // some run of it completed
    std::set<task_ref> m_confirmed_tasks;                           // and the leader acknowledged that
    std::map<task_ref, std::set<std::string>> m_workers_started_on; // ids of the workers
    std::map<task_ref, monotonic_time> m_last_start;
    std::map<task_ref, monotonic_time> m_late_order_until; // unanswered orders may be carried out until then
    std::map<task_ref, std::size_t> m_starts;
    std::map<task_ref, std::size_t> m_crashes; // workers that crashed while running it
    std::map<submission_id, monotonic_time> m_cancelled;
    duration m_longest_after_cancel{};
    std::map<std::string, queue_spec> m_queues;                    // as last configured
    std::map<std::string, std::set<std::string>> m_pools_of_queue; // to which it was ever sent
    std::map<std::string, monotonic_time> m_cordoned_since; // when the operator had the acknowledgement
    std::set<std::string> m_maintained_hosts;               // hosts whose maintenance began
    std::set<std::string> m_hosts_in_maintenance;           // those of them that are down
    std::size_t m_max_hosts_down = 0;
    std::vector<std::string> m_violations;
};

// Makes one step of `count` tasks.
inline step_spec make_step(std::uint32_t count, std::int64_t cpu, std::int64_t run_ms, bool gang = false)
{
    step_spec step;
    step.count = count;
    step.size = {cpu, 1000, 0, 0};
    step.estimate_ms = run_ms;
    step.gang = gang;
    return step;
}

} // namespace walkthread::test
