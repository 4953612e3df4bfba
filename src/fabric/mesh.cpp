#include "mesh_core.hpp"

namespace walkthread
{

void mesh::core::accept()
{
    acceptor.async_accept(
        [self = shared_from_this()](error_code failed, tcp::socket socket)
        {
            if (self->closed)
            {
                return;
            }
            if (failed)
            {
                self->accept_later();
                return;
            }
            self->displace_incoming();
            prepare(socket);
            const auto connection = std::make_shared<incoming>(self, std::move(socket));
            connection->read();
            connection->close_when_idle();
            self->accept();
        });
}

void mesh::core::accept_later()
{
    accept_timer.expires_after(detail::accept_retry_delay);
    accept_timer.async_wait(
        [self = shared_from_this()](error_code cancelled)
        {
            if (!cancelled && !self->closed)
            {
                self->accept();
            }
        });
}

// An evicted link is opened again with the next message.
void mesh::core::displace_outgoing()
{
    if (links.size() < max_links)
    {
        return;
    }
    const auto oldest = std::min_element(links.begin(), links.end(),
                                         [](const auto& a, const auto& b)
                                         {
                                             return a.second->last_used < b.second->last_used;
                                         });
    if (oldest != links.end())
    {
        oldest->second->close();
        links.erase(oldest);
        ++displaced;
    }
}

void mesh::core::displace_incoming()
{
    if (received.size() < max_links)
    {
        return;
    }
    const auto oldest = std::min_element(received.begin(), received.end(),
                                         [](const incoming* a, const incoming* b)
                                         {
                                             return a->last_received < b->last_received;
                                         });
    if (oldest != received.end())
    {
        (*oldest)->close();
        ++displaced;
    }
}

mesh::mesh(asio::io_context& loop, peer_greeting self, handler message_handler, link_handler on_link,
           std::size_t max_links)
    : m_core(std::make_shared<core>(loop, std::move(self), std::move(message_handler), std::move(on_link),
                                    max_links))
{
}

mesh::~mesh()
{
    m_core->closed = true;
    error_code ignored; // the acceptor may never have been opened
    m_core->acceptor.close(ignored);
    m_core->accept_timer.cancel();
    for (auto& [to, link] : m_core->links)
    {
        link->close();
    }
    m_core->links.clear(); // breaks the reference cycle: each link owns the core
}

std::string mesh::open(const std::string& bind_to)
{
    const std::string& address = bind_to.empty() ? m_core->self.address : bind_to;
    std::string failed = detail::open_acceptor(m_core->acceptor, address);
    if (failed.empty())
    {
        m_core->accept();
    }
    return failed;
}

void mesh::send(const std::string& to, const mesh_message& message)
{
    if (to.empty() || to == m_core->self.address)
    {
        return;
    }
    auto found = m_core->links.find(to);
    if (found == m_core->links.end())
    {
        m_core->displace_outgoing();
        found = m_core->links.emplace(to, std::make_shared<core::outgoing>(m_core, to)).first;
    }
    std::string frame = make_frame_in_place(encode(message, std::string(frame_header_size, '\0')));
    m_core->counts.record_sent(message.index(), frame.size() - frame_header_size);
    found->second->send(std::move(frame));
}

void mesh::forget(const std::string& to)
{
    const auto found = m_core->links.find(to);
    if (found != m_core->links.end())
    {
        found->second->close();
        m_core->links.erase(found);
    }
}

const std::string& mesh::self() const
{
    return m_core->self.address;
}

std::uint64_t mesh::bytes_sent() const
{
    return m_core->sent;
}

std::uint64_t mesh::messages_dropped() const
{
    return m_core->dropped;
}

const message_counts& mesh::counts() const
{
    return m_core->counts;
}

std::uint64_t mesh::links_displaced() const
{
    return m_core->displaced;
}

} // namespace walkthread
