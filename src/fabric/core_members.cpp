// The part of core_node that handles peer messages and maintains the membership.

#include <walkthread/fabric/core_node.hpp>

#include <algorithm>

#include <walkthread/fabric/addresses.hpp>
#include <walkthread/node/clock.hpp>
#include <walkthread/wire/codec.hpp>

namespace walkthread
{

caller_limits core_node::limits_of_callers() const
{
    const auto& held = m_state.current_configuration();
    return held ? caller_limits{held->version, held->max_body_bytes} : caller_limits{};
}

leader_status core_node::describe_leader(monotonic_time now) const
{
    const replica& core = m_replica->group().core();
    const std::uint16_t port = detail::port_of(m_settings.peer_address);
    leader_status out;
    out.leads = leads(now) && !m_stopping;
    out.term = core.term().value();
    out.limits = limits_of_callers();
    if (core.leader().node.value() != 0)
    {
        out.leader = peer_address_of(core.leader(), port);
    }
    for (const replica_id& voter : core.members().voters)
    {
        out.replicas.push_back(peer_address_of(voter, port));
    }
    for (const learner& item : core.members().learners)
    {
        out.replicas.push_back(peer_address_of(item.id, port));
    }
    return out;
}

void core_node::receive(const std::string& from, mesh_message message)
{
    const monotonic_time now = monotonic_now();
    if (auto* encoded = std::get_if<encoded_replica_message>(&message))
    {
        auto body = decode<replica_message>(encoded->message);
        if (ok(body))
        {
            m_replica->receive(
                replica_envelope{workload_group, encoded->from, encoded->to, std::move(value_of(body))});
        }
    }
    else if (auto* query = std::get_if<leader_query>(&message))
    {
        m_leader_clients[from] = {now, query->can_query_advisor};
        leader_status status = describe_leader(now);
        if (query->wants_probe_peers)
        {
            status.probe_peers = choose_probe_peers(from, status.replicas, now);
        }
        m_mesh.send(from, std::move(status));
        if (query->can_query_advisor && m_dispatcher)
        {
            m_advisor_queries.record_client(from, now);
        }
    }
    else if (auto* join = std::get_if<join_request>(&message))
    {
        handle_join(*join, now);
    }
    else if (auto* known = std::get_if<leader_status>(&message))
    {
        m_watch.receive(from, *known, now); // for the addresses of peers; the replica itself knows the leader
    }
    else
    {
        fabric_node::receive(from, std::move(message));
    }
}

// The next processes without a replica, by address, that asked recently: a process keeps the same ones over
// repeated queries, and different processes get different ones.
std::vector<std::string> core_node::choose_probe_peers(const std::string& asker,
                                                       const std::vector<std::string>& replicas,
                                                       monotonic_time now) const
{
    std::vector<std::string> out;
    const auto first = m_leader_clients.upper_bound(asker);
    const auto add = [&](const auto& client)
    {
        const bool recent = now - client.second.asked < m_core_settings.leader_notice_window;
        const bool has_replica = std::find(replicas.begin(), replicas.end(), client.first) != replicas.end();
        if (out.size() < leader_path_settings{}.max_probe_peers && recent && !has_replica &&
            client.first != asker)
        {
            out.push_back(client.first);
        }
    };
    std::for_each(first, m_leader_clients.end(), add);
    std::for_each(m_leader_clients.begin(), first, add);
    return out;
}

void core_node::query_leader(monotonic_time now)
{
    const replica& core = m_replica->group().core();
    if (m_dispatcher && m_platform_hooks.ask_advisor)
    {
        m_advisor_queries.record_client(m_settings.peer_address, now);
    }
    for (const std::string& peer : m_watch.peers_to_query(now))
    {
        m_mesh.send(peer, leader_query{static_cast<bool>(m_platform_hooks.ask_advisor)});
    }
    const bool replica_knows_leader = core.leader().node.value() != 0;
    if (!replica_knows_leader && !m_watch.leader().empty())
    {
        follow(m_watch.leader());
    }
    request_join(now);
    if (leads(now) && now - m_last_member_review >= m_core_settings.member_review_interval)
    {
        m_last_member_review = now;
        review_members(now);
        promote_standby(now);
        remove_expired_learner(now);
    }
}

void core_node::review_members(monotonic_time now)
{
    const replica& core = m_replica->group().core();
    std::vector<replica_id> all = core.members().voters;
    for (const learner& item : core.members().learners)
    {
        all.push_back(item.id);
    }
    for (const replica_id& member : all)
    {
        const auto last_contact = core.last_heard(member);
        const auto lag = core.lag_of(member);
        if (member == core.self() || !last_contact || !lag)
        {
            continue;
        }
        const bool is_lagging = now - *last_contact > m_core_settings.member_silence_limit ||
                                *lag > m_core_settings.lag_report_threshold;
        const auto reported = m_lagging_members.find(member);
        if (is_lagging && (reported == m_lagging_members.end() ||
                           now - reported->second >= m_core_settings.lag_report_interval))
        {
            m_lagging_members[member] = now;
            log_event("replica_behind", {},
                      {{"address", peer_address_of(member, detail::port_of(m_settings.peer_address))},
                       {"silent_ms", now - *last_contact},
                       {"entries", *lag},
                       {"snapshot", core.log().base_index().value()},
                       {"link_dropped", m_mesh.messages_dropped()}});
        }
        else if (!is_lagging && m_lagging_members.erase(member) > 0)
        {
            log_event("replica_caught_up", {},
                      {{"address", peer_address_of(member, detail::port_of(m_settings.peer_address))}});
        }
    }
}

replica_id core_node::find_unresponsive_voter(monotonic_time now) const
{
    const replica& core = m_replica->group().core();
    for (const replica_id& voter : core.members().voters)
    {
        const auto last_contact = core.last_heard(voter);
        if (voter != core.self() && last_contact && now - *last_contact > m_core_settings.voter_timeout)
        {
            return voter;
        }
    }
    return {};
}

// Promotes a responsive learner to replace a voter that has been unresponsive for `voter_timeout`.
void core_node::promote_standby(monotonic_time now)
{
    replica& core = m_replica->group().core();
    const replica_id unresponsive = find_unresponsive_voter(now);
    const auto& learners = core.members().learners;
    const bool promotion_pending = std::any_of(learners.begin(), learners.end(),
                                               [](const learner& item)
                                               {
                                                   return item.promote;
                                               });
    if (unresponsive.node.value() == 0 || promotion_pending)
    {
        return;
    }
    for (const learner& item : learners)
    {
        const auto last_contact = core.last_heard(item.id);
        if (!last_contact || now - *last_contact > m_core_settings.member_silence_limit)
        {
            continue;
        }
        const bool begun = ok(core.add_learner(learner{item.id, true, unresponsive}, now));
        log_event("standby_promoted", {},
                  {{"address", peer_address_of(item.id, detail::port_of(m_settings.peer_address))},
                   {"replaces", peer_address_of(unresponsive, detail::port_of(m_settings.peer_address))},
                   {"begun", begun}});
        m_replica->pump();
        return;
    }
}

// A replica that is not in its known membership, or has no leader contact, sends join requests to all known
// peers; only the leader handles them.
void core_node::request_join(monotonic_time now)
{
    const replica& core = m_replica->group().core();
    const bool leader_in_contact = core.role() == replica_role::leader ||
                                   now - core.last_leader_contact() < m_core_settings.member_silence_limit;
    const bool is_active_member = core.members().is_member(core.self()) && leader_in_contact;
    if (is_active_member || m_stopping || now - m_last_join_request < m_core_settings.join_retry_interval)
    {
        return;
    }
    m_last_join_request = now;
    for (const std::string& peer : m_watch.known())
    {
        m_mesh.send(peer, join_request{core.self()});
    }
}

join_hooks core_node::make_join_hooks() const
{
    join_hooks hooks;
    hooks.same_host = [](const replica_id& a, const replica_id& b)
    {
        return detail::ip_part(a) == detail::ip_part(b);
    };
    hooks.last_heard = [this](const replica_id& member)
    {
        return m_replica->group().core().last_heard(member);
    };
    return hooks;
}

void core_node::handle_join(const join_request& request, monotonic_time now)
{
    replica& core = m_replica->group().core();
    if (!leads(now))
    {
        return;
    }
    m_core_settings.join_rules.target_voters = target_voters();
    const join_decision decided =
        decide_join(core.members(), request.self, m_core_settings.join_rules, make_join_hooks(), now);
    const std::string address = peer_address_of(request.self, detail::port_of(m_settings.peer_address));
    if (decided.live_replica)
    {
        log_event("join_not_taken", {},
                  {{"address", address},
                   {"incarnation", request.self.incarnation.value()},
                   {"present", decided.live_replica->incarnation.value()}});
    }
    if (decided.remove)
    {
        static_cast<void>(
            core.remove_member(*decided.remove, now)); // requested again if a membership change is pending
        m_replica->pump();
    }
    if (decided.add && ok(core.add_learner(*decided.add, now)))
    {
        log_event("replica_joins", {},
                  {{"address", address},
                   {"promote", decided.add->promote},
                   {"replaces", decided.add->replaces.incarnation.value()},
                   {"voters", core.members().voters.size()}});
        m_replica->pump();
    }
}

// A learner that never catches up would block the promotion of all others.
void core_node::remove_expired_learner(monotonic_time now)
{
    replica& core = m_replica->group().core();
    const auto expired_learner =
        find_expired_learner(core.members(), m_core_settings.join_rules, make_join_hooks(), now);
    if (expired_learner && ok(core.remove_member(*expired_learner, now)))
    {
        log_event("newcomer_forgotten", {},
                  {{"address", peer_address_of(*expired_learner, detail::port_of(m_settings.peer_address))}});
        m_replica->pump();
    }
}

} // namespace walkthread
