#define BOOST_TEST_MODULE replay
#include <boost/test/unit_test.hpp>

#include <filesystem>

#include <walkthread/replay/replay.hpp>

using namespace walkthread;

// Replays every trace in the repository and checks its expectations.
BOOST_AUTO_TEST_CASE(every_trace_has_its_stated_outcomes)
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
            for (const std::string& sentence : missed_outcomes(value_of(recorded)))
            {
                BOOST_ERROR(sentence);
            }
        }
    }
    BOOST_TEST(traces == 10);
}

BOOST_AUTO_TEST_CASE(a_replay_gives_the_same_report_each_time)
{
    const auto recorded = load_trace(std::string(WALKTHREAD_TRACES) + "/declared_times_off.jsonl");
    BOOST_REQUIRE(ok(recorded));
    const replay_report first = replay(value_of(recorded), "walkthread", {});
    const replay_report second = replay(value_of(recorded), "walkthread", {});
    BOOST_TEST(first.placements == second.placements);
    BOOST_TEST(first.packing == second.packing);
}

BOOST_AUTO_TEST_CASE(a_bad_line_is_named)
{
    const auto bad = parse_trace("{\"trace\":\"x\",\"end_s\":1}\n{\"at_s\":0,\"job\":{\"name\":\"a\"}}\n");
    BOOST_REQUIRE(!ok(bad));
    BOOST_TEST(error_of(bad).detail.starts_with("Line 2"));
    BOOST_TEST(error_of(bad).number() == 902);
}

BOOST_AUTO_TEST_CASE(a_missed_outcome_is_told)
{
    const auto recorded =
        parse_trace("{\"trace\":\"x\",\"end_s\":10}\n"
                    "{\"at_s\":0,\"workers\":{\"count\":1}}\n"
                    "{\"at_s\":0,\"job\":{\"name\":\"a\",\"organisation\":1,\"kind\":\"batch\"}}\n"
                    "{\"expect\":{\"metric\":\"jobs_completed\",\"least\":2}}\n");
    BOOST_REQUIRE(ok(recorded));
    BOOST_TEST(missed_outcomes(value_of(recorded)).size() == 1U);
}
