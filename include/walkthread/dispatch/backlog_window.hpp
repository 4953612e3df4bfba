#pragma once

/// @file
/// @brief How many waiting steps a pass examines, and how often passes run, while a pool is full.
///
/// In a burst hundreds of steps wait for capacity that only the first few can get. Examining all of them in
/// each pass takes the leader longer than their runs last, and advisor queries for steps that cannot start
/// delay the queries of those that can; the tickets expire before there is capacity for them.
/// @since 0.8

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>

#include <walkthread/units/amounts.hpp>
#include <walkthread/units/strong.hpp>
#include <walkthread/units/time.hpp>

namespace walkthread
{

/// @brief The number of a pool, for cheap comparison; no host is in pool 0.
using pool_number = strong<struct pool_number_tag, std::uint32_t>;

/// @brief Limits on the examination of waiting steps.
struct backlog_settings
{
    /// Steps are examined if the capacity that is freed within this time may suffice for them. The advisor's
    /// tickets hold for about as long: those of later steps would expire unused.
    milliseconds lookahead{2000};
    std::size_t min_steps = 64; ///< examined in any case, as the first steps may wait for other hosts
    /// Time between two passes per waiting step that they order: bounds the share of the processor that is
    /// spent on ordering.
    duration pass_interval_per_step = std::chrono::microseconds(50);
    /// Longest time between two passes, whatever the number of steps: work that workers can take starts
    /// within 3 s, and a pass, a query of the advisor and the start have to fit into that.
    duration max_full_interval = std::chrono::seconds(1);
    /// The same for passes over urgent steps, which start within 1.1 s.
    duration max_first_interval = std::chrono::milliseconds(250);
};

/// @brief The capacity of a group of hosts that waiting steps may count on, consumed in the order of their
/// ranks.
/// @since 0.8
class backlog_window
{
  public:
    explicit backlog_window(std::size_t min_steps) : m_min_steps(min_steps)
    {
    }
    /// @brief Whether `set_capacity` has to be called before the next step is decided on: summing up the
    /// hosts is worth its cost only if many steps wait.
    [[nodiscard]] bool needs_capacity() const
    {
        return m_steps >= m_min_steps && !m_capacity_known;
    }
    /// @param capacity what is free or expected to be freed within the lookahead; no value for no limit
    void set_capacity(const std::optional<resources>& capacity)
    {
        m_capacity = capacity;
        m_capacity_known = true;
    }
    /// @brief Whether a step is examined. Complexity: constant.
    [[nodiscard]] bool is_open() const
    {
        return m_steps < m_min_steps || !m_capacity || dominant_share(m_wanted, *m_capacity) < 1.0;
    }
    /// @brief Counts a step that is examined.
    /// @param wanted resources of its waiting tasks
    void add(const resources& wanted)
    {
        m_wanted += wanted;
        ++m_steps;
    }

  private:
    std::size_t m_min_steps;
    std::size_t m_steps = 0;
    resources m_wanted;
    bool m_capacity_known = false;
    std::optional<resources> m_capacity;
};

/// @brief The windows of one pass. Steps of one window wait for the same hosts.
/// @since 0.8
class backlog_windows
{
  public:
    /// @brief A pool, the label that hosts must have, and whether accelerators are needed.
    using group = std::tuple<pool_number, std::string, bool>;

    explicit backlog_windows(const backlog_settings& settings) : m_min_steps(settings.min_steps)
    {
    }
    void clear()
    {
        m_windows.clear();
    }
    /// @brief Whether another step of a group is examined. Complexity: logarithmic in the groups.
    /// @param capacity called at most once for each group: what its hosts have free or are expected to free
    /// within the lookahead; no value for no limit
    [[nodiscard]] bool is_open(const group& hosts, const std::function<std::optional<resources>()>& capacity)
    {
        backlog_window& window = m_windows.try_emplace(hosts, m_min_steps).first->second;
        if (window.needs_capacity())
        {
            window.set_capacity(capacity());
        }
        return window.is_open();
    }
    /// @brief Counts a step that is examined.
    void add(const group& hosts, const resources& wanted)
    {
        m_windows.try_emplace(hosts, m_min_steps).first->second.add(wanted);
    }

  private:
    std::size_t m_min_steps;
    std::map<group, backlog_window> m_windows;
};

/// @brief When passes over waiting steps are due. Ordering them takes time in proportion to their number.
/// @since 0.8
class pass_schedule
{
  public:
    explicit pass_schedule(const backlog_settings& settings) : m_settings(settings)
    {
    }
    [[nodiscard]] bool is_full_pass_due(monotonic_time now) const
    {
        return now >= m_full_due;
    }
    /// @brief Whether a pass over urgent and long-running steps is due.
    [[nodiscard]] bool is_first_pass_due(monotonic_time now) const
    {
        return now >= m_first_due;
    }
    /// @param all whether all steps were ordered
    /// @param ready number of ready steps; `first`: of these, urgent and long-running ones
    /// @param interval between two full passes, at least
    void record_pass(bool all, std::size_t ready, std::size_t first, duration interval, monotonic_time now)
    {
        m_first_due = now + std::min(ordering_time(first), m_settings.max_first_interval);
        if (all)
        {
            m_last_full = now;
            m_full_due = now + std::max(interval, full_interval(ready));
        }
    }
    /// @brief Makes the next full pass due at once, but not sooner after the last one than ordering allows.
    void request_full_pass(std::size_t ready, monotonic_time now)
    {
        m_full_due = std::min(m_full_due, std::max(now, m_last_full + full_interval(ready)));
    }
    /// @brief When the next pass is due, at most `limit`.
    [[nodiscard]] monotonic_time next(std::size_t ready, std::size_t first, monotonic_time now,
                                      monotonic_time limit) const
    {
        monotonic_time due = limit;
        if (ready > first)
        {
            due = std::min(due, m_full_due);
        }
        if (first > 0 && m_first_due > now)
        {
            due = std::min(due, m_first_due);
        }
        return std::max(due, now);
    }

  private:
    [[nodiscard]] duration ordering_time(std::size_t steps) const
    {
        return m_settings.pass_interval_per_step * static_cast<std::int64_t>(steps);
    }
    [[nodiscard]] duration full_interval(std::size_t steps) const
    {
        return std::min(ordering_time(steps), m_settings.max_full_interval);
    }

    backlog_settings m_settings;
    monotonic_time m_first_due{};
    monotonic_time m_full_due{};
    monotonic_time m_last_full{};
};

/// @brief Mean time for which capacity is in use before it is freed, learned from completed runs. One object
/// serves one term of leadership.
/// @since 0.8
class turnover_time
{
  public:
    /// @brief Records a completed run; large and long runs count more. Complexity: constant.
    void record(const resources& size, milliseconds took)
    {
        constexpr double kept = 0.995; // some 200 runs count, which is less than a second under load
        m_processors = kept * m_processors + static_cast<double>(size.cpu);
        m_processor_ms =
            kept * m_processor_ms +
            static_cast<double>(size.cpu) * static_cast<double>(std::max<std::int64_t>(took.count(), 1));
    }
    /// @brief The part of the capacity in use that is expected to be freed within a time, 0 to 1.
    /// Complexity: constant.
    [[nodiscard]] double freed_within(milliseconds span) const
    {
        return std::min(1.0, static_cast<double>(span.count()) * m_processors / m_processor_ms);
    }

  private:
    // Until runs are known, capacity counts as freed after two seconds.
    double m_processors = 1.0;
    double m_processor_ms = 2000.0;
};

} // namespace walkthread
