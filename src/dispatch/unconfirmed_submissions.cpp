#include <walkthread/dispatch/unconfirmed_submissions.hpp>

#include <algorithm>

namespace walkthread
{

namespace
{
bool is_running(const workload_state& state, submission_id id)
{
    const submission* owner = state.find(id);
    return owner != nullptr && owner->state() == submission_phase::running;
}

bool shows_no_activity(const work_task& task)
{
    return task.state() == work_phase::waiting && task.run <= 1 && task.failures == 0 &&
           task.checkpoint.empty();
}
} // namespace

void unconfirmed_submissions::prune(const workload_state& state)
{
    std::erase_if(m_queues,
                  [&state](const auto& item)
                  {
                      return !is_running(state, item.first);
                  });
}

std::uint32_t unconfirmed_submissions::count(const std::string& queue, const workload_state& state) const
{
    return static_cast<std::uint32_t>(std::count_if(m_queues.begin(), m_queues.end(),
                                                    [&queue, &state](const auto& item)
                                                    {
                                                        return item.second == queue &&
                                                               is_running(state, item.first);
                                                    }));
}

bool shows_no_start(const submission& owner)
{
    return owner.state() == submission_phase::running &&
           std::all_of(owner.rounds.begin(), owner.rounds.end(),
                       [](const round_progress& round)
                       {
                           return std::all_of(round.steps.begin(), round.steps.end(),
                                              [](const step_progress& step)
                                              {
                                                  return std::all_of(step.tasks.begin(), step.tasks.end(),
                                                                     shows_no_activity);
                                              });
                       });
}

} // namespace walkthread
