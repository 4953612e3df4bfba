#include <walkthread/policy/host_pool.hpp>

#include <algorithm>
#include <bit>

namespace walkthread
{

namespace
{
constexpr std::int64_t millicores_per_level = 1000;
constexpr std::size_t random_probes = 64;

bool grew_in_any_dimension(const resources& now, const resources& before)
{
    return !fits(now, before);
}
} // namespace

host_pool::bucket_key host_pool::key_of(const resources& free)
{
    const auto accelerators = static_cast<std::size_t>(std::max(free.accelerators, 0));
    const auto cpu = static_cast<std::size_t>(std::max<std::int64_t>(free.cpu, 0) / millicores_per_level);
    return {std::min(accelerators, accelerator_levels - 1), std::min(cpu, cpu_levels - 1), free.memory};
}

bool host_pool::update(const worker_record& worker)
{
    auto found = m_by_worker.find(worker.id);
    if (found == m_by_worker.end())
    {
        found = m_by_worker.emplace(worker.id, m_hosts.size()).first;
        m_hosts.emplace_back();
        m_keys.emplace_back();
        const auto [rack, fresh] = m_rack_position.emplace(worker.rack, m_racks.size());
        if (fresh)
        {
            m_racks.emplace_back();
        }
        m_racks[rack->second].push_back(found->second);
    }
    host_view& host = m_hosts[found->second];
    const resources before = host.free;
    host.worker = worker.id;
    host.epoch = worker.epoch;
    host.rack = worker.rack;
    host.size = worker.size;
    host.free = worker.free();
    reindex(found->second);
    return grew_in_any_dimension(host.free, before);
}

void host_pool::take(host_slot slot, const resources& amount)
{
    m_hosts[slot].free -= amount;
    reindex(slot);
}

void host_pool::release(host_slot slot, const resources& amount)
{
    m_hosts[slot].free += amount;
    reindex(slot);
}

void host_pool::set_aside(host_slot slot, bool reserved)
{
    m_hosts[slot].set_aside = reserved;
    reindex(slot);
}

void host_pool::reindex(host_slot slot)
{
    const host_view& host = m_hosts[slot];
    const bool listed = host.free.slots > 0 && !host.set_aside;
    const std::optional<bucket_key> next = listed ? std::optional(key_of(host.free)) : std::nullopt;
    std::optional<bucket_key>& present = m_keys[slot];
    if (present == next)
    {
        return;
    }
    bucket::node_type node;
    if (present)
    {
        bucket& old = m_buckets[present->accelerators][present->cpu];
        node = old.extract(place{present->memory, slot});
        if (old.empty())
        {
            m_nonempty_levels[present->accelerators] &= ~(std::uint64_t{1} << present->cpu);
        }
    }
    if (next)
    {
        bucket& target = m_buckets[next->accelerators][next->cpu];
        const place entry{next->memory, slot};
        if (node.empty())
        {
            target.insert(entry);
        }
        else
        {
            node.value() = entry;
            target.insert(std::move(node));
        }
        m_nonempty_levels[next->accelerators] |= std::uint64_t{1} << next->cpu;
    }
    present = next;
}

std::optional<host_slot> host_pool::find(worker_id worker) const
{
    const auto found = m_by_worker.find(worker);
    return found == m_by_worker.end() ? std::nullopt : std::optional(found->second);
}

bool host_pool::fits_here(host_slot slot, const resources& need)
{
    ++m_examined;
    return fits(need, m_hosts[slot].free);
}

std::optional<host_slot> host_pool::probe(const bucket& hosts, const resources& need)
{
    int probes = 0;
    auto it = hosts.lower_bound(place{need.memory, 0});
    for (; it != hosts.end() && probes < probes_per_bucket; ++it, ++probes)
    {
        if (fits_here(it->slot, need))
        {
            return it->slot;
        }
    }
    return std::nullopt;
}

std::optional<host_slot> host_pool::best_fit(const resources& need)
{
    const bucket_key least = key_of(need);
    for (std::size_t a = least.accelerators; a < accelerator_levels; ++a)
    {
        std::uint64_t levels = m_nonempty_levels[a] & (~std::uint64_t{0} << least.cpu);
        while (levels != 0)
        {
            const auto level = static_cast<std::size_t>(std::countr_zero(levels));
            levels &= levels - 1;
            const std::optional<host_slot> found = probe(m_buckets[a][level], need);
            if (found)
            {
                return found;
            }
        }
    }
    return std::nullopt;
}

std::optional<host_slot> host_pool::first_fit(const resources& need)
{
    for (host_slot slot = 0; slot < m_hosts.size(); ++slot)
    {
        if (!m_hosts[slot].set_aside && fits_here(slot, need))
        {
            return slot;
        }
    }
    return std::nullopt;
}

std::optional<host_slot> host_pool::random_fit(const resources& need, std::mt19937_64& random)
{
    for (std::size_t i = 0; i < random_probes && !m_hosts.empty(); ++i)
    {
        const host_slot slot = random() % m_hosts.size();
        if (!m_hosts[slot].set_aside && fits_here(slot, need))
        {
            return slot;
        }
    }
    return std::nullopt;
}

} // namespace walkthread
