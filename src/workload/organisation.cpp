#include <walkthread/workload/organisation.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <map>
#include <set>

namespace walkthread
{

namespace
{
using organisations_by_key = std::map<std::string_view, std::string_view>; // organisation names by API key

std::optional<std::string> find_key_fault(const organisation_spec& organisation,
                                          organisations_by_key& holders)
{
    for (std::size_t i = 0; i < organisation.keys.size(); ++i)
    {
        const std::string& key = organisation.keys[i];
        const std::string name = "Key " + std::to_string(i) + " of organisation " + organisation.name;
        if (key.empty() || key.size() > max_key_bytes)
        {
            return name + " is empty or longer than " + std::to_string(max_key_bytes) + " bytes.";
        }
        const auto [holder, fresh] = holders.emplace(key, organisation.name);
        if (!fresh)
        {
            return name + " is also a key of organisation " + std::string(holder->second) + ".";
        }
    }
    return std::nullopt;
}
} // namespace

std::optional<std::string> find_fault(const std::vector<organisation_spec>& organisations)
{
    std::set<std::string_view> names;
    organisations_by_key holders;
    for (const organisation_spec& organisation : organisations)
    {
        if (organisation.name.empty() || !names.insert(organisation.name).second)
        {
            return "Organisation \"" + organisation.name + "\" has an empty or duplicate name.";
        }
        const double weight = organisation.weight;
        if (!std::isfinite(weight) || weight < 0 || weight > max_weight)
        {
            return "Organisation " + organisation.name + " has a weight out of range.";
        }
        const resources& limit = organisation.limit;
        if (limit.cpu < 0 || limit.memory < 0 || limit.accelerators < 0)
        {
            return "Organisation " + organisation.name + " has a negative limit.";
        }
        if (auto fault = find_key_fault(organisation, holders))
        {
            return fault;
        }
    }
    return std::nullopt;
}

bool equal_in_constant_time(std::string_view a, std::string_view b)
{
    if (a.size() != b.size())
    {
        return false;
    }
    unsigned char difference = 0;
    for (std::size_t i = 0; i < a.size(); ++i)
    {
        difference = static_cast<unsigned char>(
            difference | (static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i])));
    }
    return difference == 0;
}

api_key_index::api_key_index(const std::vector<organisation_spec>& organisations)
{
    for (const organisation_spec& organisation : organisations)
    {
        for (const std::string& key : organisation.keys)
        {
            m_by_hash.emplace(std::hash<std::string_view>{}(key), indexed_key{key, organisation.name});
        }
    }
}

const std::string* api_key_index::find(std::string_view key) const
{
    const std::string* found = nullptr;
    const auto [first, last] = m_by_hash.equal_range(std::hash<std::string_view>{}(key));
    for (auto at = first; at != last; ++at)
    {
        found = equal_in_constant_time(at->second.key, key) ? &at->second.organisation : found;
    }
    return found;
}

std::uint32_t tasks_within_limit(const resources& limit, const resources& used, const resources& each)
{
    std::int64_t places = std::numeric_limits<std::uint32_t>::max();
    const auto bound = [&places](std::int64_t most, std::int64_t taken, std::int64_t need)
    {
        if (most > 0 && need > 0)
        {
            places = std::min(places, std::max<std::int64_t>(most - taken, 0) / need);
        }
    };
    bound(limit.cpu, used.cpu, each.cpu);
    bound(limit.memory, used.memory, each.memory);
    bound(limit.accelerators, used.accelerators, each.accelerators);
    return static_cast<std::uint32_t>(places);
}

void quota_usage::set_limits(const std::vector<organisation_spec>& organisations)
{
    std::erase_if(m_limits,
                  [this](const auto& item)
                  {
                      return !m_used.contains(item.first);
                  });
    for (const organisation_spec& organisation : organisations)
    {
        m_limits[organisation.name] = organisation.limit;
    }
}

void quota_usage::take(const std::string& organisation, const resources& room)
{
    if (!organisation.empty())
    {
        m_used[organisation] += room;
    }
}

void quota_usage::release(const std::string& organisation, const resources& room)
{
    const auto found = m_used.find(organisation);
    if (found != m_used.end())
    {
        found->second -= room;
        if (found->second == resources{})
        {
            m_used.erase(found);
        }
    }
}

std::uint32_t quota_usage::places(const std::string& organisation, const resources& each,
                                  const resources& planned) const
{
    return tasks_within_limit(limit(organisation), used(organisation) + planned, each);
}

resources quota_usage::used(const std::string& organisation) const
{
    const auto found = m_used.find(organisation);
    return found == m_used.end() ? resources{} : found->second;
}

resources quota_usage::limit(const std::string& organisation) const
{
    const auto found = m_limits.find(organisation);
    return found == m_limits.end() ? resources{} : found->second;
}

} // namespace walkthread
