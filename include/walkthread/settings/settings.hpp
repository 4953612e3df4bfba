#pragma once

/// @file
/// @brief The daemon's settings, read from TOML and checked for consistency.
/// @since 0.1

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <walkthread/units/ids.hpp>
#include <walkthread/units/result.hpp>
#include <walkthread/units/time.hpp>

namespace walkthread
{

/// @brief Errors of the settings layer.
/// @since 0.1
enum class settings_code
{
    unreadable = 701, ///< the file cannot be read
    malformed = 702,  ///< the file is not valid TOML
    bad_value = 703,  ///< a key is missing, unknown, of the wrong type or out of range
};
using settings_error = layer_error<settings_code>;

/// @brief An IP address and a port.
/// @since 0.1
struct socket_address
{
    std::string ip{};
    std::uint16_t port{};
    friend bool operator==(const socket_address&, const socket_address&) = default;
    /// @brief Formats the address as `ip:port`.
    [[nodiscard]] std::string text() const
    {
        return ip + ':' + std::to_string(port);
    }
};

/// @brief A process of the cell.
/// @since 0.1
struct peer_settings
{
    node_id node{};
    socket_address address{};
    bool control{};
    std::string hall{};
};

/// @brief A hall and the nodes that replicate its group.
/// @since 0.1
struct hall_settings
{
    hall_id id{};
    std::string name{};
    std::vector<node_id> replicas{};
};

/// @brief An organisation, the hashes of its tokens and its limits at each gateway.
/// @since 0.1
struct organisation_settings
{
    organisation_id id{};
    std::string name{};
    double weight = 1.0;
    std::string operator_token{};            ///< SHA-256, in hexadecimal
    std::string caller_token{};              ///< SHA-256, in hexadecimal
    socket_address callers{};                ///< where this node listens for its callers; port 0 for none
    std::int64_t max_requests = 256;         ///< in progress at one gateway
    std::int64_t requests_per_second = 5000; ///< at one gateway
};

/// @brief Intervals and timeouts that the guarantees depend on.
/// @since 0.1
struct timing_settings
{
    milliseconds heartbeat{150};
    milliseconds election{1000};
    milliseconds worker_lease{30'000};
    milliseconds worker_poll{10'000}; ///< how long a worker's lease renewal may wait for changes (long poll)
    milliseconds feed{2'000};         ///< how often a gateway fetches changes
    milliseconds config_staleness{10'000};  ///< unconfirmed for longer: the gateway admits no requests
    milliseconds endpoint_staleness{5'000}; ///< an endpoint unconfirmed for longer counts as leaving
    milliseconds service_drain{3'000};      ///< from the last new request to a service's task until its stop
    milliseconds balancer{2'000}; ///< after SIGTERM: until the load balancer sends no new connections
    milliseconds request{5'000};  ///< timeout of a caller's request
    seconds key_window{600};      ///< how long an Idempotency-Key is remembered
    milliseconds tick{20};
};

/// @brief Limits on requests and connections from outside the cell, and on the timeline.
/// @since 0.1
struct limit_settings
{
    std::int64_t body_bytes = 1 << 20;
    std::int64_t http_threads = 64;
    std::int64_t http_queue = 128;
    std::int64_t worker_connections = 8; ///< connections from this gateway to a worker
    std::int64_t timeline_events = 20'000;
};

/// @brief All settings of one daemon.
/// @since 0.1
struct settings
{
    node_id node{};
    std::string hall{};
    std::string data{};
    bool gateway = false;
    bool control = false;
    socket_address operators{};
    socket_address workers{};
    std::vector<peer_settings> peers{}; ///< this node included
    std::vector<node_id> root_replicas{};
    std::vector<hall_settings> halls{};
    std::vector<organisation_settings> organisations{};
    std::string cell_secret{};
    std::string admin_token{};
    std::string worker_token{};
    std::string tls_certificate{};
    std::string tls_key{};
    socket_address platform{}; ///< the users' platform; port 0 for none
    std::string log_level = "info";
    std::string log_file{};
    timing_settings timing{};
    limit_settings limits{};

    /// @brief Looks up a peer. @return null if unknown, as for the other look-ups; linear in the entries
    [[nodiscard]] const peer_settings* find_peer(node_id id) const;
    /// @brief Looks up a hall by its name.
    [[nodiscard]] const hall_settings* find_hall(std::string_view name) const;
    /// @brief Looks up a hall by its id, in constant time.
    [[nodiscard]] const hall_settings* find_hall(hall_id id) const;
    /// @brief Looks up an organisation by its name.
    [[nodiscard]] const organisation_settings* find_organisation(std::string_view name) const;
    /// @brief The root group and the groups of all halls.
    [[nodiscard]] std::vector<group_id> groups() const;
    /// @brief The nodes that replicate a group. The group must be the root group or that of a known hall.
    [[nodiscard]] const std::vector<node_id>& replicas_of(group_id group) const;
};

/// @brief Reads settings from TOML text and checks every key.
/// @return the settings, or every error at once, each with its key, the value and the allowed values
/// @since 0.1
[[nodiscard]] result<settings, std::vector<settings_error>> parse_settings(std::string_view toml);
/// @brief Reads settings from a file. @return as parse_settings, or `unreadable`
/// @since 0.1
[[nodiscard]] result<settings, std::vector<settings_error>> load_settings(const std::string& path);

} // namespace walkthread
