// Looks up policies and metrics by name, and checks expectations.

#include <walkthread/replay/replay.hpp>

#include <memory>
#include <random>
#include <sstream>

namespace walkthread
{

namespace
{
scheduler_settings random_choice()
{
    constexpr std::uint64_t seed = 1;
    auto random = std::make_shared<std::mt19937_64>(seed);
    scheduler_settings settings;
    settings.choose_host = [random](host_pool& pool, const resources& need)
    {
        return pool.random_fit(need, *random);
    };
    return settings;
}

scheduler_settings without_mechanism(bool scheduler_settings::*mechanism)
{
    scheduler_settings settings;
    settings.*mechanism = false;
    return settings;
}

scheduler_settings without_ageing()
{
    constexpr wall_ms never = wall_ms{1} << 50U;
    scheduler_settings settings;
    settings.ageing_step = never;
    return settings;
}

const std::map<std::string, scheduler_settings>& policies()
{
    static const std::map<std::string, scheduler_settings> all{
        {"walkthread", scheduler_settings{}},
        {"first_fit_fifo", first_fit_fifo()},
        {"random_choice", random_choice()},
        {"no_urgency", without_mechanism(&scheduler_settings::by_urgency)},
        {"no_fairness", without_mechanism(&scheduler_settings::fair)},
        {"no_skipping", without_mechanism(&scheduler_settings::skip_blocked)},
        {"no_spreading", without_mechanism(&scheduler_settings::spread_services)},
        {"no_reservation", without_mechanism(&scheduler_settings::reserve_for_gangs)},
        {"no_backfill", without_mechanism(&scheduler_settings::backfill)},
        {"no_learning", without_mechanism(&scheduler_settings::learn_run_times)},
        {"no_preemption", without_mechanism(&scheduler_settings::preempt)},
        {"no_reclaim", without_mechanism(&scheduler_settings::reclaim)},
        {"no_ageing", without_ageing()},
    };
    return all;
}

std::optional<double> find_wait_metric(const replay_report& report, const std::string& metric)
{
    const std::size_t slash = metric.find('/');
    const std::string what = metric.substr(0, slash);
    const auto found = report.waits.find(slash == std::string::npos ? "" : metric.substr(slash + 1));
    if (found == report.waits.end())
    {
        return std::nullopt;
    }
    const wait_statistics& waits = found->second;
    if (what == "wait_p50_s")
    {
        return waits.p50_s;
    }
    if (what == "wait_p99_s")
    {
        return waits.p99_s;
    }
    if (what == "wait_p999_s")
    {
        return waits.p999_s;
    }
    return what == "never_started" ? std::optional(static_cast<double>(waits.never_started)) : std::nullopt;
}

std::string check_expectation(const expectation& wanted, const replay_report& got, const replay_report* other)
{
    const std::optional<double> value = got.find_metric(wanted.metric);
    const std::optional<double> base =
        other == nullptr ? std::optional(1.0) : other->find_metric(wanted.metric);
    if (!value || !base)
    {
        return "Unknown metric: " + wanted.metric + '.';
    }
    const double compared = other == nullptr ? *value : *value / *base;
    if (compared >= wanted.min_value && compared <= wanted.max_value)
    {
        return {};
    }
    std::ostringstream out;
    out << wanted.metric << " of " << wanted.policy << " is " << *value;
    if (other != nullptr)
    {
        out << ", " << compared << " times that of " << wanted.baseline_policy;
    }
    out << "; expected: " << wanted.min_value << " to " << wanted.max_value << '.';
    return out.str();
}
} // namespace

std::optional<double> replay_report::find_metric(const std::string& metric) const
{
    const std::map<std::string, double> metrics_by_name{
        {"packing", packing},
        {"worst_share", worst_share},
        {"preemptions", static_cast<double>(preemptions)},
        {"lost_core_hours", lost_core_hours},
        {"jobs_completed", static_cast<double>(jobs_completed)},
        {"jobs_held", static_cast<double>(jobs_held)},
        {"placements", static_cast<double>(placements)},
        {"failed_runs", static_cast<double>(failed_runs)},
        {"hosts_per_placement", hosts_per_placement}};
    const auto found = metrics_by_name.find(metric);
    return found != metrics_by_name.end() ? std::optional(found->second) : find_wait_metric(*this, metric);
}

std::vector<std::string> policy_names()
{
    std::vector<std::string> names;
    for (const auto& [name, settings] : policies())
    {
        names.push_back(name);
    }
    return names;
}

std::optional<scheduler_settings> policy_by_name(const std::string& name)
{
    const auto found = policies().find(name);
    return found == policies().end() ? std::nullopt : std::optional(found->second);
}

std::vector<std::string> find_missed_expectations(const trace& recorded)
{
    std::map<std::string, replay_report> reports;
    const auto report_of = [&](const std::string& policy) -> const replay_report*
    {
        const std::optional<scheduler_settings> settings = policy_by_name(policy);
        if (!settings)
        {
            return nullptr;
        }
        if (!reports.contains(policy))
        {
            reports[policy] = replay(recorded, policy, *settings);
        }
        return &reports[policy];
    };
    std::vector<std::string> missed;
    for (const expectation& wanted : recorded.expected)
    {
        const replay_report* got = report_of(wanted.policy);
        const replay_report* other =
            wanted.baseline_policy.empty() ? nullptr : report_of(wanted.baseline_policy);
        const bool unknown = got == nullptr || (other == nullptr && !wanted.baseline_policy.empty());
        const std::string sentence = unknown ? "Unknown policy." : check_expectation(wanted, *got, other);
        if (!sentence.empty())
        {
            missed.push_back(sentence);
        }
    }
    for (const auto& [policy, report] : reports)
    {
        if (!report.invariant_violation.empty())
        {
            missed.push_back(policy + ": " + report.invariant_violation);
        }
    }
    return missed;
}

} // namespace walkthread
