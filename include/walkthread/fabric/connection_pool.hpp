#pragma once

/// @file
/// @brief Assigns a bounded number of connections to calls.
///
/// Does no I/O: the owner opens, uses and closes connections as decided here.
/// @since 0.3

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include <walkthread/units/strong.hpp>
#include <walkthread/units/time.hpp>

namespace walkthread
{

/// @brief Identifies a connection of a pool; never reused.
using pooled_connection_id = strong<struct pooled_connection_tag, std::uint64_t>;
/// @brief Identifies a call that needs a connection; assigned by the owner of the pool.
using pooled_call_id = strong<struct pooled_call_tag, std::uint64_t>;

/// @brief Priority of a call that waits for a connection. Lower values go first, then the older call.
enum class call_priority : std::uint8_t
{
    urgent, ///< latency-sensitive, or a whole gang waits for this task
    usual,
};

/// @brief When a connection is likely to be used again, as far as its last caller knows.
enum class next_use : std::uint8_t
{
    soon,
    late, ///< not for several seconds: its owner has nothing to do until then
};

/// @brief Limits of a pool.
struct connection_pool_settings
{
    std::size_t max_connections = 1000; ///< connections in total; from the descriptor budget
    std::size_t max_per_address = 1;    ///< connections to one address
    duration busy_wait_limit =
        milliseconds(25);                ///< how long a call waits for a busy connection to its address
                                         ///< before another is opened: orders take only a few ms
    duration idle_timeout = seconds(15); ///< connections that are unused for this long are closed
};

/// @brief A call and the connection that was assigned to it.
struct pool_grant
{
    pooled_call_id call{};
    pooled_connection_id connection{};
    std::string address;
    bool is_new{};                                ///< the connection has to be opened
    std::optional<pooled_connection_id> replaced; ///< an idle connection that has to be closed first
};

/// @brief Shares a bounded number of connections among calls to many addresses.
///
/// A call uses an idle connection to its address. If the address has no connection, one is opened; if the
/// pool is full, an idle connection is closed for it: the most recently used one of those whose next use is
/// late, else the least recently used one. Where more addresses than connections are called in turn, this
/// keeps most connections, while closing the oldest would close each just before its next use. If all
/// connections to the address
/// are busy, the call first waits `busy_wait_limit` for one of them, as opening another usually takes longer.
/// If all connections of the pool are busy, the call waits, and the next connection to be released goes to
/// the waiting call with the highest priority.
/// @since 0.3
class connection_pool
{
  public:
    explicit connection_pool(connection_pool_settings settings) : m_settings(settings)
    {
    }

    /// @brief Requests a connection for a call. Without a grant the call waits. Complexity: logarithmic.
    /// @param deadline time from which `expire` returns the call if it still waits
    std::optional<pool_grant> acquire(pooled_call_id call, const std::string& address, call_priority priority,
                                      monotonic_time deadline, monotonic_time now);
    /// @brief Opens more connections for calls that have waited `busy_wait_limit` for a busy one.
    std::vector<pool_grant> open_additional(monotonic_time now);
    /// @brief Returns a connection after its call has finished.
    /// @param open whether the connection can be used again
    /// @param next decides which idle connection is closed first when the pool is full
    /// @return the waiting call that is granted a connection now, if any
    std::optional<pool_grant> release(pooled_connection_id connection, bool open, monotonic_time now,
                                      next_use next = next_use::soon);
    /// @brief Removes and returns waiting calls whose deadline has passed.
    std::vector<pooled_call_id> expire(monotonic_time now);
    /// @brief Removes and returns connections past the idle timeout, oldest first; the owner closes them.
    std::vector<pooled_connection_id> close_idle(monotonic_time now);

    [[nodiscard]] std::size_t open() const
    {
        return m_connections.size();
    }
    [[nodiscard]] std::size_t idle() const
    {
        return m_idle.size() + m_idle_late.size();
    }
    [[nodiscard]] std::size_t waiting() const
    {
        return m_deadlines.size();
    }

  private:
    /// Order of waiting calls: priority, then age.
    using queue_position = std::pair<call_priority, std::uint64_t>;
    struct waiting_call
    {
        pooled_call_id call{};
        monotonic_time deadline{};
        bool waits_for_busy{}; ///< for a busy connection to its address, not for another one
    };
    struct address_state
    {
        std::size_t open{};
        std::vector<pooled_connection_id> idle; ///< most recently used last, used first
        std::map<queue_position, waiting_call> waiting;
        std::optional<queue_position> pool_queue_position; ///< its key in `m_waiting_for_capacity`
    };
    struct idle_connection
    {
        pooled_connection_id id{};
        monotonic_time since{};
    };
    struct connection_state
    {
        std::string address;
        std::optional<std::list<idle_connection>::iterator> idle;
        next_use next{}; ///< selects the list that `idle` points into
    };

    pool_grant use_idle(address_state& state, const std::string& address, pooled_call_id call);
    pool_grant open_new(address_state& state, const std::string& address, pooled_call_id call);
    [[nodiscard]] std::list<idle_connection>& idle_list(next_use next);
    [[nodiscard]] pooled_connection_id choose_replaced() const;
    [[nodiscard]] bool can_open(const address_state& state) const;
    waiting_call pop_first_waiting(address_state& state);
    void update_pool_queue(address_state& state, const std::string& address);
    void remove(pooled_connection_id connection);
    void erase_if_unused(const std::string& address);

    connection_pool_settings m_settings;
    std::map<std::string, address_state> m_addresses;
    std::map<pooled_connection_id, connection_state> m_connections;
    std::list<idle_connection> m_idle;      ///< next use soon; least recently used first
    std::list<idle_connection> m_idle_late; ///< next use late; least recently used first
    std::map<queue_position, std::string>
        m_waiting_for_capacity; ///< addresses whose first call waits for pool capacity
    std::set<std::tuple<monotonic_time, queue_position, std::string>> m_deadlines;
    std::set<std::tuple<monotonic_time, queue_position, std::string>>
        m_waiting_for_busy; ///< calls that wait for a busy connection, by the end of that wait
    std::uint64_t m_next_connection = 1;
    std::uint64_t m_next_turn = 1;
};

} // namespace walkthread
