#include <walkthread/dispatch/worker_lease.hpp>

#include <algorithm>

namespace walkthread
{

namespace
{
std::int64_t to_ms(duration span)
{
    return std::chrono::duration_cast<milliseconds>(span).count();
}
} // namespace

void worker_lease::update_clock(std::int64_t ms, monotonic_time now)
{
    // Keep the reading that puts the worker's clock furthest ahead: it had the shortest transfer time.
    if (!m_clock_known || ms >= clock_now(now) || now - m_clock_at > max_reading_age)
    {
        m_clock_ms = ms;
        m_clock_at = now;
        m_clock_known = true;
    }
}

std::int64_t worker_lease::clock_now(monotonic_time now) const
{
    return m_clock_ms + to_ms(now - m_clock_at);
}

void worker_lease::record_fenced(std::int64_t clock_ms)
{
    if (!m_fenced)
    {
        m_fenced = true;
        m_latest_end_ms = std::max(m_latest_end_ms, clock_ms + m_foreign.longest.count());
    }
}

std::int64_t worker_lease::grant(monotonic_time now, milliseconds lease)
{
    const std::int64_t until = clock_now(now) + lease.count();
    m_latest_end_ms = std::max(m_latest_end_ms, until);
    return until;
}

bool worker_lease::surely_expired(monotonic_time now, double drift) const
{
    if (!m_fenced && now < m_foreign.end)
    {
        return false;
    }
    if (!m_clock_known)
    {
        return true; // this leader has granted nothing
    }
    const double elapsed = static_cast<double>(to_ms(now - m_clock_at)) * (1.0 - drift);
    return static_cast<double>(m_clock_ms) + elapsed > static_cast<double>(m_latest_end_ms);
}

} // namespace walkthread
