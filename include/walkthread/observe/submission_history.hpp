#pragma once

/// @file
/// @brief Extracts the decisions about one submission from decision logs, in chronological order.
/// @since 0.2

#include <cstdint>
#include <iosfwd>
#include <string>
#include <utility>
#include <vector>

namespace walkthread
{

/// @brief One line of a decision log.
struct history_entry
{
    std::int64_t at_ms{}; ///< wall time of the writing process
    std::string process;
    std::string event;
    std::string id;
    std::vector<std::pair<std::string, std::string>>
        fields;         ///< names and values, in the order of the log line
    std::string source; ///< the unparsed JSON text
};

/// @brief The log lines about a submission, and their likely explanation.
struct submission_history
{
    std::vector<history_entry> lines;
    std::vector<std::string> conclusions; ///< sentences for the operator, most significant first
    std::uint64_t unreadable{};           ///< lines that are no JSON object
};

/// @brief Adds the lines of a log about submission `id` (16 hexadecimal digits) to its history. Text before
/// the JSON object of a line is skipped.
void read_log(std::istream& log, const std::string& id, submission_history& into);

/// @brief Sorts the lines by time and derives the conclusions. Complexity: O(n log n) in the lines.
void analyze(submission_history& history);

} // namespace walkthread
