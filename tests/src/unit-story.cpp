#define BOOST_TEST_MODULE submission_history
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <sstream>
#include <thread>

#include <spdlog/sinks/base_sink.h>

#include <walkthread/observe/decision_log.hpp>
#include <walkthread/observe/submission_history.hpp>

using namespace walkthread;

namespace
{
// A recorded log: workers were partitioned from the leader, their leases expired, and three tasks were
// started again on other workers. The last line is truncated.
const char* const recorded_log = R"(
   4.593 core-stgo-a-2 {"t":1773831691587,"process":"core-stgo-a-2","event":"submission_taken","id":"6a6ced0a302f6003","queue":"r-hyt7i7p","steps":2,"tasks":9,"gang":false,"lasting":false,"rounds":1}
  15.195 core-stgo-a-2 {"t":1773831702191,"process":"core-stgo-a-2","event":"run_ended","id":"6a6ced0a302f6003.0.0.0/1","worker":"i-99d87eca43","how":"lapsed","took_ms":9843,"number":101}
  15.195 core-stgo-a-2 {"t":1773831702191,"process":"core-stgo-a-2","event":"run_ended","id":"6a6ced0a302f6003.0.0.5/1","worker":"i-99d87eca43","how":"lapsed","took_ms":9843,"number":102}
  15.268 core-stgo-a-2 {"t":1773831702268,"process":"core-stgo-a-2","event":"starts_planned","id":"6a6ced0a302f6003.0.0","queue":"r-hyt7i7p","tasks":3,"slack_ms":8628,"missed":false,"gang":false}
  15.215 core-stgo-a-2 {"t":1773831702214,"process":"core-stgo-a-2","event":"advice_asked","id":"6a6ced0a302f6003.0.0","workers":3,"need":3,"usable_slots":0,"share_good":0.38}
  16.000 core-stgo-a-2 {"t":1773831703000,"process":"core-stgo-a-2","event":"submission_taken","id":"ffffced0a302f600","queue":"r-hyt7i7p"}
  17.000 core-stgo-a-2 {"t":17738317
)";

// A slow sink, like a terminal whose output is not read.
class slow_sink final : public spdlog::sinks::base_sink<std::mutex>
{
  public:
    std::vector<std::string> lines;

  private:
    void sink_it_(const spdlog::details::log_msg& message) override
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
        lines.emplace_back(message.payload.data(), message.payload.size());
    }
    void flush_() override
    {
    }
};
} // namespace

BOOST_AUTO_TEST_CASE(lines_of_a_submission_are_sorted_and_explained)
{
    submission_history found;
    std::istringstream log(recorded_log);
    read_log(log, "6a6ced0a302f6003", found);
    analyze(found);
    BOOST_TEST(found.lines.size() == 5U);
    BOOST_TEST(found.unreadable == 1U);
    BOOST_TEST(found.lines.front().event == "submission_taken");
    BOOST_TEST(found.lines[3].event == "advice_asked"); // sorted by time: the log has it after starts_planned
    BOOST_REQUIRE(!found.conclusions.empty());
    BOOST_TEST(found.conclusions.front() ==
               "2 runs ended because their worker's lease ran out; they were started again.");
}

BOOST_AUTO_TEST_CASE(a_refusal_is_reported_with_its_process)
{
    submission_history found;
    std::istringstream log(
        R"({"t":1,"process":"edge-a-1","event":"request_not_served","id":"00000000000000aa","status":503,"detail":"No leader answered in time."})");
    read_log(log, "00000000000000aa", found);
    analyze(found);
    BOOST_TEST(found.conclusions.front() == "A caller was told 503 by edge-a-1: No leader answered in time.");
}

BOOST_AUTO_TEST_CASE(a_worker_restart_is_reported)
{
    submission_history found;
    std::istringstream log(
        R"({"t":1,"process":"core-a-1","event":"run_absent","id":"00000000000000aa.0.0.1/1","worker":"i-1","born":5,"inherited":false,"restarted":true}
{"t":2,"process":"core-a-1","event":"run_absent","id":"00000000000000aa.0.0.2/1","worker":"i-1","born":5,"inherited":true,"restarted":false})");
    read_log(log, "00000000000000aa", found);
    analyze(found);
    BOOST_TEST(found.conclusions.front() == "1 runs ended as their worker started again under its id.");
}

// Under overload each call returns at once, the volume is limited, and dropped lines are counted and
// reported.
BOOST_AUTO_TEST_CASE(an_overloaded_log_drops_and_counts_lines)
{
    const auto sink = std::make_shared<slow_sink>();
    decision_log_settings bounds;
    bounds.lines_per_second = 50;
    bounds.queue_lines = 64;
    std::uint64_t dropped = 0;
    {
        decision_log log("p", sink, bounds);
        monotonic_time now{seconds(10)};
        for (int second = 0; second < 3; ++second)
        {
            for (int i = 0; i < 10'000; ++i)
            {
                log.write(now, 1, "flood", "00000000000000aa", {{"i", i}});
            }
            now += seconds(1);
        }
        log.write(now, 1, "own", {}, {});
        dropped = log.dropped();
        BOOST_TEST(log.written() <= 3U * 50U + 4U);
    }
    BOOST_TEST(dropped >= 3U * 9'950U);
    BOOST_TEST(sink->lines.size() <= 3U * 50U + 4U);
    std::size_t drop_reports = 0;
    for (const std::string& line : sink->lines)
    {
        drop_reports += line.find("log_lines_dropped") != std::string::npos ? 1 : 0;
    }
    BOOST_TEST(drop_reports >= 1U);
}

BOOST_AUTO_TEST_CASE(process_lines_are_written_despite_a_request_flood)
{
    const auto sink = std::make_shared<slow_sink>();
    decision_log_settings bounds;
    bounds.lines_per_second = 5;
    {
        decision_log log("p", sink, bounds);
        const monotonic_time now{seconds(10)};
        for (int i = 0; i < 100; ++i)
        {
            log.write(now, 1, "flood", "00000000000000aa", {});
        }
        log.write(now, 1, "leading", {}, {{"term", 7}});
    }
    BOOST_TEST(sink->lines.back().find("leading") != std::string::npos);
}
