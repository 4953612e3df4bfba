#pragma once

/// @file
/// @brief Claims on the idempotency keys of non-repeatable requests: which attempt may send a request, and
/// its outcome.
/// @since 0.1

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include <walkthread/state/errors.hpp>
#include <walkthread/units/ids.hpp>
#include <walkthread/units/time.hpp>

namespace walkthread
{

/// @brief State of a claim.
enum class claim_phase : std::uint8_t
{
    held = 0,      ///< only the holder may send the request, and may have done so
    completed = 1, ///< a response arrived and is stored
    unknown = 2,   ///< sent, but no complete response arrived; never sent again
    released = 3,  ///< released by its holder before any byte was sent; may be claimed again
};

/// @brief Claims the right to send a request.
struct claim_request
{
    organisation_id organisation{};
    std::string key{};
    std::uint64_t digest{}; ///< digest of the service and the body
    attempt_id attempt{};
    wall_ms key_time{}; ///< creation time encoded in the key
    wall_ms window{};
    MSGPACK_DEFINE(organisation, key, digest, attempt, key_time, window)
};

/// @brief Records the outcome of a claimed request. Accepted from its holder only.
struct settle_claim
{
    organisation_id organisation{};
    std::string key{};
    attempt_id attempt{};
    std::uint8_t phase{};
    std::uint16_t status{};
    std::string body{};
    std::uint64_t
        digest{}; ///< digest and key_time of the claim, for a claim that arrives after its own release
    wall_ms key_time{};
    MSGPACK_DEFINE(organisation, key, attempt, phase, status, body, digest, key_time)
};

/// @brief Result of a claim command, with the stored response if there is one.
struct claim_result
{
    int code{}; ///< a state_code; 0 if the claim was granted or settled
    std::uint8_t phase{};
    std::uint16_t status{};
    std::string body{};
    MSGPACK_DEFINE(code, phase, status, body)
};

/// @brief All claims of one group.
/// @since 0.1
class claim_table
{
  public:
    /// @brief How far a key's creation time may lie ahead of the leader's wall time, in milliseconds.
    static constexpr wall_ms max_clock_skew = 60'000;
    /// @brief Milliseconds after which a held claim is reported as unknown; its holder may have crashed, or
    /// may still settle it.
    static constexpr wall_ms max_claim_age = 60'000;

    /// @brief Grants a key to one attempt. Complexity: logarithmic in the claims, amortised.
    /// @return code 0 and phase held if granted; code 0 and phase completed with the stored response; or
    ///         claim_held, outcome_unknown, key_body_differs, key_expired, key_from_future, not_claim_holder
    claim_result claim(wall_ms at, const claim_request& request);
    /// @brief Settles a claim that is held; idempotent. A release may arrive before a delayed claim of the
    /// same attempt, which is then refused.
    /// @return code 0, or not_claim_holder
    claim_result settle(const settle_claim& request);
    [[nodiscard]] std::size_t size() const
    {
        return m_claims.size();
    }

  private:
    struct record
    {
        std::uint64_t digest{};
        attempt_id attempt{};
        wall_ms key_time{};
        std::uint8_t phase{};
        std::uint16_t status{};
        std::string body{};
        wall_ms claimed{};
        MSGPACK_DEFINE(digest, attempt, key_time, phase, status, body, claimed)
    };
    using claim_key = std::pair<organisation_id, std::string>;

    void evict_older_than(wall_ms key_time);

    std::map<claim_key, record> m_claims;
    std::multimap<wall_ms, claim_key> m_by_time;
    wall_ms m_expiry_floor = 0; ///< unknown keys with a creation time up to this one are refused as expired

  public:
    MSGPACK_DEFINE(m_claims, m_by_time, m_expiry_floor)
};

} // namespace walkthread
