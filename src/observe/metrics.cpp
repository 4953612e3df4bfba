#include <walkthread/observe/metrics.hpp>

#include <prometheus/text_serializer.h>

namespace walkthread
{

namespace
{
const prometheus::Histogram::BucketBoundaries duration_buckets_s{
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.1, 2.5, 5.0, 10.0, 60.0, 600.0};
}

metrics::metrics()
    : m_registry(std::make_shared<prometheus::Registry>()),
      peer_bytes_sent(
          counter("walkthread_peer_sent_bytes_total", "Bytes sent to other processes of the cell.")),
      peer_bytes_received(counter("walkthread_peer_received_bytes_total",
                                  "Bytes received from other processes of the cell.")),
      placements(counter("walkthread_placements_total", "Tasks placed by halls led here.")),
      preemptions(counter("walkthread_preemptions_total", "Tasks stopped for other work by halls led here.")),
      workers_lost(counter("walkthread_workers_lost_total", "Workers whose lease ran out.")),
      renewals(counter("walkthread_renewals_total", "Lease renewals answered by halls led here.")),
      log_syncs(counter("walkthread_log_syncs_total", "Syncs of the write-ahead log.")),
      groups_led(gauge("walkthread_groups_led", "Groups that this process leads.")),
      tasks_waiting(gauge("walkthread_tasks_waiting", "Jobs with tasks that wait in halls led here.")),
      requests_in_progress(gauge("walkthread_requests_in_progress", "Callers' requests in progress here.")),
      m_requests(prometheus::BuildCounter()
                     .Name("walkthread_requests_total")
                     .Help("Callers' requests by organisation and outcome.")
                     .Register(*m_registry)),
      m_request_seconds(prometheus::BuildHistogram()
                            .Name("walkthread_request_seconds")
                            .Help("Time from a caller's request to its answer.")
                            .Register(*m_registry)),
      m_commands(prometheus::BuildCounter()
                     .Name("walkthread_commands_total")
                     .Help("Operators' commands by organisation and result.")
                     .Register(*m_registry)),
      m_start_seconds(prometheus::BuildHistogram()
                          .Name("walkthread_start_wait_seconds")
                          .Help("Time from a job's submission to the start of each task.")
                          .Register(*m_registry))
{
}

std::string metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

void metrics::count_request(const std::string& organisation, const std::string& outcome, double took_seconds)
{
    m_requests.Add({{"organisation", organisation}, {"outcome", outcome}}).Increment();
    m_request_seconds.Add({{"organisation", organisation}}, duration_buckets_s).Observe(took_seconds);
}

void metrics::count_command(const std::string& organisation, const std::string& result)
{
    m_commands.Add({{"organisation", organisation}, {"result", result}}).Increment();
}

void metrics::observe_start_wait(const std::string& kind, double waited_seconds)
{
    m_start_seconds.Add({{"kind", kind}}, duration_buckets_s).Observe(waited_seconds);
}

prometheus::Counter& metrics::counter(const std::string& name, const std::string& help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(*m_registry).Add({});
}

prometheus::Gauge& metrics::gauge(const std::string& name, const std::string& help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(*m_registry).Add({});
}

} // namespace walkthread
