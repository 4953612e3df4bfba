#define BOOST_TEST_MODULE fabric_web_answers
#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <walkthread/fabric/web_client.hpp>

using namespace walkthread;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{
constexpr milliseconds call_timeout{60'000}; // ends only a hanging test
constexpr std::size_t max_sent = 64U << 20U; // per answer
// Twice the limit of a body, and as much again for the sockets' buffers.
constexpr std::size_t accepted_bytes = 16U << 20U;

// Answers each request on one connection with a beginning, then with a block that it repeats until the client
// closes the connection.
class endless_server
{
  public:
    endless_server(asio::io_context& loop, std::string start, const std::string& part)
        : m_acceptor(loop, {asio::ip::address_v4::loopback(), 0}), m_socket(loop), m_start(std::move(start))
    {
        while (m_block.size() < (64U << 10U))
        {
            m_block += part;
        }
        m_acceptor.async_accept(m_socket,
                                [this](boost::system::error_code failed)
                                {
                                    BOOST_REQUIRE(!failed);
                                    m_socket.set_option(tcp::socket::send_buffer_size(64 << 10));
                                    send(m_start);
                                });
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }
    [[nodiscard]] std::size_t sent() const
    {
        return m_sent;
    }

  private:
    void send(const std::string& bytes)
    {
        asio::async_write(m_socket, asio::buffer(bytes),
                          [this](boost::system::error_code failed, std::size_t count)
                          {
                              m_sent += count;
                              if (!failed && m_sent < max_sent)
                              {
                                  send(m_block);
                              }
                          });
    }

    tcp::acceptor m_acceptor;
    tcp::socket m_socket;
    std::string m_start;
    std::string m_block;
    std::size_t m_sent = 0;
};

void check_bounded(const std::string& start, const std::string& part)
{
    asio::io_context loop;
    endless_server server(loop, start, part);
    const auto channel = web_channel::make(loop, server.address());
    std::optional<web_result> outcome;
    web_request request;
    request.method = "POST";
    request.target = "/x";
    channel->send(std::move(request), call_timeout,
                  [&](web_result result)
                  {
                      outcome = std::move(result);
                  });
    while (!outcome && server.sent() < max_sent && loop.run_one_for(call_timeout) > 0)
    {
    }
    BOOST_TEST(server.sent() <= accepted_bytes);
    BOOST_REQUIRE(outcome.has_value());
    BOOST_REQUIRE(!ok(*outcome));
    BOOST_TEST((error_of(*outcome) == web_failure::unanswered));
    BOOST_TEST(!channel->is_open());
}

const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
} // namespace

// Guards against memory that grows with a worker's or the advisor's answer.
BOOST_AUTO_TEST_CASE(trailers_without_end_are_not_read)
{
    check_bounded(chunked + "2\r\n{}\r\n0\r\n", "X-Field: value\r\n");
}

BOOST_AUTO_TEST_CASE(a_chunk_extension_without_end_is_not_read)
{
    check_bounded(chunked + "2", ";name=value");
}

BOOST_AUTO_TEST_CASE(extensions_of_small_chunks_without_end_are_not_read)
{
    check_bounded(chunked, "1;" + std::string(1000, 'x') + "\r\n \r\n");
}

BOOST_AUTO_TEST_CASE(a_head_without_end_is_not_read)
{
    check_bounded("HTTP/1.1 200 OK\r\n", "X-Field: value\r\n");
}

BOOST_AUTO_TEST_CASE(a_body_without_end_is_not_read)
{
    check_bounded("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "x");
}
