#pragma once

/// @file
/// @brief The latest end of any lease that an incarnation of a worker may hold.
///
/// A worker gives a lease end on a foreign clock the longest lease, and a lease never shortens. Orders that
/// got no answer may be executed seconds later, by the next incarnation under the same id as well, so an
/// incarnation may hold leases that were granted to a former one or by an earlier leader. It refuses such
/// orders from its first answer to the fencing token of the present leader and incarnation on
/// (`fencing_token`), so whatever they granted ends within one longest lease of that answer. Until then, they
/// may still arrive.
/// @since 0.9

#include <cstdint>

#include <walkthread/units/time.hpp>
#include <walkthread/workload/task_table.hpp>

namespace walkthread
{

/// @brief The fencing token of a leader's orders for one incarnation of a worker: it rises with the term, and
/// within a term with each new incarnation. Terms below 2^21 give tokens that any JSON reader represents
/// exactly.
[[nodiscard]] constexpr std::uint64_t fencing_token(std::uint64_t term, worker_incarnation_id incarnation)
{
    return (term << 32U) | incarnation.value();
}

/// @brief Leases that orders without the present fencing token may have granted.
struct foreign_leases
{
    /// Until the first answer: leases granted by orders that may still arrive have ended by then.
    monotonic_time end{};
    /// At the first answer: the longest remaining time of a lease granted before, on the worker's clock.
    milliseconds longest{};
};

/// @brief A worker's clock and the leases that it may hold, as the leader knows them. Complexity of all
/// functions: constant.
/// @since 0.9
class worker_lease
{
  public:
    worker_lease() = default;
    explicit worker_lease(foreign_leases foreign) : m_foreign(foreign)
    {
    }

    /// @brief Records a reading of the worker's clock that was made no later than `now`.
    void update_clock(std::int64_t ms, monotonic_time now);
    /// @brief Whether there is a reading of the worker's clock.
    [[nodiscard]] bool clock_known() const
    {
        return m_clock_known;
    }
    /// @brief The estimated current time on the worker's clock, in milliseconds.
    [[nodiscard]] std::int64_t clock_now(monotonic_time now) const;
    /// @brief Records that the worker answered with the present fencing token at a time on its clock: orders
    /// with lower tokens grant nothing any more. Only the first call has an effect.
    void record_fenced(std::int64_t clock_ms);
    /// @brief Returns the lease end to request, on the worker's clock, and records it as granted.
    std::int64_t grant(monotonic_time now, milliseconds lease);
    /// @brief The latest end of any lease as far as it is known, on the worker's clock.
    [[nodiscard]] std::int64_t latest_end_ms() const
    {
        return m_latest_end_ms;
    }
    /// @brief Time until the latest end of any lease that this leader granted, in milliseconds and without
    /// regard to the rate error of the worker's clock; 0 or less if it is over or if none was granted.
    [[nodiscard]] std::int64_t remaining_ms(monotonic_time now) const
    {
        return m_clock_known ? m_latest_end_ms - clock_now(now) : 0;
    }
    /// @brief Whether every lease has certainly expired, so that nothing can run there.
    /// @param drift the maximum rate error of a worker's clock
    [[nodiscard]] bool surely_expired(monotonic_time now, double drift) const;

    /// A reading of the clock is replaced by a slower one after that time.
    static constexpr milliseconds max_reading_age{10000};

  private:
    foreign_leases m_foreign;
    monotonic_time m_clock_at{};
    std::int64_t m_clock_ms{}; ///< the worker's clock at `m_clock_at` or a little before
    bool m_clock_known = false;
    bool m_fenced = false;
    std::int64_t m_latest_end_ms{};
};

} // namespace walkthread
