#pragma once

/// @file
/// @brief The operators' configuration: queues, pools of hosts, organisations, and limits for callers.
/// @since 0.2

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <msgpack.hpp>

#include <walkthread/workload/organisation.hpp>

namespace walkthread
{

/// @brief What a queue's placement policy costs to ask. See `dispatch/advice_book.hpp`.
struct advice_terms
{
    double decision_ms{};       ///< for one question
    double each_ms{};           ///< besides, for each worker asked about
    std::int64_t validity_ms{}; ///< how long an answer's tickets count
    friend bool operator==(const advice_terms&, const advice_terms&) = default;
    MSGPACK_DEFINE(decision_ms, each_ms, validity_ms)
};

/// @brief One queue, as callers address it.
struct queue_spec
{
    std::string name;
    std::string host;
    std::string path_prefix;
    std::int64_t timeout_ms{};
    std::int64_t target_latency_ms{}; ///< the part of the objective that does not grow with the work
    double stretch{1.0};              ///< the part that does: times the longest chain of run times
    std::int32_t priority{};          ///< 0 is the most urgent
    std::string pool;
    std::uint32_t max_attempts{1};
    bool advised{};
    advice_terms advice{};
    bool open{}; ///< callers need no key
    MSGPACK_DEFINE(name, host, path_prefix, timeout_ms, target_latency_ms, stretch, priority, pool,
                   max_attempts, advised, advice, open)
};

/// @brief One pool of hosts.
struct pool_spec
{
    std::string name;
    bool rejects_overload{};
    bool spare{}; ///< its hosts are off
    MSGPACK_DEFINE(name, rejects_overload, spare)
};

/// @brief A whole configuration of one version.
/// @since 0.2
struct catalogue
{
    std::uint64_t version{};
    std::vector<queue_spec> queues;
    std::vector<pool_spec> pools;
    std::int64_t max_body_bytes{};
    std::string source; ///< the operator's document, given back as it came
    std::vector<organisation_spec> organisations;
    bool guarded{}; ///< callers need keys of organisations, but for open queues
    MSGPACK_DEFINE(version, queues, pools, max_body_bytes, source, organisations, guarded)
};

/// @brief What is wrong with a configuration; no value if nothing is.
/// Complexity: n log n in the queues.
[[nodiscard]] std::optional<std::string> find_fault(const catalogue& candidate);

/// @brief The queue with this host and the longest prefix of the path; null for none.
/// Complexity: linear in the queues.
[[nodiscard]] const queue_spec* find_queue(const catalogue& held, std::string_view host,
                                           std::string_view path);

/// @brief The queue of a name; null for none.
[[nodiscard]] const queue_spec* find_queue_by_name(const catalogue& held, std::string_view name);

} // namespace walkthread
