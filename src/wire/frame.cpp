#include <walkthread/wire/frame.hpp>

#include <utility>

namespace walkthread
{

namespace
{
constexpr std::size_t compact_threshold = 1U << 16U; // consumed bytes after which the buffer is compacted
constexpr std::size_t shrink_threshold = 1U << 20U;  // memory kept on the connection after a large frame

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
    std::string frame;
    frame.reserve(frame_header_size + body.size());
    frame.append(frame_header_size, '\0');
    frame.append(body);
    return make_frame_in_place(std::move(frame));
}

std::string make_frame_in_place(std::string frame)
{
    const auto length = static_cast<std::uint32_t>(frame.size() - frame_header_size);
    for (std::size_t i = 0; i + 1 < frame_header_size; ++i)
    {
        const auto shift = static_cast<unsigned>(8 * (frame_header_size - 2 - i));
        frame[i] = static_cast<char>((length >> shift) & 0xFFU);
    }
    frame[frame_header_size - 1] = static_cast<char>(frame_version);
    return frame;
}

void frame_reader::feed(std::string_view bytes)
{
    if (m_consumed > compact_threshold)
    {
        m_buffer.erase(0, m_consumed);
        m_consumed = 0;
        if (m_buffer.capacity() > shrink_threshold)
        {
            m_buffer.shrink_to_fit();
        }
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
