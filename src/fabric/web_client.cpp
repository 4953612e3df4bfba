#include <walkthread/fabric/web_client.hpp>

#include <deque>
#include <optional>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <netinet/tcp.h>

#include <walkthread/fabric/addresses.hpp>

namespace walkthread
{

namespace
{
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr milliseconds connect_timeout{
    700}; // connecting takes a few ms; does not wait for the retransmission of a lost SYN
constexpr duration max_timer_delay =
    milliseconds(200);                // a timer that fires later shows that this process did not
                                      // run, so the timeout says nothing about the peer
constexpr int user_timeout_ms = 1500; // TCP closes a connection with bytes unacknowledged for this long
constexpr std::size_t max_response_bytes = 4U << 20U; // a worker's list of 500 task ends is about 60 KB
// A response with its headers, chunk sizes, extensions and trailers.
constexpr std::size_t max_transferred_bytes = 2 * max_response_bytes;
// The parser takes the body out of the buffer as it arrives, so this limits headers, chunk extensions and
// trailers.
constexpr std::size_t max_buffered_bytes = 128U << 10U;
constexpr std::size_t max_read_bytes = 64U << 10U;

// Whether a connection failed because of this machine, so that the failure says nothing about the peer.
bool is_local_failure(const beast::error_code& failed)
{
    return failed == asio::error::no_descriptors || failed == asio::error::no_buffer_space ||
           failed == asio::error::no_memory || failed == asio::error::network_unreachable ||
           failed == asio::error::network_down ||
           failed == boost::system::errc::too_many_files_open_in_system ||
           failed == boost::system::errc::address_not_available;
}

class channel final : public web_channel
{
  public:
    channel(asio::io_context& loop, std::string address)
        : m_loop(loop), m_address(std::move(address)), m_stream(std::in_place, loop)
    {
    }

    void send(web_request request, milliseconds timeout, web_response_handler handler) override
    {
        m_queue.push_back({std::move(request), timeout, std::move(handler)});
        if (!m_busy)
        {
            next();
        }
    }

    void close() override
    {
        m_closed = true;
        drop_connection();
        for (waiting_request& item : std::exchange(m_queue, {}))
        {
            item.handler(web_failure::not_sent);
        }
    }

    [[nodiscard]] bool is_open() const override
    {
        return m_open;
    }

    [[nodiscard]] std::size_t waiting() const override
    {
        return m_queue.size() + (m_busy ? 1 : 0);
    }

  private:
    struct waiting_request
    {
        web_request request;
        milliseconds timeout;
        web_response_handler handler;
    };

    std::shared_ptr<channel> self()
    {
        return std::static_pointer_cast<channel>(shared_from_this());
    }

    void next()
    {
        if (m_queue.empty() || m_closed)
        {
            m_busy = false;
            return;
        }
        m_busy = true;
        m_current = std::move(m_queue.front());
        m_queue.pop_front();
        m_repeated = false;
        m_sent = false;
        attempt();
    }

    [[nodiscard]] web_failure classify_connect_failure(const beast::error_code& failed) const
    {
        if (m_sent)
        {
            return web_failure::unanswered; // sent on the previous connection
        }
        const bool late = failed == beast::error::timeout &&
                          asio::steady_timer::clock_type::now() > m_connect_deadline + max_timer_delay;
        if (m_closed || late || is_local_failure(failed))
        {
            return web_failure::not_sent;
        }
        return failed == asio::error::connection_refused ? web_failure::refused : web_failure::unreachable;
    }

    void attempt()
    {
        m_deadline =
            asio::steady_timer::clock_type::now() + m_current.timeout; // in the clock of the stream's timer
        m_reused = m_open;
        if (m_open)
        {
            write();
            return;
        }
        const std::optional<tcp::endpoint> endpoint = detail::parse_endpoint(m_address);
        if (!endpoint)
        {
            finish(web_failure::unreachable);
            return;
        }
        m_connect_deadline =
            asio::steady_timer::clock_type::now() + std::min(connect_timeout, m_current.timeout);
        m_stream->expires_at(m_connect_deadline);
        m_stream->async_connect(*endpoint,
                                [keep = self()](beast::error_code failed)
                                {
                                    if (failed)
                                    {
                                        keep->drop_connection();
                                        keep->finish(keep->classify_connect_failure(failed));
                                        return;
                                    }
                                    keep->prepare_socket();
                                    keep->m_open = true;
                                    keep->write();
                                });
    }

    void prepare_socket()
    {
        beast::error_code ignored; // the options only improve latency and failure detection
        m_stream->socket().set_option(tcp::no_delay(true), ignored);
        const asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT> timeout(user_timeout_ms);
        m_stream->socket().set_option(timeout, ignored);
    }

    void write()
    {
        m_request = {};
        m_request.version(11);
        m_request.method_string(m_current.request.method);
        m_request.target(m_current.request.target);
        m_request.set(http::field::host, m_current.request.host.empty() ? m_address : m_current.request.host);
        for (const web_header& header : m_current.request.headers)
        {
            m_request.set(header.name, header.value);
        }
        const auto& recipient = m_current.request.recipient;
        m_probing = recipient && recipient->name != m_verified_recipient;
        const std::string& body = m_probing ? recipient->question : m_current.request.body;
        if (!body.empty())
        {
            m_request.set(http::field::content_type, "application/json");
            m_request.body() = body;
        }
        m_request.prepare_payload();
        m_sent = true;
        m_stream->expires_at(m_deadline);
        http::async_write(*m_stream, m_request,
                          [keep = self()](beast::error_code failed, std::size_t /*bytes*/)
                          {
                              failed ? keep->fail() : keep->read();
                          });
    }

    void read()
    {
        m_parser.emplace();
        m_parser->body_limit(max_response_bytes);
        m_parser->eager(true);
        m_transferred = 0;
        parse();
    }

    void read_more()
    {
        const std::size_t size = beast::read_size(m_buffer, max_read_bytes);
        if (size == 0)
        {
            fail();
            return;
        }
        m_stream->async_read_some(m_buffer.prepare(size),
                                  [keep = self()](beast::error_code failed, std::size_t bytes)
                                  {
                                      if (failed == asio::error::eof && keep->m_parser->got_some())
                                      {
                                          keep->parse_end_of_stream();
                                          return;
                                      }
                                      if (failed)
                                      {
                                          keep->fail(failed == beast::error::timeout);
                                          return;
                                      }
                                      keep->m_buffer.commit(bytes);
                                      keep->parse();
                                  });
    }

    // Parses what has been received. The parser alone bounds neither chunk extensions nor trailers.
    void parse()
    {
        beast::error_code failed;
        while (!failed && m_buffer.size() > 0 && !m_parser->is_done())
        {
            const std::size_t used = m_parser->put(m_buffer.data(), failed);
            m_buffer.consume(used);
            m_transferred += used;
        }
        const bool malformed = failed && failed != http::error::need_more;
        if (malformed || m_transferred > max_transferred_bytes)
        {
            fail();
        }
        else if (m_parser->is_done())
        {
            handle_complete_response();
        }
        else
        {
            read_more();
        }
    }

    // A response without a length ends with its connection.
    void parse_end_of_stream()
    {
        beast::error_code failed;
        m_parser->put_eof(failed);
        failed ? fail() : handle_complete_response();
    }

    void handle_complete_response()
    {
        http::response<http::string_body> response = m_parser->release();
        if (!response.keep_alive())
        {
            drop_connection();
        }
        web_response answer;
        answer.status = response.result_int();
        answer.body = std::move(response.body());
        answer.repeated = m_repeated;
        handle_response(std::move(answer));
    }

    // If another process answers the probe, its response is returned and the request is not sent.
    void handle_response(web_response answer)
    {
        if (!m_probing || !m_current.request.recipient->is_from_recipient(answer))
        {
            finish(std::move(answer));
            return;
        }
        if (!m_open)
        {
            finish(web_failure::unanswered); // the next attempt probes again
            return;
        }
        m_verified_recipient = m_current.request.recipient->name;
        m_deadline = asio::steady_timer::clock_type::now() + m_current.timeout;
        write();
    }

    void fail(bool timed_out = false)
    {
        drop_connection();
        if (m_reused && !m_repeated && !timed_out && !m_closed)
        {
            m_repeated = true;
            attempt();
            return;
        }
        finish(web_failure::unanswered);
    }

    void drop_connection()
    {
        beast::error_code ignored; // may be closed already
        m_stream->socket().close(ignored);
        m_stream.emplace(m_loop);
        m_buffer.clear();
        m_verified_recipient.clear();
        m_open = false;
    }

    void finish(web_result outcome)
    {
        const web_response_handler handler = std::exchange(m_current.handler, nullptr);
        const auto keep = self();
        if (handler)
        {
            handler(std::move(outcome));
        }
        next();
    }

    asio::io_context& m_loop;
    std::string m_address;
    std::optional<beast::tcp_stream> m_stream;
    beast::flat_buffer m_buffer{max_buffered_bytes};
    std::size_t m_transferred = 0; ///< bytes of the current response that have been parsed
    std::optional<http::response_parser<http::string_body>> m_parser;
    http::request<http::string_body> m_request;
    std::deque<waiting_request> m_queue;
    waiting_request m_current;
    std::chrono::steady_clock::time_point m_deadline;
    std::chrono::steady_clock::time_point m_connect_deadline;
    std::string m_verified_recipient; ///< the recipient that has identified itself on the current connection
    bool m_probing = false;           ///< a probe is in flight, ahead of the request
    bool m_busy = false;
    bool m_open = false;
    bool m_reused = false;
    bool m_repeated = false;
    bool m_sent = false; ///< a byte of the current request may have been sent
    bool m_closed = false;
};
} // namespace

std::shared_ptr<web_channel> web_channel::make(asio::io_context& loop, const std::string& address)
{
    return std::make_shared<channel>(loop, address);
}

} // namespace walkthread
