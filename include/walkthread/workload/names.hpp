#pragma once

/// @file
/// @brief Submissions, steps, tasks and runs as text, for logs and for the outside.
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
/// @brief Reads 16 hexadecimal digits. @return no value for anything else
[[nodiscard]] std::optional<submission_id> parse_submission_id(std::string_view text);
/// @brief Reads what `name_of(task_ref)` writes. @return no value for anything else
[[nodiscard]] std::optional<task_ref> parse_task_name(std::string_view text);
/// @brief A phase as callers read it.
[[nodiscard]] std::string_view name_of(submission_phase phase);
/// @brief An end as logs show it.
[[nodiscard]] std::string_view name_of(run_end how);

} // namespace walkthread
