// dispatcher: reservations for gangs that have waited long.

#include <walkthread/dispatch/dispatcher.hpp>

#include <algorithm>

#include <walkthread/dispatch/capacity_forecast.hpp>
#include <walkthread/workload/names.hpp>

namespace walkthread
{

namespace
{
constexpr double planned_run_estimate_ms = 1000; // assumed run time of starts that are being committed
} // namespace

// Gangs all of whose tasks wait, longest waiting first. The replicated state does not record when a dependent
// step became ready or when its last run ended: for these the time counts from when this leader first saw
// them wait.
std::vector<dispatcher::candidate> dispatcher::gangs_by_waiting_time(const std::vector<candidate>& items,
                                                                     monotonic_time now)
{
    std::map<step_ref, monotonic_time> since;
    std::vector<candidate> gangs;
    for (const candidate& item : items)
    {
        if (!item.step->gang || item.urgent() || item.step->long_running ||
            waiting_tasks(item) != item.step->count)
        {
            continue;
        }
        const auto known = m_gang_waiting_since.find(item.ref);
        const step_tasks tasks(*item.owner, item.ref);
        const bool first_attempt = item.step->after.empty() && tasks[0].run == 0;
        const wall_ms turn = std::max(item.owner->spec.due_at(item.ref.round), item.owner->accepted);
        const milliseconds waited{first_attempt ? std::max<wall_ms>(m_wall - turn, 0) : 0};
        since[item.ref] = known != m_gang_waiting_since.end() ? known->second : now - waited;
        gangs.push_back(item);
    }
    m_gang_waiting_since = std::move(since);
    std::sort(gangs.begin(), gangs.end(),
              [this](const candidate& a, const candidate& b)
              {
                  return std::make_tuple(m_gang_waiting_since.at(a.ref), a.ref) <
                         std::make_tuple(m_gang_waiting_since.at(b.ref), b.ref);
              });
    return gangs;
}

reservation_review dispatcher::begin_reservation_review(pool_number pool)
{
    resources room;
    resources in_use;
    for (std::size_t place = 0; place < m_hosts.size(); ++place)
    {
        const host_row& row = m_hosts.at(place);
        if (row.usable && row.pool == pool)
        {
            room += row.worker->description.size;
            in_use += row.worker->description.size - row.open;
        }
    }
    return {m_settings.reservations, room, in_use};
}

// Recomputes the reservations of the gangs that have waited longest; most reservations stay the same.
void dispatcher::review_reservations(const std::vector<candidate>& items, monotonic_time now)
{
    if (!uses(mechanism::reservations) || now < m_gang_review_due)
    {
        return;
    }
    m_gang_review_due = now + m_settings.reservations.review;
    m_gangs_short_of_hosts.clear();
    std::map<pool_number, reservation_review> reviews;
    std::map<step_ref, capacity_hold> next;
    std::map<step_ref, capacity_hold> kept; // the first of each pool, and those that can start now
    std::size_t max_reviewed = 0;
    for (candidate& item : gangs_by_waiting_time(items, now))
    {
        auto review = reviews.find(item.pool);
        if (review == reviews.end())
        {
            review = reviews.emplace(item.pool, begin_reservation_review(item.pool)).first;
        }
        item.permitted = permitted_tasks(item);
        if (!review->second.has_waited_enough(now - m_gang_waiting_since.at(item.ref)) ||
            item.permitted == 0 || has_suspect_in_backoff(item, now))
        {
            continue;
        }
        if (++max_reviewed > m_settings.reservations.max_reviewed)
        {
            break;
        }
        item.placed = placed_tasks(item);
        prepare_offers(item, now);
        std::optional<gang_reservation> found = find_reservation(item, next, now);
        if (found && found->ready_ms > 0.0)
        {
            // A gang that can start now may use the reservations of all but the first gang of the pool and of
            // gangs that can start now as well: two gangs with the same capacity reserved would wait for
            // ever.
            const std::optional<gang_reservation> at_once = find_reservation(item, kept, now);
            found = at_once && at_once->ready_ms <= 0.0 ? at_once : found;
        }
        const resources wanted = host_demand_of(*item.step) * item.step->count;
        if (!found)
        {
            m_gangs_short_of_hosts.insert(item.ref);
        }
        else if (review->second.admits(wanted, item.missed(), found->ready_ms))
        {
            review->second.add(wanted, item.missed());
            capacity_hold& made = next[item.ref] = make_reservation(item, *found, now);
            made.first = review->second.gangs() == 1;
            if (made.first || found->ready_ms <= 0.0)
            {
                kept[item.ref] = made;
            }
        }
    }
    set_reservations(std::move(next));
}

// Forecasts when the host can take one, two, ... tasks of the gang, beside the reservations in `before`.
host_forecast dispatcher::forecast_host(const candidate& item, const offer& o,
                                        const std::map<step_ref, capacity_hold>& before, monotonic_time now)
{
    const host_row& row = *m_hosts.find(o.worker->id);
    resources open = row.open;
    for (const auto& [ref, hold] : before)
    {
        const auto there = hold.tasks.find(o.worker->id);
        if (there != hold.tasks.end() &&
            !may_backfill(item.run_ms, hold.earliest_due, now, m_settings.reservations))
        {
            open -= hold.each * there->second;
        }
    }
    std::vector<run_forecast> runs = forecast_runs(o);
    if (row.view->planned != resources{})
    {
        runs.push_back({row.view->planned, planned_run_estimate_ms});
    }
    const auto held = m_holds.find(item.ref);
    host_forecast out;
    out.worker = o.worker->id;
    out.kept = held != m_holds.end() && held->second.ahead && held->second.tasks.contains(out.worker);
    out.ready_ms = times_until_slots_fit(
        open, std::move(runs),
        [this, &item, &o](const resources& room)
        {
            return slots(item, o.worker->id, room);
        },
        std::min(o.whole, item.step->count));
    return out;
}

std::optional<gang_reservation> dispatcher::find_reservation(const candidate& item,
                                                             const std::map<step_ref, capacity_hold>& before,
                                                             monotonic_time now)
{
    const std::vector<offer> offers = find_approved_offers(item, now);
    std::uint32_t whole = 0;
    for (const offer& o : offers)
    {
        whole += o.whole;
    }
    if (whole < item.step->count)
    {
        return std::nullopt;
    }
    std::vector<host_forecast> hosts;
    hosts.reserve(offers.size());
    for (const offer& o : offers)
    {
        hosts.push_back(forecast_host(item, o, before, now));
    }
    return choose_earliest_hosts(hosts, item.step->count);
}

capacity_hold dispatcher::make_reservation(const candidate& item, const gang_reservation& found,
                                           monotonic_time now)
{
    capacity_hold out;
    out.tasks = found.tasks;
    out.total = item.step->count;
    out.each = host_demand_of(*item.step);
    out.missed = item.missed();
    out.last_growth = now;
    out.ahead = true;
    out.due =
        now + std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(found.ready_ms));
    out.earliest_due = out.due;
    const auto before = m_holds.find(item.ref);
    if (before != m_holds.end() && before->second.ahead)
    {
        out.earliest_due =
            std::min(out.earliest_due, before->second.earliest_due); // others were backfilled until then
        return out;
    }
    log_event(now, "gang_reserved", name_of(item.ref),
              {{"tasks", out.total},
               {"hosts", out.tasks.size()},
               {"waited_ms", now - m_gang_waiting_since.at(item.ref)},
               {"ready_ms", static_cast<std::int64_t>(found.ready_ms)},
               {"missed", out.missed}});
    return out;
}

void dispatcher::set_reservations(std::map<step_ref, capacity_hold> next)
{
    std::vector<step_ref> over;
    for (const auto& [ref, hold] : m_holds)
    {
        const auto kept = next.find(ref);
        const bool same = kept != next.end() && hold.ahead && kept->second.tasks == hold.tasks;
        if (hold.ahead && !same)
        {
            over.push_back(ref);
        }
    }
    for (const step_ref& ref : over)
    {
        drop_hold(ref);
    }
    m_reserved_on.clear();
    for (auto& [ref, hold] : next)
    {
        for (const auto& [host, count] : hold.tasks)
        {
            m_reserved_on[host].push_back(ref);
        }
        const auto present = m_holds.find(ref);
        if (present != m_holds.end() && present->second.ahead)
        {
            present->second = std::move(hold);
        }
        else
        {
            set_hold(ref, std::move(hold));
        }
    }
}

bool dispatcher::has_reservation(const step_ref& ref) const
{
    const auto hold = m_holds.find(ref);
    return hold != m_holds.end() && hold->second.ahead;
}

// Capacity reserved on a host for other gangs: with `meantime` the part that the step may backfill, else the
// part that it may not use.
resources dispatcher::reserved_for_others(const candidate& item, worker_incarnation_id host, bool meantime,
                                          monotonic_time now) const
{
    resources sum;
    const auto there = m_reserved_on.find(host);
    if (there == m_reserved_on.end())
    {
        return sum;
    }
    const auto own = m_holds.find(item.ref);
    const bool at_once = own != m_holds.end() && own->second.ahead && own->second.due <= now;
    for (const step_ref& ref : there->second)
    {
        const auto hold = m_holds.find(ref);
        const bool passed = at_once && hold != m_holds.end() && hold->second.due > now && !hold->second.first;
        const bool counts = !passed && !(ref == item.ref) && hold != m_holds.end() && hold->second.ahead &&
                            hold->second.tasks.contains(host);
        if (counts &&
            may_backfill(item.run_ms, hold->second.earliest_due, now, m_settings.reservations) == meantime)
        {
            sum += hold->second.each * hold->second.tasks.at(host);
        }
    }
    return sum;
}

// Queries tickets for the reserved hosts shortly before they are due, and until then learns of other hosts or
// renews tickets.
void dispatcher::query_advisor_for_reservation(const candidate& item, monotonic_time now)
{
    const capacity_hold& hold = m_holds.at(item.ref);
    if (hold.due > now)
    {
        preempt_for(item, item.step->count, now);
    }
    const bool soon = item.queue != nullptr && hold.due <= now + expected_query_time(item, hold);
    if (!may_query_advisor(item, soon, now))
    {
        return;
    }
    if (soon)
    {
        m_advice.of(item.ref).ask_after = now + m_settings.advice_interval;
        send_advisor_query(item, hosts_without_ticket(item, hold, now), true, now);
    }
    else if (!query_more_hosts(item, now))
    {
        renew_tickets(item, now);
    }
}

} // namespace walkthread
