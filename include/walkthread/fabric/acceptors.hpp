#pragma once

/// @file
/// @brief Opens listening sockets for the mesh and the HTTP server.
/// @since 0.2

#include <chrono>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include <walkthread/fabric/addresses.hpp>

namespace walkthread::detail
{

/// @brief Delay before accepting again after a failed accept. The usual cause is a lack of descriptors, where
/// an immediate retry would spin until one is released.
inline constexpr std::chrono::milliseconds accept_retry_delay{50};

/// @brief Listens on `IP:PORT`.
/// @return an error message, or an empty string on success
[[nodiscard]] inline std::string open_acceptor(boost::asio::ip::tcp::acceptor& acceptor,
                                               const std::string& address)
{
    const auto endpoint = parse_endpoint(address);
    if (!endpoint)
    {
        return address + " is not an IPv4 address and port";
    }
    boost::system::error_code failed;
    acceptor.open(endpoint->protocol(), failed);
    if (!failed)
    {
        acceptor.set_option(boost::asio::socket_base::reuse_address(true), failed);
    }
    if (!failed)
    {
        acceptor.bind(*endpoint, failed);
    }
    if (!failed)
    {
        acceptor.listen(boost::asio::socket_base::max_listen_connections, failed);
    }
    return failed ? address + ": " + failed.message() : std::string{};
}

} // namespace walkthread::detail
