#pragma once

/// @file
/// @brief Messages between processes, over one connection in each direction.
///
/// Delivery is best effort: senders repeat messages that matter. A peer is identified by the address that it
/// listens on.
/// @since 0.2

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include <walkthread/fabric/message_counts.hpp>
#include <walkthread/fabric/messages.hpp>

namespace walkthread
{

/// @brief The links of a process to its peers. To be used from the event loop's thread only.
/// @since 0.2
class mesh
{
  public:
    using handler = std::function<void(const std::string& from, mesh_message message)>;
    /// Called when the outgoing link to a peer comes up or goes down, with the reason.
    using link_handler = std::function<void(const std::string& to, bool up, const std::string& reason)>;

    /// @param self the greeting that this process sends on each new link
    /// @param max_links limit for each direction; beyond it the least recently used link is closed
    mesh(boost::asio::io_context& loop, peer_greeting self, handler message_handler, link_handler on_link,
         std::size_t max_links = 1000);
    ~mesh();
    mesh(const mesh&) = delete;
    mesh& operator=(const mesh&) = delete;

    /// @brief Listens on the address in the greeting, or on `bind_to` if peers connect through a proxy or
    /// NAT.
    /// @return an error message, or an empty string on success
    std::string open(const std::string& bind_to = {});
    /// @brief Sends a message and opens a link if there is none. Messages are dropped while the queue is
    /// full.
    void send(const std::string& to, const mesh_message& message);
    /// @brief Closes the link to a peer that was permanently removed.
    void forget(const std::string& to);

    [[nodiscard]] const std::string& self() const;
    [[nodiscard]] std::uint64_t bytes_sent() const;
    [[nodiscard]] std::uint64_t messages_dropped() const;
    /// @brief Messages by kind and by the sender's role.
    [[nodiscard]] const message_counts& counts() const;
    /// @brief Number of links closed because of the limit.
    [[nodiscard]] std::uint64_t links_displaced() const;

  private:
    struct core;
    std::shared_ptr<core> m_core;
};

} // namespace walkthread
