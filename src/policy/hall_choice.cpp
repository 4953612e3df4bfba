#include <walkthread/policy/hall_choice.hpp>

#include <algorithm>
#include <functional>

namespace walkthread
{

namespace
{
struct candidate
{
    hall_id hall{};
    double fill_after{};
    bool known{};
    bool cordoned{};
};

constexpr double unknown_fill = 1000.0; // sorts halls of unknown load last

bool is_known(const hall_load& load)
{
    return load.capacity.cpu > 0;
}

std::vector<candidate> find_candidates(const std::map<hall_id, hall_load>& halls, const parameters& values,
                                       std::int64_t tasks)
{
    std::vector<candidate> out;
    for (const auto& [hall, load] : halls)
    {
        const auto& wanted = values.halls;
        const bool allowed = wanted.empty() || std::find(wanted.begin(), wanted.end(), hall) != wanted.end();
        if (!allowed || (is_known(load) && !fits(values.size, load.largest)))
        {
            continue;
        }
        const resources after = load.reserved + load.planned + values.size * tasks;
        out.push_back({hall, is_known(load) ? dominant_share(after, load.capacity) : unknown_fill,
                       is_known(load), load.cordoned});
    }
    const auto less_full = [](const candidate& a, const candidate& b)
    {
        return a.fill_after < b.fill_after;
    };
    std::stable_sort(out.begin(), out.end(), less_full);
    return out;
}

template <typename Condition>
void keep_only_if_any(std::vector<candidate>& candidates, const Condition& wanted)
{
    if (std::any_of(candidates.begin(), candidates.end(), wanted))
    {
        std::erase_if(candidates, std::not_fn(wanted));
    }
}

std::vector<hall_part> spread(const std::vector<candidate>& candidates, std::uint32_t tasks)
{
    std::vector<hall_part> parts;
    const auto halls = static_cast<std::uint32_t>(candidates.size());
    for (std::uint32_t i = 0; i < halls; ++i)
    {
        const std::uint32_t share = tasks / halls + (i < tasks % halls ? 1 : 0);
        if (share > 0)
        {
            parts.push_back({candidates[i].hall, share});
        }
    }
    return parts;
}
} // namespace

result<std::vector<hall_part>, state_error> choose_halls(const std::map<hall_id, hall_load>& halls,
                                                         workload_kind kind, const parameters& values)
{
    const bool service = kind == workload_kind::service;
    std::vector<candidate> candidates = find_candidates(halls, values, service ? 1 : values.tasks);
    if (candidates.empty())
    {
        return state_error{state_code::never_runnable,
                           "No hall that the job may use has a host large enough for one of its tasks."};
    }
    keep_only_if_any(candidates,
                     [](const candidate& c)
                     {
                         return !c.cordoned;
                     });
    keep_only_if_any(candidates,
                     [](const candidate& c)
                     {
                         return c.known;
                     });
    if (service)
    {
        return spread(candidates, values.tasks);
    }
    return std::vector<hall_part>{{candidates.front().hall, values.tasks}};
}

} // namespace walkthread
