#pragma once

/// @file
/// @brief A rate-limited, non-blocking log with one JSON line per scheduling decision.
/// @since 0.2

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include <spdlog/spdlog.h>

#include <walkthread/units/time.hpp>

namespace walkthread
{

/// @brief One named input or outcome of a decision.
struct log_field
{
    std::string_view name;
    std::variant<std::int64_t, double, bool, std::string_view> value;

    log_field(std::string_view key, std::string_view text) : name(key), value(text)
    {
    }
    log_field(std::string_view key, const char* text) : name(key), value(std::string_view(text))
    {
    }
    log_field(std::string_view key, const std::string& text) : name(key), value(std::string_view(text))
    {
    }
    log_field(std::string_view key, bool flag) : name(key), value(flag)
    {
    }
    log_field(std::string_view key, double number) : name(key), value(number)
    {
    }
    template <std::integral T>
    log_field(std::string_view key, T number) : name(key), value(static_cast<std::int64_t>(number))
    {
    }
    log_field(std::string_view key, duration span)
        : name(key), value(std::chrono::duration_cast<milliseconds>(span).count())
    {
    }
};

/// @brief Limits of the log.
struct decision_log_settings
{
    std::int64_t lines_per_second = 600; ///< about twice the task starts per second at peak load
    std::int64_t process_lines_per_second =
        100;                       ///< lines about the process itself: peers, leadership, settings
    std::size_t queue_lines = 512; ///< capacity of the writer's queue; the oldest lines are dropped
};

/// @brief Writes decisions. Not thread-safe; a background thread of the logging library writes to the sink.
/// @since 0.2
class decision_log
{
  public:
    /// @brief Creates a disabled log, which writes nothing.
    decision_log() = default;
    /// @brief Creates a log that writes to `sink` through a bounded queue.
    /// @param process name of this process, written on each line
    decision_log(std::string process, spdlog::sink_ptr sink, decision_log_settings bounds);
    ~decision_log();
    decision_log(const decision_log&) = delete;
    decision_log& operator=(const decision_log&) = delete;

    /// @brief Writes one line, or counts it as dropped if the limit for this second is reached.
    /// @param now current time, for the rate limit
    /// @param at current wall time, written on the line
    /// @param event name of the event; docs/OPERATIONS.md lists all events
    /// @param subject id of the submission, run, worker or node concerned; empty for the process itself
    void write(monotonic_time now, wall_ms at, std::string_view event, std::string_view subject,
               std::initializer_list<log_field> fields);

    /// @brief Lines dropped since the start, because of the rate limit or because the queue was full.
    [[nodiscard]] std::uint64_t dropped() const;
    /// @brief Lines written or queued since the start.
    [[nodiscard]] std::uint64_t written() const
    {
        return m_written;
    }

  private:
    void emit(wall_ms at, std::string_view event, std::string_view subject,
              std::initializer_list<log_field> fields);

    std::string m_process;
    decision_log_settings m_bounds;
    std::shared_ptr<spdlog::details::thread_pool> m_writer;
    std::shared_ptr<spdlog::logger> m_logger;
    monotonic_time m_second{};
    std::int64_t m_lines_in_second = 0;
    std::int64_t m_process_lines_in_second = 0;
    std::uint64_t m_written = 0;
    std::uint64_t m_rate_limited = 0;
    std::uint64_t m_reported_dropped = 0;
};

} // namespace walkthread
