#include <walkthread/routing/request_key.hpp>

#include <cctype>

#include <xxhash.h>

namespace walkthread
{

namespace
{
constexpr std::size_t uuid_length = 36;
constexpr std::size_t version_position = 14;
constexpr std::size_t time_digits = 12;

bool is_dash_position(std::size_t i)
{
    return i == 8 || i == 13 || i == 18 || i == 23;
}

int digit_value(char c)
{
    const auto u = static_cast<unsigned char>(c);
    return std::isdigit(u) != 0 ? c - '0' : std::tolower(u) - 'a' + 10;
}
} // namespace

std::optional<wall_ms> timestamp_of_key(std::string_view key)
{
    if (key.size() != uuid_length || key[version_position] != '7')
    {
        return std::nullopt;
    }
    wall_ms time = 0;
    std::size_t digits = 0;
    for (std::size_t i = 0; i < key.size(); ++i)
    {
        const bool valid_character =
            is_dash_position(i) ? key[i] == '-' : std::isxdigit(static_cast<unsigned char>(key[i])) != 0;
        if (!valid_character)
        {
            return std::nullopt;
        }
        if (!is_dash_position(i) && digits < time_digits)
        {
            time = time * 16 + digit_value(key[i]);
            ++digits;
        }
    }
    return time;
}

group_id owner_of_key(organisation_id organisation, std::string_view key, std::size_t halls)
{
    const std::uint64_t hash = XXH3_64bits_withSeed(key.data(), key.size(), organisation.value());
    return group_id{static_cast<std::uint16_t>(1 + hash % halls)};
}

std::uint64_t digest_of_request(std::string_view service, std::string_view body)
{
    const std::uint64_t seed = XXH3_64bits(service.data(), service.size());
    return XXH3_64bits_withSeed(body.data(), body.size(), seed);
}

} // namespace walkthread
