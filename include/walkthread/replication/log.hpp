#pragma once

/// @file
/// @brief Log entries, group membership and the in-memory tail of a group's replicated log.
/// @since 0.1

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include <walkthread/units/ids.hpp>

namespace walkthread
{

/// @brief The kind of content of a log entry.
enum class entry_kind : std::uint8_t
{
    command = 0, ///< a state machine command
    no_op = 1,   ///< the first entry of each term, appended by its leader
    members = 2, ///< a membership change
};

/// @brief One replicated log entry.
/// @since 0.1
struct log_entry
{
    log_index index{};
    term_id term{};
    std::uint8_t kind{};
    std::string data{};

    [[nodiscard]] entry_kind type() const
    {
        return static_cast<entry_kind>(kind);
    }
    MSGPACK_DEFINE(index, term, kind, data)
};

/// @brief A non-voting replica that receives the log.
/// @since 0.1
struct learner
{
    replica_id id{};
    bool promote{};        ///< becomes a voter once it has caught up and its log is durable
    replica_id replaces{}; ///< voter to remove after the promotion; node 0 for none
    friend bool operator==(const learner&, const learner&) = default;
    MSGPACK_DEFINE(id, promote, replaces)
};

/// @brief The voters and learners of a group.
/// @since 0.1
struct membership
{
    std::vector<replica_id> voters{};
    std::vector<learner> learners{};

    /// @brief Whether a replica is a voter. Complexity: linear in the members.
    [[nodiscard]] bool is_voter(const replica_id& id) const;
    /// @brief Whether a replica is a voter or a learner. Complexity: linear in the members.
    [[nodiscard]] bool is_member(const replica_id& id) const;
    /// @brief The number of voters that form a majority.
    [[nodiscard]] std::size_t quorum() const
    {
        return voters.size() / 2 + 1;
    }
    friend bool operator==(const membership&, const membership&) = default;
    MSGPACK_DEFINE(voters, learners)
};

/// @brief The state machine's serialized state at a log index, with the membership at that index.
/// @since 0.1
struct snapshot
{
    log_index index{};
    term_id term{};
    membership members{};
    std::string data{};
    MSGPACK_DEFINE(index, term, members, data)
};

/// @brief Size of an entry in memory and, within a few bytes, in the stored log.
[[nodiscard]] inline std::uint64_t size_of(const log_entry& entry)
{
    return sizeof(log_entry) + entry.data.size();
}

/// @brief The in-memory log entries that follow a snapshot.
/// @since 0.1
class log_tail
{
  public:
    /// @brief Clears the log; the next entry follows `index` of `term`, which a snapshot covers.
    void reset(log_index index, term_id term);
    /// @brief Adds an entry; its index must be `last_index() + 1`.
    void append(log_entry entry);
    /// @brief Removes all entries from `index` on.
    void truncate_from(log_index index);
    /// @brief Removes all entries up to and including `index`. Complexity: linear in the entries removed.
    void discard_to(log_index index);

    [[nodiscard]] log_index base_index() const
    {
        return m_base_index;
    }
    [[nodiscard]] log_index last_index() const
    {
        return log_index{m_base_index.value() + m_entries.size()};
    }
    [[nodiscard]] term_id last_term() const;
    /// @brief The term of the entry at `index`, or no value if the log does not contain it.
    [[nodiscard]] std::optional<term_id> term_at(log_index index) const;
    /// @brief The entry at `index`, which must be in the log. Complexity: constant.
    [[nodiscard]] const log_entry& at(log_index index) const;
    /// @brief Entries from `first` on, limited to about `max_bytes` but at least one entry if any exists.
    [[nodiscard]] std::vector<log_entry> slice(log_index first, std::size_t max_bytes) const;

  private:
    log_index m_base_index{};
    term_id m_base_term{};
    std::deque<log_entry> m_entries;
};

} // namespace walkthread
