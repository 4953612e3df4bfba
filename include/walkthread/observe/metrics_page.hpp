#pragma once

/// @file
/// @brief A metrics page that is built from current values on each request, and histograms of durations that
/// persist between requests. prometheus-cpp produces the text.
/// @since 0.2

#include <map>
#include <string>
#include <vector>

#include <prometheus/histogram.h>
#include <prometheus/metric_family.h>

#include <walkthread/units/time.hpp>

namespace walkthread
{

/// @brief One metrics page, built for a single request. All metric names are fixed at compile time.
/// @since 0.2
class metrics_page
{
  public:
    /// @brief Adds a counter, which only increases during the lifetime of the process.
    void add_count(const std::string& name, const std::string& help, double value);
    /// @brief Adds a gauge, which may increase and decrease.
    void add_gauge(const std::string& name, const std::string& help, double value);
    /// @brief Adds metric families that were collected elsewhere.
    void add(const std::vector<prometheus::MetricFamily>& families);
    /// @brief The page in the Prometheus text format.
    [[nodiscard]] std::string text() const;

  private:
    void add_value(const std::string& name, const std::string& help, prometheus::MetricType type,
                   double value);

    std::vector<prometheus::MetricFamily> m_families;
};

/// @brief Histograms of one duration, in seconds, one for each combination of label values. Use at most two
/// labels with few values. Not thread-safe.
/// @since 0.2
class time_histograms
{
  public:
    /// @param labels label names
    time_histograms(std::string name, std::string help, std::vector<std::string> labels);
    /// @brief Records one duration. Complexity: logarithmic in the number of label combinations seen.
    void observe(const std::vector<std::string>& values, duration took);
    /// @brief The histograms, for `add`.
    [[nodiscard]] std::vector<prometheus::MetricFamily> collect() const;

  private:
    std::string m_name;
    std::string m_help;
    std::vector<std::string> m_labels;
    std::map<std::vector<std::string>, prometheus::Histogram> m_histograms;
};

} // namespace walkthread
