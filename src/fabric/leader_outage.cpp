#include <walkthread/fabric/leader_outage.hpp>

#include <algorithm>
#include <cmath>

namespace walkthread
{

leader_outage::leader_outage(monotonic_time now, leader_outage_settings settings)
    : m_settings(settings), m_outage_start(now)
{
}

std::optional<duration> leader_outage::set_leader_known(bool known, monotonic_time now)
{
    if (!known)
    {
        m_outage_start = m_outage_start.value_or(now);
        return std::nullopt;
    }
    const std::optional<duration> outage_duration =
        m_outage_start ? std::optional<duration>(now - *m_outage_start) : std::nullopt;
    m_outage_start.reset();
    return outage_duration;
}

duration leader_outage::age(monotonic_time now) const
{
    return m_outage_start ? now - *m_outage_start : duration{0};
}

bool leader_outage::rejects_calls(monotonic_time now) const
{
    return m_outage_start && age(now) >= m_settings.call_hold_time;
}

std::int64_t leader_outage::choose_retry_after_s(monotonic_time now, double draw, milliseconds timeout) const
{
    const double age_s = std::chrono::duration<double>(age(now)).count();
    const double timeout_s = std::chrono::duration<double>(timeout).count();
    const auto longest = std::min({static_cast<std::int64_t>(std::ceil(age_s)),
                                   static_cast<std::int64_t>(timeout_s), m_settings.max_retry_after_s});
    const double spread = draw * static_cast<double>(std::max<std::int64_t>(longest, 1));
    return std::clamp<std::int64_t>(1 + static_cast<std::int64_t>(spread), 1,
                                    std::max<std::int64_t>(longest, 1));
}

} // namespace walkthread
