#pragma once

/// @file
/// @brief One group at one process: the replica, its state machine, and proposals that wait for their result.
/// @since 0.1

#include <functional>
#include <map>
#include <optional>
#include <string>

#include <walkthread/replication/replica.hpp>

namespace walkthread
{

/// @brief What a command in the log carries: the leader's wall time and the encoded command.
/// @since 0.1
struct entry_body
{
    wall_ms at{};
    std::string command{};
    MSGPACK_DEFINE(at, command)
};

/// @brief How a group meets its state machine.
/// @since 0.1
struct state_hooks
{
    /// Applies a command and gives the encoded result.
    std::function<std::string(wall_ms, const std::string&)> apply;
    std::function<std::string()> save;
    std::function<bool(const std::string&)> load;
};

/// @brief One group at one process. Belongs to the core thread.
/// @since 0.1
class replicated_group
{
  public:
    /// @brief Takes the encoded result, or no value if the entry was not committed.
    using result_handler = std::function<void(std::optional<std::string>)>;

    replicated_group(group_id id, replica core, state_hooks hooks);

    /// @brief Proposes a command; the handler is called once its fate is known, or at once if not the leader.
    void propose(wall_ms at, std::string command, result_handler handler, monotonic_time now);
    /// @brief Applies what was committed. @return number of commands applied
    std::size_t apply(const replica_output& output);
    /// @brief Cuts the log if it is long. @return the snapshot to store, if one was made
    [[nodiscard]] std::optional<snapshot> compact_if_due();

    [[nodiscard]] replica& core()
    {
        return m_core;
    }
    [[nodiscard]] const replica& core() const
    {
        return m_core;
    }
    [[nodiscard]] group_id id() const
    {
        return m_id;
    }
    /// @brief Whether this process surely is the only leader at `now`, and its state has all that earlier
    /// leaders committed: a leader that reads its state before would order the end of what they had begun.
    [[nodiscard]] bool leads(monotonic_time now) const
    {
        return m_core.holds_lease(now) && m_applied >= m_core.term_start();
    }
    [[nodiscard]] log_index applied() const
    {
        return m_applied;
    }
    /// @brief What a new log file has to hold of this group.
    [[nodiscard]] replica_start live_part() const;

  private:
    struct waiting
    {
        term_id term{};
        result_handler handler;
    };

    void apply_entry(const log_entry& entry);

    group_id m_id;
    replica m_core;
    state_hooks m_hooks;
    log_index m_applied{};
    log_index m_stored_snapshot{};
    std::map<log_index, waiting> m_waiting;
};

} // namespace walkthread
