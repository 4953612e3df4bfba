#include <walkthread/storage/records.hpp>

#include <cstring>

#include <xxhash.h>

#include <walkthread/wire/codec.hpp>

namespace walkthread::detail
{

namespace
{
constexpr std::uint32_t record_magic = 0x57544C31; // "WTL1"
constexpr std::size_t max_record = 256U << 20U;

struct record_header
{
    std::uint32_t magic;
    std::uint32_t length;
    std::uint64_t checksum;
};
static_assert(sizeof(record_header) == record_header_size);

/// Whether the bytes start with a complete record with a valid checksum.
bool is_valid_record(std::string_view bytes, record_header& header)
{
    if (bytes.size() < record_header_size)
    {
        return false;
    }
    std::memcpy(&header, bytes.data(), record_header_size);
    if (header.magic != record_magic || header.length > max_record)
    {
        return false;
    }
    const std::string_view body = bytes.substr(record_header_size);
    return body.size() >= header.length && XXH3_64bits(body.data(), header.length) == header.checksum;
}

/// Whether the bytes contain a valid record after their first byte.
bool contains_valid_record(std::string_view bytes)
{
    record_header header{};
    std::string magic(sizeof(record_magic), '\0');
    std::memcpy(magic.data(), &record_magic, sizeof(record_magic));
    for (std::size_t at = bytes.find(magic, 1); at != std::string_view::npos; at = bytes.find(magic, at + 1))
    {
        if (is_valid_record(bytes.substr(at), header))
        {
            return true;
        }
    }
    return false;
}
} // namespace

void append_record(std::string& buffer, const log_record& record)
{
    const std::string body = encode(record);
    const record_header header{record_magic, static_cast<std::uint32_t>(body.size()),
                               XXH3_64bits(body.data(), body.size())};
    buffer.append(reinterpret_cast<const char*>(&header), record_header_size);
    buffer.append(body);
}

result<std::size_t, storage_error> read_records(std::string_view bytes, bool torn_tail_allowed,
                                                const std::function<void(log_record)>& take)
{
    std::size_t at = 0;
    record_header header{};
    while (at < bytes.size())
    {
        const std::string_view rest = bytes.substr(at);
        if (!is_valid_record(rest, header))
        {
            const bool torn = torn_tail_allowed && !contains_valid_record(rest);
            if (torn)
            {
                return at;
            }
            return storage_error{storage_code::damaged,
                                 "Corrupted record at byte " + std::to_string(at) + '.'};
        }
        auto record = decode<log_record>(rest.substr(record_header_size, header.length));
        if (!ok(record))
        {
            return storage_error{storage_code::damaged,
                                 "Record cannot be decoded: " + error_of(record).detail};
        }
        take(std::move(value_of(record)));
        at += record_header_size + header.length;
    }
    return at;
}

} // namespace walkthread::detail
