#pragma once

/// @file
/// @brief Records in the write-ahead log: magic (4 bytes), length (4), checksum (8, XXH3), msgpack body.
/// @since 0.1

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include <walkthread/storage/data_folder.hpp>

namespace walkthread::detail
{

/// @brief Bytes before a record's body.
inline constexpr std::size_t record_header_size = 16;

/// @brief Appends a record to a buffer. Complexity: linear in the body.
void append_record(std::string& buffer, const log_record& record);

/// @brief Reads records in order and passes each to `take`.
/// @param torn_tail_allowed whether the file is the newest, whose last write may be incomplete after a crash
/// @return the number of valid bytes, or storage_code::damaged if a corrupted record precedes a valid one or
///         no torn tail is allowed
result<std::size_t, storage_error> read_records(std::string_view bytes, bool torn_tail_allowed,
                                                const std::function<void(log_record)>& take);

} // namespace walkthread::detail
