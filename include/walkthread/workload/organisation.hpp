#pragma once

/// @file
/// @brief Organisations as operators configure them: their keys, shares and limits.
/// @since 0.6

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <msgpack.hpp>

#include <walkthread/units/amounts.hpp>

namespace walkthread
{

/// @brief One organisation of a configuration.
/// @since 0.6
struct organisation_spec
{
    std::string name;
    std::vector<std::string> keys; ///< each of them proves that a call is this organisation's
    std::int32_t priority{};
    double weight{};   ///< its share once all is full; also the submissions a second that it is owed
    resources limit{}; ///< what it may have running on all hosts together; 0 stands for no limit
    MSGPACK_DEFINE(name, keys, priority, weight, limit)
};

/// @brief Longest key in bytes: callers send it with each call.
inline constexpr std::size_t longest_key = 512;
/// @brief Largest weight, in submissions a second: far above what the whole system takes.
inline constexpr double largest_weight = 1e9;

/// @brief What is wrong with the organisations of a configuration; no value if nothing is. The text names the
/// organisation and the place of a key in it, never a key. Complexity: linear in the keys.
[[nodiscard]] std::optional<std::string> find_fault(const std::vector<organisation_spec>& organisations);

/// @brief Whether two secrets are the same, in time that depends on their lengths only.
[[nodiscard]] bool same_secret(std::string_view a, std::string_view b);

/// @brief Finds the organisation of a key.
/// @since 0.6
class key_ring
{
  public:
    key_ring() = default;
    explicit key_ring(const std::vector<organisation_spec>& organisations);

    /// @brief The name of the organisation that holds a key; null for none. Complexity: constant on average.
    [[nodiscard]] const std::string* find(std::string_view key) const;

  private:
    struct held_key
    {
        std::string key;
        std::string organisation;
    };
    std::unordered_multimap<std::size_t, held_key> m_by_hash;
};

/// @brief How many more tasks of a size a limit leaves room for. Complexity: constant.
/// @param used what runs already
[[nodiscard]] std::uint32_t places_within(const resources& limit, const resources& used,
                                          const resources& each);

/// @brief What each organisation may have running, against its limit.
///
/// Counts every run that may exist: recorded before its order is sent, and until its end is recorded.
/// @since 0.6
class quota_book
{
  public:
    /// @brief Takes the limits of a configuration. An organisation that is no longer named keeps its last
    /// limit for the work it still has.
    void set_limits(const std::vector<organisation_spec>& organisations);
    /// @brief Forgets all usage; limits stay.
    void clear_usage()
    {
        m_used.clear();
    }
    void take(const std::string& organisation, const resources& room);
    void give_back(const std::string& organisation, const resources& room);
    /// @brief How many more tasks of a size an organisation may start. Work of no organisation has no limit.
    /// Complexity: logarithmic in the organisations.
    /// @param planned what it is about to start besides
    [[nodiscard]] std::uint32_t places(const std::string& organisation, const resources& each,
                                       const resources& planned = {}) const;
    [[nodiscard]] resources used(const std::string& organisation) const;
    [[nodiscard]] resources limit(const std::string& organisation) const;

    MSGPACK_DEFINE(m_limits)

  private:
    std::map<std::string, resources> m_limits;
    std::map<std::string, resources> m_used; ///< an index over runs; not saved
};

} // namespace walkthread
