#include <walkthread/dispatch/worker_view.hpp>

#include <algorithm>

namespace walkthread
{

namespace
{
std::int64_t to_ms(duration span)
{
    return std::chrono::duration_cast<milliseconds>(span).count();
}
} // namespace

void worker_view::note_clock(std::int64_t ms, monotonic_time now)
{
    // Keep the reading that puts the worker's clock furthest ahead: it was on its way for the shortest time.
    if (!clock_known || ms >= clock_now(now) || now - clock_at > seconds(10))
    {
        clock_ms = ms;
        clock_at = now;
        clock_known = true;
    }
}

std::int64_t worker_view::clock_now(monotonic_time now) const
{
    return clock_ms + to_ms(now - clock_at);
}

std::int64_t worker_view::grant(monotonic_time now, milliseconds lease)
{
    const std::int64_t until = clock_now(now) + lease.count();
    granted_until_ms = std::max(granted_until_ms, until);
    return until;
}

bool worker_view::lease_surely_over(monotonic_time now, double drift) const
{
    if (now < foreign_lease_end && !answered)
    {
        return false;
    }
    if (!clock_known)
    {
        return now >= foreign_lease_end;
    }
    const double elapsed = static_cast<double>(to_ms(now - clock_at)) * (1.0 - drift);
    return static_cast<double>(clock_ms) + elapsed > static_cast<double>(granted_until_ms);
}

} // namespace walkthread
