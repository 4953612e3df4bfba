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
        next.emplace(queue.name, queue.pool);
    }
    std::vector<queue_move> moves;
    for (const auto& [name, pool] : m_pools)
    {
        const auto present = next.find(name);
        if (present == next.end() && has_work(name))
        {
            next.emplace(name, pool);
        }
        else if (present != next.end() && present->second != pool)
        {
            moves.push_back({name, pool, present->second});
        }
    }
    m_pools = std::move(next);
    return moves;
}

} // namespace walkthread
