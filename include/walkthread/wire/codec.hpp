#pragma once

/// @file
/// @brief Encoding of typed values with msgpack; decoding enforces limits on untrusted input.
/// @since 0.1

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include <msgpack.hpp>

#include <walkthread/units/result.hpp>

namespace walkthread
{

/// @brief Errors of the wire layer.
enum class wire_code
{
    malformed = 101,       ///< the bytes are not a msgpack value, or exceed a limit
    wrong_type = 102,      ///< a value has an unexpected type
    unknown_message = 103, ///< the message kind is unknown to this version
    frame_too_long = 104,  ///< the length prefix exceeds the limit
    unknown_version = 105, ///< the frame has another protocol version
};
using wire_error = layer_error<wire_code>;

namespace detail
{
inline constexpr std::size_t max_elements = 1U << 20U;
inline constexpr std::size_t max_bytes = 64U << 20U;
inline constexpr std::size_t max_depth = 16;

/// Takes the bytes of a packer.
struct string_sink
{
    std::string bytes;
    void write(const char* data, std::size_t size)
    {
        bytes.append(data, size);
    }
};

/// Decodes one value and moves `at` behind it. Texts refer to `bytes`, which must outlive the handle.
inline msgpack::object_handle unpack(std::string_view bytes, std::size_t& at)
{
    const msgpack::unpack_limit limit(max_elements, max_elements, max_bytes, max_bytes, max_bytes, max_depth);
    const auto refers = [](msgpack::type::object_type /*type*/, std::size_t /*size*/, void* /*user*/)
    {
        return true;
    };
    return msgpack::unpack(bytes.data(), bytes.size(), at, refers, nullptr, limit);
}

template <typename T>
struct is_variant : std::false_type
{
};
template <typename... Ts>
struct is_variant<std::variant<Ts...>> : std::true_type
{
};

template <typename Variant, std::size_t... I>
bool emplace_by_index(Variant& out, std::size_t index, const msgpack::object& body, std::index_sequence<I...>)
{
    return ((index == I ? (body.convert(out.template emplace<I>()), true) : false) || ...);
}
} // namespace detail

/// @brief Encodes a value. A variant becomes `[index, value]`. Complexity: linear in the value.
/// @param prefix bytes to put before the value
template <typename T>
[[nodiscard]] std::string encode(const T& value, std::string prefix = {})
{
    detail::string_sink sink{std::move(prefix)};
    msgpack::packer<detail::string_sink> packer(sink);
    if constexpr (detail::is_variant<T>::value)
    {
        packer.pack_array(2);
        packer.pack(static_cast<std::uint32_t>(value.index()));
        std::visit(
            [&packer](const auto& v)
            {
                packer.pack(v);
            },
            value);
    }
    else
    {
        packer.pack(value);
    }
    return std::move(sink.bytes);
}

/// @brief Decodes bytes into a value of type `T`.
/// @return the value, or wire_code::malformed, wrong_type or unknown_message; nothing is thrown
template <typename T>
[[nodiscard]] result<T, wire_error> decode(std::string_view bytes)
{
    try
    {
        std::size_t at = 0;
        const msgpack::object_handle handle = detail::unpack(bytes, at);
        const msgpack::object& object = handle.get();
        T out{};
        if constexpr (detail::is_variant<T>::value)
        {
            if (object.type != msgpack::type::ARRAY || object.via.array.size != 2)
            {
                return wire_error{wire_code::wrong_type, "Expected a message as an array of kind and body."};
            }
            const auto index = object.via.array.ptr[0].as<std::uint32_t>();
            constexpr auto kinds = std::make_index_sequence<std::variant_size_v<T>>{};
            if (!detail::emplace_by_index(out, index, object.via.array.ptr[1], kinds))
            {
                return wire_error{wire_code::unknown_message,
                                  "Unknown message kind " + std::to_string(index) + '.'};
            }
        }
        else
        {
            object.convert(out);
        }
        return out;
    }
    catch (const msgpack::type_error&)
    {
        return wire_error{wire_code::wrong_type, "A field has an unexpected type."};
    }
    catch (const std::exception& failure)
    {
        return wire_error{wire_code::malformed, failure.what()};
    }
}

} // namespace walkthread
