#pragma once

/// @file
/// @brief Metrics of one process, served as text at /metrics.
/// @since 0.1

#include <memory>
#include <string>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace walkthread
{

/// @brief All metrics of one process. Thread-safe.
/// @since 0.1
class metrics
{
  private:
    std::shared_ptr<prometheus::Registry> m_registry; // declared first: the references below point into it

    prometheus::Counter& counter(const std::string& name, const std::string& help);
    prometheus::Gauge& gauge(const std::string& name, const std::string& help);

  public:
    metrics();

    /// @brief All metrics in the Prometheus text format.
    [[nodiscard]] std::string text() const;
    /// @brief Counts a caller's request by organisation and outcome, and records its duration.
    void count_request(const std::string& organisation, const std::string& outcome, double took_seconds);
    /// @brief Counts a configuration command by organisation and result.
    void count_command(const std::string& organisation, const std::string& result);
    /// @brief Records the time from a task's submission to its start.
    void observe_start_wait(const std::string& kind, double waited_seconds);

    prometheus::Counter& peer_bytes_sent;
    prometheus::Counter& peer_bytes_received;
    prometheus::Counter& placements;
    prometheus::Counter& preemptions;
    prometheus::Counter& workers_lost;
    prometheus::Counter& renewals;
    prometheus::Counter& log_syncs;
    prometheus::Gauge& groups_led;
    prometheus::Gauge& tasks_waiting;
    prometheus::Gauge& requests_in_progress;

  private:
    prometheus::Family<prometheus::Counter>& m_requests;
    prometheus::Family<prometheus::Histogram>& m_request_seconds;
    prometheus::Family<prometheus::Counter>& m_commands;
    prometheus::Family<prometheus::Histogram>& m_start_seconds;
};

} // namespace walkthread
