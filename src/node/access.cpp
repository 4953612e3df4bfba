#include <walkthread/node/access.hpp>

#include <array>

#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace walkthread
{

namespace
{
bool equal_hashes(const std::string& a, const std::string& b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string token_hash(const std::string& authorization)
{
    const std::string scheme = "Bearer ";
    return authorization.starts_with(scheme) ? sha256_hex(authorization.substr(scheme.size()))
                                             : std::string{};
}
} // namespace

std::string sha256_hex(const std::string& text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
    constexpr const char* digits = "0123456789abcdef";
    std::string out;
    for (unsigned int i = 0; i < size; ++i)
    {
        out.push_back(digits[digest.at(i) >> 4U]);
        out.push_back(digits[digest.at(i) & 0xFU]);
    }
    return out;
}

access_check::access_check(const settings& config) : m_settings(config)
{
}

const organisation_settings* access_check::operator_of(const std::string& authorization) const
{
    const std::string hash = token_hash(authorization);
    const organisation_settings* found = nullptr;
    for (const organisation_settings& organisation : m_settings.organisations)
    {
        found = equal_hashes(hash, organisation.operator_token) ? &organisation : found;
    }
    return found;
}

const organisation_settings* access_check::caller_of(const std::string& authorization) const
{
    const std::string hash = token_hash(authorization);
    const organisation_settings* found = nullptr;
    for (const organisation_settings& organisation : m_settings.organisations)
    {
        found = equal_hashes(hash, organisation.caller_token) ? &organisation : found;
    }
    return found;
}

bool access_check::is_admin(const std::string& authorization) const
{
    return equal_hashes(token_hash(authorization), m_settings.admin_token);
}

bool access_check::is_worker(const std::string& authorization) const
{
    return equal_hashes(token_hash(authorization), m_settings.worker_token);
}

} // namespace walkthread
