#include <walkthread/fabric/state_admission.hpp>

#include <utility>

namespace walkthread
{

namespace
{
// Work in progress takes seconds to end; callers' time budgets are a few seconds too.
constexpr std::int64_t max_retry_after_s = 5;
} // namespace

bool state_admission::fits(std::uint64_t state_bytes, submission_id id, std::uint64_t bytes) const
{
    return m_commits.contains(id) || state_bytes + m_committing_bytes + bytes <= m_limits.accept_bytes;
}

void state_admission::begin_commit(submission_id id, std::uint64_t bytes)
{
    commit& item = m_commits[id];
    if (item.copies++ == 0)
    {
        item.bytes = bytes;
        m_committing_bytes += bytes;
    }
}

void state_admission::end_commit(submission_id id)
{
    const auto found = m_commits.find(id);
    if (found != m_commits.end() && --found->second.copies == 0)
    {
        m_committing_bytes -= found->second.bytes;
        m_commits.erase(found);
    }
}

bool state_admission::record_refusal()
{
    return m_refused++ == 0;
}

std::uint64_t state_admission::record_acceptance()
{
    return std::exchange(m_refused, 0);
}

std::int64_t state_admission::retry_after_s(double draw)
{
    return 1 + static_cast<std::int64_t>(draw * static_cast<double>(max_retry_after_s));
}

} // namespace walkthread
