#pragma once

// Detects accepted tasks that are ready to run but do not start although enough capacity is free. Checked at
// fixed intervals of virtual time against the actual state of the workers.

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "simulated_pool.hpp"

namespace walkthread::test
{

// The longest time that a task may be stalled, by component.
struct stall_bounds
{
    milliseconds longest_lease{6000}; // a new leader must assume that the worker was granted a lease just now
    double clock_drift = 0.02;        // by which the worker's clock may run slower
    milliseconds lost_poll{1700}; // a poll in flight, including its wait; afterwards the worker is suspected
    milliseconds drop_and_commit{300};  // a pass, the log entry, and the next pass
    milliseconds question{500};         // advisor query, repeated if hosts were taken meanwhile
    milliseconds start{1000};           // the log entry and the order, which the first host may refuse
    milliseconds gang_gathering{4000};  // how long a gang holds capacity before it releases it and asks again
    milliseconds suspect_backoff{8000}; // back-off for a task that was lost three times or more
    std::uint32_t losses_before_backoff = 3;
    // How many workers a task may be sent to in succession while they become unresponsive; one lease each.
    int successive_lost_workers = 1;

    [[nodiscard]] duration max_stall(bool gang, bool suspect) const
    {
        const double lease = static_cast<double>(longest_lease.count()) * (1 + clock_drift);
        const duration each =
            milliseconds(static_cast<std::int64_t>(lease)) + lost_poll + drop_and_commit + question + start;
        return each * successive_lost_workers + (gang ? gang_gathering : milliseconds(0)) +
               (suspect ? suspect_backoff : milliseconds(0));
    }
};

class stall_check
{
  public:
    explicit stall_check(simulated_pool& pool, stall_bounds bounds = {}) : m_pool(pool), m_bounds(bounds)
    {
        pool.every(sample_interval,
                   [this]
                   {
                       sample();
                   });
    }
    stall_check(const stall_check&) = delete;
    stall_check& operator=(const stall_check&) = delete;
    ~stall_check() = default;

    // One line for each task that was stalled for too long.
    [[nodiscard]] const std::vector<std::string>& found() const
    {
        return m_found;
    }
    // The longest time that any task was stalled while capacity was free.
    [[nodiscard]] duration longest() const
    {
        return m_longest;
    }
    void check() const
    {
        for (const std::string& line : m_found)
        {
            BOOST_TEST_MESSAGE(line); // shown with --log_level=message
        }
        BOOST_TEST(m_found.empty(), m_found.size() << " tasks were stalled");
    }

  private:
    static constexpr milliseconds sample_interval{100};
    // Multiple of the capacity that the stalled tasks need.
    static constexpr std::uint32_t spare_capacity_factor = 2;
    // Share of the capacity of the workers that may run the step.
    static constexpr double max_used_share = 0.5;

    struct capacity_sum
    {
        std::uint64_t slots{};
        resources used;
        resources total;
    };

    struct stall
    {
        monotonic_time since{};
        std::size_t starts{}; // at that time: a run may end between two samples
    };

    void sample()
    {
        const auto leader_active_since = m_pool.leader_active_since();
        if (!leader_active_since)
        {
            m_stalls.clear();
            return;
        }
        find_runs();
        std::map<task_ref, stall> next;
        for (const auto& [id, owner] : m_pool.state().submissions())
        {
            for (std::uint32_t round = 0; !owner.final() && round < owner.spec.rounds; ++round)
            {
                sample_round(owner, round_id{round}, *leader_active_since, next);
            }
        }
        m_stalls = std::move(next);
    }
    void sample_round(const submission& owner, round_id round, monotonic_time leader_active_since,
                      std::map<task_ref, stall>& next)
    {
        for (std::uint32_t step = 0; step < owner.spec.steps.size(); ++step)
        {
            const step_spec& spec = owner.spec.steps[step];
            const bool ready = owner.spec.due_at(round) == 0 &&
                               std::all_of(spec.after.begin(), spec.after.end(),
                                           [&owner, round](std::uint32_t earlier)
                                           {
                                               return step_tasks(owner, round, earlier).complete();
                                           });
            const std::vector<task_ref> stalled =
                ready ? stalled_tasks(spec, {owner.id, round, step}, step_tasks(owner, round, step))
                      : std::vector<task_ref>{};
            if (!stalled.empty() && has_spare_capacity(owner, spec, stalled))
            {
                record_stalls(spec, stalled, leader_active_since, next);
            }
        }
    }
    void record_stalls(const step_spec& spec, const std::vector<task_ref>& stalled,
                       monotonic_time leader_active_since, std::map<task_ref, stall>& next)
    {
        for (const task_ref& task : stalled)
        {
            const std::size_t starts = starts_of(spec, task);
            const auto known = m_stalls.find(task);
            const bool same = known != m_stalls.end() && known->second.starts == starts;
            const monotonic_time since =
                std::max(same ? known->second.since : m_pool.now(), leader_active_since);
            next.emplace(task, stall{since, starts});
            const duration stalled_for = m_pool.now() - since;
            m_longest = std::max(m_longest, stalled_for);
            if (stalled_for > m_bounds.max_stall(spec.gang, is_suspect(task)) &&
                m_reported_tasks.insert(task).second)
            {
                m_found.push_back(name_of(task) +
                                  (spec.gang           ? " of a gang"
                                   : spec.long_running ? " (long-running)"
                                                       : "") +
                                  " has been stalled since " + time_of(since) + " at " +
                                  time_of(m_pool.now()));
            }
        }
    }
    // Number of starts of the task. For a gang: how often all its members were started, or how often it
    // crashed a worker if it is a crashing gang. Such a start counts as lost by its own fault even if another
    // member found its host down.
    [[nodiscard]] std::size_t starts_of(const step_spec& spec, const task_ref& task) const
    {
        std::size_t out = m_pool.starts_of(task);
        for (std::uint32_t index = 0; spec.gang && index < spec.count; ++index)
        {
            out = std::min(out, m_pool.starts_of({task.step, index}));
        }
        const bool crashes_workers = spec.gang && m_pool.crashing_submissions.contains(task.step.submission);
        return crashes_workers ? std::max(out, m_pool.crashes_under({task.step, 0})) : out;
    }
    static std::string time_of(monotonic_time when)
    {
        return std::to_string(std::chrono::duration_cast<milliseconds>(when.time_since_epoch()).count()) +
               " ms";
    }
    [[nodiscard]] bool is_suspect(const task_ref& task) const
    {
        const crash_evidence* against = m_pool.state().crashes().find(task);
        return against != nullptr && against->crashes + against->unclear + against->unconfirmed_losses >=
                                         m_bounds.losses_before_backoff;
    }

    // Collects the runs on workers that are up and within their lease.
    void find_runs()
    {
        m_runs.clear();
        for (const auto& [incarnation, worker] : m_pool.workers())
        {
            for (const auto& [run, state] : worker.running)
            {
                if (!worker.terminated && m_pool.lease_holds_on(incarnation))
                {
                    m_runs.insert(run);
                }
            }
        }
    }
    [[nodiscard]] bool runs(const task_ref& task) const
    {
        const auto found = m_runs.lower_bound(run_ref{task, 0});
        return found != m_runs.end() && found->task == task;
    }
    // All tasks of a gang, unless one run has all its members; otherwise each task without a run.
    [[nodiscard]] std::vector<task_ref> stalled_tasks(const step_spec& spec, const step_ref& step,
                                                      const step_tasks& tasks) const
    {
        std::vector<task_ref> out;
        for (std::uint32_t index = 0; index < spec.count; ++index)
        {
            const task_ref task{step, index};
            const bool done = tasks[index].state() == work_phase::completed;
            if (!done && !runs(task) && m_pool.late_order_until(task) < m_pool.now())
            {
                out.push_back(task);
            }
        }
        if (spec.gang && !out.empty())
        {
            out.clear();
            for (std::uint32_t index = 0; index < spec.count; ++index)
            {
                out.push_back({step, index});
            }
        }
        return out;
    }

    // Whether the workers that may run the step have twice the capacity it needs and are mostly free.
    [[nodiscard]] bool has_spare_capacity(const submission& owner, const step_spec& spec,
                                          const std::vector<task_ref>& stalled) const
    {
        const step_ref step = stalled.front().step;
        const bool advised = m_pool.state().queue_of(owner)->advised;
        capacity_sum sum;
        for (const auto& [incarnation, worker] : m_pool.workers())
        {
            if (takes_work(worker) && (!advised || m_pool.advisor_allows(step, incarnation)))
            {
                add_capacity(worker, spec, step, sum);
            }
        }
        return sum.slots >= spare_capacity_factor * stalled.size() &&
               dominant_share(sum.used, sum.total) < max_used_share;
    }
    template <class Worker>
    [[nodiscard]] bool takes_work(const Worker& worker) const
    {
        const worker_faults& wrong = worker.faults;
        const double chance = wrong.late + wrong.late_stops + wrong.poll_loss + wrong.refuse + wrong.unsent;
        const bool cordoned = m_pool.state().cordons().contains(worker.description.hall);
        return !worker.terminated && !worker.draining && !cordoned && !wrong.unresponsive &&
               !wrong.polls_not_sent && !wrong.rejects_polls && !wrong.reports_lost && !wrong.fails_all &&
               !wrong.runs_hang && !wrong.resets && chance == 0.0;
    }
    template <class Worker>
    void add_capacity(const Worker& worker, const step_spec& spec, const step_ref& step,
                      capacity_sum& sum) const
    {
        resources used;
        std::uint64_t here = 0;
        for (const auto& [run, state] : worker.running)
        {
            const step_spec* other = m_pool.state().find(run.task.step);
            used += other == nullptr ? resources{} : other->size;
            here += run.task.step == step ? 1 : 0;
        }
        const resources free = worker.description.size - used;
        std::uint64_t slots = 0;
        while (slots < spec.count * spare_capacity_factor &&
               fits(spec.size * static_cast<std::int64_t>(slots + 1), free))
        {
            ++slots;
        }
        if (spec.per_host_limit > 0)
        {
            slots = std::min<std::uint64_t>(slots, spec.per_host_limit -
                                                       std::min<std::uint64_t>(spec.per_host_limit, here));
        }
        sum.slots += slots;
        sum.used += used;
        sum.total += worker.description.size;
    }

    simulated_pool& m_pool;
    stall_bounds m_bounds;
    std::set<run_ref> m_runs;
    std::map<task_ref, stall> m_stalls;
    std::set<task_ref> m_reported_tasks;
    std::vector<std::string> m_found;
    duration m_longest{};
};

} // namespace walkthread::test
