#include <walkthread/dispatch/capacity_forecast.hpp>

#include <algorithm>

namespace walkthread
{

namespace
{
// Removes runs that don't end by themselves and sorts the others by their end.
void keep_ending_runs_by_end(std::vector<run_forecast>& runs)
{
    std::erase_if(runs,
                  [](const run_forecast& run)
                  {
                      return !run.left_ms;
                  });
    std::sort(runs.begin(), runs.end(),
              [](const run_forecast& a, const run_forecast& b)
              {
                  return *a.left_ms < *b.left_ms;
              });
}
} // namespace

std::optional<double> time_until_fit(const resources& open, std::vector<run_forecast> runs,
                                     const resources& need)
{
    if (fits(need, open))
    {
        return 0.0;
    }
    keep_ending_runs_by_end(runs);
    resources room = open;
    for (const run_forecast& run : runs)
    {
        room += run.room;
        if (fits(need, room))
        {
            return *run.left_ms;
        }
    }
    return std::nullopt;
}

std::vector<double> times_until_slots_fit(const resources& open, std::vector<run_forecast> runs,
                                          const std::function<std::uint32_t(const resources&)>& slots,
                                          std::uint32_t most)
{
    keep_ending_runs_by_end(runs);
    resources room = open;
    std::vector<double> times(std::min(slots(room), most), 0.0);
    for (auto run = runs.begin(); run != runs.end() && times.size() < most; ++run)
    {
        room += run->room;
        times.resize(std::max<std::size_t>(times.size(), std::min(slots(room), most)), *run->left_ms);
    }
    return times;
}

} // namespace walkthread
