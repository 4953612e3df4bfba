#pragma once

/// @file
/// @brief One replica of one group (Raft with leader leases): elections, log replication, snapshots and
/// membership.
///
/// The class does no I/O and reads no clock. It takes messages, proposals and ticks together with the current
/// time and returns the resulting work as a `replica_output`: records to make durable, messages to send after
/// that, and entries to apply.
/// @since 0.1

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include <walkthread/replication/messages.hpp>
#include <walkthread/units/result.hpp>
#include <walkthread/units/time.hpp>

namespace walkthread
{

/// @brief Errors of the replication layer.
enum class replication_code
{
    not_leader = 301,     ///< this replica does not lead the group
    change_pending = 302, ///< another membership change is not committed yet
    unknown_member = 303, ///< the named replica is not a member
    overloaded = 304,     ///< too many uncommitted entries
};
using replication_error = layer_error<replication_code>;

/// @brief The state that must survive a restart, apart from the log.
/// @since 0.1
struct hard_state
{
    term_id term{};
    replica_id vote{};
    std::int64_t lease_duration{}; ///< microseconds: upper bound of the leases granted to a leader
    replica_id leader{};           ///< the last leader that was granted a lease; its own id if it led
    friend bool operator==(const hard_state&, const hard_state&) = default;
    MSGPACK_DEFINE(term, vote, lease_duration, leader)
};

/// @brief Timeouts and limits of a replica.
/// @since 0.1
struct replica_settings
{
    duration heartbeat = milliseconds(150);             ///< interval from leader to follower
    duration election_timeout = milliseconds(1000);     ///< shortest time without leader contact before an
                                                        ///< election; also the initial lease duration
    duration max_election_timeout = milliseconds(1000); ///< upper bound when a quorum replies slowly
    duration election_stagger = milliseconds(30); ///< delay between the campaigns of two replicas: one round
                                                  ///< of vote requests and replies inside a region
    duration vote_timeout = milliseconds(1000);   ///< election timeout after a vote; covers two fsyncs on a
                                                  ///< disk that is 30 times slower than usual
    double clock_drift = 0.05;              ///< largest relative difference between the rates of two clocks
    std::size_t append_bytes = 256U << 10U; ///< approximate size limit of an append_request
    std::size_t max_uncommitted = 100'000;  ///< limit on entries that wait for a quorum
    std::uint64_t snapshot_interval = 4096; ///< applied entries between snapshots
    std::uint64_t keep_entries = 1024;      ///< entries kept in memory before a snapshot for slow followers
    std::uint64_t snapshot_bytes = 16U << 20U; ///< size of the applied entries that makes a snapshot due, and
                                               ///< limit on the size of the entries kept before it
};

/// @brief Work for the owner, in this order: make durable, send, apply.
/// @since 0.1
struct replica_output
{
    std::optional<hard_state> state;
    std::optional<snapshot> install; ///< replaces the state machine's content
    std::vector<log_entry> append;   ///< an entry replaces all stored entries from its index on
    std::vector<replica_envelope> messages;
    std::vector<log_entry> apply;

    [[nodiscard]] bool needs_sync() const
    {
        return state || install || !append.empty();
    }
};

/// @brief The initial state of a replica: empty, or recovered from the data folder.
/// @since 0.1
struct replica_start
{
    hard_state state{};
    snapshot base{}; ///< index 0 for none; `members` is then the initial membership, or empty for a replica
                     ///< that has yet to join
    std::vector<log_entry> entries{};
};

/// @brief The role of a replica in its group.
enum class replica_role : std::uint8_t
{
    follower,
    pre_candidate,
    candidate,
    leader
};

/// @brief One replica of one group.
/// @since 0.1
class replica
{
  public:
    replica(group_id group, replica_id self, replica_settings settings, replica_start start,
            std::uint64_t seed, monotonic_time now);

    /// @brief Handles a message from another replica. Messages for another replica or group are ignored.
    void receive(const replica_envelope& envelope, monotonic_time now);
    /// @brief Runs the timers: elections, heartbeats, quorum check, promotions. Complexity: linear in
    /// members.
    void tick(monotonic_time now);
    /// @brief Adds a command to the log.
    /// @return the entry's index, or replication_code::not_leader or overloaded
    [[nodiscard]] result<log_index, replication_error> propose(std::string data, monotonic_time now);
    /// @brief Adds a non-voting replica; for an existing learner, updates `promote` and `replaces`.
    /// @param new_learner the learner; with `replaces` set, that voter is removed after the promotion
    /// @return success, or replication_code::not_leader, change_pending
    [[nodiscard]] result<done, replication_error> add_learner(learner new_learner, monotonic_time now);
    /// @brief Removes a member.
    /// @return success, or replication_code::not_leader, change_pending, unknown_member
    [[nodiscard]] result<done, replication_error> remove_member(const replica_id& member, monotonic_time now);
    /// @brief Transfers leadership to the most up-to-date other voter, if this replica leads.
    void transfer_leadership(monotonic_time now);
    /// @brief Sets whether this replica refrains from campaigning, because its process is shutting down or
    /// its disk rejects writes. It still votes.
    void set_leadership_declined(bool declined = true)
    {
        m_leadership_declined = declined;
    }

    /// @brief Returns the pending work. The owner makes it durable, sends, applies, then calls `synced`.
    [[nodiscard]] replica_output take_output(monotonic_time now);
    /// @brief Returns the work that does not depend on an fsync in progress: entries to apply and a leader's
    /// append requests. Records and replies remain for the next `take_output`.
    [[nodiscard]] replica_output take_unsynced(monotonic_time now);
    /// @brief Reports that all output taken so far is durable; a leader then counts its own copy for the
    /// quorum.
    void synced(monotonic_time now);
    /// @brief The snapshot to store, given the state machine's serialized state at `index`. The log is kept
    /// until `compact`, as the snapshot may not be stored.
    [[nodiscard]] snapshot make_snapshot(log_index index, std::string data) const;
    /// @brief Compacts the log once a snapshot is stored; without effect if a later one has been installed.
    void compact(const snapshot& stored);
    /// @brief Whether entries of enough number or size have been applied since the last snapshot to take
    /// another one.
    [[nodiscard]] bool snapshot_due() const;

    /// @brief Size of the entries applied since the last snapshot.
    [[nodiscard]] std::uint64_t bytes_since_snapshot() const
    {
        return m_bytes_since_snapshot;
    }

    [[nodiscard]] replica_role role() const
    {
        return m_role;
    }
    [[nodiscard]] term_id term() const
    {
        return m_state.term;
    }
    /// @brief The state that must survive a restart.
    [[nodiscard]] const hard_state& persistent_state() const
    {
        return m_state;
    }
    [[nodiscard]] replica_id self() const
    {
        return m_self;
    }
    /// @brief The known leader; node 0 if unknown.
    [[nodiscard]] replica_id leader() const
    {
        return m_leader;
    }
    /// @brief Index of the first entry of the current term; valid on the leader.
    [[nodiscard]] log_index term_start() const
    {
        return m_term_start;
    }
    [[nodiscard]] log_index commit_index() const
    {
        return m_commit;
    }
    [[nodiscard]] log_index last_index() const
    {
        return m_log.last_index();
    }
    [[nodiscard]] const membership& members() const
    {
        return m_members;
    }
    [[nodiscard]] const log_tail& log() const
    {
        return m_log;
    }
    /// @brief Whether this replica holds a valid leader lease at `now` and has output all entries of earlier
    /// terms for application; `replicated_group::leads` also checks that they have been applied. The lease
    /// relies on clock rates that differ by at most `clock_drift`, not on synchronized clocks.
    [[nodiscard]] bool holds_lease(monotonic_time now) const;
    /// @brief Time of a follower's last contact with its leader.
    [[nodiscard]] monotonic_time last_leader_contact() const
    {
        return m_last_leader_contact;
    }
    /// @brief Time of a member's last reply to this leader; no value if unknown.
    [[nodiscard]] std::optional<monotonic_time> last_heard(const replica_id& member) const;
    /// @brief Number of entries that a member lags behind; no value if unknown.
    [[nodiscard]] std::optional<std::uint64_t> lag_of(const replica_id& member) const;

  private:
    struct progress
    {
        log_index match{};
        log_index next{};
        monotonic_time last_reply{};
        monotonic_time acked_sent_at{};
        monotonic_time last_sent{};
        bool snapshot_in_flight{};
        monotonic_time snapshot_sent{};
        bool in_flight{};
        log_index in_flight_to{}; ///< index of the last entry in flight
        monotonic_time in_flight_since{};
        std::size_t in_flight_bytes{};
    };

    void handle(const replica_id& from, const vote_request& m, monotonic_time now);
    void handle(const replica_id& from, const vote_reply& m, monotonic_time now);
    void handle(const replica_id& from, const append_request& m, monotonic_time now);
    void handle(const replica_id& from, const append_reply& m, monotonic_time now);
    void handle(const replica_id& from, const snapshot_request& m, monotonic_time now);
    void handle(const replica_id& from, const timeout_now_request& m, monotonic_time now);

    void send(const replica_id& to, replica_message message);
    void become_follower(term_id term, replica_id leader, monotonic_time now);
    void follow_leader(term_id term, const replica_id& leader, std::int64_t asked, monotonic_time now);
    void extend_lease_duration(monotonic_time now);
    void start_election(bool pre, bool transfer, monotonic_time now);
    void become_leader(monotonic_time now);
    void step_down_without_quorum(monotonic_time now);
    void advance_members(monotonic_time now);
    [[nodiscard]] bool may_send_snapshot(const replica_id& to, monotonic_time now) const;
    void send_append(const replica_id& to, monotonic_time now);
    void send_heartbeat(const replica_id& to, progress& p, monotonic_time now);
    void send_to_all(bool heartbeat, monotonic_time now);
    void append_local(entry_kind kind, std::string data);
    void accept_entries(const append_request& m);
    void change_members(const membership& next, monotonic_time now);
    void recompute_members();
    void refresh_progress(monotonic_time now);
    void advance_commit(monotonic_time now);
    void commit_to(log_index index);
    void set_election_timer(duration wait, monotonic_time now);
    [[nodiscard]] bool log_is_current(log_index last_index, term_id last_term) const;
    [[nodiscard]] bool has_live_leader(monotonic_time now) const;
    [[nodiscard]] std::vector<monotonic_time> voter_contact_times(monotonic_time now) const;
    [[nodiscard]] monotonic_time quorum_contact_time(monotonic_time now) const;
    [[nodiscard]] monotonic_time lease_end(monotonic_time now) const;
    [[nodiscard]] duration requested_lease_at(monotonic_time sent) const;
    [[nodiscard]] std::size_t election_rank() const;
    [[nodiscard]] log_index find_conflict_hint(log_index previous) const;
    [[nodiscard]] log_index first_index_to_keep(log_index snapshot_index) const;
    [[nodiscard]] membership members_at(log_index index) const;

    group_id m_group;
    replica_id m_self;
    replica_settings m_settings;
    std::mt19937_64 m_random;

    hard_state m_state;
    log_tail m_log;
    membership m_members;
    membership m_base_members;
    log_index m_members_index{};
    log_index m_commit{};
    log_index m_applied{};
    log_index m_synced{};
    log_index m_output_index{};
    log_index m_snapshot_index{};
    std::string m_snapshot_data;
    term_id m_snapshot_term{};
    membership m_snapshot_members;
    std::uint64_t m_bytes_since_snapshot = 0; ///< size of the entries applied since the last snapshot

    replica_role m_role = replica_role::follower;
    replica_id m_leader{};
    log_index m_term_start{};
    monotonic_time m_last_leader_contact{};
    duration m_lease_duration{}; ///< follower: lease granted to its leader from the last message on; leader:
                                 ///< lease that it requests
    /// A lease duration that this leader has requested since a point in time.
    struct lease_request
    {
        monotonic_time since{};
        duration lease_duration{};
    };
    std::vector<lease_request> m_lease_requests; ///< of this term, oldest first; durations only increase, at
                                                 ///< most four entries
    term_id m_lease_term{};                      ///< follower: term of the leader that was granted the lease
    monotonic_time m_election_at{};
    monotonic_time m_leader_since{};
    bool m_transferring = false;
    bool m_leadership_declined = false;
    monotonic_time m_transfer_started{};
    std::set<replica_id> m_votes;
    std::map<replica_id, progress> m_progress;
    replica_output m_output;
};

} // namespace walkthread
