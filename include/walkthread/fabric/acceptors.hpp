#pragma once

/// @file
/// @brief Opens a listening socket, for the mesh and for HTTP.
/// @since 0.2

#include <chrono>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include <walkthread/fabric/addresses.hpp>

namespace walkthread::detail
{

/// @brief After a connection could not be accepted, for want of descriptors above all: trying again at once
/// would only take the processor until one comes free.
inline constexpr std::chrono::milliseconds accept_pause{50};

/// @brief Listens on `IP:PORT`.
/// @return what failed, or empty
[[nodiscard]] inline std::string open_acceptor(boost::asio::ip::tcp::acceptor& acceptor,
                                               const std::string& address)
{
    const auto endpoint = parse_endpoint(address);
    if (!endpoint)
    {
        return address + " is no IP number and port";
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
