#include <walkthread/replication/replica.hpp>

#include <algorithm>
#include <iterator>

#include <walkthread/wire/codec.hpp>

namespace walkthread
{

namespace
{
// A leader asks for a longer promise once its quorum's answers are that part of it old, and for so much more.
constexpr double slow_part = 0.6;
constexpr double longer_factor = 1.5;

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
    m_taken = m_synced;
    recompute_members();
    // A leader may still rely on what was promised before the restart.
    m_promise = std::clamp(duration{m_state.promise}, m_settings.election_timeout, m_settings.election_most);
    // Whoever led last holds its lease no more once it has restarted, and no one else can: it need not wait.
    const bool led_last = m_state.leader == m_self;
    set_election_timer(led_last ? duration{0} : m_promise, now);
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
        if (now >= m_election_at && m_members.is_voter(m_self) && !m_declines)
        {
            start_election(true, false, now);
        }
        return;
    }
    step_down_if_alone(now);
    if (m_role == replica_role::leader)
    {
        adapt_promise(now);
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
        return replication_error{replication_code::overloaded, "Too many entries wait for a quorum."};
    }
    append_local(entry_kind::command, std::move(data));
    advance_commit(now);
    return m_log.last_index();
}

result<done, replication_error> replica::add_learner(learner newcomer, monotonic_time now)
{
    if (m_role != replica_role::leader || m_transferring)
    {
        return replication_error{replication_code::not_leader, "This replica does not lead the group."};
    }
    const auto known = std::find_if(m_members.learners.begin(), m_members.learners.end(),
                                    [&newcomer](const learner& item)
                                    {
                                        return item.id == newcomer.id;
                                    });
    const bool learns = known != m_members.learners.end();
    if (learns ? *known == newcomer : m_members.is_voter(newcomer.id))
    {
        return done{};
    }
    if (m_members_index > m_commit)
    {
        return replication_error{replication_code::change_pending, "Another membership change is pending."};
    }
    membership next = m_members;
    std::erase_if(next.learners,
                  [&newcomer](const learner& item)
                  {
                      return item.id == newcomer.id;
                  });
    next.learners.push_back(newcomer);
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
        return replication_error{replication_code::unknown_member, "No such member."};
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

void replica::hand_over(monotonic_time now)
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
    send(*best, election_order{m_state.term});
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
    m_taken = m_log.last_index();
    return std::exchange(m_output, replica_output{});
}

replica_output replica::take_unsynced(monotonic_time now)
{
    replica_output out;
    if (m_output.install)
    {
        return out; // what follows a snapshot waits for it
    }
    out.apply = std::exchange(m_output.apply, {});
    if (m_role != replica_role::leader || m_output.state)
    {
        return out;
    }
    send_to_all(false, now);
    const auto may_go = [](const replica_envelope& envelope)
    {
        return std::holds_alternative<append_request>(envelope.message);
    };
    std::copy_if(m_output.messages.begin(), m_output.messages.end(), std::back_inserter(out.messages),
                 may_go);
    std::erase_if(m_output.messages, may_go);
    return out;
}

void replica::synced(monotonic_time now)
{
    m_synced = std::min(m_taken, m_log.last_index());
    advance_commit(now);
}

snapshot replica::compact(log_index index, std::string data)
{
    snapshot out{index, m_log.term_at(index).value_or(m_snapshot_term), m_base_members, std::move(data)};
    for (log_index i = after(m_log.base_index()); i <= index; i = after(i))
    {
        if (m_log.at(i).type() == entry_kind::members)
        {
            out.members = std::get<0>(decode<membership>(m_log.at(i).data));
        }
    }
    m_snapshot_index = index;
    m_snapshot_term = out.term;
    m_snapshot_data = out.data;
    m_snapshot_members = out.members;
    const std::uint64_t keep = m_settings.keep_entries;
    if (index.value() > keep)
    {
        const log_index cut{index.value() - keep};
        for (log_index i = after(m_log.base_index()); i <= cut; i = after(i))
        {
            if (m_log.at(i).type() == entry_kind::members)
            {
                m_base_members = std::get<0>(decode<membership>(m_log.at(i).data));
            }
        }
        m_log.discard_to(cut);
    }
    return out;
}

bool replica::wants_snapshot() const
{
    return m_applied.value() >= m_snapshot_index.value() + m_settings.snapshot_every;
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

// ---------------------------------------------------------------------------------------------------------
// Elections
// ---------------------------------------------------------------------------------------------------------

void replica::start_election(bool pre, bool transfer, monotonic_time now)
{
    m_role = pre ? replica_role::pre_candidate : replica_role::candidate;
    m_leader = {};
    m_votes = {m_self};
    if (!pre)
    {
        m_state.term = term_id{m_state.term.value() + 1};
        m_state.vote = m_self;
        m_output.state = m_state;
    }
    // A question is asked again soon, each replica in its turn; votes may wait for slow disks.
    const duration round = m_settings.election_step * static_cast<std::int64_t>(m_members.voters.size());
    set_election_timer(pre ? round : m_settings.vote_patience, now);
    if (m_members.quorum() == 1)
    {
        pre ? start_election(false, transfer, now) : become_leader(now);
        return;
    }
    const term_id asked = pre ? term_id{m_state.term.value() + 1} : m_state.term;
    for (const replica_id& voter : m_members.voters)
    {
        if (voter != m_self)
        {
            send(voter, vote_request{asked, m_log.last_index(), m_log.last_term(), pre, transfer});
        }
    }
}

void replica::handle(const replica_id& from, const vote_request& m, monotonic_time now)
{
    // One that this replica follows and that asks for votes leads no more.
    const bool was_leader = m_state.leader == from;
    const bool refused_by_leader = hears_leader(now) && !m.transfer && !was_leader;
    if (m.pre)
    {
        const bool granted =
            m.term > m_state.term && !refused_by_leader && log_is_current(m.last_index, m.last_term);
        send(from, vote_reply{granted ? m.term : m_state.term, granted, true});
        return;
    }
    if (m.term < m_state.term || (m.term > m_state.term && refused_by_leader))
    {
        send(from, vote_reply{m_state.term, false, false});
        return;
    }
    if (m.term > m_state.term)
    {
        become_follower(m.term, {}, now);
    }
    const bool free_to_vote = m_state.vote == replica_id{} || m_state.vote == from;
    const bool granted =
        free_to_vote && m_role == replica_role::follower && log_is_current(m.last_index, m.last_term);
    if (granted)
    {
        m_state.vote = from;
        m_output.state = m_state;
        set_election_timer(m_settings.vote_patience, now);
    }
    send(from, vote_reply{m_state.term, granted, false});
}

void replica::handle(const replica_id& from, const vote_reply& m, monotonic_time now)
{
    if (!m.granted && m.term > m_state.term)
    {
        become_follower(m.term, {}, now);
        return;
    }
    const bool expected =
        m.pre ? m_role == replica_role::pre_candidate && m.term.value() == m_state.term.value() + 1
              : m_role == replica_role::candidate && m.term == m_state.term;
    if (!expected || !m.granted || !m_members.is_voter(from))
    {
        return;
    }
    m_votes.insert(from);
    if (m_votes.size() >= m_members.quorum())
    {
        m.pre ? start_election(false, false, now) : become_leader(now);
    }
}

void replica::handle(const replica_id& /*from*/, const election_order& m, monotonic_time now)
{
    const bool may_stand = m_members.is_voter(m_self) && !m_declines;
    if (m.term == m_state.term && m_role == replica_role::follower && may_stand)
    {
        start_election(false, true, now);
    }
}

void replica::become_follower(term_id term, replica_id leader, monotonic_time now)
{
    if (term > m_state.term)
    {
        m_state.term = term;
        m_state.vote = {};
        m_output.state = m_state;
    }
    m_role = replica_role::follower;
    m_leader = leader;
    m_transferring = false;
    m_progress.clear();
    set_election_timer(m_promise, now);
}

// Takes a message of the leader as a sign of life. A longer promise is synced before it is answered for, so
// that it holds over a restart; the leader of a later term starts with its own, as every earlier lease is
// over then.
void replica::heed_leader(term_id term, const replica_id& leader, std::int64_t asked, monotonic_time now)
{
    const duration wanted =
        std::clamp(duration{asked}, m_settings.election_timeout, m_settings.election_most);
    const bool later = term > m_promise_term;
    if (later || wanted > m_promise)
    {
        m_promise = wanted;
        m_promise_term = term;
    }
    const bool changed = m_promise.count() > m_state.promise || m_state.leader != leader;
    become_follower(term, leader, now);
    m_last_leader_contact = now;
    if (later || changed)
    {
        m_state.promise = m_promise.count();
        m_state.leader = leader;
        m_output.state = m_state;
    }
}

// Where a quorum answers slowly, as its disks are slow, a short lease would run out between two answers, and
// the leader would lose its place over and over.
void replica::adapt_promise(monotonic_time now)
{
    const duration silence = now - std::max(quorum_contact(now), m_leader_since);
    const auto slow = std::chrono::duration_cast<duration>(m_promise * slow_part);
    if (silence < slow || m_promise >= m_settings.election_most)
    {
        return;
    }
    m_promise_before = m_promise;
    m_promise_since = now;
    const auto longer = std::chrono::duration_cast<duration>(m_promise * longer_factor);
    m_promise = std::min(longer, m_settings.election_most);
}

void replica::become_leader(monotonic_time now)
{
    m_role = replica_role::leader;
    m_leader = m_self;
    m_leader_since = now;
    m_promise = m_settings.election_timeout;
    m_promise_before = m_promise;
    m_promise_since = now;
    m_promise_term = m_state.term;
    m_state.leader = m_self;
    m_output.state = m_state;
    m_transferring = false;
    m_progress.clear();
    refresh_progress(now);
    m_term_start = after(m_log.last_index());
    append_local(entry_kind::no_op, {});
}

void replica::step_down_if_alone(monotonic_time now)
{
    const monotonic_time contact = std::max(quorum_contact(now), m_leader_since);
    const bool alone = now - contact > m_promise;
    const bool order_ran_out = m_transferring && now - m_transfer_started > m_promise;
    const bool removed = !m_members.is_voter(m_self) && m_members_index <= m_commit;
    if (alone || order_ran_out || removed)
    {
        become_follower(m_state.term, {}, now);
    }
}

// The replicas stand one after the other, each a step later than the one before it, and the term decides who
// comes first: two that stand at once would split the votes. The half step lets all of them notice the
// silence first.
void replica::set_election_timer(duration wait, monotonic_time now)
{
    const auto rank = static_cast<std::int64_t>(own_rank());
    const duration step = m_settings.election_step;
    const auto jitter =
        static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(step.count() / 4 + 1));
    m_election_at = now + wait + step / 2 + step * rank + duration{jitter};
}

std::size_t replica::own_rank() const
{
    const auto& voters = m_members.voters;
    const auto self = std::find(voters.begin(), voters.end(), m_self);
    if (self == voters.end())
    {
        return 0;
    }
    return (static_cast<std::size_t>(self - voters.begin()) + m_state.term.value()) % voters.size();
}

bool replica::log_is_current(log_index last_index, term_id last_term) const
{
    const term_id own = m_log.last_term();
    return last_term > own || (last_term == own && last_index >= m_log.last_index());
}

bool replica::hears_leader(monotonic_time now) const
{
    return m_role == replica_role::leader ? quorum_contact(now) + m_promise > now
                                          : m_last_leader_contact + m_promise > now;
}

// When each voter last surely heard this leader: the times at which the messages were sent that it answered.
std::vector<monotonic_time> replica::voters_contact(monotonic_time now) const
{
    std::vector<monotonic_time> times;
    for (const replica_id& voter : m_members.voters)
    {
        const auto found = m_progress.find(voter);
        const bool known = found != m_progress.end();
        times.push_back(voter == m_self ? now : known ? found->second.acked_sent_at : monotonic_time{});
    }
    return times;
}

monotonic_time replica::quorum_contact(monotonic_time now) const
{
    std::vector<monotonic_time> times = voters_contact(now);
    if (times.empty())
    {
        return monotonic_time{};
    }
    std::sort(times.begin(), times.end(), std::greater<>());
    return times[m_members.quorum() - 1];
}

// Until when a quorum surely gives its votes to nobody else, whatever the drift of two clocks.
monotonic_time replica::lease_end(monotonic_time now) const
{
    const double safe_part = 1.0 - 2.0 * m_settings.clock_drift;
    std::vector<monotonic_time> ends;
    for (const monotonic_time contact : voters_contact(now))
    {
        const duration promised = contact >= m_promise_since ? m_promise : m_promise_before;
        ends.push_back(contact + std::chrono::duration_cast<duration>(promised * safe_part));
    }
    if (ends.empty())
    {
        return monotonic_time{};
    }
    std::sort(ends.begin(), ends.end(), std::greater<>());
    return ends[m_members.quorum() - 1];
}

} // namespace walkthread
