#define BOOST_TEST_MODULE leader_path
#include <boost/test/unit_test.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <walkthread/fabric/call_router.hpp>
#include <walkthread/fabric/leader_path.hpp>

using namespace walkthread;
namespace asio = boost::asio;

// A fifth of the entry hosts of a fleet is cut off from all other machines while callers still reach them.
// Each held its callers' calls for up to 2.6 s, although any other entry host would have served them at once.

namespace
{
monotonic_time at_ms(std::int64_t ms)
{
    return monotonic_time{seconds(100)} + milliseconds(ms);
}

// What the rest of the cell is like for the played process.
struct surroundings
{
    bool leader_answers = true;
    bool peers_answer = true;
    bool peers_hear_leader = true;
};

// Plays an entry process in virtual time: it queries the leader every 0.4 s and checks its path every 50 ms.
// Answers take 2 ms. The processes that it probes query the leader at other times than it does.
struct played_process
{
    leader_path path;
    std::size_t probes = 0;
    std::int64_t relayed_at = -1;
    std::int64_t isolated_at = -1;

    void play(std::int64_t from, std::int64_t until, const surroundings& around)
    {
        for (std::int64_t ms = from; ms < until; ms += 50)
        {
            if (ms % 400 == 0)
            {
                path.expect_answer(at_ms(ms));
            }
            const std::vector<std::string> asked = path.peers_to_probe(at_ms(ms));
            probes += asked.size();
            if (around.leader_answers)
            {
                path.record_message(at_ms(ms + 2));
                path.record_leader_contact();
            }
            m_peers_heard = around.peers_hear_leader && ms % 400 == 300 ? ms : m_peers_heard;
            for (const std::string& peer : asked)
            {
                if (around.peers_answer)
                {
                    path.record_message(at_ms(ms + 2));
                    path.record_probe_answer(peer, milliseconds(ms - m_peers_heard), at_ms(ms + 2));
                }
            }
            relayed_at = relayed_at < 0 && !path.relay(at_ms(ms)).empty() ? ms : relayed_at;
            isolated_at = isolated_at < 0 && path.is_isolated(at_ms(ms)) ? ms : isolated_at;
        }
    }

  private:
    std::int64_t m_peers_heard = 0;
};

std::uint16_t free_port()
{
    asio::io_context loop;
    asio::ip::tcp::acceptor probe(loop, {asio::ip::address_v4::loopback(), 0});
    return probe.local_endpoint().port();
}
} // namespace

// Only the path to the leader is cut: another process relays the calls, before urgent work is late.
BOOST_AUTO_TEST_CASE(another_process_relays_if_the_leader_is_cut_off)
{
    played_process process;
    process.path.set_probe_peers({"a", "b", "c"}, at_ms(0));
    process.play(0, 10'000, {});
    BOOST_TEST(process.probes == 0U); // costs nothing while all is well
    process.play(10'000, 14'000, {false, true, true});
    BOOST_TEST(process.relayed_at >= 10'000);
    BOOST_TEST(process.relayed_at <= 10'700); // within two queries of the others, which hear the leader
    BOOST_TEST(process.isolated_at == -1);
    BOOST_TEST(!process.path.relay(at_ms(14'000)).empty()); // as long as the cut lasts
    process.path.record_leader_contact();
    BOOST_TEST(process.path.relay(at_ms(14'000)).empty()); // directly again as soon as the leader is heard
}

// The leader has failed: nobody has heard it since, so nobody relays. The probes are bounded, as all entry
// processes send them at the time.
BOOST_AUTO_TEST_CASE(a_failed_leader_is_not_relayed_to)
{
    played_process process;
    process.path.set_probe_peers({"a", "b", "c", "d"}, at_ms(0));
    process.play(0, 10'000, {});
    process.play(10'000, 20'000, {false, true, false});
    BOOST_TEST(process.relayed_at == -1);
    BOOST_TEST(process.isolated_at == -1);
    BOOST_TEST(process.probes <= 3U * (10'000 / 250));
}

// Nobody answers: callers are sent on at once. Held, they wait for an answer that any other process would
// give.
BOOST_AUTO_TEST_CASE(a_process_that_reaches_nobody_is_isolated)
{
    played_process process;
    process.path.set_probe_peers({"a", "b", "c"}, at_ms(0));
    process.play(0, 10'000, {});
    process.play(10'000, 14'000, {false, false, true});
    BOOST_TEST(process.isolated_at >= 10'000);
    BOOST_TEST(process.isolated_at <= 10'500);
    process.path.record_message(at_ms(14'000));
    BOOST_TEST(!process.path.is_isolated(at_ms(14'000)));
}

// Without processes to compare with, silence does not tell which side is cut: callers are held as in an
// outage.
BOOST_AUTO_TEST_CASE(a_process_that_knows_no_others_is_never_isolated)
{
    played_process process;
    process.path.set_probe_peers({}, at_ms(0));
    BOOST_TEST(process.path.needs_probe_peers(at_ms(0)));
    process.play(0, 10'000, {false, false, true});
    BOOST_TEST(process.isolated_at == -1);
    BOOST_TEST(process.relayed_at == -1);
}

// A process whose machine was suspended must not take that time for silence: it has to probe first.
BOOST_AUTO_TEST_CASE(a_suspended_process_probes_before_it_concludes)
{
    leader_path path;
    path.set_probe_peers({"a"}, at_ms(0));
    path.expect_answer(at_ms(0));
    BOOST_TEST(path.peers_to_probe(at_ms(5000)).size() == 1U); // the first check after 5 s
    BOOST_TEST(!path.is_isolated(at_ms(5000)));
    path.record_probe_answer("a", milliseconds(100), at_ms(5002));
    BOOST_TEST(path.relay(at_ms(5002)).empty()); // the leader was asked as well and has time to answer
    path.record_leader_contact();
    BOOST_TEST(path.relay(at_ms(5600)).empty());
    BOOST_TEST(!path.is_isolated(at_ms(5600)));
}

// A relay that fails, or is cut off itself, must not keep the calls.
BOOST_AUTO_TEST_CASE(a_relay_that_does_not_confirm_is_replaced)
{
    leader_path path;
    path.set_probe_peers({"a", "b"}, at_ms(0));
    path.expect_answer(at_ms(0));
    BOOST_TEST(path.peers_to_probe(at_ms(200)).size() == 2U);
    path.record_probe_answer("a", milliseconds(50), at_ms(202));
    path.record_probe_answer("b", milliseconds(60), at_ms(203));
    BOOST_TEST(path.relay(at_ms(250)) == "a");
    path.record_probe_answer("b", milliseconds(10), at_ms(500));
    BOOST_TEST(path.relay(at_ms(500)) == "a"); // confirmed 0.3 s ago: calls stay where they are
    path.record_probe_answer("b", milliseconds(10), at_ms(900));
    BOOST_TEST(path.relay(at_ms(900)) == "b");
    BOOST_TEST(path.relay(at_ms(1600)).empty());
}

// Probe peers are replaced now and then, as entry processes come and go.
BOOST_AUTO_TEST_CASE(probe_peers_are_refreshed)
{
    leader_path path;
    BOOST_TEST(path.needs_probe_peers(at_ms(0)));
    path.set_probe_peers({"a"}, at_ms(0));
    BOOST_TEST(!path.needs_probe_peers(at_ms(9'000)));
    BOOST_TEST(path.needs_probe_peers(at_ms(10'000)));
}

// "Not run" must be true: an order that was sent may have taken effect. Calls of operators wait on, as
// before.
BOOST_AUTO_TEST_CASE(an_isolated_process_ends_its_callers_calls_at_once)
{
    asio::io_context loop;
    mesh peers(
        loop, peer_greeting{"127.0.0.1:" + std::to_string(free_port()), "edge", false},
        [](const std::string&, mesh_message) {}, [](const std::string&, bool, const std::string&) {});
    call_router router(loop, peers,
                       [](const service_call&, const call_handler&)
                       {
                           return false;
                       });
    std::map<std::string, reply_kind> ended;
    const auto listen = [&ended](const std::string& name)
    {
        return [&ended, name](const service_reply& reply)
        {
            ended[name] = reply.what();
        };
    };
    router.call(submit_call{}, milliseconds(60'000), listen("unsent order"));
    router.set_isolated(true);
    BOOST_TEST((ended["unsent order"] == reply_kind::isolated));
    router.set_isolated(false);
    router.set_leader("127.0.0.1:" + std::to_string(free_port()));
    router.call(submit_call{}, milliseconds(60'000), listen("sent order"));
    router.call(state_call{}, milliseconds(60'000), listen("sent read"));
    router.call(get_configuration_call{}, milliseconds(60'000), listen("operator"));
    router.set_isolated(true);
    BOOST_TEST((ended["sent order"] == reply_kind::unknown));
    BOOST_TEST((ended["sent read"] == reply_kind::isolated));
    BOOST_TEST(!ended.contains("operator"));
    router.call(submit_call{}, milliseconds(60'000), listen("later order"));
    BOOST_TEST((ended["later order"] == reply_kind::isolated));
    router.set_isolated(false);
    router.call(submit_call{}, milliseconds(60'000), listen("order afterwards"));
    BOOST_TEST(!ended.contains("order afterwards"));
}
