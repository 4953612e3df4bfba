#include <walkthread/workload/ready_index.hpp>

#include <algorithm>

namespace walkthread
{

void ready_index::insert(const step_ref& ref, const step_requirement& needs, bool first,
                         const worker_finder& find)
{
    if (m_groups.contains(ref))
    {
        return;
    }
    auto group = m_open.find(needs);
    bool known = group != m_open.end();
    if (!known)
    {
        group = m_closed.find(needs);
        known = group != m_closed.end();
    }
    if (!known)
    {
        const worker_incarnation_id witness = find(needs);
        group_map& groups = witness == worker_incarnation_id{} ? m_closed : m_open;
        group = groups.emplace(needs, ready_group{{}, {}, witness}).first;
    }
    group->second.steps.insert(ref);
    if (first)
    {
        group->second.first.insert(ref);
    }
    m_groups.emplace(ref, group);
    if (group->second.witness != worker_incarnation_id{})
    {
        ++m_open_steps;
        m_open_first += first ? 1 : 0;
    }
}

void ready_index::erase(const step_ref& ref)
{
    const auto found = m_groups.find(ref);
    if (found == m_groups.end())
    {
        return;
    }
    const group_map::iterator group = found->second;
    m_groups.erase(found);
    group->second.steps.erase(ref);
    const std::size_t first = group->second.first.erase(ref);
    const bool is_open = group->second.witness != worker_incarnation_id{};
    if (is_open)
    {
        --m_open_steps;
        m_open_first -= first;
    }
    if (group->second.steps.empty())
    {
        (is_open ? m_open : m_closed).erase(group);
    }
}

void ready_index::erase(submission_id id)
{
    for (auto at = m_groups.lower_bound(step_ref{id, round_id{0}, 0});
         at != m_groups.end() && at->first.submission == id;)
    {
        const step_ref ref = (at++)->first;
        erase(ref);
    }
}

void ready_index::clear()
{
    *this = ready_index{};
}

// Moving a node between maps leaves the iterators to it valid.
void ready_index::open(group_map::iterator closed, worker_incarnation_id witness)
{
    closed->second.witness = witness;
    m_open_steps += closed->second.steps.size();
    m_open_first += closed->second.first.size();
    m_open.insert(m_closed.extract(closed));
}

void ready_index::close(group_map::iterator open)
{
    open->second.witness = worker_incarnation_id{};
    m_open_steps -= open->second.steps.size();
    m_open_first -= open->second.first.size();
    m_closed.insert(m_open.extract(open));
}

void ready_index::add_worker(worker_incarnation_id worker,
                             const std::function<bool(const step_requirement&)>& can_take)
{
    for (auto at = m_closed.begin(); at != m_closed.end();)
    {
        const auto group = at++;
        if (can_take(group->first))
        {
            open(group, worker);
        }
    }
}

void ready_index::remove_worker(worker_incarnation_id worker, const worker_finder& find)
{
    for (auto at = m_open.begin(); at != m_open.end();)
    {
        const auto group = at++;
        if (group->second.witness != worker)
        {
            continue;
        }
        group->second.witness = find(group->first);
        if (group->second.witness == worker_incarnation_id{})
        {
            close(group);
        }
    }
}

bool ready_index::is_closed(const step_ref& ref) const
{
    const auto found = m_groups.find(ref);
    return found != m_groups.end() && found->second->second.witness == worker_incarnation_id{};
}

std::set<step_ref> ready_index::steps() const
{
    std::set<step_ref> out;
    for (const auto& [ref, group] : m_groups)
    {
        out.insert(out.end(), ref);
    }
    return out;
}

} // namespace walkthread
