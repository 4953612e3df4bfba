#include <walkthread/wire/frame.hpp>

namespace walkthread
{

namespace
{
constexpr std::size_t compact_threshold = 1U << 16U; // consumed bytes after which the buffer is compacted

std::uint32_t read_length(std::string_view header)
{
    std::uint32_t length = 0;
    for (std::size_t i = 0; i < 4; ++i)
    {
        length = (length << 8U) | static_cast<std::uint8_t>(header[i]);
    }
    return length;
}
} // namespace

std::string make_frame(std::string_view body)
{
    const auto length = static_cast<std::uint32_t>(body.size());
    std::string frame;
    frame.reserve(frame_header_size + body.size());
    for (int shift = 24; shift >= 0; shift -= 8)
    {
        frame.push_back(static_cast<char>((length >> static_cast<unsigned>(shift)) & 0xFFU));
    }
    frame.push_back(static_cast<char>(frame_version));
    frame.append(body);
    return frame;
}

void frame_reader::feed(std::string_view bytes)
{
    if (m_consumed > compact_threshold)
    {
        m_buffer.erase(0, m_consumed);
        m_consumed = 0;
    }
    m_buffer.append(bytes);
}

result<std::optional<std::string>, wire_error> frame_reader::next()
{
    const std::string_view rest = std::string_view(m_buffer).substr(m_consumed);
    if (rest.size() < frame_header_size)
    {
        return std::optional<std::string>{};
    }
    const std::uint32_t length = read_length(rest);
    if (length > max_frame_body)
    {
        return wire_error{wire_code::frame_too_long,
                          std::to_string(length) + " bytes exceed the frame limit."};
    }
    if (static_cast<std::uint8_t>(rest[4]) != frame_version)
    {
        return wire_error{wire_code::unknown_version, "Unsupported frame version; expected version 1."};
    }
    if (rest.size() < frame_header_size + length)
    {
        return std::optional<std::string>{};
    }
    m_consumed += frame_header_size + length;
    return std::optional<std::string>{std::string(rest.substr(frame_header_size, length))};
}

} // namespace walkthread
