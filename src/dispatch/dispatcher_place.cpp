// The half of dispatcher that chooses workers for the tasks of a step.

#include <walkthread/dispatch/dispatcher.hpp>

#include <algorithm>

#include <walkthread/workload/names.hpp>

namespace walkthread
{

namespace
{
constexpr std::size_t most_asked = 100;     // workers in one question: the advisor's bound
constexpr std::size_t least_asked = 3;      // a question costs most for being asked at all
constexpr double spare_factor = 1.4;        // ask for so much more than is needed: shares are averages
constexpr double full_worker_weight = 0.35; // a worker without room now may have some soon
constexpr std::size_t most_reserving = 2;   // gangs that hosts are kept free for at a time

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

resources dispatcher::free_room(const worker_life& worker, const worker_view& view) const
{
    return worker.facts.size - worker.used - view.planned;
}

std::uint32_t dispatcher::slots(const candidate& item, const resources& room) const
{
    const std::uint32_t limit = item.step->per_host_limit > 0 ? item.step->per_host_limit : item.step->count;
    return std::min(limit, count_slots(room_of(*item.step), room));
}

std::uint32_t dispatcher::waiting_tasks(const candidate& item) const
{
    const auto& tasks = item.owner->rounds[item.ref.round.value()].steps[item.ref.step].tasks;
    std::uint32_t waiting = 0;
    for (std::uint32_t i = 0; i < tasks.size(); ++i)
    {
        const bool free = tasks[i].state() == work_phase::waiting && !m_planned.contains(task_ref{item.ref, i});
        waiting += free ? 1 : 0;
    }
    return waiting;
}

// Where tasks of this step and round run or are about to.
std::map<worker_life_id, std::uint32_t> dispatcher::spread(const candidate& item) const
{
    std::map<worker_life_id, std::uint32_t> out;
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

bool dispatcher::reserved_from(const candidate& item, worker_life_id worker) const
{
    const auto found = m_reserved.find(worker);
    return found != m_reserved.end() && found->second != item.ref && !item.urgent() && !item.step->lasting;
}

bool dispatcher::allowed(const candidate& item, const worker_life& worker, const worker_view& view,
                         monotonic_time now) const
{
    if (worker.facts.pool != item.owner->pool || !view.usable(now, m_settings) || reserved_from(item, worker.id))
    {
        return false;
    }
    if (m_upkeep_hosts.contains(worker.facts.host))
    {
        return false;
    }
    const auto& labels = worker.facts.labels;
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
    const bool counts = entry != known.entries.end() && advice_book::usable(entry->second, now, m_settings.ticket_margin);
    return counts ? entry->second.ticket : std::string{};
}

void dispatcher::place(const candidate& item, monotonic_time now)
{
    if (item.step->gang)
    {
        place_gang(item, now);
    }
    else
    {
        place_each(item, now);
    }
}

// ---------------------------------------------------------------------------------------------------------
// Tasks one by one
// ---------------------------------------------------------------------------------------------------------

void dispatcher::place_each(const candidate& item, monotonic_time now)
{
    const auto& tasks = item.owner->rounds[item.ref.round.value()].steps[item.ref.step].tasks;
    std::map<worker_life_id, std::uint32_t> used = spread(item);
    struct offer
    {
        const worker_life* worker;
        resources room;
        std::uint32_t slots;
        bool near;
        std::string ticket;
    };
    std::vector<offer> offers;
    for (const auto& [id, worker] : m_state.workers())
    {
        const worker_view& view = m_views[id];
        if (!allowed(item, worker, view, now))
        {
            continue;
        }
        const resources room = free_room(worker, view);
        std::uint32_t free = slots(item, room);
        if (item.step->per_host_limit > 0)
        {
            free -= std::min(free, used[id]);
        }
        std::string ticket = free > 0 ? ticket_for(item, id, now) : std::string{};
        if (ticket.empty())
        {
            continue;
        }
        const auto& labels = worker.facts.labels;
        const bool near = std::find(labels.begin(), labels.end(), item.step->preferred_rack) != labels.end();
        offers.push_back({&worker, room, free, near, std::move(ticket)});
    }
    // The rack with the data first, then the tightest fit, so that whole hosts stay free for gangs.
    std::sort(offers.begin(), offers.end(),
              [](const offer& a, const offer& b)
              {
                  return std::make_tuple(!a.near, a.room.cpu, a.worker->id) <
                         std::make_tuple(!b.near, b.room.cpu, b.worker->id);
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
                                      [&tasks, i](const offer& o)
                                      {
                                          return o.slots > 0 && o.worker->id != tasks[i].failed_on;
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
        ask_advice(item, left, now);
        preempt_for(item, now);
    }
}

// ---------------------------------------------------------------------------------------------------------
// Gangs
// ---------------------------------------------------------------------------------------------------------

void dispatcher::place_gang(const candidate& item, monotonic_time now)
{
    const auto& tasks = item.owner->rounds[item.ref.round.value()].steps[item.ref.step].tasks;
    if (waiting_tasks(item) != tasks.size())
    {
        return;
    }
    const auto failed_here = [&tasks](worker_life_id id)
    {
        return std::any_of(tasks.begin(), tasks.end(),
                           [id](const work_task& task)
                           {
                               return task.failed_on == id;
                           });
    };
    struct offer
    {
        worker_life_id worker;
        std::uint32_t slots;
        std::string ticket;
        std::string rack;
    };
    std::vector<offer> offers;
    std::map<std::string, std::uint32_t> by_rack;
    std::uint32_t sum = 0;
    std::uint32_t run = 0;
    for (const work_task& task : tasks)
    {
        run = std::max(run, task.run + 1);
    }
    for (const auto& [id, worker] : m_state.workers())
    {
        const worker_view& view = m_views[id];
        const std::uint32_t free = allowed(item, worker, view, now) && !failed_here(id) ? slots(item, free_room(worker, view)) : 0;
        std::string ticket = free > 0 ? ticket_for(item, id, now) : std::string{};
        if (ticket.empty())
        {
            continue;
        }
        const std::string rack = worker.facts.labels.empty() ? std::string{} : worker.facts.labels.back();
        offers.push_back({id, free, std::move(ticket), rack});
        by_rack[rack] += free;
        sum += free;
    }
    if (sum < item.step->count)
    {
        ask_advice(item, item.step->count, now);
        reserve(item, now);
        preempt_for(item, now);
        return;
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
    std::sort(offers.begin(), offers.end(),
              [](const offer& a, const offer& b)
              {
                  return std::make_tuple(b.slots, a.worker) < std::make_tuple(a.slots, b.worker);
              });
    std::vector<planned_start> starts;
    std::vector<std::string> tickets;
    for (const offer& o : offers)
    {
        for (std::uint32_t n = 0; n < o.slots && starts.size() < tasks.size(); ++n)
        {
            if (!only_rack.empty() && o.rack != only_rack)
            {
                break;
            }
            starts.push_back({task_ref{item.ref, static_cast<std::uint32_t>(starts.size())}, run, o.worker});
            tickets.push_back(o.ticket);
        }
    }
    propose_starts(item, starts, tickets, now);
}

// Keeps hosts that may run a gang free of lesser work while the gang's time runs out.
void dispatcher::reserve(const candidate& item, monotonic_time now)
{
    std::set<step_ref> gangs;
    for (const auto& [worker, gang] : m_reserved)
    {
        gangs.insert(gang);
    }
    if (item.missed || item.slack_ms > static_cast<double>(m_settings.gang_reserve.count()) ||
        gangs.size() >= most_reserving)
    {
        return;
    }
    struct offer
    {
        worker_life_id worker;
        std::uint32_t now_free;
        std::uint32_t whole;
    };
    std::vector<offer> offers;
    const step_advice& known = m_advice.of(item.ref);
    for (const auto& [id, worker] : m_state.workers())
    {
        const worker_view& view = m_views[id];
        const auto entry = known.entries.find(id);
        const bool good = item.queue == nullptr || !item.queue->advised || (entry != known.entries.end() && entry->second.good);
        if (good && !m_reserved.contains(id) && allowed(item, worker, view, now))
        {
            offers.push_back({id, slots(item, free_room(worker, view)), slots(item, worker.facts.size)});
        }
    }
    std::sort(offers.begin(), offers.end(),
              [](const offer& a, const offer& b)
              {
                  return std::make_tuple(b.now_free, b.whole, a.worker) < std::make_tuple(a.now_free, a.whole, b.worker);
              });
    std::uint32_t sum = 0;
    for (const offer& o : offers)
    {
        if (sum >= item.step->count)
        {
            break;
        }
        sum += o.whole;
        m_reserved[o.worker] = item.ref;
    }
}

// ---------------------------------------------------------------------------------------------------------
// Advice
// ---------------------------------------------------------------------------------------------------------

void dispatcher::ask_advice(const candidate& item, std::uint32_t need, monotonic_time now)
{
    if (item.queue == nullptr || !item.queue->advised)
    {
        return;
    }
    step_advice& known = m_advice.of(item.ref);
    if (known.in_flight || now < known.ask_after)
    {
        return;
    }
    struct offer
    {
        worker_life_id worker;
        std::uint32_t slots;
        bool good;
        double weight;
    };
    const double share = m_advice.good_share(item.owner->queue);
    std::vector<offer> offers;
    double enough = 0;
    for (const auto& [id, worker] : m_state.workers())
    {
        const worker_view& view = m_views[id];
        const auto entry = known.entries.find(id);
        const bool seen = entry != known.entries.end();
        const std::uint32_t whole = slots(item, worker.facts.size);
        if (!allowed(item, worker, view, now) || (seen && !entry->second.good) || whole == 0)
        {
            continue;
        }
        const std::uint32_t free = slots(item, free_room(worker, view));
        const bool counts = seen && advice_book::usable(entry->second, now, m_settings.ticket_margin);
        if (counts || (seen && free == 0))
        {
            enough += counts ? free : 0;
            continue; // nothing to be gained by asking again now
        }
        const double certainty = seen ? 1.0 : share;
        const double weight = free > 0 ? certainty * free : certainty * whole * full_worker_weight;
        offers.push_back({id, free, seen, weight});
    }
    if (enough >= need)
    {
        return;
    }
    std::sort(offers.begin(), offers.end(),
              [](const offer& a, const offer& b)
              {
                  return std::make_tuple(b.slots > 0, b.good, b.slots, a.worker) <
                         std::make_tuple(a.slots > 0, a.good, a.slots, b.worker);
              });
    const bool first = known.entries.empty();
    double within_reach = enough;
    for (const offer& o : offers)
    {
        within_reach += o.slots > 0 ? o.weight : 0.0;
    }
    if (item.step->gang && !first && within_reach < need)
    {
        return; // fresh tickets would run out before there is room for all
    }
    advice_question question;
    question.step = item.ref;
    std::vector<worker_life_id> asked;
    double sum = enough;
    for (const offer& o : offers)
    {
        const bool done = sum >= need * spare_factor && asked.size() >= least_asked;
        if (done || asked.size() >= most_asked || (!first && o.slots == 0))
        {
            break;
        }
        question.lives.push_back(m_state.find(o.worker)->facts.life);
        asked.push_back(o.worker);
        sum += o.weight;
    }
    if (asked.empty())
    {
        return;
    }
    known.in_flight = true;
    ++m_counters.questions;
    note(now, "advice_asked", name_of(item.ref),
         {{"workers", asked.size()}, {"need", need}, {"usable_slots", static_cast<std::int64_t>(enough)}, {"share_good", share}});
    const milliseconds validity{item.queue->advice.validity_ms};
    m_hooks.advise(question, item.urgent(),
                   [this, alive = m_alive, ref = item.ref, queue = item.owner->queue, asked, validity](const advice_answer& answer)
                   {
                       if (!*alive)
                       {
                           return;
                       }
                       const monotonic_time then = m_hooks.now();
                       step_advice& open = m_advice.of(ref);
                       open.in_flight = false;
                       open.ask_after = then + (answer.answered ? m_settings.advice_gap : m_settings.advice_retry);
                       if (answer.answered)
                       {
                           std::map<worker_life_id, std::string> tickets;
                           for (const advice_grant& grant : answer.good)
                           {
                               const worker_life* worker = m_state.find_life(grant.life);
                               if (worker != nullptr)
                               {
                                   tickets[worker->id] = grant.ticket;
                               }
                           }
                           m_advice.take(ref, queue, asked, tickets, then - answer.took, validity);
                       }
                       note(then, "advice_taken", name_of(ref),
                            {{"answered", answer.answered}, {"asked", asked.size()}, {"good", answer.good.size()}, {"took_ms", answer.took}});
                       m_hooks.wake();
                   });
}

// ---------------------------------------------------------------------------------------------------------
// Preemption
// ---------------------------------------------------------------------------------------------------------

void dispatcher::preempt_for(const candidate& item, monotonic_time now)
{
    static_cast<void>(item);
    static_cast<void>(now);
}

} // namespace walkthread
