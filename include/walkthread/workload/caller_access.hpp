#pragma once

/// @file
/// @brief Access control for calls: by API key, by queue, and by the owner of the submission.
///
/// Only the leader decides, since it has the newest configuration: an added key is accepted, and a removed
/// one rejected, as soon as the change is committed. Other processes reject no key.
/// @since 0.6

#include <cstdint>
#include <string>
#include <string_view>

#include <walkthread/workload/workload_state.hpp>

namespace walkthread
{

/// @brief Result of the access check.
enum class access_verdict : std::uint8_t
{
    allowed,
    no_configuration, ///< no configuration yet; the caller may retry
    no_queue,         ///< no queue matches this host and path
    no_key,           ///< the queue requires a key and the call has none
    unknown_key,      ///< the key belongs to no organisation
};

/// @brief Outcome of the access check for one call.
/// @since 0.6
struct access_decision
{
    access_verdict verdict{};
    const queue_spec* queue{}; ///< the matching queue; null if there is none
    std::string organisation;  ///< of the caller; empty for calls without a key
    std::string address;       ///< host and path of the call
    [[nodiscard]] bool allowed() const
    {
        return verdict == access_verdict::allowed;
    }
};

/// @brief Decides whether a call is allowed. Complexity: linear in the queues.
/// @param key API key of the call; empty for none
[[nodiscard]] access_decision decide_access(const workload_state& state, std::string_view host,
                                            std::string_view path, std::string_view key);

/// @brief Whether a call addresses a submission: its queue matches the call, or the call repeats the address
/// under which the submission was accepted and its queue is still configured. The latter holds when a longer
/// path prefix was given to another queue since.
[[nodiscard]] bool addresses(const workload_state& state, const access_decision& caller,
                             const submission& known);

/// @brief Whether a call repeats the address of a submission whose queue was removed.
[[nodiscard]] bool addresses_removed_queue(const workload_state& state, const access_decision& caller,
                                           submission_id id);

/// @brief The submission that an allowed call refers to; null if this caller may not see one. A submission of
/// another organisation is treated like one that does not exist.
[[nodiscard]] const submission* find_for_caller(const workload_state& state, const access_decision& caller,
                                                submission_id id);

} // namespace walkthread
