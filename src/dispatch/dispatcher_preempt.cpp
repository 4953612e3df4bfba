// dispatcher: preemption of runs of lower priority.

#include <walkthread/dispatch/dispatcher.hpp>

#include <algorithm>

#include <walkthread/workload/names.hpp>

namespace walkthread
{

namespace
{
constexpr double min_remaining_ms = 700; // runs that end sooner are not stopped: a stop takes up to 400 ms
constexpr duration preemption_interval =
    milliseconds(600); // per step: time for a stop, the run's end and its commit
} // namespace

// Only runs with checkpoints are preempted, as they lose little; others run to their end.
bool dispatcher::may_preempt(const candidate& item, const run_ref& run, const run_view& known) const
{
    const submission* owner = m_state.find(run.task.step.submission);
    const step_spec* step = m_state.find(run.task.step);
    if (step == nullptr || known.stopping || !known.listed)
    {
        return false;
    }
    const queue_spec* queue = m_state.queue_of(*owner);
    const bool lesser = queue != nullptr && item.queue != nullptr && queue->priority > item.queue->priority;
    const double left = m_objectives.expected_ms(owner->queue_key(), *step) * (100.0 - known.percent) / 100.0;
    return lesser && step->checkpoints && !step->gang && !step->long_running && left > min_remaining_ms;
}

void dispatcher::preempt_for(const candidate& item, std::uint32_t need, monotonic_time now)
{
    const bool pressing =
        item.urgent() || (m_holds.contains(item.ref) &&
                          item.slack_ms < static_cast<double>(m_settings.gang_preempt_slack.count()));
    if (!uses(mechanism::preemption) || item.missed() || !pressing ||
        now < m_last_preemption[item.ref] + preemption_interval)
    {
        return;
    }
    m_last_preemption[item.ref] = now;
    const resources room = host_demand_of(*item.step);
    std::uint32_t found = 0;
    std::vector<offer> offers = find_approved_offers(item, now);
    std::erase_if(offers,
                  [](const offer& o)
                  {
                      return o.others_first > duration{0}; // nothing is stopped for a start that may fail
                  });
    std::sort(offers.begin(), offers.end(),
              [](const offer& a, const offer& b)
              {
                  return std::make_tuple(b.room.cpu, b.worker->id) <
                         std::make_tuple(a.room.cpu, a.worker->id);
              });
    for (const offer& o : offers)
    {
        if (found >= need)
        {
            break;
        }
        found += preempt_on(item, o, room, need - found, now);
    }
}

// Stops runs of lower priority on one host so that up to `need` tasks of the step fit; stops none if that
// makes no more tasks fit. Returns the number of tasks that will fit.
std::uint32_t dispatcher::preempt_on(const candidate& item, const offer& o, const resources& room,
                                     std::uint32_t need, monotonic_time now)
{
    worker_view& view = m_views[o.worker->id];
    resources coming = o.room;
    std::vector<run_ref> victims;
    std::uint32_t fit = slots(item, o.worker->id, coming);
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
            fit = slots(item, o.worker->id, coming);
            continue;
        }
        const bool useful = room.cpu == 0 || held->second.cpu > 0;
        if (fit < need && useful && may_preempt(item, run, known))
        {
            coming += held->second;
            victims.push_back(run);
            fit = slots(item, o.worker->id, coming);
        }
    }
    const std::uint32_t before = slots(item, o.worker->id, o.room);
    if (victims.empty() || fit <= before)
    {
        return fit;
    }
    for (const run_ref& run : victims)
    {
        log_event(now, "run_preempted", name_of(run),
                  {{"for", name_of(item.ref)},
                   {"slack_ms", static_cast<std::int64_t>(item.slack_ms)},
                   {"percent", view.runs[run].percent}});
        send_stop(view, run, now);
        ++m_counters.preemptions;
    }
    return fit;
}

} // namespace walkthread
