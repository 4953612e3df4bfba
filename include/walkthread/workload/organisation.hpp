#pragma once

/// @file
/// @brief Organisations as configured by operators: API keys, shares and limits.
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

/// @brief Configuration of one organisation.
/// @since 0.6
struct organisation_spec
{
    std::string name;
    std::vector<std::string> keys; ///< API keys; each authenticates calls of this organisation
    std::int32_t priority{};
    double weight{};   ///< its share under full load; also its guaranteed rate in submissions per second
    resources limit{}; ///< of its running tasks on all hosts together; 0 for no limit
    MSGPACK_DEFINE(name, keys, priority, weight, limit)
};

/// @brief Maximum length of a key in bytes; bounded because callers send it with each call.
inline constexpr std::size_t max_key_bytes = 512;
/// @brief Maximum weight, in submissions per second: far above the capacity of the whole system.
inline constexpr double max_weight = 1e9;

/// @brief Describes the first error in the organisations of a configuration; no value if they are valid. The
/// text names the organisation and the position of a key but never contains a key. Complexity: linear in the
/// keys.
[[nodiscard]] std::optional<std::string> find_fault(const std::vector<organisation_spec>& organisations);

/// @brief Compares two secrets in a time that depends only on their lengths.
[[nodiscard]] bool equal_in_constant_time(std::string_view a, std::string_view b);

/// @brief Maps API keys to organisations.
/// @since 0.6
class api_key_index
{
  public:
    api_key_index() = default;
    explicit api_key_index(const std::vector<organisation_spec>& organisations);

    /// @brief The name of the organisation with this key; null if there is none. Complexity: constant on
    /// average.
    [[nodiscard]] const std::string* find(std::string_view key) const;

  private:
    struct indexed_key
    {
        std::string key;
        std::string organisation;
    };
    std::unordered_multimap<std::size_t, indexed_key> m_by_hash;
};

/// @brief How many more tasks of a given size fit within a limit. Complexity: constant.
/// @param used resources in use
/// @param each size of one task
[[nodiscard]] std::uint32_t tasks_within_limit(const resources& limit, const resources& used,
                                               const resources& each);

/// @brief Resource usage of each organisation and its limit.
///
/// Counts every run that may exist: from when its start is recorded, before the order is sent, until its end
/// is recorded.
/// @since 0.6
class quota_usage
{
  public:
    /// @brief Sets the limits from a configuration. An organisation that was removed from it keeps its last
    /// limit while it has running work.
    void set_limits(const std::vector<organisation_spec>& organisations);
    /// @brief Resets the usage of all organisations; limits stay.
    void clear_usage()
    {
        m_used.clear();
    }
    void take(const std::string& organisation, const resources& room);
    void release(const std::string& organisation, const resources& room);
    /// @brief How many more tasks of a given size an organisation may start. Work without an organisation has
    /// no limit. Complexity: logarithmic in the organisations.
    /// @param each size of one task
    /// @param planned resources of further starts that are not recorded yet
    [[nodiscard]] std::uint32_t places(const std::string& organisation, const resources& each,
                                       const resources& planned = {}) const;
    [[nodiscard]] resources used(const std::string& organisation) const;
    /// @brief The usage of all organisations with running work.
    [[nodiscard]] const std::map<std::string, resources>& all_used() const
    {
        return m_used;
    }
    [[nodiscard]] resources limit(const std::string& organisation) const;

    MSGPACK_DEFINE(m_limits)

  private:
    std::map<std::string, resources> m_limits;
    std::map<std::string, resources> m_used; ///< derived from the active runs; not saved
};

} // namespace walkthread
