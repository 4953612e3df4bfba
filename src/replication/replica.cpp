#include <walkthread/replication/replica.hpp>

#include <algorithm>
#include <iterator>

#include <walkthread/wire/codec.hpp>

namespace walkthread
{

namespace
{
log_index after(log_index index)
{
    return log_index{index.value() + 1};
}
} // namespace

replica::replica(group_id group, replica_id self, replica_settings settings, replica_start start,
                 std::uint64_t seed, monotonic_time now)
    : m_group(group), m_self(self), m_settings(settings), m_random(seed), m_state(start.state),
      m_members(start.base.members), m_base_members(start.base.members), m_commit(start.base.index),
      m_applied(start.base.index), m_snapshot_index(start.base.index),
      m_snapshot_data(std::move(start.base.data)), m_snapshot_term(start.base.term),
      m_snapshot_members(start.base.members), m_last_leader_contact(now)
{
    m_log.reset(start.base.index, start.base.term);
    for (log_entry& entry : start.entries)
    {
        m_log.append(std::move(entry));
    }
    m_synced = m_log.last_index();
    m_output_index = m_synced;
    recompute_members();
    // A leader may still rely on a lease that was granted before the restart.
    m_lease_duration = std::clamp(duration{m_state.lease_duration}, m_settings.election_timeout,
                                  m_settings.max_election_timeout);
    // A restarted leader no longer holds its lease, and while it held it nobody else could obtain one, so it
    // can campaign without waiting.
    const bool led_last = m_state.leader == m_self;
    set_election_timer(led_last ? duration{0} : m_lease_duration, now);
}

// ---------------------------------------------------------------------------------------------------------
// Input
// ---------------------------------------------------------------------------------------------------------

void replica::receive(const replica_envelope& envelope, monotonic_time now)
{
    if (envelope.to != m_self || envelope.group != m_group)
    {
        return;
    }
    std::visit(
        [&](const auto& message)
        {
            handle(envelope.from, message, now);
        },
        envelope.message);
}

void replica::tick(monotonic_time now)
{
    if (m_role != replica_role::leader)
    {
        if (now >= m_election_at && m_members.is_voter(m_self) && !m_leadership_declined)
        {
            start_election(true, false, now);
        }
        return;
    }
    step_down_without_quorum(now);
    if (m_role == replica_role::leader)
    {
        extend_lease_duration(now);
        advance_members(now);
        send_to_all(true, now);
    }
}

result<log_index, replication_error> replica::propose(std::string data, monotonic_time now)
{
    if (m_role != replica_role::leader || m_transferring)
    {
        return replication_error{replication_code::not_leader, "This replica does not lead the group."};
    }
    if (m_log.last_index().value() - m_commit.value() >= m_settings.max_uncommitted)
    {
        return replication_error{replication_code::overloaded, "Too many uncommitted entries."};
    }
    append_local(entry_kind::command, std::move(data));
    advance_commit(now);
    return m_log.last_index();
}

result<done, replication_error> replica::add_learner(learner new_learner, monotonic_time now)
{
    if (m_role != replica_role::leader || m_transferring)
    {
        return replication_error{replication_code::not_leader, "This replica does not lead the group."};
    }
    const auto known = std::find_if(m_members.learners.begin(), m_members.learners.end(),
                                    [&new_learner](const learner& item)
                                    {
                                        return item.id == new_learner.id;
                                    });
    const bool learns = known != m_members.learners.end();
    if (learns ? *known == new_learner : m_members.is_voter(new_learner.id))
    {
        return done{};
    }
    if (m_members_index > m_commit)
    {
        return replication_error{replication_code::change_pending, "Another membership change is pending."};
    }
    membership next = m_members;
    std::erase_if(next.learners,
                  [&new_learner](const learner& item)
                  {
                      return item.id == new_learner.id;
                  });
    next.learners.push_back(new_learner);
    change_members(next, now);
    return done{};
}

result<done, replication_error> replica::remove_member(const replica_id& member, monotonic_time now)
{
    if (m_role != replica_role::leader || m_transferring)
    {
        return replication_error{replication_code::not_leader, "This replica does not lead the group."};
    }
    if (m_members_index > m_commit)
    {
        return replication_error{replication_code::change_pending, "Another membership change is pending."};
    }
    if (!m_members.is_member(member))
    {
        return replication_error{replication_code::unknown_member,
                                 "The replica is not a member of the group."};
    }
    membership next = m_members;
    std::erase(next.voters, member);
    std::erase_if(next.learners,
                  [&member](const learner& l)
                  {
                      return l.id == member;
                  });
    change_members(next, now);
    return done{};
}

void replica::transfer_leadership(monotonic_time now)
{
    if (m_role != replica_role::leader || m_transferring)
    {
        return;
    }
    const replica_id* best = nullptr;
    for (const replica_id& voter : m_members.voters)
    {
        const bool better = best == nullptr || m_progress[voter].match > m_progress[*best].match;
        if (voter != m_self && better)
        {
            best = &voter;
        }
    }
    if (best == nullptr)
    {
        return;
    }
    m_transferring = true;
    m_transfer_started = now;
    send_append(*best, now);
    send(*best, timeout_now_request{m_state.term});
}

// ---------------------------------------------------------------------------------------------------------
// Output
// ---------------------------------------------------------------------------------------------------------

void replica::send(const replica_id& to, replica_message message)
{
    m_output.messages.push_back(replica_envelope{m_group, m_self, to, std::move(message)});
}

replica_output replica::take_output(monotonic_time now)
{
    if (m_role == replica_role::leader)
    {
        send_to_all(false, now);
    }
    m_output_index = m_log.last_index();
    return std::exchange(m_output, replica_output{});
}

replica_output replica::take_unsynced(monotonic_time now)
{
    replica_output out;
    if (m_output.install)
    {
        return out; // entries after a snapshot must wait until it is installed
    }
    out.apply = std::exchange(m_output.apply, {});
    if (m_role != replica_role::leader || m_output.state)
    {
        return out;
    }
    send_to_all(false, now);
    const auto is_append_request = [](const replica_envelope& envelope)
    {
        return std::holds_alternative<append_request>(envelope.message);
    };
    std::copy_if(m_output.messages.begin(), m_output.messages.end(), std::back_inserter(out.messages),
                 is_append_request);
    std::erase_if(m_output.messages, is_append_request);
    return out;
}

void replica::synced(monotonic_time now)
{
    m_synced = std::min(m_output_index, m_log.last_index());
    advance_commit(now);
}

snapshot replica::make_snapshot(log_index index, std::string data) const
{
    snapshot out{index, m_log.term_at(index).value_or(m_snapshot_term), members_at(index), std::move(data)};
    return out;
}

void replica::compact(const snapshot& stored)
{
    if (stored.index <= m_snapshot_index)
    {
        return;
    }
    m_snapshot_index = stored.index;
    m_snapshot_term = stored.term;
    m_snapshot_data = stored.data;
    m_snapshot_members = stored.members;
    m_bytes_since_snapshot = 0;
    for (log_index i = after(stored.index); i <= m_applied; i = after(i))
    {
        m_bytes_since_snapshot += size_of(m_log.at(i));
    }
    const log_index cut{first_index_to_keep(stored.index).value() - 1};
    m_base_members = members_at(cut);
    m_log.discard_to(cut);
}

// The membership that the entries up to `index` result in.
membership replica::members_at(log_index index) const
{
    membership out = m_base_members;
    for (log_index i = after(m_log.base_index()); i <= index; i = after(i))
    {
        if (m_log.at(i).type() == entry_kind::members)
        {
            out = std::get<0>(decode<membership>(m_log.at(i).data));
        }
    }
    return out;
}

// Entries are kept for followers that are behind, so that they need not load the snapshot.
log_index replica::first_index_to_keep(log_index snapshot_index) const
{
    log_index first = after(snapshot_index);
    std::uint64_t bytes = 0;
    while (first > after(m_log.base_index()) &&
           snapshot_index.value() - first.value() + 1 < m_settings.keep_entries)
    {
        bytes += size_of(m_log.at(log_index{first.value() - 1}));
        if (bytes > m_settings.snapshot_bytes)
        {
            break;
        }
        first = log_index{first.value() - 1};
    }
    return first;
}

bool replica::snapshot_due() const
{
    return m_applied.value() >= m_snapshot_index.value() + m_settings.snapshot_interval ||
           m_bytes_since_snapshot >= m_settings.snapshot_bytes;
}

bool replica::holds_lease(monotonic_time now) const
{
    if (m_role != replica_role::leader || m_transferring || m_applied < m_term_start)
    {
        return false;
    }
    return lease_end(now) > now;
}

std::optional<monotonic_time> replica::last_heard(const replica_id& member) const
{
    const auto found = m_progress.find(member);
    if (m_role != replica_role::leader || found == m_progress.end())
    {
        return std::nullopt;
    }
    return found->second.last_reply;
}

std::optional<std::uint64_t> replica::lag_of(const replica_id& member) const
{
    const auto found = m_progress.find(member);
    if (m_role != replica_role::leader || found == m_progress.end())
    {
        return std::nullopt;
    }
    return m_log.last_index().value() - found->second.match.value();
}

} // namespace walkthread
