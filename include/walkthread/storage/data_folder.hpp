#pragma once

/// @file
/// @brief The data folder: node identity, one write-ahead log for all groups of a process, and snapshots.
///
/// Data is made durable here before it is acknowledged. With one log for all groups, a single fsync covers a
/// batch of entries of many groups.
/// @since 0.1

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <walkthread/replication/replica.hpp>
#include <walkthread/storage/storage_limits.hpp>
#include <walkthread/units/ids.hpp>
#include <walkthread/units/result.hpp>

namespace walkthread
{

/// @brief Errors of the storage layer.
enum class storage_code
{
    cannot_open = 201,  ///< the folder or a file in it cannot be opened or created
    cannot_write = 202, ///< a write failed, for instance on a full disk
    cannot_sync = 203,  ///< an fsync failed; the process must stop, as a retry could succeed without writing
                        ///< the pages
    damaged = 204, ///< a record is corrupted although valid ones follow it, or a required file is missing or
                   ///< unreadable
    foreign_folder = 205,    ///< the folder belongs to another node
    already_formatted = 206, ///< the folder already has an identity and cannot be used to initialize a cell
};
using storage_error = layer_error<storage_code>;

/// @brief Identity of a data folder.
/// @since 0.1
struct folder_identity
{
    node_id node{};
    incarnation_id incarnation{};
    std::map<group_id, membership> founding{}; ///< initial members of each group, if created by `--init-cell`
    MSGPACK_DEFINE(node, incarnation, founding)
};

/// @brief Write-ahead log record: an entry of one group.
struct entry_record
{
    group_id group{};
    log_entry entry{};
    MSGPACK_DEFINE(group, entry)
};

/// @brief Write-ahead log record: the hard state of one group's replica.
struct state_record
{
    group_id group{};
    hard_state state{};
    MSGPACK_DEFINE(group, state)
};

/// @brief Write-ahead log record: index of the newest snapshot of one group; entries up to it are obsolete.
struct snapshot_record
{
    group_id group{};
    log_index index{};
    MSGPACK_DEFINE(group, index)
};

using log_record = std::variant<entry_record, state_record, snapshot_record>;

/// @brief The calls that use space on the disk or make it durable; tests replace them to limit or fail a
/// disk. They return what `write` and `fdatasync` return and set errno.
/// @since 0.6
struct file_operations
{
    std::function<std::ptrdiff_t(int file, const char* bytes, std::size_t count)> write;
    std::function<int(int file)> sync;
};

/// @brief The data folder of one process. Not thread-safe.
/// @since 0.1
class data_folder
{
  public:
    /// @brief Opens a folder and recovers its content; creates and initializes it if it is missing or empty.
    /// @param path the folder
    /// @param new_identity the identity for an empty folder; its node must match that of an existing folder
    /// @param files how files are written and synced
    /// @return the folder, or cannot_open, damaged, foreign_folder
    static result<std::unique_ptr<data_folder>, storage_error>
    open(const std::string& path, const folder_identity& new_identity, const file_operations& files);
    /// @brief As above, with the system's own file operations.
    static result<std::unique_ptr<data_folder>, storage_error> open(const std::string& path,
                                                                    const folder_identity& new_identity);
    ~data_folder();
    data_folder(const data_folder&) = delete;
    data_folder& operator=(const data_folder&) = delete;

    [[nodiscard]] const folder_identity& identity() const
    {
        return m_identity;
    }
    /// @brief Hands over the recovered state of a group, which this object does not keep; empty for a group
    /// without records and for a second call.
    [[nodiscard]] replica_start take_recovered_state(group_id group);

    /// @brief Adds a replica's output to the batch. Nothing is durable before `sync`.
    void add(group_id group, const replica_output& output);
    /// @brief Makes the batch durable. Snapshots in it are stored first.
    /// @return success; cannot_write, after which the batch is kept and the call may be repeated; or
    ///         cannot_sync, after which the process must stop
    [[nodiscard]] result<done, storage_error> sync();
    /// @brief Stores a snapshot that the replica took of its own state, and makes the batch durable. If it
    /// fails, `stored_snapshot` tells whether the snapshot was stored before.
    [[nodiscard]] result<done, storage_error> store_snapshot(group_id group, const snapshot& content);
    /// @brief Index of the newest snapshot of a group that is on the disk; 0 for none.
    [[nodiscard]] log_index stored_snapshot(group_id group) const;
    /// @brief Sets the size above which the log is rewritten, even if it has not grown much since the last
    /// time.
    void limit_log(std::uint64_t bytes);
    [[nodiscard]] std::uint64_t log_limit() const
    {
        return m_log_limit;
    }
    /// @brief Whether the log has grown enough to be rewritten.
    [[nodiscard]] bool rewrite_due() const
    {
        return m_log_bytes > m_rewrite_at;
    }
    /// @brief Writes a new log file with only the data still needed, then removes the old one.
    /// @param live each group's current hard state, snapshot index and log tail
    [[nodiscard]] result<done, storage_error> rewrite(const std::map<group_id, replica_start>& live);

    /// @brief Size of the log file.
    [[nodiscard]] std::uint64_t log_bytes() const
    {
        return m_log_bytes;
    }
    /// @brief Bytes written since the folder was opened.
    [[nodiscard]] std::uint64_t bytes_written() const
    {
        return m_bytes_written;
    }
    /// @brief Number of log fsyncs since the folder was opened.
    [[nodiscard]] std::uint64_t syncs() const
    {
        return m_syncs;
    }

  private:
    data_folder(std::string path, folder_identity identity, file_operations files);
    result<done, storage_error> load();
    result<done, storage_error> load_file(std::uint64_t number, bool last);
    void apply_record(log_record record);
    result<done, storage_error> open_log(std::uint64_t number);
    result<done, storage_error> flush(std::string_view bytes);
    result<done, storage_error> write_snapshot(group_id group, const snapshot& content);
    void schedule_rewrite();

    std::string m_path;
    folder_identity m_identity;
    file_operations m_files;
    std::map<group_id, replica_start> m_recovered;
    int m_log_fd = -1;
    std::uint64_t m_log_number = 0;
    std::uint64_t m_log_bytes = 0;
    std::uint64_t m_rewritten_bytes = 0; ///< size of the log after it was last rewritten
    std::uint64_t m_log_limit;
    std::uint64_t m_rewrite_at = 0;
    std::string m_batch;
    std::vector<std::pair<group_id, snapshot>> m_snapshots;
    std::map<group_id, log_index> m_stored_snapshots;
    std::uint64_t m_bytes_written = 0;
    std::uint64_t m_syncs = 0;
};

} // namespace walkthread
