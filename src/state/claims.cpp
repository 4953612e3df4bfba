#include <walkthread/state/claims.hpp>

#include <algorithm>

namespace walkthread
{

namespace
{
claim_result refuse(state_code code)
{
    return {static_cast<int>(code), 0, 0, {}};
}
} // namespace

claim_result claim_table::claim(wall_ms at, const claim_request& request)
{
    evict_older_than(at - request.window);
    const claim_key key{request.organisation, request.key};
    const auto found = m_claims.find(key);
    if (found == m_claims.end())
    {
        if (request.key_time <= m_expiry_floor || request.key_time < at - request.window)
        {
            return refuse(state_code::key_expired);
        }
        if (request.key_time > at + max_clock_skew)
        {
            return refuse(state_code::key_from_future);
        }
        m_claims[key] = record{request.digest, request.attempt, request.key_time, 0, 0, {}, at};
        m_by_time.emplace(request.key_time, key);
        return {};
    }
    record& claim = found->second;
    if (claim.digest != request.digest)
    {
        return refuse(state_code::key_body_differs);
    }
    switch (static_cast<claim_phase>(claim.phase))
    {
    case claim_phase::completed:
        return {0, claim.phase, claim.status, claim.body};
    case claim_phase::unknown:
        return refuse(state_code::outcome_unknown);
    case claim_phase::released:
        if (claim.attempt == request.attempt)
        {
            return refuse(state_code::not_claim_holder); // duplicate of a claim that was released
        }
        claim.phase = static_cast<std::uint8_t>(claim_phase::held);
        claim.attempt = request.attempt;
        claim.claimed = at;
        return {};
    case claim_phase::held:
        break;
    }
    if (claim.attempt == request.attempt)
    {
        return {};
    }
    const bool timed_out = at - claim.claimed > max_claim_age;
    return refuse(timed_out ? state_code::outcome_unknown : state_code::claim_held);
}

claim_result claim_table::settle(const settle_claim& request)
{
    const claim_key key{request.organisation, request.key};
    const auto found = m_claims.find(key);
    const bool release = request.phase == static_cast<std::uint8_t>(claim_phase::released);
    if (found == m_claims.end() && release && request.key_time > m_expiry_floor)
    {
        m_claims[key] = record{request.digest, request.attempt, request.key_time, request.phase, 0, {}, 0};
        m_by_time.emplace(request.key_time, key);
        return {0, request.phase, 0, {}};
    }
    if (found == m_claims.end() || found->second.attempt != request.attempt)
    {
        return refuse(state_code::not_claim_holder);
    }
    record& claim = found->second;
    if (claim.phase == request.phase)
    {
        return {};
    }
    if (claim.phase != static_cast<std::uint8_t>(claim_phase::held))
    {
        return refuse(state_code::not_claim_holder);
    }
    claim.phase = request.phase;
    claim.status = request.status;
    claim.body = request.body;
    return {0, claim.phase, claim.status, {}};
}

void claim_table::evict_older_than(wall_ms key_time)
{
    while (!m_by_time.empty() && m_by_time.begin()->first < key_time)
    {
        m_expiry_floor = std::max(m_expiry_floor, m_by_time.begin()->first);
        m_claims.erase(m_by_time.begin()->second);
        m_by_time.erase(m_by_time.begin());
    }
}

} // namespace walkthread
