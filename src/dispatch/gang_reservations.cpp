#include <walkthread/dispatch/gang_reservations.hpp>

#include <algorithm>
#include <tuple>

namespace walkthread
{

namespace
{
constexpr double reserved_host_weight = 0.5;
} // namespace

std::optional<gang_reservation> choose_earliest_hosts(const std::vector<host_forecast>& hosts,
                                                      std::uint32_t count)
{
    struct place
    {
        double weighted_ms;
        bool not_reserved;
        double ready_ms;
        worker_incarnation_id worker;
    };
    std::vector<place> places;
    for (const host_forecast& host : hosts)
    {
        for (const double ready_ms : host.ready_ms)
        {
            places.push_back(
                {host.kept ? ready_ms * reserved_host_weight : ready_ms, !host.kept, ready_ms, host.worker});
        }
    }
    if (places.size() < count)
    {
        return std::nullopt;
    }
    std::sort(places.begin(), places.end(),
              [](const place& a, const place& b)
              {
                  return std::tie(a.weighted_ms, a.not_reserved, a.worker) <
                         std::tie(b.weighted_ms, b.not_reserved, b.worker);
              });
    gang_reservation out;
    for (std::uint32_t i = 0; i < count; ++i)
    {
        ++out.tasks[places[i].worker];
        out.ready_ms = std::max(out.ready_ms, places[i].ready_ms);
    }
    return out;
}

reservation_review::reservation_review(const reservation_settings& settings, const resources& room,
                                       const resources& in_use)
    : m_settings(settings), m_room(room), m_idle(dominant_share(in_use, room) < settings.idle_threshold)
{
}

bool reservation_review::has_waited_enough(duration waited) const
{
    return waited >= (m_idle ? m_settings.after_idle : m_settings.after);
}

bool reservation_review::admits(const resources& wanted, bool late, double ready_ms) const
{
    if (m_gangs == 0 || ready_ms <= 0.0)
    {
        return true;
    }
    const bool too_late = !m_idle && late && m_late >= m_settings.late;
    return !too_late && dominant_share(m_reserved + wanted, m_room) <= (m_idle ? 1.0 : m_settings.share);
}

void reservation_review::add(const resources& wanted, bool late)
{
    m_reserved += wanted;
    ++m_gangs;
    m_late += late ? 1 : 0;
}

bool may_backfill(double run_ms, monotonic_time due, monotonic_time now, const reservation_settings& settings)
{
    const std::chrono::duration<double, std::milli> needed(settings.backfill_safety_factor * run_ms);
    return now + needed <= due;
}

} // namespace walkthread
