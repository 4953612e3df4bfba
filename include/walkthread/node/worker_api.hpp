#pragma once

/// @file
/// @brief The HTTP interface of workers; docs/WORKERS.md describes the protocol.
/// @since 0.1

#include <walkthread/node/access.hpp>
#include <walkthread/node/core.hpp>
#include <walkthread/node/http_server.hpp>

namespace walkthread
{

/// @brief Handles requests of workers: forwards renewals to the leader of their hall. Thread-safe.
/// @since 0.1
class worker_api
{
  public:
    explicit worker_api(process_core& core);
    /// @brief Adds all routes to an HTTP server.
    void add_routes(http_server& server);

  private:
    http_response renew(const http_request& request);

    process_core& m_core;
    access_check m_access;
};

} // namespace walkthread
