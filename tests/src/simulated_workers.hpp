#pragma once

// Simulates workers in virtual time according to their protocol: capacity, leases, run numbers, fencing
// tokens, delayed and lost orders. Invariants are checked at every start and end.

#include <walkthread/workload/names.hpp>

#include "delayed_orders.hpp"

namespace walkthread::test
{

class simulated_workers : public delayed_orders
{
  public:
    // Makes one run there fail.
    void fail_one_run(const std::string& incarnation)
    {
        sim_worker& worker = m_workers[incarnation];
        const run_ref run = worker.running.begin()->first; // a copy: `end` erases the entry
        end(worker, run, run_end::failed);
    }
    // Whether the advisor approves the worker for the step.
    [[nodiscard]] bool advisor_allows(const step_ref& step, const std::string& incarnation) const
    {
        const std::size_t mixed =
            std::hash<std::string>{}(name_of(step) + m_workers.at(incarnation).description.host);
        return static_cast<double>(mixed % 1000U) < m_settings.good_share * 1000.0;
    }

  protected:
    using delayed_orders::delayed_orders;

    void answer_later(const std::function<void(const order_answer&)>& handler, order_answer answer)
    {
        at(m_settings.network_delay,
           [handler, answer]
           {
               handler(answer);
           });
    }
    [[nodiscard]] bool refuses(const std::string& incarnation) const
    {
        const auto worker = m_workers.find(incarnation);
        return worker != m_workers.end() && worker->second.refuses_connections;
    }
    // The addressed incarnation does not answer: another one at its address identifies itself.
    order_outcome answer_for_absent_worker(const worker_address& to, duration timeout,
                                           const std::function<void(const order_answer&)>& handler)
    {
        const bool other = std::any_of(m_workers.begin(), m_workers.end(),
                                       [&to](const auto& item)
                                       {
                                           const sim_worker& worker = item.second;
                                           return worker.description.address == to.address &&
                                                  item.first != to.id && !worker.terminated &&
                                                  !worker.faults.unresponsive;
                                       });
        const bool refused = refuses(to.id);
        // A call on an open connection is sent and gets no answer; afterwards there is no connection to that
        // address.
        const bool connected = !refused && m_connected.contains({to.id, to.fence});
        m_connected.erase({to.id, to.fence});
        const order_outcome outcome = other       ? order_outcome::wrong_incarnation
                                      : connected ? order_outcome::unanswered
                                                  : order_outcome::unreachable;
        at(other || refused ? duration(m_settings.network_delay)
           : connected      ? timeout
                            : duration(connect_timeout),
           [handler, outcome]
           {
               handler({outcome, {}, false});
           });
        return outcome;
    }
    static constexpr milliseconds order_timeout{600};
    static constexpr milliseconds connect_timeout{700};
    static constexpr milliseconds late_order_bound{12000}; // the platform's bound for unanswered orders

    [[nodiscard]] double unsent_share(const std::string& incarnation) const
    {
        const auto worker = m_workers.find(incarnation);
        return worker == m_workers.end() ? 0.0 : worker->second.faults.unsent;
    }
    void handle_start(const start_task_order& order, const std::function<void(const order_answer&)>& handler,
                      bool late)
    {
        if (const double share = unsent_share(order.to.id); share > 0.0 && random_fraction() < share)
        {
            answer_later(handler, {order_outcome::not_sent, std::nullopt, false});
            return;
        }
        sim_worker* worker = find(order.to.id);
        if (worker == nullptr)
        {
            if (answer_for_absent_worker(order.to, order_timeout, handler) == order_outcome::unanswered)
            {
                start_later(order);
            }
            return;
        }
        if (!late && random_fraction() < worker->faults.late)
        {
            m_late_order_until[order.run.task] = m_now + late_order_bound;
            at(order_timeout,
               [handler]
               {
                   handler({order_outcome::unanswered, {}, false});
               });
            at(milliseconds(2000 + static_cast<int>(random_fraction() * 10000)),
               [this, order, process_start = worker->description.process_start,
                outlives = worker->faults.late_starts_reach_next_incarnation]
               {
                   const sim_worker* there = find(order.to.id);
                   if (there != nullptr && (outlives || there->description.process_start == process_start))
                   {
                       handle_start(
                           order, [](const order_answer&) {}, true);
                   }
               });
            return;
        }
        if (worker->faults.resets)
        {
            execute_start(*worker, order);
            at(milliseconds(210),
               [this, order, handler]
               {
                   sim_worker* again = find(order.to.id);
                   const order_outcome outcome =
                       again == nullptr ? order_outcome::unanswered : execute_start(*again, order);
                   handler({outcome, {}, true});
               });
            return;
        }
        answer_later(handler, {execute_start(*worker, order, late), clock_of(*worker), false});
    }
    void start_later(const start_task_order& order)
    {
        carry_out_later(order.to, m_settings.delayed_orders.starts,
                        [this, order](sim_worker& worker)
                        {
                            execute_start(worker, order, true);
                        });
        if (m_settings.delayed_orders.starts > 0.0)
        {
            m_late_order_until[order.run.task] = m_now + late_order_bound;
        }
    }
    order_outcome execute_start(sim_worker& worker, const start_task_order& order, bool late = false)
    {
        if (order.to.fence < worker.fence)
        {
            return order_outcome::fenced;
        }
        worker.fence = order.to.fence;
        expire_lease_if_over(worker);
        extend_lease(worker, order.until_ms);
        if (worker.running.contains(order.run))
        {
            return order_outcome::accepted;
        }
        const auto highest = worker.highest.find(order.run.task);
        if (highest != worker.highest.end() && order.run.run <= highest->second)
        {
            return order_outcome::superseded;
        }
        if (order.until_ms < clock_of(worker))
        {
            return order_outcome::late;
        }
        if (random_fraction() < worker.faults.refuse)
        {
            return order_outcome::unhealthy;
        }
        const submission* owner = m_state.find(order.run.task.step.submission);
        if (m_state.find(order.run.task.step) == nullptr)
        {
            m_violations.push_back("started after its submission ended: " + name_of(order.run));
            return order_outcome::rejected;
        }
        const auto ticket = m_tickets.find({order.run.task.step, order.to.id});
        if (m_queues.at(owner->queue).advised && (ticket == m_tickets.end() || ticket->second < m_now))
        {
            return order_outcome::ticket_rejected;
        }
        const bool leaves = worker.leaving_acknowledged && m_now - *worker.leaving_acknowledged > drain_bound;
        if (leaves && !late)
        {
            m_violations.push_back("started on a leaving worker: " + name_of(order.run) + " on " +
                                   worker.description.id);
        }
        begin(worker, order, *owner);
        if (!late)
        {
            check_cordon(worker, order.run);
            check_pool(worker, *owner, order.run);
            check_limit(*owner, owner->spec.steps[order.run.task.step.step], order.run);
        }
        return order_outcome::accepted;
    }
    void begin(sim_worker& worker, const start_task_order& order, const submission& owner)
    {
        const run_ref run = order.run;
        const step_spec& step = owner.spec.steps[run.task.step.step];
        check_start(worker, run, step, owner);
        ++m_starts[run.task];
        ++worker.starts;
        sim_run& made = worker.running[run];
        made.began = m_now;
        made.fails = worker.faults.fails_all || failing_submissions.contains(owner.id);
        made.length_ms = made.fails ? 100 : step.estimate_ms;
        const bool ends = !worker.faults.runs_hang && !step.long_running;
        if (ends && !step.gang)
        {
            const double length = static_cast<double>(made.length_ms) * worker.slowness;
            finish_at(worker.description.id, run, milliseconds(static_cast<std::int64_t>(length)));
        }
        if (step.gang)
        {
            begin_gang(run, step, made.length_ms);
            end_if_not_assembled(worker.description.id, run);
        }
        if (crashing_submissions.contains(owner.id) && run.task.index == 0)
        {
            at(milliseconds(10),
               [this, incarnation = worker.description.id, run]
               {
                   if (m_workers[incarnation].running.contains(run))
                   {
                       m_crash_worker(incarnation);
                   }
               });
        }
    }
    std::function<void(const std::string& incarnation)> m_crash_worker;
    // A gang starts to work when all members of one run are present, at the speed of its slowest member; then
    // all end together.
    void begin_gang(const run_ref& run, const step_spec& step, std::int64_t length_ms)
    {
        std::vector<std::pair<std::string, run_ref>> members;
        for (std::uint32_t index = 0; index < step.count; ++index)
        {
            const run_ref member{task_ref{run.task.step, index}, run.run};
            for (const std::string& incarnation : m_workers_started_on[member.task])
            {
                if (m_workers[incarnation].running.contains(member))
                {
                    members.emplace_back(incarnation, member);
                }
            }
        }
        double slowest = 1.0;
        for (const auto& [incarnation, member] : members)
        {
            slowest = std::max(slowest, m_workers[incarnation].slowness);
        }
        const double length = static_cast<double>(length_ms) * slowest;
        if (members.size() == step.count)
        {
            for (const auto& [incarnation, member] : members)
            {
                m_workers[incarnation].running[member].assembled = true;
                finish_at(incarnation, member, milliseconds(static_cast<std::int64_t>(length)));
            }
        }
    }
    // A member waits only this long for the others.
    void end_if_not_assembled(const std::string& incarnation, const run_ref& run)
    {
        at(gang_assembly_timeout,
           [this, incarnation, run, process_start = m_workers[incarnation].description.process_start]
           {
               sim_worker& worker = m_workers[incarnation];
               const auto found = worker.running.find(run);
               if (found != worker.running.end() && !found->second.assembled &&
                   worker.description.process_start == process_start)
               {
                   end(worker, run, run_end::lonely);
               }
           });
    }
    static constexpr milliseconds gang_assembly_timeout{3000}; // the platform's
    void finish_at(const std::string& incarnation, const run_ref& run, duration in)
    {
        at(in,
           [this, incarnation, run, process_start = m_workers[incarnation].description.process_start]
           {
               sim_worker& worker = m_workers[incarnation];
               expire_lease_if_over(worker);
               const auto found = worker.running.find(run);
               if (found != worker.running.end() && !worker.terminated &&
                   worker.description.process_start == process_start)
               {
                   end(worker, run, found->second.fails ? run_end::failed : run_end::completed);
               }
           });
    }
    void check_start(const sim_worker& worker, const run_ref& run, const step_spec& step,
                     const submission& owner)
    {
        for (const std::string& incarnation : m_workers_started_on[run.task])
        {
            const sim_worker& other = m_workers[incarnation];
            const auto first = other.running.lower_bound(run_ref{run.task, 0});
            for (auto at = first; at != other.running.end() && at->first.task == run.task; ++at)
            {
                if (!other.terminated && lease_holds(other))
                {
                    m_violations.push_back("two runs at once: " + name_of(run) + " while " +
                                           name_of(at->first) + " runs on " + incarnation);
                }
            }
        }
        m_workers_started_on[run.task].insert(worker.description.id);
        m_last_start[run.task] = m_now;
        if (m_confirmed_tasks.contains(run.task))
        {
            m_violations.push_back("started after its completion was acknowledged: " + name_of(run));
        }
        resources used = host_demand_of(step);
        for (const auto& [other, state] : worker.running)
        {
            const step_spec* spec = m_state.find(other.task.step);
            used += spec == nullptr ? resources{} : host_demand_of(*spec);
        }
        if (!fits(used, worker.description.size))
        {
            m_violations.push_back("capacity exceeded: " + name_of(run) + " on " + worker.description.id);
        }
        for (const std::uint32_t earlier : step.after)
        {
            for (std::uint32_t i = 0; i < owner.spec.steps[earlier].count; ++i)
            {
                if (!m_completed_tasks.contains(task_ref{{owner.id, run.task.step.round, earlier}, i}))
                {
                    m_violations.push_back("started before its dependency completed: " + name_of(run));
                }
            }
        }
    }
    void end(sim_worker& worker, const run_ref& run, run_end how)
    {
        const auto cancelled = m_cancelled.find(run.task.step.submission);
        if (cancelled != m_cancelled.end())
        {
            const monotonic_time from = std::max(cancelled->second, worker.running[run].began);
            m_longest_after_cancel = std::max<duration>(m_longest_after_cancel, m_now - from);
        }
        worker.running.erase(run);
        std::uint32_t& highest = worker.highest[run.task];
        highest = std::max(highest, run.run);
        worker.ended.push_back(
            {worker.next_end++, run, how, how == run_end::completed ? std::string{} : "saved"});
        worker.ended_at[worker.next_end - 1] = m_now;
        const step_spec* spec = m_state.find(run.task.step);
        if (how == run_end::completed && spec != nullptr && !spec->long_running)
        {
            m_completed_tasks.insert(run.task);
        }
        answer_poll(worker);
    }

    void handle_stop(const stop_task_order& order, const std::function<void(const order_answer&)>& handler,
                     bool late = false)
    {
        sim_worker* worker = find(order.to.id);
        if (worker == nullptr)
        {
            if (answer_for_absent_worker(order.to, order_timeout, handler) == order_outcome::unanswered)
            {
                stop_later(order);
            }
            return;
        }
        if (order.to.fence < worker->fence)
        {
            answer_later(handler, {order_outcome::fenced, clock_of(*worker), false});
            return;
        }
        if (!late && random_fraction() < worker->faults.late_stops)
        {
            at(order_timeout,
               [handler]
               {
                   handler({order_outcome::unanswered, {}, false});
               });
            at(milliseconds(2000 + static_cast<int>(random_fraction() * 10000)),
               [this, order]
               {
                   handle_stop(
                       order, [](const order_answer&) {}, true);
               });
            return;
        }
        execute_stop(*worker, order);
        answer_later(handler, {order_outcome::accepted, clock_of(*worker), false});
    }
    void stop_later(const stop_task_order& order)
    {
        carry_out_later(order.to, m_settings.delayed_orders.stops,
                        [this, order](sim_worker& worker)
                        {
                            if (order.to.fence >= worker.fence)
                            {
                                execute_stop(worker, order);
                            }
                        });
    }
    void execute_stop(sim_worker& worker, const stop_task_order& order)
    {
        worker.fence = order.to.fence;
        std::uint32_t& highest = worker.highest[order.run.task];
        highest = std::max(highest, order.run.run);
        if (worker.running.contains(order.run))
        {
            at(milliseconds(200),
               [this, incarnation = order.to.id, run = order.run]
               {
                   if (m_workers[incarnation].running.contains(run))
                   {
                       end(m_workers[incarnation], run, run_end::stopped);
                   }
               });
        }
    }

    void handle_poll(const poll_order& order, const std::function<void(const poll_answer&)>& handler)
    {
        sim_worker* worker = find(order.to.id);
        if (worker != nullptr && worker->faults.polls_not_sent)
        {
            handler({order_outcome::not_sent, {}, 0, {}, {}});
            return;
        }
        const bool lost = worker != nullptr && random_fraction() < worker->faults.poll_loss;
        if (lost)
        {
            at(order.timeout + milliseconds(order.wait_ms),
               [handler]
               {
                   handler({order_outcome::unanswered, {}, 0, {}, {}});
               });
            poll_later(order);
            return;
        }
        if (worker == nullptr)
        {
            const order_outcome outcome =
                answer_for_absent_worker(order.to, order.timeout + milliseconds(order.wait_ms),
                                         [handler, refused = refuses(order.to.id)](const order_answer& answer)
                                         {
                                             const bool no_process =
                                                 refused && answer.outcome == order_outcome::unreachable;
                                             handler({answer.outcome, {}, 0, {}, {}, no_process});
                                         });
            if (outcome == order_outcome::unanswered)
            {
                poll_later(order);
            }
            return;
        }
        if (order.to.fence < worker->fence)
        {
            at(m_settings.network_delay,
               [handler]
               {
                   handler({order_outcome::fenced, {}, 0, {}, {}});
               });
            return;
        }
        if (worker->faults.rejects_polls)
        {
            at(m_settings.network_delay,
               [handler]
               {
                   handler({order_outcome::rejected, {}, 0, {}, {}});
               });
            return;
        }
        m_connected.emplace(order.to.id, order.to.fence);
        // The leader verifies the incarnation on a connection; another one than the addressed gets neither
        // the lease nor the acknowledged ends of the poll.
        const bool meant = order.to.process_start == worker->description.process_start;
        execute_poll(*worker, order.to.fence, meant ? order.until_ms.value_or(0) : 0,
                     meant ? order.last_seen : 0);
        worker->pending_poll = handler;
        worker->pending_poll_order = order;
        const std::uint64_t number = ++worker->poll_number;
        if (!worker->ended.empty() || order.wait_ms == 0 || !meant)
        {
            answer_poll(*worker);
            return;
        }
        at(milliseconds(order.wait_ms),
           [this, incarnation = order.to.id, number]
           {
               if (m_workers[incarnation].poll_number == number)
               {
                   answer_poll(m_workers[incarnation]);
               }
           });
    }
    void execute_poll(sim_worker& worker, std::uint64_t fence, std::int64_t until, std::uint64_t last_seen)
    {
        worker.fence = fence;
        expire_lease_if_over(worker);
        extend_lease(worker, until);
        std::erase_if(worker.ended,
                      [this, last_seen, &worker](const reported_end& item)
                      {
                          if (item.number <= last_seen)
                          {
                              confirm_end(worker, item);
                          }
                          return item.number <= last_seen;
                      });
    }
    // A delayed poll has passed the verification of the former incarnation: the present one takes its lease
    // and its acknowledged ends.
    void poll_later(const poll_order& order)
    {
        carry_out_later(order.to, m_settings.delayed_orders.polls,
                        [this, order](sim_worker& worker)
                        {
                            if (order.to.fence >= worker.fence)
                            {
                                execute_poll(worker, order.to.fence, order.until_ms.value_or(0),
                                             order.last_seen);
                            }
                        });
    }
    // An end counts once the leader has acknowledged it, unless the lease has expired since.
    void confirm_end(const sim_worker& worker, const reported_end& item)
    {
        if (item.how != run_end::completed || !m_completed_tasks.contains(item.run.task) ||
            worker.lease_expired_at > worker.ended_at.at(item.number))
        {
            return;
        }
        m_confirmed_tasks.insert(item.run.task);
        if (m_last_start[item.run.task] > worker.ended_at.at(item.number))
        {
            m_violations.push_back(
                "started again after its completion was acknowledged: " + name_of(item.run) + " on " +
                worker.description.id + ", ended at " +
                std::to_string(worker.ended_at.at(item.number).time_since_epoch().count() / 1000) +
                ", started at " +
                std::to_string(m_last_start[item.run.task].time_since_epoch().count() / 1000) + ", now " +
                std::to_string(m_now.time_since_epoch().count() / 1000));
        }
    }
    void expire_lease_if_over(sim_worker& worker)
    {
        if (lease_holds(worker))
        {
            return;
        }
        worker.lease_expired_at = m_now;
        const auto running = worker.running;
        for (const auto& [run, state] : running)
        {
            worker.running.erase(run);
            worker.ended.push_back({worker.next_end++, run, run_end::lapsed, ""});
        }
    }
    void answer_poll(sim_worker& worker)
    {
        if (!worker.pending_poll || worker.terminated || worker.faults.unresponsive)
        {
            return;
        }
        poll_answer answer;
        answer.outcome = order_outcome::accepted;
        answer.process_start = worker.description.process_start;
        answer.clock_ms = clock_of(worker);
        answer.ended = worker.ended;
        for (const auto& [run, state] : worker.running)
        {
            const double part = state.length_ms > 0 && !worker.faults.runs_hang
                                    ? static_cast<double>((m_now - state.began).count()) /
                                          (1000.0 * static_cast<double>(state.length_ms))
                                    : 0.0;
            const step_spec* spec = m_state.find(run.task.step);
            const bool long_running = spec != nullptr && spec->long_running;
            const auto percent = static_cast<std::int32_t>(long_running ? 100 : std::min(part, 1.0) * 100);
            answer.running.push_back({run, "", percent, tail_latency_on(worker)});
        }
        auto handler = std::exchange(worker.pending_poll, nullptr);
        at(worker.faults.resets ? duration(milliseconds(300))
                                : m_settings.network_delay, // its poll channel was reset too
           [handler, answer]
           {
               handler(answer);
           });
    }
};

} // namespace walkthread::test
