#include <walkthread/fabric/outstanding_calls.hpp>

#include <random>
#include <utility>

#include <walkthread/wire/codec.hpp>

namespace walkthread
{

namespace
{
// Above all numbers of earlier releases, which count from 1, and far enough below the maximum to count on.
constexpr std::uint64_t first_number_base = std::uint64_t{1} << 62U;

std::uint64_t draw_number(std::random_device& entropy)
{
    constexpr unsigned half_bits = 32;
    return (std::uint64_t{entropy()} << half_bits) | entropy();
}
} // namespace

outstanding_calls::outstanding_calls(process_life_id life, call_number first) : m_life(life), m_next(first)
{
}

outstanding_calls outstanding_calls::with_random_life()
{
    std::random_device entropy;
    const process_life_id life{draw_number(entropy) | 1U}; // 0 stands for a release that names no life
    return {life, call_number{first_number_base | (draw_number(entropy) % first_number_base)}};
}

call_number outstanding_calls::add(outstanding_call call)
{
    const call_number number = m_next;
    m_next = call_number{m_next.value() + 1};
    m_calls.emplace(number, std::move(call));
    return number;
}

void outstanding_calls::record_sent(call_number number, const std::string& peer, monotonic_time now)
{
    outstanding_call& call = m_calls.at(number);
    call.last_sent = now;
    call.sent_to.insert(peer);
}

call_message outstanding_calls::make_message(call_number number)
{
    outstanding_call& call = m_calls.at(number);
    if (call.encoded.empty())
    {
        call.encoded = encode(call.body);
    }
    return {number, call.encoded, m_life};
}

reply_match outstanding_calls::match(const std::string& from, const reply_message& reply) const
{
    const bool names_life = reply.caller != process_life_id{};
    if (names_life && reply.caller != m_life)
    {
        return reply_match::former_process;
    }
    const auto found = m_calls.find(reply.number);
    if (found == m_calls.end())
    {
        return reply_match::not_pending;
    }
    return found->second.sent_to.contains(from) ? reply_match::pending : reply_match::not_sent;
}

std::optional<outstanding_call> outstanding_calls::take(call_number number)
{
    auto node = m_calls.extract(number);
    return node.empty() ? std::nullopt : std::optional(std::move(node.mapped()));
}

outstanding_call* outstanding_calls::find(call_number number)
{
    const auto found = m_calls.find(number);
    return found == m_calls.end() ? nullptr : &found->second;
}

} // namespace walkthread
