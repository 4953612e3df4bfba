#pragma once

/// @file
/// @brief Calls of this process that have no reply yet, and which replies belong to them.
/// @since 0.9

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include <walkthread/fabric/messages.hpp>
#include <walkthread/units/time.hpp>

namespace walkthread
{

/// @brief Receives the reply to a call.
using call_handler = std::function<void(service_reply)>;

/// @brief A call that has no reply yet.
/// @since 0.9
struct outstanding_call
{
    service_call body;
    call_handler handler;
    monotonic_time deadline{};
    bool from_caller{}; ///< rejected, if it was not sent, once an outage exceeds the hold time
    bool to_leader{};

    std::string encoded;                                    ///< filled when the call is first sent to a peer
    std::map<std::string, std::uint32_t> unanswered_copies; ///< by each peer that the call was ever sent to
    monotonic_time last_sent{};
    std::optional<service_reply> held_rejection; ///< of one copy, while another has no reply
    monotonic_time held_since{};

    [[nodiscard]] bool ever_sent() const
    {
        return !unanswered_copies.empty();
    }
    /// @brief Whether a copy of the call has no reply, so that it may have taken effect or still may.
    [[nodiscard]] bool has_unanswered_copy() const;
};

/// @brief Whether a reply belongs to a call, and if not, why.
enum class reply_match : std::uint8_t
{
    pending,        ///< it answers a call that waits for it
    former_process, ///< it answers a call of a former process at this address
    not_pending,    ///< the call has ended already
    not_sent,       ///< the call was not sent to the process that replies
};

/// @brief Whether a call changes nothing, whoever handles it.
[[nodiscard]] bool reads_only(const service_call& body);

/// @brief Whether a reply rejects one copy of a call while another copy may have taken effect.
///
/// A call is sent again if no reply comes, so a later copy may be rejected after an earlier one was accepted
/// and its reply was lost. The outcome of the call is then unknown. A rejection is certain if each copy has a
/// reply, if it follows from the content of the call alone, or if the call only reads.
/// Complexity: linear in the peers that the call was sent to.
/// @since 0.9
[[nodiscard]] bool is_uncertain_rejection(const outstanding_call& call, const service_reply& reply);

/// @brief Numbers the calls of one life of a process and recognises their replies.
///
/// A peer replies to an address, which outlives the process that made the call. A reply therefore names the
/// life of its caller, and ends a call only in that life and only if the call was sent to the replying peer.
/// Processes of releases before 0.9 do not name it; against them calls have numbers that no former process at
/// this address is likely to have used.
/// @since 0.9
class outstanding_calls
{
  public:
    using call_map = std::map<call_number, outstanding_call>;

    /// @param life differs from that of each former process at this address
    /// @param first number of the first call
    outstanding_calls(process_life_id life, call_number first);

    /// @brief A life and a first number drawn at random.
    [[nodiscard]] static outstanding_calls with_random_life();

    /// @brief Adds a call. @return its number, unique in this life
    call_number add(outstanding_call call);
    /// @brief Records that a call is sent to a peer, or to this process if it leads.
    void record_sent(call_number number, const std::string& peer, monotonic_time now);
    /// @brief The message that carries a pending call.
    [[nodiscard]] call_message make_message(call_number number);
    /// @brief Compares a reply with the pending calls. Complexity: logarithmic in the pending calls.
    [[nodiscard]] reply_match match(const std::string& from, const reply_message& reply) const;
    /// @brief Records that a peer has replied to one copy of a pending call.
    void record_reply(call_number number, const std::string& from);
    /// @brief Removes a call. @return the call, or no value if it has ended already
    std::optional<outstanding_call> take(call_number number);

    [[nodiscard]] outstanding_call* find(call_number number);
    [[nodiscard]] const call_map& all() const
    {
        return m_calls;
    }

  private:
    process_life_id m_life;
    call_number m_next;
    call_map m_calls;
};

} // namespace walkthread
