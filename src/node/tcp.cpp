#include <walkthread/node/tcp.hpp>

#include <arpa/inet.h>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace walkthread::detail
{

namespace
{
constexpr int backlog = 128;

sockaddr_in to_sockaddr(const socket_address& address)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(address.port);
    ::inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
    return out;
}

void set_no_delay(int socket)
{
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

bool finish_connect(int socket, milliseconds timeout)
{
    pollfd wait{socket, POLLOUT, 0};
    if (::poll(&wait, 1, static_cast<int>(timeout.count())) != 1)
    {
        return false;
    }
    int failure = 0;
    socklen_t size = sizeof(failure);
    return ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &failure, &size) == 0 && failure == 0;
}
} // namespace

int listen_on(const socket_address& address)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    set_no_delay(socket);
    const sockaddr_in native_address = to_sockaddr(address);
    const bool bound =
        ::bind(socket, reinterpret_cast<const sockaddr*>(&native_address), sizeof(native_address)) == 0;
    if (!bound || ::listen(socket, backlog) != 0)
    {
        ::close(socket);
        return -1;
    }
    return socket;
}

int connect_to(const socket_address& address, milliseconds timeout)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in native_address = to_sockaddr(address);
    const int started =
        ::connect(socket, reinterpret_cast<const sockaddr*>(&native_address), sizeof(native_address));
    const bool connected = started == 0 || (errno == EINPROGRESS && finish_connect(socket, timeout));
    if (!connected)
    {
        ::close(socket);
        return -1;
    }
    ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) & ~O_NONBLOCK);
    set_no_delay(socket);
    return socket;
}

bool send_all(int socket, std::string_view bytes)
{
    while (!bytes.empty())
    {
        const ssize_t sent = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR)
        {
            continue;
        }
        if (sent <= 0)
        {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

void set_send_timeout(int socket, milliseconds timeout)
{
    const timeval span{timeout.count() / 1000, (timeout.count() % 1000) * 1000};
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &span, sizeof(span));
}

bool wait_readable(int socket, milliseconds timeout)
{
    pollfd wait{socket, POLLIN, 0};
    return ::poll(&wait, 1, static_cast<int>(timeout.count())) == 1;
}

} // namespace walkthread::detail
