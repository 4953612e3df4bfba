#include <walkthread/workload/cluster_configuration.hpp>

#include <algorithm>
#include <set>

namespace walkthread
{

namespace
{
std::optional<std::string> find_queue_fault(const queue_spec& queue, const std::set<std::string>& pools)
{
    if (queue.name.empty() || queue.host.empty() || !queue.path_prefix.starts_with('/'))
    {
        return "Queue \"" + queue.name +
               "\" needs a name, a host and a path prefix that starts with a slash.";
    }
    if (queue.timeout_ms <= 0)
    {
        return "Queue " + queue.name + " needs a timeout above 0.";
    }
    if (!pools.contains(queue.pool))
    {
        return "Queue " + queue.name + " refers to the unknown pool \"" + queue.pool + "\".";
    }
    if (queue.max_attempts == 0 || queue.stretch < 0 || queue.target_latency_ms < 0)
    {
        return "Queue " + queue.name + " has an attempt limit, stretch or latency out of range.";
    }
    if (queue.advised && queue.advice.validity_ms <= 0)
    {
        return "Queue " + queue.name + " needs an advice validity above 0.";
    }
    return std::nullopt;
}
} // namespace

std::optional<std::string> find_fault(const cluster_configuration& candidate)
{
    std::set<std::string> pools;
    for (const pool_spec& pool : candidate.pools)
    {
        if (pool.name.empty() || !pools.insert(pool.name).second)
        {
            return "Pool \"" + pool.name + "\" has an empty or duplicate name.";
        }
    }
    std::set<std::string> names;
    std::set<std::pair<std::string, std::string>> places;
    for (const queue_spec& queue : candidate.queues)
    {
        if (auto fault = find_queue_fault(queue, pools))
        {
            return fault;
        }
        if (!names.insert(queue.name).second)
        {
            return "Queue " + queue.name + " is defined twice.";
        }
        if (!places.insert({queue.host, queue.path_prefix}).second)
        {
            return "Queue " + queue.name + " has the same host and path prefix as another queue.";
        }
    }
    return find_fault(candidate.organisations);
}

const queue_spec* find_queue(const cluster_configuration& held, std::string_view host, std::string_view path)
{
    const queue_spec* best = nullptr;
    for (const queue_spec& queue : held.queues)
    {
        const bool matches = queue.host == host && path.starts_with(queue.path_prefix);
        if (matches && (best == nullptr || queue.path_prefix.size() > best->path_prefix.size()))
        {
            best = &queue;
        }
    }
    return best;
}

std::string route_of(const queue_spec& queue)
{
    return queue.host + queue.path_prefix;
}

std::map<std::string, std::string> find_moved_routes(const cluster_configuration& held,
                                                     const cluster_configuration& next)
{
    std::set<std::string> before;
    for (const queue_spec& queue : held.queues)
    {
        before.insert(route_of(queue));
    }
    std::set<std::string> after;
    std::map<std::string, std::string> by_name;
    for (const queue_spec& queue : next.queues)
    {
        after.insert(route_of(queue));
        by_name.emplace(queue.name, route_of(queue));
    }
    std::map<std::string, std::string> moved;
    for (const queue_spec& queue : held.queues)
    {
        const auto same_name = by_name.find(queue.name);
        if (!after.contains(route_of(queue)) && same_name != by_name.end() &&
            !before.contains(same_name->second))
        {
            moved.emplace(route_of(queue), same_name->second);
        }
    }
    return moved;
}

bool addresses_submission(const queue_spec& queue, std::string_view path, std::string_view name)
{
    return path.size() == queue.path_prefix.size() + name.size() && path.starts_with(queue.path_prefix);
}

const queue_spec* find_queue_by_name(const cluster_configuration& held, std::string_view name)
{
    const auto found = std::find_if(held.queues.begin(), held.queues.end(),
                                    [name](const queue_spec& queue)
                                    {
                                        return queue.name == name;
                                    });
    return found == held.queues.end() ? nullptr : &*found;
}

} // namespace walkthread
