// The part of dispatcher that asks the placement advisor.

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
} // namespace

void dispatcher::ask_advice(const candidate& item, std::uint32_t need, monotonic_time now)
{
    if (item.queue == nullptr || !item.queue->advised)
    {
        return;
    }
    step_advice& known = m_advice.of(item.ref);
    if (known.in_flight || now < known.ask_after ||
        (!item.urgent() && m_hooks.advisors_free && !m_hooks.advisors_free()))
    {
        return;
    }
    struct question_item
    {
        worker_life_id worker;
        std::uint32_t slots;
        bool good;
        double weight;
    };
    const double share = m_advice.good_share(item.owner->queue);
    const bool large_gang = item.step->gang && !item.urgent();
    const bool awaited = large_gang && reserved_hosts_ready_soon(item, now);
    std::vector<question_item> offers;
    double enough = 0;
    for (const offer& o : find_offers(item, now))
    {
        const worker_life_id id = o.worker->id;
        if (awaited && (!m_reserved.contains(id) || m_reserved.at(id) != item.ref))
        {
            continue;
        }
        const auto entry = known.entries.find(id);
        const bool seen = entry != known.entries.end();
        if ((seen && !entry->second.good) || o.whole == 0)
        {
            continue;
        }
        const bool counts = seen && advice_book::usable(entry->second, now, m_settings.ticket_margin);
        if (counts || (seen && o.slots == 0 && !awaited))
        {
            enough += counts ? o.slots : 0;
            continue; // nothing to be gained by asking again now
        }
        const double certainty = seen ? 1.0 : share;
        const double weight = o.slots > 0 ? certainty * o.slots : certainty * o.whole * full_worker_weight;
        offers.push_back({id, o.slots, seen, weight});
    }
    known.ask_after =
        now + m_settings.advice_gap; // also where there is nothing to ask: little changes until then
    if (enough >= need)
    {
        return;
    }
    std::sort(offers.begin(), offers.end(),
              [](const question_item& a, const question_item& b)
              {
                  return std::make_tuple(b.slots > 0, b.good, b.slots, a.worker) <
                         std::make_tuple(a.slots > 0, a.good, a.slots, b.worker);
              });
    const bool first = known.entries.empty();
    double within_reach = enough;
    for (const question_item& o : offers)
    {
        within_reach += o.slots > 0 ? o.weight : 0.0;
    }
    if (item.step->gang && !first && !awaited && within_reach < need)
    {
        return; // fresh tickets would run out before there is room for all
    }
    advice_question question;
    question.step = item.ref;
    std::vector<worker_life_id> asked;
    double sum = enough;
    for (const question_item& o : offers)
    {
        // A gang learns of all workers at once: it then waits for those that are free first.
        const bool done = sum >= need * spare_factor && asked.size() >= least_asked && !large_gang;
        if (done || asked.size() >= most_asked || (!first && !awaited && o.slots == 0))
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
         {{"workers", asked.size()},
          {"need", need},
          {"usable_slots", static_cast<std::int64_t>(enough)},
          {"share_good", share}});
    const milliseconds validity{item.queue->advice.validity_ms};
    m_hooks.advise(question, item.urgent(),
                   [this, alive = m_alive, ref = item.ref, queue = item.owner->queue, asked,
                    validity](const advice_answer& answer)
                   {
                       if (!*alive)
                       {
                           return;
                       }
                       const monotonic_time then = m_hooks.now();
                       step_advice& open = m_advice.of(ref);
                       open.in_flight = false;
                       open.ask_after =
                           then + (answer.answered ? m_settings.advice_gap : m_settings.advice_retry);
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
                            {{"answered", answer.answered},
                             {"asked", asked.size()},
                             {"good", answer.good.size()},
                             {"took_ms", answer.took}});
                       m_hooks.wake();
                   });
}

} // namespace walkthread
