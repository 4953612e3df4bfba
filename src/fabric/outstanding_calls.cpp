#include <walkthread/fabric/outstanding_calls.hpp>

#include <algorithm>
#include <random>
#include <utility>
#include <variant>

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

template <typename... Kinds>
bool holds_any(const service_call& body)
{
    return (std::holds_alternative<Kinds>(body) || ...);
}

// Rejections that follow from the call alone, so that every copy of it gets them.
bool rejects_content(const service_reply& reply)
{
    const auto code = static_cast<workload_code>(reply.code);
    return reply.what() == reply_kind::refused &&
           (code == workload_code::bad_submission || code == workload_code::bad_configuration ||
            code == workload_code::bad_wave);
}
} // namespace

bool reads_only(const service_call& body)
{
    return holds_any<state_call, pending_call, get_configuration_call, wave_state_call, advise_call,
                     explain_call, list_cordons_call>(body);
}

bool outstanding_call::has_unanswered_copy() const
{
    return std::any_of(unanswered_copies.begin(), unanswered_copies.end(),
                       [](const auto& item)
                       {
                           return item.second > 0;
                       });
}

bool is_uncertain_rejection(const outstanding_call& call, const service_reply& reply)
{
    const reply_kind kind = reply.what();
    const bool rejects =
        kind == reply_kind::refused || kind == reply_kind::unavailable || kind == reply_kind::isolated;
    return rejects && call.has_unanswered_copy() && !rejects_content(reply) && !reads_only(call.body);
}

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
    ++call.unanswered_copies[peer];
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
    return found->second.unanswered_copies.contains(from) ? reply_match::pending : reply_match::not_sent;
}

void outstanding_calls::record_reply(call_number number, const std::string& from)
{
    std::uint32_t& unanswered = m_calls.at(number).unanswered_copies.at(from);
    unanswered -= unanswered > 0 ? 1 : 0;
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
