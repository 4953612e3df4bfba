#include <walkthread/node/process.hpp>

#include <algorithm>
#include <thread>

#include <walkthread/node/clock.hpp>
#include <walkthread/node/http_responses.hpp>

namespace walkthread
{

namespace
{
constexpr std::size_t operator_threads = 8;
const std::string name_pattern = "([A-Za-z0-9][A-Za-z0-9._-]{0,63})";
} // namespace

process::process(const settings& config, std::unique_ptr<data_folder> folder)
    : m_settings(config), m_folder(std::move(folder)), m_log(make_logger("process")),
      m_events(config.node, static_cast<std::size_t>(config.limits.timeline_events)),
      m_core(config, m_folder.get(), m_events, m_metrics), m_root(m_core), m_feed(m_core, m_root),
      m_router(m_core, m_feed), m_operators(m_core, m_root, m_healthy), m_workers(m_core), m_access(config)
{
    m_root.attach();
    for (const hall_settings& hall : config.halls)
    {
        if (std::find(hall.replicas.begin(), hall.replicas.end(), config.node) != hall.replicas.end())
        {
            m_halls[hall.id] = std::make_unique<hall_service>(m_core, m_root, hall.id);
            m_halls[hall.id]->attach();
        }
    }
    m_feed.attach();
    m_core.on_change_notice(
        [this](group_id group)
        {
            group == root_group ? m_root.refresh() : m_feed.refresh(hall_id{group.value()});
        });
    m_core.on_local_call(
        [this](const call_body& body) -> reply_body
        {
            return timeline_reply{m_events.find(std::get<timeline_call>(body).filter)};
        });
    if (config.platform.port != 0)
    {
        m_platform = std::make_unique<platform_watch>(
            config.platform,
            [this](const std::set<worker_id>& live, const std::set<worker_id>& leaving)
            {
                m_core.post(
                    [this, live, leaving]
                    {
                        for (auto& [id, hall] : m_halls)
                        {
                            hall->apply_platform_list(live, leaving);
                        }
                    });
            });
    }
    make_listeners();
}

process::~process()
{
    stop();
}

std::unique_ptr<http_server> process::make_server(const socket_address& address, std::size_t threads) const
{
    http_limits limits;
    limits.threads = threads;
    limits.queue = static_cast<std::size_t>(m_settings.limits.http_queue);
    limits.body_bytes = static_cast<std::size_t>(m_settings.limits.body_bytes);
    return std::make_unique<http_server>(address, limits, m_settings.tls_certificate, m_settings.tls_key);
}

void process::make_listeners()
{
    const auto threads = static_cast<std::size_t>(m_settings.limits.http_threads);
    m_servers.push_back(make_server(m_settings.operators, operator_threads));
    m_operators.add_routes(*m_servers.back());
    if (m_settings.workers.port != 0)
    {
        m_servers.push_back(make_server(m_settings.workers, threads));
        m_workers.add_routes(*m_servers.back());
    }
    for (const organisation_settings& organisation : m_settings.organisations)
    {
        if (!m_settings.gateway || organisation.callers.port == 0)
        {
            continue;
        }
        m_caller_servers.push_back(make_server(organisation.callers, threads));
        http_server& server = *m_caller_servers.back();
        m_operators.add_health(server);
        server.post("/v1/services/" + name_pattern + "/requests",
                    [this, &organisation](const http_request& request)
                    {
                        const organisation_settings* caller = m_access.caller_of(request.authorization);
                        if (caller != &organisation)
                        {
                            return error_response(http_status::unauthorised, node_code::unauthorised,
                                                  "The token is missing or wrong.");
                        }
                        return m_router.handle(*caller, request.parts[0], request.idempotency_key,
                                               request.body);
                    });
    }
}

bool process::start()
{
    m_started = true;
    if (!m_core.start())
    {
        m_log->error("Cannot bind the peer address.");
        return false;
    }
    for (auto* servers : {&m_servers, &m_caller_servers})
    {
        for (auto& server : *servers)
        {
            if (!server->start())
            {
                m_log->error("Cannot bind the HTTP address {} or read the TLS certificate.",
                             server->address().text());
                return false;
            }
        }
    }
    if (m_platform)
    {
        m_platform->start();
    }
    timeline_event event;
    event.kind = static_cast<std::uint8_t>(event_kind::process_started);
    event.text = "Node " + std::to_string(m_settings.node.value()) + " started.";
    m_events.add(std::move(event), wall_now());
    m_log->info("Node {} started.", m_settings.node.value());
    return true;
}

void process::stop()
{
    if (!std::exchange(m_started, false))
    {
        return;
    }
    m_log->info("Shutting down; reporting unhealthy.");
    m_healthy = false;
    if (!m_caller_servers.empty() && !m_core.failed())
    {
        std::this_thread::sleep_for(m_settings.timing.balancer);
    }
    for (auto& server : m_caller_servers)
    {
        server->stop();
    }
    m_log->info("All requests in progress have completed.");
    if (m_platform)
    {
        m_platform->stop();
    }
    for (auto& server : m_servers)
    {
        server->stop();
    }
    m_core.stop();
    m_log->info("Stopped.");
}

} // namespace walkthread
