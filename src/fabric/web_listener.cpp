#include <walkthread/fabric/web_listener.hpp>

#include <algorithm>
#include <functional>
#include <list>
#include <optional>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <walkthread/fabric/acceptors.hpp>
#include <walkthread/node/clock.hpp>

namespace walkthread
{

namespace
{
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr std::size_t small_body_bytes = 16U << 10U;
// A body is held as text, decoded, and encoded for the leader, and the heap keeps gaps.
constexpr std::size_t memory_per_body_byte = 6;
constexpr std::int64_t memory_retry_after_s = 1;
constexpr std::size_t first_read_bytes = 512; // what an idle connection keeps for the next request
constexpr std::size_t max_read_bytes = 64U << 10U;
constexpr std::size_t min_chunk_framing = 5; // a size of one digit and two line ends
// What is read and discarded after a refusal. A client that sends its whole request before it reads gets the
// answer; one that never ends is disconnected.
constexpr std::size_t max_discarded_bytes = 1U << 20U;
constexpr milliseconds discard_timeout{1000};

// The parser joins a folded header line with the next one; other servers take the rest as a line of its own.
bool has_folded_line(std::string_view header)
{
    return header.find("\r\n ") != std::string_view::npos || header.find("\r\n\t") != std::string_view::npos;
}

web_request without_body(const http::request<http::string_body>& in)
{
    web_request out;
    out.method = std::string(in.method_string());
    out.target = std::string(in.target());
    for (const auto& field : in)
    {
        const std::string_view name(field.name_string().data(), field.name_string().size());
        const bool own = name.size() > 2 && (name[0] == 'X' || name[0] == 'x') && name[1] == '-';
        if (own || field.name() == http::field::authorization)
        {
            out.headers.push_back({std::string(name), std::string(field.value())});
        }
    }
    out.host = std::string(in[http::field::host]);
    return out;
}
} // namespace

struct web_listener::core : std::enable_shared_from_this<web_listener::core>
{
    struct session;

    core(asio::io_context& io, web_limits limits, web_handler request_handler,
         std::shared_ptr<connection_memory> account)
        : loop(io), acceptor(io), accept_timer(io), bounds(limits), handler(std::move(request_handler)),
          memory(std::move(account))
    {
    }

    void accept();
    void accept_later();
    [[nodiscard]] bool ensure_capacity();
    [[nodiscard]] std::size_t body_limit() const
    {
        return current_body_limit ? std::min(current_body_limit(), bounds.body_bytes) : bounds.body_bytes;
    }

    asio::io_context& loop;
    tcp::acceptor acceptor;
    asio::steady_timer accept_timer;
    web_limits bounds;
    web_handler handler;
    std::function<std::size_t()> current_body_limit;
    std::shared_ptr<connection_memory> memory;
    std::list<session*> idle; ///< without a request, longest idle first
    bool draining_connections = false;
    std::size_t sessions = 0;
    std::size_t busy = 0;
};

struct web_listener::core::session : std::enable_shared_from_this<session>
{
    session(std::shared_ptr<core> parent, tcp::socket socket)
        : owner(std::move(parent)), stream(std::move(socket)),
          buffer(owner->bounds.header_bytes + owner->bounds.framing_bytes),
          memory(owner->memory, std::bind_front(&session::close, this))
    {
        ++owner->sessions;
    }
    ~session()
    {
        --owner->sessions;
        set_busy(false);
        set_idle(false);
    }
    session(const session&) = delete;
    session& operator=(const session&) = delete;

    void set_busy(bool now_busy)
    {
        if (is_busy != now_busy)
        {
            owner->busy += now_busy ? 1 : -1;
            is_busy = now_busy;
        }
    }

    void set_idle(bool now_idle)
    {
        if (idle_position)
        {
            owner->idle.erase(*idle_position);
            idle_position.reset();
        }
        if (now_idle)
        {
            owner->idle.push_back(this);
            idle_position = std::prev(owner->idle.end());
        }
    }

    // The pending read fails, which ends the session.
    void close()
    {
        set_idle(false);
        beast::error_code ignored; // the peer may have closed first
        stream.socket().close(ignored);
    }

    // Waits for the first byte of a request, up to the idle timeout.
    void wait_for_request()
    {
        set_busy(false);
        set_idle(true);
        stream.expires_after(owner->bounds.idle_timeout);
        if (buffer.size() > 0)
        {
            read();
            return;
        }
        buffer.shrink_to_fit();
        memory.charge(0, monotonic_now());
        stream.async_read_some(buffer.prepare(first_read_bytes),
                               [self = shared_from_this()](beast::error_code failed, std::size_t bytes)
                               {
                                   if (failed)
                                   {
                                       return;
                                   }
                                   self->buffer.commit(bytes);
                                   self->read();
                               });
    }

    void read()
    {
        set_idle(false);
        set_busy(true);
        stream.expires_after(owner->bounds.request_timeout);
        parser.emplace();
        parser->header_limit(static_cast<std::uint32_t>(owner->bounds.header_bytes));
        parser->body_limit(owner->body_limit());
        content_bytes = 0;
        parse();
    }

    // Claims memory for the body as announced, or as received so far if it is chunked.
    bool claim_memory()
    {
        std::size_t body = 0;
        if (parser->is_header_done())
        {
            body = std::max<std::size_t>(parser->content_length().value_or(0), parser->get().body().size());
        }
        return memory.resize(buffer.capacity() + memory_per_body_byte * body, body <= small_body_bytes,
                             monotonic_now());
    }

    void read_more()
    {
        if (!claim_memory())
        {
            refuse(503);
            return;
        }
        memory.set_closable(true);
        const std::size_t size = beast::read_size(buffer, max_read_bytes);
        if (size == 0)
        {
            refuse(parser->is_header_done() ? 413 : 431);
            return;
        }
        stream.async_read_some(buffer.prepare(size),
                               [self = shared_from_this()](beast::error_code failed, std::size_t bytes)
                               {
                                   self->memory.set_closable(false);
                                   if (failed == asio::error::eof)
                                   {
                                       self->refuse(400);
                                       return;
                                   }
                                   if (failed)
                                   {
                                       return;
                                   }
                                   self->buffer.commit(bytes);
                                   self->parse();
                               });
    }

    // Parses what has been received. The parser alone bounds neither chunk extensions nor trailers.
    void parse()
    {
        beast::error_code failed;
        while (!failed && buffer.size() > 0 && !parser->is_done())
        {
            const bool in_content = parser->is_header_done();
            parser->eager(in_content);
            if (in_content && !claim_memory())
            {
                refuse(503);
                return;
            }
            const std::size_t used = parser->put(buffer.data(), failed);
            if (!in_content && (has_folded_line({static_cast<const char*>(buffer.data().data()), used}) ||
                                (parser->is_header_done() && has_unknown_coding())))
            {
                refuse(400);
                return;
            }
            if (!in_content && parser->is_header_done())
            {
                request = without_body(parser->get()); // the parser adds trailers to the headers
            }
            buffer.consume(used);
            content_bytes += in_content ? used : 0;
        }
        if (failed == http::error::body_limit || (parser->is_header_done() && has_excessive_framing()))
        {
            refuse(413);
        }
        else if (failed == http::error::header_limit)
        {
            refuse(431);
        }
        else if (failed && failed != http::error::need_more)
        {
            refuse(400);
        }
        else if (!parser->is_done())
        {
            read_more();
        }
        else
        {
            handle_request();
        }
    }

    // Servers disagree on where such a request ends.
    [[nodiscard]] bool has_unknown_coding() const
    {
        const auto coding = parser->get()[http::field::transfer_encoding];
        return !coding.empty() && !beast::iequals(coding, "chunked");
    }

    [[nodiscard]] bool has_excessive_framing() const
    {
        const std::size_t body = parser->get().body().size();
        const std::size_t unparsed = parser->is_done() ? 0 : buffer.size();
        return content_bytes + unparsed - body > owner->bounds.framing_bytes + min_chunk_framing * body;
    }

    void handle_request()
    {
        keep_alive = parser->keep_alive();
        request.body = std::move(parser->get().body());
        parser.reset();
        stream.expires_never();
        // What the handler keeps of the request is not freed by closing the connection.
        memory.charge(buffer.capacity() + memory_per_body_byte * request.body.size(), monotonic_now());
        owner->handler(std::exchange(request, {}),
                       [self = shared_from_this()](web_response answer)
                       {
                           self->write(std::move(answer));
                       });
    }

    // Answers a request that was not handled, and closes the connection.
    void refuse(unsigned status)
    {
        keep_alive = false;
        refused = true;
        parser.reset();
        buffer.clear();
        buffer.shrink_to_fit();
        owner->memory->count_refusal(status);
        const bool full = status == 503;
        write(web_response{status,
                           full ? R"({"error":{"detail":"This process is short of memory."}})"
                                : R"({"error":{"detail":"The request is malformed or too large."}})",
                           full ? std::optional(memory_retry_after_s) : std::nullopt,
                           {},
                           false});
    }

    // Discards what the client still sends: closing a connection with unread bytes resets it, and the client
    // may lose the response.
    void discard()
    {
        stream.async_read_some(buffer.prepare(first_read_bytes),
                               [self = shared_from_this()](beast::error_code failed, std::size_t bytes)
                               {
                                   self->discarded += bytes;
                                   if (!failed && self->discarded < max_discarded_bytes)
                                   {
                                       self->discard();
                                   }
                               });
    }

    void write(web_response answer)
    {
        response = {};
        response.version(11);
        response.result(answer.status);
        if (!answer.body.empty())
        {
            response.set(http::field::content_type, "application/json");
        }
        if (answer.retry_after_s)
        {
            response.set(http::field::retry_after, std::to_string(*answer.retry_after_s));
        }
        for (const web_header& header : answer.headers)
        {
            response.set(header.name, header.value);
        }
        response.body() = std::move(answer.body);
        response.keep_alive(keep_alive && !owner->draining_connections);
        response.prepare_payload();
        memory.charge(buffer.capacity() + response.body().size(), monotonic_now());
        memory.set_closable(true);
        stream.expires_after(owner->bounds.idle_timeout);
        http::async_write(stream, response,
                          [self = shared_from_this()](beast::error_code failed, std::size_t /*bytes*/)
                          {
                              self->memory.set_closable(false);
                              if (failed || !self->response.keep_alive())
                              {
                                  beast::error_code ignored; // the peer may have closed first
                                  self->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
                                  if (!failed && self->refused)
                                  {
                                      self->set_busy(false);
                                      self->set_idle(true);
                                      self->response = {};
                                      self->memory.charge(0, monotonic_now());
                                      self->stream.expires_after(discard_timeout);
                                      self->discard();
                                  }
                                  return;
                              }
                              self->response = {};
                              self->wait_for_request();
                          });
    }

    std::shared_ptr<core> owner;
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    web_request request; ///< being received; its body is in the parser
    http::response<http::string_body> response;
    connection_memory::claim memory;
    std::size_t content_bytes = 0; ///< parsed bytes of the request behind its header
    std::size_t discarded = 0;     ///< bytes received after a refusal
    bool keep_alive = true;
    bool refused = false;
    bool is_busy = false;
    std::optional<std::list<session*>::iterator> idle_position;
};

// Returns whether another connection can be accepted; closes the one that has been idle longest if necessary.
bool web_listener::core::ensure_capacity()
{
    if (sessions < bounds.connections)
    {
        return true;
    }
    if (idle.empty())
    {
        return false;
    }
    idle.front()->close();
    return true;
}

void web_listener::core::accept_later()
{
    accept_timer.expires_after(detail::accept_retry_delay);
    accept_timer.async_wait(
        [self = shared_from_this()](beast::error_code cancelled)
        {
            if (!cancelled && self->acceptor.is_open())
            {
                self->accept();
            }
        });
}

void web_listener::core::accept()
{
    acceptor.async_accept(
        [self = shared_from_this()](beast::error_code failed, tcp::socket socket)
        {
            if (!self->acceptor.is_open())
            {
                return;
            }
            if (failed)
            {
                self->accept_later();
                return;
            }
            if (self->ensure_capacity())
            {
                beast::error_code ignored; // the option only improves latency
                socket.set_option(tcp::no_delay(true), ignored);
                std::make_shared<session>(self, std::move(socket))->wait_for_request();
            }
            self->accept();
        });
}

web_listener::web_listener(asio::io_context& loop, web_limits bounds, web_handler handler,
                           std::shared_ptr<connection_memory> memory)
    : m_core(std::make_shared<core>(loop, bounds, std::move(handler), std::move(memory)))
{
}

web_listener::~web_listener()
{
    stop_accepting();
}

void web_listener::limit_bodies(std::function<std::size_t()> current)
{
    m_core->current_body_limit = std::move(current);
}

std::string web_listener::open(const std::string& address)
{
    std::string failed = detail::open_acceptor(m_core->acceptor, address);
    if (failed.empty())
    {
        m_core->accept();
    }
    return failed;
}

void web_listener::drain_connections()
{
    m_core->draining_connections = true;
}

void web_listener::stop_accepting()
{
    beast::error_code ignored; // closing twice is harmless
    m_core->accept_timer.cancel();
    m_core->acceptor.close(ignored);
}

std::size_t web_listener::in_progress() const
{
    return m_core->busy;
}

std::size_t web_listener::connections() const
{
    return m_core->sessions;
}

} // namespace walkthread
