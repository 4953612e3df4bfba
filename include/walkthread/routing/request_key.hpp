#pragma once

/// @file
/// @brief The Idempotency-Key of a not-repeatable request: a version 7 UUID, which contains a timestamp.
///
/// A key older than the key window must be refused even after its record was evicted, so the age must be part
/// of the key.
/// @since 0.1

#include <optional>
#include <string_view>

#include <walkthread/units/ids.hpp>
#include <walkthread/units/time.hpp>

namespace walkthread
{

/// @brief The timestamp in a version 7 UUID.
/// @return no value if the text is not a version 7 UUID
[[nodiscard]] std::optional<wall_ms> timestamp_of_key(std::string_view key);

/// @brief The hall group that owns a key. All processes agree on it as long as the number of halls in the
/// settings does not change.
[[nodiscard]] group_id owner_of_key(organisation_id organisation, std::string_view key, std::size_t halls);

/// @brief A digest of a request, which distinguishes a resend from a different request with the same key.
[[nodiscard]] std::uint64_t digest_of_request(std::string_view service, std::string_view body);

} // namespace walkthread
