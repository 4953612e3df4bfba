#include <walkthread/fabric/call_router.hpp>

#include <utility>
#include <vector>

#include <walkthread/node/clock.hpp>

namespace walkthread
{

namespace
{
constexpr milliseconds check_interval{50}; // resolution of deadlines and resends
constexpr milliseconds resend_interval{
    450}; // replies usually take 30 ms; longer than the fsync of a slow disk
// A reply that is not there after the time in which a call is sent again is taken for lost.
constexpr milliseconds rejection_hold_limit = resend_interval;

// Only calls from callers are rejected during an outage. Operators and workers try other processes by
// themselves, so their calls wait until the timeout.
bool is_caller_request(const service_call& body)
{
    return std::holds_alternative<submit_call>(body) || std::holds_alternative<state_call>(body) ||
           std::holds_alternative<cancel_call>(body) || std::holds_alternative<pending_call>(body);
}

// The replies of the other copies decide: one of them may be an acceptance, or all are rejections.
void hold_rejection(outstanding_call& call, service_reply reply, monotonic_time now)
{
    if (!call.held_rejection)
    {
        call.held_since = now;
    }
    call.held_rejection = std::move(reply);
}
} // namespace

call_router::call_router(boost::asio::io_context& loop, mesh& peers,
                         std::function<bool(const service_call&, const call_handler&)> local_handler)
    : m_mesh(peers), m_local_handler(std::move(local_handler)), m_timer(loop), m_outage(monotonic_now())
{
}

call_router::~call_router()
{
    *m_alive = false;
}

void call_router::call(service_call body, milliseconds timeout, call_handler handler)
{
    const monotonic_time now = monotonic_now();
    const bool from_caller = is_caller_request(body);
    if (from_caller && m_isolated)
    {
        handler(make_reply(reply_kind::isolated, "This process reaches no other."));
        return;
    }
    if (from_caller && m_outage.rejects_calls(now))
    {
        handler(make_no_leader_reply(timeout, now));
        return;
    }
    outstanding_call item;
    item.body = std::move(body);
    item.handler = std::move(handler);
    item.deadline = now + timeout;
    item.from_caller = from_caller;
    item.to_leader = true;
    arm();
    send(m_calls.add(std::move(item)), m_leader);
}

service_reply call_router::make_no_leader_reply(milliseconds timeout, monotonic_time now)
{
    service_reply reply = make_reply(reply_kind::unavailable, "No leader is known; retry later.");
    const double draw = std::uniform_real_distribution<double>(0.0, 1.0)(m_random);
    reply.number = static_cast<std::uint64_t>(m_outage.choose_retry_after_s(now, draw, timeout));
    return reply;
}

// Rejects calls that were never sent. The outcome of calls that were sent is unknown, so they wait on.
void call_router::reject_unsent_calls(monotonic_time now)
{
    if (!m_outage.rejects_calls(now))
    {
        return;
    }
    std::vector<call_number> numbers;
    for (const auto& [number, item] : m_calls.all())
    {
        if (item.from_caller && !item.ever_sent())
        {
            numbers.push_back(number);
        }
    }
    for (const call_number number : numbers)
    {
        if (const outstanding_call* const call = m_calls.find(number))
        {
            const auto left = std::chrono::duration_cast<milliseconds>(call->deadline - now);
            finish(number, make_no_leader_reply(left, now));
        }
    }
}

void call_router::set_isolated(bool isolated)
{
    const bool becomes_isolated = isolated && !m_isolated;
    m_isolated = isolated;
    if (becomes_isolated)
    {
        end_calls_from_callers();
    }
}

// Another entry process can take these calls now. An order that was sent may have arrived before the cut, so
// its outcome is unknown; sending it again under the same id is safe.
void call_router::end_calls_from_callers()
{
    std::vector<std::pair<call_number, reply_kind>> ending;
    for (const auto& [number, item] : m_calls.all())
    {
        const bool no_effect = reads_only(item.body) || !item.ever_sent();
        if (item.from_caller)
        {
            ending.emplace_back(number, no_effect ? reply_kind::isolated : reply_kind::unknown);
        }
    }
    for (const auto& [number, kind] : ending)
    {
        finish(number, make_reply(kind, "This process reaches no other."));
    }
}

void call_router::call_peer(const std::string& peer, service_call body, milliseconds timeout,
                            call_handler handler)
{
    outstanding_call item;
    item.body = std::move(body);
    item.handler = std::move(handler);
    item.deadline = monotonic_now() + timeout;
    arm();
    send(m_calls.add(std::move(item)), peer);
}

void call_router::send(call_number number, const std::string& to)
{
    if (to.empty())
    {
        return;
    }
    m_calls.record_sent(number, to, monotonic_now());
    if (to != m_mesh.self())
    {
        m_mesh.send(to, m_calls.make_message(number));
        return;
    }
    const service_call body = m_calls.find(number)->body;
    m_local_handler(body,
                    [this, alive = m_alive, number](service_reply reply)
                    {
                        if (*alive)
                        {
                            conclude(number, m_mesh.self(), std::move(reply));
                        }
                    });
}

reply_match call_router::handle_reply(const std::string& from, reply_message message)
{
    const reply_match match = m_calls.match(from, message);
    if (match == reply_match::pending)
    {
        conclude(message.number, from, std::move(message.reply));
    }
    return match;
}

void call_router::conclude(call_number number, const std::string& from, service_reply reply)
{
    outstanding_call* const call = m_calls.find(number);
    if (call == nullptr)
    {
        return; // timed out meanwhile
    }
    m_calls.record_reply(number, from);
    if (call->to_leader && reply.what() == reply_kind::not_leading)
    {
        retry_at_leader(number, reply.leader);
        return;
    }
    if (is_uncertain_rejection(*call, reply))
    {
        hold_rejection(*call, std::move(reply), monotonic_now());
        return;
    }
    finish(number, std::move(reply));
}

// A reply "not leading". Without a hint at the present leader, the call is sent again when the leader changes
// or after `resend_interval`.
void call_router::retry_at_leader(call_number number, const std::string& hint)
{
    const outstanding_call& call = *m_calls.find(number);
    if (call.held_rejection)
    {
        if (!call.has_unanswered_copy())
        {
            finish(number, *call.held_rejection);
        }
    }
    else if (!hint.empty() && hint == m_leader && monotonic_now() - call.last_sent > check_interval)
    {
        send(number, m_leader);
    }
}

void call_router::finish(call_number number, service_reply reply)
{
    if (const std::optional<outstanding_call> call = m_calls.take(number))
    {
        call->handler(std::move(reply));
    }
}

void call_router::set_leader(const std::string& leader)
{
    if (leader == m_leader)
    {
        return;
    }
    m_leader = leader;
    if (const std::optional<duration> outage_duration =
            m_outage.set_leader_known(!leader.empty(), monotonic_now()))
    {
        m_outages.observe({}, *outage_duration);
    }
    std::vector<call_number> numbers;
    for (const auto& [number, item] : m_calls.all())
    {
        if (item.to_leader && !item.held_rejection)
        {
            numbers.push_back(number);
        }
    }
    for (const call_number number : numbers)
    {
        if (m_calls.find(number) != nullptr)
        {
            send(number, m_leader);
        }
    }
}

void call_router::arm()
{
    if (m_armed)
    {
        return;
    }
    m_armed = true;
    m_timer.expires_after(check_interval);
    m_timer.async_wait(
        [this, alive = m_alive](boost::system::error_code cancelled)
        {
            if (*alive && !cancelled)
            {
                m_armed = false;
                check_deadlines();
            }
        });
}

service_reply call_router::make_expired_reply(const outstanding_call& call)
{
    if (call.held_rejection)
    {
        ++m_uncertain_rejections;
        return make_reply(reply_kind::unknown,
                          "One copy was rejected, another has no reply and may have been "
                          "accepted: " +
                              call.held_rejection->text);
    }
    return make_reply(call.ever_sent() ? reply_kind::unknown : reply_kind::unavailable,
                      "No leader answered in time.");
}

void call_router::check_deadlines()
{
    const monotonic_time now = monotonic_now();
    reject_unsent_calls(now);
    std::vector<call_number> expired;
    std::vector<call_number> to_resend;
    for (const auto& [number, item] : m_calls.all())
    {
        const bool held_too_long = item.held_rejection && now - item.held_since >= rejection_hold_limit;
        if (now >= item.deadline || held_too_long)
        {
            expired.push_back(number);
        }
        else if (item.to_leader && !item.held_rejection && now - item.last_sent >= resend_interval)
        {
            to_resend.push_back(number);
        }
    }
    for (const call_number number : to_resend)
    {
        if (m_calls.find(number) != nullptr)
        {
            send(number, m_leader);
        }
    }
    for (const call_number number : expired)
    {
        if (const outstanding_call* const call = m_calls.find(number))
        {
            finish(number, make_expired_reply(*call));
        }
    }
    if (!m_calls.all().empty())
    {
        arm();
    }
}

} // namespace walkthread
