#pragma once

// walkthreadctl losses: counts late and unserved submissions by cause, from the logs of several processes.

#include <string>
#include <vector>

namespace walkthread::ctl
{

/// @brief Reads the logs and prints the losses.
/// @param arguments the log files, `-` for standard input
/// @param as_table whether to print tables instead of JSON
/// @return the exit code: 0, 1 if a file cannot be read, 2 if no file is given
int run_losses(const std::vector<std::string>& arguments, bool as_table);

} // namespace walkthread::ctl
