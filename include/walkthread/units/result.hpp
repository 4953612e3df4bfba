#pragma once

/// @file
/// @brief Results: either a value or an error of the layer that returns it.
/// @since 0.1

#include <string>
#include <utility>
#include <variant>

namespace walkthread
{

/// @brief An error of one layer: a code with a stable number and a human-readable message.
/// @tparam Code the layer's enumeration; its values are the numbers listed in docs/ERRORS.md
/// @since 0.1
template <typename Code>
struct layer_error
{
    Code code{};
    std::string detail{};

    /// @brief The stable number, as listed in docs/ERRORS.md.
    [[nodiscard]] int number() const
    {
        return static_cast<int>(code);
    }
};

/// @brief Either a value or an error.
template <typename T, typename Error>
using result = std::variant<T, Error>;

/// @brief A result without a value.
struct done
{
};

/// @brief Whether a result holds its value.
template <typename T, typename E>
[[nodiscard]] bool ok(const result<T, E>& r)
{
    return r.index() == 0;
}

/// @brief The value of a result that is known to hold it.
template <typename T, typename E>
[[nodiscard]] T& value_of(result<T, E>& r)
{
    return std::get<0>(r);
}

/// @brief The value of a result that is known to hold it.
template <typename T, typename E>
[[nodiscard]] const T& value_of(const result<T, E>& r)
{
    return std::get<0>(r);
}

/// @brief The error of a result that is known to hold one.
template <typename T, typename E>
[[nodiscard]] const E& error_of(const result<T, E>& r)
{
    return std::get<1>(r);
}

} // namespace walkthread
