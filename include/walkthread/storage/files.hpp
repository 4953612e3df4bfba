#pragma once

/// @file
/// @brief Small helpers over POSIX files, each with the syncs that make it last.
/// @since 0.1

#include <string>
#include <string_view>

#include <walkthread/storage/data_folder.hpp>

namespace walkthread::detail
{

/// @brief Reads a whole file. @return its bytes, or cannot_open
result<std::string, storage_error> read_file(const std::string& path);
/// @brief Writes a file beside, syncs it, renames it over `path` and syncs the folder.
result<done, storage_error> replace_file(const std::string& folder, const std::string& name,
                                         std::string_view bytes);
/// @brief Syncs a folder, so that names made or removed in it last.
result<done, storage_error> sync_folder(const std::string& folder);
/// @brief Writes all bytes to a descriptor.
result<done, storage_error> write_all(int file, std::string_view bytes);
/// @brief The error of the last open that failed: cannot_write for a shortage that passes, else cannot_open.
storage_error open_error(const std::string& what);
/// @brief The error of the last failed call, in words.
storage_error last_error(storage_code code, const std::string& what);

} // namespace walkthread::detail
