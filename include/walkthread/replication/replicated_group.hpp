#pragma once

/// @file
/// @brief One group in one process: the replica, its state machine, and proposals that wait for their result.
/// @since 0.1

#include <functional>
#include <map>
#include <optional>
#include <string>

#include <walkthread/replication/replica.hpp>

namespace walkthread
{

/// @brief Body of a command entry: the leader's wall time and the encoded command.
/// @since 0.1
struct entry_body
{
    wall_ms at{};
    std::string command{};
    MSGPACK_DEFINE(at, command)
};

/// @brief Callbacks that connect a group to its state machine.
/// @since 0.1
struct state_machine_hooks
{
    /// Applies a command and returns the encoded result.
    std::function<std::string(wall_ms, const std::string&)> apply;
    std::function<std::string()> save;
    std::function<bool(const std::string&)> load;
};

/// @brief One group in one process. Used by the core thread only.
/// @since 0.1
class replicated_group
{
  public:
    /// @brief Receives the encoded result, or no value if the entry was not committed.
    using result_handler = std::function<void(std::optional<std::string>)>;

    replicated_group(group_id id, replica core, state_machine_hooks hooks);

    /// @brief Proposes a command; the handler is called when the entry is applied or discarded, or
    /// immediately if this replica is not the leader.
    void propose(wall_ms at, std::string command, result_handler handler, monotonic_time now);
    /// @brief Applies committed entries. @return number of entries applied
    std::size_t apply(const replica_output& output);
    /// @brief A snapshot of what has been applied, to be stored and then passed to `replica::compact`.
    [[nodiscard]] snapshot make_snapshot() const;

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
    /// @brief Whether this process holds the leader lease at `now` and has applied all entries that earlier
    /// leaders committed. A leader that acted on older state would stop runs that they had started.
    [[nodiscard]] bool leads(monotonic_time now) const
    {
        return m_core.holds_lease(now) && m_applied >= m_core.term_start();
    }
    [[nodiscard]] log_index applied() const
    {
        return m_applied;
    }
    /// @brief The state of this group that a rewritten log file must contain.
    /// @param stored index of the newest snapshot on the disk
    /// @return the state; no value if entries after `stored` are no longer in the log, because a snapshot
    ///         that replaces them has been received but not stored
    [[nodiscard]] std::optional<replica_start> retained_state(log_index stored) const;

  private:
    struct pending_proposal
    {
        term_id term{};
        result_handler handler;
    };

    void apply_entry(const log_entry& entry);

    group_id m_id;
    replica m_core;
    state_machine_hooks m_hooks;
    log_index m_applied{};
    std::map<log_index, pending_proposal> m_pending_proposals;
};

} // namespace walkthread
