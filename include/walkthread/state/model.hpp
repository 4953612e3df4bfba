#pragma once

/// @file
/// @brief Data model of workloads: templates, parameters, configurations, and the jobs created from them.
/// @since 0.1

#include <cstdint>
#include <string>
#include <vector>

#include <walkthread/units/amounts.hpp>
#include <walkthread/units/ids.hpp>
#include <walkthread/units/time.hpp>

namespace walkthread
{

/// @brief Kind of workload; decides how the tasks of a job are scheduled.
enum class workload_kind : std::uint8_t
{
    service = 0, ///< long-running; serves requests; spread over racks and halls
    batch = 1,   ///< finite; packed; may wait
    gang = 2,    ///< finite; all tasks start together or none
};

/// @brief The urgency from which work is urgent: it is placed first and may preempt.
inline constexpr std::uint8_t urgent = 3;
/// @brief The highest urgency that an operator may request.
inline constexpr std::uint8_t max_urgency = 3;

/// @brief Parameters of a configuration.
/// @since 0.1
struct parameters
{
    resources size{};             ///< resources of one task
    std::uint32_t tasks{};        ///< number of tasks
    std::uint8_t urgency{};       ///< 0 to 3
    std::int64_t run_seconds{};   ///< declared run time of a task; 0 for services
    std::vector<hall_id> halls{}; ///< halls where it may run; empty for any
    MSGPACK_DEFINE(size, tasks, urgency, run_seconds, halls)
};

/// @brief Bit mask of the parameters that a configuration sets; the others come from the template.
enum class parameter_field : std::uint8_t
{
    cpu = 1,
    memory = 2,
    accelerators = 4,
    tasks = 8,
    urgency = 16,
    run_seconds = 32,
    halls = 64,
};

/// @brief Merges a configuration's parameters into the template's defaults.
/// @param given a mask of parameter_field
[[nodiscard]] parameters merge(const parameters& defaults, const parameters& values, std::uint8_t given);

/// @brief A template: defaults and limits for configurations of one kind of work.
/// @since 0.1
struct workload_template
{
    std::string name{};
    template_id id{};
    std::uint8_t kind{};
    bool repeatable{}; ///< whether a task or a request may run again after an unknown outcome
    parameters defaults{};
    parameters limits{}; ///< largest allowed values
    version_id version{};
    MSGPACK_DEFINE(name, id, kind, repeatable, defaults, limits, version)

    [[nodiscard]] workload_kind workload() const
    {
        return static_cast<workload_kind>(kind);
    }
};

/// @brief How many tasks of a job one hall runs.
/// @since 0.1
struct hall_part
{
    hall_id hall{};
    std::uint32_t tasks{};
    MSGPACK_DEFINE(hall, tasks)
};

/// @brief The current version of a configuration.
/// @since 0.1
struct configuration
{
    std::string name{};
    std::string template_name{};
    std::string team{};
    parameters values{};
    version_id version{};
    bool withdrawn{};
    std::vector<job_id> jobs{}; ///< its jobs that have not ended
    MSGPACK_DEFINE(name, template_name, team, values, version, withdrawn, jobs)
};

/// @brief A job: one run of a configuration, as root sends it to the halls.
/// @since 0.1
struct job_spec
{
    job_id id{};
    organisation_id organisation{};
    team_id team{};
    template_id from{};
    std::string name{}; ///< name of the configuration
    version_id version{};
    std::uint8_t kind{};
    bool repeatable{};
    parameters values{};
    std::vector<hall_part> parts{};
    wall_ms submitted{};
    MSGPACK_DEFINE(id, organisation, team, from, name, version, kind, repeatable, values, parts, submitted)

    [[nodiscard]] workload_kind workload() const
    {
        return static_cast<workload_kind>(kind);
    }
    /// @brief Number of tasks that a hall runs. Complexity: linear in the parts.
    [[nodiscard]] std::uint32_t tasks_in(hall_id hall) const;
};

/// @brief Outcome of a job.
enum class job_outcome : std::uint8_t
{
    running = 0,   ///< not ended yet
    completed = 1, ///< every task completed
    failed = 2,    ///< a task failed and must not be rerun
    cancelled = 3, ///< withdrawn before it ended
    unknown = 4,   ///< a non-repeatable task was lost or stopped with unknown effect
};

/// @brief The name of an outcome, as printed and in JSON.
[[nodiscard]] const char* to_string(job_outcome outcome);
/// @brief The name of a workload kind, as printed and in JSON.
[[nodiscard]] const char* to_string(workload_kind kind);

} // namespace walkthread
