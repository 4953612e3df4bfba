#include <walkthread/replication/replicated_group.hpp>

#include <walkthread/wire/codec.hpp>

namespace walkthread
{

replicated_group::replicated_group(group_id id, replica core, state_machine_hooks hooks)
    : m_id(id), m_core(std::move(core)), m_hooks(std::move(hooks)), m_applied(m_core.commit_index())
{
}

void replicated_group::propose(wall_ms at, std::string command, result_handler handler, monotonic_time now)
{
    const term_id term = m_core.term();
    auto index = m_core.propose(encode(entry_body{at, std::move(command)}), now);
    if (!ok(index))
    {
        handler(std::nullopt);
        return;
    }
    m_pending_proposals[value_of(index)] = pending_proposal{term, std::move(handler)};
}

std::size_t replicated_group::apply(const replica_output& output)
{
    if (output.install)
    {
        m_hooks.load(output.install->data);
        m_applied = output.install->index;
    }
    for (const log_entry& entry : output.apply)
    {
        apply_entry(entry);
    }
    return output.apply.size();
}

void replicated_group::apply_entry(const log_entry& entry)
{
    m_applied = entry.index;
    std::optional<std::string> answer;
    if (entry.type() == entry_kind::command)
    {
        auto body = decode<entry_body>(entry.data);
        if (ok(body))
        {
            answer = m_hooks.apply(value_of(body).at, value_of(body).command);
        }
    }
    while (!m_pending_proposals.empty() && m_pending_proposals.begin()->first <= entry.index)
    {
        auto node = m_pending_proposals.extract(m_pending_proposals.begin());
        const bool own = node.key() == entry.index && node.mapped().term == entry.term;
        node.mapped().handler(own ? answer : std::nullopt);
    }
}

snapshot replicated_group::make_snapshot() const
{
    return m_core.make_snapshot(m_applied, m_hooks.save());
}

std::optional<replica_start> replicated_group::retained_state(log_index stored) const
{
    const log_tail& log = m_core.log();
    if (stored < log.base_index())
    {
        return std::nullopt;
    }
    replica_start part;
    part.state = m_core.persistent_state();
    part.base.index = stored;
    for (log_index i{stored.value() + 1}; i <= log.last_index(); i = log_index{i.value() + 1})
    {
        part.entries.push_back(log.at(i));
    }
    return part;
}

} // namespace walkthread
