#include "replay_command.hpp"

#include <cmath>
#include <iostream>

#include <nlohmann/json.hpp>

#include <walkthread/replay/replay.hpp>

#include "output.hpp"

namespace walkthread::ctl
{

namespace
{
using json = nlohmann::ordered_json;

constexpr int exit_success = 0;
constexpr int exit_usage = 1;
constexpr int exit_missed = 5;

double rounded(double value)
{
    constexpr double thousandths = 1000.0;
    return std::round(value * thousandths) / thousandths;
}

json to_json(const replay_report& report)
{
    json out{{"policy", report.policy}};
    for (const auto& [group, waits] : report.waits)
    {
        out["wait_p50_s/" + group] = rounded(waits.p50_s);
        out["wait_p99_s/" + group] = rounded(waits.p99_s);
        out["wait_p999_s/" + group] = rounded(waits.p999_s);
        out["never_started/" + group] = waits.never_started;
    }
    out["packing"] = rounded(report.packing);
    out["worst_share"] = rounded(report.worst_share);
    out["preemptions"] = report.preemptions;
    out["lost_core_hours"] = rounded(report.lost_core_hours);
    out["jobs_completed"] = report.jobs_completed;
    out["jobs_held"] = report.jobs_held;
    out["placements"] = report.placements;
    out["failed_runs"] = report.failed_runs;
    out["hosts_per_placement"] = rounded(report.hosts_per_placement);
    return out;
}

// One row per metric and one column per policy: there are too many metrics for one line.
json transposed(const std::vector<json>& reports)
{
    json rows = json::array();
    for (const auto& [metric, value] : reports.front().items())
    {
        if (metric == "policy")
        {
            continue;
        }
        json row{{"figure", metric}};
        for (const json& report : reports)
        {
            row[report.at("policy").get<std::string>()] = report.value(metric, json());
        }
        rows.push_back(std::move(row));
    }
    return rows;
}
} // namespace

int run_replay(const std::vector<std::string>& arguments, bool as_table)
{
    auto recorded = load_trace(arguments.front());
    if (!ok(recorded))
    {
        std::cerr << "Error " << error_of(recorded).number() << ": " << error_of(recorded).detail << '\n';
        return exit_usage;
    }
    std::vector<std::string> policies(arguments.begin() + 1, arguments.end());
    if (policies.empty())
    {
        policies = {"walkthread"};
    }
    if (policies == std::vector<std::string>{"all"})
    {
        policies = policy_names();
    }
    std::vector<json> reports;
    for (const std::string& policy : policies)
    {
        const std::optional<scheduler_settings> settings = policy_by_name(policy);
        if (!settings)
        {
            std::cerr << "Unknown policy: " << policy << ".\n";
            return exit_usage;
        }
        reports.push_back(to_json(replay(value_of(recorded), policy, *settings)));
    }
    print_document(as_table ? transposed(reports).dump() : json(reports).dump(), as_table);
    const std::vector<std::string> missed = find_missed_expectations(value_of(recorded));
    for (const std::string& sentence : missed)
    {
        std::cerr << "Missed: " << sentence << '\n';
    }
    return missed.empty() ? exit_success : exit_missed;
}

} // namespace walkthread::ctl
