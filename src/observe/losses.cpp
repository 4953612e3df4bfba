#include <walkthread/observe/losses.hpp>

#include <algorithm>
#include <istream>

#include <nlohmann/json.hpp>

namespace walkthread
{

namespace
{
using nlohmann::json;

constexpr std::size_t id_digits = 16;
constexpr std::int64_t too_many_requests = 429; // the lowest status that tells callers to retry

std::string text_of(const json& line, const char* name)
{
    const auto found = line.find(name);
    return found == line.end() || !found->is_string() ? std::string{} : found->get<std::string>();
}

std::int64_t number_of(const json& line, const char* name)
{
    const auto found = line.find(name);
    return found == line.end() || !found->is_number() ? 0 : found->get<std::int64_t>();
}
} // namespace

std::string_view name_of(loss_cause cause)
{
    switch (cause)
    {
    case loss_cause::refused:
        return "refused";
    case loss_cause::no_leader:
        return "no leader";
    case loss_cause::lost_host:
        return "lost host";
    case loss_cause::given_up:
        return "given up, it crashes workers";
    case loss_cause::failed_run:
        return "failed by itself";
    case loss_cause::advice:
        return "waiting for advice";
    case loss_cause::room:
        return "waiting for room";
    case loss_cause::never_began:
        return "never began";
    }
    return "unknown";
}

void loss_reader::read(std::istream& log)
{
    std::string text;
    while (std::getline(log, text))
    {
        const std::size_t begin = text.find('{');
        const json line =
            begin == std::string::npos ? json() : json::parse(text.substr(begin), nullptr, false);
        if (!line.is_object() || !line.contains("t") || !line["t"].is_number_integer())
        {
            m_unreadable += text.empty() ? 0 : 1;
            continue;
        }
        log_line facts;
        facts.at = line["t"].get<std::int64_t>();
        facts.process = text_of(line, "process");
        facts.event = text_of(line, "event");
        facts.id = text_of(line, "id").substr(0, id_digits);
        facts.queue = text_of(line, "queue");
        facts.how = text_of(line, "how");
        facts.status = number_of(line, "status");
        facts.slack_ms = number_of(line, "slack_ms");
        facts.order = line.contains("order") && line["order"] == true;
        take(facts);
    }
}

void loss_reader::take(const log_line& line)
{
    m_first = m_first < 0 ? line.at : std::min(m_first, line.at);
    take_leader_line(line);
    const bool of_submission =
        line.id.size() == id_digits && line.id.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (!of_submission)
    {
        return;
    }
    const auto [found, added] = m_records.try_emplace(line.id);
    record& of = found->second;
    of.first = added ? line.at : of.first;
    if (line.event == "submission_taken")
    {
        of.queue = line.queue;
        of.taken = of.taken < 0 ? line.at : of.taken;
        of.ready = of.taken;
    }
    else if (line.event == "request_not_served")
    {
        of.refused = of.refused || (line.order && line.status >= too_many_requests);
    }
    else if (line.event == "advice_asked")
    {
        of.advice_asked = line.at;
    }
    else if (line.event == "advice_taken" && of.advice_asked >= 0)
    {
        of.in_advice += line.at - of.advice_asked;
        of.advice_asked = -1;
    }
    else if (line.event == "starts_planned")
    {
        take_start(of, line);
    }
    else if (line.event == "run_ended")
    {
        take_end(of, line);
    }
    else if (line.event == "run_absent")
    {
        of.lost_host = true;
    }
    else if (line.event == "run_lost")
    {
        of.ready = line.at;
        of.lost_host = of.lost_host || of.late_start < 0;
    }
    else if (line.event == "task_given_up")
    {
        of.given_up = true;
    }
}

// There is no leader from the last line of a leader about its work until the next `leading` line.
void loss_reader::take_leader_line(const log_line& line)
{
    const bool leads = line.event == "leading";
    if (leads && m_leader_line >= 0 && line.at > m_leader_line)
    {
        m_leaderless.push_back({m_leader_line, line.at});
    }
    m_leader = leads ? line.process : m_leader;
    const bool of_work =
        line.event == "starts_planned" || line.event == "run_ended" || line.event == "submission_taken";
    if (line.process == m_leader && (of_work || leads))
    {
        m_leader_line = std::max(m_leader_line, line.at);
    }
}

void loss_reader::take_start(record& of, const log_line& line)
{
    of.began = true;
    if (line.slack_ms < 0 && of.late_start < 0)
    {
        of.late_start = line.at;
        of.late_wait = {of.ready, line.at};
        of.late_advice = of.in_advice;
    }
    of.in_advice = 0;
    of.ready = line.at;
}

void loss_reader::take_end(record& of, const log_line& line)
{
    const std::string& how = line.how;
    of.ready = line.at;
    of.in_advice = 0;
    const bool before_late = of.late_start < 0;
    of.lost_host = of.lost_host || (before_late && (how == "lapsed" || how == "never_began"));
    of.failed_run = of.failed_run || (before_late && (how == "failed" || how == "broken"));
}

std::int64_t loss_reader::leaderless_within(const wait& span) const
{
    std::int64_t sum = 0;
    for (const wait& gap : m_leaderless)
    {
        sum += std::max<std::int64_t>(0, std::min(gap.to, span.to) - std::max(gap.from, span.from));
    }
    return sum;
}

// Losses and failures of runs take precedence over waits for advice or capacity; of the waits, the one that
// accounts for at least half of the time is reported.
loss_cause loss_reader::cause_of(const record& of) const
{
    if (of.taken < 0)
    {
        return loss_cause::refused;
    }
    if (of.given_up)
    {
        return loss_cause::given_up;
    }
    if (of.late_start < 0)
    {
        return loss_cause::never_began;
    }
    const wait whole{of.first, of.late_start};
    const std::int64_t leaderless = leaderless_within(whole);
    const std::int64_t waited = std::max<std::int64_t>(of.late_wait.to - of.late_wait.from, 1);
    if (leaderless * 2 >= waited && leaderless > 0)
    {
        return loss_cause::no_leader;
    }
    if (of.lost_host)
    {
        return loss_cause::lost_host;
    }
    if (of.failed_run)
    {
        return loss_cause::failed_run;
    }
    return of.late_advice * 2 >= waited ? loss_cause::advice : loss_cause::room;
}

loss_report loss_reader::conclude() const
{
    loss_report out;
    out.unreadable = m_unreadable;
    for (const auto& [id, of] : m_records)
    {
        const bool known = of.taken >= 0 || of.refused;
        const bool lost = of.taken < 0 ? of.refused : !of.began || of.late_start >= 0 || of.given_up;
        out.submissions += known ? 1 : 0;
        if (known && lost)
        {
            out.losses.push_back({id, of.queue, (of.first - m_first) / 1000, cause_of(of)});
        }
    }
    std::stable_sort(out.losses.begin(), out.losses.end(),
                     [](const loss& a, const loss& b)
                     {
                         return a.second < b.second;
                     });
    return out;
}

} // namespace walkthread
