#pragma once

// walkthreadctl replay: runs the scheduler on a recorded trace in simulated time.

#include <string>
#include <vector>

namespace walkthread::ctl
{

/// @brief Replays a trace with one or more policies and prints the results.
/// @param arguments the trace file, then policies: "walkthread" by default, "all" for every policy
/// @param as_table whether to print a table instead of JSON
/// @return the exit code: 0, 1 for an unknown policy or an invalid trace, 5 if an expectation of the
/// trace was not met
int run_replay(const std::vector<std::string>& arguments, bool as_table);

} // namespace walkthread::ctl
