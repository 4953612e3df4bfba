#define BOOST_TEST_MODULE platform
#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <fstream>

#include "decode.hpp"
#include "settings.hpp"

using namespace walkthread;
using namespace walkthread::platform;

namespace
{
std::string write_file(const std::string& text)
{
    const std::string path = "unit-platform-settings.toml";
    std::ofstream(path) << text;
    return path;
}

const std::string good_settings = R"(
node-name = "core-a-1"
ip = "10.1.0.16"
zone = "a"
serves = ["control_plane"]
internal-ports = [7720, 7735]
seeds = ["10.1.0.16:8166", "10.2.0.33:8166"]
bootstrap = true
data-dir = "/data/core"
advice = "10.200.1.9:8169"
some-new-field = 7
[listen-addrs]
control = "10.1.0.16:8166"
[fault-tolerance]
machines = 2
[bounds]
hold-max-ms = 10000
grace-s = 6
)";
} // namespace

BOOST_AUTO_TEST_CASE(platform_settings_are_mapped_to_internal_fields)
{
    const settings_outcome out = read_settings(write_file(good_settings));
    BOOST_TEST(out.faults.empty());
    BOOST_TEST(out.settings.fabric.peer_address == "10.1.0.16:7720");
    BOOST_TEST(out.settings.fabric.seeds.back() == "10.2.0.33:7720");
    BOOST_TEST(out.settings.fabric.max_disk_losses == 2U);
    BOOST_TEST(out.settings.fabric.max_lease.count() == 10000);
    BOOST_TEST(out.settings.operator_address == "10.1.0.16:8166");
    BOOST_TEST(out.settings.caller_address.empty());
}

BOOST_AUTO_TEST_CASE(a_pool_is_contended_only_if_the_settings_say_so)
{
    BOOST_TEST(!read_settings(write_file(good_settings)).settings.contended_pool);
    const std::string contracts = "contracts = [\"base\", \"pressure\"]\n";
    BOOST_TEST(read_settings(write_file(contracts + good_settings)).settings.contended_pool);
}

BOOST_AUTO_TEST_CASE(all_settings_faults_are_reported_together)
{
    const settings_outcome out = read_settings(write_file("serves = [\"edge\"]\n"));
    BOOST_TEST(out.faults.size() == 7U); // node-name, zone, ip, internal-ports, seeds and two addresses
    BOOST_TEST(read_settings(write_file("= nonsense")).faults.size() == 1U);
    BOOST_TEST(read_settings("/nowhere/at/all.toml").faults.size() == 1U);
}

BOOST_AUTO_TEST_CASE(submission_fields_are_mapped_from_platform_names)
{
    auto out = decode_submission(R"({"spec":"t","max-runs":3,"first-run-ms":1000,"interval-ms":50,"steps":[
        {"count":4,"cpu":500,"mem-mb":256,"estimate-ms":900,"affinity":"r1-3"},
        {"count":2,"cpu":2000,"mem-mb":10,"gpu":1,"after-rev":[0],"checkpointing":true,"gang":true,"same-rack":true,
         "requirements":"a","anti-affinity":1,"allow-duplicates":true,"long-running":true,"fills":true,"image":"i",
         "target-ms":70,"may-miss":1}]})");
    BOOST_REQUIRE(out.index() == 0U);
    const submission_spec& spec = std::get<0>(out);
    BOOST_TEST(spec.rounds == 3U);
    BOOST_TEST(spec.due_at(round_id{2}) == 1100);
    BOOST_TEST(spec.steps[0].preferred_rack == "r1-3");
    const step_spec& step = spec.steps[1];
    BOOST_TEST((step.checkpoints && step.gang && step.same_rack && step.duplicates_allowed &&
                step.long_running && step.fills));
    BOOST_TEST(step.required_label == "a");
    BOOST_TEST(step.per_host_limit == 1U);
    BOOST_TEST(step.size.accelerators == 1);
    BOOST_TEST(step.latency_target_ms == 70);
    BOOST_TEST(step.may_miss == 1U);
    BOOST_TEST(step.after.front() == 0U);
}

BOOST_AUTO_TEST_CASE(invalid_bodies_are_errors)
{
    for (const char* body :
         {"", "{", "[]", "7", "{\"steps\":7}", "{\"steps\":[7]}", "{\"steps\":[{\"count\":-1}]}",
          "{\"steps\":[{\"count\":1.5}]}", "{\"steps\":[{\"count\":\"1\"}]}",
          "{\"steps\":[{\"count\":99999999999}]}", "{\"spec\":7,\"steps\":[]}", "{\"spec\":\"x\"}"})
    {
        BOOST_TEST(decode_submission(body).index() == 1U, body);
    }
    for (const char* body :
         {"", "{\"version\":0,\"routes\":[],\"services\":[]}",
          "{\"version\":\"7\",\"routes\":[],\"services\":[]}", "{\"version\":7,\"routes\":[]}",
          "{\"version\":7,\"routes\":[{}],\"services\":[]}"})
    {
        BOOST_TEST(decode_cluster_configuration(body).index() == 1U, body);
    }
    BOOST_TEST(decode_report("i-1", "{}").index() == 1U);
    BOOST_TEST(decode_poll_answer("{\"running\":[]}").index() == 1U);
    BOOST_TEST(decode_advice("{}").index() == 1U);
    BOOST_TEST(decode_wave("{\"wave\":1}").index() == 1U);
}

// Every proper prefix of a valid body must be an error; the whole body must decode.
BOOST_AUTO_TEST_CASE(truncated_bodies_are_errors)
{
    const std::string poll =
        R"({"clock-ms":482113,"running":[["5c0e7a21d94b36f8.0.1.17",2,"00",41,7]],"finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";
    for (std::size_t length = 0; length < poll.size(); ++length)
    {
        BOOST_TEST(decode_poll_answer(poll.substr(0, length)).index() == 1U);
    }
    auto whole = decode_poll_answer(poll);
    BOOST_REQUIRE(whole.index() == 0U);
    BOOST_TEST(std::get<0>(whole).running.front().percent == 41);
    BOOST_TEST(std::get<0>(whole).running.front().figure == 7);
    BOOST_TEST((std::get<0>(whole).ended.front().how == run_end::completed));
    BOOST_TEST(std::get<0>(whole).ended.front().number == 58U);
}

BOOST_AUTO_TEST_CASE(order_answers_map_to_outcomes)
{
    BOOST_TEST((decode_order_answer(200, "{\"clock-ms\":5}").outcome == order_outcome::accepted));
    BOOST_TEST(decode_order_answer(200, "{\"clock-ms\":5}").clock_ms.value() == 5);
    BOOST_TEST((decode_order_answer(409, "{\"reason\":\"fence\"}").outcome == order_outcome::fenced));
    BOOST_TEST((decode_order_answer(409, "{\"reason\":\"old\"}").outcome == order_outcome::superseded));
    BOOST_TEST((decode_order_answer(409, "{\"reason\":\"late\"}").outcome == order_outcome::late));
    BOOST_TEST(
        (decode_order_answer(409, "{\"reason\":\"ticket\"}").outcome == order_outcome::ticket_rejected));
    BOOST_TEST((decode_order_answer(421, "").outcome == order_outcome::wrong_incarnation));
    BOOST_TEST((decode_order_answer(503, "").outcome == order_outcome::unhealthy));
    BOOST_TEST((decode_order_answer(400, "").outcome == order_outcome::rejected));
    BOOST_TEST((decode_order_answer(502, "junk").outcome == order_outcome::unanswered));
}
