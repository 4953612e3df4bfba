#pragma once

// A pool whose leader is frozen, or isolated from workers, for a while.

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "narrow_pool.hpp"

namespace walkthread::test
{

class troubled_pool : public narrow_pool
{
  public:
    using narrow_pool::narrow_pool;

    // Freezes the leader's process: until then it makes no pass and handles no answer and no report. Calls in
    // flight proceed.
    void freeze_leader(duration span)
    {
        m_thaws = now() + span;
        m_frozen_term = term();
    }
    // Drops calls to the worker and messages from it for this time; its runs continue.
    void isolate_worker(const std::string& incarnation, duration span)
    {
        sim_worker& worker = m_workers[incarnation];
        worker.faults.unresponsive = true;
        const monotonic_time until = std::max(m_cut_until[incarnation], now() + span);
        m_cut_until[incarnation] = until;
        if (auto handler = std::exchange(worker.waiting_look, nullptr); handler)
        {
            at(lost_answer_timeout,
               [handler]
               {
                   handler({order_outcome::unanswered, {}, 0, {}, {}});
               });
        }
        at(until - now(),
           [this, incarnation]
           {
               m_workers[incarnation].faults.unresponsive = now() < m_cut_until[incarnation];
           });
    }
    [[nodiscard]] std::optional<monotonic_time> works_since() const override
    {
        const std::optional<monotonic_time> leads = narrow_pool::works_since();
        return !leads || frozen_for() > duration{0} ? std::nullopt
               : m_frozen_term == term()            ? std::optional(std::max(*leads, m_thaws))
                                                    : leads;
    }
    void deliver(
        const worker_report& report, const std::function<void()>& then = [] {}) override
    {
        when_thawed(
            [this, report, then]
            {
                narrow_pool::deliver(report, then);
            });
    }

  protected:
    [[nodiscard]] duration frozen_for() const override
    {
        return m_frozen_term == term() ? std::max<duration>(m_thaws - now(), duration{0}) : duration{0};
    }
    dispatch_hooks hooks() override
    {
        dispatch_hooks out = narrow_pool::hooks();
        delay_answers<bool>(out.propose);
        delay_answers<const poll_answer&>(out.poll);
        delay_answers<const order_answer&>(out.start);
        delay_answers<const order_answer&>(out.stop);
        delay_answers<const order_answer&>(out.pace);
        out.advise = [this, inner = out.advise](const advice_question& question, bool urgent,
                                                const std::function<void(const advice_answer&)>& handler)
        {
            inner(question, urgent, thawed<const advice_answer&>(handler));
        };
        return out;
    }

  private:
    template <class Answer>
    using answer_handler = std::function<void(Answer)>;

    // Runs the work at once, or as soon as the current leader's process resumes; never if the leader is
    // replaced first.
    void when_thawed(const std::function<void()>& work)
    {
        const duration remaining = frozen_for();
        if (remaining == duration{0})
        {
            work();
            return;
        }
        at(remaining,
           [this, work, term = term()]
           {
               if (term == this->term() && narrow_pool::works_since())
               {
                   when_thawed(work);
               }
           });
    }
    template <class Answer>
    answer_handler<Answer> thawed(const answer_handler<Answer>& handler)
    {
        return [this, handler](Answer answer)
        {
            when_thawed(
                [handler, answer = std::decay_t<Answer>(answer)]
                {
                    handler(answer);
                });
        };
    }
    template <class Answer, class Call>
    void delay_answers(std::function<void(Call, answer_handler<Answer>)>& hook)
    {
        hook = [this, inner = hook](const Call& call, const answer_handler<Answer>& handler)
        {
            inner(call, thawed<Answer>(handler));
        };
    }

    monotonic_time m_thaws{};
    std::uint64_t m_frozen_term = 0;
    std::map<std::string, monotonic_time> m_cut_until;
};

} // namespace walkthread::test
