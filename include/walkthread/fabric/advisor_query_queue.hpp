#pragma once

/// @file
/// @brief Distributes advisor queries over client processes, each of which sends one query at a time.
/// @since 0.2

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

#include <walkthread/dispatch/orders.hpp>
#include <walkthread/units/time.hpp>

namespace walkthread
{

/// @brief A queue of advisor queries and the client processes that can send them. Does no I/O itself: `ask`
/// sends a query.
/// @since 0.2
class advisor_query_queue
{
  public:
    using answer_handler = std::function<void(const advice_answer&)>;
    /// @param ask sends a query through one client; the response may arrive at any time
    explicit advisor_query_queue(
        std::function<void(const std::string& client, const advice_question&, answer_handler)> ask);

    /// @brief Records that a process is alive and can query the advisor. Complexity: logarithmic in the
    /// clients: thousands of reports arrive each second in a large cell.
    void record_client(const std::string& client, monotonic_time now);
    /// @brief Queues a query. Urgent queries go first unless a normal one has waited for too long.
    void enqueue(const advice_question& question, bool urgent, answer_handler handler, monotonic_time now);
    /// @brief Discards all queries; called when this process loses leadership.
    void clear();

    [[nodiscard]] std::size_t waiting() const
    {
        return m_urgent.size() + m_normal.size();
    }
    [[nodiscard]] std::size_t normal_waiting() const
    {
        return m_normal.size();
    }
    [[nodiscard]] std::size_t busy() const
    {
        return m_busy;
    }
    /// @brief Whether a large part of the live clients has no query in flight. Complexity: linear in the
    /// clients in back-off.
    [[nodiscard]] bool mostly_idle(monotonic_time now);
    /// @brief Clients examined so far; shows whether the work for a report depends on the number of clients.
    [[nodiscard]] std::uint64_t clients_examined() const
    {
        return m_clients_examined;
    }

  private:
    struct queued_query
    {
        advice_question question;
        answer_handler handler;
        monotonic_time since{};
    };
    struct client_state
    {
        monotonic_time last_seen{};
        monotonic_time backoff_until{}; ///< set by a failure, cleared by a response
        bool busy{};
        bool live{}; ///< reported within the client timeout
    };
    using client_order = std::pair<monotonic_time, std::string>;

    void set_busy(const std::string& client, bool busy);
    void expire_clients(monotonic_time now);
    void send_next(monotonic_time now);
    void send(const std::string& client, const queued_query& item, bool urgent, monotonic_time now);
    [[nodiscard]] std::string find_free_client(monotonic_time now);

    std::function<void(const std::string&, const advice_question&, answer_handler)> m_ask;
    std::map<std::string, client_state> m_clients;
    std::set<client_order> m_live; ///< live clients by the time of their last report
    /// Live clients without a query in flight, by the end of their back-off: those that failed go last, the
    /// most recent failure at the end, as a client may report to this process and yet never be reachable.
    std::set<client_order> m_free;
    std::uint64_t m_clients_examined = 0;
    std::deque<queued_query> m_urgent;
    std::deque<queued_query> m_normal;
    std::size_t m_busy = 0;
    std::size_t m_busy_normal = 0;
    std::uint64_t m_generation = 0;
    std::function<monotonic_time()> m_clock;

  public:
    /// @brief Sets the clock that gives the time of a response.
    void set_clock(std::function<monotonic_time()> clock)
    {
        m_clock = std::move(clock);
    }
};

} // namespace walkthread
