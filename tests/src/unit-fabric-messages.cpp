#define BOOST_TEST_MODULE fabric_messages
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>

#include <boost/asio/ip/tcp.hpp>

#include <walkthread/fabric/mesh.hpp>
#include <walkthread/observe/metrics_page.hpp>

using namespace walkthread;
namespace asio = boost::asio;

// Without counts by kind and role, an operator cannot tell which messages grow with the number of processes.

namespace
{
const std::size_t query_kind = mesh_message{leader_query{}}.index();
const std::size_t call_kind = mesh_message{call_message{}}.index();

std::string free_address()
{
    asio::io_context loop;
    asio::ip::tcp::acceptor probe(loop, {asio::ip::address_v4::loopback(), 0});
    return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
}

std::string text_of(const mesh& process)
{
    metrics_page page;
    page.add(process.counts().collect());
    return page.text();
}
} // namespace

BOOST_AUTO_TEST_CASE(messages_are_counted_by_kind_and_by_the_role_of_the_sender)
{
    asio::io_context loop;
    std::size_t arrived = 0;
    const auto on_message = [&arrived](const std::string& /*from*/, const mesh_message& message)
    {
        arrived += std::holds_alternative<peer_greeting>(message) ? 0 : 1;
    };
    const auto on_link = [](const std::string& /*to*/, bool /*up*/, const std::string& /*reason*/) {};
    const std::string address = free_address();
    mesh leader(loop, {address, "leader", true}, on_message, on_link);
    mesh replica(loop, {free_address(), "replica", true}, on_message, on_link);
    mesh entry(loop, {free_address(), "entry", false}, on_message, on_link);
    BOOST_REQUIRE(leader.open().empty());
    for (int i = 0; i < 3; ++i)
    {
        entry.send(address, leader_query{});
    }
    entry.send(address, call_message{call_number{1}, "body"});
    replica.send(address, leader_query{});
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (arrived < 5 && std::chrono::steady_clock::now() < end)
    {
        loop.run_for(std::chrono::milliseconds(10));
    }
    const message_counts& counts = leader.counts();
    BOOST_TEST(counts.received(query_kind, false) == 3U);
    BOOST_TEST(counts.received(query_kind, true) == 1U);
    BOOST_TEST(counts.received(call_kind, false) == 1U);
    BOOST_TEST(counts.received(call_kind, true) == 0U);
    const std::string text = text_of(leader);
    BOOST_TEST(text.find("walkthread_peer_messages_received_total{kind=\"leader_query\",from=\"edge\"} 3") !=
               std::string::npos);
    BOOST_TEST(text.find("kind=\"join_request\"") == std::string::npos);
    BOOST_TEST(text_of(entry).find("walkthread_peer_messages_sent_total{kind=\"leader_query\"} 3") !=
               std::string::npos);
}
