#define BOOST_TEST_MODULE fabric_listener_limits
#include <boost/test/unit_test.hpp>

#include <array>

#include <boost/asio/ip/tcp.hpp>

#include <walkthread/fabric/fabric_node.hpp>
#include <walkthread/fabric/mesh.hpp>
#include <walkthread/fabric/web_listener.hpp>

using namespace walkthread;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace
{
// What a client saw of its connection.
struct exchange
{
    std::string received;
    std::size_t sent = 0;
    bool closed = false;

    [[nodiscard]] unsigned status() const
    {
        return received.size() < 12 ? 0 : static_cast<unsigned>(std::stoul(received.substr(9, 3)));
    }
};

struct listener_fixture
{
    asio::io_context loop;
    web_limits bounds;
    std::vector<web_request> handled;
    std::vector<std::function<void(web_response)>> unanswered;
    bool answers = true;
    std::shared_ptr<connection_memory> memory =
        std::make_shared<connection_memory>(connection_memory_limits{});
    std::unique_ptr<web_listener> listener;
    tcp::endpoint address;

    listener_fixture()
    {
        bounds.header_bytes = 1024;
        bounds.body_bytes = 4096;
        bounds.framing_bytes = 1024;
    }

    void open()
    {
        {
            tcp::acceptor probe(loop, {asio::ip::address_v4::loopback(), 0});
            address = probe.local_endpoint();
        }
        listener = std::make_unique<web_listener>(
            loop, bounds,
            [this](web_request request, const std::function<void(web_response)>& answer)
            {
                handled.push_back(std::move(request));
                if (!answers)
                {
                    unanswered.push_back(answer);
                    return;
                }
                answer(web_response{200, {}, {}, {}, false});
            },
            memory);
        BOOST_REQUIRE_EQUAL(listener->open("127.0.0.1:" + std::to_string(address.port())), "");
    }

    tcp::socket connect()
    {
        tcp::socket client(loop);
        client.connect(address);
        client.non_blocking(true);
        return client;
    }

    // Sends `head`, then `repeated` again and again up to `max_sent` bytes, and reads until the server
    // closes, or until a response is there if `one_response`. The time limit only stops a hanging test.
    exchange talk(tcp::socket& client, const std::string& head, const std::string& repeated = {},
                  std::size_t max_sent = 0, bool one_response = false)
    {
        exchange out;
        std::string unsent = head;
        bool writable = true;
        const auto give_up = std::chrono::steady_clock::now() + seconds(10);
        while (!out.closed && std::chrono::steady_clock::now() < give_up)
        {
            if (unsent.empty() && out.sent < max_sent)
            {
                unsent = repeated;
            }
            boost::system::error_code failed;
            if (writable && !unsent.empty())
            {
                const std::size_t bytes = client.write_some(asio::buffer(unsent), failed);
                out.sent += bytes;
                unsent.erase(0, bytes);
                writable = !failed || failed == asio::error::would_block;
            }
            std::array<char, 4096> part{};
            const std::size_t bytes = client.read_some(asio::buffer(part), failed);
            out.received.append(part.data(), bytes);
            out.closed = failed && failed != asio::error::would_block;
            if (one_response && out.received.find("\r\n\r\n") != std::string::npos)
            {
                break;
            }
            if (max_sent > 0 && unsent.empty() && out.sent >= max_sent && out.received.empty())
            {
                break; // everything was taken without an answer
            }
            loop.restart();
            loop.run_for(milliseconds(1));
        }
        return out;
    }

    exchange talk(const std::string& head, const std::string& repeated = {}, std::size_t max_sent = 0)
    {
        tcp::socket client = connect();
        return talk(client, head, repeated, max_sent);
    }

    exchange request_once(const std::string& text)
    {
        tcp::socket client = connect();
        return talk(client, text, {}, 0, true);
    }

    void check_refused(const exchange& out, unsigned status)
    {
        BOOST_TEST(out.status() == status);
        BOOST_TEST(out.closed);
        BOOST_TEST(handled.empty());
        BOOST_TEST(request_once("GET /x HTTP/1.1\r\nHost: a\r\n\r\n").status() == 200U);
    }
};

const std::string chunked = "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr std::size_t endless = 4U << 20U; // far above all limits of the fixture

std::string with_length(std::size_t bytes)
{
    return "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n";
}
} // namespace

// Guards against a read buffer that grows with trailers until the process runs out of memory.
BOOST_FIXTURE_TEST_CASE(trailers_without_end_are_refused, listener_fixture)
{
    open();
    check_refused(talk(chunked + "1\r\nx\r\n0\r\n", "A: " + std::string(1000, 'x') + "\r\n", endless), 413);
}

BOOST_FIXTURE_TEST_CASE(a_chunk_extension_without_end_is_refused, listener_fixture)
{
    open();
    check_refused(talk(chunked + "1;a=", std::string(1000, 'x'), endless), 413);
}

// Each extension is short, but they are many times larger than the body.
BOOST_FIXTURE_TEST_CASE(chunk_extensions_without_end_are_refused, listener_fixture)
{
    open();
    check_refused(talk(chunked, "1;a=" + std::string(200, 'x') + "\r\ny\r\n", endless), 413);
}

BOOST_FIXTURE_TEST_CASE(a_header_without_end_is_refused, listener_fixture)
{
    open();
    check_refused(talk("GET /x HTTP/1.1\r\n", "A: " + std::string(1000, 'x') + "\r\n", endless), 431);
}

// Guards against a framing limit that a request within the limits meets.
BOOST_FIXTURE_TEST_CASE(the_largest_body_is_served_in_chunks_of_one_byte, listener_fixture)
{
    open();
    std::string text = chunked;
    for (std::size_t i = 0; i < bounds.body_bytes; ++i)
    {
        text += "1\r\nx\r\n";
    }
    const std::string trailers = "0\r\nX-A: b\r\n\r\n";
    BOOST_TEST(request_once(text + trailers).status() == 200U);
    BOOST_TEST(request_once(with_length(bounds.body_bytes) + std::string(bounds.body_bytes, 'x')).status() ==
               200U);
    BOOST_REQUIRE_EQUAL(handled.size(), 2U);
    BOOST_TEST(handled[0].body == std::string(bounds.body_bytes, 'x'));
    BOOST_TEST(handled[1].body == handled[0].body);
}

// Guards against refused connections that stay half-open until the client closes them.
BOOST_FIXTURE_TEST_CASE(a_refused_client_that_stays_is_disconnected, listener_fixture)
{
    open();
    tcp::socket client = connect();
    BOOST_TEST(talk(client, with_length(bounds.body_bytes + 1)).status() == 413U);
    for (int i = 0; i < 100 && listener->connections() > 0; ++i) // the limit only stops a hanging test
    {
        loop.restart();
        loop.run_for(milliseconds(100));
    }
    BOOST_TEST(listener->connections() == 0U);
}

// Guards against a reset while the client still sends, on which it may lose the response.
BOOST_FIXTURE_TEST_CASE(a_client_that_sends_first_and_reads_later_gets_the_refusal, listener_fixture)
{
    open();
    tcp::socket client = connect();
    const std::string text = with_length(bounds.body_bytes + 1) + std::string(bounds.body_bytes + 1, 'x');
    std::size_t sent = 0;
    boost::system::error_code failed;
    while (sent < text.size() && !failed)
    {
        sent += client.write_some(
            asio::buffer(text.data() + sent, std::min<std::size_t>(512, text.size() - sent)), failed);
        loop.restart();
        loop.run_for(milliseconds(1));
    }
    BOOST_TEST(sent == text.size());
    BOOST_TEST(talk(client, {}).status() == 413U);
}

// Guards against bodies above the configuration's limit, which cost memory and are then of no use.
BOOST_FIXTURE_TEST_CASE(a_lower_body_limit_holds_for_the_next_request_of_a_connection, listener_fixture)
{
    std::size_t limit = bounds.body_bytes;
    open();
    listener->limit_bodies(
        [&limit]
        {
            return limit;
        });
    tcp::socket client = connect();
    BOOST_TEST(talk(client, with_length(3000) + std::string(3000, 'x'), {}, 0, true).status() == 200U);
    limit = 2000;
    BOOST_TEST(talk(client, with_length(2000) + std::string(2000, 'x'), {}, 0, true).status() == 200U);
    BOOST_TEST(talk(client, with_length(2001) + std::string(2001, 'x'), {}, 0, true).status() == 413U);
    BOOST_TEST(handled.size() == 2U);
    limit = bounds.body_bytes + 1; // has no effect
    BOOST_TEST(request_once(with_length(limit) + std::string(limit, 'x')).status() == 413U);
}

namespace
{
constexpr std::size_t large_body = 100U << 10U;

struct memory_fixture : listener_fixture
{
    memory_fixture()
    {
        bounds.body_bytes = 1U << 20U;
        memory = std::make_shared<connection_memory>(connection_memory_limits{2U << 20U, 256U << 10U});
        memory->on_change(
            [this](bool refusing)
            {
                changes.push_back(refusing);
            });
        open();
    }
    ~memory_fixture()
    {
        memory->on_change({}); // connections end with the loop, after this object
    }
    memory_fixture(const memory_fixture&) = delete;
    memory_fixture& operator=(const memory_fixture&) = delete;

    void run_briefly()
    {
        loop.restart();
        loop.run_for(milliseconds(50));
    }

    // Opens connections that send `text`, until no more memory is claimed.
    void crowd(const std::string& text)
    {
        for (int i = 0; i < 30; ++i)
        {
            clients.push_back(connect());
            boost::system::error_code ignored; // the connection may be refused
            clients.back().write_some(asio::buffer(text), ignored);
            run_briefly();
        }
        BOOST_TEST(memory->held() <= memory->limits().bytes);
    }

    std::vector<tcp::socket> clients;
    std::vector<bool> changes;
};
} // namespace

// Guards against a sum of bodies above the memory of the process, each of them within its own limit.
BOOST_FIXTURE_TEST_CASE(unfinished_bodies_leave_room_for_small_requests, memory_fixture)
{
    crowd(with_length(large_body) + std::string(large_body / 2, 'x'));
    const exchange out = talk(with_length(large_body) + std::string(large_body, 'x'));
    BOOST_TEST(out.status() == 503U);
    BOOST_TEST(out.received.find("Retry-After: 1") != std::string::npos);
    BOOST_TEST(handled.empty());
    BOOST_TEST(request_once(with_length(1000) + std::string(1000, 'x')).status() == 200U);
    BOOST_TEST((changes == std::vector<bool>{true}));
    clients.clear();
    run_briefly();
    BOOST_TEST(memory->held() == 0U);
    BOOST_TEST((changes == std::vector<bool>{true, false}));
    BOOST_TEST(request_once(with_length(large_body) + std::string(large_body, 'x')).status() == 200U);
}

BOOST_FIXTURE_TEST_CASE(requests_that_wait_for_their_answer_count, memory_fixture)
{
    answers = false;
    crowd(with_length(large_body) + std::string(large_body, 'x'));
    BOOST_TEST(handled.size() < clients.size());
    answers = true;
    BOOST_TEST(request_once(with_length(large_body) + std::string(large_body, 'x')).status() == 503U);
    BOOST_TEST(request_once(with_length(1000) + std::string(1000, 'x')).status() == 200U);
    for (const auto& answer : unanswered)
    {
        answer(web_response{200, {}, {}, {}, false});
    }
    run_briefly();
    BOOST_TEST(memory->held() == 0U);
}

// Guards against small requests that find no room as many others of their kind do not end.
BOOST_FIXTURE_TEST_CASE(the_connection_that_holds_most_for_longest_gives_way_to_a_small_request,
                        memory_fixture)
{
    const std::size_t small = 16U << 10U;
    for (int i = 0; i < 3; ++i)
    {
        crowd(with_length(small) + std::string(small / 2, 'x'));
    }
    BOOST_TEST(memory->closed() > 0U);
    BOOST_TEST(request_once(with_length(small) + std::string(small, 'x')).status() == 200U);
    std::array<char, 1> part{};
    boost::system::error_code failed;
    clients.front().read_some(asio::buffer(part), failed);
    BOOST_TEST((failed && failed != asio::error::would_block));
    failed = {};
    clients.back().read_some(asio::buffer(part), failed);
    BOOST_TEST((failed == asio::error::would_block));
}

// A client that does not read cannot hold more than the account has room for.
BOOST_FIXTURE_TEST_CASE(responses_that_are_not_read_count, memory_fixture)
{
    answers = false;
    for (int i = 0; i < 6; ++i)
    {
        clients.push_back(connect());
        clients.back().set_option(asio::socket_base::receive_buffer_size(4096));
        clients.back().write_some(asio::buffer(std::string("GET /x HTTP/1.1\r\nHost: a\r\n\r\n")));
        run_briefly();
    }
    BOOST_REQUIRE_EQUAL(unanswered.size(), 6U);
    for (const auto& answer : unanswered)
    {
        answer(web_response{200, std::string(8U << 20U, 'x'), {}, {}, false});
        run_briefly();
        BOOST_TEST(memory->held() <= std::max<std::size_t>(memory->limits().bytes, 9U << 20U));
    }
    BOOST_TEST(memory->closed() == 5U);
}

// Guards against requests whose end two servers see at different places (RFC 9112, sections 5 to 7).
BOOST_FIXTURE_TEST_CASE(ambiguous_framing_is_refused, listener_fixture)
{
    open();
    const std::string post = "POST /x HTTP/1.1\r\nHost: a\r\n";
    const std::vector<std::string> ambiguous = {
        post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        post + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
        post + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
        post + "Content-Length: 5, 6\r\n\r\nhello!",
        post + "Content-Length: +5\r\n\r\nhello",
        post + "Content-Length: 18446744073709551621\r\n\r\nhello",
        post + "X-A: b\r\n c\r\nContent-Length: 5\r\n\r\nhello",
        "POST /x HTTP/1.1\nHost: a\nContent-Length: 5\n\nhello",
        post + "Content-Length: 5\n\r\n\r\nhello",
        post + "Content-Length : 5\r\n\r\nhello",
        post + "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
        chunked + "10000000000000001\r\nx\r\n0\r\n\r\n",
        chunked + "-1\r\nx\r\n0\r\n\r\n",
        chunked + "1\r\nxy\r\n0\r\n\r\n",
    };
    for (const std::string& text : ambiguous)
    {
        BOOST_TEST_CONTEXT(text)
        {
            const exchange out = talk(text);
            BOOST_TEST(out.status() == 400U);
            BOOST_TEST(out.closed);
        }
    }
    BOOST_TEST(handled.empty());
    BOOST_TEST(request_once(chunked + "1\r\nx\r\n0\r\nX-A: b\r\n\r\n").status() == 200U);
    BOOST_TEST(handled.size() == 1U);
}

// Such a chunk never ends, so that the request times out.
BOOST_FIXTURE_TEST_CASE(a_bare_line_feed_does_not_end_a_chunk_header, listener_fixture)
{
    bounds.request_timeout = milliseconds(500);
    open();
    const exchange out = talk(chunked + "1\nx\n0\n\n");
    BOOST_TEST(out.closed);
    BOOST_TEST(handled.empty());
}

// Guards against a trailer that acts as a header behind a server that checks headers only.
BOOST_FIXTURE_TEST_CASE(trailers_are_not_headers, listener_fixture)
{
    open();
    const std::string trailers = "0\r\nX-A: b\r\nAuthorization: Bearer c\r\n\r\n";
    BOOST_TEST(request_once(chunked + "1\r\nx\r\n" + trailers).status() == 200U);
    BOOST_REQUIRE_EQUAL(handled.size(), 1U);
    BOOST_TEST(handled[0].headers.empty());
    BOOST_TEST(handled[0].body == "x");
}

// Guards against an edge process that does not learn the limits of the configuration that replicas hold.
BOOST_AUTO_TEST_CASE(a_process_without_a_replica_follows_the_limits_of_the_newest_configuration)
{
    asio::io_context loop;
    const auto free_address = [&loop]
    {
        tcp::acceptor probe(loop, {asio::ip::address_v4::loopback(), 0});
        return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
    };
    const std::string replica = free_address();
    caller_limits held{7, 262144};
    std::unique_ptr<mesh> peers;
    peers = std::make_unique<mesh>(
        loop, peer_greeting{replica, "replica", true},
        [&](const std::string& from, const mesh_message& message)
        {
            if (std::holds_alternative<leader_query>(message))
            {
                leader_status status{true, replica, 1, {replica}};
                status.limits = held;
                peers->send(from, status);
            }
        },
        [](const std::string&, bool, const std::string&) {});
    BOOST_REQUIRE_EQUAL(peers->open(""), "");
    fabric_settings settings;
    settings.name = "edge";
    settings.peer_address = free_address();
    settings.seeds = {replica};
    decision_log log;
    fabric_node edge(loop, settings, {}, log);
    BOOST_REQUIRE_EQUAL(edge.start(), "");
    const auto reaches = [&](std::int64_t bytes) // the time limit only stops a hanging test
    {
        for (int i = 0; i < 200 && edge.limits_of_callers().max_body_bytes != bytes; ++i)
        {
            loop.run_for(milliseconds(50));
        }
        return edge.limits_of_callers().max_body_bytes == bytes;
    };
    BOOST_TEST(edge.limits_of_callers().max_body_bytes == 0);
    BOOST_TEST(reaches(262144));
    held = {8, 100000};
    BOOST_TEST(reaches(100000));
    held = {7, 262144}; // a replica that is behind
    loop.run_for(milliseconds(900));
    BOOST_TEST(edge.limits_of_callers().max_body_bytes == 100000);
}
