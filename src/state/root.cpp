#include <walkthread/state/root.hpp>

#include <algorithm>

#include <xxhash.h>

#include <walkthread/wire/codec.hpp>

namespace walkthread
{

namespace
{
// A repeated request id is recognized as a duplicate for 24 h.
constexpr wall_ms request_retention = wall_ms{24} * 3600 * 1000;
constexpr std::size_t max_ended_jobs = 4096; // number of ended jobs kept for queries

root_result refuse(state_code code, std::string detail, version_id version = {})
{
    return {static_cast<int>(code), version, {}, std::move(detail)};
}

/// Digest of the request, without the halls that the leader chose.
template <typename Command>
std::uint64_t digest_of(Command command)
{
    if constexpr (requires { command.parts; })
    {
        command.parts.clear();
    }
    const std::string bytes = encode(command);
    return XXH3_64bits(bytes.data(), bytes.size());
}

bool within(const parameters& values, const parameters& limits)
{
    return fits(values.size, limits.size) && values.tasks <= limits.tasks && values.urgency <= limits.urgency;
}
} // namespace

root_result root_state::apply(wall_ms at, const root_command& command)
{
    evict_old_requests(at);
    return std::visit(
        [this, at](const auto& c)
        {
            return run_idempotent(at, c);
        },
        command);
}

template <typename Command>
root_result root_state::run_idempotent(wall_ms at, const Command& command)
{
    if constexpr (requires { command.request_id; })
    {
        const name_key key{command.organisation, command.request_id};
        const std::uint64_t digest = digest_of(command);
        const auto found = m_requests.find(key);
        if (found != m_requests.end())
        {
            const bool same = found->second.digest == digest;
            return same ? found->second.answer
                        : refuse(state_code::request_id_reused,
                                 "The request id was already used for another command.");
        }
        root_result answer = run(at, command);
        m_requests[key] = request_record{digest, at, answer};
        m_request_order.push_back(key);
        return answer;
    }
    else
    {
        return run(at, command);
    }
}

void root_state::evict_old_requests(wall_ms at)
{
    while (!m_request_order.empty())
    {
        const auto found = m_requests.find(m_request_order.front());
        if (found->second.at + request_retention >= at)
        {
            return;
        }
        m_requests.erase(found);
        m_request_order.pop_front();
    }
}

root_result root_state::run(wall_ms /*at*/, const put_template& command)
{
    workload_template& stored = m_templates[{command.organisation, command.content.name}];
    const version_id version{stored.version.value() + 1};
    const template_id id = stored.id.value() == 0 ? template_id{m_next_template++} : stored.id;
    stored = command.content;
    stored.id = id;
    stored.version = version;
    return {0, version, {}, {}};
}

root_result root_state::run(wall_ms /*at*/, const put_team& command)
{
    team_record& stored = m_teams[{command.organisation, command.name}];
    if (stored.id.value() == 0)
    {
        stored.id = team_id{m_next_team++};
    }
    stored.quota = command.quota;
    return {};
}

root_result root_state::run(wall_ms at, const put_configuration& command)
{
    const name_key key{command.organisation, command.name};
    const auto stored_template = m_templates.find({command.organisation, command.template_name});
    if (stored_template == m_templates.end())
    {
        return refuse(state_code::unknown_name, "No template '" + command.template_name + "'.");
    }
    if (!command.team.empty() && !m_teams.contains({command.organisation, command.team}))
    {
        return refuse(state_code::unknown_name, "No team '" + command.team + "'.");
    }
    const parameters values = merge(stored_template->second.defaults, command.values, command.given);
    if (!within(values, stored_template->second.limits))
    {
        return refuse(state_code::over_template_limit, "A parameter is above the template's limit.");
    }
    const auto found = m_configurations.find(key);
    const version_id current = found == m_configurations.end() ? version_id{} : found->second.version;
    if (current != command.expected)
    {
        return refuse(state_code::version_conflict,
                      "The current version is " + std::to_string(current.value()) + '.', current);
    }
    configuration& config = m_configurations[key];
    cancel_all(config);
    config = configuration{command.name,
                           command.template_name,
                           command.team,
                           values,
                           version_id{current.value() + 1},
                           false,
                           {}};
    return create_job(at, key, config, command.parts);
}

root_result root_state::run(wall_ms /*at*/, const withdraw_configuration& command)
{
    const auto found = m_configurations.find({command.organisation, command.name});
    if (found == m_configurations.end())
    {
        return refuse(state_code::unknown_name, "No configuration '" + command.name + "'.");
    }
    configuration& config = found->second;
    if (config.version != command.expected)
    {
        return refuse(state_code::version_conflict,
                      "The current version is " + std::to_string(config.version.value()) + '.',
                      config.version);
    }
    cancel_all(config);
    config.withdrawn = true;
    config.version = version_id{config.version.value() + 1};
    return {0, config.version, {}, {}};
}

root_result root_state::run(wall_ms at, const run_configuration& command)
{
    const name_key key{command.organisation, command.name};
    const auto found = m_configurations.find(key);
    if (found == m_configurations.end() || found->second.withdrawn)
    {
        return refuse(state_code::unknown_name, "No configuration '" + command.name + "'.");
    }
    const auto stored_template = m_templates.find({command.organisation, found->second.template_name});
    if (stored_template->second.workload() == workload_kind::service)
    {
        return refuse(state_code::bad_parameter, "A service runs already; change its configuration instead.",
                      found->second.version);
    }
    return create_job(at, key, found->second, command.parts);
}

root_result root_state::run(wall_ms /*at*/, const cancel_jobs& command)
{
    root_result answer;
    for (const job_id id : command.jobs)
    {
        const auto found = m_jobs.find(id);
        if (found != m_jobs.end() && found->second.spec.organisation == command.organisation)
        {
            found->second.cancelled = true;
            answer.jobs.push_back(id);
        }
    }
    return answer;
}

root_result root_state::run(wall_ms /*at*/, const finish_jobs& command)
{
    for (const job_end& end : command.ends)
    {
        const auto found = m_jobs.find(end.job);
        if (found == m_jobs.end())
        {
            continue;
        }
        root_job& job = found->second;
        const bool already_reported =
            std::find(job.ended_halls.begin(), job.ended_halls.end(), end.hall) != job.ended_halls.end();
        if (already_reported || job.spec.tasks_in(end.hall) == 0)
        {
            continue;
        }
        job.ended_halls.push_back(end.hall);
        job.outcome = std::max(job.outcome, end.outcome);
        if (job.ended_halls.size() == job.spec.parts.size())
        {
            end_job(end.job);
        }
    }
    return {};
}

root_result root_state::create_job(wall_ms at, const name_key& key, configuration& config,
                                   const std::vector<hall_part>& parts)
{
    const workload_template& stored_template = m_templates.at({key.first, config.template_name});
    const job_id id{m_next_job++};
    job_spec spec;
    spec.id = id;
    spec.organisation = key.first;
    spec.team = config.team.empty() ? team_id{} : m_teams.at({key.first, config.team}).id;
    spec.from = stored_template.id;
    spec.name = config.name;
    spec.version = config.version;
    spec.kind = stored_template.kind;
    spec.repeatable = stored_template.repeatable;
    spec.values = config.values;
    spec.parts = parts;
    spec.submitted = at;
    m_jobs[id].spec = std::move(spec);
    config.jobs.push_back(id);
    return {0, config.version, {id}, {}};
}

void root_state::cancel_all(const configuration& config)
{
    for (const job_id id : config.jobs)
    {
        const auto found = m_jobs.find(id);
        if (found != m_jobs.end())
        {
            found->second.cancelled = true;
        }
    }
}

void root_state::end_job(job_id id)
{
    auto node = m_jobs.extract(id);
    const job_spec& spec = node.mapped().spec;
    const auto config = m_configurations.find({spec.organisation, spec.name});
    if (config != m_configurations.end())
    {
        std::erase(config->second.jobs, id);
    }
    m_ended.insert(std::move(node));
    while (m_ended.size() > max_ended_jobs)
    {
        m_ended.erase(m_ended.begin());
    }
}

std::string root_state::save() const
{
    return encode(*this);
}

bool root_state::load(std::string_view bytes)
{
    auto decoded = decode<root_state>(bytes);
    if (!ok(decoded))
    {
        return false;
    }
    *this = std::move(value_of(decoded));
    return true;
}

} // namespace walkthread
