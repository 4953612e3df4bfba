#include <walkthread/node/peer_network.hpp>

#include <algorithm>
#include <sys/socket.h>
#include <unistd.h>

#include <walkthread/node/clock.hpp>
#include <walkthread/node/tcp.hpp>
#include <walkthread/wire/codec.hpp>
#include <walkthread/wire/frame.hpp>

namespace walkthread
{

namespace
{
constexpr std::size_t max_queued_bytes = 32U << 20U;
constexpr std::size_t read_size = 1U << 16U;
constexpr milliseconds connect_timeout{1000};
constexpr milliseconds send_timeout{2000};
constexpr milliseconds reconnect_pause{200};
constexpr milliseconds poll_step{200};
} // namespace

peer_network::peer_network(const settings& config, incarnation_id incarnation, timeline& events,
                           metrics& counters, receiver receive)
    : m_settings(config), m_incarnation(incarnation), m_events(events), m_metrics(counters),
      m_receive(std::move(receive)), m_log(make_logger("peer"))
{
    for (const peer_settings& peer : config.peers)
    {
        if (peer.node != config.node)
        {
            auto out = std::make_unique<outgoing>();
            out->peer = peer;
            m_out[peer.node] = std::move(out);
        }
    }
}

peer_network::~peer_network()
{
    stop();
}

bool peer_network::start()
{
    m_listener = detail::listen_on(m_settings.find_peer(m_settings.node)->address);
    if (m_listener < 0)
    {
        return false;
    }
    m_acceptor = std::thread(
        [this]
        {
            accept_loop();
        });
    for (auto& [node, out] : m_out)
    {
        out->thread = std::thread(
            [this, &out = *out]
            {
                send_loop(out);
            });
    }
    return true;
}

void peer_network::stop()
{
    if (m_stopping.exchange(true))
    {
        return;
    }
    for (auto& [node, out] : m_out)
    {
        out->ready.notify_all();
        if (out->thread.joinable())
        {
            out->thread.join();
        }
    }
    if (m_acceptor.joinable())
    {
        m_acceptor.join();
    }
    const std::scoped_lock lock(m_in_mutex);
    for (auto& in : m_in)
    {
        in->thread.join();
    }
    m_in.clear();
    if (m_listener >= 0)
    {
        ::close(m_listener);
    }
}

// ---------------------------------------------------------------------------------------------------------
// Sending
// ---------------------------------------------------------------------------------------------------------

void peer_network::send(node_id to, const peer_message& message)
{
    const auto found = m_out.find(to);
    if (found == m_out.end())
    {
        return;
    }
    outgoing& out = *found->second;
    std::string frame = frame_of(message);
    const std::scoped_lock lock(out.mutex);
    if (out.queued_bytes + frame.size() > max_queued_bytes)
    {
        return;
    }
    out.queued_bytes += frame.size();
    out.queue.push_back(std::move(frame));
    out.ready.notify_one();
}

std::string peer_network::frame_of(const peer_message& message)
{
    return make_frame(encode(peer_envelope{m_events.stamp(wall_now()), encode(message)}));
}

void peer_network::send_loop(outgoing& out)
{
    while (!m_stopping)
    {
        const int socket = detail::connect_to(out.peer.address, connect_timeout);
        if (socket < 0)
        {
            std::unique_lock lock(out.mutex);
            out.queue.clear();
            out.queued_bytes = 0;
            out.ready.wait_for(lock, reconnect_pause,
                               [this]
                               {
                                   return m_stopping.load();
                               });
            continue;
        }
        detail::set_send_timeout(socket, send_timeout);
        bool connection_ok =
            detail::send_all(socket, frame_of(hello{m_settings.node, m_incarnation, m_settings.cell_secret}));
        while (connection_ok && !m_stopping)
        {
            connection_ok = write_batch(socket, out);
        }
        ::close(socket);
    }
}

// Waits for queued frames and sends all of them in one batch.
bool peer_network::write_batch(int socket, outgoing& out)
{
    std::string batch;
    {
        std::unique_lock lock(out.mutex);
        out.ready.wait_for(lock, poll_step,
                           [&]
                           {
                               return m_stopping || !out.queue.empty();
                           });
        for (const std::string& frame : out.queue)
        {
            batch += frame;
        }
        out.queue.clear();
        out.queued_bytes = 0;
    }
    if (batch.empty())
    {
        char byte = 0;
        const bool closed = ::recv(socket, &byte, 1, MSG_DONTWAIT | MSG_PEEK) == 0;
        return !closed;
    }
    m_metrics.peer_bytes_sent.Increment(static_cast<double>(batch.size()));
    return detail::send_all(socket, batch);
}

// ---------------------------------------------------------------------------------------------------------
// Receiving
// ---------------------------------------------------------------------------------------------------------

void peer_network::accept_loop()
{
    while (!m_stopping)
    {
        join_finished_readers();
        if (!detail::wait_readable(m_listener, poll_step))
        {
            continue;
        }
        const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
        {
            continue;
        }
        auto in = std::make_unique<incoming>();
        in->socket = socket;
        incoming& connection = *in;
        connection.thread = std::thread(
            [this, &connection]
            {
                read_loop(connection);
            });
        const std::scoped_lock lock(m_in_mutex);
        m_in.push_back(std::move(in));
    }
}

void peer_network::join_finished_readers()
{
    const std::scoped_lock lock(m_in_mutex);
    std::erase_if(m_in,
                  [](const std::unique_ptr<incoming>& in)
                  {
                      if (!in->finished)
                      {
                          return false;
                      }
                      in->thread.join();
                      return true;
                  });
}

void peer_network::read_loop(incoming& in)
{
    frame_reader reader;
    std::string buffer(read_size, '\0');
    node_id from{};
    bool connection_ok = true;
    while (connection_ok && !m_stopping)
    {
        if (!detail::wait_readable(in.socket, poll_step))
        {
            continue;
        }
        const ssize_t got = ::recv(in.socket, buffer.data(), buffer.size(), 0);
        if (got <= 0)
        {
            break;
        }
        m_metrics.peer_bytes_received.Increment(static_cast<double>(got));
        reader.feed(std::string_view(buffer.data(), static_cast<std::size_t>(got)));
        while (connection_ok)
        {
            auto body = reader.next();
            if (!ok(body))
            {
                m_log->warn("Peer message rejected, error {}: {} Connection closed.", error_of(body).number(),
                            error_of(body).detail);
                connection_ok = false;
                break;
            }
            if (!value_of(body))
            {
                break;
            }
            connection_ok = handle_body(*value_of(body), from);
        }
    }
    ::close(in.socket);
    in.finished = true;
}

bool peer_network::handle_body(const std::string& body, node_id& from)
{
    auto envelope = decode<peer_envelope>(body);
    if (!ok(envelope))
    {
        m_log->warn("Peer message rejected, error {}: {} Connection closed.", error_of(envelope).number(),
                    error_of(envelope).detail);
        return false;
    }
    auto message = decode<peer_message>(value_of(envelope).message);
    if (!ok(message))
    {
        m_log->warn("Peer message rejected, error {}: {} Connection closed.", error_of(message).number(),
                    error_of(message).detail);
        return false;
    }
    if (const auto* greeting = std::get_if<hello>(&value_of(message)))
    {
        const bool known = m_settings.find_peer(greeting->node) != nullptr;
        if (!known || greeting->secret != m_settings.cell_secret)
        {
            m_log->warn("Handshake rejected: unknown node or wrong cell secret. Connection closed.");
            return false;
        }
        from = greeting->node;
        const std::scoped_lock lock(m_incarnations_mutex);
        m_incarnations[from] = greeting->incarnation;
        return true;
    }
    if (from == node_id{})
    {
        m_log->warn("A peer sent a message before the handshake. Connection closed.");
        return false;
    }
    m_events.merge(value_of(envelope).stamp, wall_now());
    m_receive(from, std::move(value_of(message)));
    return true;
}

incarnation_id peer_network::incarnation_of(node_id node) const
{
    if (node == m_settings.node)
    {
        return m_incarnation;
    }
    const std::scoped_lock lock(m_incarnations_mutex);
    const auto found = m_incarnations.find(node);
    return found == m_incarnations.end() ? incarnation_id{} : found->second;
}

} // namespace walkthread
