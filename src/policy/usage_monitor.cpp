#include <walkthread/policy/usage_monitor.hpp>

namespace walkthread
{

namespace
{
bool over(std::int64_t used, std::int64_t declared)
{
    return static_cast<double>(used) > static_cast<double>(declared) * (1.0 + usage_monitor::tolerance);
}
} // namespace

usage_action usage_monitor::evaluate(const run_id& run, const resources& declared, std::int64_t cpu,
                                     std::int64_t memory, monotonic_time now)
{
    if (!over(cpu, declared.cpu) && !over(memory, declared.memory))
    {
        m_histories.erase(run.task);
        return usage_action::none;
    }
    history& h = m_histories[run.task];
    if (h.run != run.run || h.reports_over == 0)
    {
        h = history{run.run, 0, now};
    }
    ++h.reports_over;
    if (now - h.over_since >= stop_after)
    {
        return usage_action::stop;
    }
    return h.reports_over >= throttle_after ? usage_action::throttle : usage_action::none;
}

void usage_monitor::forget(const task_id& task)
{
    m_histories.erase(task);
}

} // namespace walkthread
