#pragma once

/// @file
/// @brief Identifies an incarnation of a worker: a restarted worker may keep its id.
/// @since 0.5

#include <compare>
#include <cstdint>
#include <string>

#include <msgpack.hpp>

#include <walkthread/units/strong.hpp>

namespace walkthread
{

/// @brief Start time of a worker's process, in Unix milliseconds by its own wall clock; 0 if unknown. It
/// distinguishes incarnations with the same id but does not order them, since that clock may be set back.
using process_start_ms = strong<struct process_start_ms_tag, std::int64_t>;

/// @brief One incarnation of a worker, that is one lifetime of its process. A restarted worker may keep its
/// id, but it has no state of its predecessor, and its report numbers, end numbers and clock start anew. The
/// ordering is meant for containers only.
/// @since 0.5
struct worker_incarnation_ref
{
    std::string id;
    process_start_ms process_start{};
    friend auto operator<=>(const worker_incarnation_ref&, const worker_incarnation_ref&) = default;
    MSGPACK_DEFINE(id, process_start)
};

} // namespace walkthread
