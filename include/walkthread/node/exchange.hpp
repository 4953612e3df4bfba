#pragma once

/// @file
/// @brief HTTP exchanges with endpoints, and how they are classified.
/// @since 0.1

#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include <walkthread/routing/endpoints.hpp>
#include <walkthread/routing/outcome.hpp>
#include <walkthread/units/time.hpp>

namespace walkthread
{

/// @brief A request to an endpoint.
/// @since 0.1
struct exchange_request
{
    attempt_id attempt{};
    std::string service{};
    std::string body{};
    bool fresh_connection{}; ///< use a new connection that served no other request
    milliseconds timeout{};
};

/// @brief The result of an exchange.
/// @since 0.1
struct exchange_result
{
    exchange_outcome end = exchange_outcome::not_sent;
    int status = 0;
    std::string body{};
    std::string content_type{};
};

/// @brief Pool of HTTP connections to endpoints. Thread-safe.
///
/// A connection carries one attempt at a time. A response is accepted only if it is complete and carries the
/// id of the attempt. Otherwise the connection is closed, so that a late or repeated response cannot be taken
/// for the response to another request.
/// @since 0.1
class endpoint_connections
{
  public:
    endpoint_connections();
    ~endpoint_connections();
    endpoint_connections(const endpoint_connections&) = delete;
    endpoint_connections& operator=(const endpoint_connections&) = delete;

    /// @brief Sends a request and waits for the response.
    [[nodiscard]] exchange_result run(const endpoint& to, const exchange_request& request);

  private:
    struct connection;
    [[nodiscard]] std::unique_ptr<connection> acquire(const endpoint& to, const exchange_request& request);
    void return_to_pool(const endpoint& to, std::unique_ptr<connection> used);

    std::mutex m_mutex;
    std::unordered_map<std::string, std::vector<std::unique_ptr<connection>>> m_idle;
};

} // namespace walkthread
