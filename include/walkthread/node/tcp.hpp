#pragma once

/// @file
/// @brief Helper functions for TCP sockets.
/// @since 0.1

#include <string_view>

#include <walkthread/settings/settings.hpp>

namespace walkthread::detail
{

/// @brief Listens on an address. @return a socket, or -1
[[nodiscard]] int listen_on(const socket_address& address);
/// @brief Connects within a timeout. @return a socket, or -1
[[nodiscard]] int connect_to(const socket_address& address, milliseconds timeout);
/// @brief Sends all bytes. @return whether the kernel accepted all of them
[[nodiscard]] bool send_all(int socket, std::string_view bytes);
/// @brief Limits how long a send may block.
void set_send_timeout(int socket, milliseconds timeout);
/// @brief Waits until a socket is readable. @return false after the timeout
[[nodiscard]] bool wait_readable(int socket, milliseconds timeout);

} // namespace walkthread::detail
