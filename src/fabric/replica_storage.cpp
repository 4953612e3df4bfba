#include <walkthread/fabric/replica_storage.hpp>

#include <algorithm>
#include <utility>

namespace walkthread
{

namespace
{
constexpr milliseconds write_retry_delay{200}; // after a transient failure, such as a full disk
// A refused snapshot or rewriting costs the writing of the whole state, so it is tried again less often.
constexpr milliseconds first_maintenance_delay{1000};
constexpr milliseconds longest_maintenance_delay{16000};
} // namespace

replica_storage::replica_storage(std::unique_ptr<data_folder> folder, replicated_group& group)
    : m_folder(std::move(folder)), m_group(group), m_log_bytes(m_folder->log_bytes())
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
    if (!log_first && now >= m_maintenance_at)
    {
        if (auto task = maintenance_task())
        {
            return task;
        }
    }
    if (!m_has_output)
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
    const bool rewrite_due = m_folder->rewrite_due();
    // A rewriting copies all entries since the snapshot, so a new snapshot comes first if it is smaller. If
    // one of both does not fit on the disk, the other may, and makes it smaller.
    const std::uint64_t copied = m_group.core().bytes_since_snapshot();
    const bool snapshot_saves = copied > m_state_bytes || m_refused_maintenance == disk_work::rewrite;
    const bool has_news = m_group.applied() > m_folder->stored_snapshot(m_group.id());
    const bool snapshot_due = has_news && (m_group.core().snapshot_due() || (rewrite_due && snapshot_saves));
    if (rewrite_due && (!snapshot_due || m_refused_maintenance == disk_work::snapshot))
    {
        return rewrite_task();
    }
    return snapshot_due ? std::optional(snapshot_task()) : std::nullopt;
}

std::optional<disk_task> replica_storage::rewrite_task()
{
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
    report.kind = std::exchange(m_in_progress, std::nullopt).value_or(disk_work::log_write);
    m_log_bytes = m_folder->log_bytes();
    report.log_bytes = m_log_bytes;
    // The entries that a snapshot covers are dropped only now, as the disk may have refused it.
    const auto made = std::exchange(m_unstored_snapshot, nullptr);
    const bool stored = made && m_folder->stored_snapshot(m_group.id()) == made->index;
    if (stored)
    {
        m_group.core().compact(*made);
        m_state_bytes = made->data.size();
        report.snapshot_bytes = m_state_bytes;
    }
    if (!ok(outcome))
    {
        const bool log_refused = report.kind == disk_work::log_write || stored;
        report.failed = error_of(outcome).code != storage_code::cannot_write;
        report.refuses = !report.failed && log_refused;
        report.refuses_maintenance = !report.failed && !log_refused;
        log_refused ? retry_log_write(now) : delay_maintenance(report.kind, now);
        return report;
    }
    if (report.kind == disk_work::log_write)
    {
        report.accepts = std::exchange(m_log_refused, false);
        m_has_output = false;
        m_log_written = true;
    }
    else
    {
        m_refused_maintenance.reset();
    }
    if (report.kind == disk_work::rewrite)
    {
        m_maintenance_delay = milliseconds{0};
    }
    report.log_durable = !m_has_output;
    return report;
}

void replica_storage::retry_log_write(monotonic_time now)
{
    m_log_refused = true;
    m_has_output = true; // also if only the record of a stored snapshot is left
    m_retry_at = now + write_retry_delay;
}

void replica_storage::delay_maintenance(disk_work refused, monotonic_time now)
{
    m_refused_maintenance = refused;
    m_maintenance_delay =
        std::clamp(2 * m_maintenance_delay, first_maintenance_delay, longest_maintenance_delay);
    m_maintenance_at = now + m_maintenance_delay;
}

std::optional<monotonic_time> replica_storage::retry_at() const
{
    return m_log_refused ? std::optional(m_retry_at) : std::nullopt;
}

} // namespace walkthread
