#pragma once

// A pool whose leader is frozen, or isolated from workers, for a while.

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "limited_connection_pool.hpp"

namespace walkthread::test
{

class faulty_leader_pool : public limited_connection_pool
{
  public:
    using limited_connection_pool::limited_connection_pool;

    // Freezes the leader's process: until then it makes no pass and handles no answer and no report. Calls in
    // flight proceed.
    void freeze_leader(duration span)
    {
        m_frozen_until = now() + span;
        m_frozen_term = term();
    }
    // Drops calls to the worker and messages from it for this time; its runs continue.
    void isolate_worker(const std::string& incarnation, duration span)
    {
        sim_worker& worker = m_workers[incarnation];
        worker.faults.unresponsive = true;
        const monotonic_time until = std::max(m_isolated_until[incarnation], now() + span);
        m_isolated_until[incarnation] = until;
        end_pending_poll(worker, lost_answer_timeout);
        at(until - now(),
           [this, incarnation]
           {
               m_workers[incarnation].faults.unresponsive = now() < m_isolated_until[incarnation];
           });
    }
    [[nodiscard]] std::optional<monotonic_time> leader_active_since() const override
    {
        const std::optional<monotonic_time> leads = limited_connection_pool::leader_active_since();
        return !leads || remaining_freeze() > duration{0} ? std::nullopt
               : m_frozen_term == term()                  ? std::optional(std::max(*leads, m_frozen_until))
                                                          : leads;
    }
    void deliver(
        const worker_report& report, const std::function<void()>& then = [] {}) override
    {
        run_when_resumed(
            [this, report, then]
            {
                limited_connection_pool::deliver(report, then);
            });
    }

  protected:
    [[nodiscard]] duration remaining_freeze() const override
    {
        return m_frozen_term == term() ? std::max<duration>(m_frozen_until - now(), duration{0})
                                       : duration{0};
    }
    dispatch_hooks hooks() override
    {
        dispatch_hooks out = limited_connection_pool::hooks();
        defer_answers<bool>(out.propose);
        defer_answers<const poll_answer&>(out.poll);
        defer_answers<const order_answer&>(out.start);
        defer_answers<const order_answer&>(out.stop);
        defer_answers<const order_answer&>(out.pace);
        out.advise = [this, inner = out.advise](const advice_question& question, bool urgent,
                                                const std::function<void(const advice_answer&)>& handler)
        {
            inner(question, urgent, deferred_handler<const advice_answer&>(handler));
        };
        return out;
    }

  private:
    template <class Answer>
    using answer_handler = std::function<void(Answer)>;

    // Runs the work at once, or as soon as the current leader's process resumes; never if the leader is
    // replaced first.
    void run_when_resumed(const std::function<void()>& work)
    {
        const duration remaining = remaining_freeze();
        if (remaining == duration{0})
        {
            work();
            return;
        }
        at(remaining,
           [this, work, term = term()]
           {
               if (term == this->term() && limited_connection_pool::leader_active_since())
               {
                   run_when_resumed(work);
               }
           });
    }
    template <class Answer>
    answer_handler<Answer> deferred_handler(const answer_handler<Answer>& handler)
    {
        return [this, handler](Answer answer)
        {
            run_when_resumed(
                [handler, answer = std::decay_t<Answer>(answer)]
                {
                    handler(answer);
                });
        };
    }
    template <class Answer, class Call>
    void defer_answers(std::function<void(Call, answer_handler<Answer>)>& hook)
    {
        hook = [this, inner = hook](const Call& call, const answer_handler<Answer>& handler)
        {
            inner(call, deferred_handler<Answer>(handler));
        };
    }

    monotonic_time m_frozen_until{};
    std::uint64_t m_frozen_term = 0;
    std::map<std::string, monotonic_time> m_isolated_until;
};

} // namespace walkthread::test
