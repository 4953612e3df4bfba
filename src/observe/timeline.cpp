#include <walkthread/observe/timeline.hpp>

#include <algorithm>

namespace walkthread
{

namespace
{
constexpr unsigned counter_bits = 16;

bool matches(auto wanted, auto present)
{
    return wanted.value() == 0 || wanted == present;
}
} // namespace

const char* to_string(event_kind kind)
{
    switch (kind)
    {
    case event_kind::process_started:
        return "process_started";
    case event_kind::leader_elected:
        return "leader_elected";
    case event_kind::configuration_accepted:
        return "configuration_accepted";
    case event_kind::configuration_refused:
        return "configuration_refused";
    case event_kind::job_admitted:
        return "job_admitted";
    case event_kind::task_placed:
        return "task_placed";
    case event_kind::task_started:
        return "task_started";
    case event_kind::task_stopping:
        return "task_stopping";
    case event_kind::task_ended:
        return "task_ended";
    case event_kind::job_ended:
        return "job_ended";
    case event_kind::worker_registered:
        return "worker_registered";
    case event_kind::worker_lost:
        return "worker_lost";
    case event_kind::worker_draining:
        return "worker_draining";
    case event_kind::worker_quarantined:
        return "worker_quarantined";
    case event_kind::request_claimed:
        return "request_claimed";
    case event_kind::request_sent:
        return "request_sent";
    case event_kind::request_ended:
        return "request_ended";
    case event_kind::members_changed:
        return "members_changed";
    case event_kind::hall_cordoned:
        return "hall_cordoned";
    case event_kind::hall_uncordoned:
        return "hall_uncordoned";
    }
    return "?";
}

bool timeline_filter::accepts(const timeline_event& event) const
{
    return matches(organisation, event.organisation) && matches(job, event.job) &&
           matches(worker, event.worker) && matches(request, event.request);
}

timeline::timeline(node_id node, std::size_t capacity) : m_node(node), m_capacity(capacity)
{
}

hybrid_stamp timeline::next(wall_ms now)
{
    m_last = std::max(m_last + 1, static_cast<std::uint64_t>(now) << counter_bits);
    return hybrid_stamp{m_last};
}

void timeline::add(timeline_event event, wall_ms now)
{
    const std::scoped_lock lock(m_mutex);
    event.stamp = next(now);
    event.node = m_node;
    m_events.push_back(std::move(event));
    if (m_events.size() > m_capacity)
    {
        m_events.pop_front();
    }
}

void timeline::merge(hybrid_stamp seen, wall_ms now)
{
    const std::scoped_lock lock(m_mutex);
    m_last = std::max({m_last, seen.value(), static_cast<std::uint64_t>(now) << counter_bits});
}

hybrid_stamp timeline::stamp(wall_ms now)
{
    const std::scoped_lock lock(m_mutex);
    return next(now);
}

std::vector<timeline_event> timeline::find(const timeline_filter& filter) const
{
    const std::scoped_lock lock(m_mutex);
    std::vector<timeline_event> out;
    for (auto it = m_events.rbegin(); it != m_events.rend() && out.size() < filter.limit; ++it)
    {
        if (filter.accepts(*it))
        {
            out.push_back(*it);
        }
    }
    std::reverse(out.begin(), out.end());
    return out;
}

} // namespace walkthread
