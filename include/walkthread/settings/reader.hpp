#pragma once

/// @file
/// @brief Reader of a TOML table that checks values and collects every error.
/// @since 0.1

#include <set>
#include <string>
#include <vector>

#include <toml++/toml.h>

#include <walkthread/settings/settings.hpp>

namespace walkthread::detail
{

/// @brief Reads the keys of one table. A value that is invalid adds an error and reads as the fallback; keys
/// that were never read are errors too, see `report_unknown_keys`. Ranges include both bounds.
/// @since 0.1
class table_reader
{
  public:
    /// @param table the table; null if it is missing, in which case every key has its default
    /// @param name the table's name in error messages; empty for the root
    /// @param errors where errors are appended; must outlive the reader
    table_reader(const toml::table* table, std::string name, std::vector<settings_error>& errors);

    /// @brief Reads an optional integer.
    [[nodiscard]] std::int64_t integer(const std::string& key, std::int64_t fallback, std::int64_t min_value,
                                       std::int64_t max_value);
    /// @brief Reads an integer whose absence is an error.
    [[nodiscard]] std::int64_t required_integer(const std::string& key, std::int64_t min_value,
                                                std::int64_t max_value);
    /// @brief Reads an optional number, which may be an integer.
    [[nodiscard]] double number(const std::string& key, double fallback, double min_value, double max_value);
    /// @brief Reads an optional string.
    [[nodiscard]] std::string text(const std::string& key, const std::string& fallback);
    /// @brief Reads a string that must be present and not empty.
    [[nodiscard]] std::string required_text(const std::string& key);
    /// @brief Reads an optional boolean.
    [[nodiscard]] bool flag(const std::string& key, bool fallback);
    /// @brief Reads an optional duration, given as an integer in milliseconds.
    [[nodiscard]] milliseconds duration_in_ms(const std::string& key, milliseconds fallback,
                                              milliseconds min_value, milliseconds max_value);
    /// @brief Reads an IPv4 address with a port.
    [[nodiscard]] socket_address address(const std::string& key, bool required);
    /// @brief Reads a required SHA-256 in lower-case hexadecimal.
    [[nodiscard]] std::string hash(const std::string& key);
    /// @brief Reads a required list of node numbers; invalid items are left out.
    [[nodiscard]] std::vector<node_id> nodes(const std::string& key);
    /// @brief Reads a required list of strings out of `allowed`; others are left out.
    [[nodiscard]] std::vector<std::string> string_choices(const std::string& key,
                                                          const std::set<std::string>& allowed);
    /// @brief Reads a nested table. @return null if it is missing or not a table
    [[nodiscard]] const toml::table* child(const std::string& key);
    /// @brief Reads a list of tables; empty if the key is missing.
    [[nodiscard]] std::vector<const toml::table*> children(const std::string& key);
    /// @brief Adds an error for every key of the table that was not read.
    void report_unknown_keys();
    /// @brief Adds an error. @param value the rejected value; empty if the key is missing
    void fail(const std::string& key, const std::string& value, const std::string& allowed);

  private:
    [[nodiscard]] const toml::node* find(const std::string& key);

    const toml::table* m_table;
    std::string m_name;
    std::vector<settings_error>& m_errors;
    std::set<std::string> m_known_keys;
};

} // namespace walkthread::detail
