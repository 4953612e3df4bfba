#pragma once

/// @file
/// @brief Messages to and from the other processes, over one connection in each direction.
///
/// Delivery is best effort: what matters is sent again by who sent it. A peer is named by the address where
/// it hears others.
/// @since 0.2

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include <walkthread/fabric/messages.hpp>

namespace walkthread
{

/// @brief The process's connections to its peers. Belongs to the loop's thread.
/// @since 0.2
class mesh
{
  public:
    using handler = std::function<void(const std::string& from, mesh_message message)>;
    /// Told when the connection to a peer comes up or goes down, with the reason.
    using link_handler = std::function<void(const std::string& to, bool up, const std::string& reason)>;

    /// @param self what this process says of itself
    /// @param most_links connections in each direction; beyond that the least recently used one is closed
    mesh(boost::asio::io_context& loop, peer_greeting self, handler taker, link_handler on_link,
         std::size_t most_links = 1000);
    ~mesh();
    mesh(const mesh&) = delete;
    mesh& operator=(const mesh&) = delete;

    /// @brief Listens at the greeting's address, or at `bind_to` where that is reached through something in
    /// between. @return what failed, or empty
    std::string open(const std::string& bind_to = {});
    /// @brief Sends a message; opens a connection if there is none. Messages over the bound are dropped.
    void send(const std::string& to, const mesh_message& message);
    /// @brief Sends an already encoded message, for the same content to several peers.
    void send_encoded(const std::string& to, const std::string& body);
    /// @brief Ends the connection to a peer that is gone for good.
    void forget(const std::string& to);

    [[nodiscard]] const std::string& self() const;
    [[nodiscard]] std::uint64_t bytes_sent() const;
    [[nodiscard]] std::uint64_t messages_dropped() const;
    /// @brief Connections closed as there were more than the bound.
    [[nodiscard]] std::uint64_t links_displaced() const;

  private:
    struct core;
    std::shared_ptr<core> m_core;
};

} // namespace walkthread
