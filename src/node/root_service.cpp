#include <walkthread/node/root_service.hpp>

#include <algorithm>

#include <walkthread/node/clock.hpp>
#include <walkthread/node/documents.hpp>
#include <walkthread/wire/codec.hpp>

namespace walkthread
{

namespace
{
constexpr std::uint8_t all_parameters = 0xFF;
constexpr std::size_t max_update_bytes = 1U << 20U;

root_result refuse(const state_error& error)
{
    return {error.number(), {}, {}, error.detail};
}
} // namespace

root_service::root_service(process_core& core) : m_core(core), m_log(make_logger("root"))
{
    for (const hall_settings& hall : core.config().halls)
    {
        m_halls[hall.id] = {};
    }
}

void root_service::attach()
{
    const std::vector<node_id>& replicas = m_core.config().root_replicas;
    if (std::find(replicas.begin(), replicas.end(), m_core.config().node) != replicas.end())
    {
        state_machine_hooks hooks;
        hooks.apply = [this](wall_ms at, const std::string& command)
        {
            return apply(at, command);
        };
        hooks.save = [this]
        {
            return m_state.save();
        };
        hooks.load = [this](const std::string& bytes)
        {
            return m_state.load(bytes);
        };
        group_callbacks callbacks;
        callbacks.handle = [this](const call_body& body, const reply_handler& handler)
        {
            handle(body, handler);
        };
        callbacks.tick = [](monotonic_time, wall_ms) {};
        callbacks.applied = [this]
        {
            changed();
        };
        m_group = &m_core.add_group(root_group, std::move(hooks), std::move(callbacks));
    }
    m_core.add_ticker(
        [this](monotonic_time now, wall_ms)
        {
            tick(now);
        });
}

void root_service::on_change(std::function<void()> handler)
{
    m_on_change.push_back(std::move(handler));
}

log_index root_service::applied() const
{
    return m_group != nullptr ? m_group->applied() : m_followed_index;
}

void root_service::changed()
{
    confirm_if_applied();
    for (const auto& handler : m_on_change)
    {
        handler();
    }
    if (m_core.leads(root_group, monotonic_now()))
    {
        m_core.notify_peers(root_group);
    }
}

// ---------------------------------------------------------------------------------------------------------
// Leader
// ---------------------------------------------------------------------------------------------------------

void root_service::handle(const call_body& body, const reply_handler& handler)
{
    if (const auto* command = std::get_if<root_call>(&body))
    {
        handle_command(*command, handler);
    }
    else if (const auto* update = std::get_if<root_update_call>(&body))
    {
        handle_update_call(*update, handler);
    }
    else if (const auto* query = std::get_if<query_call>(&body))
    {
        handler(document_reply{root_document(*query, m_state)});
    }
    else if (const auto* summary = std::get_if<hall_summary_call>(&body))
    {
        handle_summary(*summary);
        handler(done_reply{});
    }
    else
    {
        handler(call_error_reply{
            {}, static_cast<int>(node_code::bad_request), "Root does not handle this kind of call."});
    }
}

void root_service::handle_command(const root_call& call, const reply_handler& handler)
{
    auto command = decode<root_command>(call.command);
    if (!ok(command))
    {
        handler(root_reply{refuse({state_code::malformed_command, error_of(command).detail})});
        return;
    }
    const auto chosen = choose_parts(value_of(command));
    if (!ok(chosen))
    {
        handler(root_reply{refuse(error_of(chosen))});
        return;
    }
    propose(value_of(command), handler);
}

void root_service::propose(const root_command& command, const reply_handler& handler)
{
    const auto answered = [handler](const std::optional<std::string>& bytes)
    {
        auto answer = bytes ? decode<root_result>(*bytes) : result<root_result, wire_error>{wire_error{}};
        if (!ok(answer))
        {
            handler(call_error_reply{
                {}, static_cast<int>(node_code::not_leader), "The command was not committed."});
            return;
        }
        handler(root_reply{value_of(answer)});
    };
    m_group->propose(wall_now(), encode(command), answered, monotonic_now());
}

result<done, state_error> root_service::choose_parts(root_command& command)
{
    if (auto* put = std::get_if<put_configuration>(&command))
    {
        return choose_parts(put->parts, put->organisation, put->template_name, put->values, put->given);
    }
    if (auto* again = std::get_if<run_configuration>(&command))
    {
        const auto found = m_state.configurations().find({again->organisation, again->name});
        if (found != m_state.configurations().end())
        {
            return choose_parts(again->parts, again->organisation, found->second.template_name,
                                found->second.values, all_parameters);
        }
    }
    return done{};
}

result<done, state_error> root_service::choose_parts(std::vector<hall_part>& parts,
                                                     organisation_id organisation,
                                                     const std::string& template_name,
                                                     const parameters& given_values, std::uint8_t given)
{
    const auto stored_template = m_state.templates().find({organisation, template_name});
    if (stored_template == m_state.templates().end())
    {
        return done{}; // the state machine rejects the command with the reason
    }
    const parameters values = merge(stored_template->second.defaults, given_values, given);
    auto chosen = choose_halls(m_halls, stored_template->second.workload(), values);
    if (!ok(chosen))
    {
        return error_of(chosen);
    }
    parts = value_of(chosen);
    for (const hall_part& part : parts)
    {
        m_halls[part.hall].planned += values.size * part.tasks;
    }
    return done{};
}

void root_service::handle_summary(const hall_summary_call& call)
{
    m_halls[call.hall] = hall_load{call.capacity, call.reserved, call.largest, {}, call.cordoned};
}

void root_service::handle_update_call(const root_update_call& call, const reply_handler& handler)
{
    root_update_reply reply;
    reply.commit = m_group->core().commit_index();
    const log_tail& log = m_group->core().log();
    if (call.known < log.base_index())
    {
        reply.has_snapshot = true;
        reply.content.index = m_group->applied();
        reply.content.data = m_state.save();
    }
    else if (call.known < reply.commit)
    {
        reply.entries = log.slice(log_index{call.known.value() + 1}, max_update_bytes);
        const auto uncommitted = [&reply](const log_entry& e)
        {
            return e.index > reply.commit;
        };
        std::erase_if(reply.entries, uncommitted);
    }
    handler(std::move(reply));
}

std::string root_service::apply(wall_ms at, const std::string& bytes)
{
    auto command = decode<root_command>(bytes);
    if (!ok(command))
    {
        return encode(refuse({state_code::malformed_command, error_of(command).detail}));
    }
    const root_result answer = m_state.apply(at, value_of(command));
    if (m_core.leads(root_group, monotonic_now()))
    {
        record_event(value_of(command), answer);
    }
    return encode(answer);
}

void root_service::record_event(const root_command& command, const root_result& answer)
{
    const auto* put = std::get_if<put_configuration>(&command);
    const auto* withdrawn = std::get_if<withdraw_configuration>(&command);
    if (put == nullptr && withdrawn == nullptr)
    {
        return;
    }
    timeline_event event;
    event.kind = static_cast<std::uint8_t>(answer.code == 0 ? event_kind::configuration_accepted
                                                            : event_kind::configuration_refused);
    event.organisation = put != nullptr ? put->organisation : withdrawn->organisation;
    event.job = answer.jobs.empty() ? job_id{} : answer.jobs.front();
    event.text = (put != nullptr ? put->name : withdrawn->name) + " at version " +
                 std::to_string(answer.version.value()) + (put != nullptr ? "." : ", withdrawn.");
    m_core.events().add(std::move(event), wall_now());
}

// ---------------------------------------------------------------------------------------------------------
// Following the leader
// ---------------------------------------------------------------------------------------------------------

void root_service::tick(monotonic_time now)
{
    if (now >= m_next_update)
    {
        refresh();
    }
}

void root_service::refresh()
{
    m_next_update = monotonic_now() + m_core.config().timing.feed;
    if (m_update_in_flight)
    {
        m_refresh_again = true;
        return;
    }
    m_update_in_flight = true;
    const monotonic_time sent_at = monotonic_now();
    const auto answered = [this, sent_at](const reply_body& reply)
    {
        m_update_in_flight = false;
        if (const auto* update = std::get_if<root_update_reply>(&reply))
        {
            apply_update_reply(sent_at, *update);
        }
        if (std::exchange(m_refresh_again, false))
        {
            refresh();
        }
    };
    m_core.call(root_group, root_update_call{applied()}, m_core.config().timing.feed * 2, answered);
}

void root_service::apply_update_reply(monotonic_time sent_at, const root_update_reply& reply)
{
    if (m_group == nullptr)
    {
        const bool has_changes = reply.has_snapshot || !reply.entries.empty();
        if (reply.has_snapshot && reply.content.index > m_followed_index && m_state.load(reply.content.data))
        {
            m_followed_index = reply.content.index;
        }
        for (const log_entry& entry : reply.entries)
        {
            if (entry.index.value() != m_followed_index.value() + 1)
            {
                continue;
            }
            m_followed_index = entry.index;
            auto body = entry.type() == entry_kind::command ? decode<entry_body>(entry.data)
                                                            : result<entry_body, wire_error>{wire_error{}};
            if (ok(body))
            {
                apply(value_of(body).at, value_of(body).command);
            }
        }
        if (has_changes)
        {
            changed();
        }
    }
    m_pending_sent_at = std::max(m_pending_sent_at, sent_at);
    m_pending_commit = reply.commit;
    confirm_if_applied();
}

void root_service::confirm_if_applied()
{
    if (applied() >= m_pending_commit)
    {
        m_confirmed_at = std::max(m_confirmed_at, m_pending_sent_at);
    }
}

} // namespace walkthread
