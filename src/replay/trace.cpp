#include <walkthread/replay/trace.hpp>

#include <algorithm>
#include <fstream>
#include <optional>
#include <sstream>

#include <nlohmann/json.hpp>

namespace walkthread
{

using nlohmann::json;

namespace
{
constexpr std::int64_t ms_per_second = 1000;

resources read_size(const json& from, resources out)
{
    out.cpu = from.value("cpu_millicores", out.cpu);
    out.memory = from.value("memory_mib", out.memory);
    out.accelerators = from.value("accelerators", out.accelerators);
    out.slots = from.value("slots", out.slots);
    return out;
}

trace_workers read_workers(const json& from)
{
    trace_workers out;
    out.count = from.at("count").get<std::uint32_t>();
    out.rack_size = from.value("rack_size", out.rack_size);
    out.size = read_size(from, out.size);
    return out;
}

workload_kind read_kind(const std::string& word)
{
    for (const auto kind : {workload_kind::service, workload_kind::batch, workload_kind::gang})
    {
        if (word == to_string(kind))
        {
            return kind;
        }
    }
    throw std::invalid_argument("kind must be service, batch or gang");
}

trace_job read_job(const json& from)
{
    trace_job out;
    out.name = from.at("name").get<std::string>();
    out.organisation = organisation_id{from.at("organisation").get<std::uint16_t>()};
    out.kind = read_kind(from.at("kind").get<std::string>());
    out.tasks = from.value("tasks", out.tasks);
    out.size = read_size(from, out.size);
    out.urgency = from.value("urgency", out.urgency);
    out.declared_s = from.value("declared_s", out.declared_s);
    out.actual_s = from.value("actual_s", out.declared_s);
    out.repeatable = from.value("repeatable", out.repeatable);
    out.from = from.value("template", out.from);
    return out;
}

template <typename Range>
Range read_range(const json& from)
{
    return {from.at("first").get<std::uint32_t>(), from.at("last").get<std::uint32_t>()};
}

expectation read_expectation(const json& from)
{
    expectation out;
    out.metric = from.at("metric").get<std::string>();
    out.policy = from.value("policy", out.policy);
    out.baseline_policy = from.value("of", out.baseline_policy);
    out.min_value = from.value("least", out.min_value);
    out.max_value = from.value("most", out.max_value);
    return out;
}

std::optional<trace_event> read_event(const json& line)
{
    if (line.contains("workers"))
    {
        return read_workers(line.at("workers"));
    }
    if (line.contains("job"))
    {
        return read_job(line.at("job"));
    }
    if (line.contains("cancel"))
    {
        return trace_cancel{line.at("cancel").get<std::string>()};
    }
    if (line.contains("lose"))
    {
        return read_range<trace_worker_loss>(line.at("lose"));
    }
    if (line.contains("failing"))
    {
        return read_range<trace_worker_failures>(line.at("failing"));
    }
    return std::nullopt;
}

void read_line(const json& line, trace& out)
{
    if (line.contains("trace"))
    {
        out.name = line.at("trace").get<std::string>();
        out.end = line.at("end_s").get<std::int64_t>() * ms_per_second;
        return;
    }
    if (line.contains("expect"))
    {
        out.expected.push_back(read_expectation(line.at("expect")));
        return;
    }
    const std::optional<trace_event> event = read_event(line);
    if (!event)
    {
        throw std::invalid_argument(
            "a line must contain trace, expect, workers, job, cancel, lose or failing");
    }
    const auto first = static_cast<wall_ms>(line.at("at_s").get<double>() * ms_per_second);
    const auto every = static_cast<wall_ms>(line.value("every_s", 0.0) * ms_per_second);
    const auto count = line.value("count", std::int64_t{1});
    for (std::int64_t i = 0; i < count; ++i)
    {
        out.events.push_back({first + i * every, *event});
    }
}
} // namespace

result<trace, trace_error> parse_trace(std::string_view text)
{
    trace out;
    std::istringstream lines{std::string(text)};
    std::string line;
    for (int number = 1; std::getline(lines, line); ++number)
    {
        if (line.empty() || line.front() == '#')
        {
            continue;
        }
        try
        {
            read_line(json::parse(line), out);
        }
        catch (const std::exception& failure)
        {
            return trace_error{trace_code::malformed,
                               "Line " + std::to_string(number) + ": " + failure.what() + '.'};
        }
    }
    const auto earlier = [](const timed_event& a, const timed_event& b)
    {
        return a.at < b.at;
    };
    std::stable_sort(out.events.begin(), out.events.end(), earlier);
    return out;
}

result<trace, trace_error> load_trace(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
    {
        return trace_error{trace_code::unreadable, path + ": cannot read the trace file."};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parse_trace(text.str());
}

} // namespace walkthread
