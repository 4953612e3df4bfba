#pragma once

/// @file
/// @brief One gateway's view of the service endpoints, and the strategies for choosing among them.
/// @since 0.1

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <walkthread/units/ids.hpp>
#include <walkthread/units/time.hpp>

namespace walkthread
{

/// @brief Identifies an endpoint. The run id alone is not unique: halls that share a service use the same
/// task numbers.
/// @since 0.6
using endpoint_key = std::pair<worker_id, run_id>;

/// @brief A service task that serves requests.
/// @since 0.1
struct endpoint
{
    run_id run{};
    worker_id worker{};
    std::string ip{};
    std::uint16_t port{};
    MSGPACK_DEFINE(run, worker, ip, port)

    [[nodiscard]] endpoint_key key() const
    {
        return {worker, run};
    }
};

/// @brief The endpoints of one service in one hall, as reported by the hall's leader. Endpoints that are
/// leaving are not included.
/// @since 0.1
struct service_endpoints
{
    organisation_id organisation{};
    std::string service{};
    job_id job{};
    std::vector<endpoint> endpoints{};
    MSGPACK_DEFINE(organisation, service, job, endpoints)
};

/// @brief An endpoint and this gateway's observations of it.
/// @since 0.1
struct endpoint_state
{
    endpoint where{};
    hall_id hall{};
    std::uint32_t outstanding{};        ///< exchanges of this gateway in progress
    std::uint32_t consecutive_broken{}; ///< broken exchanges since the last complete response
    monotonic_time suspect_until{};     ///< until then, used only if no other endpoint is usable
    monotonic_time avoid_until{};       ///< until then, not used: unreachable or leaving
};

/// @brief What the result of an exchange says about the state of its endpoint.
enum class endpoint_feedback : std::uint8_t
{
    healthy = 0,
    broken = 1, ///< no complete response was received
    gone = 2,   ///< the endpoint could not be reached or is leaving
};

/// @brief Strategy that returns the index of one of the usable endpoints. The list is never empty.
using endpoint_choice =
    std::function<std::size_t(const std::vector<const endpoint_state*>&, std::uint64_t hash)>;

/// @brief Picks two endpoints at random and chooses the one with fewer outstanding exchanges.
[[nodiscard]] endpoint_choice two_random_choices(std::uint64_t seed);
/// @brief Chooses the endpoints in turn.
[[nodiscard]] endpoint_choice round_robin();
/// @brief Chooses by the request's hash in a Maglev table, as described in
/// PAPER-xdp-load-balancer-design-27a6.md. An alternative to the default; docs/DESIGN.md compares them.
[[nodiscard]] endpoint_choice maglev_hashing();

/// @brief The endpoints of all services known to one gateway. Not thread-safe.
/// @since 0.1
class endpoint_directory
{
  public:
    using service_key = std::pair<organisation_id, std::string>;

    /// @param choice strategy for choosing an endpoint
    /// @param staleness endpoints of a hall that was not confirmed for this long are not used
    /// @param worker_connections maximum number of concurrent exchanges of this gateway with one worker
    endpoint_directory(endpoint_choice choice, duration staleness, std::uint32_t worker_connections);

    /// @brief Replaces a service's endpoints in one hall; an empty list removes them.
    void set(hall_id hall, const service_endpoints& update);
    /// @brief Removes all endpoints reported by a hall, before the hall sends a full report.
    void clear(hall_id hall);
    /// @brief Records that the information about a hall was current at a time.
    void confirm(hall_id hall, monotonic_time at);
    /// @brief Chooses an endpoint and counts an exchange with it as outstanding.
    /// @param hash hash of the request, for strategies that use it
    /// @param tried endpoints that this request already tried
    /// @return no value if no endpoint can take the request at the moment
    [[nodiscard]] std::optional<endpoint> begin(const service_key& service, std::uint64_t hash,
                                                const std::vector<endpoint_key>& tried, monotonic_time now);
    /// @brief Ends an exchange that `begin` counted. An unavailable endpoint is not used for a while; after
    /// several consecutive broken exchanges an endpoint is used only if no other is usable.
    void end(const service_key& service, const endpoint& used, endpoint_feedback verdict, monotonic_time now);
    /// @brief The number of endpoints known for a service, usable or not.
    [[nodiscard]] std::size_t count(const service_key& service) const;

    static constexpr std::uint32_t suspect_threshold = 3;
    static constexpr duration avoidance_period = seconds(2);

  private:
    [[nodiscard]] bool usable(const endpoint_state& state, const std::vector<endpoint_key>& tried,
                              monotonic_time now) const;

    endpoint_choice m_choice;
    duration m_staleness;
    std::uint32_t m_worker_connections;
    std::map<service_key, std::map<endpoint_key, endpoint_state>> m_services;
    std::map<std::pair<hall_id, job_id>, std::vector<endpoint_key>> m_reported_endpoints;
    std::map<hall_id, monotonic_time> m_last_confirmation;
    std::map<worker_id, std::uint32_t> m_connections;
};

} // namespace walkthread
