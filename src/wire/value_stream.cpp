#include <walkthread/wire/value_stream.hpp>

namespace walkthread
{

namespace
{
// Heads of arrays in msgpack: up to 15 elements in the byte itself, or a count of two or four bytes behind
// it.
constexpr std::uint8_t short_array = 0x90;
constexpr std::uint8_t short_array_mask = 0xF0;
constexpr std::uint8_t array_16 = 0xDC;
constexpr std::uint8_t array_32 = 0xDD;
} // namespace

std::uint8_t value_reader::read_byte()
{
    if (m_at >= m_bytes.size())
    {
        throw msgpack::insufficient_bytes("insufficient bytes");
    }
    return static_cast<std::uint8_t>(m_bytes[m_at++]);
}

std::uint32_t value_reader::begin_array()
{
    const std::uint8_t head = read_byte();
    if ((head & short_array_mask) == short_array)
    {
        return head & static_cast<std::uint8_t>(~short_array_mask);
    }
    if (head != array_16 && head != array_32)
    {
        throw msgpack::type_error();
    }
    std::uint32_t size = 0;
    for (int i = 0; i < (head == array_16 ? 2 : 4); ++i)
    {
        size = (size << 8U) | read_byte();
    }
    return size;
}

} // namespace walkthread
