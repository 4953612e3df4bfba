#pragma once

/// @file
/// @brief The HTTP interface of operators and administrators, and health and metrics.
/// @since 0.1

#include <atomic>
#include <functional>
#include <optional>
#include <string>

#include <walkthread/node/access.hpp>
#include <walkthread/node/core.hpp>
#include <walkthread/node/http_server.hpp>
#include <walkthread/node/root_service.hpp>

namespace walkthread
{

/// @brief Handles requests of operators and administrators. Thread-safe.
/// @since 0.1
class operator_api
{
  public:
    /// @param healthy false once this process is shutting down
    operator_api(process_core& core, root_service& root, const std::atomic<bool>& healthy);

    /// @brief Adds all routes to an HTTP server.
    void add_routes(http_server& server);
    /// @brief Adds only /healthz, for the load balancer in front of the gateways.
    void add_health(http_server& server);

  private:
    using organisation_handler =
        std::function<http_response(const organisation_settings&, const http_request&)>;
    using plain_handler = std::function<http_response(const http_request&)>;

    [[nodiscard]] http_handler require_operator(organisation_handler handler);
    [[nodiscard]] http_handler require_admin(plain_handler handler);
    void add_configuration_routes(http_server& server);
    void add_admin_routes(http_server& server);
    void add_state_routes(http_server& server);

    http_response put_template_of(const organisation_settings& organisation, const http_request& request);
    http_response put_team_of(const organisation_settings& organisation, const http_request& request);
    http_response put_configuration_of(const organisation_settings& organisation,
                                       const http_request& request);
    http_response withdraw(const organisation_settings& organisation, const http_request& request);
    http_response rerun(const organisation_settings& organisation, const http_request& request);
    http_response cancel(const organisation_settings& organisation, const http_request& request);
    http_response explain(const organisation_settings& organisation, const http_request& request);
    http_response timeline_for(organisation_id organisation, const http_request& request);
    http_response hosts();
    http_response drain(const http_request& request);
    http_response halls();
    http_response set_cordon(const std::string& name, bool cordoned);
    [[nodiscard]] std::optional<std::string> cordon_document(hall_id hall);
    http_response groups();
    http_response replace_member(const http_request& request);
    http_response ready();

    http_response command(const organisation_settings& organisation, const root_command& command);
    http_response read(const organisation_settings& organisation, query_kind what,
                       const http_request& request);

    process_core& m_core;
    root_service& m_root;
    access_check m_access;
    const std::atomic<bool>& m_healthy;
};

} // namespace walkthread
