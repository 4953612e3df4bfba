#include <walkthread/observe/metrics_page.hpp>

#include <chrono>
#include <utility>

#include <prometheus/text_serializer.h>

namespace walkthread
{

namespace
{
// Seconds: from a commit on a healthy disk to the longest latency objective.
const prometheus::Histogram::BucketBoundaries duration_buckets_s{0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2,
                                                                 0.5,   1.0,   2.0,  5.0,  10.0, 30.0};
} // namespace

void metrics_page::add_value(const std::string& name, const std::string& help, prometheus::MetricType type,
                             double value)
{
    prometheus::MetricFamily family;
    family.name = name;
    family.help = help;
    family.type = type;
    prometheus::ClientMetric& metric = family.metric.emplace_back();
    metric.counter.value = value;
    metric.gauge.value = value;
    m_families.push_back(std::move(family));
}

void metrics_page::add_count(const std::string& name, const std::string& help, double value)
{
    add_value(name, help, prometheus::MetricType::Counter, value);
}

void metrics_page::add_gauge(const std::string& name, const std::string& help, double value)
{
    add_value(name, help, prometheus::MetricType::Gauge, value);
}

void metrics_page::add(const std::vector<prometheus::MetricFamily>& families)
{
    m_families.insert(m_families.end(), families.begin(), families.end());
}

std::string metrics_page::text() const
{
    return prometheus::TextSerializer().Serialize(m_families);
}

time_histograms::time_histograms(std::string name, std::string help, std::vector<std::string> labels)
    : m_name(std::move(name)), m_help(std::move(help)), m_labels(std::move(labels))
{
}

void time_histograms::observe(const std::vector<std::string>& values, duration took)
{
    const auto at = m_histograms.try_emplace(values, duration_buckets_s).first;
    at->second.Observe(std::chrono::duration<double>(took).count());
}

std::vector<prometheus::MetricFamily> time_histograms::collect() const
{
    prometheus::MetricFamily family;
    family.name = m_name;
    family.help = m_help;
    family.type = prometheus::MetricType::Histogram;
    for (const auto& [values, histogram] : m_histograms)
    {
        prometheus::ClientMetric metric = histogram.Collect();
        for (std::size_t i = 0; i < m_labels.size() && i < values.size(); ++i)
        {
            metric.label.push_back({m_labels[i], values[i]});
        }
        family.metric.push_back(std::move(metric));
    }
    return {family};
}

} // namespace walkthread
