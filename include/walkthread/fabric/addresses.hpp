#pragma once

/// @file
/// @brief IP numbers and ports as text and as endpoints.
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

/// @brief The part before the colon.
[[nodiscard]] inline std::string ip_of(std::string_view address)
{
    return std::string(address.substr(0, address.rfind(':')));
}

/// @brief Reads `IP:PORT`. @return no value for anything else
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

/// @brief An IPv4 number as an integer, for identities; 0 if it is none.
[[nodiscard]] inline std::uint32_t ip_number(std::string_view ip)
{
    boost::system::error_code failed;
    const auto parsed = boost::asio::ip::make_address_v4(std::string(ip), failed);
    return failed ? 0 : static_cast<std::uint32_t>(parsed.to_uint());
}

/// @brief An integer as an IPv4 number in text.
[[nodiscard]] inline std::string ip_text(std::uint32_t number)
{
    return boost::asio::ip::make_address_v4(number).to_string();
}

/// @brief The port of `IP:PORT`; 0 if it is none.
[[nodiscard]] inline std::uint16_t port_of(std::string_view address)
{
    const auto endpoint = parse_endpoint(address);
    return endpoint ? endpoint->port() : std::uint16_t{0};
}

/// @brief Bits of an incarnation below the IP number that it carries.
inline constexpr unsigned address_bits = 32;

/// @brief The IP number that a replica's identity carries.
[[nodiscard]] inline std::uint64_t ip_part(const replica_id& id)
{
    return id.incarnation.value() >> address_bits;
}

} // namespace walkthread::detail
