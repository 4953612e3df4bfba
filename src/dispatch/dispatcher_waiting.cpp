// The part of dispatcher that tells what waits although hosts have room for it.

#include <walkthread/dispatch/dispatcher.hpp>

#include <algorithm>

#include <walkthread/workload/names.hpp>

namespace walkthread
{

namespace
{
constexpr wall_ms told_after = 3000; // callers may expect work to run by then where most room is free
constexpr duration told_every = seconds(1);
} // namespace

// One line a second at most: the step that has waited for longest, and what keeps work off each host that has
// room for a task of it.
void dispatcher::note_waiting(monotonic_time now, wall_ms wall)
{
    if (now < m_waiting_due)
    {
        return;
    }
    m_waiting_due = now + told_every;
    note_unheard(now);
    const submission* longest = nullptr;
    step_ref waiting;
    wall_ms since = wall - told_after;
    for (const step_ref& ref : m_state.ready())
    {
        const submission* owner = m_state.find(ref.submission);
        const wall_ms from = std::max(owner->spec.due_at(ref.round), owner->accepted);
        if (from < since)
        {
            longest = owner;
            waiting = ref;
            since = from;
        }
    }
    if (longest != nullptr)
    {
        note_waiting_step(waiting, *longest, wall - since, now);
    }
}

void dispatcher::note_waiting_step(const step_ref& ref, const submission& owner, wall_ms waited_ms,
                                   monotonic_time now)
{
    const step_spec& step = owner.spec.steps[ref.step];
    const resources need = room_of(step);
    const pool_number pool = m_hosts.number_of(owner.pool);
    std::array<std::int64_t, host_reason_names.size()> hosts{};
    std::int64_t without_room = 0;
    for (std::size_t place = 0; place < m_hosts.size(); ++place)
    {
        const host_row& row = m_hosts.at(place);
        if (row.pool == pool)
        {
            const bool room = fits(need, row.open);
            ++(room ? hosts.at(static_cast<std::size_t>(row.reason)) : without_room);
        }
    }
    const queue_spec* queue = m_state.find_queue(owner.queue);
    candidate waiting;
    waiting.ref = ref;
    waiting.owner = &owner;
    waiting.step = &step;
    const bool advised = queue != nullptr && queue->advised;
    std::int64_t tickets = 0;
    std::int64_t questions = 0;
    if (advised)
    {
        const step_advice& known = m_advice.of(ref);
        questions = known.open_questions;
        tickets = std::count_if(known.entries.begin(), known.entries.end(),
                                [this, now](const auto& item)
                                {
                                    return m_advice.usable(item.second, now, m_settings.ticket_margin);
                                });
    }
    const auto of = [&hosts](host_reason reason)
    {
        return hosts.at(static_cast<std::size_t>(reason));
    };
    note(now, "step_waits", name_of(ref),
         {{"waited_ms", waited_ms},
          {"tasks", step.count},
          {"cpu", need.cpu},
          {"memory", need.memory},
          {"gang", step.gang},
          {"organisation", owner.organisation},
          {"permitted", permitted_tasks(waiting)},
          {"advised", advised},
          {"tickets", tickets},
          {"questions", questions},
          {"suspects", m_state.crashes().suspects().size()},
          {"without_room", without_room},
          {"usable", of(host_reason::usable)},
          {"dropped", of(host_reason::dropped)},
          {"unanswered", of(host_reason::unanswered)},
          {"unreported", of(host_reason::unreported)},
          {"silent", of(host_reason::silent)},
          {"doubted", of(host_reason::doubted)},
          {"leaving", of(host_reason::leaving)},
          {"avoided", of(host_reason::avoided)},
          {"closed", of(host_reason::closed)}});
}

} // namespace walkthread
