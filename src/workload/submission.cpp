#include <walkthread/workload/submission.hpp>

#include <limits>
#include <utility>

namespace walkthread
{

wall_ms submission_spec::due_at(round_id round) const
{
    wall_ms after_first{};
    wall_ms due{};
    const bool overflows =
        __builtin_mul_overflow(static_cast<wall_ms>(round.value()), period_ms, &after_first) ||
        __builtin_add_overflow(first_due, after_first, &due);
    return overflows ? std::numeric_limits<wall_ms>::max() : due;
}

void submission::begin_rounds(std::uint32_t last)
{
    for (; next_round <= last; ++next_round)
    {
        std::vector<step_progress>& steps = open_rounds[next_round].steps;
        steps.reserve(spec.steps.size());
        for (const step_spec& step : spec.steps)
        {
            steps.emplace_back().tasks = task_table(step.count);
        }
    }
}

void submission::convert_former_rounds()
{
    const std::vector<former_round_progress> former = std::exchange(former_rounds, {});
    former_completed_rounds = 0;
    std::map<std::uint32_t, round_progress> converted;
    for (std::uint32_t number = 0; number < former.size(); ++number)
    {
        round_progress round;
        round.completed_steps = former[number].completed_steps;
        bool begun = round.completed_steps > 0;
        for (const former_step_progress& from : former[number].steps)
        {
            step_progress& step = round.steps.emplace_back();
            step.tasks = task_table(from.tasks);
            step.gang_failures = from.gang_failures;
            step.gang_failed_run = from.gang_failed_run;
            begun = begun || step.tasks.completed() > 0 || !step.tasks.records().empty();
        }
        next_round = begun ? number + 1 : next_round;
        converted.emplace(number, std::move(round));
    }
    for (auto& [number, round] : converted)
    {
        if (number < next_round && round.completed_steps < round.steps.size())
        {
            open_rounds.emplace(number, std::move(round));
        }
    }
}

step_tasks::step_tasks(const submission& owner, round_id round, std::uint32_t step)
    : m_count(owner.spec.steps[step].count), m_completed(owner.round_completed(round.value()))
{
    const auto found = owner.open_rounds.find(round.value());
    m_table = found == owner.open_rounds.end() ? nullptr : &found->second.steps[step].tasks;
}

const work_task& step_tasks::operator[](std::uint32_t index) const
{
    if (m_table != nullptr)
    {
        return (*m_table)[index];
    }
    return m_completed ? task_table::completed_task() : task_table::waiting_task();
}

const std::map<std::uint32_t, work_task>& step_tasks::records() const
{
    static const std::map<std::uint32_t, work_task> none;
    return m_table != nullptr ? m_table->records() : none;
}

} // namespace walkthread
