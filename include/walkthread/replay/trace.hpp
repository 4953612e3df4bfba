#pragma once

/// @file
/// @brief Traces: the events of a hall over time, as JSON lines. traces/README.md describes the format.
/// @since 0.1

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <walkthread/state/model.hpp>
#include <walkthread/units/result.hpp>

namespace walkthread
{

/// @brief Errors of reading traces.
enum class trace_code
{
    unreadable = 901, ///< the file cannot be read
    malformed = 902,  ///< a line is not valid JSON, or a field is missing or invalid
};
using trace_error = layer_error<trace_code>;

/// @brief Workers register.
struct trace_workers
{
    std::uint32_t count{};
    std::uint32_t rack_size = 8;
    resources size{16'000, 65'536, 0, 8};
};

/// @brief A job is submitted, with its declared and its actual run time.
struct trace_job
{
    std::string name{};
    organisation_id organisation{};
    workload_kind kind{};
    std::uint32_t tasks = 1;
    resources size{1000, 1024, 0, 1};
    std::uint8_t urgency = 1;
    std::int64_t declared_s{};
    std::int64_t actual_s{}; ///< 0 for a service that runs until it is cancelled
    bool repeatable = true;
    std::uint32_t from = 1; ///< number of the template for which run times are learned
};

/// @brief All jobs with a name are cancelled.
struct trace_cancel
{
    std::string name{};
};

/// @brief The workers with numbers from `first` to `last` crash.
struct trace_worker_loss
{
    std::uint32_t first{};
    std::uint32_t last{};
};

/// @brief The workers with numbers from `first` to `last` fail every task from now on.
struct trace_worker_failures
{
    std::uint32_t first{};
    std::uint32_t last{};
};

using trace_event =
    std::variant<trace_workers, trace_job, trace_cancel, trace_worker_loss, trace_worker_failures>;

/// @brief An event and its time.
struct timed_event
{
    wall_ms at{};
    trace_event event{};
};

/// @brief An expectation: bounds on one metric, absolute or relative to another policy on the same trace.
struct expectation
{
    std::string metric{};
    std::string policy = "walkthread";
    std::string baseline_policy{}; ///< policy to compare with; empty for absolute bounds
    double min_value = -1.0e300;
    double max_value = 1.0e300;
};

/// @brief A trace with its expectations.
struct trace
{
    std::string name{};
    wall_ms end{}; ///< time at which the replay ends
    std::vector<timed_event> events{};
    std::vector<expectation> expected{};
};

/// @brief Parses a trace.
/// @return the trace, or the first error with its line number
[[nodiscard]] result<trace, trace_error> parse_trace(std::string_view text);
/// @brief Reads a trace from a file.
[[nodiscard]] result<trace, trace_error> load_trace(const std::string& path);

} // namespace walkthread
