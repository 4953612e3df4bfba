// dispatcher: hosts reserved for large tasks until enough of the runs there have ended.

#include <walkthread/dispatch/dispatcher.hpp>

#include <algorithm>

#include <walkthread/dispatch/capacity_forecast.hpp>
#include <walkthread/workload/names.hpp>

namespace walkthread
{

namespace
{
// A task is large if no more than this many fit on an empty host; smaller ones fit as soon as others end.
constexpr std::uint32_t max_large_tasks_per_host = 2;
constexpr std::size_t max_reserved_hosts_for_late =
    1; // hosts reserved at a time for tasks that will be late anyway
} // namespace

// Expected remaining time of a run, from its estimate and reported progress; none if it does not end by
// itself.
std::optional<double> dispatcher::expected_remaining_ms(const run_ref& run, const run_view& known) const
{
    const submission* owner = m_state.find(run.task.step.submission);
    const step_spec* step = m_state.find(run.task.step);
    if (owner == nullptr || step == nullptr || step->long_running)
    {
        return std::nullopt;
    }
    return m_objectives.expected_ms(owner->queue_key(), *step) * (100.0 - known.percent) / 100.0;
}

std::optional<double> dispatcher::time_until_task_fits(const candidate& item, const offer& o) const
{
    return time_until_fit(o.room, forecast_runs(o), host_demand_of(*item.step));
}

std::vector<run_forecast> dispatcher::forecast_runs(const offer& o) const
{
    const worker_view& view = m_views.at(o.worker->id);
    std::vector<run_forecast> runs;
    runs.reserve(o.worker->occupied.size());
    for (const auto& [run, room] : o.worker->occupied)
    {
        const auto known = view.runs.find(run);
        runs.push_back(
            {room, known == view.runs.end() ? std::nullopt : expected_remaining_ms(run, known->second)});
    }
    return runs;
}

// The number of hosts reserved for other steps that compete with this one. Reservations of late work do not
// count against work that can still be on time.
std::size_t dispatcher::reserved_hosts(const candidate& item) const
{
    std::size_t count = 0;
    for (const auto& [ref, hold] : m_holds)
    {
        const bool other = !(ref == item.ref);
        const bool competes = !hold.is_gathering && (item.missed() || !hold.missed);
        count += other && competes ? hold.tasks.size() : 0;
    }
    return count;
}

std::size_t dispatcher::max_reserved_hosts(const candidate& item)
{
    if (item.missed())
    {
        return max_reserved_hosts_for_late;
    }
    const std::size_t pool = m_hosts.usable_in(item.pool);
    return std::max<std::size_t>(
        1, static_cast<std::size_t>(static_cast<double>(pool) * m_settings.max_reserved_share));
}

// Reserves hosts for large tasks. Without this, a task that needs most of a host never starts in a busy pool,
// as smaller tasks take the resources of each run that ends.
void dispatcher::reserve_hosts(const candidate& item, std::uint32_t left, monotonic_time now)
{
    if (!uses(mechanism::reservations) || item.urgent() || item.step->long_running)
    {
        return;
    }
    struct place
    {
        offer at;
        bool kept;
        double wait_ms;
    };
    const auto before = m_holds.find(item.ref);
    const std::size_t max_hosts = max_reserved_hosts(item);
    const std::size_t others = reserved_hosts(item);
    if (others >= max_hosts && before == m_holds.end())
    {
        return;
    }
    std::vector<place> places;
    for (const offer& o : find_approved_offers(item, now))
    {
        if (o.whole == 0 || o.whole > max_large_tasks_per_host)
        {
            continue;
        }
        const bool kept = before != m_holds.end() && before->second.tasks.contains(o.worker->id);
        const std::optional<double> wait = time_until_task_fits(item, o);
        if (wait)
        {
            places.push_back({o, kept, *wait});
        }
    }
    std::sort(places.begin(), places.end(),
              [](const place& a, const place& b)
              {
                  return std::make_tuple(a.at.others_first, !a.kept, a.wait_ms, a.at.worker->id) <
                         std::make_tuple(b.at.others_first, !b.kept, b.wait_ms, b.at.worker->id);
              });
    const std::size_t wanted =
        std::min<std::size_t>({left, places.size(), max_hosts - std::min(max_hosts, others)});
    capacity_hold next;
    next.each = host_demand_of(*item.step);
    next.missed = item.missed();
    next.is_gathering = false;
    next.last_growth = now;
    for (std::size_t i = 0; i < wanted; ++i)
    {
        next.tasks[places[i].at.worker->id] = 1;
        ++next.total;
    }
    if (next.total == 0)
    {
        drop_hold(item.ref);
        query_large_hosts(item, now);
        return;
    }
    update_large_task_size(item);
    if (before == m_holds.end())
    {
        log_event(now, "hosts_reserved", name_of(item.ref),
                  {{"hosts", next.total},
                   {"left", left},
                   {"others", others},
                   {"slack_ms", static_cast<std::int64_t>(item.slack_ms)},
                   {"wait_ms", static_cast<std::int64_t>(places.front().wait_ms)}});
    }
    std::vector<worker_incarnation_id> soon = hosts_soon_free(item, next, now);
    set_hold(item.ref, std::move(next));
    if (may_query_advisor(item, true, now))
    {
        send_advisor_query(item, soon, true, now);
    }
}

// Reserved hosts on which the task is expected to fit by the time a query about them is answered, and that
// have no ticket that is still valid then.
std::vector<worker_incarnation_id> dispatcher::hosts_soon_free(const candidate& item,
                                                               const capacity_hold& hold, monotonic_time now)
{
    std::vector<worker_incarnation_id> soon;
    if (item.queue == nullptr || !item.queue->advised)
    {
        return soon;
    }
    const advice_settings& terms = item.queue->advice;
    const double question_ms = terms.decision_ms + terms.each_ms;
    const auto lasts = milliseconds(static_cast<std::int64_t>(question_ms)) + m_settings.ticket_margin;
    const step_advice& known = m_advice.of(item.ref);
    for (const offer& o : find_approved_offers(item, now))
    {
        const auto entry = known.entries.find(o.worker->id);
        const bool has = entry != known.entries.end() && m_advice.usable(entry->second, now, lasts);
        const std::optional<double> wait =
            hold.tasks.contains(o.worker->id) && !has ? time_until_task_fits(item, o) : std::nullopt;
        if (wait && *wait <= question_ms)
        {
            soon.push_back(o.worker->id);
        }
    }
    return soon;
}

// If no approved host can be reserved, queries the advisor about other hosts, whatever is free there now.
void dispatcher::query_large_hosts(const candidate& item, monotonic_time now)
{
    if (item.queue == nullptr || !item.queue->advised || !may_query_advisor(item, false, now))
    {
        return;
    }
    const step_advice& known = m_advice.of(item.ref);
    std::vector<worker_incarnation_id> unknown;
    for (const offer& o : find_offers(item, now))
    {
        const bool large = o.whole > 0 && o.whole <= max_large_tasks_per_host;
        if (large && !known.entries.contains(o.worker->id) && unknown.size() < max_workers_per_question)
        {
            unknown.push_back(o.worker->id);
        }
    }
    send_advisor_query(item, unknown, false, now);
}

} // namespace walkthread
