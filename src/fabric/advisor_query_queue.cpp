#include <walkthread/fabric/advisor_query_queue.hpp>

#include <algorithm>
#include <utility>

namespace walkthread
{

namespace
{
constexpr duration client_timeout = seconds(2); // clients report every 0.4 s
constexpr duration client_failure_backoff =
    seconds(1);                              // a client that got no response is not used for this time
constexpr double idle_client_fraction = 0.4; // share of idle clients from which late work may query too
constexpr std::size_t clients_reserved_for_urgent = 2; // if there are at least twice as many clients
constexpr duration max_normal_wait =
    seconds(1); // then a normal query goes ahead of urgent ones; otherwise a
                // burst of urgent work delays a long-running task for seconds
} // namespace

advisor_query_queue::advisor_query_queue(
    std::function<void(const std::string&, const advice_question&, answer_handler)> ask)
    : m_ask(std::move(ask))
{
}

void advisor_query_queue::record_client(const std::string& client, monotonic_time now)
{
    client_state& state = m_clients[client];
    ++m_clients_examined;
    if (state.live)
    {
        m_live.erase({state.last_seen, client});
    }
    else if (!state.busy)
    {
        m_free.emplace(state.backoff_until, client);
    }
    state.live = true;
    state.last_seen = std::max(state.last_seen, now);
    m_live.emplace(state.last_seen, client);
    send_next(now);
}

void advisor_query_queue::set_busy(const std::string& client, bool busy)
{
    client_state& state = m_clients[client];
    state.busy = busy;
    if (busy)
    {
        m_free.erase({state.backoff_until, client});
    }
    else if (state.live)
    {
        m_free.emplace(state.backoff_until, client);
    }
}

void advisor_query_queue::expire_clients(monotonic_time now)
{
    while (!m_live.empty() && now - m_live.begin()->first >= client_timeout)
    {
        const std::string client = m_live.begin()->second;
        m_live.erase(m_live.begin());
        client_state& state = m_clients[client];
        state.live = false;
        m_free.erase({state.backoff_until, client});
        ++m_clients_examined;
    }
}

void advisor_query_queue::enqueue(const advice_question& question, bool urgent, answer_handler handler,
                                  monotonic_time now)
{
    (urgent ? m_urgent : m_normal).push_back({question, std::move(handler), now});
    send_next(now);
}

void advisor_query_queue::clear()
{
    ++m_generation;
    m_urgent.clear();
    m_normal.clear();
    for (const auto& [name, state] : m_clients)
    {
        set_busy(name, false);
    }
    m_busy = 0;
    m_busy_normal = 0;
}

bool advisor_query_queue::mostly_idle(monotonic_time now)
{
    expire_clients(now);
    std::size_t idle = m_free.size();
    for (auto in_backoff = m_free.rbegin(); in_backoff != m_free.rend() && in_backoff->first > now;
         ++in_backoff)
    {
        --idle;
        ++m_clients_examined;
    }
    return static_cast<double>(idle) >= idle_client_fraction * static_cast<double>(m_live.size());
}

std::string advisor_query_queue::find_free_client(monotonic_time now)
{
    ++m_clients_examined;
    return m_free.empty() || m_free.begin()->first > now ? std::string{} : m_free.begin()->second;
}

void advisor_query_queue::send_next(monotonic_time now)
{
    expire_clients(now);
    for (;;)
    {
        const std::size_t live = m_live.size();
        const std::size_t normal_limit =
            live >= 2 * clients_reserved_for_urgent ? live - clients_reserved_for_urgent : live;
        const bool normal = !m_normal.empty() && m_busy_normal < normal_limit;
        const bool waited_too_long = normal && now - m_normal.front().since > max_normal_wait;
        const bool urgent = !m_urgent.empty() && !waited_too_long;
        const std::string client = urgent || normal ? find_free_client(now) : std::string{};
        if (client.empty())
        {
            return;
        }
        auto& queue = urgent ? m_urgent : m_normal;
        const queued_query item = std::move(queue.front());
        queue.pop_front();
        send(client, item, urgent, now);
    }
}

void advisor_query_queue::send(const std::string& client, const queued_query& item, bool urgent,
                               monotonic_time now)
{
    set_busy(client, true);
    ++m_busy;
    m_busy_normal += urgent ? 0 : 1;
    m_ask(client, item.question,
          [this, client, urgent, now, generation = m_generation,
           handler = item.handler](const advice_answer& answer)
          {
              if (generation != m_generation)
              {
                  return;
              }
              const monotonic_time then = m_clock();
              m_clients[client].backoff_until =
                  answer.answered ? monotonic_time{} : then + client_failure_backoff;
              set_busy(client, false);
              --m_busy;
              m_busy_normal -= urgent ? 0 : 1;
              advice_answer timed_answer = answer;
              timed_answer.took = then - now;
              handler(timed_answer);
              send_next(then);
          });
}

} // namespace walkthread
