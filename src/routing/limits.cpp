#include <walkthread/routing/limits.hpp>

#include <algorithm>
#include <cmath>

namespace walkthread
{

namespace
{
constexpr double mean_smoothing_factor = 0.05;
constexpr std::int64_t max_retry_after_s = 30;

double to_seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}
} // namespace

rate_limit::rate_limit(double per_second, double burst)
    : m_per_second(per_second), m_burst(burst), m_tokens(burst)
{
}

double rate_limit::tokens_at(monotonic_time now) const
{
    const double passed = to_seconds(std::max(now - m_updated_at, duration{0}));
    return std::min(m_burst, m_tokens + passed * m_per_second);
}

bool rate_limit::take(monotonic_time now)
{
    m_tokens = tokens_at(now);
    m_updated_at = now;
    if (m_tokens < 1.0)
    {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

duration rate_limit::wait(monotonic_time now) const
{
    const double missing = std::max(0.0, 1.0 - tokens_at(now));
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(missing / m_per_second));
}

void retry_budget::on_request()
{
    m_saved = std::min(max_saved, m_saved + ratio);
}

bool retry_budget::take()
{
    if (m_saved < 1.0)
    {
        return false;
    }
    m_saved -= 1.0;
    return true;
}

admission::admission(std::int64_t max_requests, std::int64_t per_second)
    : m_max_requests(max_requests), m_rate(static_cast<double>(per_second), static_cast<double>(per_second))
{
}

admission::answer admission::begin(monotonic_time now)
{
    if (m_in_progress >= m_max_requests)
    {
        return answer::over_concurrency;
    }
    if (!m_rate.take(now))
    {
        return answer::over_rate;
    }
    ++m_in_progress;
    return answer::admitted;
}

void admission::end(monotonic_time /*now*/, duration took)
{
    --m_in_progress;
    m_mean_seconds += mean_smoothing_factor * (to_seconds(took) - m_mean_seconds);
}

seconds admission::retry_after(monotonic_time now) const
{
    const double queue =
        m_mean_seconds * static_cast<double>(m_in_progress) / static_cast<double>(m_max_requests);
    const double wait = std::max(queue, to_seconds(m_rate.wait(now)));
    return seconds(std::clamp<std::int64_t>(std::llround(std::ceil(wait)), 1, max_retry_after_s));
}

} // namespace walkthread
