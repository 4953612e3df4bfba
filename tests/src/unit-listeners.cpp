#define BOOST_TEST_MODULE listeners
#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <netinet/in.h>
#include <sys/socket.h>

#include <walkthread/node/http_server.hpp>
#include <walkthread/node/tcp.hpp>

using namespace walkthread;

namespace
{
const std::string loopback = "127.0.0.1";

// Port of a listening socket that was bound to port 0.
std::uint16_t port_of(int listener)
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    BOOST_REQUIRE_EQUAL(::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size), 0);
    return ntohs(address.sin_port);
}

http_server server_on(std::uint16_t port)
{
    return {{loopback, port}, {}, "", ""};
}

// Leaves a connection of a former listener in TIME_WAIT. @return the listener's port
std::uint16_t leave_time_wait()
{
    const int listener = detail::listen_on({loopback, 0});
    const std::uint16_t port = port_of(listener);
    const int caller = detail::connect_to({loopback, port}, milliseconds(1000));
    const int accepted = ::accept(listener, nullptr, nullptr);
    BOOST_REQUIRE_GE(accepted, 0);
    ::close(accepted); // the end that closes first stays in TIME_WAIT
    BOOST_REQUIRE(detail::wait_readable(caller, milliseconds(1000)));
    ::close(caller);
    ::close(listener);
    return port;
}
} // namespace

// A process that restarted with the peer port of a former one as its HTTP port could not start for a minute.
BOOST_AUTO_TEST_CASE(an_http_server_starts_on_a_port_with_connections_in_time_wait)
{
    http_server server = server_on(leave_time_wait());
    BOOST_TEST(server.start());
    server.stop();
}

// Two processes that were given one address by mistake both started, and each got a part of the calls.
BOOST_AUTO_TEST_CASE(an_address_on_which_another_server_listens_is_rejected)
{
    const int probe = detail::listen_on({loopback, 0});
    const std::uint16_t port = port_of(probe);
    ::close(probe);
    http_server first = server_on(port);
    http_server second = server_on(port);
    BOOST_REQUIRE(first.start());
    BOOST_TEST(!second.start());
    first.stop();
}
