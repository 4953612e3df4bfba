// Calls to group leaders in this or another process, with retries until the timeout.

#include <walkthread/node/core.hpp>

#include <random>

#include <walkthread/node/clock.hpp>
#include <walkthread/wire/codec.hpp>

namespace walkthread
{

namespace
{
constexpr milliseconds redirect_retry_delay{100};
constexpr milliseconds leader_reply_timeout{1000};
constexpr unsigned half_id_bits = 32;
} // namespace

// Replies to calls of a former incarnation may still arrive, so call ids start at a random number.
std::uint64_t process_core::random_call_id()
{
    std::random_device source;
    return (std::uint64_t{source()} << half_id_bits) | source();
}

void process_core::call(group_id group, call_body body, milliseconds timeout, reply_handler handler)
{
    pending_call call;
    call.group = group;
    call.body = std::move(body);
    call.deadline = monotonic_now() + timeout;
    call.handler = std::move(handler);
    post(
        [this, call = std::move(call)]() mutable
        {
            begin_call(std::move(call));
        });
}

void process_core::call_node(node_id node, group_id group, call_body body, milliseconds timeout,
                             reply_handler handler)
{
    pending_call call;
    call.group = group;
    call.body = std::move(body);
    call.deadline = monotonic_now() + timeout;
    call.target_node = node;
    call.handler = std::move(handler);
    post(
        [this, call = std::move(call)]() mutable
        {
            begin_call(std::move(call));
        });
}

namespace
{
/// Passes a reply from the core thread to a waiting thread.
struct reply_slot
{
    std::mutex mutex;
    std::condition_variable ready;
    std::optional<reply_body> reply;

    void set(reply_body value)
    {
        const std::scoped_lock lock(mutex);
        reply = std::move(value);
        ready.notify_all();
    }
    reply_body wait()
    {
        std::unique_lock lock(mutex);
        ready.wait(lock,
                   [this]
                   {
                       return reply.has_value();
                   });
        return std::move(*reply);
    }
};
} // namespace

reply_body process_core::call_and_wait(group_id group, call_body body, milliseconds timeout)
{
    auto slot = std::make_shared<reply_slot>();
    call(group, std::move(body), timeout,
         [slot](reply_body reply)
         {
             slot->set(std::move(reply));
         });
    return slot->wait();
}

reply_body process_core::call_node_and_wait(node_id node, group_id group, call_body body,
                                            milliseconds timeout)
{
    auto slot = std::make_shared<reply_slot>();
    call_node(node, group, std::move(body), timeout,
              [slot](reply_body reply)
              {
                  slot->set(std::move(reply));
              });
    return slot->wait();
}

void process_core::begin_call(pending_call call)
{
    const std::uint64_t id = m_next_call_id++;
    const auto [item, inserted] = m_calls.emplace(id, std::move(call));
    send_call(id, item->second);
}

// The leader if known, otherwise the replicas in turn.
node_id process_core::target_of(const pending_call& call) const
{
    if (call.target_node)
    {
        return *call.target_node;
    }
    const auto own = m_groups.find(call.group);
    const node_id known = own == m_groups.end() ? node_id{} : own->second.group->core().leader().node;
    if (known != node_id{})
    {
        return known;
    }
    const auto hint = m_leader_hints.find(call.group);
    if (hint != m_leader_hints.end() && hint->second != node_id{} && call.attempt % 2 == 0)
    {
        return hint->second;
    }
    const std::vector<node_id>& replicas = m_settings.replicas_of(call.group);
    return replicas[call.attempt % replicas.size()];
}

void process_core::send_call(std::uint64_t id, pending_call& call)
{
    const node_id target = target_of(call);
    const monotonic_time now = monotonic_now();
    call.waiting = true;
    call.sent_to = target;
    ++call.attempt;
    if (target == m_settings.node)
    {
        call.retry_at = call.deadline;
        const call_body body = call.body;
        handle_locally(call.group, body,
                       [this, id](reply_body reply)
                       {
                           finish_call(id, std::move(reply));
                       });
        return;
    }
    // Commands carry a request or attempt id and may be sent twice. A renewal is not resent while the leader
    // may be holding it until there are orders.
    const bool may_repeat = !std::holds_alternative<renew_call>(call.body);
    call.retry_at = may_repeat ? now + leader_reply_timeout : call.deadline;
    m_network.send(target, call_frame{id, call.group, encode(call.body)});
}

void process_core::handle_frame(const reply_frame& frame)
{
    auto reply = decode<reply_body>(frame.body);
    if (!ok(reply))
    {
        finish_call(frame.id, call_error_reply{{}, error_of(reply).number(), error_of(reply).detail});
        return;
    }
    finish_call(frame.id, std::move(value_of(reply)));
}

void process_core::finish_call(std::uint64_t id, reply_body reply)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
    {
        return;
    }
    pending_call& call = found->second;
    const auto* call_error = std::get_if<call_error_reply>(&reply);
    const bool not_leader =
        call_error != nullptr && call_error->code == static_cast<int>(node_code::not_leader);
    if (not_leader && !call.target_node && monotonic_now() < call.deadline)
    {
        m_leader_hints[call.group] = call_error->leader;
        call.waiting = false;
        call.retry_at = monotonic_now() + (call.attempt <= 2 ? milliseconds(0) : redirect_retry_delay);
        return;
    }
    auto node = m_calls.extract(found);
    node.mapped().handler(std::move(reply));
}

// Whether a call was sent to a process that is no longer the leader. Every call may be resent to the new
// leader: commands carry ids, and a lease that the old leader still grants expires before the new leader
// declares the worker lost.
bool process_core::leader_has_changed(const pending_call& call) const
{
    const auto own = m_groups.find(call.group);
    if (call.target_node || !call.waiting || own == m_groups.end())
    {
        return false;
    }
    const node_id leader = own->second.group->core().leader().node;
    return leader != node_id{} && leader != call.sent_to;
}

void process_core::retry_calls(monotonic_time now)
{
    std::vector<std::uint64_t> expired_calls;
    std::vector<std::uint64_t> calls_to_resend;
    for (const auto& [id, call] : m_calls)
    {
        if (now >= call.deadline)
        {
            expired_calls.push_back(id);
        }
        else if (now >= call.retry_at || leader_has_changed(call))
        {
            calls_to_resend.push_back(id);
        }
    }
    for (const std::uint64_t id : expired_calls)
    {
        auto node = m_calls.extract(id);
        const bool reply_pending = node.mapped().waiting;
        const node_code code = reply_pending ? node_code::timed_out : node_code::no_leader;
        node.mapped().handler(call_error_reply{{}, static_cast<int>(code), "No reply before the timeout."});
    }
    for (const std::uint64_t id : calls_to_resend)
    {
        const auto found = m_calls.find(id);
        if (found != m_calls.end())
        {
            send_call(id, found->second);
        }
    }
}

} // namespace walkthread
