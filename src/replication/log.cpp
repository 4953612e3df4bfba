#include <walkthread/replication/log.hpp>

#include <algorithm>

namespace walkthread
{

bool membership::is_voter(const replica_id& id) const
{
    return std::find(voters.begin(), voters.end(), id) != voters.end();
}

bool membership::is_member(const replica_id& id) const
{
    const auto same = [&id](const learner& l)
    {
        return l.id == id;
    };
    return is_voter(id) || std::any_of(learners.begin(), learners.end(), same);
}

void log_tail::reset(log_index index, term_id term)
{
    m_base_index = index;
    m_base_term = term;
    m_entries.clear();
}

void log_tail::append(log_entry entry)
{
    m_entries.push_back(std::move(entry));
}

void log_tail::truncate_from(log_index index)
{
    while (!m_entries.empty() && m_entries.back().index >= index)
    {
        m_entries.pop_back();
    }
}

void log_tail::discard_to(log_index index)
{
    while (!m_entries.empty() && m_entries.front().index <= index)
    {
        m_base_index = m_entries.front().index;
        m_base_term = m_entries.front().term;
        m_entries.pop_front();
    }
}

term_id log_tail::last_term() const
{
    return m_entries.empty() ? m_base_term : m_entries.back().term;
}

std::optional<term_id> log_tail::term_at(log_index index) const
{
    if (index == m_base_index)
    {
        return m_base_term;
    }
    if (index < m_base_index || index > last_index())
    {
        return std::nullopt;
    }
    return at(index).term;
}

const log_entry& log_tail::at(log_index index) const
{
    return m_entries[index.value() - m_base_index.value() - 1];
}

std::vector<log_entry> log_tail::slice(log_index first, std::size_t max_bytes) const
{
    std::vector<log_entry> out;
    std::size_t bytes = 0;
    for (log_index i = first; i <= last_index() && bytes < max_bytes; i = log_index{i.value() + 1})
    {
        out.push_back(at(i));
        bytes += size_of(out.back());
    }
    return out;
}

} // namespace walkthread
