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

bool shows_no_activity(const step_progress& step)
{
    return step.tasks.completed() == 0 &&
           std::all_of(step.tasks.records().begin(), step.tasks.records().end(),
                       [](const auto& item)
                       {
                           const work_task& task = item.second;
                           return task.state() == work_phase::waiting && task.run <= 1 &&
                                  task.failures == 0 && task.checkpoint.empty();
                       });
}
} // namespace

void unconfirmed_submissions::prune(const workload_state& state)
{
    std::erase_if(m_ids,
                  [&state](submission_id id)
                  {
                      return !is_running(state, id);
                  });
}

std::uint32_t unconfirmed_submissions::count(const std::string& queue, const workload_state& state) const
{
    const queue_spec* const asked = state.find_queue(queue);
    return static_cast<std::uint32_t>(
        std::count_if(m_ids.begin(), m_ids.end(),
                      [asked, &state](submission_id id)
                      {
                          return is_running(state, id) && state.configured_queue_of(*state.find(id)) == asked;
                      }));
}

bool shows_no_start(const submission& owner)
{
    return owner.state() == submission_phase::running && owner.next_round == owner.open_rounds.size() &&
           std::all_of(owner.open_rounds.begin(), owner.open_rounds.end(),
                       [](const auto& round)
                       {
                           return std::all_of(round.second.steps.begin(), round.second.steps.end(),
                                              shows_no_activity);
                       });
}

} // namespace walkthread
