#pragma once

/// @file
/// @brief Conversions between IPv4 addresses and ports as text, integers and endpoints.
/// @since 0.2

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

#include <walkthread/units/ids.hpp>

namespace walkthread::detail
{

/// @brief The part of `IP:PORT` before the colon.
[[nodiscard]] inline std::string ip_of(std::string_view address)
{
    return std::string(address.substr(0, address.rfind(':')));
}

/// @brief Parses `IP:PORT`.
/// @return the endpoint, or no value if the text has another form
[[nodiscard]] inline std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string_view::npos)
    {
        return std::nullopt;
    }
    boost::system::error_code failed;
    const auto ip = boost::asio::ip::make_address_v4(std::string(address.substr(0, colon)), failed);
    std::uint16_t port = 0;
    const std::string_view digits = address.substr(colon + 1);
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (failed || error != std::errc{} || end != digits.data() + digits.size())
    {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(ip, port);
}

/// @brief An IPv4 address as an integer, as used in replica identities; 0 if the text is not an address.
[[nodiscard]] inline std::uint32_t ip_number(std::string_view ip)
{
    boost::system::error_code failed;
    const auto parsed = boost::asio::ip::make_address_v4(std::string(ip), failed);
    return failed ? 0 : static_cast<std::uint32_t>(parsed.to_uint());
}

/// @brief Formats an integer as an IPv4 address.
[[nodiscard]] inline std::string ip_text(std::uint32_t number)
{
    return boost::asio::ip::make_address_v4(number).to_string();
}

/// @brief The port of `IP:PORT`; 0 if the text has another form.
[[nodiscard]] inline std::uint16_t port_of(std::string_view address)
{
    const auto endpoint = parse_endpoint(address);
    return endpoint ? endpoint->port() : std::uint16_t{0};
}

/// @brief Number of low bits of a replica incarnation; the IPv4 address is stored above them.
inline constexpr unsigned address_bits = 32;

/// @brief The IPv4 address contained in a replica's identity.
[[nodiscard]] inline std::uint64_t ip_part(const replica_id& id)
{
    return id.incarnation.value() >> address_bits;
}

} // namespace walkthread::detail
