// dispatcher: log lines about steps that wait although hosts have free capacity.

#include <walkthread/dispatch/dispatcher.hpp>

#include <algorithm>
#include <optional>
#include <utility>

#include <walkthread/workload/names.hpp>

namespace walkthread
{

namespace
{
constexpr wall_ms waiting_log_threshold = 3000; // ms; in a mostly idle pool, work should have started by then
constexpr duration waiting_log_interval = seconds(1);
constexpr std::size_t max_named_gangs = 4; // other gangs with holds named in one line
} // namespace

// Logs, at most once a second, organisations beyond their shares, the step that has waited longest and why no
// work goes to the hosts that have free capacity for one of its tasks.
void dispatcher::log_waiting(monotonic_time now, wall_ms wall)
{
    if (now < m_waiting_log_due)
    {
        return;
    }
    m_waiting_log_due = now + waiting_log_interval;
    log_unresponsive_worker(now);
    log_shares(now);
    const submission* longest = nullptr;
    step_ref waiting;
    wall_ms since = wall - waiting_log_threshold;
    for (const auto& [needs, group] : m_state.ready().open())
    {
        for (const step_ref& ref : group.steps)
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
    }
    log_closed_steps(now);
    if (longest != nullptr)
    {
        log_waiting_step(waiting, *longest, wall - since, now);
    }
    log_waiting_gang(now, wall);
}

// Logs how many steps no present worker can take, with one of them, when their number has changed.
void dispatcher::log_closed_steps(monotonic_time now)
{
    const ready_index& ready = m_state.ready();
    const std::size_t closed = ready.size() - ready.open_steps();
    if (closed == std::exchange(m_closed_steps_logged, closed) || closed == 0)
    {
        return;
    }
    const auto& [needs, group] = *ready.closed().begin();
    log_event(now, "steps_closed", name_of(*group.steps.begin()),
              {{"steps", closed},
               {"pool", needs.pool},
               {"label", needs.label},
               {"cpu", needs.size.cpu},
               {"memory", needs.size.memory},
               {"accelerators", static_cast<std::int64_t>(needs.size.accelerators)}});
}

// Logs, at most once a second, the gang that has waited longest, the free slots of its approved hosts, and
// other gangs that hold capacity.
void dispatcher::log_waiting_gang(monotonic_time now, wall_ms wall)
{
    std::optional<candidate> longest;
    wall_ms since = wall - waiting_log_threshold;
    for (const auto& [needs, group] : m_state.ready().open())
    {
        for (const step_ref& ref : group.steps)
        {
            candidate item = make_candidate(ref);
            const wall_ms from = std::max(item.owner->spec.due_at(item.ref.round), item.owner->accepted);
            const bool waits = item.step->gang && !item.urgent() && waiting_tasks(item) == item.step->count;
            if (waits && from < since)
            {
                since = from;
                longest = std::move(item);
            }
        }
    }
    if (!longest)
    {
        return;
    }
    static_cast<void>(
        evaluate_candidate(*longest, wall)); // its timeliness decides which holds count against it
    longest->placed = placed_tasks(*longest);
    prepare_offers(*longest, now);
    std::uint32_t free = 0;
    std::uint32_t open = 0;
    std::uint32_t whole = 0;
    const std::vector<offer> good = find_approved_offers(*longest, now);
    for (const offer& o : good)
    {
        const host_row& row = *m_hosts.find(o.worker->id);
        free += o.slots;
        open += slots(*longest, o.worker->id, row.open);
        whole += o.whole;
    }
    std::string gathering;
    std::size_t named = 0;
    for (const auto& [ref, hold] : m_holds)
    {
        const bool is_gathering = hold.is_gathering && !(ref == longest->ref);
        if (is_gathering && named++ < max_named_gangs)
        {
            gathering.append(gathering.empty() ? 0 : 1, ' ').append(name_of(ref));
        }
    }
    const auto hold_backoff = m_hold_backoff_until.find(longest->ref);
    log_event(now, "gang_waits", name_of(longest->ref),
              {{"waited_ms", wall - since},
               {"tasks", longest->step->count},
               {"permitted", permitted_tasks(*longest)},
               {"missed", longest->missed()},
               {"good_hosts", good.size()},
               {"free", free},
               {"open", open},
               {"empty", whole},
               {"held", held_tasks(longest->ref)},
               {"may_gather", may_gather(*longest)},
               {"rests", hold_backoff != m_hold_backoff_until.end() && now < hold_backoff->second},
               {"advisors_idle", !m_hooks.advisors_idle || m_hooks.advisors_idle()},
               {"gather", named},
               {"gathering", gathering}});
}

void dispatcher::log_waiting_step(const step_ref& ref, const submission& owner, wall_ms waited_ms,
                                  monotonic_time now)
{
    const step_spec& step = owner.spec.steps[ref.step];
    const resources need = host_demand_of(step);
    const pool_number pool = m_hosts.number_of(m_state.pool_of(owner));
    std::array<std::int64_t, host_availability_names.size()> hosts{};
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
    const queue_spec* queue = m_state.queue_of(owner);
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
        questions = known.pending_questions;
        tickets = std::count_if(known.entries.begin(), known.entries.end(),
                                [this, now](const auto& item)
                                {
                                    return m_advice.usable(item.second, now, m_settings.ticket_margin);
                                });
    }
    const std::vector<doubtful_host> doubtful = doubtful_hosts(ref, now);
    const auto of = [&hosts](host_availability reason)
    {
        return hosts.at(static_cast<std::size_t>(reason));
    };
    log_event(now, "step_waits", name_of(ref),
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
               {"doubtful", doubtful.size()},
               {"doubtful_host", doubtful.empty() ? std::string{} : doubtful.front().worker},
               {"doubtful_for_ms", doubtful.empty() ? duration{0} : doubtful.front().wait_left},
               {"usable", of(host_availability::usable)},
               {"dropped", of(host_availability::dropped)},
               {"unanswered", of(host_availability::unanswered)},
               {"unreported", of(host_availability::unreported)},
               {"silent", of(host_availability::silent)},
               {"doubted", of(host_availability::doubted)},
               {"leaving", of(host_availability::leaving)},
               {"avoided", of(host_availability::avoided)},
               {"closed", of(host_availability::closed)},
               {"cordoned", of(host_availability::cordoned)},
               {"on_probation", of(host_availability::on_probation)}});
}

} // namespace walkthread
