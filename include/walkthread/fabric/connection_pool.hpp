#pragma once

/// @file
/// @brief Who gets one of a bounded number of connections, and who gives one up.
///
/// Pure: the owner opens, uses and closes what is decided here.
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

/// @brief One connection of a pool, for its life.
using pooled_id = strong<struct pooled_tag, std::uint64_t>;
/// @brief One call that wants a connection, numbered by the owner of the pool.
using pooled_call = strong<struct pooled_call_tag, std::uint64_t>;

/// @brief How a call waits where connections are short; lower goes first, then the older call.
enum class call_need : std::uint8_t
{
    pressing, ///< somebody waits for each millisecond, or a whole gang for this one task
    usual,
};

/// @brief Bounds of a pool.
struct connection_pool_settings
{
    std::size_t most = 1000;                ///< connections in all; from the process's descriptors
    std::size_t most_each = 1;              ///< connections to one address
    duration busy_lasts = milliseconds(25); ///< a call waits that long for a connection of its address before
                                            ///< it takes another one: an order is answered within a few ms
    duration idle_lasts = seconds(15);      ///< a connection that nobody used for that long is closed
};

/// @brief A call that may go now.
struct pool_grant
{
    pooled_call call{};
    pooled_id connection{};
    std::string address;
    bool fresh{};                      ///< the connection is to be opened
    std::optional<pooled_id> replaced; ///< an idle connection that is to be closed first
};

/// @brief Shares a bounded number of connections among calls to many addresses.
///
/// A call takes an idle connection of its address. Where its address has none, it opens one, in the place of
/// the one that has been idle for longest if there are as many as there may be. Where its address has busy
/// ones, it waits for one of them for a moment before it opens another, as opening costs more than the wait.
/// Where all are busy it waits too; a connection that comes free goes to the call that needs it most.
/// @since 0.3
class connection_pool
{
  public:
    explicit connection_pool(connection_pool_settings settings) : m_settings(settings)
    {
    }

    /// @brief A call wants a connection; without a grant it waits. Complexity: logarithmic.
    /// @param give_up from then on `expire` names it
    std::optional<pool_grant> want(pooled_call call, const std::string& address, call_need need,
                                   monotonic_time give_up, monotonic_time now);
    /// @brief Gives further connections to calls that have waited for a busy one for a while.
    std::vector<pool_grant> open_more(monotonic_time now);
    /// @brief The call on a connection is over.
    /// @param open whether the connection may be used again
    /// @return the call that goes next in its place, if one waits
    std::optional<pool_grant> release(pooled_id connection, bool open, monotonic_time now);
    /// @brief Takes out calls that have waited for as long as they may.
    std::vector<pooled_call> expire(monotonic_time now);
    /// @brief Takes out connections that were idle for long, oldest first; the owner closes them.
    std::vector<pooled_id> close_idle(monotonic_time now);

    [[nodiscard]] std::size_t open() const
    {
        return m_connections.size();
    }
    [[nodiscard]] std::size_t idle() const
    {
        return m_idle.size();
    }
    [[nodiscard]] std::size_t waiting() const
    {
        return m_deadlines.size();
    }

  private:
    /// Orders what waits: need, then age.
    using turn = std::pair<call_need, std::uint64_t>;
    struct waiting_call
    {
        pooled_call call{};
        monotonic_time give_up{};
        bool waits_for_own{}; ///< for a busy connection of its address
    };
    struct address_state
    {
        std::size_t open{};
        std::vector<pooled_id> idle; ///< the last one is used first
        std::map<turn, waiting_call> waiting;
        std::optional<turn> in_line; ///< its place in `m_short`
    };
    struct idle_connection
    {
        pooled_id id{};
        monotonic_time since{};
    };
    struct connection_state
    {
        std::string address;
        std::optional<std::list<idle_connection>::iterator> idle;
    };

    pool_grant use_idle(address_state& state, const std::string& address, pooled_call call);
    pool_grant open_fresh(address_state& state, const std::string& address, pooled_call call);
    [[nodiscard]] bool may_open(const address_state& state) const;
    waiting_call take_first(address_state& state);
    void take_place_in_line(address_state& state, const std::string& address);
    void remove(pooled_id connection);
    void forget_if_unused(const std::string& address);

    connection_pool_settings m_settings;
    std::map<std::string, address_state> m_addresses;
    std::map<pooled_id, connection_state> m_connections;
    std::list<idle_connection> m_idle;   ///< least recently used first
    std::map<turn, std::string> m_short; ///< addresses whose first call waits for room in the pool
    std::set<std::tuple<monotonic_time, turn, std::string>> m_deadlines;
    std::set<std::tuple<monotonic_time, turn, std::string>>
        m_patient; ///< until when calls wait for a busy one
    std::uint64_t m_next_connection = 1;
    std::uint64_t m_next_turn = 1;
};

} // namespace walkthread
