#pragma once

/// @file
/// @brief The operators' configuration: queues, host pools, organisations, and limits for callers.
/// @since 0.2

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <msgpack.hpp>

#include <walkthread/workload/organisation.hpp>

namespace walkthread
{

/// @brief Cost of querying a queue's placement advisor and validity of its advice. See
/// `dispatch/advice_cache.hpp`.
struct advice_settings
{
    double decision_ms{};       ///< fixed time for one question
    double each_ms{};           ///< additional time for each worker in the question
    std::int64_t validity_ms{}; ///< how long the tickets of an answer are valid
    friend bool operator==(const advice_settings&, const advice_settings&) = default;
    MSGPACK_DEFINE(decision_ms, each_ms, validity_ms)
};

/// @brief One queue, addressed by host and path prefix.
struct queue_spec
{
    std::string name;
    std::string host;
    std::string path_prefix;
    std::int64_t timeout_ms{};
    std::int64_t target_latency_ms{}; ///< constant part of the latency objective
    double stretch{1.0};              ///< factor on the run time of the longest dependency chain, added to it
    std::int32_t priority{};          ///< 0 is the most urgent
    std::string pool;
    std::uint32_t max_attempts{1};
    bool advised{};
    advice_settings advice{};
    bool open{}; ///< callers need no API key
    MSGPACK_DEFINE(name, host, path_prefix, timeout_ms, target_latency_ms, stretch, priority, pool,
                   max_attempts, advised, advice, open)
};

/// @brief The route of a queue: host and path prefix, by which callers know it. Operators may give a queue
/// another name; its route stays the same.
[[nodiscard]] std::string route_of(const queue_spec& queue);

/// @brief One host pool.
struct pool_spec
{
    std::string name;
    bool rejects_overload{};
    bool spare{}; ///< its hosts are powered off
    MSGPACK_DEFINE(name, rejects_overload, spare)
};

/// @brief One complete version of the configuration.
/// @since 0.2
struct cluster_configuration
{
    std::uint64_t version{};
    std::vector<queue_spec> queues;
    std::vector<pool_spec> pools;
    std::int64_t max_body_bytes{};
    std::string source; ///< the operator's document, returned verbatim
    std::vector<organisation_spec> organisations;
    bool keys_required{}; ///< callers need an organisation's API key, except on open queues
    MSGPACK_DEFINE(version, queues, pools, max_body_bytes, source, organisations, keys_required)
};

/// @brief Describes the first error in a configuration; no value if it is valid.
/// Complexity: n log n in the queues.
[[nodiscard]] std::optional<std::string> find_fault(const cluster_configuration& candidate);

/// @brief The queue with this host and the longest matching path prefix; null if none matches.
/// Complexity: linear in the queues.
[[nodiscard]] const queue_spec* find_queue(const cluster_configuration& held, std::string_view host,
                                           std::string_view path);

/// @brief Whether a path is the queue's prefix and the name of this submission, with nothing between.
[[nodiscard]] bool addresses_submission(const queue_spec& queue, std::string_view path,
                                        std::string_view name);

/// @brief Queues whose route a new configuration changes: they keep their names, their former routes are
/// given to no queue, and their new ones were no other queue's. Complexity: n log n in the queues.
/// @return the new route of each former one
[[nodiscard]] std::map<std::string, std::string> find_moved_routes(const cluster_configuration& held,
                                                                   const cluster_configuration& next);

/// @brief The queue with this name; null if there is none.
[[nodiscard]] const queue_spec* find_queue_by_name(const cluster_configuration& held, std::string_view name);

} // namespace walkthread
