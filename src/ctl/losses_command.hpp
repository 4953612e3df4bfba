#pragma once

// walkthreadctl losses: submissions that were late or unserved, by cause, from the logs of several processes.

#include <string>
#include <vector>

namespace walkthread::ctl
{

/// @brief Runs the command. @param words the log files, `-` for standard input
/// @return 0, 1 where a file cannot be read, 2 without any log
int run_losses(const std::vector<std::string>& words, bool as_table);

} // namespace walkthread::ctl
