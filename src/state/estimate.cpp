#include <walkthread/state/estimate.hpp>

#include <algorithm>
#include <cmath>

namespace walkthread
{

namespace
{
constexpr double ms_per_second = 1000.0;
}

void run_estimate::learn(std::int64_t declared_seconds, std::int64_t observed_ms)
{
    const double declared = static_cast<double>(std::max<std::int64_t>(declared_seconds, 1)) * ms_per_second;
    const double ratio = static_cast<double>(observed_ms) / declared;
    ++m_count;
    const double rate = std::max(learning_rate, 1.0 / static_cast<double>(m_count));
    m_deviation += rate * (std::abs(ratio - m_mean) - m_deviation);
    m_mean += rate * (ratio - m_mean);
}

std::int64_t run_estimate::predict_ms(std::int64_t declared_seconds) const
{
    const double declared = static_cast<double>(std::max<std::int64_t>(declared_seconds, 1)) * ms_per_second;
    return static_cast<std::int64_t>(declared * (m_mean + deviation_factor * m_deviation));
}

} // namespace walkthread
