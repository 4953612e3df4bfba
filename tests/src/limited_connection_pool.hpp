#pragma once

// A pool whose leader has connections for polling only a limited number of workers at a time.

#include <functional>
#include <map>
#include <utility>

#include <walkthread/fabric/connection_pool.hpp>

#include "simulated_pool.hpp"

namespace walkthread::test
{

// Sends polls over a bounded number of connections, each to one worker.
class limited_connection_pool : public simulated_pool
{
  public:
    explicit limited_connection_pool(pool_settings settings)
        : simulated_pool(settings), m_connections(connection_pool_settings{settings.poll_connections})
    {
        expire();
    }
    [[nodiscard]] std::size_t connections_opened() const
    {
        return m_connections_opened;
    }
    [[nodiscard]] std::size_t polls() const
    {
        return m_calls;
    }

  protected:
    using poll_handler = std::function<void(const poll_answer&)>;

    void deliver_poll(const poll_order& order, const poll_handler& handler) override
    {
        const pooled_call_id call{++m_calls};
        m_waiting[call] = {order, handler};
        const duration timeout = milliseconds(order.wait_ms) + order.timeout;
        if (const auto grant =
                m_connections.acquire(call, order.to.address, call_priority::usual, now() + timeout, now()))
        {
            begin(*grant);
        }
    }

  private:
    void begin(const pool_grant& grant)
    {
        m_connections_opened += grant.is_new ? 1 : 0;
        const auto [order, handler] = m_waiting.extract(grant.call).mapped();
        simulated_pool::deliver_poll(
            order,
            [this, handler = handler, connection = grant.connection,
             next_call = order.idle ? next_use::late : next_use::soon](const poll_answer& answer)
            {
                const bool open = answer.outcome != order_outcome::unanswered &&
                                  answer.outcome != order_outcome::unreachable;
                if (const auto next = m_connections.release(connection, open, now(), next_call))
                {
                    begin(*next);
                }
                handler(answer);
            });
    }
    void expire()
    {
        for (const pool_grant& grant : m_connections.open_additional(now()))
        {
            begin(grant);
        }
        for (const pooled_call_id call : m_connections.expire(now()))
        {
            m_waiting.extract(call).mapped().second({order_outcome::not_sent, {}, 0, {}, {}});
        }
        at(milliseconds(25),
           [this]
           {
               expire();
           });
    }

    connection_pool m_connections;
    std::map<pooled_call_id, std::pair<poll_order, poll_handler>> m_waiting;
    std::uint64_t m_calls = 0;
    std::size_t m_connections_opened = 0;
};

} // namespace walkthread::test
