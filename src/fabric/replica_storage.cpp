#include <walkthread/fabric/replica_storage.hpp>

#include <utility>

namespace walkthread
{

namespace
{
constexpr milliseconds write_retry_delay{200}; // after a transient failure, such as a full disk
} // namespace

replica_storage::replica_storage(std::unique_ptr<data_folder> folder, replicated_group& group)
    : m_folder(std::move(folder)), m_group(group)
{
}

void replica_storage::add(const replica_output& output)
{
    m_folder->add(m_group.id(), output);
    m_has_output = true;
}

std::optional<disk_task> replica_storage::next_task(monotonic_time now)
{
    if (m_in_progress || (m_log_refused && now < m_retry_at))
    {
        return std::nullopt;
    }
    // Maintenance comes between two log writes, as under load there is always output to write.
    const bool log_first = m_log_refused || (m_has_output && !m_log_written);
    m_log_written = false;
    if (!log_first)
    {
        if (auto task = maintenance_task())
        {
            return task;
        }
    }
    if (!m_has_output && !m_log_refused)
    {
        return std::nullopt;
    }
    return begin(disk_work::log_write,
                 [this]
                 {
                     return m_folder->sync();
                 });
}

std::optional<disk_task> replica_storage::maintenance_task()
{
    if (m_group.core().snapshot_due())
    {
        return snapshot_task();
    }
    if (!m_folder->rewrite_due())
    {
        return std::nullopt;
    }
    auto retained = m_group.retained_state(m_folder->stored_snapshot(m_group.id()));
    if (!retained)
    {
        return std::nullopt;
    }
    std::map<group_id, replica_start> live;
    live[m_group.id()] = std::move(*retained);
    return begin(disk_work::rewrite,
                 [this, content = std::move(live)]
                 {
                     return m_folder->rewrite(content);
                 });
}

disk_task replica_storage::snapshot_task()
{
    m_unstored_snapshot = std::make_shared<const snapshot>(m_group.make_snapshot());
    return begin(disk_work::snapshot,
                 [this, content = m_unstored_snapshot]
                 {
                     return m_folder->store_snapshot(m_group.id(), *content);
                 });
}

disk_task replica_storage::begin(disk_work kind, std::function<result<done, storage_error>()> run)
{
    m_in_progress = kind;
    return {kind, std::move(run)};
}

disk_report replica_storage::finish(const result<done, storage_error>& outcome, monotonic_time now)
{
    disk_report report;
    const bool log_write = std::exchange(m_in_progress, std::nullopt) == disk_work::log_write;
    // The entries that a snapshot covers are dropped only now, as the disk may have refused it.
    if (const auto made = std::exchange(m_unstored_snapshot, nullptr);
        made && m_folder->stored_snapshot(m_group.id()) == made->index)
    {
        m_group.core().compact(*made);
    }
    if (!ok(outcome))
    {
        report.failed = error_of(outcome).code != storage_code::cannot_write;
        report.refuses = !report.failed;
        m_log_refused = true;
        m_retry_at = now + write_retry_delay;
        return report;
    }
    report.accepts = std::exchange(m_log_refused, false);
    if (log_write || report.accepts)
    {
        m_has_output = false;
        m_log_written = true;
    }
    report.log_durable = !m_has_output;
    return report;
}

std::optional<monotonic_time> replica_storage::retry_at() const
{
    return m_log_refused ? std::optional(m_retry_at) : std::nullopt;
}

} // namespace walkthread
