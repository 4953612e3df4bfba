#define BOOST_TEST_MODULE settings
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include <walkthread/settings/settings.hpp>

using namespace walkthread;

namespace
{
const std::string hash(64, 'a');

std::string good()
{
    return "[node]\nid = 1\nhall = \"north\"\ndata = \"d\"\nroles = [\"control\", \"gateway\"]\n"
           "[listen]\noperators = \"10.0.0.1:8100\"\n"
           "[cell]\nsecret = \"s\"\nroot_replicas = [1]\nadmin_token_sha256 = \"" +
           hash + "\"\nworker_token_sha256 = \"" + hash +
           "\"\n"
           "[[peer]]\nid = 1\naddress = \"10.0.0.1:9100\"\ncontrol = true\n"
           "[[hall]]\nname = \"north\"\nreplicas = [1]\n"
           "[[organisation]]\nname = \"one\"\noperator_token_sha256 = \"" +
           hash + "\"\ncaller_token_sha256 = \"" + hash + "\"\n";
}

std::string replaced(const std::string& what, const std::string& by)
{
    std::string text = good();
    text.replace(text.find(what), what.size(), by);
    return text;
}

std::vector<std::string> errors_of(const std::string& text)
{
    const auto parsed = parse_settings(text);
    std::vector<std::string> out;
    if (!ok(parsed))
    {
        for (const settings_error& error : error_of(parsed))
        {
            out.push_back(error.detail);
        }
    }
    return out;
}

bool mentions(const std::vector<std::string>& errors, const std::string& what)
{
    return std::any_of(errors.begin(), errors.end(),
                       [&](const std::string& e)
                       {
                           return e.find(what) != e.npos;
                       });
}
} // namespace

BOOST_AUTO_TEST_CASE(good_settings_are_read)
{
    const auto parsed = parse_settings(good());
    BOOST_REQUIRE(ok(parsed));
    BOOST_TEST(value_of(parsed).operators.port == 8100);
    BOOST_TEST(value_of(parsed).control);
    BOOST_TEST(value_of(parsed).timing.worker_lease.count() == 30'000);
}

BOOST_AUTO_TEST_CASE(all_errors_are_reported_together)
{
    std::string text = replaced("id = 1\nhall", "id = 0\nhall");
    text.replace(text.find("10.0.0.1:8100"), 13, "localhost:810");
    text.replace(text.find("secret = \"s\""), 12, "secret = 7");
    const std::vector<std::string> errors = errors_of(text + "[limits]\nbody_bytes = -1\nspeed = 9\n");
    BOOST_TEST(errors.size() >= 5U);
    BOOST_TEST(mentions(errors, "node.id is 0"));
    BOOST_TEST(mentions(errors, "listen.operators"));
    BOOST_TEST(mentions(errors, "cell.secret"));
    BOOST_TEST(mentions(errors, "limits.body_bytes is -1; allowed: a whole number from 1024"));
    BOOST_TEST(mentions(errors, "limits.speed is unknown"));
}

BOOST_AUTO_TEST_CASE(keys_are_checked_against_each_other)
{
    BOOST_TEST(mentions(errors_of(replaced("hall = \"north\"", "hall = \"south\"")), "node.hall is south"));
    BOOST_TEST(
        mentions(errors_of(replaced("replicas = [1]\n[[org", "replicas = [2]\n[[org")), "names node 2"));
    BOOST_TEST(mentions(errors_of(good() + "[timing]\nelection_ms = 100\n"), "timing.election_ms"));
    BOOST_TEST(mentions(errors_of(good() + "[timing]\nworker_lease_ms = 1000\n"), "timing.worker_lease_ms"));
    BOOST_TEST(mentions(errors_of(good() + "[tls]\ncertificate = \"c\"\n"), "tls.key"));
}

BOOST_AUTO_TEST_CASE(malformed_toml_is_reported_with_its_line)
{
    const auto parsed = parse_settings("[node\nid = 1");
    BOOST_REQUIRE(!ok(parsed));
    BOOST_TEST((error_of(parsed).front().code == settings_code::malformed));
    BOOST_TEST(error_of(parsed).front().detail.find("line 1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_missing_file_is_reported)
{
    const auto loaded = load_settings("/nonexistent");
    BOOST_TEST((error_of(loaded).front().code == settings_code::unreadable));
}
