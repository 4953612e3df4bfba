#pragma once

/// @file
/// @brief Maps bearer tokens to organisations and roles. The settings hold only hashes of tokens.
/// @since 0.1

#include <optional>
#include <string>

#include <walkthread/settings/settings.hpp>

namespace walkthread
{

/// @brief Checks tokens against the settings. Hashes are compared in constant time.
/// @since 0.1
class access_check
{
  public:
    explicit access_check(const settings& config);

    /// @brief The organisation that the operator token of an Authorization header belongs to, or null.
    [[nodiscard]] const organisation_settings* operator_of(const std::string& authorization) const;
    /// @brief The organisation that the caller token of an Authorization header belongs to, or null.
    [[nodiscard]] const organisation_settings* caller_of(const std::string& authorization) const;
    [[nodiscard]] bool is_admin(const std::string& authorization) const;
    [[nodiscard]] bool is_worker(const std::string& authorization) const;

  private:
    const settings& m_settings;
};

/// @brief SHA-256 in lower-case hexadecimal.
[[nodiscard]] std::string sha256_hex(const std::string& text);

} // namespace walkthread
