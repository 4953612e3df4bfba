#pragma once

/// @file
/// @brief Who may call: decides from a call's key, its queue, and whose submission it is about.
///
/// Decided where the newest configuration is held, at the leader: a key that was added counts from its
/// commit on, and one that was dropped is refused from its commit on. A process that does not lead refuses
/// no key.
/// @since 0.6

#include <cstdint>
#include <string>
#include <string_view>

#include <walkthread/workload/workload_state.hpp>

namespace walkthread
{

/// @brief What came of looking at a call.
enum class access_verdict : std::uint8_t
{
    allowed,
    no_configuration, ///< nothing is known yet: come back
    no_queue,         ///< the configuration has no queue at this host and path
    no_key,           ///< the queue wants a key and the call has none
    unknown_key,      ///< no organisation holds this key
};

/// @brief A call that was looked at.
/// @since 0.6
struct access_decision
{
    access_verdict verdict{};
    const queue_spec* queue{}; ///< where allowed
    std::string organisation;  ///< whose call it is; empty for nobody's, on a public queue
    [[nodiscard]] bool allowed() const
    {
        return verdict == access_verdict::allowed;
    }
};

/// @brief Decides whether a call may be answered. Complexity: linear in the queues.
/// @param key empty for none
[[nodiscard]] access_decision decide_access(const workload_state& state, std::string_view host,
                                            std::string_view path, std::string_view key);

/// @brief The submission that an allowed call is about; null if there is none for this caller. What another
/// organisation has looks like what nobody has.
[[nodiscard]] const submission* find_for_caller(const workload_state& state, const access_decision& caller,
                                                submission_id id);

} // namespace walkthread
