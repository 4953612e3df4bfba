#pragma once

/// @file
/// @brief The endpoints of services as one gateway knows them, and the choice among them.
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

/// @brief Tells endpoints apart; halls that share a service number their tasks alike.
/// @since 0.6
using endpoint_key = std::pair<worker_id, run_id>;

/// @brief A task of a service that answers requests.
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

/// @brief The endpoints of one service in one hall, as the hall's leader tells them. Leaving ones are not in
/// it.
/// @since 0.1
struct service_endpoints
{
    organisation_id organisation{};
    std::string service{};
    job_id job{};
    std::vector<endpoint> endpoints{};
    MSGPACK_DEFINE(organisation, service, job, endpoints)
};

/// @brief An endpoint with what this gateway knows of it.
/// @since 0.1
struct endpoint_state
{
    endpoint where{};
    hall_id hall{};
    std::uint32_t outstanding{};     ///< exchanges of this gateway in progress
    std::uint32_t broken_in_a_row{}; ///< exchanges that broke since the last whole answer
    monotonic_time suspect_until{};  ///< used only when no other endpoint is left
    monotonic_time avoid_until{};    ///< not reached, or it said that it is leaving: not used
};

/// @brief What an exchange told about its endpoint.
enum class endpoint_verdict : std::uint8_t
{
    good = 0,
    broken = 1, ///< no whole answer came
    gone = 2,   ///< it could not be reached, or is leaving
};

/// @brief Picks one of the usable endpoints. The list is never empty.
using endpoint_choice =
    std::function<std::size_t(const std::vector<const endpoint_state*>&, std::uint64_t hash)>;

/// @brief Two random ones, then the one with less outstanding.
[[nodiscard]] endpoint_choice two_random_choices(std::uint64_t seed);
/// @brief One after the other.
[[nodiscard]] endpoint_choice round_robin();
/// @brief By the request's hash over a Maglev table, as PAPER-xdp-load-balancer-design-27a6.md describes it.
/// Kept as a measured alternative; docs/DESIGN.md has the figures.
[[nodiscard]] endpoint_choice maglev_hashing();

/// @brief The endpoints of all services at one gateway. Not for use by two threads at once.
/// @since 0.1
class endpoint_directory
{
  public:
    using service_key = std::pair<organisation_id, std::string>;

    /// @param choice how to pick
    /// @param staleness a hall not confirmed for longer counts as leaving
    /// @param worker_connections exchanges that this gateway may have with one worker at a time
    endpoint_directory(endpoint_choice choice, duration staleness, std::uint32_t worker_connections);

    /// @brief Takes a service's endpoints in one hall; an empty list removes them.
    void set(hall_id hall, const service_endpoints& news);
    /// @brief Drops all that a hall told, before it tells everything anew.
    void clear(hall_id hall);
    /// @brief Notes that what is known of a hall was true at a time.
    void confirm(hall_id hall, monotonic_time at);
    /// @brief Picks an endpoint and counts an exchange with it.
    /// @param hash of the request, for choices by hash
    /// @param tried endpoints that this request already tried
    /// @return no value if none takes requests at the moment
    [[nodiscard]] std::optional<endpoint> begin(const service_key& service, std::uint64_t hash,
                                                const std::vector<endpoint_key>& tried, monotonic_time now);
    /// @brief Ends an exchange that `begin` counted. A gone endpoint is avoided for a while; one that breaks
    /// several exchanges in a row is used only if no other is left.
    void end(const service_key& service, const endpoint& used, endpoint_verdict verdict, monotonic_time now);
    /// @brief Endpoints known for a service, usable or not.
    [[nodiscard]] std::size_t count(const service_key& service) const;

    static constexpr std::uint32_t suspect_after = 3;
    static constexpr duration avoid_time = seconds(2);

  private:
    [[nodiscard]] bool usable(const endpoint_state& state, const std::vector<endpoint_key>& tried,
                              monotonic_time now) const;

    endpoint_choice m_choice;
    duration m_staleness;
    std::uint32_t m_worker_connections;
    std::map<service_key, std::map<endpoint_key, endpoint_state>> m_services;
    std::map<std::pair<hall_id, job_id>, std::vector<endpoint_key>> m_told;
    std::map<hall_id, monotonic_time> m_confirmed;
    std::map<worker_id, std::uint32_t> m_connections;
};

} // namespace walkthread
