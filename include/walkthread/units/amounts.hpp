#pragma once

/// @file
/// @brief Resource amounts: processors, memory, accelerators and task slots.
/// @since 0.1

#include <algorithm>

#include <walkthread/units/strong.hpp>

namespace walkthread
{

/// @brief Processor time, in thousandths of a core.
using millicores = strong<struct millicores_tag, std::int64_t>;
/// @brief Memory, in mebibytes.
using mebibytes = strong<struct mebibytes_tag, std::int64_t>;

/// @brief Resources that a task requests, or that a host has in total or available.
/// @since 0.1
struct resources
{
    std::int64_t cpu{};          ///< thousandths of a core
    std::int64_t memory{};       ///< mebibytes
    std::int32_t accelerators{}; ///< whole devices
    std::int32_t slots{};        ///< task slots

    friend bool operator==(const resources&, const resources&) = default;

    resources& operator+=(const resources& other)
    {
        cpu += other.cpu;
        memory += other.memory;
        accelerators += other.accelerators;
        slots += other.slots;
        return *this;
    }
    resources& operator-=(const resources& other)
    {
        cpu -= other.cpu;
        memory -= other.memory;
        accelerators -= other.accelerators;
        slots -= other.slots;
        return *this;
    }
    friend resources operator+(resources a, const resources& b)
    {
        return a += b;
    }
    friend resources operator-(resources a, const resources& b)
    {
        return a -= b;
    }
    friend resources operator*(resources a, std::int64_t count)
    {
        a.cpu *= count;
        a.memory *= count;
        a.accelerators *= static_cast<std::int32_t>(count);
        a.slots *= static_cast<std::int32_t>(count);
        return a;
    }

    MSGPACK_DEFINE(cpu, memory, accelerators, slots)
};

/// @brief Whether `need` fits into `free` in every dimension. Complexity: constant.
[[nodiscard]] constexpr bool fits(const resources& need, const resources& free)
{
    return need.cpu <= free.cpu && need.memory <= free.memory && need.accelerators <= free.accelerators &&
           need.slots <= free.slots;
}

/// @brief The dominant share: the largest fraction of `whole` that `used` takes in any dimension, 0 to 1.
/// Task slots are not a resource in their own right and are not counted. Complexity: constant.
[[nodiscard]] inline double dominant_share(const resources& used, const resources& whole)
{
    const auto part = [](double a, double b)
    {
        return b > 0 ? a / b : 0.0;
    };
    const double cpu = part(static_cast<double>(used.cpu), static_cast<double>(whole.cpu));
    const double memory = part(static_cast<double>(used.memory), static_cast<double>(whole.memory));
    const double accelerators = part(used.accelerators, whole.accelerators);
    return std::max({cpu, memory, accelerators});
}

} // namespace walkthread
