#pragma once

/// @file
/// @brief Figures that are read off the objects that hold them when the metrics page is asked for, and
/// histograms of times that are kept in between. Text by prometheus-cpp.
/// @since 0.2

#include <map>
#include <string>
#include <vector>

#include <prometheus/histogram.h>
#include <prometheus/metric_family.h>

#include <walkthread/units/time.hpp>

namespace walkthread
{

/// @brief One page of metrics, filled anew for each request. All names are known when the program is built.
/// @since 0.2
class figure_page
{
  public:
    /// @brief A count that only rises while the process lives.
    void add_count(const std::string& name, const std::string& help, double value);
    /// @brief A value that goes up and down.
    void add_gauge(const std::string& name, const std::string& help, double value);
    /// @brief Adds families that were collected elsewhere.
    void add(const std::vector<prometheus::MetricFamily>& families);
    /// @brief The page in the text format.
    [[nodiscard]] std::string text() const;

  private:
    void add_value(const std::string& name, const std::string& help, prometheus::MetricType type,
                   double value);

    std::vector<prometheus::MetricFamily> m_families;
};

/// @brief Histograms of one time, in seconds, told apart by up to two labels with few values.
/// Belongs to one thread.
/// @since 0.2
class time_histograms
{
  public:
    /// @param labels names of the labels
    time_histograms(std::string name, std::string help, std::vector<std::string> labels);
    /// @brief Takes one time in. Complexity: logarithmic in the label values seen.
    void observe(const std::vector<std::string>& values, duration took);
    /// @brief The histograms for a page.
    [[nodiscard]] std::vector<prometheus::MetricFamily> collect() const;

  private:
    std::string m_name;
    std::string m_help;
    std::vector<std::string> m_labels;
    std::map<std::vector<std::string>, prometheus::Histogram> m_histograms;
};

} // namespace walkthread
