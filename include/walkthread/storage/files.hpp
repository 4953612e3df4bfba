#pragma once

/// @file
/// @brief Helpers for POSIX files that include the fsync calls needed for durability.
/// @since 0.1

#include <string>
#include <string_view>

#include <walkthread/storage/data_folder.hpp>

namespace walkthread::detail
{

/// @brief The system's own calls, which report errors through errno.
file_operations system_file_operations();

/// @brief Reads a whole file. @return its bytes, or cannot_open
result<std::string, storage_error> read_file(const std::string& path);
/// @brief Replaces the file `name` atomically: writes a temporary file, fsyncs it, renames it and fsyncs the
/// folder. @return success, or cannot_open, cannot_write, cannot_sync
result<done, storage_error> replace_file(const file_operations& files, const std::string& folder,
                                         const std::string& name, std::string_view bytes);
/// @brief Fsyncs a folder, which makes created and removed names durable.
result<done, storage_error> sync_folder(const std::string& folder);
/// @brief Writes all bytes to a descriptor.
result<done, storage_error> write_all(const file_operations& files, int file, std::string_view bytes);
/// @brief The error for a failed open, from errno: cannot_write for a transient lack of resources, else
/// cannot_open.
storage_error open_error(const std::string& what);
/// @brief An error with the message for errno.
storage_error last_error(storage_code code, const std::string& what);

} // namespace walkthread::detail
