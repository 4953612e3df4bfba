#define BOOST_TEST_MODULE losses
#include <boost/test/unit_test.hpp>

#include <sstream>

#include <walkthread/observe/losses.hpp>

using namespace walkthread;

namespace
{
// Builds a log in the format of the processes; times are offsets in milliseconds from 1,000,000.
class log_text
{
  public:
    log_text& line(std::int64_t at, const std::string& process, const std::string& event,
                   const std::string& id, const std::string& fields = {})
    {
        m_text += "  1.23 " + process + " {\"t\":" + std::to_string(1'000'000 + at) + ",\"process\":\"" +
                  process + "\",\"event\":\"" + event + "\",\"id\":\"" + id + "\"" +
                  (fields.empty() ? "" : "," + fields) + "}\n";
        return *this;
    }
    log_text& raw(const std::string& text)
    {
        m_text += text + '\n';
        return *this;
    }
    [[nodiscard]] loss_report report() const
    {
        loss_analyzer reader;
        std::istringstream in(m_text);
        reader.read(in);
        return reader.analyze();
    }

  private:
    std::string m_text;
};

const std::string first = "6a6ced0a302f6003";
const std::string second = "7b6ced0a302f6003";

log_text log_with_leader()
{
    log_text out;
    out.line(0, "core-1", "leading", "", "\"term\":1");
    return out;
}
log_text& add_accepted(log_text& log, std::int64_t at, const std::string& id,
                       const std::string& process = "core-1")
{
    return log.line(at, process, "submission_taken", id, "\"queue\":\"loans\"");
}
log_text& add_planned(log_text& log, std::int64_t at, const std::string& id, std::int64_t slack,
                      const std::string& process = "core-1")
{
    return log.line(at, process, "starts_planned", id + ".0.0", "\"slack_ms\":" + std::to_string(slack));
}
} // namespace

BOOST_AUTO_TEST_CASE(a_submission_on_time_is_not_reported)
{
    log_text log = log_with_leader();
    add_accepted(log, 100, first);
    add_planned(log, 130, first, 800);
    BOOST_TEST(log.report().submissions == 1U);
    BOOST_TEST(log.report().losses.empty());
}

BOOST_AUTO_TEST_CASE(waits_for_advice_and_for_capacity_are_distinguished)
{
    log_text log = log_with_leader();
    add_accepted(log, 100, first);
    log.line(110, "core-1", "advice_asked", first + ".0.0")
        .line(1900, "core-1", "advice_taken", first + ".0.0");
    add_planned(log, 2000, first, -50);
    add_accepted(log, 100, second);
    log.line(110, "core-1", "advice_asked", second + ".0.0")
        .line(300, "core-1", "advice_taken", second + ".0.0");
    add_planned(log, 2000, second, -50);
    const loss_report report = log.report();
    BOOST_REQUIRE(report.losses.size() == 2U);
    BOOST_TEST((report.losses[0].cause == loss_cause::waiting_for_advice));
    BOOST_TEST((report.losses[1].cause == loss_cause::waiting_for_capacity));
    BOOST_TEST(report.losses[0].queue == "loans");
    BOOST_TEST(report.losses[0].second == 0);
}

BOOST_AUTO_TEST_CASE(a_wait_without_a_leader_is_detected)
{
    log_text log = log_with_leader();
    add_accepted(log, 900, first);
    log.line(3000, "core-2", "leading", "", "\"term\":2");
    add_planned(log, 3050, first, -400, "core-2");
    const loss_report report = log.report();
    BOOST_REQUIRE(report.losses.size() == 1U);
    BOOST_TEST((report.losses.front().cause == loss_cause::no_leader));
}

BOOST_AUTO_TEST_CASE(lost_hosts_and_failures_take_precedence_over_waits)
{
    log_text log = log_with_leader();
    add_accepted(log, 100, first);
    add_planned(log, 120, first, 900);
    log.line(5000, "core-1", "run_ended", first + ".0.0.0/1", "\"how\":\"lapsed\"");
    add_planned(log, 5010, first, -3000);
    add_accepted(log, 6000, second);
    add_planned(log, 6020, second, 900);
    log.line(7000, "core-1", "run_ended", second + ".0.0.0/1", "\"how\":\"failed\"");
    add_planned(log, 7010, second, -10);
    const loss_report report = log.report();
    BOOST_REQUIRE(report.losses.size() == 2U);
    BOOST_TEST((report.losses[0].cause == loss_cause::lost_host));
    BOOST_TEST((report.losses[1].cause == loss_cause::failed_run));
    BOOST_TEST(report.losses[1].second == 6);
}

BOOST_AUTO_TEST_CASE(a_refused_submission_never_accepted_is_unserved)
{
    log_text log = log_with_leader();
    log.line(500, "edge-1", "request_not_served", first, "\"status\":503,\"order\":true");
    log.line(600, "edge-1", "request_not_served", second, "\"status\":503,\"order\":true");
    add_accepted(log, 700, second);
    add_planned(log, 710, second, 300);
    log.line(800, "edge-1", "request_not_served", "ffff111122223333", "\"status\":410,\"order\":false");
    const loss_report report = log.report();
    BOOST_REQUIRE(report.losses.size() == 1U);
    BOOST_TEST(report.losses.front().id == first);
    BOOST_TEST((report.losses.front().cause == loss_cause::refused));
    BOOST_TEST(report.submissions == 2U);
}

// A truncated log that contains lines of other programs is still analyzed.
BOOST_AUTO_TEST_CASE(truncated_and_foreign_lines_are_counted_and_skipped)
{
    log_text log = log_with_leader();
    log.raw("a line without anything").raw("  2.0 core-1 {\"t\":12,\"event\":").raw("{\"t\":\"x\"}").raw("");
    add_accepted(log, 100, first);
    const loss_report report = log.report();
    BOOST_TEST(report.unreadable == 3U);
    BOOST_REQUIRE(report.losses.size() == 1U);
    BOOST_TEST((report.losses.front().cause == loss_cause::never_started));
}

// Runs that are lost with their worker have a `run_lost` line but no `run_ended` line.
BOOST_AUTO_TEST_CASE(a_poison_task_is_distinguished_from_tasks_beside_it)
{
    log_text log = log_with_leader();
    add_accepted(log, 100, first);
    add_accepted(log, 110, second);
    add_planned(log, 130, first, 800);
    add_planned(log, 140, second, 700);
    log.line(3200, "core-1", "run_lost", first + ".0.0.0/1", "\"blame\":22");
    log.line(3200, "core-1", "run_lost", second + ".0.0.1/1", "\"blame\":6");
    add_planned(log, 3210, first, -2300);
    add_planned(log, 3220, second, -2400);
    log.line(6500, "core-1", "run_lost", first + ".0.0.0/2", "\"blame\":22");
    log.line(6510, "core-1", "task_given_up", first + ".0.0.0", "\"crashes\":2");
    const loss_report report = log.report();
    BOOST_REQUIRE(report.losses.size() == 2U);
    BOOST_TEST((report.losses[0].cause == loss_cause::given_up));
    BOOST_TEST((report.losses[1].cause == loss_cause::lost_host));
}
