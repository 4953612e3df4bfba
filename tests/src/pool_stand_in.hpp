#pragma once

// A small stand-in of workers, of the placement advisor and of the replicated log, in virtual time, for the
// real dispatcher and the real replicated state. Invariants are checked at every start.

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <walkthread/dispatch/dispatcher.hpp>
#include <walkthread/workload/names.hpp>

namespace walkthread::test
{

// What a worker does wrong.
struct worker_faults
{
    bool dark = false;         // answers nothing; what runs goes on until its lease ends
    double late = 0.0;         // share of starts that get no answer and are carried out 2 to 12 s later
    double late_stops = 0.0;   // the same of stops
    double deaf = 0.0;         // share of looks that get no answer
    double refuse = 0.0;       // share of starts that are refused, nothing done
    bool unheard = false;      // its own reports do not arrive
    bool fails_all = false;    // every run fails after 100 ms
    bool stands_still = false; // runs never end
    bool resets = false; // starts are carried out, the connection breaks, and the channel sends them again
};

struct pool_settings
{
    std::size_t workers = 8;
    resources size{16000, 65536, 0, 0};
    duration commit = milliseconds(10);
    duration way = milliseconds(1);
    double good_share = 0.5;
    duration question = milliseconds(10); // to the advisor, besides 0.2 ms for each worker
    bool tickets_from_question = false;   // they count from then on, not from the answer
    std::size_t slow_every = 0;           // each so manieth worker takes 1.3 times as long; 0 for none
    duration upkeep = milliseconds(0);    // a host is down for that long; 0: the order has no effect
    std::uint64_t seed = 1;
    mechanism_set mechanisms;
    bool log_lines = false;
};

class pool_stand_in
{
  public:
    explicit pool_stand_in(pool_settings settings) : m_settings(settings), m_random(settings.seed)
    {
        report_all();
        catalogue held;
        held.version = 1;
        held.pools.push_back({"pool", false, false});
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
        commit(replace_catalogue{held});
        for (std::size_t i = 0; i < settings.workers; ++i)
        {
            add_worker("w" + std::to_string(i), "h" + std::to_string(i));
        }
    }

    // -----------------------------------------------------------------------------------------------------
    // Driving
    // -----------------------------------------------------------------------------------------------------

    // A leader of a new term takes over; the old one, if any, is gone.
    void lead()
    {
        m_leader.reset();
        ++m_term;
        dispatch_settings chosen;
        chosen.mechanisms = m_settings.mechanisms;
        m_leader = std::make_unique<dispatcher>(m_state, chosen, hooks(), m_log, m_term, m_now);
        for (auto& [life, worker] : m_workers)
        {
            if (!worker.gone && !worker.faults.unheard)
            {
                report(life, worker.draining);
            }
        }
        m_pass_due = false;
        wake();
    }
    void unlead()
    {
        m_leader.reset();
    }
    void run(duration span)
    {
        const monotonic_time end = m_now + span;
        while (!m_events.empty() && m_events.top().at <= end)
        {
            auto work = m_events.top().work;
            m_now = std::max(m_now, m_events.top().at);
            m_events.pop();
            work();
        }
        m_now = end;
    }
    void report(const std::string& life, bool draining, std::int64_t remaining_ms = 3000)
    {
        deliver(write_report(life, draining, remaining_ms));
    }
    // A report as the worker sends it; it may be delivered later, behind newer ones.
    worker_report write_report(const std::string& life, bool draining, std::int64_t remaining_ms = 3000)
    {
        sim_worker& worker = m_workers[life];
        worker.draining = draining;
        worker_report out;
        out.facts = worker.facts;
        out.draining = draining;
        out.remaining_ms = remaining_ms;
        out.clock_ms = clock_of(worker);
        out.sequence = ++worker.sequence;
        return out;
    }
    // `then` is called when the report is acknowledged.
    void deliver(
        const worker_report& report, const std::function<void()>& then = [] {})
    {
        m_leader->take_report(report, m_now,
                              [this, report, then](bool counted)
                              {
                                  if (counted)
                                  {
                                      note_acknowledged(report);
                                      then();
                                  }
                              });
    }
    // A worker says that it ends now; `then` is called when that is acknowledged.
    void leave(const std::string& life, const std::function<void()>& then)
    {
        m_workers[life].gone = true;
        m_workers[life].running.clear();
        m_leader->take_leave(life,
                             [then](bool counted)
                             {
                                 if (counted)
                                 {
                                     then();
                                 }
                             });
    }
    void add_worker(const std::string& life, const std::string& host, bool reports = true)
    {
        sim_worker& worker = m_workers[life];
        const bool slow = m_settings.slow_every > 0 && m_workers.size() % m_settings.slow_every == 0;
        worker.slowness = slow ? 1.3 : 1.0;
        worker.facts = {life,           host,   host + ":1",
                        "pool",         "hall", {"kind", "rack" + std::to_string(m_workers.size() / 8)},
                        m_settings.size};
        worker.faults.unheard = !reports;
        if (m_leader && reports)
        {
            report(life, false);
        }
    }
    // The worker's process dies; another life comes on the same host. It reports at once, unless that is left
    // to the test.
    void crash(const std::string& life, const std::string& next, bool reports = true)
    {
        const std::string host = m_workers[life].facts.host;
        m_workers[life].gone = true;
        m_workers[life].running.clear();
        add_worker(next, host, reports);
    }
    // One run there fails.
    void fail_one(const std::string& life)
    {
        sim_worker& worker = m_workers[life];
        const run_ref run = worker.running.begin()->first; // a copy: the end erases it
        end(worker, run, run_end::failed);
    }
    submission_id submit(const std::string& queue, std::vector<step_spec> steps)
    {
        keep_submission command;
        command.id = submission_id{++m_next_id};
        command.queue = queue;
        command.spec.payload = "text";
        command.spec.steps = std::move(steps);
        const submission_id id = command.id;
        at(m_settings.commit,
           [this, command]
           {
               m_last_result = commit(command);
               wake();
           });
        return id;
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

    worker_faults& faults(const std::string& life)
    {
        return m_workers[life].faults;
    }
    workload_state& state()
    {
        return m_state;
    }
    dispatcher& leader()
    {
        return *m_leader;
    }
    [[nodiscard]] monotonic_time now() const
    {
        return m_now;
    }
    [[nodiscard]] const std::vector<std::string>& broken() const
    {
        return m_broken;
    }
    [[nodiscard]] std::size_t starts_of(const task_ref& task) const
    {
        const auto found = m_starts.find(task);
        return found == m_starts.end() ? 0 : found->second;
    }
    [[nodiscard]] std::size_t starts_on(const std::string& life) const
    {
        const auto found = m_workers.find(life);
        return found == m_workers.end() ? 0 : found->second.starts;
    }
    [[nodiscard]] std::size_t running_on(const std::string& life) const
    {
        return m_workers.at(life).running.size();
    }
    [[nodiscard]] std::int64_t tail_on(const std::string& life) const
    {
        return tail_on(m_workers.at(life));
    }
    void begin_upkeep(const std::vector<std::string>& hosts, std::int64_t within_s, std::uint32_t at_once,
                      std::uint64_t wave = 1)
    {
        commit(begin_wave{wave, hosts, within_s, at_once});
        wake();
    }
    [[nodiscard]] std::size_t passes() const
    {
        return m_passes;
    }
    // The longest that a run was seen on a worker after its submission's cancel was committed.
    [[nodiscard]] duration longest_after_cancel() const
    {
        return m_longest_after_cancel;
    }
    [[nodiscard]] std::size_t most_down() const
    {
        return m_most_down;
    }
    std::set<submission_id> always_fails; // runs of these fail

  private:
    // Workers report about every 1.5 s while somebody hears them.
    void report_all()
    {
        for (auto& [life, worker] : m_workers)
        {
            if (m_leader && !worker.gone && !worker.faults.dark && !worker.faults.unheard)
            {
                report(life, worker.draining);
            }
        }
        at(milliseconds(1500),
           [this]
           {
               report_all();
           });
    }

    struct sim_run
    {
        monotonic_time ends{};
        bool fails{};
        std::int64_t length_ms{};
        monotonic_time began{};
        std::int32_t pace = 100;
    };
    struct sim_worker
    {
        worker_facts facts;
        worker_faults faults;
        bool gone = false;
        bool draining = false;
        double slowness = 1.0;
        std::uint64_t fence = 0;
        std::uint64_t sequence = 0;
        std::uint64_t next_end = 1;
        std::int64_t lease_until = 0;
        std::map<run_ref, sim_run> running;
        std::map<task_ref, std::uint32_t> highest; // runs stopped or ended there
        std::vector<listed_end> ended;
        std::map<std::uint64_t, monotonic_time> ended_at;
        monotonic_time lapsed_at{};
        std::function<void(const look_answer&)> waiting_look;
        std::uint64_t look_number = 0;
        std::size_t starts = 0;
        std::optional<monotonic_time> leaving_acknowledged;
        std::uint64_t acknowledged_sequence = 0; // of the newest report that was acknowledged
    };
    // New work stops half of the platform's shortest bound after the acknowledgement.
    static constexpr milliseconds leaving_bound{1000};

    void note_acknowledged(const worker_report& report)
    {
        sim_worker& worker = m_workers[report.facts.life];
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
    // As the platform does: 200 also for an upkeep that was done, a refusal while the host is down for it.
    order_outcome take_down(const std::string& host)
    {
        if (m_settings.upkeep == duration{0} || m_upkept.contains(host))
        {
            return m_down_now.contains(host) ? order_outcome::no_room : order_outcome::accepted;
        }
        const auto here = std::find_if(m_workers.begin(), m_workers.end(),
                                       [&host](const auto& item)
                                       {
                                           return item.second.facts.host == host && !item.second.gone;
                                       });
        if (here == m_workers.end())
        {
            return order_outcome::no_room;
        }
        here->second.gone = true;
        here->second.running.clear();
        m_upkept.insert(host);
        m_down_now.insert(host);
        m_most_down = std::max(m_most_down, m_down_now.size());
        at(m_settings.upkeep,
           [this, host, next = here->first + "+"]
           {
               m_down_now.erase(host);
               add_worker(next, host);
           });
        return order_outcome::accepted;
    }
    struct event
    {
        monotonic_time at{};
        std::uint64_t order{};
        std::function<void()> work;
        bool operator<(const event& other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    void at(duration in, std::function<void()> work)
    {
        m_events.push({m_now + in, ++m_order, std::move(work)});
    }
    workload_result commit(const workload_command& command)
    {
        return m_state.apply(wall(), command);
    }
    [[nodiscard]] wall_ms wall() const
    {
        return 1'700'000'000'000 + std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()).count();
    }
    [[nodiscard]] std::int64_t clock_of(const sim_worker& /*worker*/) const
    {
        return 5000 + std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()).count();
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
    // One pass at that time, unless a later call asks for an earlier one.
    void pass_at(monotonic_time when)
    {
        at(when - m_now,
           [this, term = m_term, number = ++m_pass_number]
           {
               if (!m_leader || term != m_term || number != m_pass_number)
               {
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

    dispatch_hooks hooks()
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
                   const bool leads = m_leader && term == m_term;
                   if (leads)
                   {
                       commit(command);
                   }
                   handler(leads);
               });
        };
        out.look = [this](const look_order& order, const std::function<void(const look_answer&)>& handler)
        {
            at(m_settings.way,
               [this, order, handler]
               {
                   take_look(order, handler);
               });
        };
        out.start =
            [this](const start_task_order& order, const std::function<void(const order_answer&)>& handler)
        {
            at(m_settings.way,
               [this, order, handler]
               {
                   take_start(order, handler, false);
               });
        };
        out.stop =
            [this](const stop_task_order& order, const std::function<void(const order_answer&)>& handler)
        {
            at(m_settings.way,
               [this, order, handler]
               {
                   take_stop(order, handler);
               });
        };
        out.pace =
            [this](const pace_task_order& order, const std::function<void(const order_answer&)>& handler)
        {
            at(m_settings.way,
               [this, order, handler]
               {
                   sim_worker* worker = find(order.to.life);
                   const bool runs = worker != nullptr && worker->running.contains(order.run);
                   if (runs)
                   {
                       worker->running[order.run].pace = order.percent;
                   }
                   handler({runs ? order_outcome::accepted : order_outcome::unanswered, {}, false});
               });
        };
        out.advise = [this](const advice_question& question, bool,
                            const std::function<void(const advice_answer&)>& handler)
        {
            const duration took = m_settings.question + question.lives.size() * duration(200);
            at(took,
               [this, question, handler, took]
               {
                   advice_answer answer;
                   answer.answered = true;
                   answer.took = took;
                   answer.took_ms = std::chrono::duration_cast<milliseconds>(took).count();
                   for (const std::string& life : question.lives)
                   {
                       if (is_good(question.step, life))
                       {
                           const monotonic_time from =
                               m_settings.tickets_from_question ? m_now - took : m_now;
                           m_tickets[{question.step, life}] = from + milliseconds(1500);
                           answer.good.push_back({life, "t"});
                       }
                   }
                   handler(answer);
               });
        };
        out.order_upkeep = [this](const std::string& host, std::uint64_t, std::uint64_t,
                                  const std::function<void(const order_answer&)>& handler)
        {
            answer_later(handler, {take_down(host), {}, false});
        };
        return out;
    }

    [[nodiscard]] bool is_good(const step_ref& step, const std::string& life) const
    {
        const std::size_t mixed = std::hash<std::string>{}(name_of(step) + m_workers.at(life).facts.host);
        return static_cast<double>(mixed % 1000U) < m_settings.good_share * 1000.0;
    }
    void answer_later(const std::function<void(const order_answer&)>& handler, order_answer answer)
    {
        at(m_settings.way,
           [handler, answer]
           {
               handler(answer);
           });
    }
    // The life that is meant does not answer: another one that lives at its address says so.
    void answer_for_other(const worker_address& to, duration patience,
                          const std::function<void(const order_answer&)>& handler)
    {
        const bool other = std::any_of(m_workers.begin(), m_workers.end(),
                                       [&to](const auto& item)
                                       {
                                           const sim_worker& worker = item.second;
                                           return worker.facts.address == to.address &&
                                                  item.first != to.life && !worker.gone &&
                                                  !worker.faults.dark;
                                       });
        at(other ? duration(m_settings.way) : patience,
           [handler, other]
           {
               handler({other ? order_outcome::other_life : order_outcome::unanswered, {}, false});
           });
    }
    static constexpr milliseconds order_patience{600};

    void take_start(const start_task_order& order, const std::function<void(const order_answer&)>& handler,
                    bool late)
    {
        sim_worker* worker = find(order.to.life);
        if (worker == nullptr)
        {
            answer_for_other(order.to, order_patience, handler);
            return;
        }
        if (!late && unit() < worker->faults.late)
        {
            at(order_patience,
               [handler]
               {
                   handler({order_outcome::unanswered, {}, false});
               });
            at(milliseconds(2000 + static_cast<int>(unit() * 10000)),
               [this, order]
               {
                   take_start(
                       order, [](const order_answer&) {}, true);
               });
            return;
        }
        if (worker->faults.resets)
        {
            do_start(*worker, order);
            at(milliseconds(210),
               [this, order, handler]
               {
                   sim_worker* again = find(order.to.life);
                   const order_outcome outcome =
                       again == nullptr ? order_outcome::unanswered : do_start(*again, order);
                   handler({outcome, {}, true});
               });
            return;
        }
        answer_later(handler, {do_start(*worker, order, late), clock_of(*worker), false});
    }
    order_outcome do_start(sim_worker& worker, const start_task_order& order, bool late = false)
    {
        if (order.to.fence < worker.fence)
        {
            return order_outcome::fenced;
        }
        worker.fence = order.to.fence;
        lapse_if_over(worker);
        worker.lease_until = std::max(worker.lease_until, order.until_ms);
        if (worker.running.contains(order.run))
        {
            return order_outcome::accepted;
        }
        const auto highest = worker.highest.find(order.run.task);
        if (highest != worker.highest.end() && order.run.run <= highest->second)
        {
            return order_outcome::outdated;
        }
        if (order.until_ms < clock_of(worker))
        {
            return order_outcome::late;
        }
        if (unit() < worker.faults.refuse)
        {
            return order_outcome::unhealthy;
        }
        const submission* owner = m_state.find(order.run.task.step.submission);
        if (m_state.find(order.run.task.step) == nullptr)
        {
            m_broken.push_back("started though its submission was over: " + name_of(order.run));
            return order_outcome::rejected;
        }
        const queue_spec* queue = find_queue_by_name(*m_state.held_catalogue(), owner->queue);
        const auto ticket = m_tickets.find({order.run.task.step, order.to.life});
        if (queue->advised && (ticket == m_tickets.end() || ticket->second < m_now))
        {
            return order_outcome::bad_ticket;
        }
        const bool leaves =
            worker.leaving_acknowledged && m_now - *worker.leaving_acknowledged > leaving_bound;
        if (leaves && !late)
        {
            m_broken.push_back("started on a worker that leaves: " + name_of(order.run) + " on " +
                               worker.facts.life);
        }
        begin(worker, order, *owner);
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
        made.fails = worker.faults.fails_all || always_fails.contains(owner.id);
        made.length_ms = made.fails ? 100 : step.estimate_ms;
        const bool ends = !worker.faults.stands_still && !step.lasting;
        if (ends && !step.gang)
        {
            const double length = static_cast<double>(made.length_ms) * worker.slowness;
            finish_at(worker.facts.life, run, milliseconds(static_cast<std::int64_t>(length)));
        }
        if (step.gang)
        {
            begin_gang(run, step, made.length_ms);
        }
    }
    // A gang works from when all of one run are present, as its slowest member; then all end together.
    void begin_gang(const run_ref& run, const step_spec& step, std::int64_t length_ms)
    {
        std::vector<std::pair<std::string, run_ref>> members;
        for (auto& [life, worker] : m_workers)
        {
            for (const auto& [other, state] : worker.running)
            {
                if (other.task.step == run.task.step && other.run == run.run)
                {
                    members.emplace_back(life, other);
                }
            }
        }
        double slowest = 1.0;
        for (const auto& [life, member] : members)
        {
            slowest = std::max(slowest, m_workers[life].slowness);
        }
        const double length = static_cast<double>(length_ms) * slowest;
        if (members.size() == step.count)
        {
            for (const auto& [life, member] : members)
            {
                finish_at(life, member, milliseconds(static_cast<std::int64_t>(length)));
            }
        }
    }
    void finish_at(const std::string& life, const run_ref& run, duration in)
    {
        at(in,
           [this, life, run]
           {
               sim_worker& worker = m_workers[life];
               lapse_if_over(worker);
               const auto found = worker.running.find(run);
               if (found != worker.running.end() && !worker.gone)
               {
                   end(worker, run, found->second.fails ? run_end::failed : run_end::completed);
               }
           });
    }
    void check_start(const sim_worker& worker, const run_ref& run, const step_spec& step,
                     const submission& owner)
    {
        for (const auto& [life, other] : m_workers)
        {
            for (const auto& [elsewhere, state] : other.running)
            {
                if (elsewhere.task == run.task && !other.gone && lease_holds(other))
                {
                    m_broken.push_back("two runs at once: " + name_of(run) + " while " + name_of(elsewhere) +
                                       " runs on " + life);
                }
            }
        }
        m_last_start[run.task] = m_now;
        if (m_noted.contains(run.task))
        {
            m_broken.push_back("started after it was done: " + name_of(run));
        }
        resources used = room_of(step);
        for (const auto& [other, state] : worker.running)
        {
            const step_spec* spec = m_state.find(other.task.step);
            used += spec == nullptr ? resources{} : room_of(*spec);
        }
        if (!fits(used, worker.facts.size))
        {
            m_broken.push_back("beyond the room: " + name_of(run) + " on " + worker.facts.life);
        }
        for (const std::uint32_t earlier : step.after)
        {
            for (std::uint32_t i = 0; i < owner.spec.steps[earlier].count; ++i)
            {
                if (!m_done.contains(task_ref{{owner.id, run.task.step.round, earlier}, i}))
                {
                    m_broken.push_back("before its dependency: " + name_of(run));
                }
            }
        }
    }
    [[nodiscard]] bool lease_holds(const sim_worker& worker) const
    {
        return worker.lease_until >= clock_of(worker);
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
        if (how == run_end::completed && spec != nullptr && !spec->lasting)
        {
            m_done.insert(run.task);
        }
        answer_look(worker);
    }

    void take_stop(const stop_task_order& order, const std::function<void(const order_answer&)>& handler,
                   bool late = false)
    {
        sim_worker* worker = find(order.to.life);
        if (worker == nullptr)
        {
            answer_for_other(order.to, order_patience, handler);
            return;
        }
        if (order.to.fence < worker->fence)
        {
            answer_later(handler, {order_outcome::fenced, clock_of(*worker), false});
            return;
        }
        if (!late && unit() < worker->faults.late_stops)
        {
            at(order_patience,
               [handler]
               {
                   handler({order_outcome::unanswered, {}, false});
               });
            at(milliseconds(2000 + static_cast<int>(unit() * 10000)),
               [this, order]
               {
                   take_stop(
                       order, [](const order_answer&) {}, true);
               });
            return;
        }
        worker->fence = order.to.fence;
        std::uint32_t& highest = worker->highest[order.run.task];
        highest = std::max(highest, order.run.run);
        if (worker->running.contains(order.run))
        {
            at(milliseconds(200),
               [this, life = order.to.life, run = order.run]
               {
                   if (m_workers[life].running.contains(run))
                   {
                       end(m_workers[life], run, run_end::stopped);
                   }
               });
        }
        answer_later(handler, {order_outcome::accepted, clock_of(*worker), false});
    }

    void take_look(const look_order& order, const std::function<void(const look_answer&)>& handler)
    {
        sim_worker* worker = find(order.to.life);
        const bool lost = worker != nullptr && unit() < worker->faults.deaf;
        if (lost)
        {
            at(order.patience + milliseconds(order.wait_ms),
               [handler]
               {
                   handler({order_outcome::unanswered, 0, {}, {}});
               });
            return;
        }
        if (worker == nullptr)
        {
            answer_for_other(order.to, order.patience + milliseconds(order.wait_ms),
                             [handler](const order_answer& answer)
                             {
                                 handler({answer.outcome, 0, {}, {}});
                             });
            return;
        }
        if (order.to.fence < worker->fence)
        {
            at(m_settings.way,
               [handler]
               {
                   handler({order_outcome::fenced, 0, {}, {}});
               });
            return;
        }
        worker->fence = order.to.fence;
        lapse_if_over(*worker);
        worker->lease_until = std::max(worker->lease_until, order.until_ms.value_or(0));
        std::erase_if(worker->ended,
                      [this, &order, worker](const listed_end& item)
                      {
                          if (item.number <= order.last_seen)
                          {
                              take_note(*worker, item);
                          }
                          return item.number <= order.last_seen;
                      });
        worker->waiting_look = handler;
        const std::uint64_t number = ++worker->look_number;
        if (!worker->ended.empty() || order.wait_ms == 0)
        {
            answer_look(*worker);
            return;
        }
        at(milliseconds(order.wait_ms),
           [this, life = order.to.life, number]
           {
               if (m_workers[life].look_number == number)
               {
                   answer_look(m_workers[life]);
               }
           });
    }
    // An end counts once the leader says that it has it, unless the lease lapsed since.
    void take_note(const sim_worker& worker, const listed_end& item)
    {
        if (item.how != run_end::completed || !m_done.contains(item.run.task) ||
            worker.lapsed_at > worker.ended_at.at(item.number))
        {
            return;
        }
        m_noted.insert(item.run.task);
        if (m_last_start[item.run.task] > worker.ended_at.at(item.number))
        {
            m_broken.push_back(
                "noted as done, and started since: " + name_of(item.run) + " on " + worker.facts.life +
                ", ended at " +
                std::to_string(worker.ended_at.at(item.number).time_since_epoch().count() / 1000) +
                ", started at " +
                std::to_string(m_last_start[item.run.task].time_since_epoch().count() / 1000) + ", now " +
                std::to_string(m_now.time_since_epoch().count() / 1000));
        }
    }
    void lapse_if_over(sim_worker& worker)
    {
        if (lease_holds(worker))
        {
            return;
        }
        worker.lapsed_at = m_now;
        const auto running = worker.running;
        for (const auto& [run, state] : running)
        {
            worker.running.erase(run);
            worker.ended.push_back({worker.next_end++, run, run_end::lapsed, ""});
        }
    }
    void answer_look(sim_worker& worker)
    {
        if (!worker.waiting_look || worker.gone || worker.faults.dark)
        {
            return;
        }
        look_answer answer;
        answer.outcome = order_outcome::accepted;
        answer.clock_ms = clock_of(worker);
        answer.ended = worker.ended;
        for (const auto& [run, state] : worker.running)
        {
            const double part = state.length_ms > 0 && !worker.faults.stands_still
                                    ? static_cast<double>((m_now - state.began).count()) /
                                          (1000.0 * static_cast<double>(state.length_ms))
                                    : 0.0;
            const step_spec* spec = m_state.find(run.task.step);
            const bool lasting = spec != nullptr && spec->lasting;
            const auto percent = static_cast<std::int32_t>(lasting ? 100 : std::min(part, 1.0) * 100);
            answer.running.push_back({run, "", percent, tail_on(worker)});
        }
        auto handler = std::exchange(worker.waiting_look, nullptr);
        at(worker.faults.resets ? duration(milliseconds(300))
                                : m_settings.way, // its other channel was reset too
           [handler, answer]
           {
               handler(answer);
           });
    }
    // The tail of serving tasks, in milliseconds: 60, and one for each percent at which a filler works.
    [[nodiscard]] std::int64_t tail_on(const sim_worker& worker) const
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
    sim_worker* find(const std::string& life)
    {
        const auto found = m_workers.find(life);
        const bool silent = found == m_workers.end() || found->second.gone || found->second.faults.dark;
        return silent ? nullptr : &found->second;
    }
    double unit()
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(m_random);
    }

    pool_settings m_settings;
    std::mt19937_64 m_random;
    monotonic_time m_now{seconds(100)};
    workload_state m_state;
    decision_log m_log;
    std::unique_ptr<dispatcher> m_leader;
    std::uint64_t m_term = 0;
    std::uint64_t m_order = 0;
    std::uint64_t m_next_id = 1000;
    bool m_pass_due = false;
    std::size_t m_passes = 0;
    std::size_t m_pass_number = 0; // of the pass that comes next
    workload_result m_last_result;
    std::priority_queue<event> m_events;
    std::map<std::string, sim_worker> m_workers;
    std::map<std::pair<step_ref, std::string>, monotonic_time> m_tickets;
    std::set<task_ref> m_done;  // some run of it ended so
    std::set<task_ref> m_noted; // and the leader said that it knows
    std::map<task_ref, monotonic_time> m_last_start;
    std::map<task_ref, std::size_t> m_starts;
    std::map<submission_id, monotonic_time> m_cancelled;
    duration m_longest_after_cancel{};
    std::set<std::string> m_upkept;   // hosts whose upkeep began
    std::set<std::string> m_down_now; // those of them that are down
    std::size_t m_most_down = 0;
    std::vector<std::string> m_broken;
};

// One step of `count` tasks.
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
