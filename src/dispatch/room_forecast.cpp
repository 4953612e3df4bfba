#include <walkthread/dispatch/room_forecast.hpp>

#include <algorithm>

namespace walkthread
{

std::optional<double> time_until_room(const resources& open, std::vector<run_forecast> runs,
                                      const resources& need)
{
    if (fits(need, open))
    {
        return 0.0;
    }
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

} // namespace walkthread
