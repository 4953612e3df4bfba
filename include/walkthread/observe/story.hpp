#pragma once

/// @file
/// @brief Reads decision logs back: what was decided about one submission, in the order of time.
/// @since 0.2

#include <cstdint>
#include <iosfwd>
#include <string>
#include <utility>
#include <vector>

namespace walkthread
{

/// @brief One line of a decision log.
struct story_line
{
    std::int64_t at_ms{}; ///< wall time of the process that wrote it
    std::string process;
    std::string event;
    std::string id;
    std::vector<std::pair<std::string, std::string>> fields; ///< name and value, in the order written
    std::string source;                                      ///< the line itself
};

/// @brief What a log says about a submission, and what is likely its cause.
struct story
{
    std::vector<story_line> lines;
    std::vector<std::string> conclusions; ///< plain sentences, strongest first
    std::uint64_t unreadable{};           ///< lines that are no JSON object
};

/// @brief Adds a log's lines about `id` (a submission's 16 digits) to a story. Text before the JSON is
/// skipped.
void read_log(std::istream& log, const std::string& id, story& into);

/// @brief Sorts the lines and draws the conclusions. Complexity: n log n in the lines.
void conclude(story& of);

} // namespace walkthread
