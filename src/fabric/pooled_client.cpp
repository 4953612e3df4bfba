#include <walkthread/fabric/pooled_client.hpp>

#include <utility>

#include <walkthread/node/clock.hpp>

namespace walkthread
{

namespace
{
constexpr milliseconds check_interval{25}; // resolution of deadlines
constexpr duration prune_interval = seconds(5);
} // namespace

pooled_client::pooled_client(boost::asio::io_context& loop, connection_pool_settings settings,
                             std::string name, decision_log& log)
    : m_loop(loop), m_name(std::move(name)), m_log(log), m_pool(settings), m_timer(loop)
{
}

pooled_client::~pooled_client()
{
    *m_alive = false;
}

void pooled_client::send(const std::string& address, web_request request, call_priority priority,
                         milliseconds timeout, web_response_handler handler, next_use next)
{
    const monotonic_time now = monotonic_now();
    const pooled_call_id call{m_next_call++};
    m_waiting.emplace(call, open_call{std::move(request), timeout, std::move(handler), next});
    if (const auto grant = m_pool.acquire(call, address, priority, now + timeout, now))
    {
        begin(*grant);
    }
    else
    {
        arm();
    }
    if (now - m_last_prune >= prune_interval)
    {
        m_last_prune = now;
        for (const pooled_connection_id connection : m_pool.close_idle(now))
        {
            close(connection);
        }
    }
}

void pooled_client::begin(const pool_grant& grant)
{
    if (grant.replaced)
    {
        ++m_replaced;
        close(*grant.replaced);
    }
    if (grant.is_new)
    {
        ++m_opened;
        m_channels[grant.connection] = web_channel::make(m_loop, grant.address);
    }
    auto node = m_waiting.extract(grant.call);
    open_call& call = node.mapped();
    m_channels.at(grant.connection)
        ->send(std::move(call.request), call.timeout,
               [this, alive = m_alive, connection = grant.connection, handler = std::move(call.handler),
                next = call.next](const web_result& outcome)
               {
                   if (*alive)
                   {
                       finish(connection, handler, outcome, next);
                   }
               });
}

// Releases the connection before calling the handler, so that a request sent by the handler can use it.
void pooled_client::finish(pooled_connection_id connection, const web_response_handler& handler,
                           const web_result& outcome, next_use next)
{
    const auto failed_as = [&outcome](web_failure failure)
    {
        return !ok(outcome) && error_of(outcome) == failure;
    };
    m_not_sent += failed_as(web_failure::not_sent) ? 1 : 0;
    m_unreachable += failed_as(web_failure::unreachable) || failed_as(web_failure::refused) ? 1 : 0;
    const auto channel = m_channels.find(connection);
    const bool open = channel != m_channels.end() && channel->second->is_open();
    if (!open)
    {
        m_channels.erase(connection);
    }
    const auto grant = m_pool.release(connection, open, monotonic_now(), next);
    if (grant)
    {
        begin(*grant);
    }
    handler(outcome);
}

void pooled_client::close(pooled_connection_id connection)
{
    const auto found = m_channels.find(connection);
    if (found != m_channels.end())
    {
        found->second->close();
        m_channels.erase(found);
    }
}

void pooled_client::arm()
{
    if (m_armed)
    {
        return;
    }
    m_armed = true;
    m_timer.expires_after(check_interval);
    m_timer.async_wait(
        [this, alive = m_alive](boost::system::error_code cancelled)
        {
            if (*alive && !cancelled)
            {
                m_armed = false;
                const monotonic_time now = monotonic_now();
                for (const pool_grant& grant : m_pool.open_additional(now))
                {
                    begin(grant);
                }
                fail_expired(m_pool.expire(now), now);
                if (m_pool.waiting() > 0)
                {
                    arm();
                }
            }
        });
}

void pooled_client::fail_expired(const std::vector<pooled_call_id>& calls, monotonic_time now)
{
    if (calls.empty())
    {
        return;
    }
    m_not_sent += calls.size();
    m_log.write(now, wall_now(), "calls_not_sent", m_name,
                {{"calls", calls.size()},
                 {"waiting", m_pool.waiting()},
                 {"open", m_pool.open()},
                 {"idle", m_pool.idle()}});
    for (const pooled_call_id call : calls)
    {
        auto node = m_waiting.extract(call);
        node.mapped().handler(web_failure::not_sent);
    }
}

void pooled_client::fill(metrics_page& page) const
{
    const std::string prefix = "walkthread_" + m_name + "_";
    page.add_gauge(prefix + "connections", "Connections to workers for " + m_name + ".",
                   static_cast<double>(m_pool.open()));
    page.add_gauge(prefix + "connections_waiting", "Calls that wait for a connection.",
                   static_cast<double>(m_pool.waiting()));
    page.add_count(prefix + "connections_opened_total", "Connections opened.", static_cast<double>(m_opened));
    page.add_count(prefix + "connections_replaced_total",
                   "Idle connections closed as another address needed one.", static_cast<double>(m_replaced));
    page.add_count(prefix + "not_sent_total", "Calls that got no connection.",
                   static_cast<double>(m_not_sent));
    page.add_count(prefix + "unreachable_total", "Calls whose address took no connection.",
                   static_cast<double>(m_unreachable));
}

} // namespace walkthread
