// Parsing of JSON requests into typed commands. Every error names the field.

#include <walkthread/node/documents.hpp>

#include <algorithm>
#include <charconv>

#include <nlohmann/json.hpp>

namespace walkthread
{

using nlohmann::json;

namespace
{
constexpr std::int64_t max_cpu = 1'000'000;                         // millicores
constexpr std::int64_t max_memory = std::int64_t{16} * 1024 * 1024; // mebibytes
constexpr std::int64_t max_accelerators = 64;
constexpr std::int64_t max_tasks = 100'000;
constexpr std::int64_t max_run_seconds = 31LL * 24 * 3600;
constexpr std::size_t max_name_bytes = 64;
constexpr std::size_t max_request_id_bytes = 128;
constexpr std::size_t max_jobs_per_cancellation = 20'000;
constexpr std::size_t max_runs = 1024;

/// Reads fields of a JSON object and records the first error.
class object_reader
{
  public:
    explicit object_reader(const json& object) : m_object(object)
    {
        if (!object.is_object())
        {
            m_error = "The body must be a JSON object.";
        }
    }

    [[nodiscard]] bool has(const char* key) const
    {
        return m_object.is_object() && m_object.contains(key);
    }
    std::int64_t integer(const char* key, std::int64_t fallback, std::int64_t min_value,
                         std::int64_t max_value)
    {
        if (!has(key))
        {
            return fallback;
        }
        const json& value = m_object.at(key);
        const bool fits_type =
            value.is_number_unsigned() ? value.get<std::uint64_t>() <= INT64_MAX : value.is_number_integer();
        if (!fits_type || value.get<std::int64_t>() < min_value || value.get<std::int64_t>() > max_value)
        {
            fail(key, "must be a whole number from " + std::to_string(min_value) + " to " +
                          std::to_string(max_value));
            return fallback;
        }
        return value.get<std::int64_t>();
    }
    std::string text(const char* key, std::size_t max_bytes, bool required)
    {
        if (!has(key) || !m_object.at(key).is_string())
        {
            if (required || has(key))
            {
                fail(key, "must be a string");
            }
            return {};
        }
        auto value = m_object.at(key).get<std::string>();
        if (value.size() > max_bytes || (required && value.empty()))
        {
            fail(key, "must have 1 to " + std::to_string(max_bytes) + " bytes");
            return {};
        }
        return value;
    }
    bool flag(const char* key, bool fallback)
    {
        if (has(key) && !m_object.at(key).is_boolean())
        {
            fail(key, "must be true or false");
            return fallback;
        }
        return has(key) ? m_object.at(key).get<bool>() : fallback;
    }
    const json& child(const char* key)
    {
        static const json empty = json::object();
        return has(key) ? m_object.at(key) : empty;
    }
    void check_keys(std::initializer_list<const char*> known)
    {
        if (!m_object.is_object())
        {
            return;
        }
        for (const auto& [key, value] : m_object.items())
        {
            const auto same = [&key = key](const char* k)
            {
                return key == k;
            };
            if (std::none_of(known.begin(), known.end(), same))
            {
                fail(key, "is unknown");
            }
        }
    }
    void fail(const std::string& key, const std::string& why)
    {
        if (m_error.empty())
        {
            m_error = "Field '" + key + "' " + why + '.';
        }
    }
    [[nodiscard]] const std::string& error() const
    {
        return m_error;
    }

  private:
    const json& m_object;
    std::string m_error;
};

json parse_text(std::string_view text)
{
    return json::parse(text, nullptr, false);
}

void read_parameters(const settings& config, const json& from, parameters& out, std::string& error)
{
    object_reader reader(from);
    reader.check_keys(
        {"cpu_millicores", "memory_mib", "accelerators", "tasks", "urgency", "run_seconds", "halls"});
    out.size.cpu = reader.integer("cpu_millicores", out.size.cpu, 1, max_cpu);
    out.size.memory = reader.integer("memory_mib", out.size.memory, 1, max_memory);
    out.size.accelerators =
        static_cast<std::int32_t>(reader.integer("accelerators", out.size.accelerators, 0, max_accelerators));
    out.size.slots = 1;
    out.tasks = static_cast<std::uint32_t>(reader.integer("tasks", out.tasks, 1, max_tasks));
    out.urgency = static_cast<std::uint8_t>(reader.integer("urgency", out.urgency, 0, max_urgency));
    out.run_seconds = reader.integer("run_seconds", out.run_seconds, 0, max_run_seconds);
    if (reader.has("halls"))
    {
        out.halls.clear();
        for (const json& item : reader.child("halls"))
        {
            const hall_settings* hall =
                item.is_string() ? config.find_hall(item.get<std::string>()) : nullptr;
            if (hall == nullptr)
            {
                reader.fail("halls", "must be a list of hall names");
                break;
            }
            out.halls.push_back(hall->id);
        }
    }
    error = error.empty() ? reader.error() : error;
}

std::uint8_t given_parameters(const json& from)
{
    constexpr std::pair<const char*, parameter_field> fields[] = {
        {"cpu_millicores", parameter_field::cpu},
        {"memory_mib", parameter_field::memory},
        {"accelerators", parameter_field::accelerators},
        {"tasks", parameter_field::tasks},
        {"urgency", parameter_field::urgency},
        {"run_seconds", parameter_field::run_seconds},
        {"halls", parameter_field::halls}};
    std::uint8_t given = 0;
    for (const auto& [name, field] : fields)
    {
        given |= from.contains(name) ? static_cast<std::uint8_t>(field) : std::uint8_t{0};
    }
    return given;
}

bool parse_run_id(const std::string& text, run_id& out)
{
    std::uint64_t job = 0;
    const char* end = text.data() + text.size();
    const auto first = std::from_chars(text.data(), end, job);
    if (first.ec != std::errc{} || first.ptr == end || *first.ptr != '/')
    {
        return false;
    }
    const auto second = std::from_chars(first.ptr + 1, end, out.task.index);
    if (second.ec != std::errc{} || second.ptr == end || *second.ptr != '/')
    {
        return false;
    }
    const auto third = std::from_chars(second.ptr + 1, end, out.run);
    out.task.job = job_id{job};
    return third.ec == std::errc{} && third.ptr == end;
}

std::optional<run_event> parse_run_event(const std::string& word)
{
    constexpr std::pair<const char*, run_event> words[] = {
        {"accepted", run_event::accepted},   {"started", run_event::started},
        {"completed", run_event::completed}, {"failed", run_event::failed},
        {"stopped", run_event::stopped},     {"checkpointed", run_event::checkpointed}};
    for (const auto& [name, event] : words)
    {
        if (word == name)
        {
            return event;
        }
    }
    return std::nullopt;
}

void read_runs(object_reader& body, renew_call& out)
{
    const json& runs = body.child("runs");
    if (!body.has("runs"))
    {
        return;
    }
    if (!runs.is_array() || runs.size() > max_runs)
    {
        body.fail("runs", "must be a list of at most 1024 entries");
        return;
    }
    for (const json& item : runs)
    {
        object_reader reader(item);
        run_status status;
        const std::optional<run_event> event = parse_run_event(reader.text("state", max_name_bytes, true));
        if (!parse_run_id(reader.text("run", max_name_bytes, true), status.run) || !event)
        {
            body.fail("runs", "must have entries with a run as job/task/number and a known state");
            return;
        }
        status.event = static_cast<std::uint8_t>(*event);
        status.port = static_cast<std::uint16_t>(reader.integer("port", 0, 0, UINT16_MAX));
        status.cpu = reader.integer("cpu_millicores", 0, 0, max_cpu);
        status.memory = reader.integer("memory_mib", 0, 0, max_memory);
        status.throttled = reader.flag("throttled", false);
        status.stopping = reader.flag("stopping", false);
        if (!reader.error().empty())
        {
            body.fail("runs", "has an invalid entry: " + reader.error());
            return;
        }
        out.runs.push_back(status);
    }
}

constexpr const char* not_json = "The body is not valid JSON.";
void read_begun(object_reader& body, register_worker& out)
{
    if (!body.has("begun"))
    {
        return;
    }
    const json& begun = body.child("begun");
    if (!begun.is_array() || begun.size() > max_runs)
    {
        body.fail("begun", "must be a list of at most 1024 runs");
        return;
    }
    out.begun.emplace();
    for (const json& item : begun)
    {
        run_id run;
        if (!item.is_string() || !parse_run_id(item.get<std::string>(), run))
        {
            body.fail("begun", "must have runs as job/task/number");
            return;
        }
        out.begun->push_back(run);
    }
}
} // namespace

result<put_template, std::string> parse_template(const settings& config, std::string_view text)
{
    const json body = parse_text(text);
    if (body.is_discarded())
    {
        return std::string(not_json);
    }
    object_reader reader(body);
    reader.check_keys({"request_id", "kind", "repeatable", "defaults", "limits"});
    put_template out;
    out.request_id = reader.text("request_id", max_request_id_bytes, true);
    const std::string kind = reader.text("kind", max_name_bytes, true);
    constexpr workload_kind kinds[] = {workload_kind::service, workload_kind::batch, workload_kind::gang};
    const auto found = std::find_if(std::begin(kinds), std::end(kinds),
                                    [&](auto k)
                                    {
                                        return kind == to_string(k);
                                    });
    if (found == std::end(kinds))
    {
        reader.fail("kind", "must be service, batch or gang");
        return reader.error();
    }
    out.content.kind = static_cast<std::uint8_t>(*found);
    out.content.repeatable = reader.flag("repeatable", true);
    out.content.defaults.tasks = 1;
    out.content.defaults.size = {1000, 1024, 0, 1};
    std::string error = reader.error();
    read_parameters(config, reader.child("defaults"), out.content.defaults, error);
    out.content.limits = out.content.defaults;
    out.content.limits.urgency = max_urgency;
    read_parameters(config, reader.child("limits"), out.content.limits, error);
    if (!error.empty())
    {
        return error;
    }
    return out;
}

result<put_configuration, std::string> parse_configuration(const settings& config, std::string_view text)
{
    const json body = parse_text(text);
    if (body.is_discarded())
    {
        return std::string(not_json);
    }
    object_reader reader(body);
    reader.check_keys({"request_id", "expected_version", "template", "team", "parameters"});
    put_configuration out;
    out.request_id = reader.text("request_id", max_request_id_bytes, true);
    out.expected =
        version_id{static_cast<std::uint64_t>(reader.integer("expected_version", 0, 0, INT64_MAX))};
    out.template_name = reader.text("template", max_name_bytes, true);
    out.team = reader.text("team", max_name_bytes, false);
    std::string error = reader.error();
    const json& given = reader.child("parameters");
    read_parameters(config, given, out.values, error);
    out.given = given_parameters(given);
    if (!error.empty())
    {
        return error;
    }
    return out;
}

result<put_team, std::string> parse_team(std::string_view text)
{
    const json body = parse_text(text);
    if (body.is_discarded())
    {
        return std::string(not_json);
    }
    object_reader reader(body);
    reader.check_keys({"request_id", "cpu_millicores", "memory_mib", "accelerators"});
    put_team out;
    out.request_id = reader.text("request_id", max_request_id_bytes, true);
    constexpr std::int64_t max_quota_hosts = 1'000'000;
    out.quota.cpu = reader.integer("cpu_millicores", 0, 0, max_cpu * max_quota_hosts);
    out.quota.memory = reader.integer("memory_mib", 0, 0, max_memory * max_quota_hosts);
    out.quota.accelerators = static_cast<std::int32_t>(reader.integer("accelerators", 0, 0, max_quota_hosts));
    if (!reader.error().empty())
    {
        return reader.error();
    }
    return out;
}

result<cancel_jobs, std::string> parse_cancellation(std::string_view text)
{
    const json body = parse_text(text);
    if (body.is_discarded())
    {
        return std::string(not_json);
    }
    object_reader reader(body);
    reader.check_keys({"request_id", "jobs"});
    cancel_jobs out;
    out.request_id = reader.text("request_id", max_request_id_bytes, true);
    const json& jobs = reader.child("jobs");
    const auto is_job_number = [](const json& j)
    {
        return j.is_number_unsigned();
    };
    if (!jobs.is_array() || jobs.size() > max_jobs_per_cancellation ||
        !std::all_of(jobs.begin(), jobs.end(), is_job_number))
    {
        reader.fail("jobs", "must be a list of at most 20000 job numbers");
    }
    if (!reader.error().empty())
    {
        return reader.error();
    }
    for (const json& job : jobs)
    {
        out.jobs.emplace_back(job.get<std::uint64_t>());
    }
    return out;
}

result<renew_call, std::string> parse_renewal(std::string_view text)
{
    const json body = parse_text(text);
    if (body.is_discarded())
    {
        return std::string(not_json);
    }
    object_reader reader(body);
    reader.check_keys({"hall", "worker", "epoch", "previous", "rack", "address", "port", "size", "wait_ms",
                       "runs", "begun"});
    renew_call out;
    out.worker = worker_id{static_cast<std::uint32_t>(reader.integer("worker", 0, 0, UINT32_MAX))};
    out.epoch = epoch_id{static_cast<std::uint32_t>(reader.integer("epoch", 0, 0, UINT32_MAX))};
    out.wait_ms = reader.integer("wait_ms", 0, 0, 60'000);
    out.registration.worker = out.worker;
    out.registration.previous =
        epoch_id{static_cast<std::uint32_t>(reader.integer("previous", 0, 0, UINT32_MAX))};
    out.registration.rack = rack_id{static_cast<std::uint32_t>(reader.integer("rack", 0, 0, UINT32_MAX))};
    out.registration.address = reader.text("address", max_name_bytes, false);
    out.registration.port = static_cast<std::uint16_t>(reader.integer("port", 0, 0, UINT16_MAX));
    object_reader size(reader.child("size"));
    out.registration.size.cpu = size.integer("cpu_millicores", 0, 0, max_cpu);
    out.registration.size.memory = size.integer("memory_mib", 0, 0, max_memory);
    out.registration.size.accelerators =
        static_cast<std::int32_t>(size.integer("accelerators", 0, 0, max_accelerators));
    out.registration.size.slots = static_cast<std::int32_t>(size.integer("slots", 0, 0, max_tasks));
    if (out.worker.value() == 0)
    {
        reader.fail("worker", "must be a positive number");
    }
    if (!size.error().empty())
    {
        reader.fail("size", "is invalid: " + size.error());
    }
    read_runs(reader, out);
    read_begun(reader, out.registration);
    if (!reader.error().empty())
    {
        return reader.error();
    }
    return out;
}

} // namespace walkthread
