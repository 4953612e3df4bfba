// The half of dispatcher that chooses workers for the tasks of a step.

#include <walkthread/dispatch/dispatcher.hpp>

#include <algorithm>

#include <walkthread/workload/names.hpp>

namespace walkthread
{

namespace
{
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

resources dispatcher::open_room(const worker_life& worker, const worker_view& view) const
{
    return worker.facts.size - worker.used - view.planned;
}

// How many more tasks of the step may go to a host with so much room. Everything that counts places asks
// this: what is at the step's limit a host has none, however much room is free.
std::uint32_t dispatcher::slots(const candidate& item, worker_life_id worker, const resources& room) const
{
    std::uint32_t limit = item.step->per_host_limit > 0 ? item.step->per_host_limit : item.step->count;
    const auto placed = item.placed.find(worker);
    if (placed != item.placed.end())
    {
        limit -= std::min(limit, placed->second);
    }
    return std::min(limit, count_slots(room_of(*item.step), room));
}

std::uint32_t dispatcher::waiting_tasks(const candidate& item) const
{
    const auto& tasks = item.owner->rounds[item.ref.round.value()].steps[item.ref.step].tasks;
    std::uint32_t waiting = 0;
    for (std::uint32_t i = 0; i < tasks.size(); ++i)
    {
        const bool free =
            tasks[i].state() == work_phase::waiting && !m_planned.contains(task_ref{item.ref, i});
        waiting += free ? 1 : 0;
    }
    return waiting;
}

std::map<worker_life_id, std::uint32_t> dispatcher::placed_tasks(const candidate& item) const
{
    std::map<worker_life_id, std::uint32_t> out;
    if (item.step->per_host_limit == 0)
    {
        return out;
    }
    const auto& tasks = item.owner->rounds[item.ref.round.value()].steps[item.ref.step].tasks;
    for (std::uint32_t i = 0; i < tasks.size(); ++i)
    {
        const auto planned = m_planned.find(task_ref{item.ref, i});
        if (planned != m_planned.end())
        {
            ++out[planned->second];
        }
        else if (tasks[i].state() == work_phase::active)
        {
            ++out[tasks[i].worker];
        }
    }
    return out;
}

// Room on a host for tasks of a step. What is held for gangs counts for the gang itself, and for urgent and
// lasting work where there is no other.
resources dispatcher::room_for(const candidate& item, const host_row& row) const
{
    if (item.urgent() || item.step->lasting)
    {
        return slots(item, row.worker->id, row.free) > 0 ? row.free : row.open;
    }
    const auto hold = m_holds.find(item.ref);
    if (hold == m_holds.end())
    {
        return row.free;
    }
    const auto own = hold->second.tasks.find(row.worker->id);
    resources room = row.free;
    if (own != hold->second.tasks.end())
    {
        room += hold->second.each * own->second;
    }
    return room;
}

// One row a worker for this pass, so that steps do not look everything up again.
void dispatcher::prepare_rows(monotonic_time now)
{
    m_rows.clear();
    m_row_of.clear();
    m_rows.reserve(m_state.workers().size());
    for (const auto& [id, worker] : m_state.workers())
    {
        host_row row;
        row.worker = &worker;
        row.view = &m_views.at(id);
        row.open = open_room(worker, *row.view);
        const auto held = m_held.find(id);
        row.free = held == m_held.end() ? row.open : row.open - held->second;
        row.usable = row.view->usable(now, m_settings) && !worker.leaving &&
                     !m_upkeep_hosts.contains(worker.facts.host);
        m_row_of.emplace(id, m_rows.size());
        m_rows.push_back(row);
    }
}

// The median of the faster half, so that a third of slow hosts does not pull it down.
void dispatcher::learn_usual_speed()
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
    m_usual_speed = *at;
}

bool dispatcher::allowed(const candidate& item, const host_row& row) const
{
    if (!row.usable || row.worker->facts.pool != item.owner->pool)
    {
        return false;
    }
    const auto& labels = row.worker->facts.labels;
    const std::string& required = item.step->required_label;
    return required.empty() || std::find(labels.begin(), labels.end(), required) != labels.end();
}

// The ticket to start a task of the step there; "-" where none is needed, empty where none counts.
std::string dispatcher::ticket_for(const candidate& item, worker_life_id worker, monotonic_time now)
{
    if (item.queue == nullptr || !item.queue->advised)
    {
        return "-";
    }
    const step_advice& known = m_advice.of(item.ref);
    const auto entry = known.entries.find(worker);
    const bool counts =
        entry != known.entries.end() && m_advice.usable(entry->second, now, m_settings.ticket_margin);
    return counts ? entry->second.ticket : std::string{};
}

// Returns false if workers were looked at in vain.
bool dispatcher::place(const candidate& item, monotonic_time now)
{
    if (item.queue != nullptr && item.queue->advised)
    {
        const step_advice& known = m_advice.of(item.ref);
        if (known.open_questions > 0 && known.entries.empty())
        {
            return true; // nothing is known yet, and the question is on its way
        }
    }
    return item.step->gang ? place_gang(item, now) : place_each(item, now);
}

// Workers that failed this step before are left out, as long as others may take it.
std::set<worker_life_id> dispatcher::failed_before(const candidate& item)
{
    const auto& tasks = item.owner->rounds[item.ref.round.value()].steps[item.ref.step].tasks;
    std::set<worker_life_id> failed;
    for (const work_task& task : tasks)
    {
        if (task.failed_on.value() != 0 && task.state() == work_phase::waiting)
        {
            failed.insert(task.failed_on);
        }
    }
    if (failed.empty() || !uses(mechanism::failed_hosts))
    {
        return {};
    }
    const bool advised = item.queue != nullptr && item.queue->advised;
    const step_advice& known = m_advice.of(item.ref);
    double others = 0;
    for (const host_row& row : m_rows)
    {
        const worker_life_id id = row.worker->id;
        const auto entry = known.entries.find(id);
        const bool bad = advised && entry != known.entries.end() && !entry->second.good;
        if (!bad && !failed.contains(id) && allowed(item, row))
        {
            const bool sure = !advised || entry != known.entries.end();
            others += (sure ? 1.0 : m_advice.good_share(item.owner->queue)) *
                      slots(item, id, row.worker->facts.size);
        }
    }
    const double need = item.step->gang ? item.step->count : 1;
    return others >= need * 2 ? failed : std::set<worker_life_id>{};
}

dispatcher::offer dispatcher::make_offer(const candidate& item, const host_row& row, monotonic_time now)
{
    offer o;
    o.worker = row.worker;
    o.room = room_for(item, row);
    o.slots = slots(item, row.worker->id, o.room);
    o.whole = slots(item, row.worker->id, row.worker->facts.size);
    const auto& labels = row.worker->facts.labels;
    o.near = !item.step->preferred_rack.empty() &&
             std::find(labels.begin(), labels.end(), item.step->preferred_rack) != labels.end();
    o.ticket = ticket_for(item, row.worker->id, now);
    o.speed = row.view->speed;
    o.slow = o.speed < m_settings.slow_below * m_usual_speed;
    o.held = o.room != row.free;
    o.keeps_large = !uses(mechanism::large_slots) || keeps_large_slots(o.room, room_of(*item.step));
    o.disturbs = (item.step->fills && row.view->serving > 0) ||
                 (item.step->latency_target_ms > 0 && row.view->filling > 0);
    return o;
}

// All workers that may ever take the step, as far as is known.
std::vector<dispatcher::offer> dispatcher::find_offers(const candidate& item, monotonic_time now)
{
    const std::set<worker_life_id> failed = failed_before(item);
    std::vector<offer> offers;
    offers.reserve(m_rows.size());
    for (const host_row& row : m_rows)
    {
        if (allowed(item, row) && !failed.contains(row.worker->id))
        {
            offers.push_back(make_offer(item, row, now));
        }
    }
    return offers;
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

// Workers that may run the step as far as the advisor has said, whether or not a ticket still counts.
std::vector<dispatcher::offer> dispatcher::find_good_offers(const candidate& item, monotonic_time now)
{
    if (item.queue == nullptr || !item.queue->advised)
    {
        return find_offers(item, now);
    }
    std::vector<offer> offers;
    const std::set<worker_life_id> failed = failed_before(item);
    for (const auto& [id, entry] : m_advice.of(item.ref).entries)
    {
        const auto row = m_row_of.find(id);
        const bool known = row != m_row_of.end() && entry.good && !failed.contains(id);
        if (known && allowed(item, m_rows[row->second]))
        {
            offers.push_back(make_offer(item, m_rows[row->second], now));
        }
    }
    return offers;
}

// Those that can take a task of the step now: room, and a ticket where one is needed.
std::vector<dispatcher::offer> dispatcher::find_open_offers(const candidate& item, monotonic_time now)
{
    std::vector<offer> offers = find_good_offers(item, now);
    std::erase_if(offers,
                  [](const offer& o)
                  {
                      return o.slots == 0 || o.ticket.empty();
                  });
    return offers;
}

// Tasks of gangs are large; a lesser task that leaves as many of them room as before does no harm there.
bool dispatcher::keeps_large_slots(const resources& room, const resources& need) const
{
    return count_slots(m_large_task, room) == count_slots(m_large_task, room - need);
}

// ---------------------------------------------------------------------------------------------------------
// Tasks one by one
// ---------------------------------------------------------------------------------------------------------

bool dispatcher::place_each(const candidate& item, monotonic_time now)
{
    const auto& tasks = item.owner->rounds[item.ref.round.value()].steps[item.ref.step].tasks;
    std::vector<offer> offers = find_open_offers(item, now);
    // The rack with the data first; then what leaves whole hosts free for gangs; urgent work on fast hosts
    // and other work on slow ones, which gangs avoid; then from the low end of the list, as gangs fill it
    // from the high end.
    const bool urgent = item.urgent();
    std::sort(offers.begin(), offers.end(),
              [urgent](const offer& a, const offer& b)
              {
                  const auto key = [urgent](const offer& o)
                  {
                      return std::make_tuple(o.disturbs, !o.near, o.held, urgent ? o.slow : !o.slow,
                                             !o.keeps_large, urgent ? -o.speed : 0.0, o.worker->id);
                  };
                  return key(a) < key(b);
              });
    std::vector<planned_start> starts;
    std::vector<std::string> tickets;
    std::uint32_t left = 0;
    for (std::uint32_t i = 0; i < tasks.size(); ++i)
    {
        const task_ref ref{item.ref, i};
        if (tasks[i].state() != work_phase::waiting || m_planned.contains(ref))
        {
            continue;
        }
        const auto fit = std::find_if(offers.begin(), offers.end(),
                                      [](const offer& o)
                                      {
                                          return o.slots > 0;
                                      });
        if (fit == offers.end())
        {
            ++left;
            continue;
        }
        --fit->slots;
        starts.push_back({ref, tasks[i].run + 1, fit->worker->id});
        tickets.push_back(fit->ticket);
    }
    if (!starts.empty())
    {
        propose_starts(item, starts, tickets, now);
    }
    if (left > 0)
    {
        reserve_hosts(item, left, now);
        ask_advice(item, left, now);
        preempt_for(item, left, now);
    }
    return !starts.empty();
}

} // namespace walkthread
