#pragma once

// The log of a simulated pool: disabled, or all lines to standard output to debug one seed.

#include <memory>

#include <spdlog/sinks/stdout_sinks.h>

#include <walkthread/observe/decision_log.hpp>

#include "pool_settings.hpp"

namespace walkthread::test
{

inline std::unique_ptr<decision_log> make_pool_log(const pool_settings& settings)
{
    constexpr std::size_t all_lines = 100'000;
    return settings.log_lines
               ? std::make_unique<decision_log>("pool", std::make_shared<spdlog::sinks::stdout_sink_st>(),
                                                decision_log_settings{all_lines, all_lines, all_lines})
               : std::make_unique<decision_log>();
}

} // namespace walkthread::test
