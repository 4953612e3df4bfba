#pragma once

/// @file
/// @brief Framing between walkthread processes: length (4 bytes, big endian), version (1 byte), msgpack body.
/// @since 0.1

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <walkthread/units/result.hpp>
#include <walkthread/wire/codec.hpp>

namespace walkthread
{

/// @brief The version byte of every frame.
inline constexpr std::uint8_t frame_version = 1;
/// @brief Largest body of a frame, in bytes.
inline constexpr std::uint32_t max_frame_body = 64U << 20U;
/// @brief Size of the header before the body, in bytes.
inline constexpr std::size_t frame_header_size = 5;

/// @brief Builds a frame from a body. Complexity: linear in the body.
[[nodiscard]] std::string make_frame(std::string_view body);
/// @brief Builds a frame from an encoded message without another copy of it.
/// @param frame `frame_header_size` bytes, which are overwritten, and the body
[[nodiscard]] std::string make_frame_in_place(std::string frame);

/// @brief Splits a byte stream into frames. A frame above the size limit is rejected once its header
/// has been read.
/// @since 0.1
class frame_reader
{
  public:
    /// @brief Appends received bytes.
    void feed(std::string_view bytes);

    /// @brief Returns the body of the next complete frame, if there is one.
    /// @return the body; no value while the frame is incomplete; or wire_code::frame_too_long or
    ///         unknown_version, after which the connection must be closed
    [[nodiscard]] result<std::optional<std::string>, wire_error> next();

  private:
    std::string m_buffer;
    std::size_t m_consumed = 0;
};

} // namespace walkthread
