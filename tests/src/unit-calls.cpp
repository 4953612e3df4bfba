#define BOOST_TEST_MODULE calls
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <future>
#include <mutex>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <walkthread/node/core.hpp>
#include <walkthread/wire/codec.hpp>

using namespace walkthread;

namespace
{
constexpr node_id caller{1};
constexpr node_id callee{2};
constexpr milliseconds call_timeout{20'000};

// A currently unused loopback port.
std::uint16_t free_port()
{
    boost::asio::io_context loop;
    const boost::asio::ip::tcp::acceptor probe(loop, {boost::asio::ip::address_v4::loopback(), 0});
    return probe.local_endpoint().port();
}

settings settings_of(node_id node, std::uint16_t caller_port, std::uint16_t callee_port)
{
    settings out;
    out.node = node;
    out.gateway = true;
    out.cell_secret = "secret";
    out.peers = {{caller, {"127.0.0.1", caller_port}, false, {}},
                 {callee, {"127.0.0.1", callee_port}, false, {}}};
    return out;
}

// A peer that does not answer its first call. It answers each later, different call twice: first with the id
// of the first call, then with the id of the call itself.
class replying_peer
{
  public:
    explicit replying_peer(settings config)
        : m_settings(std::move(config)), m_network(m_settings, incarnation_id{1}, m_events, m_metrics,
                                                   [this](node_id from, const peer_message& message)
                                                   {
                                                       receive(from, message);
                                                   })
    {
        BOOST_REQUIRE(m_network.start());
    }
    ~replying_peer()
    {
        m_network.stop();
    }
    replying_peer(const replying_peer&) = delete;
    replying_peer& operator=(const replying_peer&) = delete;

    // The first call received is never answered.
    void wait_for_first_call()
    {
        m_first_call.get_future().wait();
    }

  private:
    void receive(node_id from, const peer_message& message)
    {
        const auto* call = std::get_if<call_frame>(&message);
        if (call == nullptr)
        {
            return;
        }
        const std::scoped_lock lock(m_mutex);
        const bool known_body = m_first && m_first->body == call->body;
        if (!m_first)
        {
            m_first = *call;
            m_first_call.set_value();
        }
        else if (!known_body)
        {
            m_network.send(
                from, reply_frame{m_first->id,
                                  encode(reply_body{document_reply{"reply to the former incarnation"}})});
            m_network.send(from,
                           reply_frame{call->id, encode(reply_body{document_reply{"reply to this call"}})});
        }
    }

    settings m_settings;
    timeline m_events{callee, 16};
    metrics m_metrics;
    std::mutex m_mutex;
    std::optional<call_frame> m_first;
    std::promise<void> m_first_call;
    peer_network m_network;
};

query_call query_of_kind(std::uint8_t kind)
{
    query_call out;
    out.kind = kind;
    return out;
}
} // namespace

// A process is killed and restarts soon after. Replies to calls of its former incarnation still arrive and
// must not be taken for replies to new calls.
BOOST_AUTO_TEST_CASE(a_reply_to_a_former_incarnation_answers_no_new_call)
{
    const std::uint16_t caller_port = free_port();
    const std::uint16_t callee_port = free_port();
    const settings config = settings_of(caller, caller_port, callee_port);
    replying_peer other(settings_of(callee, caller_port, callee_port));
    timeline events{caller, 16};
    metrics counters;
    {
        process_core former(config, nullptr, events, counters);
        BOOST_REQUIRE(former.start());
        former.call_node(callee, root_group, query_of_kind(1), call_timeout, [](const reply_body&) {});
        other.wait_for_first_call();
    }
    process_core next(config, nullptr, events, counters);
    BOOST_REQUIRE(next.start());
    const reply_body reply = next.call_node_and_wait(callee, root_group, query_of_kind(2), call_timeout);
    BOOST_REQUIRE(std::holds_alternative<document_reply>(reply));
    BOOST_TEST(std::get<document_reply>(reply).json == "reply to this call");
}
