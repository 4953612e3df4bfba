#pragma once

/// @file
/// @brief Strongly typed identifiers.
/// @since 0.1

#include <string>

#include <walkthread/units/strong.hpp>

namespace walkthread
{

/// @brief A control or gateway process, as numbered in the settings.
using node_id = strong<struct node_id_tag, std::uint16_t>;
/// @brief Incarnation of a data folder. A folder that is recreated after a loss gets another one.
using incarnation_id = strong<struct incarnation_id_tag, std::uint64_t>;
/// @brief A replicated group: 0 is root, hall groups follow.
using group_id = strong<struct group_id_tag, std::uint16_t>;
/// @brief A hall, numbered from 1 in the order of the settings; its group has the same number.
using hall_id = strong<struct hall_id_tag, std::uint16_t>;
/// @brief A term of leadership in one group.
using term_id = strong<struct term_id_tag, std::uint64_t>;
/// @brief A position in one group's log, from 1.
using log_index = strong<struct log_index_tag, std::uint64_t>;
/// @brief An organisation, numbered from 1 in the order of the settings.
using organisation_id = strong<struct organisation_id_tag, std::uint16_t>;
/// @brief A team inside an organisation, numbered by root.
using team_id = strong<struct team_id_tag, std::uint32_t>;
/// @brief A worker, identified by the platform's number of its host.
using worker_id = strong<struct worker_id_tag, std::uint32_t>;
/// @brief A rack inside a hall.
using rack_id = strong<struct rack_id_tag, std::uint32_t>;
/// @brief A lease epoch of a worker, incremented by each registration.
using epoch_id = strong<struct epoch_id_tag, std::uint32_t>;
/// @brief A job: one run of a configuration.
using job_id = strong<struct job_id_tag, std::uint64_t>;
/// @brief A template, numbered by root.
using template_id = strong<struct template_id_tag, std::uint32_t>;
/// @brief A version of a configuration, from 1; 0 means that it does not exist.
using version_id = strong<struct version_id_tag, std::uint64_t>;
/// @brief One attempt of a gateway to send a request to an endpoint.
using attempt_id = strong<struct attempt_id_tag, std::uint64_t>;

/// @brief The group that holds root state.
inline constexpr group_id root_group{0};

/// @brief The group of a hall.
[[nodiscard]] constexpr group_id group_of(hall_id hall)
{
    return group_id{hall.value()};
}

/// @brief A replica: a node under one incarnation of its data folder.
/// @since 0.1
struct replica_id
{
    node_id node{};
    incarnation_id incarnation{};
    friend auto operator<=>(const replica_id&, const replica_id&) = default;
    MSGPACK_DEFINE(node, incarnation)
};

/// @brief A task of a job: the job and the task's index in it, from 0.
/// @since 0.1
struct task_id
{
    job_id job{};
    std::uint32_t index{};
    friend auto operator<=>(const task_id&, const task_id&) = default;
    MSGPACK_DEFINE(job, index)
};

/// @brief One run of a task; each placement of the task gets the next run number.
/// @since 0.1
struct run_id
{
    task_id task{};
    std::uint32_t run{};
    friend auto operator<=>(const run_id&, const run_id&) = default;
    MSGPACK_DEFINE(task, run)
};

/// @brief Formats a run as `job/index/run`, the form used in all external protocols.
[[nodiscard]] inline std::string to_string(const run_id& run)
{
    return std::to_string(run.task.job.value()) + '/' + std::to_string(run.task.index) + '/' +
           std::to_string(run.run);
}

} // namespace walkthread
