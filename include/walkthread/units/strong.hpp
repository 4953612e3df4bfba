#pragma once

/// @file
/// @brief Strong typedefs for integers.
/// @since 0.1

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

#include <msgpack.hpp>

namespace walkthread
{

/// @brief A value of type `Rep` that can be compared only with values of the same `Tag`.
/// @tparam Tag an empty type that distinguishes the typedef
/// @tparam Rep the underlying integer type
/// @since 0.1
template <typename Tag, typename Rep>
class strong
{
  public:
    using rep = Rep;

    constexpr strong() = default;
    constexpr explicit strong(Rep value) : m_value(value)
    {
    }

    /// @brief The underlying number.
    [[nodiscard]] constexpr Rep value() const
    {
        return m_value;
    }

    friend constexpr auto operator<=>(strong, strong) = default;

    template <typename Packer>
    void msgpack_pack(Packer& packer) const
    {
        packer.pack(m_value);
    }
    void msgpack_unpack(const msgpack::object& object)
    {
        object.convert(m_value);
    }

  private:
    Rep m_value{};
};

} // namespace walkthread

template <typename Tag, typename Rep>
struct std::hash<walkthread::strong<Tag, Rep>>
{
    std::size_t operator()(walkthread::strong<Tag, Rep> id) const noexcept
    {
        constexpr std::uint64_t golden_ratio = 0x9E3779B97F4A7C15ULL;
        return static_cast<std::size_t>(static_cast<std::uint64_t>(id.value()) * golden_ratio);
    }
};
