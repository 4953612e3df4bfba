// dispatcher: gangs, whose tasks all start together, and capacity holds, which they gather until all tasks
// fit.

#include <walkthread/dispatch/dispatcher.hpp>

#include <algorithm>

#include <walkthread/dispatch/gathering.hpp>

#include <walkthread/workload/names.hpp>

namespace walkthread
{

namespace
{
constexpr std::int64_t large_task_smoothing = 8; // divisor of the moving average of gang task sizes
constexpr double overquery_factor = 1.5;         // margin over the need: approval rates are averages
// Workers per query: naming them takes about as long again as the fixed part of a query.
constexpr std::size_t workers_per_query = 64;
// Bounds the scans of gangs without a hold: many wait, and each attempt scans all hosts of the gang.
constexpr duration gang_retry_interval = milliseconds(120);
constexpr std::size_t min_queried_workers = 8; // most of a query's cost is fixed
} // namespace

void dispatcher::update_large_task_size(const candidate& item)
{
    if (item.urgent())
    {
        return;
    }
    const auto follow = [](std::int64_t& learned, std::int64_t seen)
    {
        learned = learned == 0 ? seen : learned + (seen - learned) / large_task_smoothing;
    };
    follow(m_large_task.cpu, item.step->size.cpu);
    follow(m_large_task.memory, item.step->size.memory);
    // The maximum, as accelerator counts vary more and the largest gangs cannot use a host that lacks one.
    m_large_task.accelerators = std::max(item.step->size.accelerators, m_large_task.accelerators);
}

// Gangs that need some of a host's accelerators avoid hosts that could serve gangs that need all of them.
// Gangs without accelerators go where most of their tasks fit: avoiding hosts kept the largest of them
// waiting.
bool dispatcher::preserves_accelerators(const candidate& item, const offer& o)
{
    return item.step->size.accelerators == 0 || o.spares_large_slots;
}

bool dispatcher::has_crash_suspects(const candidate& item) const
{
    const auto& suspects = m_state.crashes().suspects();
    const auto first = suspects.lower_bound(task_ref{item.ref, 0});
    return first != suspects.end() && first->first.step == item.ref;
}

bool dispatcher::has_suspect_in_backoff(const candidate& item, monotonic_time now) const
{
    for (std::uint32_t i = 0; i < item.step->count && !m_state.crashes().suspects().empty(); ++i)
    {
        const task_ref member{item.ref, i};
        if (m_suspects.suspects(member) && m_suspects.in_backoff(member, now))
        {
            return true;
        }
    }
    return false;
}

bool dispatcher::place_gang(candidate& item, monotonic_time now)
{
    const bool holds = m_holds.contains(item.ref);
    const bool backing_off = !holds && !item.urgent() && now < m_gang_retry_at[item.ref];
    if (backing_off || has_suspect_in_backoff(item, now) || waiting_tasks(item) != item.step->count)
    {
        return true;
    }
    m_gang_retry_at[item.ref] = now + gang_retry_interval;
    prepare_offers(item, now);
    update_large_task_size(item);
    if (start_gang(item, now))
    {
        return true;
    }
    if (item.urgent()) // urgent gangs are small and placed first, so nothing is held for them
    {
        query_advisor(item, item.step->count, now);
        preempt_for(item, item.step->count, now);
        return false;
    }
    if (has_reservation(item.ref))
    {
        const bool due = m_holds.at(item.ref).due <= now;
        m_gang_wait_times.note(item.ref, due ? gang_wait::tickets : gang_wait::reservation, now);
        query_advisor_for_reservation(item, now);
        return false;
    }
    m_gang_wait_times.note(item.ref, hold_resources(item, now), now);
    query_advisor_for_gang(item, now);
    const std::uint32_t held = held_tasks(item.ref);
    if (held < item.step->count)
    {
        preempt_for(item, item.step->count - held, now);
    }
    return false;
}

// Starts a gang if all of its tasks fit now and have tickets.
bool dispatcher::start_gang(const candidate& item, monotonic_time now)
{
    std::vector<offer> offers = find_startable_offers(item, now);
    std::uint32_t sum = 0;
    for (const offer& o : offers)
    {
        sum += o.slots;
    }
    if (sum < item.step->count)
    {
        return false;
    }
    log_gang_wait(item, now);
    plan_gang_start(item, std::move(offers), now);
    return true;
}

void dispatcher::log_gang_wait(const candidate& item, monotonic_time now)
{
    if (item.urgent())
    {
        return;
    }
    const gang_wait_durations spent = m_gang_wait_times.take(item.ref, now);
    const auto of = [&spent](gang_wait cause)
    {
        return spent.at(static_cast<std::size_t>(cause));
    };
    log_event(now, "gang_waited", name_of(item.ref),
              {{"tasks", item.step->count},
               {"slack_ms", static_cast<std::int64_t>(item.slack_ms)},
               {"missed", item.missed()},
               {"hosts_ms", of(gang_wait::hosts)},
               {"turn_ms", of(gang_wait::turn)},
               {"capacity_ms", of(gang_wait::capacity)},
               {"backoff_ms", of(gang_wait::backoff)},
               {"gathering_ms", of(gang_wait::gathering)},
               {"tickets_ms", of(gang_wait::tickets)},
               {"reservation_ms", of(gang_wait::reservation)}});
}

void dispatcher::plan_gang_start(const candidate& item, std::vector<offer> offers, monotonic_time now)
{
    std::map<std::string, std::uint32_t> by_rack;
    for (const offer& o : offers)
    {
        by_rack[o.rack()] += o.slots;
    }
    std::string only_rack;
    for (const auto& [rack, free] : by_rack)
    {
        const bool whole = item.step->same_rack && free >= item.step->count;
        only_rack = whole ? rack : only_rack;
    }
    if (by_rack.contains(item.step->preferred_rack) && by_rack[item.step->preferred_rack] >= item.step->count)
    {
        only_rack = item.step->preferred_rack;
    }
    // Urgent gangs are small and go to the fastest hosts, from the low end of the ids. Others fill whole
    // hosts, from the high end.
    const bool small = item.urgent();
    std::sort(offers.begin(), offers.end(),
              [small, &item](const offer& a, const offer& b)
              {
                  const auto key = [small, &item](const offer& o)
                  {
                      return small ? std::make_tuple(o.others_first, o.watched, o.contact_penalty, false,
                                                     -o.speed, std::int64_t{o.worker->id.value()})
                                   : std::make_tuple(o.others_first, o.watched, o.contact_penalty,
                                                     !preserves_accelerators(item, o),
                                                     -static_cast<double>(o.slots),
                                                     -std::int64_t{o.worker->id.value()});
                  };
                  return key(a) < key(b);
              });
    const step_tasks tasks(*item.owner, item.ref);
    std::uint32_t run = 1;
    for (const auto& [index, task] : tasks.records())
    {
        run = std::max(run, task.run + 1);
    }
    std::vector<planned_start> starts;
    std::vector<std::string> tickets;
    for (const offer& o : offers)
    {
        const bool elsewhere = !only_rack.empty() && o.rack() != only_rack;
        for (std::uint32_t n = 0; !elsewhere && n < o.slots && starts.size() < tasks.size(); ++n)
        {
            starts.push_back(
                {task_ref{item.ref, static_cast<std::uint32_t>(starts.size())}, run, o.worker->id});
            tickets.emplace_back(o.ticket);
        }
    }
    propose_starts(item, starts, tickets, now);
}

// ---------------------------------------------------------------------------------------------------------
// Capacity holds
// ---------------------------------------------------------------------------------------------------------

std::uint32_t dispatcher::held_tasks(const step_ref& ref) const
{
    const auto hold = m_holds.find(ref);
    return hold == m_holds.end() ? 0 : hold->second.total;
}

// Limits how many gangs gather capacity at a time: what they hold stays idle until all tasks fit.
bool dispatcher::may_gather(const candidate& item) const
{
    if (m_holds.contains(item.ref))
    {
        return true;
    }
    gathering_demand others;
    for (const auto& [ref, hold] : m_holds)
    {
        const step_spec* step = m_state.find(ref);
        const bool before = item.missed() || !hold.missed; // holds of late gangs do not block others
        if (hold.is_gathering && before && step != nullptr && hold.total < step->count)
        {
            ++others.gangs;
            others.wanted += hold.each * step->count;
        }
    }
    return may_start_gathering(others, host_demand_of(*item.step) * item.step->count,
                               m_hosts.capacity_of(item.pool), m_settings.gathering);
}

void dispatcher::set_hold(const step_ref& ref, capacity_hold next)
{
    drop_hold(ref);
    if (next.total == 0)
    {
        return;
    }
    for (const auto& [host, count] : next.tasks)
    {
        m_hosts.hold(host, next.each * count);
    }
    m_holds[ref] = std::move(next);
}

void dispatcher::drop_hold(const step_ref& ref)
{
    const auto hold = m_holds.find(ref);
    if (hold == m_holds.end())
    {
        return;
    }
    for (const auto& [host, count] : hold->second.tasks)
    {
        m_hosts.release(host, hold->second.each * count);
        m_freed_hosts.note(host);
    }
    m_holds.erase(hold);
}

// Holds free capacity on approved hosts until all tasks of the gang fit. Prefers the hosts on which the gang
// already holds some. Returns what the gang waits for then.
gang_wait dispatcher::hold_resources(const candidate& item, monotonic_time now)
{
    const auto before = m_holds.find(item.ref);
    const std::uint32_t held_before = before == m_holds.end() ? 0 : before->second.total;
    std::vector<offer> offers = find_approved_offers(item, now);
    std::uint32_t sum = 0;
    std::uint32_t whole = 0;
    for (const offer& o : offers)
    {
        sum += o.slots;
        whole += o.whole;
    }
    const bool backing_off = m_hold_backoff_until.contains(item.ref) && now < m_hold_backoff_until[item.ref];
    const bool has_turn = sum >= item.step->count || may_gather(item);
    if (sum == 0 || (sum < item.step->count && (backing_off || !has_turn)))
    {
        drop_hold(item.ref);
        return whole < item.step->count ? gang_wait::hosts
               : backing_off            ? gang_wait::backoff
               : !has_turn              ? gang_wait::turn
                                        : gang_wait::capacity;
    }
    const auto own = [&](const offer& o)
    {
        return before != m_holds.end() && before->second.tasks.contains(o.worker->id);
    };
    std::sort(offers.begin(), offers.end(),
              [&own, &item](const offer& a, const offer& b)
              {
                  const auto key = [&own, &item](const offer& o)
                  {
                      return std::make_tuple(-o.others_first, own(o), preserves_accelerators(item, o),
                                             o.slots, o.worker->id);
                  };
                  return key(b) < key(a);
              });
    capacity_hold next;
    next.each = host_demand_of(*item.step);
    next.missed = item.missed();
    for (const offer& o : offers)
    {
        const std::uint32_t count = std::min(o.slots, item.step->count - next.total);
        if (count > 0)
        {
            next.tasks[o.worker->id] = count;
            next.total += count;
        }
    }
    next.last_growth = next.total > held_before || before == m_holds.end() ? now : before->second.last_growth;
    if (held_before == 0)
    {
        log_event(now, "room_held", name_of(item.ref),
                  {{"tasks", next.total},
                   {"of", item.step->count},
                   {"hosts", next.tasks.size()},
                   {"slack_ms", static_cast<std::int64_t>(item.slack_ms)},
                   {"missed", item.missed()},
                   {"holds", m_holds.size() + 1}});
    }
    const gang_wait waits_for = next.total < item.step->count ? gang_wait::gathering : gang_wait::tickets;
    set_hold(item.ref, std::move(next));
    return whole < item.step->count ? gang_wait::hosts : waits_for;
}

// Drops holds of steps that no longer wait and holds that have not grown for a while, as the held capacity
// is idle.
void dispatcher::expire_holds(monotonic_time now)
{
    std::vector<step_ref> over;
    for (const auto& [ref, hold] : m_holds)
    {
        const step_spec* step = m_state.find(ref);
        const bool waits = step != nullptr && m_state.ready().contains(ref);
        const bool stale = !hold.ahead && now - hold.last_growth > m_settings.hold_timeout;
        if (stale && waits)
        {
            m_hold_backoff_until[ref] = now + m_settings.hold_timeout;
            log_event(now, "room_given_up", name_of(ref), {{"tasks", hold.total}, {"of", step->count}});
        }
        if (!waits || stale)
        {
            over.push_back(ref);
        }
    }
    for (const step_ref& ref : over)
    {
        drop_hold(ref);
    }
}

// ---------------------------------------------------------------------------------------------------------
// Advice
// ---------------------------------------------------------------------------------------------------------

// The time to expect for a query about all hosts of a hold, queueing included: while queries queue, tickets
// of the other hosts would expire before a query about some of them is answered.
milliseconds dispatcher::expected_query_time(const candidate& item, const capacity_hold& hold)
{
    const advice_settings& terms = item.queue->advice;
    const double question_ms = terms.decision_ms + terms.each_ms * static_cast<double>(hold.tasks.size());
    return std::max(std::chrono::duration_cast<milliseconds>(m_advice.of(item.ref).last_duration),
                    milliseconds(static_cast<std::int64_t>(question_ms)));
}

// Hosts of the hold whose tickets would expire before a query about all of them is answered.
std::vector<worker_incarnation_id>
dispatcher::hosts_without_ticket(const candidate& item, const capacity_hold& hold, monotonic_time now)
{
    const step_advice& known = m_advice.of(item.ref);
    const milliseconds needed = m_settings.ticket_margin + expected_query_time(item, hold);
    std::vector<worker_incarnation_id> hosts;
    for (const auto& [host, count] : hold.tasks)
    {
        const auto entry = known.entries.find(host);
        const bool lasts = entry != known.entries.end() && m_advice.usable(entry->second, now, needed);
        if (!lasts && hosts.size() < max_workers_per_question)
        {
            hosts.push_back(host);
        }
    }
    return hosts;
}

// First queries the advisor about enough hosts; once capacity for all tasks is held on approved hosts,
// queries tickets for these.
void dispatcher::query_advisor_for_gang(const candidate& item, monotonic_time now)
{
    const auto hold = m_holds.find(item.ref);
    const bool complete = hold != m_holds.end() && hold->second.total >= item.step->count;
    if (!may_query_advisor(item, complete || m_gangs_short_of_hosts.contains(item.ref), now))
    {
        return;
    }
    if (complete)
    {
        m_advice.of(item.ref).ask_after = now + m_settings.advice_interval;
        send_advisor_query(item, hosts_without_ticket(item, hold->second, now), complete, now);
        return;
    }
    if (!query_more_hosts(item, now))
    {
        renew_tickets(item, now);
    }
}

// Queries the advisor about more workers if the approved ones do not suffice. Returns whether it sent a
// query.
bool dispatcher::query_more_hosts(const candidate& item, monotonic_time now)
{
    // Query processes are few: late gangs, which are worth less, use them only while they are idle.
    const bool short_of_hosts = m_gangs_short_of_hosts.contains(item.ref);
    if (item.missed() && !short_of_hosts && m_hooks.advisors_idle && !m_hooks.advisors_idle())
    {
        return false;
    }
    step_advice& known = m_advice.of(item.ref);
    known.ask_after = now + m_settings.advice_interval;
    std::vector<worker_incarnation_id> asked;
    double expected_slots = 0;
    double unknown_free = 0;
    const double share = m_advice.good_share(item.owner->queue_key());
    std::vector<offer> unknown;
    for (const offer& o : find_offers(item, now))
    {
        const auto entry = known.entries.find(o.worker->id);
        if (entry == known.entries.end() && o.whole > 0)
        {
            unknown.push_back(o);
            unknown_free += share * o.slots;
        }
        expected_slots += entry != known.entries.end() && entry->second.good ? o.whole : 0;
    }
    const double missing = item.step->count - held_tasks(item.ref);
    const bool reached = expected_slots >= m_settings.gang_candidate_factor * item.step->count;
    // Unless unknown hosts have enough free capacity now.
    if (!short_of_hosts && reached && unknown_free < missing * overquery_factor)
    {
        return false;
    }
    // Only a few hosts are named: a heap yields the best ones without sorting all.
    const auto has_less_capacity = [](const offer& a, const offer& b)
    {
        return std::make_tuple(-a.others_first, a.slots, a.whole, a.worker->id) <
               std::make_tuple(-b.others_first, b.slots, b.whole, b.worker->id);
    };
    std::make_heap(unknown.begin(), unknown.end(), has_less_capacity);
    double expected_free_slots = 0;
    for (auto end = unknown.end(); end != unknown.begin(); --end)
    {
        std::pop_heap(unknown.begin(), end, has_less_capacity);
        const offer& o = *std::prev(end);
        const bool newly_reached =
            !reached && expected_slots >= m_settings.gang_candidate_factor * item.step->count;
        const bool enough =
            !short_of_hosts && (newly_reached || expected_free_slots >= missing * overquery_factor);
        if ((enough && asked.size() >= min_queried_workers) || asked.size() >= max_workers_per_question)
        {
            break;
        }
        asked.push_back(o.worker->id);
        expected_free_slots += share * o.slots;
        expected_slots += share * o.whole;
    }
    // Split into concurrent queries, as a query takes longer the more workers it names.
    for (std::size_t begin = 0; begin < asked.size(); begin += workers_per_query)
    {
        const auto first = asked.begin() + static_cast<std::ptrdiff_t>(begin);
        const auto last =
            asked.begin() + static_cast<std::ptrdiff_t>(std::min(begin + workers_per_query, asked.size()));
        send_advisor_query(item, {first, last}, item.urgent(), now);
    }
    return !asked.empty();
}

} // namespace walkthread
