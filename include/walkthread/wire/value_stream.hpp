#pragma once

/// @file
/// @brief Encoding and decoding of a large value part by part, so that it is in memory only once.
/// @since 0.10

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include <msgpack.hpp>

#include <walkthread/wire/codec.hpp>

namespace walkthread
{

/// @brief Appends values to a string.
/// @since 0.10
class value_writer
{
  public:
    /// @brief Begins an array; as many `write` calls have to follow.
    void begin_array(std::size_t size)
    {
        m_packer.pack_array(static_cast<std::uint32_t>(size));
    }
    template <typename T>
    void write(const T& value)
    {
        m_packer.pack(value);
    }
    /// @brief The bytes written so far; the object must not be used after that.
    [[nodiscard]] std::string take()
    {
        return std::move(m_sink.bytes);
    }

  private:
    detail::string_sink m_sink;
    msgpack::packer<detail::string_sink> m_packer{m_sink};
};

/// @brief Reads values from bytes that must outlive it. Throws the exceptions of msgpack on malformed input.
/// @since 0.10
class value_reader
{
  public:
    explicit value_reader(std::string_view bytes) : m_bytes(bytes)
    {
    }
    /// @brief Reads the head of an array; as many `read` calls have to follow.
    /// @return the number of its elements
    [[nodiscard]] std::uint32_t begin_array();
    template <typename T>
    [[nodiscard]] T read()
    {
        T out{};
        detail::unpack(m_bytes, m_at).get().convert(out);
        return out;
    }

  private:
    [[nodiscard]] std::uint8_t read_byte();

    std::string_view m_bytes;
    std::size_t m_at = 0;
};

} // namespace walkthread
