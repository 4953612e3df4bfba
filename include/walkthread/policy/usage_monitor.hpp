#pragma once

/// @file
/// @brief Enforces declared task sizes: runs that use more are throttled first and stopped if that does not
/// help.
/// @since 0.1

#include <unordered_map>

#include <walkthread/units/amounts.hpp>
#include <walkthread/units/ids.hpp>
#include <walkthread/units/time.hpp>

namespace walkthread
{

/// @brief Action to take on a run.
enum class usage_action : std::uint8_t
{
    none = 0,
    throttle = 1,
    stop = 2,
};

/// @brief Tracks the usage reports of one hall's runs.
/// @since 0.1
class usage_monitor
{
  public:
    /// @brief Tolerated excess as a part of the declared size, since reports are delayed and noisy.
    static constexpr double tolerance = 0.10;
    /// @brief Consecutive reports above the declared size before a run is throttled.
    static constexpr int throttle_after = 2;
    /// @brief Time above the declared size, despite throttling, before a run is stopped. Memory cannot be
    /// throttled, so a run above its memory size is also stopped after this time.
    static constexpr duration stop_after = seconds(30);

    /// @brief Evaluates one usage report. Complexity: constant.
    [[nodiscard]] usage_action evaluate(const run_id& run, const resources& declared, std::int64_t cpu,
                                        std::int64_t memory, monotonic_time now);
    /// @brief Drops the history of a task, once its run has ended.
    void forget(const task_id& task);

  private:
    struct history
    {
        std::uint32_t run{};
        int reports_over = 0;
        monotonic_time over_since{};
    };
    struct task_hash
    {
        std::size_t operator()(const task_id& id) const noexcept
        {
            return std::hash<job_id>{}(id.job) ^ id.index;
        }
    };

    std::unordered_map<task_id, history, task_hash> m_histories;
};

} // namespace walkthread
