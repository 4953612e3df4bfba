// The part of core_node that handles calls at the leader.

#include <walkthread/fabric/core_node.hpp>

#include <algorithm>
#include <set>

#include <walkthread/fabric/addresses.hpp>
#include <walkthread/node/clock.hpp>
#include <walkthread/wire/codec.hpp>
#include <walkthread/workload/names.hpp>

namespace walkthread
{

bool core_node::handle_locally(const service_call& body, const call_handler& handler)
{
    if (std::holds_alternative<advise_call>(body))
    {
        return fabric_node::handle_locally(body, handler);
    }
    const monotonic_time now = monotonic_now();
    if (!leads(now) || !m_dispatcher || m_stopping)
    {
        service_reply reply = make_reply(reply_kind::not_leading);
        reply.leader = describe_leader(now).leader;
        handler(std::move(reply));
        return false;
    }
    std::visit(
        [this, &handler](const auto& call)
        {
            handle(call, handler);
        },
        body);
    return true;
}

void core_node::propose(const workload_command& command,
                        std::function<void(std::optional<workload_result>)> handler)
{
    m_replica->propose(wall_now(), encode(command),
                       [this, alive = m_alive, began = monotonic_now(),
                        handler = std::move(handler)](const std::optional<std::string>& answer)
                       {
                           if (*alive && answer)
                           {
                               m_commit_times.observe({}, monotonic_now() - began);
                           }
                           if (!answer)
                           {
                               handler(std::nullopt);
                               return;
                           }
                           auto decoded = decode<workload_result>(*answer);
                           handler(ok(decoded) ? std::optional(value_of(decoded)) : std::nullopt);
                       });
}

void core_node::propose_and_reply(const workload_command& command, const call_handler& handler)
{
    if (!has_enough_voters())
    {
        handler(make_reply(reply_kind::unavailable, "Too few replicas to store the command safely."));
        return;
    }
    propose(command,
            [this, alive = m_alive, handler](const std::optional<workload_result>& outcome)
            {
                if (!outcome)
                {
                    handler(make_reply(reply_kind::unknown, "The outcome of the commit is unknown."));
                    return;
                }
                handler(outcome->code == 0
                            ? make_reply(reply_kind::done)
                            : make_refusal(static_cast<workload_code>(outcome->code), outcome->detail));
                if (*alive)
                {
                    wake_dispatcher();
                }
            });
}

// ---------------------------------------------------------------------------------------------------------
// Operators
// ---------------------------------------------------------------------------------------------------------

void core_node::handle(const put_configuration_call& call, const call_handler& handler)
{
    if (auto fault = find_fault(call.next))
    {
        log_event("configuration_refused", {}, {{"version", call.next.version}, {"reason", *fault}});
        handler(make_refusal(workload_code::bad_configuration, *fault));
        return;
    }
    const std::uint64_t held = m_state.current_configuration() ? m_state.current_configuration()->version : 0;
    log_event("configuration_taken", {},
              {{"version", call.next.version}, {"held", held}, {"queues", call.next.queues.size()}});
    if (m_state.current_configuration() && call.next.version <= held)
    {
        handler(make_reply(reply_kind::done));
        return;
    }
    if (!m_replica->storage().has_room())
    {
        log_event("configuration_refused", {},
                  {{"version", call.next.version},
                   {"reason", "no room in the log"},
                   {"log_bytes", m_replica->storage().log_bytes()},
                   {"limit", m_settings.storage.log_bytes}});
        handler(make_reply(reply_kind::unavailable, "The log has no room for a configuration."));
        return;
    }
    propose_and_reply(replace_cluster_configuration{call.next}, handler);
}

void core_node::handle(const get_configuration_call& /*call*/, const call_handler& handler)
{
    if (!m_state.current_configuration())
    {
        handler(make_reply(reply_kind::unavailable, "There is no configuration yet."));
        return;
    }
    service_reply reply = make_reply(reply_kind::done, m_state.current_configuration()->source);
    reply.number = m_state.current_configuration()->version;
    handler(std::move(reply));
}

void core_node::handle(const begin_wave_call& call, const call_handler& handler)
{
    log_event("wave_taken", {},
              {{"wave", call.wave.wave},
               {"hosts", call.wave.hosts.size()},
               {"at_once", call.wave.at_once},
               {"within_s", call.wave.within_s}});
    propose_and_reply(call.wave, handler);
}

void core_node::handle(const wave_state_call& call, const call_handler& handler)
{
    const auto found = m_state.waves().find(call.wave);
    if (found == m_state.waves().end())
    {
        handler(make_refusal(workload_code::bad_wave, "There is no such wave."));
        return;
    }
    handler(make_reply(reply_kind::done, found->second.complete() ? "completed" : "running"));
}

namespace
{
std::string describe(const std::vector<doubtful_host>& hosts)
{
    std::string text;
    for (const doubtful_host& host : hosts)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(host.wait_left).count();
        text += " Uses " + host.worker + " only if no other worker takes it (" +
                std::string(host_doubt_names.at(static_cast<std::size_t>(host.doubt))) + "), " +
                (left > 0 ? "not within " + std::to_string(left) + " ms." : "from now on.");
    }
    return text;
}
} // namespace

// The steps of a round that is in progress or begins next.
std::string core_node::describe_round(const submission& owner, round_id round)
{
    std::string text;
    const wall_ms due = owner.spec.due_at(round);
    for (std::uint32_t s = 0; s < owner.spec.steps.size(); ++s)
    {
        const step_tasks tasks(owner, round, s);
        const bool ready = m_state.ready().contains(step_ref{owner.id, round, s});
        const bool closed = m_state.ready().is_closed(step_ref{owner.id, round, s});
        const std::string waits = closed             ? ", waits for a worker that can take it."
                                  : ready            ? ", waits for capacity or advice."
                                  : due > wall_now() ? ", due at " + std::to_string(due) + '.'
                                                     : ".";
        text += " Round " + std::to_string(round.value()) + " step " + std::to_string(s) + ": " +
                std::to_string(tasks.completed()) + " of " + std::to_string(tasks.size()) +
                " tasks completed" + waits;
        if (ready && !closed && m_dispatcher)
        {
            text += describe(m_dispatcher->doubtful_hosts({owner.id, round, s}, monotonic_now()));
        }
    }
    return text;
}

void core_node::handle(const explain_call& call, const call_handler& handler)
{
    const submission* known = m_state.find(call.id);
    if (known == nullptr)
    {
        handler(make_refusal(workload_code::unknown_submission, "There is no such submission."));
        return;
    }
    const queue_spec* queue = m_state.configured_queue_of(*known);
    std::string text =
        name_of(call.id) + " in queue " + (queue == nullptr ? known->queue + " (removed)" : queue->name) +
        ": " + std::string(name_of(known->state())) + ", " + std::to_string(known->active) + " runs active.";
    if (!known->final() && known->spec.rounds > 1)
    {
        text += ' ' + std::to_string(known->next_round - known->open_rounds.size()) + " of " +
                std::to_string(known->spec.rounds) + " rounds completed.";
    }
    for (const auto& [number, round] : known->open_rounds)
    {
        text += describe_round(*known, round_id{number});
    }
    if (!known->final() && known->next_round < known->spec.rounds)
    {
        text += describe_round(*known, round_id{known->next_round});
    }
    for (const auto& [hall, cordon] : m_state.cordons().all())
    {
        text += " Nothing new starts in hall " + hall + ", which is cordoned.";
    }
    handler(make_reply(reply_kind::done, std::move(text)));
}

std::vector<std::string> core_node::known_halls() const
{
    std::set<std::string> halls(m_settings.halls.begin(), m_settings.halls.end());
    for (const auto& [id, worker] : m_state.workers())
    {
        halls.insert(worker.description.hall);
    }
    return {halls.begin(), halls.end()};
}

// Acknowledged once it is committed: from then on no leader records or resends a start in the hall.
void core_node::handle(const hall_cordon_call& call, const call_handler& handler)
{
    std::vector<std::string> halls = known_halls();
    const bool in_place = m_state.cordons().contains(call.hall);
    if (!in_place && std::find(halls.begin(), halls.end(), call.hall) == halls.end())
    {
        log_event("cordon_refused", call.hall, {{"reason", "unknown hall"}, {"by", call.requested_by}});
        handler(make_refusal(workload_code::unknown_hall, "There is no such hall."));
        return;
    }
    if (in_place == call.cordoned)
    {
        // Applied by this leader's state machine, so it is committed: a repeated request has no other effect.
        handler(make_reply(reply_kind::done));
        return;
    }
    propose_and_reply(set_hall_cordon{call.hall, call.cordoned, call.requested_by, std::move(halls)},
                      [this, alive = m_alive, call, began = monotonic_now(), handler](service_reply reply)
                      {
                          if (*alive)
                          {
                              log_event(call.cordoned ? "hall_cordoned" : "hall_uncordoned", call.hall,
                                        {{"kind", reply.kind},
                                         {"code", reply.code},
                                         {"by", call.requested_by},
                                         {"took_ms", monotonic_now() - began}});
                          }
                          handler(std::move(reply));
                      });
}

void core_node::handle(const list_cordons_call& /*call*/, const call_handler& handler)
{
    service_reply reply = make_reply(reply_kind::done);
    reply.cordons = m_state.cordons().all();
    handler(std::move(reply));
}

// ---------------------------------------------------------------------------------------------------------
// Workers and peers
// ---------------------------------------------------------------------------------------------------------

// Any replica with recent leader contact answers a report without changes: 1,100 workers send 730 reports a
// second, which would delay task starts at the leader. Reports that announce or revoke a leave or differ from
// the known description go to the leader.
std::optional<service_reply> core_node::try_answer_locally(const service_call& body, monotonic_time now) const
{
    const auto* call = std::get_if<report_call>(&body);
    if (call == nullptr || !m_replica || leads(now) || m_stopping)
    {
        return std::nullopt;
    }
    const bool has_leader_contact =
        now - m_replica->group().core().last_leader_contact() < m_core_settings.leader_contact_limit;
    const worker_incarnation* known = m_state.find_incarnation(call->report.description.incarnation());
    const bool is_unchanged = known != nullptr && !known->assumed &&
                              known->description == call->report.description && !call->report.draining &&
                              !known->leaving;
    if (!has_leader_contact || !is_unchanged)
    {
        return std::nullopt;
    }
    service_reply reply = make_reply(reply_kind::done);
    reply.redirect = m_settings.report_address;
    return reply;
}

// The address for later reports: a voter other than the leader, chosen by a hash of the incarnation to spread
// the load.
std::string core_node::choose_report_address(const std::string& incarnation, monotonic_time now) const
{
    const replica& core = m_replica->group().core();
    std::vector<std::string> others;
    for (const replica_id& voter : core.members().voters)
    {
        const auto last_contact = core.last_heard(voter);
        if (voter != core.self() && last_contact &&
            now - *last_contact < m_core_settings.leader_contact_limit)
        {
            others.push_back(peer_address_of(voter, detail::port_of(m_settings.report_address)));
        }
    }
    return others.empty() || m_settings.report_address.empty()
               ? m_settings.report_address
               : others[std::hash<std::string>{}(incarnation) % others.size()];
}

void core_node::handle(const report_call& call, const call_handler& handler)
{
    const std::string redirect = choose_report_address(call.report.description.id, monotonic_now());
    m_dispatcher->handle_report(call.report, monotonic_now(),
                                [handler, redirect](bool counted)
                                {
                                    service_reply reply =
                                        make_reply(counted ? reply_kind::done : reply_kind::unknown);
                                    reply.redirect = redirect;
                                    handler(std::move(reply));
                                });
}

void core_node::handle(const leave_call& call, const call_handler& handler)
{
    m_dispatcher->handle_leave(call.incarnation,
                               [handler](bool committed)
                               {
                                   handler(make_reply(committed ? reply_kind::done : reply_kind::unknown));
                               });
}

void core_node::handle(const advise_call& call, const call_handler& handler)
{
    fabric_node::handle_locally(call, handler);
}

} // namespace walkthread
