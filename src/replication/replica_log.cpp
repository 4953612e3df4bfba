// Log replication and membership changes of replica; elections are in replica_election.cpp.

#include <walkthread/replication/replica.hpp>

#include <algorithm>

#include <walkthread/wire/codec.hpp>

namespace walkthread
{

namespace
{
// A large batch is resent after this many heartbeats without a reply.
constexpr int append_timeout_heartbeats = 3;
// Batches up to this size are cheap enough to resend with each heartbeat.
constexpr std::size_t resend_limit_bytes = 64U << 10U;
// Allows for sending and loading some megabytes on a small host under load.
constexpr duration snapshot_timeout = seconds(3);
// Above this part of `snapshot_bytes` a snapshot is not sent to several followers at once.
constexpr std::uint64_t large_snapshot_share = 4;
// Entries of half a second at peak load, when a follower never fully catches up.
constexpr std::uint64_t max_promotion_lag = 512;

log_index after(log_index index)
{
    return log_index{index.value() + 1};
}

std::int64_t to_stamp(monotonic_time t)
{
    return t.time_since_epoch().count();
}

monotonic_time from_stamp(std::int64_t stamp)
{
    return monotonic_time{duration{stamp}};
}
} // namespace

// ---------------------------------------------------------------------------------------------------------
// Log replication
// ---------------------------------------------------------------------------------------------------------

void replica::handle(const replica_id& from, const append_request& m, monotonic_time now)
{
    if (m.term < m_state.term)
    {
        send(from, append_reply{m_state.term, false, m_log.last_index(), m.sent_at});
        return;
    }
    follow_leader(m.term, from, m.lease_duration, now);
    if (m.previous_index < m_commit)
    {
        send(from, append_reply{m_state.term, true, m_commit, m.sent_at});
        return;
    }
    if (m_log.term_at(m.previous_index) != m.previous_term)
    {
        send(from, append_reply{m_state.term, false, find_conflict_hint(m.previous_index), m.sent_at});
        return;
    }
    accept_entries(m);
    const log_index match{m.previous_index.value() + m.entries.size()};
    commit_to(std::min(m.commit, match));
    send(from, append_reply{m_state.term, true, match, m.sent_at});
}

void replica::accept_entries(const append_request& m)
{
    for (const log_entry& entry : m.entries)
    {
        if (m_log.term_at(entry.index) == entry.term)
        {
            continue;
        }
        if (entry.index <= m_log.last_index())
        {
            m_log.truncate_from(entry.index);
            m_synced = std::min(m_synced, m_log.last_index());
            // The replacing entries have not been output yet.
            m_output_index = std::min(m_output_index, m_log.last_index());
            std::erase_if(m_output.append,
                          [&entry](const log_entry& e)
                          {
                              return e.index >= entry.index;
                          });
            recompute_members();
        }
        m_log.append(entry);
        m_output.append.push_back(entry);
        if (entry.type() == entry_kind::members)
        {
            recompute_members();
        }
    }
}

log_index replica::find_conflict_hint(log_index previous) const
{
    const log_index last = std::min(previous, m_log.last_index());
    if (last < previous)
    {
        return last;
    }
    const std::optional<term_id> bad = m_log.term_at(last);
    log_index hint = last;
    while (hint > m_commit && m_log.term_at(hint) == bad)
    {
        hint = log_index{hint.value() - 1};
    }
    return hint;
}

void replica::handle(const replica_id& from, const append_reply& m, monotonic_time now)
{
    if (m.term > m_state.term)
    {
        become_follower(m.term, {}, now);
        return;
    }
    const auto found = m_progress.find(from);
    if (m_role != replica_role::leader || m.term < m_state.term || found == m_progress.end())
    {
        return;
    }
    progress& p = found->second;
    p.last_reply = now;
    p.acked_sent_at = std::max(p.acked_sent_at, from_stamp(m.sent_at));
    p.snapshot_in_flight = false;
    // The reply to a heartbeat does not acknowledge entries that are still in flight.
    const bool large = p.in_flight_bytes > resend_limit_bytes;
    p.in_flight = p.in_flight && large && m.accepted && m.match < p.in_flight_to;
    if (!m.accepted)
    {
        const std::uint64_t retry = std::min(m.match.value() + 1, p.next.value() - 1);
        p.next = log_index{std::max(retry, p.match.value() + 1)};
        return;
    }
    p.match = std::max(p.match, m.match);
    p.next = std::max(p.next, after(p.match));
    advance_commit(now);
}

void replica::handle(const replica_id& from, const snapshot_request& m, monotonic_time now)
{
    if (m.term < m_state.term)
    {
        send(from, append_reply{m_state.term, false, m_log.last_index(), m.sent_at});
        return;
    }
    follow_leader(m.term, from, m.lease_duration, now);
    if (m_log.term_at(m.content.index) == m.content.term)
    {
        // The log already contains the snapshot's entries, and later ones may have been acknowledged: keep
        // it.
        commit_to(m.content.index);
    }
    else if (m.content.index > m_commit)
    {
        m_log.reset(m.content.index, m.content.term);
        m_base_members = m.content.members;
        m_commit = m.content.index;
        m_applied = m.content.index;
        m_snapshot_index = m.content.index;
        m_snapshot_term = m.content.term;
        m_snapshot_data = m.content.data;
        m_snapshot_members = m.content.members;
        m_bytes_since_snapshot = 0;
        m_output.install = m.content;
        m_output.append.clear();
        m_output.apply.clear();
        recompute_members();
    }
    send(from, append_reply{m_state.term, true, m_commit, m.sent_at});
}

// While it is sent, a snapshot is in memory several times, so a large one goes to one follower at a time.
// Among those that need it, followers that reply go first, then the one whose last snapshot was sent longest
// ago.
bool replica::may_send_snapshot(const replica_id& to, monotonic_time now) const
{
    if (m_snapshot_data.size() <= m_settings.snapshot_bytes / large_snapshot_share)
    {
        return true;
    }
    const auto turn = [this, now](const progress& p)
    {
        return std::make_pair(now - p.last_reply > m_settings.election_timeout, p.snapshot_sent);
    };
    const auto own_turn = turn(m_progress.at(to));
    return std::none_of(m_progress.begin(), m_progress.end(),
                        [&](const auto& item)
                        {
                            const progress& p = item.second;
                            const bool sending =
                                p.snapshot_in_flight && now - p.snapshot_sent < snapshot_timeout;
                            const bool waits = p.next <= m_log.base_index() && turn(p) < own_turn;
                            return item.first != to && (sending || waits);
                        });
}

void replica::send_append(const replica_id& to, monotonic_time now)
{
    progress& p = m_progress[to];
    p.last_sent = now;
    if (p.next <= m_log.base_index())
    {
        const bool recent = p.snapshot_in_flight && now - p.snapshot_sent < snapshot_timeout;
        if (!recent && may_send_snapshot(to, now))
        {
            p.snapshot_in_flight = true;
            p.snapshot_sent = now;
            const snapshot content{m_snapshot_index, m_snapshot_term, m_snapshot_members, m_snapshot_data};
            send(to, snapshot_request{m_state.term, to_stamp(now), m_lease_duration.count(), content});
        }
        return;
    }
    const log_index previous{p.next.value() - 1};
    append_request request;
    request.term = m_state.term;
    request.previous_index = previous;
    request.previous_term = *m_log.term_at(previous);
    request.commit = m_commit;
    request.sent_at = to_stamp(now);
    request.lease_duration = m_lease_duration.count();
    request.entries = m_log.slice(p.next, m_settings.append_bytes);
    p.in_flight = !request.entries.empty();
    p.in_flight_to = log_index{previous.value() + request.entries.size()};
    p.in_flight_since = now;
    p.in_flight_bytes = 0;
    for (const log_entry& entry : request.entries)
    {
        p.in_flight_bytes += entry.data.size();
    }
    send(to, std::move(request));
}

// Prevents the follower from campaigning while a large batch is in flight, without resending the batch.
void replica::send_heartbeat(const replica_id& to, progress& p, monotonic_time now)
{
    append_request request;
    request.term = m_state.term;
    request.previous_index = p.match;
    const std::optional<term_id> known = m_log.term_at(p.match);
    if (!known)
    {
        return; // the follower needs a snapshot, which is already in flight
    }
    request.previous_term = *known;
    request.commit = std::min(m_commit, p.match);
    request.sent_at = to_stamp(now);
    request.lease_duration = m_lease_duration.count();
    p.last_sent = now;
    send(to, std::move(request));
}

void replica::send_to_all(bool heartbeat, monotonic_time now)
{
    for (auto& [id, p] : m_progress)
    {
        const bool due = heartbeat && now - p.last_sent >= m_settings.heartbeat;
        const bool large_batch_in_flight =
            p.in_flight && p.in_flight_bytes > resend_limit_bytes &&
            now - p.in_flight_since < append_timeout_heartbeats * m_settings.heartbeat;
        if (due && large_batch_in_flight)
        {
            send_heartbeat(id, p, now);
            continue;
        }
        const bool has_entries = !p.in_flight && !p.snapshot_in_flight && p.next <= m_log.last_index();
        if (due || has_entries)
        {
            send_append(id, now);
        }
    }
}

void replica::append_local(entry_kind kind, std::string data)
{
    log_entry entry;
    entry.index = after(m_log.last_index());
    entry.term = m_state.term;
    entry.kind = static_cast<std::uint8_t>(kind);
    entry.data = std::move(data);
    m_output.append.push_back(entry);
    m_log.append(std::move(entry));
}

void replica::advance_commit(monotonic_time now)
{
    if (m_role != replica_role::leader || m_members.voters.empty())
    {
        return;
    }
    std::vector<log_index> matches;
    for (const replica_id& voter : m_members.voters)
    {
        const auto found = m_progress.find(voter);
        const bool known = found != m_progress.end();
        matches.push_back(voter == m_self ? m_synced : known ? found->second.match : log_index{});
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const log_index quorum_match = matches[m_members.quorum() - 1];
    const bool own_term = m_log.term_at(quorum_match) == m_state.term;
    if (quorum_match > m_commit && own_term)
    {
        commit_to(quorum_match);
        refresh_progress(now);
    }
}

void replica::commit_to(log_index index)
{
    m_commit = std::max(m_commit, index);
    while (m_applied < m_commit)
    {
        m_applied = after(m_applied);
        m_output.apply.push_back(m_log.at(m_applied));
        m_bytes_since_snapshot += size_of(m_output.apply.back());
    }
}

// ---------------------------------------------------------------------------------------------------------
// Membership
// ---------------------------------------------------------------------------------------------------------

void replica::change_members(const membership& next, monotonic_time now)
{
    append_local(entry_kind::members, encode(next));
    recompute_members();
    refresh_progress(now);
    advance_commit(now);
}

void replica::recompute_members()
{
    m_members = m_base_members;
    m_members_index = m_log.base_index();
    for (log_index i = after(m_log.base_index()); i <= m_log.last_index(); i = after(i))
    {
        const log_entry& entry = m_log.at(i);
        if (entry.type() != entry_kind::members)
        {
            continue;
        }
        auto decoded = decode<membership>(entry.data);
        if (ok(decoded))
        {
            m_members = value_of(decoded);
            m_members_index = i;
        }
    }
}

void replica::refresh_progress(monotonic_time now)
{
    std::erase_if(m_progress,
                  [this](const auto& item)
                  {
                      return !m_members.is_member(item.first);
                  });
    const auto ensure = [this, now](const replica_id& id)
    {
        if (id != m_self && !m_progress.contains(id))
        {
            progress fresh;
            fresh.next = after(m_log.last_index());
            fresh.last_reply = now;
            m_progress.emplace(id, fresh);
        }
    };
    std::for_each(m_members.voters.begin(), m_members.voters.end(), ensure);
    std::for_each(m_members.learners.begin(), m_members.learners.end(),
                  [&](const learner& l)
                  {
                      ensure(l.id);
                  });
}

void replica::advance_members(monotonic_time now)
{
    if (m_members_index > m_commit || m_transferring)
    {
        return;
    }
    for (const learner& item : m_members.learners)
    {
        membership next = m_members;
        const bool promoted = m_members.is_voter(item.id);
        const progress& p = m_progress[item.id];
        const bool caught_up =
            p.match.value() + max_promotion_lag >= m_log.last_index().value() && p.match >= m_term_start;
        const auto same = [&item](const learner& l)
        {
            return l.id == item.id;
        };
        if (!promoted && item.promote && caught_up)
        {
            next.voters.push_back(item.id);
            if (item.replaces.node.value() == 0)
            {
                std::erase_if(next.learners, same);
            }
            change_members(next, now);
            return;
        }
        if (promoted)
        {
            std::erase(next.voters, item.replaces);
            std::erase_if(next.learners, same);
            change_members(next, now);
            return;
        }
    }
}

} // namespace walkthread
