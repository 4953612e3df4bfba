#pragma once

/// @file
/// @brief Text forms of submissions, steps, tasks and runs, for logs and external interfaces.
/// @since 0.2

#include <optional>
#include <string>
#include <string_view>

#include <walkthread/workload/submission.hpp>

namespace walkthread
{

/// @brief 16 hexadecimal digits.
[[nodiscard]] std::string name_of(submission_id id);
/// @brief `SUBMISSION.ROUND.STEP`.
[[nodiscard]] std::string name_of(const step_ref& step);
/// @brief `SUBMISSION.ROUND.STEP.INDEX`.
[[nodiscard]] std::string name_of(const task_ref& task);
/// @brief `SUBMISSION.ROUND.STEP.INDEX/RUN`.
[[nodiscard]] std::string name_of(const run_ref& run);
/// @brief Parses 16 hexadecimal digits. @return no value for any other text
[[nodiscard]] std::optional<submission_id> parse_submission_id(std::string_view text);
/// @brief The id that a path ends with, whatever comes before its last 16 characters.
/// @return no value if these are not hexadecimal digits
[[nodiscard]] std::optional<submission_id> parse_last_submission_id(std::string_view path);
/// @brief Parses the output of `name_of(task_ref)`. @return no value for any other text
[[nodiscard]] std::optional<task_ref> parse_task_name(std::string_view text);
/// @brief Name of a phase in the interface for callers.
[[nodiscard]] std::string_view name_of(submission_phase phase);
/// @brief Name of an end in logs.
[[nodiscard]] std::string_view name_of(run_end how);

} // namespace walkthread
