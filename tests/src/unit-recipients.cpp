#define BOOST_TEST_MODULE recipients
#include <boost/test/unit_test.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <walkthread/fabric/web_client.hpp>
#include <walkthread/fabric/web_listener.hpp>

using namespace walkthread;
namespace asio = boost::asio;

// Guards against a request reaching the wrong incarnation of a worker. A worker restarts with the same id and
// address; the leader's next poll goes over a new connection and confirms task ends of the former process,
// and the new process discards its own. A request for one process may only use a connection on which that
// process has identified itself.

namespace
{
struct fixture
{
    asio::io_context loop;
    std::string address;
    std::unique_ptr<asio::io_context> process; // destroyed together with its connections
    std::unique_ptr<web_listener> listener;
    std::vector<std::string> received; // bodies with the name of the receiving process
    std::shared_ptr<web_channel> channel;

    fixture()
    {
        asio::ip::tcp::acceptor probe(loop, {asio::ip::address_v4::loopback(), 0});
        address = "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
        probe.close();
        channel = web_channel::make(loop, address);
    }
    // Starts a process at the address. A previous one is destroyed with its connections.
    void run_process(const std::string& name)
    {
        listener.reset();
        process = std::make_unique<asio::io_context>();
        listener = std::make_unique<web_listener>(
            *process, web_limits{},
            [this, name](const web_request& request, const std::function<void(web_response)>& answer)
            {
                received.push_back(name + ' ' + request.body);
                answer(web_response{200, name, {}, {}, false});
            });
        BOOST_REQUIRE_EQUAL(listener->open(address), "");
    }
    std::string send_to(const std::string& recipient_name)
    {
        web_request request;
        request.method = "POST";
        request.target = "/x";
        request.body = "confirm";
        request.recipient = web_recipient{recipient_name, "who",
                                          [recipient_name](const web_response& answer)
                                          {
                                              return answer.body == recipient_name;
                                          }};
        std::optional<std::string> out;
        channel->send(std::move(request), milliseconds(20000),
                      [&](const web_result& outcome)
                      {
                          out = ok(outcome) ? value_of(outcome).body : "none";
                      });
        while (!out)
        {
            loop.restart();
            loop.run_for(milliseconds(1));
            process->restart();
            process->run_for(milliseconds(1));
        }
        return *out;
    }
};

using bodies = std::vector<std::string>;
} // namespace

BOOST_FIXTURE_TEST_CASE(a_new_connection_is_probed_once, fixture)
{
    run_process("p1");
    BOOST_TEST(send_to("p1") == "p1");
    BOOST_TEST(send_to("p1") == "p1");
    BOOST_TEST((received == bodies{"p1 who", "p1 confirm", "p1 confirm"}));
}

BOOST_FIXTURE_TEST_CASE(only_the_probe_reaches_another_process, fixture)
{
    run_process("p1");
    BOOST_TEST(send_to("p1") == "p1");
    received.clear();
    run_process("p2");
    BOOST_TEST(send_to("p1") == "p2");
    BOOST_TEST(send_to("p1") == "p2");
    BOOST_TEST(send_to("p2") == "p2");
    BOOST_TEST(send_to("p1") == "p2"); // as for a request queued before the restart was known
    BOOST_TEST((received == bodies{"p2 who", "p2 who", "p2 who", "p2 confirm", "p2 who"}));
}
