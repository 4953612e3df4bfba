// dispatcher: placement of crash suspects, tasks that may crash their hosts.

#include <walkthread/dispatch/dispatcher.hpp>

#include <algorithm>

namespace walkthread
{

// Places crash suspects where a crash would lose the least, and apart from those of other submissions. Adds
// the number of tasks that fit nowhere to `left`. Returns true if a task has to wait for another reason.
bool dispatcher::plan_crash_suspects(const candidate& item, std::vector<offer>& offers,
                                     std::vector<planned_start>& starts, std::vector<std::string>& tickets,
                                     std::uint32_t& left, monotonic_time now) const
{
    const step_tasks tasks(*item.owner, item.ref);
    bool must_wait = false;
    for (std::uint32_t i = 0; i < tasks.size(); ++i)
    {
        const task_ref ref{item.ref, i};
        if (tasks[i].state() != work_phase::waiting || m_planned.contains(ref) || !m_suspects.suspects(ref) ||
            starts.size() >= item.permitted)
        {
            continue;
        }
        if (m_suspects.in_backoff(ref, now))
        {
            must_wait = true;
            continue;
        }
        offer* best = nullptr;
        bool room = false;
        for (offer& o : offers)
        {
            room = room || o.slots > 0;
            const bool better =
                best == nullptr || crash_suspect_cost(item, o, now) < crash_suspect_cost(item, *best, now);
            best = o.slots > 0 && !o.watched && better ? &o : best;
        }
        left += room ? 0 : 1;
        must_wait = must_wait || (room && best == nullptr);
        if (best != nullptr)
        {
            --best->slots;
            starts.push_back({ref, tasks[i].run + 1, best->worker->id});
            tickets.emplace_back(best->ticket);
        }
    }
    return must_wait;
}

// Lower is better. Avoids hosts on which runs of other submissions have just started: after a crash it could
// not be told which run caused it.
std::tuple<int, bool, std::size_t> dispatcher::crash_suspect_cost(const candidate& item, const offer& o,
                                                                  monotonic_time now) const
{
    const worker_view& view = m_views.at(o.worker->id);
    const bool beside_recent_start = std::any_of(
        view.runs.begin(), view.runs.end(),
        [this, &item, now](const auto& there)
        {
            const bool other = there.first.task.step.submission != item.ref.submission;
            return other && (!there.second.outcome_known_at ||
                             now - *there.second.outcome_known_at <= m_settings.startup_crash_window);
        });
    return {o.contact_penalty, beside_recent_start, view.runs.size()};
}

} // namespace walkthread
