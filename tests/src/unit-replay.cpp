#define BOOST_TEST_MODULE replay
#include <boost/test/unit_test.hpp>

#include <filesystem>

#include <walkthread/replay/replay.hpp>

using namespace walkthread;

// Replays every trace in the repository and checks its expectations.
BOOST_AUTO_TEST_CASE(every_trace_meets_its_expectations)
{
    int traces = 0;
    for (const auto& file : std::filesystem::directory_iterator(WALKTHREAD_TRACES))
    {
        if (file.path().extension() != ".jsonl")
        {
            continue;
        }
        ++traces;
        const auto recorded = load_trace(file.path().string());
        BOOST_TEST_CONTEXT(file.path().filename().string())
        {
            BOOST_REQUIRE(ok(recorded));
            BOOST_TEST(!value_of(recorded).expected.empty());
            for (const std::string& sentence : find_missed_expectations(value_of(recorded)))
            {
                BOOST_ERROR(sentence);
            }
        }
    }
    BOOST_TEST(traces == 10);
}

BOOST_AUTO_TEST_CASE(replay_is_deterministic)
{
    const auto recorded = load_trace(std::string(WALKTHREAD_TRACES) + "/declared_times_off.jsonl");
    BOOST_REQUIRE(ok(recorded));
    const replay_report first = replay(value_of(recorded), "walkthread", {});
    const replay_report second = replay(value_of(recorded), "walkthread", {});
    BOOST_TEST(first.placements == second.placements);
    BOOST_TEST(first.packing == second.packing);
}

BOOST_AUTO_TEST_CASE(a_malformed_line_is_reported_with_its_number)
{
    const auto bad = parse_trace("{\"trace\":\"x\",\"end_s\":1}\n{\"at_s\":0,\"job\":{\"name\":\"a\"}}\n");
    BOOST_REQUIRE(!ok(bad));
    BOOST_TEST(error_of(bad).detail.starts_with("Line 2"));
    BOOST_TEST(error_of(bad).number() == 902);
}

BOOST_AUTO_TEST_CASE(a_missed_expectation_is_reported)
{
    const auto recorded =
        parse_trace("{\"trace\":\"x\",\"end_s\":10}\n"
                    "{\"at_s\":0,\"workers\":{\"count\":1}}\n"
                    "{\"at_s\":0,\"job\":{\"name\":\"a\",\"organisation\":1,\"kind\":\"batch\"}}\n"
                    "{\"expect\":{\"metric\":\"jobs_completed\",\"least\":2}}\n");
    BOOST_REQUIRE(ok(recorded));
    BOOST_TEST(find_missed_expectations(value_of(recorded)).size() == 1U);
}
