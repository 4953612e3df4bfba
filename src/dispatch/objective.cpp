#include <walkthread/dispatch/objective.hpp>

#include <algorithm>
#include <array>

namespace walkthread
{

namespace
{
// Weight of one run; at hundreds of runs a second the ratio converges within seconds.
constexpr double learning_rate = 0.02;
constexpr double min_ratio = 0.25; // callers' estimates are at most about four times off
constexpr double max_ratio = 4.0;
// For a step without an estimate: the middle of the range of the known workloads.
constexpr double default_run_ms = 1000;
} // namespace

timeliness classify_timeliness(double slack_ms, double objective_ms, const timeliness_thresholds& bounds)
{
    if (slack_ms >= bounds.on_time * objective_ms)
    {
        return timeliness::on_time;
    }
    if (slack_ms >= bounds.at_risk * objective_ms)
    {
        return timeliness::at_risk;
    }
    return slack_ms >= bounds.late * objective_ms ? timeliness::late : timeliness::expired;
}

void run_time_estimator::record_run(const std::string& queue, std::int64_t estimate_ms, std::int64_t took_ms)
{
    if (estimate_ms <= 0)
    {
        return;
    }
    const double seen = static_cast<double>(took_ms) / static_cast<double>(estimate_ms);
    estimate_record& record = m_records[queue];
    const double off = std::clamp(seen, min_ratio, max_ratio) - record.ratio;
    const double relative = off / record.ratio;
    record.ratio += learning_rate * off;
    record.relative_variance += learning_rate * (relative * relative - record.relative_variance);
}

double run_time_estimator::relative_variance(const std::string& queue) const
{
    const auto found = m_records.find(queue);
    return found == m_records.end() ? estimate_record{}.relative_variance : found->second.relative_variance;
}

double run_time_estimator::expected_ms(const std::string& queue, const step_spec& step) const
{
    const auto found = m_records.find(queue);
    const double ratio = found == m_records.end() ? 1.0 : found->second.ratio;
    return (step.estimate_ms > 0 ? static_cast<double>(step.estimate_ms) : default_run_ms) * ratio;
}

critical_path_times run_time_estimator::critical_path_of(const submission& owner, std::uint32_t step) const
{
    // Longest chain from each step to the end. Steps depend on earlier ones only, so they are processed in
    // reverse.
    const auto& steps = owner.spec.steps;
    std::array<double, max_steps> behind{};
    critical_path_times out;
    for (std::size_t i = steps.size(); i-- > 0;)
    {
        behind[i] += expected_ms(owner.queue_key(), steps[i]);
        out.total_ms = std::max(out.total_ms, behind[i]);
        for (const std::uint32_t earlier : steps[i].after)
        {
            behind[earlier] = std::max(behind[earlier], behind[i]);
        }
    }
    out.remaining_ms = behind[step];
    return out;
}

double objective_ms(const critical_path_times& chain, const queue_spec& queue)
{
    return queue.stretch * chain.total_ms + static_cast<double>(queue.target_latency_ms);
}

} // namespace walkthread
