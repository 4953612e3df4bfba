#define BOOST_TEST_MODULE decoding
#include <boost/test/unit_test.hpp>

#include <random>

#include <nlohmann/json.hpp>

#include <walkthread/fabric/addresses.hpp>

#include "decode.hpp"
#include "small_pool.hpp"

using namespace walkthread;
using namespace walkthread::platform;
using nlohmann::json;

// Bodies from outside may be truncated, have wrong types, be far too long, or not be JSON at all. Each
// decoder must return a value with the properties that its users rely on, or an error.

namespace
{
const json good_report =
    json::parse(R"({"service":"pool","machine":"m-1","address":"10.128.0.9:8080","zone":"a",
    "version":"v1","slots":8,"state":"ready","cold-remaining-ms":0,"room":{"cpu":16000,"mem-mb":32768,"gpu":0},
    "labels":["a","r1-3"],"clock-ms":482113,"sequence":4,"born":1790095670000})");
const json good_submission = json::parse(R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem-mb":256,
    "estimate-ms":900,"affinity":"r1-3"},{"count":20,"cpu":2000,"mem-mb":1024,"after-rev":[0],"gang":true}],
    "max-runs":2,"first-run-ms":5,"interval-ms":7})");
const json good_configuration = json::parse(R"({"version":7,"routes":[{"name":"r","host":"h.example",
    "path-prefix":"/p/","kind":"non_idempotent","timeout-ms":3000,"target-latency-ms":1000,"priority":1,
    "service":"pool","max-attempts":2,"stretch":2.2,"advice":{"decision-ms":410.0,"each-ms":5.8,"validity-ms":1500}}],
    "services":[{"name":"pool","rejects-overload":false,"spare":false}],"limits":{"max-body-bytes":262144}})");
const json good_poll_answer =
    json::parse(R"({"clock-ms":482113,"born":1790095670000,"running":[["5c0e7a21d94b36f8.0.1.17",2,"00",41]],
    "finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})");
const json good_advice = json::parse(R"({"good":[["i-1","t1"],["i-2","t2"]]})");
const json good_wave = json::parse(R"({"wave":1,"machines":["m-1","m-2"],"duration-s":20,"max-count":1})");
const json good_order = json::parse(R"({"clock-ms":482113,"reason":"fence"})");

json odd_value(std::mt19937_64& random)
{
    const std::vector<json> odd{nullptr,
                                true,
                                -1,
                                0,
                                1.5,
                                INT64_MAX,
                                INT64_MIN,
                                UINT64_MAX,
                                1e300,
                                "",
                                "nonsense",
                                std::string(100'000, 'x'),
                                json::array(),
                                json::object(),
                                json::array({json::array({1}), "x"})};
    return odd[random() % odd.size()];
}

// Replaces or removes one random value of a document.
void mutate_value(json& at, std::mt19937_64& random)
{
    if (at.is_structured() && !at.empty() && random() % 4 != 0)
    {
        auto child = at.begin();
        std::advance(child, static_cast<std::ptrdiff_t>(random() % at.size()));
        if (random() % 5 == 0)
        {
            at.erase(child);
            return;
        }
        mutate_value(*child, random);
        return;
    }
    at = odd_value(random);
}

std::string mutate(const json& good, std::mt19937_64& random)
{
    json document = good;
    for (std::size_t i = random() % 3; i > 0; --i)
    {
        mutate_value(document, random);
    }
    std::string text = document.dump();
    for (std::size_t i = random() % 3; i > 0 && !text.empty(); --i)
    {
        text[random() % text.size()] = static_cast<char>(random());
    }
    if (random() % 6 == 0)
    {
        text.resize(random() % (text.size() + 1));
    }
    return text;
}

void check_report(const worker_report& report)
{
    BOOST_REQUIRE(detail::parse_endpoint(report.description.address).has_value());
    BOOST_REQUIRE(!report.description.pool.empty());
    BOOST_REQUIRE(!report.description.hall.empty());
    BOOST_REQUIRE(!report.description.host.empty());
    BOOST_REQUIRE_GT(report.description.size.cpu, 0);
    BOOST_REQUIRE_GT(report.description.size.memory, 0);
    BOOST_REQUIRE_GE(report.description.size.accelerators, 0);
    BOOST_REQUIRE_GE(report.remaining_ms, 0);
    BOOST_REQUIRE_LE(report.sequence, static_cast<std::uint64_t>(INT64_MAX));
}
} // namespace

BOOST_AUTO_TEST_CASE(unmutated_documents_are_decoded)
{
    BOOST_TEST(ok(decode_report("i-1", good_report.dump())));
    BOOST_TEST(ok(decode_submission(good_submission.dump())));
    BOOST_TEST(ok(decode_cluster_configuration(good_configuration.dump())));
    BOOST_TEST(ok(decode_poll_answer(good_poll_answer.dump())));
    BOOST_TEST(value_of(decode_report("i-1", good_report.dump())).description.process_start.value() ==
               1790095670000);
    BOOST_TEST(value_of(decode_poll_answer(good_poll_answer.dump())).process_start.value() == 1790095670000);
    BOOST_TEST(ok(decode_advice(good_advice.dump())));
    BOOST_TEST(ok(decode_wave(good_wave.dump())));
}

BOOST_AUTO_TEST_CASE(mutated_documents_are_decoded_soundly_or_rejected)
{
    std::size_t read = 0;
    const std::uint64_t first = test::first_seed();
    for (std::uint64_t seed = first; seed < first + test::seed_count(4000); ++seed)
    {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            std::mt19937_64 random(seed);
            const auto report = decode_report("i-1", mutate(good_report, random));
            if (ok(report))
            {
                ++read;
                check_report(value_of(report));
            }
            const auto poll = decode_poll_answer(mutate(good_poll_answer, random));
            for (const reported_end& end : ok(poll) ? value_of(poll).ended : std::vector<reported_end>{})
            {
                BOOST_REQUIRE_LE(static_cast<int>(end.how), static_cast<int>(run_end::lonely));
            }
            const auto submission = decode_submission(mutate(good_submission, random));
            if (ok(submission))
            {
                static_cast<void>(find_fault(value_of(submission)));
            }
            const auto decoded_configuration =
                decode_cluster_configuration(mutate(good_configuration, random));
            if (ok(decoded_configuration))
            {
                BOOST_REQUIRE_GT(value_of(decoded_configuration).version, 0U);
                static_cast<void>(find_fault(value_of(decoded_configuration)));
            }
            static_cast<void>(decode_advice(mutate(good_advice, random)));
            static_cast<void>(decode_wave(mutate(good_wave, random)));
            static_cast<void>(decode_order_answer(409, mutate(good_order, random)));
        }
    }
    BOOST_TEST(read > 0U);
}

BOOST_AUTO_TEST_CASE(reports_with_invalid_fields_are_rejected)
{
    const auto refused = [](const char* key, const json& value)
    {
        json report = good_report;
        report[key] = value;
        return !ok(decode_report("i-1", report.dump()));
    };
    BOOST_TEST(refused("state", "warming"));
    BOOST_TEST(refused("state", 1));
    BOOST_TEST(refused("service", ""));
    BOOST_TEST(refused("service", json::array()));
    BOOST_TEST(refused("address", "somewhere"));
    BOOST_TEST(refused("room", json::object()));
    BOOST_TEST(refused("room", 16000));
    BOOST_TEST(refused("labels", "a"));
    BOOST_TEST(refused("labels", json::array({1, 2})));
    BOOST_TEST(refused("sequence", -1));
    BOOST_TEST(refused("sequence", "4"));
    BOOST_TEST(refused("slots", "8"));
    for (const json& odd :
         {json("1790095670000"), json(1.5), json(-1), json(UINT64_MAX), json(1e300), json(nullptr)})
    {
        BOOST_TEST(refused("born", odd));
        json poll = good_poll_answer;
        poll["born"] = odd;
        BOOST_TEST(!ok(decode_poll_answer(poll.dump())));
    }
    BOOST_TEST(refused("zone", std::string(100'000, 'x')));
    for (const char* key : {"service", "address", "zone", "state", "room"})
    {
        json report = good_report;
        report.erase(key);
        BOOST_TEST(!ok(decode_report("i-1", report.dump())));
    }
    BOOST_TEST(!refused("state", "draining"));
    BOOST_TEST(!refused("some-new-field", 7));
}

// ---------------------------------------------------------------------------------------------------------
// Organisations of a configuration
// ---------------------------------------------------------------------------------------------------------

namespace
{
std::string with_organisation(const std::string& fields)
{
    return R"({"version":7,"routes":[],"services":[],"tenants":[{"name":"hens",)" + fields + "}]}";
}
} // namespace

BOOST_AUTO_TEST_CASE(organisations_are_read_with_keys_weight_and_limits)
{
    const auto read = decode_cluster_configuration(with_organisation(
        R"("api-keys":["k1","k2"],"priority":1,"weight":55,"max-count":{"cpu":4425,"mem-mb":159,"gpu":2})"));
    BOOST_TEST_REQUIRE(read.index() == 0);
    const cluster_configuration& decoded_configuration = std::get<0>(read);
    BOOST_TEST(decoded_configuration.keys_required);
    BOOST_TEST_REQUIRE(decoded_configuration.organisations.size() == 1);
    const organisation_spec& organisation = decoded_configuration.organisations.front();
    BOOST_TEST(organisation.keys.size() == 2);
    BOOST_TEST(organisation.weight == 55);
    BOOST_TEST((organisation.limit == resources{4425, 159, 2, 0}));
}

BOOST_AUTO_TEST_CASE(a_configuration_without_organisations_requires_no_keys)
{
    const auto read = decode_cluster_configuration(R"({"version":7,"routes":[],"services":[]})");
    BOOST_TEST_REQUIRE(read.index() == 0);
    BOOST_TEST(!std::get<0>(read).keys_required);
}

BOOST_AUTO_TEST_CASE(invalid_organisations_are_rejected)
{
    for (const char* fields :
         {R"("weight":"55")", R"("weight":true)", R"("api-keys":"k1")", R"("api-keys":[1])",
          R"("max-count":{"cpu":1.5})", R"("max-count":{"gpu":-1})", R"("max-count":[7])"})
    {
        BOOST_TEST(decode_cluster_configuration(with_organisation(fields)).index() == 1, fields);
    }
    BOOST_TEST(
        decode_cluster_configuration(R"({"version":7,"routes":[],"services":[],"tenants":[{}]})").index() ==
        1);
}

// Parse errors of a truncated document must not leak part of an API key.
BOOST_AUTO_TEST_CASE(errors_do_not_quote_the_document)
{
    const std::string whole = with_organisation(R"("api-keys":["verysecret"])");
    for (std::size_t length = 0; length < whole.size(); ++length)
    {
        const auto read = decode_cluster_configuration(whole.substr(0, length));
        BOOST_TEST_REQUIRE(read.index() == 1);
        BOOST_TEST(std::get<1>(read).detail.find("very") == std::string::npos);
    }
}
