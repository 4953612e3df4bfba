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
using birth_ms = strong<struct birth_ms_tag, std::int64_t>;

/// @brief One incarnation of a worker, that is one lifetime of its process. A restarted worker may keep its
/// id, but it has no state of its predecessor, and its report numbers, end numbers and clock start anew. The
/// ordering is meant for containers only.
/// @since 0.5
struct life_ref
{
    std::string id;
    birth_ms born{};
    friend auto operator<=>(const life_ref&, const life_ref&) = default;
    MSGPACK_DEFINE(id, born)
};

} // namespace walkthread
