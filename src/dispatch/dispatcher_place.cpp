// dispatcher: choice of workers for the tasks of a step.

#include <walkthread/dispatch/dispatcher.hpp>

#include <algorithm>

#include <walkthread/workload/names.hpp>

namespace walkthread
{

namespace
{
// Interval of full scans for a waiting step: a host may become eligible again without capacity being freed.
constexpr duration full_scan_interval = milliseconds(100);

std::uint32_t count_slots(const resources& need, const resources& room)
{
    std::int64_t slots = UINT32_MAX;
    const auto limit = [&slots](std::int64_t ask, std::int64_t free)
    {
        if (ask > 0)
        {
            slots = std::min(slots, std::max<std::int64_t>(free, 0) / ask);
        }
    };
    limit(need.cpu, room.cpu);
    limit(need.memory, room.memory);
    limit(need.accelerators, room.accelerators);
    return static_cast<std::uint32_t>(slots);
}
} // namespace

// The number of further tasks of the step that a host with this free capacity may take. All code that
// counts slots uses this function: a host at the step's per-host limit has none, however much is free.
std::uint32_t dispatcher::slots(const candidate& item, worker_incarnation_id worker,
                                const resources& room) const
{
    std::uint32_t limit = item.step->per_host_limit > 0 ? item.step->per_host_limit : item.step->count;
    const auto placed = item.placed.find(worker);
    if (placed != item.placed.end())
    {
        limit -= std::min(limit, placed->second);
    }
    return std::min(limit, count_slots(host_demand_of(*item.step), room));
}

std::uint32_t dispatcher::waiting_tasks(const candidate& item) const
{
    const step_tasks tasks(*item.owner, item.ref);
    std::uint32_t planned = 0;
    for (auto at = m_planned.lower_bound(task_ref{item.ref, 0});
         at != m_planned.end() && at->first.step == item.ref; ++at)
    {
        planned += tasks[at->first.index].state() == work_phase::waiting ? 1 : 0;
    }
    return tasks.waiting() - planned;
}

// The step is ready, so some of its tasks wait, but starts may already be planned for all of them.
bool dispatcher::has_waiting_tasks(const candidate& item) const
{
    const auto planned = m_planned.lower_bound(task_ref{item.ref, 0});
    const bool none_planned = planned == m_planned.end() || planned->first.step != item.ref;
    return none_planned || waiting_tasks(item) > 0;
}

// The number of tasks of a step that may start without taking the state over its limit. Tasks that have begun
// before hardly add to it, and a gang starts as a whole.
std::uint32_t dispatcher::tasks_within_memory(const candidate& item) const
{
    const std::uint32_t next = item.owner->next_round;
    const bool further_round = item.ref.round.value() >= std::max(next, 1U);
    const std::uint64_t rounds = further_round ? 1 + item.ref.round.value() - next : 0;
    const std::uint64_t held = m_state.bytes() + m_planned_bytes + rounds * round_bytes(item.owner->spec);
    const std::uint64_t limit = further_round ? m_settings.state.accept_bytes : m_settings.state.start_bytes;
    const std::uint64_t fresh = held >= limit ? 0 : (limit - held) / task_bytes();
    const std::uint64_t begun = step_tasks(*item.owner, item.ref).waiting_again();
    const std::uint64_t places = item.step->gang && fresh + begun > 0 ? item.step->count : fresh + begun;
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(places, item.step->count));
}

// The number of tasks of a step that the quota of its organisation and the state's size still permit; for a
// gang all or none.
std::uint32_t dispatcher::permitted_tasks(const candidate& item) const
{
    const auto planned = m_planned_by_organisation.find(item.owner->organisation);
    const std::uint32_t places =
        m_state.quotas().places(item.owner->organisation, item.step->size,
                                planned == m_planned_by_organisation.end() ? resources{} : planned->second);
    const std::uint32_t permitted = std::min(places, tasks_within_memory(item));
    return item.step->gang && permitted < item.step->count ? 0 : permitted;
}

std::map<worker_incarnation_id, std::uint32_t> dispatcher::placed_tasks(const candidate& item) const
{
    std::map<worker_incarnation_id, std::uint32_t> out;
    if (item.step->per_host_limit == 0)
    {
        return out;
    }
    for (auto at = m_planned.lower_bound(task_ref{item.ref, 0});
         at != m_planned.end() && at->first.step == item.ref; ++at)
    {
        ++out[at->second];
    }
    for (const auto& [index, task] : step_tasks(*item.owner, item.ref).records())
    {
        if (task.state() == work_phase::active && !m_planned.contains(task_ref{item.ref, index}))
        {
            ++out[task.worker];
        }
    }
    return out;
}

// Capacity that a step may use on a host. Held capacity counts for the gang that holds it, for urgent and
// long-running work if nothing else is free, and for runs that end before a reservation is due.
resources dispatcher::available_resources(const candidate& item, const host_row& row,
                                          monotonic_time now) const
{
    if (item.urgent() || item.step->long_running)
    {
        return slots(item, row.worker->id, row.free) > 0 ? row.free : row.open;
    }
    const auto hold = m_holds.find(item.ref);
    const bool holds = hold != m_holds.end() && hold->second.tasks.contains(row.worker->id);
    if (holds && hold->second.ahead) // reservations take precedence over the holds of other gangs
    {
        return row.open - reserved_for_others(item, row.worker->id, false, now);
    }
    resources room = row.free;
    if (!m_reserved_on.empty())
    {
        room += reserved_for_others(item, row.worker->id, true, now);
    }
    if (holds)
    {
        room += hold->second.each * hold->second.tasks.at(row.worker->id);
    }
    return room;
}

// Takes the median of the faster half, so that up to a third of slow hosts does not lower it.
void dispatcher::update_typical_speed()
{
    std::vector<double> speeds;
    speeds.reserve(m_views.size());
    for (const auto& [id, view] : m_views)
    {
        speeds.push_back(view.speed);
    }
    if (speeds.empty())
    {
        return;
    }
    const auto at = speeds.begin() + static_cast<std::ptrdiff_t>(speeds.size() * 3 / 4);
    std::nth_element(speeds.begin(), at, speeds.end());
    m_typical_speed = *at;
}

bool dispatcher::is_eligible(const candidate& item, const host_row& row) const
{
    const bool open = row.usable || row.reason == host_availability::on_probation;
    if (!open || row.pool != item.pool)
    {
        return false;
    }
    const std::string& required = item.step->required_label;
    const auto& labels = row.worker->description.labels;
    return required.empty() || std::find(labels.begin(), labels.end(), required) != labels.end();
}

// The ticket for starting a task of the step on a worker; "-" if none is needed, empty if there is no valid
// one.
std::string_view dispatcher::ticket_for(const candidate& item, worker_incarnation_id worker,
                                        monotonic_time now)
{
    if (item.queue == nullptr || !item.queue->advised)
    {
        return "-";
    }
    const step_advice& known = m_advice.of(item.ref);
    const auto entry = known.entries.find(worker);
    const bool counts =
        entry != known.entries.end() && m_advice.usable(entry->second, now, m_settings.ticket_margin);
    return counts ? std::string_view(entry->second.ticket) : std::string_view{};
}

// Returns false if workers were considered but nothing could be started.
bool dispatcher::place(candidate& item, monotonic_time now)
{
    if (item.queue != nullptr && item.queue->advised)
    {
        const step_advice& known = m_advice.of(item.ref);
        if (known.pending_questions > 0 && known.entries.empty())
        {
            return true; // nothing is known until the first query is answered
        }
    }
    return item.step->gang ? place_gang(item, now) : place_individually(item, now);
}

// Sort key of hosts that may be unreachable although no call to them has failed; lower is better. Hosts come
// last if they have not answered since another host of their rack was suspected, or for longer than a poll is
// held open. Tasks lost with a host prefer the hosts with the latest contact, as waiting for a second lease
// to expire would double their delay.
int dispatcher::suspicion_penalty(const candidate& item, const host_row& row, monotonic_time now) const
{
    constexpr int most = 1000;
    constexpr milliseconds step{100};
    const auto& labels = row.worker->description.labels;
    const auto rack = labels.empty() ? m_suspected_racks.end() : m_suspected_racks.find(labels.back());
    const bool rack_lost = rack != m_suspected_racks.end() && rack->second > row.view->contact.last_heard();
    const duration unheard = row.view->contact.time_since_contact(now);
    if (rack_lost || unheard > m_settings.poll_wait + m_settings.poll_overdue)
    {
        return most;
    }
    return item.lost_with_host ? static_cast<int>(unheard / step) : 0;
}

dispatcher::offer dispatcher::make_offer(const candidate& item, const host_row& row, monotonic_time now)
{
    offer o;
    o.worker = row.worker;
    o.room = available_resources(item, row, now);
    o.slots = slots(item, row.worker->id, o.room);
    o.whole = o.room == row.worker->description.size
                  ? o.slots
                  : slots(item, row.worker->id, row.worker->description.size);
    const auto& labels = row.worker->description.labels;
    o.near_data = !item.step->preferred_rack.empty() &&
                  std::find(labels.begin(), labels.end(), item.step->preferred_rack) != labels.end();
    o.ticket = ticket_for(item, row.worker->id, now);
    o.speed = row.view->speed;
    o.slow = o.speed < m_settings.slow_speed_threshold * m_typical_speed;
    o.held = o.room != row.free;
    o.spares_large_slots = o.slots == 0 || !uses(mechanism::large_slots) ||
                           preserves_large_slots(o.room, host_demand_of(*item.step));
    o.watched = uses(mechanism::suspects_apart) &&
                m_suspects.has_foreign_suspect(row.worker->id, item.ref.submission, now);
    o.others_first = wait_for_other_hosts(item, row);
    o.slots = row.usable ? o.slots : trial_slots(item, *row.view, o.slots, now);
    o.contact_penalty = suspicion_penalty(item, row, now);
    o.mixes_serving_and_filling = (item.step->fills && row.view->serving > 0) ||
                                  (item.step->latency_target_ms > 0 && row.view->filling > 0);
    return o;
}

// All workers that the step may use soon, whether or not they have free capacity now.
std::vector<dispatcher::offer> dispatcher::find_offers(const candidate& item, monotonic_time now)
{
    std::vector<offer> offers;
    offers.reserve(m_hosts.size());
    for (std::size_t place = 0; place < m_hosts.size(); ++place)
    {
        const host_row& row = m_hosts.at(place);
        if (may_use_soon(item, row))
        {
            offers.push_back(make_offer(item, row, now));
        }
    }
    return offers;
}

bool dispatcher::is_approved(const candidate& item, worker_incarnation_id worker)
{
    if (item.queue == nullptr || !item.queue->advised)
    {
        return true;
    }
    const step_advice& known = m_advice.of(item.ref);
    const auto entry = known.entries.find(worker);
    return entry != known.entries.end() && entry->second.good;
}

// Workers that the advisor has approved for the step, whether or not their tickets are still valid.
std::vector<dispatcher::offer> dispatcher::find_approved_offers(const candidate& item, monotonic_time now)
{
    if (item.queue == nullptr || !item.queue->advised)
    {
        return find_offers(item, now);
    }
    std::vector<offer> offers;
    for (const auto& [id, entry] : m_advice.of(item.ref).entries)
    {
        const host_row* row = entry.good ? m_hosts.find(id) : nullptr;
        if (row != nullptr && may_use_soon(item, *row))
        {
            offers.push_back(make_offer(item, *row, now));
        }
    }
    return offers;
}

// Workers that can take a task of the step now: they have free slots, and a valid ticket if one is needed.
std::vector<dispatcher::offer> dispatcher::find_startable_offers(const candidate& item, monotonic_time now)
{
    std::vector<offer> offers = find_approved_offers(item, now);
    std::erase_if(offers,
                  [&item](const offer& o)
                  {
                      return !is_startable(item, o);
                  });
    return offers;
}

bool dispatcher::is_startable(const candidate& item, const offer& o)
{
    return o.slots > 0 && !o.ticket.empty() && item.unplaced >= o.others_first;
}

// Whether a host could still take as many large tasks, such as those of gangs, after starting this one.
bool dispatcher::preserves_large_slots(const resources& room, const resources& need) const
{
    return count_slots(m_large_task, room) == count_slots(m_large_task, room - need);
}

// ---------------------------------------------------------------------------------------------------------
// Tasks placed individually
// ---------------------------------------------------------------------------------------------------------

// Whether all hosts were scanned for the step a moment ago and had too little free capacity.
bool dispatcher::recently_scanned(const candidate& item, monotonic_time now) const
{
    const auto waits = m_waiting.find(item.ref);
    return waits != m_waiting.end() && now < waits->second.next_full_scan;
}

// Only considers hosts on which capacity became free since the step's last scan, as the others had none for
// it. With hundreds of waiting steps, scanning all their hosts each time would take most of a core.
std::vector<dispatcher::offer> dispatcher::find_offers_on_freed_hosts(candidate& item, monotonic_time now)
{
    const auto news = m_freed_hosts.since(m_waiting.at(item.ref).seen);
    if (!news)
    {
        prepare_offers(item, now);
        return find_startable_offers(item, now);
    }
    std::vector<const host_row*> freed;
    for (const worker_incarnation_id id : *news)
    {
        const host_row* row = is_approved(item, id) ? m_hosts.find(id) : nullptr;
        if (row != nullptr && is_eligible(item, *row))
        {
            freed.push_back(row);
        }
    }
    std::vector<offer> offers;
    if (!freed.empty())
    {
        prepare_offers(item, now);
    }
    for (const host_row* row : freed)
    {
        const offer o = make_offer(item, *row, now);
        if (is_startable(item, o))
        {
            offers.push_back(o);
        }
    }
    return offers;
}

// Chooses a host for each waiting task. Adds the number of tasks without a host to `left`.
void dispatcher::plan_tasks(const candidate& item, std::vector<offer>& offers,
                            std::vector<planned_start>& starts, std::vector<std::string>& tickets,
                            std::uint32_t& left) const
{
    const step_tasks tasks(*item.owner, item.ref);
    auto fit = offers.begin();
    for (std::uint32_t i = 0; i < tasks.size(); ++i)
    {
        const task_ref ref{item.ref, i};
        if (tasks[i].state() != work_phase::waiting || m_planned.contains(ref) || m_suspects.suspects(ref))
        {
            continue;
        }
        if (starts.size() >= item.permitted)
        {
            return; // the remaining tasks wait for their organisation's quota, not for capacity
        }
        while (fit != offers.end() && fit->slots == 0)
        {
            ++fit;
        }
        if (fit == offers.end())
        {
            ++left;
            continue;
        }
        --fit->slots;
        starts.push_back({ref, tasks[i].run + 1, fit->worker->id});
        tickets.emplace_back(fit->ticket);
    }
}

bool dispatcher::place_individually(candidate& item, monotonic_time now)
{
    const bool scanned_recently = recently_scanned(item, now);
    const std::uint64_t news = m_freed_hosts.position();
    if (!scanned_recently)
    {
        prepare_offers(item, now);
    }
    std::vector<offer> offers =
        scanned_recently ? find_offers_on_freed_hosts(item, now) : find_startable_offers(item, now);
    if (scanned_recently && offers.empty())
    {
        m_waiting.at(item.ref).seen = news;
        return true; // nothing was scanned, so it does not count as a failed placement
    }
    // After hosts that are risky or shared with work that would be disturbed are put last: prefers the rack
    // with the data, then capacity that is not held, fast hosts for urgent work and slow ones, which gangs
    // avoid, for other work, hosts that keep slots for large tasks, and the low end of the ids, as gangs fill
    // hosts from the high end.
    const bool urgent = item.urgent();
    std::sort(offers.begin(), offers.end(),
              [urgent](const offer& a, const offer& b)
              {
                  const auto key = [urgent](const offer& o)
                  {
                      return std::make_tuple(o.others_first, o.watched, o.contact_penalty,
                                             o.mixes_serving_and_filling, !o.near_data, o.held,
                                             urgent ? o.slow : !o.slow, !o.spares_large_slots,
                                             urgent ? -o.speed : 0.0, o.worker->id);
                  };
                  return key(a) < key(b);
              });
    std::vector<planned_start> starts;
    std::vector<std::string> tickets;
    std::uint32_t left = 0;
    const bool suspects_wait = !m_state.crashes().suspects().empty() &&
                               plan_crash_suspects(item, offers, starts, tickets, left, now);
    plan_tasks(item, offers, starts, tickets, left);
    if (!starts.empty())
    {
        propose_starts(item, starts, tickets, now);
    }
    if (left == 0)
    {
        m_waiting.erase(item.ref);
        return !starts.empty() || suspects_wait;
    }
    waiting_step& waits = m_waiting[item.ref];
    waits.seen = news;
    if (!scanned_recently)
    {
        waits.next_full_scan =
            now + (item.has_priority() ? duration(m_settings.advice_interval) : full_scan_interval);
        reserve_hosts(item, left, now);
        query_advisor(item, left, now);
        preempt_for(item, left, now);
    }
    return !starts.empty();
}

} // namespace walkthread
