#pragma once

/// @file
/// @brief Which life of a worker is meant: an id outlives its lives.
/// @since 0.5

#include <compare>
#include <cstdint>
#include <string>

#include <msgpack.hpp>

#include <walkthread/units/strong.hpp>

namespace walkthread
{

/// @brief When a worker's process started, in Unix milliseconds by its own machine's time of day; 0 where it
/// is not known. Two lives under one id differ in it. Which of them is newer it does not tell: that clock may
/// be set back.
using birth_ms = strong<struct birth_ms_tag, std::int64_t>;

/// @brief One life of a worker. A worker that starts again may keep its id; it knows nothing of before, and
/// its reports, ends and clock count anew. The order is for containers only.
/// @since 0.5
struct life_ref
{
    std::string id;
    birth_ms born{};
    friend auto operator<=>(const life_ref&, const life_ref&) = default;
    MSGPACK_DEFINE(id, born)
};

} // namespace walkthread
