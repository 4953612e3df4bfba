#include <walkthread/state/model.hpp>

namespace walkthread
{

parameters merge(const parameters& defaults, const parameters& values, std::uint8_t given)
{
    const auto has = [given](parameter_field field)
    {
        return (given & static_cast<std::uint8_t>(field)) != 0;
    };
    parameters out = defaults;
    out.size.cpu = has(parameter_field::cpu) ? values.size.cpu : out.size.cpu;
    out.size.memory = has(parameter_field::memory) ? values.size.memory : out.size.memory;
    out.size.accelerators =
        has(parameter_field::accelerators) ? values.size.accelerators : out.size.accelerators;
    out.tasks = has(parameter_field::tasks) ? values.tasks : out.tasks;
    out.urgency = has(parameter_field::urgency) ? values.urgency : out.urgency;
    out.run_seconds = has(parameter_field::run_seconds) ? values.run_seconds : out.run_seconds;
    out.halls = has(parameter_field::halls) ? values.halls : out.halls;
    return out;
}

std::uint32_t job_spec::tasks_in(hall_id hall) const
{
    std::uint32_t tasks = 0;
    for (const hall_part& part : parts)
    {
        tasks += part.hall == hall ? part.tasks : 0;
    }
    return tasks;
}

const char* to_string(job_outcome outcome)
{
    switch (outcome)
    {
    case job_outcome::running:
        return "running";
    case job_outcome::completed:
        return "completed";
    case job_outcome::failed:
        return "failed";
    case job_outcome::cancelled:
        return "cancelled";
    case job_outcome::unknown:
        return "unknown";
    }
    return "?";
}

const char* to_string(workload_kind kind)
{
    switch (kind)
    {
    case workload_kind::service:
        return "service";
    case workload_kind::batch:
        return "batch";
    case workload_kind::gang:
        return "gang";
    }
    return "?";
}

} // namespace walkthread
