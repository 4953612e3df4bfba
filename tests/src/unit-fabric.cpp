#define BOOST_TEST_MODULE fabric
#include <boost/test/unit_test.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <walkthread/fabric/advisor_query_queue.hpp>
#include <walkthread/fabric/core_node.hpp>
#include <walkthread/fabric/leader_outage.hpp>
#include <walkthread/fabric/leader_watch.hpp>
#include <walkthread/fabric/mesh.hpp>
#include <walkthread/fabric/web_client.hpp>
#include <walkthread/fabric/web_listener.hpp>

using namespace walkthread;
namespace asio = boost::asio;

namespace
{
monotonic_time at_ms(std::int64_t ms)
{
    return monotonic_time{seconds(100)} + milliseconds(ms);
}

// A loopback port that is currently free.
std::uint16_t free_port()
{
    asio::io_context loop;
    asio::ip::tcp::acceptor probe(loop, {asio::ip::address_v4::loopback(), 0});
    return probe.local_endpoint().port();
}

std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}
} // namespace

// ---------------------------------------------------------------------------------------------------------
// Leader discovery
// ---------------------------------------------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(all_known_peers_are_queried_until_a_leader_is_found)
{
    leader_watch watch({"a", "b"}, {});
    BOOST_TEST(watch.peers_to_query(at_ms(0)).size() == 2U);
    BOOST_TEST(watch.peers_to_query(at_ms(50)).empty());
    watch.receive("a", {false, "c", 3, {"a", "b", "c"}}, at_ms(60));
    BOOST_TEST(watch.leader() == "c"); // reported by a peer; its own status confirms it
    BOOST_TEST(watch.known().size() == 3U);
    watch.receive("c", {true, "c", 3, {}}, at_ms(70));
    BOOST_TEST(watch.leader() == "c");
}

BOOST_AUTO_TEST_CASE(a_silent_leader_is_dropped_and_an_older_term_is_ignored)
{
    leader_watch watch({"a", "b"}, {});
    watch.receive("a", {true, "a", 5, {}}, at_ms(0));
    BOOST_TEST(watch.peers_to_query(at_ms(1200)).size() == 2U);
    BOOST_TEST(watch.leader().empty());
    watch.receive("b", {true, "b", 6, {}}, at_ms(1300));
    watch.receive("a", {true, "a", 5, {}}, at_ms(1310));
    BOOST_TEST(watch.leader() == "b");
}

// A new leader can use an advisor client only after the client's first leader query.
BOOST_AUTO_TEST_CASE(a_new_leader_is_queried_at_once)
{
    leader_watch watch({"a", "b"}, {});
    watch.receive("a", {true, "a", 5, {}}, at_ms(0));
    BOOST_TEST(watch.peers_to_query(at_ms(400)).size() > 0U);
    BOOST_TEST(watch.peers_to_query(at_ms(410)).empty());
    watch.receive("b", {true, "b", 6, {}}, at_ms(420));
    const std::vector<std::string> asked = watch.peers_to_query(at_ms(420));
    BOOST_TEST((std::find(asked.begin(), asked.end(), "b") != asked.end()));
}

// Guards against holding calls until their timeout in an outage of several seconds, such as a power loss of
// all replicas.
BOOST_AUTO_TEST_CASE(calls_are_held_during_an_election_and_rejected_later)
{
    leader_outage outage(at_ms(0));
    BOOST_TEST((outage.set_leader_known(true, at_ms(100)) == std::optional<duration>(milliseconds(100))));
    BOOST_TEST((outage.age(at_ms(5000)) == duration{0}));
    BOOST_TEST(!outage.rejects_calls(at_ms(5000)));
    BOOST_TEST(!outage.set_leader_known(false, at_ms(5000)).has_value());
    BOOST_TEST(!outage.set_leader_known(false, at_ms(5600)).has_value()); // still the same outage
    BOOST_TEST(!outage.rejects_calls(at_ms(6950)));
    BOOST_TEST(outage.rejects_calls(at_ms(7000)));
    BOOST_TEST((outage.set_leader_known(true, at_ms(12000)) == std::optional<duration>(seconds(7))));
    BOOST_TEST(!outage.rejects_calls(at_ms(12100)));
}

BOOST_AUTO_TEST_CASE(retry_delays_grow_with_the_outage_and_are_spread)
{
    leader_outage outage(at_ms(0));
    const milliseconds long_timeout{10'000};
    BOOST_TEST(outage.choose_retry_after_s(at_ms(700), 0.99, long_timeout) == 1);
    BOOST_TEST(outage.choose_retry_after_s(at_ms(3500), 0.0, long_timeout) == 1);
    BOOST_TEST(outage.choose_retry_after_s(at_ms(3500), 0.99, long_timeout) == 4);
    BOOST_TEST(outage.choose_retry_after_s(at_ms(60'000), 1.0, long_timeout) == 5);
    BOOST_TEST(outage.choose_retry_after_s(at_ms(60'000), 0.99, milliseconds(2600)) ==
               2); // within the caller's remaining timeout
    BOOST_TEST(outage.choose_retry_after_s(at_ms(60'000), 0.99, milliseconds(100)) == 1);
}

// A call that was sent to a leader may have taken effect, so it must not be reported as "not run".
BOOST_AUTO_TEST_CASE(only_unsent_calls_are_rejected_without_a_leader)
{
    asio::io_context loop;
    mesh peers(
        loop, peer_greeting{loopback(free_port()), "edge", false}, [](const std::string&, mesh_message) {},
        [](const std::string&, bool, const std::string&) {});
    call_router router(loop, peers,
                       [](const service_call&, const call_handler&)
                       {
                           return false;
                       });
    std::vector<std::string> outcomes;
    const auto listen = [&outcomes](const std::string& name)
    {
        return [&outcomes, name](const service_reply& reply)
        {
            outcomes.push_back(name + (reply.what() == reply_kind::unavailable ? " not run" : " open"));
        };
    };
    router.set_leader(loopback(free_port()));
    router.call(submit_call{}, milliseconds(4500), listen("sent"));
    router.set_leader("");
    router.call(submit_call{}, milliseconds(60'000), listen("held"));
    router.call(get_configuration_call{}, milliseconds(60'000), listen("operator"));
    BOOST_TEST(outcomes.empty());
    const auto run_until = [&](std::size_t count) // the time limit only stops a hanging test
    {
        for (int i = 0; i < 400 && outcomes.size() < count; ++i)
        {
            loop.run_for(milliseconds(50));
        }
    };
    run_until(1);
    BOOST_TEST((outcomes == std::vector<std::string>{"held not run"}));
    router.call(state_call{}, milliseconds(60'000), listen("late")); // the reply comes before `call` returns
    BOOST_TEST((outcomes == std::vector<std::string>{"held not run", "late not run"}));
    run_until(3);
    BOOST_TEST((outcomes == std::vector<std::string>{"held not run", "late not run", "sent open"}));
    BOOST_TEST(router.waiting() == 1U);
}

// ---------------------------------------------------------------------------------------------------------
// Advisor queries
// ---------------------------------------------------------------------------------------------------------

namespace
{
struct advisor_query_fixture
{
    std::vector<std::pair<std::string, advisor_query_queue::answer_handler>> asked;
    advisor_query_queue advisor_queries{
        [this](const std::string& client, const advice_question&, advisor_query_queue::answer_handler handler)
        {
            asked.emplace_back(client, std::move(handler));
        }};
    monotonic_time now = at_ms(0);
    int answers = 0;

    advisor_query_fixture()
    {
        advisor_queries.set_clock(
            [this]
            {
                return now;
            });
    }
    void enqueue(bool urgent)
    {
        advisor_queries.enqueue(
            {}, urgent,
            [this](const advice_answer&)
            {
                ++answers;
            },
            now);
    }
};
} // namespace

BOOST_FIXTURE_TEST_CASE(each_client_has_one_query_in_flight, advisor_query_fixture)
{
    advisor_queries.record_client("a", now);
    enqueue(true);
    enqueue(true);
    BOOST_TEST(asked.size() == 1U);
    asked.front().second({true, {}, {}, 0});
    BOOST_TEST(asked.size() == 2U);
    BOOST_TEST(answers == 1);
}

BOOST_FIXTURE_TEST_CASE(some_clients_are_reserved_for_urgent_queries, advisor_query_fixture)
{
    for (const char* name : {"a", "b", "c", "d"})
    {
        advisor_queries.record_client(name, now);
    }
    for (int i = 0; i < 4; ++i)
    {
        enqueue(false);
    }
    BOOST_TEST(asked.size() == 2U);
    enqueue(true);
    BOOST_TEST(asked.size() == 3U);
}

BOOST_FIXTURE_TEST_CASE(a_long_waiting_query_goes_ahead_of_urgent_ones, advisor_query_fixture)
{
    advisor_queries.record_client("a", now);
    enqueue(true);
    enqueue(false);
    for (int i = 0; i < 20 && advisor_queries.normal_waiting() > 0; ++i)
    {
        enqueue(true); // there is always an urgent query
        now += milliseconds(100);
        advisor_queries.record_client("a", now);
        asked.back().second({true, {}, {}, 0});
    }
    BOOST_TEST(advisor_queries.normal_waiting() == 0U);
    BOOST_TEST((now - at_ms(0) > seconds(1)));
}

BOOST_FIXTURE_TEST_CASE(a_client_without_an_answer_is_in_backoff, advisor_query_fixture)
{
    advisor_queries.record_client("a", now);
    advisor_queries.record_client("b", now);
    enqueue(true);
    asked.front().second({});
    enqueue(true);
    BOOST_TEST(asked.back().first == "b");
    BOOST_TEST(answers == 1);
}

// Guards against alternating forever between two clients that report but cannot be reached, while a third one
// would respond.
BOOST_FIXTURE_TEST_CASE(a_query_reaches_the_one_client_that_answers, advisor_query_fixture)
{
    constexpr milliseconds timeout{2500};
    constexpr milliseconds retry{250};
    const monotonic_time end = now + seconds(30);
    bool answered = false;
    while (!answered && now < end)
    {
        for (const char* name : {"a", "b", "c"})
        {
            advisor_queries.record_client(name, now);
        }
        const std::size_t before = asked.size();
        enqueue(true);
        BOOST_REQUIRE(asked.size() == before + 1);
        answered = asked.back().first == "c";
        now += answered ? milliseconds(10) : timeout;
        asked.back().second({answered, {}, {}, 0});
        now += retry;
    }
    BOOST_TEST(answered);
    BOOST_TEST(asked.size() <= 3U);
}

// Guards against waiting for the timeout of an unreachable client again each time its back-off ends.
BOOST_FIXTURE_TEST_CASE(a_client_that_answers_is_preferred_to_one_that_failed, advisor_query_fixture)
{
    std::size_t lost = 0;
    for (int i = 0; i < 10; ++i)
    {
        advisor_queries.record_client("a", now);
        advisor_queries.record_client("b", now);
        enqueue(true);
        const bool answers_it = asked.back().first == "b";
        lost += answers_it ? 0 : 1;
        asked.back().second({answers_it, {}, {}, 0});
        now += seconds(2);
    }
    BOOST_TEST(lost == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_client_that_stops_reporting_is_not_queried, advisor_query_fixture)
{
    advisor_queries.record_client("a", now);
    now += seconds(5);
    enqueue(true);
    BOOST_TEST(asked.empty());
    advisor_queries.record_client("b", now);
    BOOST_TEST(asked.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(answers_from_before_a_leader_change_are_ignored, advisor_query_fixture)
{
    advisor_queries.record_client("a", now);
    enqueue(true);
    advisor_queries.clear();
    asked.front().second({true, {}, {}, 0});
    BOOST_TEST(answers == 0);
    BOOST_TEST(advisor_queries.busy() == 0U);
}

// ---------------------------------------------------------------------------------------------------------
// Links
// ---------------------------------------------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(messages_reach_the_named_peer)
{
    asio::io_context loop;
    const std::string a = loopback(free_port());
    const std::string b = loopback(free_port());
    std::string heard_from;
    mesh first(
        loop, {a, "a", false}, [](const std::string&, mesh_message) {},
        [](const std::string&, bool, const std::string&) {});
    mesh second(
        loop, {b, "b", false},
        [&](const std::string& from, mesh_message message)
        {
            if (std::holds_alternative<leader_query>(message))
            {
                heard_from = from;
                loop.stop();
            }
        },
        [](const std::string&, bool, const std::string&) {});
    BOOST_REQUIRE_EQUAL(first.open(), "");
    BOOST_REQUIRE_EQUAL(second.open(), "");
    first.send(b, leader_query{});
    loop.run_for(seconds(20));
    BOOST_TEST(heard_from == a);
}

// Guards against a one-way partition after which a link stays open but delivers nothing until a restart.
BOOST_AUTO_TEST_CASE(an_unacknowledged_link_is_reopened)
{
    asio::io_context loop;
    const std::uint16_t port = free_port();
    asio::ip::tcp::acceptor silent_acceptor(loop, {asio::ip::address_v4::loopback(), port});
    std::vector<asio::ip::tcp::socket> taken; // accepted connections that are never read or acknowledged
    std::function<void()> accept = [&]
    {
        silent_acceptor.async_accept(
            [&](boost::system::error_code failed, asio::ip::tcp::socket socket)
            {
                if (!failed)
                {
                    taken.push_back(std::move(socket));
                    accept();
                }
                if (taken.size() == 2)
                {
                    loop.stop();
                }
            });
    };
    accept();
    mesh sender(
        loop, {loopback(free_port()), "a", false}, [](const std::string&, mesh_message) {},
        [](const std::string&, bool, const std::string&) {});
    BOOST_REQUIRE_EQUAL(sender.open(), "");
    asio::steady_timer send_timer(loop);
    std::function<void()> send = [&]
    {
        sender.send(loopback(port), leader_query{});
        send_timer.expires_after(milliseconds(100));
        send_timer.async_wait(
            [&](boost::system::error_code cancelled)
            {
                if (!cancelled)
                {
                    send();
                }
            });
    };
    send();
    loop.run_for(seconds(30));
    BOOST_TEST(taken.size() == 2U);
}

// ---------------------------------------------------------------------------------------------------------
// HTTP
// ---------------------------------------------------------------------------------------------------------

namespace
{
struct web_fixture
{
    asio::io_context loop;
    std::string address = loopback(free_port());
    std::size_t taken = 0;
    web_limits bounds;
    std::unique_ptr<web_listener> listener;

    void open()
    {
        listener = std::make_unique<web_listener>(
            loop, bounds,
            [this](web_request request, const std::function<void(web_response)>& answer)
            {
                ++taken;
                answer(web_response{200, request.body + std::string(request.header("x-test")), {}, {}});
            });
        BOOST_REQUIRE_EQUAL(listener->open(address), "");
    }
    std::optional<web_response> post(web_channel& channel, std::string body)
    {
        std::optional<web_response> out;
        web_request request;
        request.method = "POST";
        request.target = "/x";
        request.headers.push_back({"X-Test", "!"});
        request.body = std::move(body);
        channel.send(std::move(request), milliseconds(20000),
                     [&](const web_result& outcome)
                     {
                         out = ok(outcome) ? std::optional(value_of(outcome)) : std::nullopt;
                         loop.stop();
                     });
        loop.restart();
        loop.run_for(seconds(30));
        return out;
    }
};
} // namespace

BOOST_FIXTURE_TEST_CASE(one_connection_carries_many_requests, web_fixture)
{
    open();
    const auto channel = web_channel::make(loop, address);
    for (int i = 0; i < 5; ++i)
    {
        const auto answer = post(*channel, "hello");
        BOOST_REQUIRE(answer.has_value());
        BOOST_TEST(answer->body == "hello!");
    }
    BOOST_TEST(listener->connections() == 1U);
}

BOOST_FIXTURE_TEST_CASE(an_oversized_body_is_rejected_without_handling, web_fixture)
{
    bounds.body_bytes = 100;
    open();
    const auto answer = post(*web_channel::make(loop, address), std::string(1000, 'x'));
    BOOST_TEST(taken == 0U);
    BOOST_TEST((!answer || answer->status == 413U));
}

BOOST_FIXTURE_TEST_CASE(a_connection_closed_while_idle_is_reopened, web_fixture)
{
    open();
    const auto channel = web_channel::make(loop, address);
    BOOST_REQUIRE(post(*channel, "a").has_value());
    listener->drain_connections(); // the next response closes the connection
    BOOST_REQUIRE(post(*channel, "b").has_value());
    BOOST_REQUIRE(post(*channel, "c").has_value());
    BOOST_TEST(taken == 3U);
}

BOOST_AUTO_TEST_CASE(a_refused_connection_is_told_from_one_that_times_out)
{
    asio::io_context loop;
    bool called = false;
    web_result out = web_response{};
    const auto channel = web_channel::make(loop, loopback(free_port()));
    channel->send({}, milliseconds(2000),
                  [&](web_result outcome)
                  {
                      called = true;
                      out = std::move(outcome);
                  });
    loop.run_for(seconds(20));
    BOOST_TEST(called);
    BOOST_REQUIRE(!ok(out));
    BOOST_TEST((error_of(out) == web_failure::refused)); // certainly not executed: no process listens there
}

// ---------------------------------------------------------------------------------------------------------
// Identities
// ---------------------------------------------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(a_replica_identity_carries_its_address)
{
    const replica_id id{node_id{1}, incarnation_id{(std::uint64_t{0x0A020014U} << 32U) | 7U}};
    BOOST_TEST(peer_address_of(id, 7720) == "10.2.0.20:7720");
}
