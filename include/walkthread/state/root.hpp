#pragma once

/// @file
/// @brief The root state machine: templates, teams, configurations and the jobs created from them.
///
/// Deterministic: every replica applies the same commands in the same order and reaches the same state and
/// the same results. The time of a command is the leader's wall time stored in the entry; no clock is read
/// here.
/// @since 0.1

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include <walkthread/state/errors.hpp>
#include <walkthread/state/model.hpp>

namespace walkthread
{

/// @brief Creates or updates a template.
struct put_template
{
    organisation_id organisation{};
    std::string request_id{};
    workload_template content{};
    MSGPACK_DEFINE(organisation, request_id, content)
};

/// @brief Creates or updates a team and its quota.
struct put_team
{
    organisation_id organisation{};
    std::string request_id{};
    std::string name{};
    resources quota{};
    MSGPACK_DEFINE(organisation, request_id, name, quota)
};

/// @brief Creates or updates a configuration, by compare-and-set on its version.
struct put_configuration
{
    organisation_id organisation{};
    std::string request_id{};
    std::string name{};
    version_id expected{}; ///< 0 for a configuration that does not exist yet
    std::string template_name{};
    std::string team{};
    parameters values{};
    std::uint8_t given{};           ///< mask of parameter_field: which of the values are set
    std::vector<hall_part> parts{}; ///< chosen by the root leader
    MSGPACK_DEFINE(organisation, request_id, name, expected, template_name, team, values, given, parts)
};

/// @brief Withdraws a configuration and cancels its jobs.
struct withdraw_configuration
{
    organisation_id organisation{};
    std::string request_id{};
    std::string name{};
    version_id expected{};
    MSGPACK_DEFINE(organisation, request_id, name, expected)
};

/// @brief Creates another job of a batch or gang configuration.
struct run_configuration
{
    organisation_id organisation{};
    std::string request_id{};
    std::string name{};
    std::vector<hall_part> parts{};
    MSGPACK_DEFINE(organisation, request_id, name, parts)
};

/// @brief Cancels jobs, any number at once.
struct cancel_jobs
{
    organisation_id organisation{};
    std::string request_id{};
    std::vector<job_id> jobs{};
    MSGPACK_DEFINE(organisation, request_id, jobs)
};

/// @brief A hall's report on a job that ended there.
struct job_end
{
    job_id job{};
    hall_id hall{};
    std::uint8_t outcome{};
    MSGPACK_DEFINE(job, hall, outcome)
};

/// @brief Reports of halls on ended jobs; duplicates have no effect.
struct finish_jobs
{
    std::vector<job_end> ends{};
    MSGPACK_DEFINE(ends)
};

using root_command = std::variant<put_template, put_team, put_configuration, withdraw_configuration,
                                  run_configuration, cancel_jobs, finish_jobs>;

/// @brief Result of a root command.
/// @since 0.1
struct root_result
{
    int code{};           ///< a state_code; 0 if the command took effect
    version_id version{}; ///< version of the configuration after the command
    std::vector<job_id> jobs{};
    std::string detail{};
    MSGPACK_DEFINE(code, version, jobs, detail)
};

/// @brief State of a job in root.
/// @since 0.1
struct root_job
{
    job_spec spec{};
    bool cancelled{};
    std::uint8_t outcome{};             ///< worst outcome reported by a hall
    std::vector<hall_id> ended_halls{}; ///< halls that reported its end
    MSGPACK_DEFINE(spec, cancelled, outcome, ended_halls)
};

/// @brief State of a team in root.
/// @since 0.1
struct team_record
{
    team_id id{};
    resources quota{};
    MSGPACK_DEFINE(id, quota)
};

/// @brief The root state machine.
/// @since 0.1
class root_state
{
  public:
    using name_key = std::pair<organisation_id, std::string>;

    /// @brief Applies one committed command. Complexity: logarithmic in names and jobs.
    root_result apply(wall_ms at, const root_command& command);

    [[nodiscard]] const std::map<name_key, configuration>& configurations() const
    {
        return m_configurations;
    }
    [[nodiscard]] const std::map<name_key, workload_template>& templates() const
    {
        return m_templates;
    }
    [[nodiscard]] const std::map<name_key, team_record>& teams() const
    {
        return m_teams;
    }
    /// @brief Jobs that have not ended in every hall.
    [[nodiscard]] const std::map<job_id, root_job>& jobs() const
    {
        return m_jobs;
    }
    /// @brief The most recently created jobs that have ended, oldest first.
    [[nodiscard]] const std::map<job_id, root_job>& ended_jobs() const
    {
        return m_ended;
    }

    /// @brief Serializes the whole state. Complexity: linear in the state.
    [[nodiscard]] std::string save() const;
    /// @brief Replaces the state with a serialized one. @return whether the bytes could be decoded
    bool load(std::string_view bytes);

  private:
    struct request_record
    {
        std::uint64_t digest{};
        wall_ms at{};
        root_result answer{};
        MSGPACK_DEFINE(digest, at, answer)
    };

    root_result run(wall_ms at, const put_template& command);
    root_result run(wall_ms at, const put_team& command);
    root_result run(wall_ms at, const put_configuration& command);
    root_result run(wall_ms at, const withdraw_configuration& command);
    root_result run(wall_ms at, const run_configuration& command);
    root_result run(wall_ms at, const cancel_jobs& command);
    root_result run(wall_ms at, const finish_jobs& command);

    template <typename Command>
    root_result run_idempotent(wall_ms at, const Command& command);
    void evict_old_requests(wall_ms at);
    root_result create_job(wall_ms at, const name_key& key, configuration& config,
                           const std::vector<hall_part>& parts);
    void cancel_all(const configuration& config);
    void end_job(job_id id);

    std::map<name_key, workload_template> m_templates;
    std::map<name_key, team_record> m_teams;
    std::map<name_key, configuration> m_configurations;
    std::map<job_id, root_job> m_jobs;
    std::map<job_id, root_job> m_ended;
    std::map<name_key, request_record> m_requests;
    std::deque<name_key> m_request_order; ///< oldest first
    std::uint64_t m_next_job = 1;
    std::uint32_t m_next_team = 1;
    std::uint32_t m_next_template = 1;

  public:
    MSGPACK_DEFINE(m_templates, m_teams, m_configurations, m_jobs, m_ended, m_requests, m_request_order,
                   m_next_job, m_next_team, m_next_template)
};

} // namespace walkthread
