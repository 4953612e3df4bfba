#pragma once

/// @file
/// @brief Routes callers' requests, from admission to outcome.
/// @since 0.1

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>

#include <walkthread/node/core.hpp>
#include <walkthread/node/endpoint_feed.hpp>
#include <walkthread/node/exchange.hpp>
#include <walkthread/node/http_server.hpp>
#include <walkthread/routing/errors.hpp>
#include <walkthread/routing/limits.hpp>

namespace walkthread
{

/// @brief Handles callers' requests. Thread-safe; each call blocks its thread until the outcome is known.
/// @since 0.1
class request_router
{
  public:
    request_router(process_core& core, endpoint_feed& feed);

    /// @brief Handles one request.
    /// @param key the Idempotency-Key; may be empty if the service is repeatable
    /// @return the endpoint's status (200..599) with outcome `completed`; 503 with `not_run` and Retry-After;
    ///         504 with `unknown`; 409 while a request with the same key is in progress; 410 if the request
    ///         ran but its response was not stored; 400, 404, 422 for requests that are never accepted
    [[nodiscard]] http_response handle(const organisation_settings& caller, const std::string& service,
                                       const std::string& key, const std::string& body);
    /// @brief Rejects new requests from now on, for shutdown. Requests in progress complete.
    void reject_new_requests()
    {
        m_stopping = true;
    }

  private:
    struct organisation_limits
    {
        explicit organisation_limits(const organisation_settings& from);
        std::mutex mutex;
        admission admitted;
        retry_budget retries;
    };
    struct routed_request
    {
        const organisation_settings& caller;
        endpoint_directory::service_key service;
        std::string body;
        bool repeatable{};
        std::string key;
        wall_ms key_time{};
        attempt_id attempt{};
        monotonic_time deadline{};
    };
    struct routing_result
    {
        request_outcome outcome = request_outcome::not_run;
        exchange_result exchange;
        routing_code reason = routing_code::no_endpoint;
    };

    http_response route(routed_request& request);
    http_response route_claimed(routed_request& request);
    routing_result send(routed_request& request);
    bool record_outcome(const routed_request& request, const routing_result& end);
    http_response unknown(const routed_request& request, const std::string& detail);
    http_response response_for(const routed_request& request, const routing_result& end);
    http_response not_run(const routed_request& request, routing_code code, const std::string& detail);
    http_response replayed_response(const claim_result& kept);
    http_response claim_error_response(const routed_request& request, const claim_result& refused);
    void record_event(event_kind kind, const routed_request& request, std::string text);
    [[nodiscard]] attempt_id next_attempt();
    [[nodiscard]] organisation_limits& limits_of(const organisation_settings& organisation);

    process_core& m_core;
    endpoint_feed& m_feed;
    endpoint_connections m_connections;
    std::map<organisation_id, std::unique_ptr<organisation_limits>> m_limits;
    std::mutex m_random_mutex;
    std::mt19937_64 m_random;
    std::atomic<bool> m_stopping{false};
};

} // namespace walkthread
