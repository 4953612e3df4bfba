#include <walkthread/fabric/call_router.hpp>

#include <utility>
#include <vector>

#include <walkthread/node/clock.hpp>
#include <walkthread/wire/codec.hpp>

namespace walkthread
{

namespace
{
constexpr milliseconds check_interval{50}; // resolution of deadlines and resends
constexpr milliseconds resend_interval{
    450}; // replies usually take 30 ms; longer than the fsync of a slow disk

// Only calls from callers are rejected during an outage. Operators and workers try other processes by
// themselves, so their calls wait until the timeout.
bool is_caller_request(const service_call& body)
{
    return std::holds_alternative<submit_call>(body) || std::holds_alternative<state_call>(body) ||
           std::holds_alternative<cancel_call>(body) || std::holds_alternative<pending_call>(body);
}

bool is_read(const service_call& body)
{
    return std::holds_alternative<state_call>(body) || std::holds_alternative<pending_call>(body);
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
    const std::uint64_t number = m_next++;
    waiting_call& item = m_calls[number];
    item.body = std::move(body);
    item.handler = std::move(handler);
    item.deadline = now + timeout;
    item.from_caller = from_caller;
    item.to_leader = true;
    arm();
    send(number, item, m_leader);
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
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, item] : m_calls)
    {
        if (item.from_caller && !item.ever_sent)
        {
            numbers.push_back(number);
        }
    }
    for (const std::uint64_t number : numbers)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(m_calls.at(number).deadline - now);
        finish(number, make_no_leader_reply(left, now));
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
    std::vector<std::pair<std::uint64_t, reply_kind>> ending;
    for (const auto& [number, item] : m_calls)
    {
        const bool no_effect = is_read(item.body) || !item.ever_sent;
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
    const std::uint64_t number = m_next++;
    waiting_call& item = m_calls[number];
    item.body = std::move(body);
    item.handler = std::move(handler);
    item.deadline = monotonic_now() + timeout;
    arm();
    send(number, item, peer);
}

void call_router::send(std::uint64_t number, waiting_call& item, const std::string& to)
{
    if (to.empty())
    {
        return;
    }
    item.sent = monotonic_now();
    if (to == m_mesh.self())
    {
        item.ever_sent = true;
        const service_call body = item.body;
        const auto answer = [this, alive = m_alive, number](service_reply reply)
        {
            if (*alive)
            {
                handle_reply(reply_message{number, std::move(reply)});
            }
        };
        m_local_handler(body, answer);
        return;
    }
    if (item.encoded.empty())
    {
        item.encoded = encode(item.body);
    }
    item.ever_sent = true;
    m_mesh.send(to, call_message{number, item.encoded});
}

void call_router::handle_reply(reply_message message)
{
    const auto found = m_calls.find(message.number);
    if (found == m_calls.end())
    {
        return; // timed out meanwhile, or answered by an earlier leader
    }
    if (found->second.to_leader && message.reply.what() == reply_kind::not_leading)
    {
        const std::string& hint = message.reply.leader;
        if (!hint.empty() && hint == m_leader && monotonic_now() - found->second.sent > check_interval)
        {
            send(message.number, found->second, m_leader);
        }
        return; // sent again when the leader changes or after `resend_interval`
    }
    finish(message.number, std::move(message.reply));
}

void call_router::finish(std::uint64_t number, service_reply reply)
{
    auto node = m_calls.extract(number);
    if (!node.empty())
    {
        node.mapped().handler(std::move(reply));
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
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, item] : m_calls)
    {
        if (item.to_leader)
        {
            numbers.push_back(number);
        }
    }
    for (const std::uint64_t number : numbers)
    {
        const auto found = m_calls.find(number);
        if (found != m_calls.end())
        {
            send(number, found->second, m_leader);
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

void call_router::check_deadlines()
{
    const monotonic_time now = monotonic_now();
    reject_unsent_calls(now);
    std::vector<std::uint64_t> expired;
    std::vector<std::uint64_t> to_resend;
    for (const auto& [number, item] : m_calls)
    {
        if (now >= item.deadline)
        {
            expired.push_back(number);
        }
        else if (item.to_leader && now - item.sent >= resend_interval)
        {
            to_resend.push_back(number);
        }
    }
    for (const std::uint64_t number : to_resend)
    {
        const auto found = m_calls.find(number);
        if (found != m_calls.end())
        {
            send(number, found->second, m_leader);
        }
    }
    for (const std::uint64_t number : expired)
    {
        const auto found = m_calls.find(number);
        if (found != m_calls.end())
        {
            const bool sent = found->second.ever_sent;
            finish(number, make_reply(sent ? reply_kind::unknown : reply_kind::unavailable,
                                      "No leader answered in time."));
        }
    }
    if (!m_calls.empty())
    {
        arm();
    }
}

} // namespace walkthread
