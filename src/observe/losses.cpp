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
    case loss_cause::waiting_for_advice:
        return "waiting for advice";
    case loss_cause::waiting_for_capacity:
        return "waiting for room";
    case loss_cause::never_started:
        return "never began";
    }
    return "unknown";
}

void loss_analyzer::read(std::istream& log)
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
        log_line description;
        description.at = line["t"].get<std::int64_t>();
        description.process = text_of(line, "process");
        description.event = text_of(line, "event");
        description.id = text_of(line, "id").substr(0, id_digits);
        description.queue = text_of(line, "queue");
        description.how = text_of(line, "how");
        description.status = number_of(line, "status");
        description.slack_ms = number_of(line, "slack_ms");
        description.order = line.contains("order") && line["order"] == true;
        process_line(description);
    }
}

void loss_analyzer::process_line(const log_line& line)
{
    m_first = m_first < 0 ? line.at : std::min(m_first, line.at);
    process_leader_line(line);
    const bool has_submission_id =
        line.id.size() == id_digits && line.id.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (!has_submission_id)
    {
        return;
    }
    const auto [found, added] = m_records.try_emplace(line.id);
    submission_record& submission = found->second;
    submission.first = added ? line.at : submission.first;
    if (line.event == "submission_taken")
    {
        submission.queue = line.queue;
        submission.accepted_at = submission.accepted_at < 0 ? line.at : submission.accepted_at;
        submission.ready = submission.accepted_at;
    }
    else if (line.event == "request_not_served")
    {
        submission.refused = submission.refused || (line.order && line.status >= too_many_requests);
    }
    else if (line.event == "advice_asked")
    {
        submission.advice_asked = line.at;
    }
    else if (line.event == "advice_taken" && submission.advice_asked >= 0)
    {
        submission.advice_wait_ms += line.at - submission.advice_asked;
        submission.advice_asked = -1;
    }
    else if (line.event == "starts_planned")
    {
        record_start(submission, line);
    }
    else if (line.event == "run_ended")
    {
        record_end(submission, line);
    }
    else if (line.event == "run_absent")
    {
        submission.lost_host = true;
    }
    else if (line.event == "run_lost")
    {
        submission.ready = line.at;
        submission.lost_host = submission.lost_host || submission.late_start < 0;
    }
    else if (line.event == "task_given_up")
    {
        submission.given_up = true;
    }
}

// There is no leader from the last line of a leader about its work until the next `leading` line.
void loss_analyzer::process_leader_line(const log_line& line)
{
    const bool leads = line.event == "leading";
    if (leads && m_leader_line >= 0 && line.at > m_leader_line)
    {
        m_leaderless.push_back({m_leader_line, line.at});
    }
    m_leader = leads ? line.process : m_leader;
    const bool is_work_event =
        line.event == "starts_planned" || line.event == "run_ended" || line.event == "submission_taken";
    if (line.process == m_leader && (is_work_event || leads))
    {
        m_leader_line = std::max(m_leader_line, line.at);
    }
}

void loss_analyzer::record_start(submission_record& submission, const log_line& line)
{
    submission.started = true;
    if (line.slack_ms < 0 && submission.late_start < 0)
    {
        submission.late_start = line.at;
        submission.late_wait = {submission.ready, line.at};
        submission.late_advice_wait_ms = submission.advice_wait_ms;
    }
    submission.advice_wait_ms = 0;
    submission.ready = line.at;
}

void loss_analyzer::record_end(submission_record& submission, const log_line& line)
{
    const std::string& how = line.how;
    submission.ready = line.at;
    submission.advice_wait_ms = 0;
    const bool before_late = submission.late_start < 0;
    submission.lost_host = submission.lost_host || (before_late && (how == "lapsed" || how == "never_began"));
    submission.failed_run = submission.failed_run || (before_late && (how == "failed" || how == "broken"));
}

std::int64_t loss_analyzer::leaderless_within(const time_span& span) const
{
    std::int64_t sum = 0;
    for (const time_span& gap : m_leaderless)
    {
        sum += std::max<std::int64_t>(0, std::min(gap.to, span.to) - std::max(gap.from, span.from));
    }
    return sum;
}

// Losses and failures of runs take precedence over waits for advice or capacity; of the waits, the one that
// accounts for at least half of the time is reported.
loss_cause loss_analyzer::cause_of(const submission_record& submission) const
{
    if (submission.accepted_at < 0)
    {
        return loss_cause::refused;
    }
    if (submission.given_up)
    {
        return loss_cause::given_up;
    }
    if (submission.late_start < 0)
    {
        return loss_cause::never_started;
    }
    const time_span total_wait{submission.first, submission.late_start};
    const std::int64_t leaderless = leaderless_within(total_wait);
    const std::int64_t waited =
        std::max<std::int64_t>(submission.late_wait.to - submission.late_wait.from, 1);
    if (leaderless * 2 >= waited && leaderless > 0)
    {
        return loss_cause::no_leader;
    }
    if (submission.lost_host)
    {
        return loss_cause::lost_host;
    }
    if (submission.failed_run)
    {
        return loss_cause::failed_run;
    }
    return submission.late_advice_wait_ms * 2 >= waited ? loss_cause::waiting_for_advice
                                                        : loss_cause::waiting_for_capacity;
}

loss_report loss_analyzer::analyze() const
{
    loss_report out;
    out.unreadable = m_unreadable;
    for (const auto& [id, submission] : m_records)
    {
        const bool known = submission.accepted_at >= 0 || submission.refused;
        const bool lost = submission.accepted_at < 0
                              ? submission.refused
                              : !submission.started || submission.late_start >= 0 || submission.given_up;
        out.submissions += known ? 1 : 0;
        if (known && lost)
        {
            out.losses.push_back(
                {id, submission.queue, (submission.first - m_first) / 1000, cause_of(submission)});
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
