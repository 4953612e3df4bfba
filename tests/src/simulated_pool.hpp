#pragma once

// Runs the real dispatcher and the real replicated state against simulated workers, a simulated placement
// advisor and a simulated replicated log, in virtual time.

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <walkthread/dispatch/dispatcher.hpp>

#include "pool_log.hpp"
#include "simulated_advisor.hpp"

namespace walkthread::test
{

class simulated_pool : public simulated_advisor
{
  public:
    explicit simulated_pool(pool_settings settings) : simulated_advisor(settings)
    {
        send_reports();
        m_crash_worker = [this](const std::string& incarnation)
        {
            crash_worker(incarnation);
        };
        cluster_configuration held;
        held.version = 1;
        held.pools.push_back({"pool", false, false});
        held.pools.push_back({"reserve", false, false});
        for (const auto& [name, priority, advised] :
             {std::tuple{"urgent", 0, true}, {"gangs", 1, true}, {"batch", 2, true}, {"plain", 1, false}})
        {
            queue_spec queue;
            queue.name = name;
            queue.host = "example";
            queue.path_prefix = std::string("/") + name + "/";
            queue.timeout_ms = 3000;
            queue.target_latency_ms = 1000;
            queue.stretch = 2.0;
            queue.priority = priority;
            queue.pool = "pool";
            queue.max_attempts = 2;
            queue.advised = advised;
            queue.advice = {10.0, 0.2, 1500};
            held.queues.push_back(queue);
        }
        configure(held);
        limit_organisations(settings.organisation_limit);
        for (std::size_t i = 0; i < settings.workers; ++i)
        {
            add_worker("w" + std::to_string(i), "h" + std::to_string(i));
        }
    }

    // -----------------------------------------------------------------------------------------------------
    // Control
    // -----------------------------------------------------------------------------------------------------

    // Starts a leader with a new term; a previous leader is removed.
    void start_leader()
    {
        m_leader.reset();
        ++m_term;
        dispatch_settings chosen;
        chosen.mechanisms = m_settings.mechanisms;
        chosen.poll_connections = m_settings.poll_connections;
        chosen.contended_pool = m_settings.contended_pool;
        chosen.state = m_settings.state;
        chosen.max_lease = m_settings.max_lease;
        m_leader = std::make_unique<dispatcher>(m_state, chosen, hooks(), *m_log, m_term, m_now);
        for (auto& [incarnation, worker] : m_workers)
        {
            if (!worker.terminated && !worker.faults.reports_lost)
            {
                report_again(incarnation);
            }
        }
        m_pass_due = false;
        m_leader_since = m_now;
        wake();
    }
    // The next leader starts from a snapshot, as a replica does after a restart.
    void restart_from_snapshot()
    {
        stop_leader();
        const std::string stored = m_state.save();
        if (!m_state.load(stored) || m_state.save().size() != stored.size())
        {
            throw std::logic_error("The snapshot was not restored.");
        }
        start_leader();
    }
    void stop_leader()
    {
        m_leader.reset();
        m_leader_since.reset();
    }
    // When the present leader became able to act; empty while there is none.
    [[nodiscard]] virtual std::optional<monotonic_time> leader_active_since() const
    {
        return m_leader_since;
    }
    void report(const std::string& incarnation, bool draining, std::int64_t remaining_ms = 3000)
    {
        deliver(make_report(incarnation, draining, remaining_ms));
    }
    // Reports again what the worker last said, with the time that is left.
    void report_again(const std::string& incarnation)
    {
        const sim_worker& worker = m_workers[incarnation];
        const auto left = std::chrono::duration_cast<milliseconds>(worker.leaves_at - m_now);
        report(incarnation, worker.draining, std::max<std::int64_t>(left.count(), 0));
    }
    // Creates a report as the worker would send it. It may be delivered later, after newer ones.
    worker_report make_report(const std::string& incarnation, bool draining, std::int64_t remaining_ms = 3000)
    {
        sim_worker& worker = m_workers[incarnation];
        worker.draining = draining;
        worker.leaves_at = m_now + milliseconds(remaining_ms);
        worker_report out;
        out.description = worker.description;
        out.draining = draining;
        out.remaining_ms = remaining_ms;
        out.clock_ms = clock_of(worker);
        out.sequence = ++worker.sequence;
        return out;
    }
    // `then` is called when the report is acknowledged.
    virtual void deliver(
        const worker_report& report, const std::function<void()>& then = [] {})
    {
        m_leader->handle_report(report, m_now,
                                [this, report, then](bool counted)
                                {
                                    if (counted)
                                    {
                                        note_acknowledged(report);
                                        then();
                                    }
                                });
    }
    // A worker announces that it is terminating now; `then` is called when that is acknowledged. Its machine
    // refuses connections afterwards, unless it loses power (`silent`).
    void leave(const std::string& incarnation, const std::function<void()>& then, bool silent = false)
    {
        sim_worker& worker = m_workers[incarnation];
        worker.terminated = true;
        worker.refuses_connections = !silent;
        worker.running.clear();
        end_pending_poll(worker, silent ? lost_answer_timeout : duration(m_settings.network_delay));
        m_leader->handle_leave(incarnation,
                               [then](bool counted)
                               {
                                   if (counted)
                                   {
                                       then();
                                   }
                               });
    }
    // A worker announces that it is terminating now, closes its port and resets its connections. Its runs go
    // on until its process ends `runs_on` later.
    void leave_before_end(const std::string& incarnation, duration runs_on)
    {
        sim_worker& worker = m_workers[incarnation];
        worker.port_closed = true;
        worker.refuses_connections = true;
        worker.faults.reports_lost = true;
        end_pending_poll(worker, m_settings.network_delay);
        m_leader->handle_leave(incarnation, [](bool) {});
        at(runs_on,
           [this, incarnation]
           {
               sim_worker& ended = m_workers[incarnation];
               ended.terminated = true;
               for (const auto& [run, state] : std::exchange(ended.running, {}))
               {
                   end_gang_members(run);
               }
           });
    }
    void add_worker(const std::string& incarnation, const std::string& host, bool reports = true)
    {
        sim_worker& worker = m_workers[incarnation];
        const bool slow =
            m_settings.slow_worker_interval > 0 && m_workers.size() % m_settings.slow_worker_interval == 0;
        worker.slowness = slow ? 1.3 : 1.0;
        worker.description = {incarnation,     host,
                              host + ":1",     pool_of(host),
                              hall_of(host),   {"kind", "rack" + std::to_string(m_workers.size() / 8)},
                              m_settings.size, process_start_ms{1}};
        worker.faults.reports_lost = !reports;
        if (m_leader && reports)
        {
            report(incarnation, false);
        }
    }
    // Changes the worker's capacity. Its next report contains the new value.
    void resize(const std::string& incarnation, const resources& size)
    {
        m_workers[incarnation].description.size = size;
    }
    // The worker process dies and another incarnation starts on the same host. The new one reports at once
    // unless `reports` is false.
    void crash(const std::string& incarnation, const std::string& next, bool reports = true)
    {
        const std::string host = m_workers[incarnation].description.host;
        m_workers[incarnation].terminated = true;
        m_workers[incarnation].running.clear();
        add_worker(next, host, reports);
    }
    // The process of a replaced incarnation turns out to run on: it answers and reports.
    void run_on(const std::string& incarnation)
    {
        m_workers[incarnation].terminated = false;
    }
    // The worker terminates permanently. From then on its machine refuses connections or does not respond.
    void remove_worker(const std::string& incarnation, bool refuses_connections)
    {
        sim_worker& worker = m_workers[incarnation];
        worker.terminated = true;
        worker.refuses_connections = refuses_connections;
        for (const auto& [run, state] : std::exchange(worker.running, {}))
        {
            end_gang_members(run);
        }
        end_pending_poll(worker,
                         refuses_connections ? duration(m_settings.network_delay) : lost_answer_timeout);
    }
    // The worker process dies and restarts after a while under the same id. It has lost all its state, and
    // its counters start again. Its connections are refused, or time out if `silent` (its machine lost
    // power).
    void restart(const std::string& incarnation, duration down, bool silent = false, bool reports = true)
    {
        sim_worker& worker = m_workers[incarnation];
        worker.terminated = true;
        worker.refuses_connections = !silent;
        ++worker.poll_number;
        for (const auto& [run, state] : std::exchange(worker.running, {}))
        {
            ++m_crashes[run.task];
            end_gang_members(run);
        }
        if (worker.pending_poll)
        {
            poll_later(worker.pending_poll_order);
        }
        end_pending_poll(worker, silent ? lost_answer_timeout : duration(m_settings.network_delay));
        at(down,
           [this, incarnation, reports, number = worker.poll_number]
           {
               sim_worker fresh;
               sim_worker& former = m_workers[incarnation];
               if (former.poll_number != number)
               {
                   return; // restarted again while it was down
               }
               fresh.description = former.description;
               fresh.slowness = former.slowness;
               fresh.starts = former.starts;
               fresh.poll_number = former.poll_number;
               fresh.description.process_start = process_start_ms{wall()};
               fresh.clock_origin = m_now.time_since_epoch();
               fresh.faults.reports_lost = !reports;
               former = fresh;
               if (m_leader && reports)
               {
                   report(incarnation, false);
               }
           });
    }
    submission_id submit(const std::string& queue, std::vector<step_spec> steps,
                         const std::string& organisation = {})
    {
        submission_spec spec;
        spec.payload = "text";
        spec.steps = std::move(steps);
        return submit(queue, spec, organisation);
    }
    submission_id submit(const std::string& queue, const submission_spec& spec,
                         const std::string& organisation = {})
    {
        accept_submission command;
        command.id = submission_id{++m_next_id};
        command.queue = queue;
        command.organisation = organisation;
        command.spec = spec;
        const submission_id id = command.id;
        at(m_settings.commit,
           [this, command]
           {
               m_last_submit_result = commit(command);
               wake();
           });
        return id;
    }
    // An operator cordons a hall or lifts the cordon; returns whether that was accepted and is acknowledged.
    bool cordon(const std::string& hall, bool cordoned)
    {
        std::vector<std::string> halls;
        for (std::size_t i = 0; i < m_settings.halls; ++i)
        {
            halls.push_back(hall_name(i));
        }
        const bool accepted = commit(set_hall_cordon{hall, cordoned, "edge-1", halls}).code == 0;
        if (accepted && cordoned)
        {
            m_cordoned_since.emplace(hall, m_now);
        }
        else if (accepted)
        {
            m_cordoned_since.erase(hall);
        }
        wake();
        return accepted;
    }
    void cancel(submission_id id)
    {
        const submission* known = m_state.find(id);
        commit(cancel_submission{id, known->queue});
        m_cancelled.emplace(id, m_now);
        wake();
    }
    [[nodiscard]] submission_phase phase(submission_id id) const
    {
        const submission* known = m_state.find(id);
        return known == nullptr ? submission_phase::queued : known->state();
    }

    dispatcher& leader()
    {
        return *m_leader;
    }
    void begin_maintenance_wave(const std::vector<std::string>& hosts, std::int64_t within_s,
                                std::uint32_t at_once, std::uint64_t wave = 1)
    {
        commit(begin_wave{wave, hosts, within_s, at_once});
        wake();
    }
    [[nodiscard]] std::size_t passes() const
    {
        return m_passes;
    }

  protected:
    // Whether the replicated log accepts proposals of this leader now.
    [[nodiscard]] virtual bool takes_proposals() const
    {
        return true;
    }
    // Delivers a poll to its worker.
    virtual void deliver_poll(const poll_order& order, const std::function<void(const poll_answer&)>& handler)
    {
        at(m_settings.network_delay,
           [this, order, handler]
           {
               handle_poll(order, handler);
           });
    }
    [[nodiscard]] std::uint64_t term() const
    {
        return m_term;
    }
    // How long the leader remains unable to make a pass.
    [[nodiscard]] virtual duration remaining_freeze() const
    {
        return duration{0};
    }
    // Time until a pending poll fails when its connection is not closed.
    static constexpr milliseconds lost_answer_timeout{1700};
    // The poll that a worker has not answered yet fails after `delay`.
    void end_pending_poll(sim_worker& worker, duration delay)
    {
        if (auto handler = std::exchange(worker.pending_poll, nullptr); handler)
        {
            at(delay,
               [handler]
               {
                   handler({order_outcome::unanswered, {}, 0, {}, {}});
               });
        }
    }

  private:
    // Ends the other members of a gang after one member was lost.
    void end_gang_members(const run_ref& lost)
    {
        const step_spec* step = m_state.find(lost.task.step);
        for (std::uint32_t index = 0; step != nullptr && step->gang && index < step->count; ++index)
        {
            const run_ref member{task_ref{lost.task.step, index}, lost.run};
            for (auto& [incarnation, worker] : m_workers)
            {
                if (!worker.terminated && worker.running.contains(member))
                {
                    end(worker, member, run_end::broken);
                }
            }
        }
    }
    // The worker process ends and its connections break. Another incarnation starts on the same host later.
    void crash_worker(const std::string& incarnation)
    {
        sim_worker& worker = m_workers[incarnation];
        if (m_settings.restarts_keep_ids)
        {
            restart(incarnation, m_settings.restart);
            return;
        }
        worker.terminated = true;
        worker.refuses_connections = true;
        for (const auto& [run, state] : std::exchange(worker.running, {}))
        {
            ++m_crashes[run.task];
            end_gang_members(run);
        }
        end_pending_poll(worker, m_settings.network_delay);
        at(m_settings.restart,
           [this, incarnation, host = worker.description.host]
           {
               m_workers[incarnation].refuses_connections = false;
               add_worker(incarnation + "+", host);
           });
    }
    // Workers report every 1.5 s while a leader receives their reports.
    void send_reports()
    {
        for (auto& [incarnation, worker] : m_workers)
        {
            if (m_leader && !worker.terminated && !worker.faults.unresponsive && !worker.faults.reports_lost)
            {
                report_again(incarnation);
            }
        }
        at(milliseconds(1500),
           [this]
           {
               send_reports();
           });
    }
    // Answers like the platform: success also if maintenance is already complete, rejection while the host is
    // down for it.
    order_outcome start_host_maintenance(const std::string& host)
    {
        if (m_settings.maintenance == duration{0} || m_maintained_hosts.contains(host))
        {
            return m_hosts_in_maintenance.contains(host) ? order_outcome::no_room : order_outcome::accepted;
        }
        const auto here =
            std::find_if(m_workers.begin(), m_workers.end(),
                         [&host](const auto& item)
                         {
                             return item.second.description.host == host && !item.second.terminated;
                         });
        if (here == m_workers.end())
        {
            return order_outcome::no_room;
        }
        here->second.terminated = true;
        here->second.running.clear();
        m_maintained_hosts.insert(host);
        m_hosts_in_maintenance.insert(host);
        m_max_hosts_down = std::max(m_max_hosts_down, m_hosts_in_maintenance.size());
        at(m_settings.maintenance,
           [this, host, next = here->first + "+"]
           {
               m_hosts_in_maintenance.erase(host);
               add_worker(next, host);
           });
        return order_outcome::accepted;
    }
    void wake()
    {
        if (m_pass_due || !m_leader)
        {
            return;
        }
        m_pass_due = true;
        pass_at(m_now + milliseconds(2));
    }
    // Schedules one pass, unless a later call requests an earlier one.
    void pass_at(monotonic_time when)
    {
        at(when - m_now,
           [this, term = m_term, number = ++m_pass_number]
           {
               if (!m_leader || term != m_term || number != m_pass_number)
               {
                   return;
               }
               if (const duration remaining = remaining_freeze(); remaining > duration{0})
               {
                   pass_at(m_now + remaining);
                   return;
               }
               m_pass_due = false;
               ++m_passes;
               m_leader->pass(m_now, wall());
               if (!m_pass_due)
               {
                   pass_at(m_leader->next_pass(m_now));
               }
           });
    }

  protected:
    virtual dispatch_hooks hooks()
    {
        dispatch_hooks out;
        out.now = [this]
        {
            return m_now;
        };
        out.wake = [this]
        {
            wake();
        };
        out.propose = [this](const workload_command& command, const std::function<void(bool)>& handler)
        {
            at(m_settings.commit,
               [this, command, handler, term = m_term]
               {
                   const bool leads = m_leader && term == m_term && takes_proposals();
                   if (leads)
                   {
                       commit(command);
                   }
                   handler(leads);
               });
        };
        out.poll = [this](const poll_order& order, const std::function<void(const poll_answer&)>& handler)
        {
            deliver_poll(order, handler);
        };
        out.start =
            [this](const start_task_order& order, const std::function<void(const order_answer&)>& handler)
        {
            at(m_settings.network_delay,
               [this, order, handler]
               {
                   handle_start(order, handler, false);
               });
        };
        out.stop =
            [this](const stop_task_order& order, const std::function<void(const order_answer&)>& handler)
        {
            at(m_settings.network_delay,
               [this, order, handler]
               {
                   handle_stop(order, handler);
               });
        };
        out.pace =
            [this](const pace_task_order& order, const std::function<void(const order_answer&)>& handler)
        {
            at(m_settings.network_delay,
               [this, order, handler]
               {
                   sim_worker* worker = find(order.to.id);
                   const bool runs = worker != nullptr && worker->running.contains(order.run);
                   if (runs)
                   {
                       worker->running[order.run].pace = order.percent;
                   }
                   handler({runs ? order_outcome::accepted : order_outcome::unanswered, {}, false});
               });
        };
        out.advise = [this](const advice_question& question, bool urgent,
                            const std::function<void(const advice_answer&)>& handler)
        {
            enqueue_question(question, urgent, handler);
        };
        if (m_settings.advisor_clients > 0)
        {
            out.advisors_free = [this]
            {
                return askers_free();
            };
            out.advisors_idle = [this]
            {
                return askers_idle();
            };
        }
        out.order_maintenance = [this](const std::string& host, std::uint64_t, std::uint64_t,
                                       const std::function<void(const order_answer&)>& handler)
        {
            answer_later(handler, {start_host_maintenance(host), {}, false});
        };
        return out;
    }

  private:
    std::unique_ptr<decision_log> m_log = make_pool_log(m_settings);
    std::unique_ptr<dispatcher> m_leader;
    std::optional<monotonic_time> m_leader_since;
    std::uint64_t m_term = 0;
    std::uint64_t m_next_id = 1000;
    bool m_pass_due = false;
    std::size_t m_passes = 0;
    std::size_t m_pass_number = 0; // number of the next pass
    workload_result m_last_submit_result;
};

} // namespace walkthread::test
