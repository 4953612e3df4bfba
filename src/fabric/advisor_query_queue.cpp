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
    state.last_seen = std::max(state.last_seen, now);
    send_next(now);
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
    for (auto& [name, state] : m_clients)
    {
        state.busy = false;
    }
    m_busy = 0;
    m_busy_normal = 0;
}

std::size_t advisor_query_queue::count_live_clients(monotonic_time now) const
{
    return static_cast<std::size_t>(std::count_if(m_clients.begin(), m_clients.end(),
                                                  [now](const auto& item)
                                                  {
                                                      return now - item.second.last_seen < client_timeout;
                                                  }));
}

bool advisor_query_queue::mostly_idle(monotonic_time now) const
{
    const auto idle = std::count_if(m_clients.begin(), m_clients.end(),
                                    [now](const auto& item)
                                    {
                                        const client_state& state = item.second;
                                        return !state.busy && now - state.last_seen < client_timeout &&
                                               now >= state.backoff_until;
                                    });
    return static_cast<double>(idle) >= idle_client_fraction * static_cast<double>(count_live_clients(now));
}

// Clients that failed go last, the most recent failure at the end: a client may report to this process and
// yet never be reachable.
std::string advisor_query_queue::find_free_client(monotonic_time now) const
{
    std::string best;
    monotonic_time failed{};
    for (const auto& [name, state] : m_clients)
    {
        const bool free = !state.busy && now - state.last_seen < client_timeout && now >= state.backoff_until;
        if (free && (best.empty() || state.backoff_until < failed))
        {
            best = name;
            failed = state.backoff_until;
        }
    }
    return best;
}

void advisor_query_queue::send_next(monotonic_time now)
{
    for (;;)
    {
        const std::size_t live = count_live_clients(now);
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
    m_clients[client].busy = true;
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
              client_state& state = m_clients[client];
              state.busy = false;
              --m_busy;
              m_busy_normal -= urgent ? 0 : 1;
              state.backoff_until = answer.answered ? monotonic_time{} : then + client_failure_backoff;
              advice_answer timed_answer = answer;
              timed_answer.took = then - now;
              handler(timed_answer);
              send_next(then);
          });
}

} // namespace walkthread
