// dispatcher: queries to the placement advisor.

#include <walkthread/dispatch/dispatcher.hpp>

#include <algorithm>

#include <walkthread/workload/names.hpp>

namespace walkthread
{

namespace
{
constexpr std::size_t min_queried_workers = 3;      // most of a query's cost is fixed
constexpr std::size_t max_min_queried_workers = 20; // naming more workers than that gains little
constexpr double extra_query_cost = 0.12;           // share of a query's time that extra workers may add
constexpr double overquery_factor = 1.4;            // margin over the need: approval rates are averages
constexpr std::uint64_t max_counted_slots = 0xFFFF; // 16 bits of the sort key
constexpr std::size_t first_query_hosts = 350;      // candidates of a first query: more gain nothing
constexpr double first_query_slot_factor = 3.0; // times the needed slots, to leave a choice of better hosts
constexpr double full_worker_weight = 0.35;     // a full worker may have free capacity soon
} // namespace

// `pressing` queries go ahead of others and do not wait for a free query process.
bool dispatcher::may_query_advisor(const candidate& item, bool pressing, monotonic_time now)
{
    if (item.queue == nullptr || !item.queue->advised)
    {
        return false;
    }
    const step_advice& known = m_advice.of(item.ref);
    const bool may_send_now = pressing || !m_hooks.advisors_free || m_hooks.advisors_free();
    return known.pending_questions == 0 && now >= known.ask_after && may_send_now;
}

// For a first query it is enough to choose among a few hundred hosts, starting at an offset that differs
// between submissions. If these have too few free slots, more hosts are added.
std::vector<dispatcher::offer> dispatcher::find_offers_to_query(const candidate& item, std::uint32_t need,
                                                                monotonic_time now)
{
    const bool first = m_advice.of(item.ref).entries.empty();
    if (!first || m_hosts.size() <= first_query_hosts)
    {
        return find_offers(item, now);
    }
    const double share = m_advice.good_share(item.owner->queue_key());
    const std::size_t from = std::hash<submission_id>{}(item.ref.submission) % m_hosts.size();
    std::vector<offer> offers;
    offers.reserve(first_query_hosts);
    double room = 0;
    for (std::size_t i = 0; i < m_hosts.size(); ++i)
    {
        if (i >= first_query_hosts && room >= first_query_slot_factor * overquery_factor * need)
        {
            break;
        }
        const host_row& row = m_hosts.at((from + i) % m_hosts.size());
        if (may_use_soon(item, row))
        {
            offers.push_back(make_offer(item, row, now));
            room += share * offers.back().slots;
        }
    }
    return offers;
}

// Queries for single tasks and urgent gangs; those of other gangs are in dispatcher_gangs.cpp.
void dispatcher::query_advisor(const candidate& item, std::uint32_t need, monotonic_time now)
{
    if (!may_query_advisor(item, item.has_priority(), now))
    {
        return;
    }
    struct query_target
    {
        std::uint64_t order; ///< lower values are queried first
        worker_incarnation_id worker;
        std::uint32_t slots;
        double weight;
    };
    // Prefers hosts on which it is not likely to fail, then those with free slots, those not held, fast ones
    // for urgent work, those that keep slots for large tasks, approved ones, and those with more slots.
    const auto order_of = [&item](const offer& o, bool good)
    {
        const std::uint64_t flags = (o.others_first > duration{0} ? 32U : 0U) | (o.slots > 0 ? 0U : 16U) |
                                    (o.held ? 8U : 0U) | (item.urgent() && o.slow ? 4U : 0U) |
                                    (o.spares_large_slots ? 0U : 2U) | (good ? 0U : 1U);
        const std::uint64_t room = max_counted_slots - std::min<std::uint64_t>(o.slots, max_counted_slots);
        return (flags << 48U) | (room << 32U) | o.worker->id.value();
    };
    step_advice& known = m_advice.of(item.ref);
    const double share = m_advice.good_share(item.owner->queue_key());
    std::vector<query_target> offers;
    double usable_slots = 0;
    for (const offer& o : find_offers_to_query(item, need, now))
    {
        const worker_incarnation_id id = o.worker->id;
        const auto entry = known.entries.find(id);
        const bool seen = entry != known.entries.end();
        if ((seen && !entry->second.good) || o.whole == 0)
        {
            continue;
        }
        const bool counts = seen && m_advice.usable(entry->second, now, m_settings.ticket_margin);
        if (counts || (seen && o.slots == 0))
        {
            usable_slots += counts ? o.slots : 0;
            continue; // another query would not help now
        }
        const double approval_probability = seen ? 1.0 : share;
        const double weight = o.slots > 0 ? approval_probability * o.slots
                                          : approval_probability * o.whole * full_worker_weight;
        offers.push_back({order_of(o, seen), id, o.slots, weight});
    }
    known.ask_after =
        now + m_settings.advice_interval; // set also without a query, as little changes until then
    if (usable_slots >= need)
    {
        return;
    }
    const auto named = static_cast<std::ptrdiff_t>(std::min(offers.size(), max_workers_per_question));
    std::partial_sort(offers.begin(), offers.begin() + named, offers.end(),
                      [](const query_target& x, const query_target& y)
                      {
                          return x.order < y.order;
                      });
    const bool first = known.entries.empty();
    double expected_slots = usable_slots;
    for (const query_target& o : offers)
    {
        expected_slots += o.slots > 0 ? o.weight : 0.0;
    }
    if (item.step->gang && !first && expected_slots < need)
    {
        return; // new tickets would expire before all tasks fit
    }
    // Where naming a worker is cheap, a few extra ones save a later query for retries or for faster hosts.
    const advice_settings& terms = item.queue->advice;
    const double cheap = terms.each_ms > 0 ? extra_query_cost * terms.decision_ms / terms.each_ms : 0.0;
    const std::size_t least =
        std::clamp(static_cast<std::size_t>(cheap), min_queried_workers, max_min_queried_workers);
    std::vector<worker_incarnation_id> asked;
    double sum = usable_slots;
    for (const query_target& o : offers)
    {
        const bool done = sum >= need * overquery_factor && asked.size() >= least;
        if (done || asked.size() >= max_workers_per_question || (!first && o.slots == 0))
        {
            break;
        }
        asked.push_back(o.worker);
        sum += o.weight;
    }
    if (asked.empty() && !item.step->gang && !item.has_priority())
    {
        renew_tickets(item, now);
        return;
    }
    send_advisor_query(item, asked, item.has_priority(), now);
}

// Renews the tickets of a waiting step for all approved hosts while query processes are idle. The step can
// then start as soon as capacity is free instead of after another query, which can take as long as a fifth
// of its run time.
void dispatcher::renew_tickets(const candidate& item, monotonic_time now)
{
    if (!uses(mechanism::kept_tickets) || (m_hooks.advisors_idle && !m_hooks.advisors_idle()))
    {
        return;
    }
    std::vector<worker_incarnation_id> hosts;
    std::size_t good = 0;
    const step_advice& known = m_advice.of(item.ref);
    // Tickets that would expire during the next query are renewed now.
    const milliseconds question{static_cast<std::int64_t>(item.queue->advice.decision_ms)};
    for (const offer& o : find_approved_offers(item, now))
    {
        ++good;
        const advice_entry& entry = known.entries.at(o.worker->id);
        if (o.whole > 0 && hosts.size() < max_workers_per_question &&
            !m_advice.usable(entry, now, m_settings.ticket_margin + question))
        {
            hosts.push_back(o.worker->id);
        }
    }
    if (2 * hosts.size() >= good) // batches renewals instead of one query per host
    {
        send_advisor_query(item, hosts, false, now);
    }
}

void dispatcher::send_advisor_query(const candidate& item, std::vector<worker_incarnation_id> workers,
                                    bool pressing, monotonic_time now)
{
    // A reservation names its hosts until the next review, also those that were dropped since.
    std::erase_if(workers,
                  [this](worker_incarnation_id worker)
                  {
                      return m_state.find(worker) == nullptr;
                  });
    if (workers.empty())
    {
        return;
    }
    advice_question question;
    question.step = item.ref;
    for (const worker_incarnation_id worker : workers)
    {
        question.incarnations.push_back(m_state.find(worker)->description.id);
    }
    ++m_advice.of(item.ref).pending_questions;
    ++m_counters.questions;
    log_event(now, "advice_asked", name_of(item.ref),
              {{"workers", workers.size()},
               {"need", item.step->count},
               {"held", held_tasks(item.ref)},
               {"share_good", m_advice.good_share(item.owner->queue_key())}});
    const milliseconds validity{item.queue->advice.validity_ms};
    m_hooks.advise(question, pressing,
                   [this, alive = m_alive, ref = item.ref, queue = item.owner->queue_key(), workers,
                    validity](const advice_answer& answer)
                   {
                       if (*alive)
                       {
                           handle_advice(ref, queue, workers, answer, validity);
                       }
                   });
}

void dispatcher::handle_advice(const step_ref& ref, const std::string& queue,
                               const std::vector<worker_incarnation_id>& workers, const advice_answer& answer,
                               milliseconds validity)
{
    const monotonic_time now = m_hooks.now();
    step_advice& open = m_advice.of(ref);
    --open.pending_questions;
    open.ask_after = now + (answer.answered ? m_settings.advice_interval : m_settings.advice_retry_delay);
    if (answer.answered)
    {
        std::map<worker_incarnation_id, std::string> tickets;
        for (const advice_grant& grant : answer.good)
        {
            const worker_incarnation* worker = m_state.find_id(grant.incarnation);
            const bool asked =
                worker != nullptr && std::find(workers.begin(), workers.end(), worker->id) != workers.end();
            if (asked) // a ticket is valid only for the incarnation that was queried
            {
                tickets[worker->id] = grant.ticket;
            }
        }
        const duration transit_time =
            std::max<duration>(answer.took - milliseconds(answer.took_ms), duration{0});
        m_advice.take(ref, queue, workers, tickets, {now - answer.took, now - transit_time}, validity);
    }
    log_event(now, "advice_taken", name_of(ref),
              {{"answered", answer.answered},
               {"asked", workers.size()},
               {"good", answer.good.size()},
               {"took_ms", answer.took}});
    m_gang_retry_at.erase(ref);
    m_waiting.erase(ref);
    m_schedule.request_full_pass(m_state.ready().open_steps(), now); // uses the tickets before they expire
    m_hooks.wake();
}

} // namespace walkthread
