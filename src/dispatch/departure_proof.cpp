#include <walkthread/dispatch/departure_proof.hpp>

#include <array>

namespace walkthread
{

std::string_view name_of(departure_proof proof)
{
    constexpr std::array<std::string_view, 3> names{"none", "no runs", "lease over"};
    return names.at(static_cast<std::size_t>(proof));
}

departure_proof find_departure_proof(const worker_incarnation& worker, const worker_view& view,
                                     monotonic_time now, double drift)
{
    if (worker.occupied.empty())
    {
        return departure_proof::no_runs;
    }
    return view.lease.surely_expired(now, drift) ? departure_proof::lease_over : departure_proof::none;
}

} // namespace walkthread
