#pragma once

/// @file
/// @brief Analyzes decision logs: which submissions were late or unserved, and why.
/// @since 0.3

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace walkthread
{

/// @brief Why a submission was late or unserved, as far as the logs show.
enum class loss_cause : std::uint8_t
{
    refused,              ///< callers were told to retry, and it was never accepted
    no_leader,            ///< it waited mostly while there was no leader
    lost_host,            ///< runs of it were lost with their worker or never started
    given_up,             ///< a task of it was failed as a poison task
    failed_run,           ///< runs of it failed on their own or because of their worker
    waiting_for_advice,   ///< it waited mostly for the placement advisor
    waiting_for_capacity, ///< it waited for free capacity
    never_started,        ///< it was accepted, but the logs contain no start
};

/// @brief The text that commands print for a cause.
[[nodiscard]] std::string_view name_of(loss_cause cause);

/// @brief One submission that was late or unserved.
struct loss
{
    std::string id;
    std::string queue;     ///< empty if it was never accepted
    std::int64_t second{}; ///< time of its first line, in seconds since the first line of all logs
    loss_cause cause{};
};

/// @brief The result for all submissions.
struct loss_report
{
    std::vector<loss> losses; ///< in chronological order
    std::uint64_t submissions{};
    std::uint64_t unreadable{}; ///< lines that are no JSON object or are incomplete
};

/// @brief Collects the logs of several processes and determines the causes of losses.
///
/// A submission counts as late if a start was planned when it could no longer meet its latency objective.
/// @since 0.3
class loss_analyzer
{
  public:
    /// @brief Adds a log. Text before the JSON object of a line is skipped; unreadable lines are counted.
    void read(std::istream& log);
    /// @brief Returns the report. Complexity: linear in the lines, times the leader changes.
    [[nodiscard]] loss_report analyze() const;

  private:
    /// The fields of a line that the analysis uses.
    struct log_line
    {
        std::int64_t at{};
        std::string process;
        std::string event;
        std::string id;
        std::string queue;
        std::string how;
        std::int64_t status{};
        std::int64_t slack_ms{};
        bool order{};
    };
    struct time_span
    {
        std::int64_t from{};
        std::int64_t to{};
    };
    struct submission_record
    {
        std::string queue;
        std::int64_t first{};
        std::int64_t accepted_at{-1};
        std::int64_t ready{}; ///< when its current step became ready to start
        std::int64_t late_start{-1};
        time_span late_wait{}; ///< the wait before the late start
        std::int64_t advice_asked{-1};
        std::int64_t advice_wait_ms{}; ///< milliseconds of the current wait with an advisor query pending
        std::int64_t late_advice_wait_ms{};
        bool started{};
        bool refused{};
        bool lost_host{};
        bool failed_run{};
        bool given_up{};
    };

    void process_line(const log_line& line);
    void process_leader_line(const log_line& line);
    static void record_start(submission_record& submission, const log_line& line);
    static void record_end(submission_record& submission, const log_line& line);
    [[nodiscard]] loss_cause cause_of(const submission_record& submission) const;
    [[nodiscard]] std::int64_t leaderless_within(const time_span& span) const;

    std::map<std::string, submission_record> m_records;
    std::string m_leader;
    std::int64_t m_leader_line = -1; ///< time of the leader's last line about its work
    std::int64_t m_first = -1;
    std::vector<time_span> m_leaderless;
    std::uint64_t m_unreadable = 0;
};

} // namespace walkthread
