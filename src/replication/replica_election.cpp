// Leader election and leases of replica.

#include <walkthread/replication/replica.hpp>

#include <algorithm>

namespace walkthread
{

namespace
{
// A leader extends the requested lease by lease_extension_factor once the last contact with its quorum is
// older than this fraction of the lease.
constexpr double lease_extension_threshold = 0.6;
constexpr double lease_extension_factor = 1.5;
} // namespace

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
    // A pre-vote is repeated after one round of staggered campaigns; a vote must allow for slow fsyncs.
    const duration round = m_settings.election_stagger * static_cast<std::int64_t>(m_members.voters.size());
    set_election_timer(pre ? round : m_settings.vote_timeout, now);
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
    // A leader that campaigns has lost leadership, so the lease granted to it is no reason to refuse.
    const bool was_leader = m_state.leader == from;
    const bool refused_by_leader = has_live_leader(now) && !m.transfer && !was_leader;
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
        set_election_timer(m_settings.vote_timeout, now);
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

void replica::handle(const replica_id& /*from*/, const timeout_now_request& m, monotonic_time now)
{
    const bool may_campaign = m_members.is_voter(m_self) && !m_leadership_declined;
    if (m.term == m_state.term && m_role == replica_role::follower && may_campaign)
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
    set_election_timer(m_lease_duration, now);
}

// Records contact with the leader and grants the requested lease. A longer lease is made durable before the
// reply, so that it is honoured after a restart. The leader of a later term starts with its own duration, as
// all earlier leases have expired by then.
void replica::follow_leader(term_id term, const replica_id& leader, std::int64_t asked, monotonic_time now)
{
    const duration wanted =
        std::clamp(duration{asked}, m_settings.election_timeout, m_settings.max_election_timeout);
    const bool later = term > m_lease_term;
    if (later || wanted > m_lease_duration)
    {
        m_lease_duration = wanted;
        m_lease_term = term;
    }
    const bool changed = m_lease_duration.count() > m_state.lease_duration || m_state.leader != leader;
    become_follower(term, leader, now);
    m_last_leader_contact = now;
    if (later || changed)
    {
        m_state.lease_duration = m_lease_duration.count();
        m_state.leader = leader;
        m_output.state = m_state;
    }
}

// When a quorum replies slowly, for instance because of slow disks, a short lease would expire between two
// replies and the leader would be deposed repeatedly.
void replica::extend_lease_duration(monotonic_time now)
{
    const duration silence = now - std::max(quorum_contact_time(now), m_leader_since);
    const auto extension_threshold =
        std::chrono::duration_cast<duration>(m_lease_duration * lease_extension_threshold);
    if (silence < extension_threshold || m_lease_duration >= m_settings.max_election_timeout)
    {
        return;
    }
    const auto extended = std::chrono::duration_cast<duration>(m_lease_duration * lease_extension_factor);
    m_lease_duration = std::min(extended, m_settings.max_election_timeout);
    m_lease_requests.push_back({now, m_lease_duration});
}

// The lease duration that a message sent by this leader at the given time requested.
duration replica::requested_lease_at(monotonic_time sent) const
{
    duration asked = m_lease_requests.front().lease_duration;
    for (const lease_request& item : m_lease_requests)
    {
        asked = item.since < sent ? item.lease_duration : asked;
    }
    return asked;
}

void replica::become_leader(monotonic_time now)
{
    m_role = replica_role::leader;
    m_leader = m_self;
    m_leader_since = now;
    m_lease_duration = m_settings.election_timeout;
    m_lease_requests = {{now, m_lease_duration}};
    m_lease_term = m_state.term;
    m_state.leader = m_self;
    m_output.state = m_state;
    m_transferring = false;
    m_progress.clear();
    refresh_progress(now);
    m_term_start = log_index{m_log.last_index().value() + 1};
    append_local(entry_kind::no_op, {});
}

void replica::step_down_without_quorum(monotonic_time now)
{
    const monotonic_time contact = std::max(quorum_contact_time(now), m_leader_since);
    const bool quorum_lost = now - contact > m_lease_duration;
    const bool transfer_timed_out = m_transferring && now - m_transfer_started > m_lease_duration;
    const bool removed = !m_members.is_voter(m_self) && m_members_index <= m_commit;
    if (quorum_lost || transfer_timed_out || removed)
    {
        become_follower(m_state.term, {}, now);
    }
}

// Staggers the campaigns to avoid split votes: the replicas campaign one after the other, in an order rotated
// by the term. The first half step gives all of them time to detect the loss of the leader.
void replica::set_election_timer(duration wait, monotonic_time now)
{
    const auto rank = static_cast<std::int64_t>(election_rank());
    const duration step = m_settings.election_stagger;
    const auto jitter =
        static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(step.count() / 4 + 1));
    m_election_at = now + wait + step / 2 + step * rank + duration{jitter};
}

std::size_t replica::election_rank() const
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

bool replica::has_live_leader(monotonic_time now) const
{
    return m_role == replica_role::leader ? quorum_contact_time(now) + m_lease_duration > now
                                          : m_last_leader_contact + m_lease_duration > now;
}

// A lower bound of each voter's last contact with this leader: the send time of the last message it replied
// to.
std::vector<monotonic_time> replica::voter_contact_times(monotonic_time now) const
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

monotonic_time replica::quorum_contact_time(monotonic_time now) const
{
    std::vector<monotonic_time> times = voter_contact_times(now);
    if (times.empty())
    {
        return monotonic_time{};
    }
    std::sort(times.begin(), times.end(), std::greater<>());
    return times[m_members.quorum() - 1];
}

// The time until which a quorum votes for nobody else, given the largest clock drift. Counts only durations
// requested in messages that were acknowledged: a partitioned leader keeps requesting longer leases that
// nobody grants, and would otherwise consider its lease valid for 0.75 s instead of 0.34 s, alongside the
// next leader.
monotonic_time replica::lease_end(monotonic_time now) const
{
    const double drift_factor = 1.0 - 2.0 * m_settings.clock_drift;
    std::vector<monotonic_time> ends;
    for (const monotonic_time contact : voter_contact_times(now))
    {
        const duration requested_duration = requested_lease_at(contact);
        ends.push_back(contact + std::chrono::duration_cast<duration>(requested_duration * drift_factor));
    }
    if (ends.empty())
    {
        return monotonic_time{};
    }
    std::sort(ends.begin(), ends.end(), std::greater<>());
    return ends[m_members.quorum() - 1];
}

} // namespace walkthread
