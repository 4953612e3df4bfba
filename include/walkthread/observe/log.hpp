#pragma once

/// @file
/// @brief Diagnostic logs: one logger per component, whose name is part of each line.
/// @since 0.1

#include <memory>
#include <string>

#include <spdlog/spdlog.h>

namespace walkthread
{

/// @brief The logger of a component.
using logger = std::shared_ptr<spdlog::logger>;

/// @brief Sets the level and the destination of the logs. Call once, before the first logger is created.
/// @param level trace, debug, info, warn or error
/// @param file path of a file to append to; empty for standard error
void setup_logs(const std::string& level, const std::string& file);
/// @brief Returns the logger of a component, such as "root" or "gateway".
[[nodiscard]] logger make_logger(const std::string& part);

} // namespace walkthread
