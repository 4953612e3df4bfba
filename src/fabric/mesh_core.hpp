#pragma once

/// @file
/// @brief The connections of a mesh; only mesh.cpp includes this.
/// @since 0.3

#include <walkthread/fabric/mesh.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <optional>
#include <set>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <netinet/tcp.h>

#include <walkthread/fabric/acceptors.hpp>
#include <walkthread/node/clock.hpp>
#include <walkthread/units/time.hpp>
#include <walkthread/wire/codec.hpp>
#include <walkthread/wire/frame.hpp>

namespace walkthread
{

namespace mesh_detail
{
namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

inline constexpr milliseconds connect_timeout{
    600}; // allows for one lost packet inside a region; shorter than an election
inline constexpr milliseconds reconnect_delay{200}; // after a failed or lost connection
inline constexpr int user_timeout_ms = 1200; // TCP closes a link with bytes unacknowledged for this long
inline constexpr std::size_t max_queued_bytes =
    8U << 20U; // a longer queue means that the peer does not read; one frame is always allowed
inline constexpr std::size_t read_size = 16U << 10U;
inline constexpr milliseconds ack_interval{
    100}; // a receiver acknowledges data with one byte, at most this often
inline constexpr milliseconds ack_timeout{
    900}; // without an acknowledgement for this long a link is considered dead
inline constexpr char ack_byte = '.';
inline constexpr auto incoming_idle_timeout =
    std::chrono::seconds(30); // every process sends a message at least every 2 s, so a
                              // silent connection was abandoned by its sender

inline void prepare(tcp::socket& socket)
{
    error_code ignored; // the options only improve latency and failure detection
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(user_timeout_ms),
                      ignored);
}
} // namespace mesh_detail

namespace asio = mesh_detail::asio;
using namespace mesh_detail;

struct mesh::core : std::enable_shared_from_this<mesh::core>
{
    struct outgoing;
    struct incoming;

    core(asio::io_context& io, peer_greeting greeting, handler to, link_handler link, std::size_t link_limit)
        : loop(io), acceptor(io), accept_timer(io), self(std::move(greeting)), message_handler(std::move(to)),
          on_link(std::move(link)), max_links(link_limit)
    {
    }

    void accept();
    void accept_later();
    void displace_outgoing();
    void displace_incoming();

    asio::io_context& loop;
    tcp::acceptor acceptor;
    asio::steady_timer accept_timer;
    peer_greeting self;
    handler message_handler;
    link_handler on_link;
    std::size_t max_links;
    std::map<std::string, std::shared_ptr<outgoing>> links;
    std::set<incoming*> received;
    std::uint64_t sent = 0;
    std::uint64_t dropped = 0;
    message_counts counts;
    std::uint64_t displaced = 0;
    bool closed = false;
};

struct mesh::core::outgoing : std::enable_shared_from_this<outgoing>
{
    outgoing(std::shared_ptr<core> parent, std::string address)
        : owner(std::move(parent)), to(std::move(address)), socket(owner->loop), timer(owner->loop)
    {
    }

    void send(std::string frame)
    {
        const auto now = monotonic_now();
        last_used = now;
        if (connected && unacknowledged_since && now - *unacknowledged_since > ack_timeout)
        {
            disconnect(asio::error::make_error_code(asio::error::timed_out));
        }
        if (!queue.empty() && queued + frame.size() > max_queued_bytes)
        {
            ++owner->dropped;
            return;
        }
        queued += frame.size();
        queue.push_back(std::move(frame));
        if (!connected && !connecting)
        {
            connect();
        }
        else if (connected && !writing)
        {
            write();
        }
    }

    void connect()
    {
        const std::optional<tcp::endpoint> endpoint = detail::parse_endpoint(to);
        if (!endpoint)
        {
            return;
        }
        connecting = true;
        socket = tcp::socket(owner->loop);
        timer.expires_after(connect_timeout);
        timer.async_wait(
            [self = shared_from_this()](error_code cancelled)
            {
                if (!cancelled && self->connecting)
                {
                    error_code ignored; // the attempt then fails with its own error
                    self->socket.close(ignored);
                }
            });
        socket.async_connect(*endpoint,
                             [self = shared_from_this()](error_code failed)
                             {
                                 self->timer.cancel();
                                 self->connecting = false;
                                 if (failed || self->closed)
                                 {
                                     self->disconnect(failed);
                                     return;
                                 }
                                 self->start();
                             });
    }

    void start()
    {
        connected = true;
        owner->on_link(to, true, {});
        prepare(socket);
        std::string greeting_frame = make_frame(encode(mesh_message{owner->self}));
        queued += greeting_frame.size();
        queue.push_front(std::move(greeting_frame));
        read_acks();
        write();
    }

    // The peer sends nothing but acknowledgements on this connection.
    void read_acks()
    {
        socket.async_read_some(asio::buffer(discard_buffer),
                               [self = shared_from_this(), connection_generation = connection_generation](
                                   error_code failed, std::size_t /*bytes*/)
                               {
                                   if (connection_generation != self->connection_generation)
                                   {
                                       return;
                                   }
                                   if (failed)
                                   {
                                       self->disconnect(failed);
                                       return;
                                   }
                                   self->unacknowledged_since.reset();
                                   self->read_acks();
                               });
    }

    void write()
    {
        writing = true;
        if (!unacknowledged_since)
        {
            unacknowledged_since = monotonic_now();
        }
        batch = std::move(queue.front()); // a frame may hold a whole snapshot: no copy of it
        queue.pop_front();
        while (!queue.empty())
        {
            batch += queue.front();
            queue.pop_front();
        }
        queued = 0;
        asio::async_write(socket, asio::buffer(batch),
                          [self = shared_from_this(), connection_generation = connection_generation](
                              error_code failed, std::size_t bytes)
                          {
                              self->owner->sent += bytes;
                              if (connection_generation != self->connection_generation)
                              {
                                  return;
                              }
                              self->writing = false;
                              if (failed)
                              {
                                  self->disconnect(failed);
                              }
                              else if (!self->queue.empty())
                              {
                                  self->write();
                              }
                          });
    }

    // Drops the queue: its messages would be stale on a new connection, and senders repeat what matters.
    void disconnect(error_code why)
    {
        ++connection_generation;
        if (connected && !owner->closed)
        {
            owner->on_link(to, false, why.message());
        }
        connected = false;
        writing = false;
        unacknowledged_since.reset();
        owner->dropped += queue.size();
        queue.clear();
        queued = 0;
        error_code ignored; // may be closed already
        socket.close(ignored);
        if (closed)
        {
            return;
        }
        connecting = true; // until the reconnect delay has passed
        timer.expires_after(reconnect_delay);
        timer.async_wait(
            [self = shared_from_this()](error_code cancelled)
            {
                self->connecting = false;
                if (!cancelled && !self->queue.empty() && !self->closed)
                {
                    self->connect();
                }
            });
    }

    void close()
    {
        closed = true;
        timer.cancel();
        error_code ignored; // may be closed already
        socket.close(ignored);
    }

    std::shared_ptr<core> owner;
    std::string to;
    tcp::socket socket;
    asio::steady_timer timer;
    std::deque<std::string> queue;
    std::size_t queued = 0;
    std::string batch;
    std::array<char, 16> discard_buffer{};
    std::optional<monotonic_time>
        unacknowledged_since; ///< time of the first write since the last acknowledgement
    monotonic_time last_used; ///< when a message was last queued
    std::uint64_t connection_generation = 0;
    bool connected = false;
    bool connecting = false;
    bool writing = false;
    bool closed = false;
};

struct mesh::core::incoming : std::enable_shared_from_this<incoming>
{
    incoming(std::shared_ptr<core> parent, tcp::socket accepted)
        : owner(std::move(parent)), socket(std::move(accepted)), timer(owner->loop), idle(owner->loop)
    {
        owner->received.insert(this);
    }
    ~incoming()
    {
        owner->received.erase(this);
    }
    incoming(const incoming&) = delete;
    incoming& operator=(const incoming&) = delete;

    // The pending read fails, which ends the connection.
    void close()
    {
        owner->received.erase(this);
        error_code ignored; // may be closed already
        socket.close(ignored);
        idle.cancel();
    }

    // A connection that stays silent would hold its descriptor until this process exits.
    void close_when_idle()
    {
        idle.expires_after(incoming_idle_timeout);
        idle.async_wait(
            [self = shared_from_this()](error_code cancelled)
            {
                const bool silent = monotonic_now() - self->last_received >= incoming_idle_timeout;
                if (cancelled || !self->socket.is_open())
                {
                    return;
                }
                if (!silent)
                {
                    self->close_when_idle();
                    return;
                }
                error_code ignored; // may be closed already
                self->socket.close(ignored);
            });
    }

    // Acknowledges received data. In a one-way partition the sender cannot rely on TCP to detect a dead link.
    void schedule_ack()
    {
        if (ack_pending)
        {
            return;
        }
        ack_pending = true;
        timer.expires_after(ack_interval);
        timer.async_wait(
            [self = shared_from_this()](error_code cancelled)
            {
                self->ack_pending = false;
                if (!cancelled && !self->owner->closed && self->socket.is_open())
                {
                    asio::async_write(self->socket, asio::buffer(&ack_byte, 1),
                                      [self](error_code /*failed*/, std::size_t /*bytes*/) {
                                      }); // on failure the read fails too
                }
            });
    }

    void read()
    {
        buffer.resize(read_size);
        socket.async_read_some(asio::buffer(buffer),
                               [self = shared_from_this()](error_code failed, std::size_t bytes)
                               {
                                   if (!failed && self->receive({self->buffer.data(), bytes}))
                                   {
                                       self->read();
                                       return;
                                   }
                                   error_code ignored; // may be closed already
                                   self->socket.close(ignored);
                                   self->idle.cancel();
                               });
    }

    bool receive(std::string_view bytes)
    {
        last_received = monotonic_now();
        schedule_ack();
        reader.feed(bytes);
        for (;;)
        {
            auto body = reader.next();
            if (!ok(body))
            {
                return false;
            }
            if (!value_of(body))
            {
                return !owner->closed;
            }
            const std::size_t size = value_of(body)->size();
            auto message = decode<mesh_message>(*value_of(body));
            value_of(body).reset(); // a frame may hold a whole snapshot
            if (!ok(message))
            {
                return false; // another version or a foreign client: closes the connection
            }
            if (auto* greeting = std::get_if<peer_greeting>(&value_of(message)))
            {
                from = greeting->address;
                from_replica = greeting->has_replica;
            }
            if (from.empty() || owner->closed)
            {
                return false;
            }
            owner->counts.record_received(value_of(message).index(), from_replica, size);
            owner->message_handler(from, std::move(value_of(message)));
        }
    }

    std::shared_ptr<core> owner;
    tcp::socket socket;
    std::string buffer;
    asio::steady_timer timer;
    asio::steady_timer idle;
    monotonic_time last_received = monotonic_now();
    frame_reader reader;
    std::string from;
    bool from_replica = false;
    bool ack_pending = false;
};

} // namespace walkthread
