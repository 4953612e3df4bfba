#include <walkthread/fabric/call_router.hpp>

#include <utility>
#include <vector>

#include <walkthread/node/clock.hpp>
#include <walkthread/wire/codec.hpp>

namespace walkthread
{

namespace
{
constexpr milliseconds look_every{50};    // give-ups and repeats are at most that late
constexpr milliseconds repeat_after{450}; // an answer usually comes within 30 ms; above a slow disk's sync
} // namespace

call_router::call_router(boost::asio::io_context& loop, mesh& peers,
                         std::function<bool(const service_call&, const call_handler&)> local)
    : m_mesh(peers), m_local(std::move(local)), m_timer(loop)
{
}

call_router::~call_router()
{
    *m_alive = false;
}

void call_router::call(service_call body, milliseconds patience, call_handler handler)
{
    const monotonic_time now = monotonic_now();
    const std::uint64_t number = m_next++;
    waiting_call& item = m_calls[number];
    item.body = std::move(body);
    item.handler = std::move(handler);
    item.give_up = now + patience;
    item.to_leader = true;
    arm();
    send(number, item, m_leader);
}

void call_router::call_peer(const std::string& peer, service_call body, milliseconds patience,
                            call_handler handler)
{
    const std::uint64_t number = m_next++;
    waiting_call& item = m_calls[number];
    item.body = std::move(body);
    item.handler = std::move(handler);
    item.give_up = monotonic_now() + patience;
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
                take_reply(reply_note{number, std::move(reply)});
            }
        };
        m_local(body, answer);
        return;
    }
    if (item.encoded.empty())
    {
        item.encoded = encode(item.body);
    }
    item.ever_sent = true;
    m_mesh.send(to, call_note{number, item.encoded});
}

void call_router::take_reply(reply_note note)
{
    const auto found = m_calls.find(note.number);
    if (found == m_calls.end())
    {
        return; // given up meanwhile, or answered by an earlier leader
    }
    if (found->second.to_leader && note.reply.what() == reply_kind::not_leading)
    {
        const std::string& hint = note.reply.leader;
        if (!hint.empty() && hint == m_leader && monotonic_now() - found->second.sent > look_every)
        {
            send(note.number, found->second, m_leader);
        }
        return; // sent again when the leader is known, or after a while
    }
    finish(note.number, std::move(note.reply));
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
    m_timer.expires_after(look_every);
    m_timer.async_wait(
        [this, alive = m_alive](boost::system::error_code cancelled)
        {
            if (*alive && !cancelled)
            {
                m_armed = false;
                look_at_all();
            }
        });
}

void call_router::look_at_all()
{
    const monotonic_time now = monotonic_now();
    std::vector<std::uint64_t> over;
    std::vector<std::uint64_t> again;
    for (const auto& [number, item] : m_calls)
    {
        if (now >= item.give_up)
        {
            over.push_back(number);
        }
        else if (item.to_leader && now - item.sent >= repeat_after)
        {
            again.push_back(number);
        }
    }
    for (const std::uint64_t number : again)
    {
        const auto found = m_calls.find(number);
        if (found != m_calls.end())
        {
            send(number, found->second, m_leader);
        }
    }
    for (const std::uint64_t number : over)
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
