#pragma once

// walkthreadctl story: merges the log lines about one submission from several processes, in order.

#include <string>
#include <vector>

namespace walkthread::ctl
{

/// @brief Prints the history of a submission and the conclusions drawn from it.
/// @param arguments the submission id, then log files of any processes; `-` for standard input
/// @param as_table whether to print text instead of JSON
/// @return the exit code: 0, 1 for invalid arguments or an unreadable file, 2 if no line mentions the
/// submission
int run_story(const std::vector<std::string>& arguments, bool as_table);

} // namespace walkthread::ctl
