#include <walkthread/dispatch/queue_pools.hpp>

#include <utility>

namespace walkthread
{

std::vector<queue_move> queue_pools::update(const cluster_configuration& current,
                                            const std::function<bool(const std::string&)>& has_work)
{
    if (current.version == m_version)
    {
        return {};
    }
    m_version = current.version;
    std::map<std::string, std::string> next;
    for (const queue_spec& queue : current.queues)
    {
        next.emplace(route_of(queue), queue.pool);
    }
    std::vector<queue_move> moves;
    for (const auto& [route, pool] : m_pools)
    {
        const auto present = next.find(route);
        if (present == next.end() && has_work(route))
        {
            next.emplace(route, pool);
        }
        else if (present != next.end() && present->second != pool)
        {
            moves.push_back({route, pool, present->second});
        }
    }
    m_pools = std::move(next);
    return moves;
}

} // namespace walkthread
