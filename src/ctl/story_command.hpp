#pragma once

// walkthreadctl story: one submission's lines from the logs of several processes, in order.

#include <string>
#include <vector>

namespace walkthread::ctl
{

/// @brief Prints what was decided about a submission, from log files of any processes.
/// @param words the submission's id, then log files; `-` for standard input
/// @return 0, 1 for bad words or a file that cannot be read, 2 if nothing is logged about it
int run_story(const std::vector<std::string>& words, bool as_table);

} // namespace walkthread::ctl
