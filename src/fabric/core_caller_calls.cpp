// The part of core_node that handles callers' calls at the leader: submissions, their states, cancels and the
// number of those that wait.

#include <walkthread/fabric/core_node.hpp>

#include <random>

#include <walkthread/node/clock.hpp>
#include <walkthread/workload/names.hpp>

namespace walkthread
{

// Returns no value if access is granted. The log has the queue, never a key.
std::optional<service_reply> core_node::check_access(const access_decision& caller, std::string_view call)
{
    const auto refused = [&](workload_code code, std::string text)
    {
        log_event("caller_refused", {},
                  {{"call", call},
                   {"queue", caller.queue == nullptr ? std::string{} : caller.queue->name},
                   {"code", static_cast<std::int32_t>(code)},
                   {"configuration", m_state.current_configuration()->version}});
        return make_refusal(code, std::move(text));
    };
    switch (caller.verdict)
    {
    case access_verdict::allowed:
        return std::nullopt;
    case access_verdict::no_configuration:
        return make_reply(reply_kind::unavailable, "There is no configuration yet.");
    case access_verdict::no_queue:
        return make_refusal(workload_code::unknown_queue, "There is no such queue.");
    case access_verdict::no_key:
        return refused(workload_code::no_key, "This queue requires the key of an organisation.");
    case access_verdict::unknown_key:
        return refused(workload_code::unknown_key, "This key does not belong to any organisation.");
    }
    return make_reply(reply_kind::unavailable);
}

void core_node::handle(const submit_call& call, const call_handler& handler)
{
    const access_decision caller = decide_access(m_state, call.host, call.path, call.key);
    if (auto refusal = check_access(caller, "submit"))
    {
        handler(std::move(*refusal));
        return;
    }
    const queue_spec* queue = caller.queue;
    const submission* known = m_state.find(call.id);
    if (known != nullptr && addresses(m_state, caller, *known) && known->organisation == caller.organisation)
    {
        handler(make_reply(reply_kind::done));
        return;
    }
    const std::string name = name_of(call.id);
    if (!addresses_submission(*queue, call.path, name))
    {
        handler(
            make_refusal(workload_code::unknown_queue, "No queue has the path without the submission's id."));
        return;
    }
    if (std::string fault = find_fault(call.spec); !fault.empty())
    {
        handler(make_refusal(workload_code::bad_submission, std::move(fault)));
        return;
    }
    const std::uint64_t bytes = size_when_accepted(call.spec);
    if (auto refusal = check_room(call, bytes))
    {
        handler(std::move(*refusal));
        return;
    }
    log_event("submission_taken", name,
              {{"queue", queue->name},
               {"organisation", caller.organisation},
               {"steps", call.spec.steps.size()},
               {"tasks", call.spec.steps.front().count},
               {"gang", call.spec.steps.front().gang},
               {"lasting", call.spec.steps.front().long_running},
               {"rounds", call.spec.rounds}});
    m_admission.begin_commit(call.id, bytes);
    propose_and_reply(
        accept_submission{call.id, queue->name, call.spec, caller.organisation, route_of(*queue)},
        [this, alive = m_alive, id = call.id, name, handler](service_reply reply)
        {
            if (*alive)
            {
                m_admission.end_commit(id);
            }
            if (*alive && reply.what() != reply_kind::done)
            {
                log_event("submission_not_kept", name,
                          {{"kind", reply.kind}, {"code", reply.code}, {"detail", reply.text}});
            }
            handler(std::move(reply));
        });
}

// An accepted submission whose queue was removed is not unknown, also if a shorter path prefix matches.
service_reply core_node::refuse_unknown(const access_decision& caller, submission_id id) const
{
    return addresses_removed_queue(m_state, caller, id)
               ? make_refusal(workload_code::unknown_queue, "There is no such queue.")
               : make_refusal(workload_code::unknown_submission, "There is no such submission.");
}

// Refuses a submission for which the state has no room. What was accepted goes on.
std::optional<service_reply> core_node::check_room(const submit_call& call, std::uint64_t bytes)
{
    const std::uint64_t held = m_state.bytes();
    const auto log_change = [&](std::string_view event, std::uint64_t refused)
    {
        log_event(event, {},
                  {{"bytes", held},
                   {"committing", m_admission.committing_bytes()},
                   {"limit", m_settings.state.accept_bytes},
                   {"submissions", m_state.submissions().size()},
                   {"refused", refused}});
    };
    if (m_admission.fits(held, call.id, bytes))
    {
        if (const std::uint64_t refused = m_admission.record_acceptance(); refused > 0)
        {
            log_change("state_has_room", refused);
        }
        return std::nullopt;
    }
    if (m_admission.record_refusal())
    {
        log_change("state_full", 1);
    }
    ++m_state_refusals;
    service_reply reply =
        make_refusal(workload_code::state_full, "The state has no room for this submission; retry later.");
    reply.number = static_cast<std::uint64_t>(
        state_admission::retry_after_s(std::uniform_real_distribution<double>(0.0, 1.0)(m_random)));
    return reply;
}

// Callers often ask right after their last task has ended. The reply waits a few milliseconds until ends that
// are known but not committed yet are applied, so that the caller need not ask again.
void core_node::handle(const state_call& call, const call_handler& handler)
{
    m_dispatcher->after_ends_committed(call.id,
                                       [this, alive = m_alive, call, handler]
                                       {
                                           if (*alive)
                                           {
                                               reply_with_state(call, handler);
                                           }
                                       });
}

void core_node::reply_with_state(const state_call& call, const call_handler& handler)
{
    const monotonic_time now = monotonic_now();
    if (!leads(now))
    {
        service_reply reply = make_reply(reply_kind::not_leading);
        reply.leader = describe_leader(now).leader;
        handler(std::move(reply));
        return;
    }
    const access_decision caller = decide_access(m_state, call.host, call.path, call.key);
    if (auto refusal = check_access(caller, "state"))
    {
        handler(std::move(*refusal));
        return;
    }
    const submission* known = find_for_caller(m_state, caller, call.id);
    if (known == nullptr)
    {
        handler(refuse_unknown(caller, call.id));
        return;
    }
    service_reply reply = make_reply(reply_kind::done, std::string(name_of(known->state())));
    reply.number = known->phase;
    handler(std::move(reply));
}

void core_node::handle(const cancel_call& call, const call_handler& handler)
{
    const access_decision caller = decide_access(m_state, call.host, call.path, call.key);
    if (auto refusal = check_access(caller, "cancel"))
    {
        handler(std::move(*refusal));
        return;
    }
    const submission* known = find_for_caller(m_state, caller, call.id);
    if (known == nullptr)
    {
        handler(refuse_unknown(caller, call.id));
        return;
    }
    log_event("submission_cancelling", name_of(call.id),
              {{"queue", known->queue}, {"state", name_of(known->state())}, {"active", known->active}});
    propose_and_reply(cancel_submission{call.id, known->queue}, handler);
}

void core_node::handle(const pending_call& call, const call_handler& handler)
{
    const access_decision caller = decide_access(m_state, call.host, call.path, call.key);
    if (auto refusal = check_access(caller, "pending"))
    {
        handler(std::move(*refusal));
        return;
    }
    service_reply reply = make_reply(reply_kind::done);
    reply.number = m_dispatcher->pending(caller.queue->name);
    handler(std::move(reply));
}

} // namespace walkthread
