#pragma once

// Virtual time: runs scheduled callbacks in the order of their times.

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <vector>

#include <walkthread/units/time.hpp>

namespace walkthread::test
{

class virtual_events
{
  public:
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
    [[nodiscard]] monotonic_time now() const
    {
        return m_now;
    }
    // Runs the callback periodically.
    void every(duration gap, const std::function<void()>& work)
    {
        at(gap,
           [this, gap, work]
           {
               work();
               every(gap, work);
           });
    }

  protected:
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

    monotonic_time m_now{seconds(100)};

  private:
    std::uint64_t m_order = 0;
    std::priority_queue<event> m_events;
};

} // namespace walkthread::test
