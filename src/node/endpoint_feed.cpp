#include <walkthread/node/endpoint_feed.hpp>

#include <walkthread/node/clock.hpp>

namespace walkthread
{

endpoint_feed::endpoint_feed(process_core& core, root_service& root)
    : m_core(core), m_root(root),
      m_directory(two_random_choices(core.config().node.value()), core.config().timing.endpoint_staleness,
                  static_cast<std::uint32_t>(core.config().limits.worker_connections))
{
    for (const hall_settings& hall : core.config().halls)
    {
        m_progress[hall.id] = {};
    }
}

void endpoint_feed::attach()
{
    m_root.on_change(
        [this]
        {
            update_services();
        });
    m_core.add_ticker(
        [this](monotonic_time now, wall_ms)
        {
            tick(now);
        });
}

void endpoint_feed::tick(monotonic_time now)
{
    for (auto& [hall, progress] : m_progress)
    {
        if (now >= progress.next)
        {
            refresh(hall);
        }
    }
    const std::scoped_lock lock(m_mutex);
    m_confirmed = m_root.confirmed_at();
}

void endpoint_feed::refresh(hall_id hall)
{
    hall_progress& progress = m_progress.at(hall);
    const milliseconds interval = m_core.config().timing.feed;
    progress.next = monotonic_now() + interval;
    if (progress.in_flight)
    {
        progress.refresh_again = true;
        return;
    }
    progress.in_flight = true;
    const monotonic_time sent_at = monotonic_now();
    const auto answered = [this, hall, sent_at](const reply_body& reply)
    {
        hall_progress& p = m_progress.at(hall);
        p.in_flight = false;
        if (const auto* update = std::get_if<endpoints_reply>(&reply))
        {
            apply_update(hall, sent_at, *update);
        }
        if (std::exchange(p.refresh_again, false))
        {
            refresh(hall);
        }
    };
    m_core.call(group_of(hall), endpoints_call{progress.term, progress.revision}, interval * 2, answered);
}

void endpoint_feed::apply_update(hall_id hall, monotonic_time sent_at, const endpoints_reply& reply)
{
    hall_progress& progress = m_progress.at(hall);
    progress.term = reply.term;
    progress.revision = reply.revision;
    const std::scoped_lock lock(m_mutex);
    if (reply.is_full)
    {
        m_directory.clear(hall);
    }
    for (const service_endpoints& service : reply.services)
    {
        m_directory.set(hall, service);
    }
    m_directory.confirm(hall, sent_at);
}

// A service exists while its configuration exists and is not withdrawn. Its endpoints are reported by the
// halls.
void endpoint_feed::update_services()
{
    std::map<endpoint_directory::service_key, service_view> services;
    for (const auto& [key, config] : m_root.state().configurations())
    {
        const auto stored_template = m_root.state().templates().find({key.first, config.template_name});
        const bool service = stored_template != m_root.state().templates().end() &&
                             stored_template->second.workload() == workload_kind::service &&
                             !config.withdrawn;
        if (service)
        {
            services[key] = service_view{stored_template->second.repeatable};
        }
    }
    const std::scoped_lock lock(m_mutex);
    m_services = std::move(services);
}

std::optional<service_view> endpoint_feed::find_service(const endpoint_directory::service_key& service) const
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_services.find(service);
    return found == m_services.end() ? std::nullopt : std::optional(found->second);
}

bool endpoint_feed::confirmed(monotonic_time now) const
{
    const std::scoped_lock lock(m_mutex);
    return m_confirmed != monotonic_time{} && now - m_confirmed < m_core.config().timing.config_staleness;
}

std::optional<endpoint> endpoint_feed::begin(const endpoint_directory::service_key& service,
                                             std::uint64_t hash, const std::vector<endpoint_key>& tried,
                                             monotonic_time now)
{
    const std::scoped_lock lock(m_mutex);
    return m_directory.begin(service, hash, tried, now);
}

void endpoint_feed::end(const endpoint_directory::service_key& service, const endpoint& used,
                        endpoint_feedback verdict, monotonic_time now)
{
    const std::scoped_lock lock(m_mutex);
    m_directory.end(service, used, verdict, now);
}

} // namespace walkthread
