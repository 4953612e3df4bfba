// The part of dispatcher that makes room: hosts kept free for gangs, and lesser runs stopped.

#include <walkthread/dispatch/dispatcher.hpp>

#include <algorithm>

#include <walkthread/workload/names.hpp>

namespace walkthread
{

namespace
{
constexpr duration reserve_gap =
    milliseconds(50);                 // between two attempts for one gang: each looks at all hosts
constexpr double stop_ms = 500;       // a stop takes up to 400 ms, and its end has to be seen
constexpr double least_left_ms = 700; // a run that ends sooner is waited for: a stop takes up to 400 ms
constexpr duration preempt_gap = milliseconds(600); // for one step: a stop, its end, and the commit of both
} // namespace

// When nothing that keeps a step from a host will run there any more, as far as estimates say.
duration dispatcher::free_in(const candidate& item, const offer& o) const
{
    if (o.slots >= o.whole)
    {
        return duration{0};
    }
    const worker_view& view = m_views.at(o.worker->id);
    double longest_ms = 0;
    for (const auto& [run, room] : o.worker->occupied)
    {
        const submission* owner = m_state.find(run.task.step.submission);
        const step_spec* step = m_state.find(run.task.step);
        const auto known = view.runs.find(run);
        if (step == nullptr || known == view.runs.end())
        {
            continue;
        }
        double left = m_objectives.expected_ms(owner->queue, *step) * (100.0 - known->second.percent) / 100.0;
        if (step->lasting)
        {
            return seconds(60); // not by itself
        }
        if (known->second.stopping || may_preempt(item, run, known->second))
        {
            left = std::min(left, stop_ms);
        }
        longest_ms = std::max(longest_ms, left);
    }
    return milliseconds(static_cast<std::int64_t>(longest_ms));
}

// Keeps the hosts that will be free first, of those that may run a gang, free of lesser work until it starts.
void dispatcher::reserve(const candidate& item, monotonic_time now)
{
    const bool late_one = item.missed && std::any_of(m_reservations.begin(), m_reservations.end(),
                                                     [](const auto& other)
                                                     {
                                                         return other.second.missed;
                                                     });
    monotonic_time& again = m_reserve_after[item.ref];
    if (m_reservations.contains(item.ref) || late_one || now < again)
    {
        return;
    }
    again = now + reserve_gap;
    std::vector<offer> offers = find_offers(item, now);
    std::erase_if(offers,
                  [this, &item](const offer& o)
                  {
                      return !surely_good(item, o.worker->id) || m_reserved.contains(o.worker->id) ||
                             o.whole == 0;
                  });
    std::sort(offers.begin(), offers.end(),
              [this, &item](const offer& a, const offer& b)
              {
                  return std::make_tuple(free_in(item, a), b.worker->id) <
                         std::make_tuple(free_in(item, b), a.worker->id);
              });
    reservation kept;
    kept.missed = item.missed;
    kept.since = now;
    std::uint32_t sum = 0;
    for (const offer& o : offers)
    {
        if (sum >= item.step->count)
        {
            break;
        }
        sum += o.whole;
        kept.hosts.push_back(o.worker->id);
    }
    const double limit = m_settings.most_reserved * static_cast<double>(m_rows.size());
    const bool too_many =
        !m_reserved.empty() && static_cast<double>(m_reserved.size() + kept.hosts.size()) > limit;
    if (sum < item.step->count || too_many)
    {
        return;
    }
    for (const worker_life_id host : kept.hosts)
    {
        m_reserved[host] = item.ref;
    }
    note(now, "hosts_reserved", name_of(item.ref),
         {{"hosts", kept.hosts.size()},
          {"slack_ms", static_cast<std::int64_t>(item.slack_ms)},
          {"missed", item.missed},
          {"reservations", m_reservations.size() + 1}});
    m_reservations[item.ref] = std::move(kept);
}

void dispatcher::drop_reservation(const step_ref& ref)
{
    const auto found = m_reservations.find(ref);
    if (found == m_reservations.end())
    {
        return;
    }
    for (const worker_life_id host : found->second.hosts)
    {
        m_reserved.erase(host);
    }
    m_reservations.erase(found);
}

// Reservations end with their step, and when a host of theirs can no longer be used.
void dispatcher::review_reservations(monotonic_time now)
{
    std::vector<step_ref> over;
    for (const auto& [ref, kept] : m_reservations)
    {
        const bool usable =
            std::all_of(kept.hosts.begin(), kept.hosts.end(),
                        [this, now](worker_life_id host)
                        {
                            const auto view = m_views.find(host);
                            return view != m_views.end() && view->second.usable(now, m_settings);
                        });
        const bool stale = now - kept.since > m_settings.reservation_lasts;
        if (stale)
        {
            m_reserve_after[ref] = now + m_settings.reservation_lasts;
        }
        if (!usable || stale || !m_state.ready().contains(ref))
        {
            over.push_back(ref);
        }
    }
    for (const step_ref& ref : over)
    {
        drop_reservation(ref);
    }
}

// Tickets last about as long as two questions take: they are asked for when the reserved hosts are about
// free.
bool dispatcher::reserved_hosts_ready_soon(const candidate& item, monotonic_time now)
{
    const auto kept = m_reservations.find(item.ref);
    if (kept == m_reservations.end())
    {
        return false;
    }
    std::uint32_t soon = 0;
    for (const offer& o : find_offers(item, now))
    {
        const bool own = std::find(kept->second.hosts.begin(), kept->second.hosts.end(), o.worker->id) !=
                         kept->second.hosts.end();
        soon += own && free_in(item, o) <= m_settings.ticket_ahead ? o.whole : 0;
    }
    return soon >= item.step->count;
}

bool dispatcher::surely_good(const candidate& item, worker_life_id worker)
{
    if (item.queue == nullptr || !item.queue->advised)
    {
        return true;
    }
    const step_advice& known = m_advice.of(item.ref);
    const auto entry = known.entries.find(worker);
    return entry != known.entries.end() && entry->second.good;
}

// What a run would lose by a stop is small where it has checkpoints; others are left to end.
bool dispatcher::may_preempt(const candidate& item, const run_ref& run, const run_view& known) const
{
    const submission* owner = m_state.find(run.task.step.submission);
    const step_spec* step = m_state.find(run.task.step);
    if (step == nullptr || known.stopping || !known.listed || !m_state.held_catalogue())
    {
        return false;
    }
    const queue_spec* queue = find_queue_by_name(*m_state.held_catalogue(), owner->queue);
    const bool lesser = queue != nullptr && item.queue != nullptr && queue->priority > item.queue->priority;
    const double left = m_objectives.expected_ms(owner->queue, *step) * (100.0 - known.percent) / 100.0;
    return lesser && step->checkpoints && !step->gang && !step->lasting && left > least_left_ms;
}

void dispatcher::preempt_for(const candidate& item, std::uint32_t need, monotonic_time now)
{
    const bool pressing =
        item.urgent() ||
        (item.step->gang && item.slack_ms < static_cast<double>(m_settings.gang_preempt.count()));
    if (item.missed || !pressing || now < m_preempted[item.ref] + preempt_gap)
    {
        return;
    }
    m_preempted[item.ref] = now;
    const resources room = room_of(*item.step);
    std::uint32_t found = 0;
    std::vector<offer> offers = find_offers(item, now);
    std::sort(offers.begin(), offers.end(),
              [](const offer& a, const offer& b)
              {
                  return std::make_tuple(b.room.cpu, b.worker->id) <
                         std::make_tuple(a.room.cpu, a.worker->id);
              });
    for (const offer& o : offers)
    {
        const auto reserved = m_reserved.find(o.worker->id);
        const bool own = item.urgent() || (reserved != m_reserved.end() && reserved->second == item.ref);
        if (found >= need || !surely_good(item, o.worker->id) || !own)
        {
            continue;
        }
        found += preempt_on(item, o, room, need - found, now);
    }
}

// Stops lesser runs on one host until `need` tasks of the step fit, if that can be reached.
// Returns how many tasks it makes room for.
std::uint32_t dispatcher::preempt_on(const candidate& item, const offer& o, const resources& room,
                                     std::uint32_t need, monotonic_time now)
{
    worker_view& view = m_views[o.worker->id];
    resources coming = o.room;
    std::vector<run_ref> victims;
    std::uint32_t fit = slots(item, coming);
    for (const auto& [run, known] : view.runs)
    {
        const auto held = o.worker->occupied.find(run);
        if (held == o.worker->occupied.end())
        {
            continue;
        }
        if (known.stopping)
        {
            coming += held->second;
            fit = slots(item, coming);
            continue;
        }
        const bool useful = room.cpu == 0 || held->second.cpu > 0;
        if (fit < need && useful && may_preempt(item, run, known))
        {
            coming += held->second;
            victims.push_back(run);
            fit = slots(item, coming);
        }
    }
    const std::uint32_t before = slots(item, o.room);
    if (victims.empty() || fit <= before)
    {
        return fit;
    }
    for (const run_ref& run : victims)
    {
        note(now, "run_preempted", name_of(run),
             {{"for", name_of(item.ref)},
              {"slack_ms", static_cast<std::int64_t>(item.slack_ms)},
              {"percent", view.runs[run].percent}});
        send_stop(view, run, now);
        ++m_counters.preemptions;
    }
    return fit;
}

} // namespace walkthread
