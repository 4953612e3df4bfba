#include <walkthread/workload/hall_cordons.hpp>

#include <algorithm>

namespace walkthread
{

bool hall_cordons::add(const std::string& hall, const hall_cordon& cordon)
{
    return m_cordons.emplace(hall, cordon).second;
}

bool hall_cordons::remove(const std::string& hall)
{
    return m_cordons.erase(hall) > 0;
}

bool hall_cordons::leaves_any(const std::vector<std::string>& halls, const std::string& next) const
{
    return std::any_of(halls.begin(), halls.end(),
                       [this, &next](const std::string& hall)
                       {
                           return hall != next && !contains(hall);
                       });
}

} // namespace walkthread
