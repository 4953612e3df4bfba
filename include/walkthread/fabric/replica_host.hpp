#pragma once

/// @file
/// @brief Drives one replica on the event loop, with its disk on a thread of its own.
///
/// One write or snapshot is under way at a time; what comes meanwhile rides on the next one. A leader's
/// appends and committed entries do not wait for the leader's own disk.
/// @since 0.2

#include <functional>
#include <memory>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <walkthread/replication/replicated_group.hpp>
#include <walkthread/storage/data_folder.hpp>

namespace walkthread
{

/// @brief What a replica host needs from outside.
struct replica_host_hooks
{
    std::function<void(const replica_envelope&)> send;
    std::function<void()> changed; ///< entries were applied, or the role or membership may have changed
    std::function<void(const storage_error&)> disk_failed;  ///< for good: the process has to stop
    std::function<void(const storage_error&)> disk_refuses; ///< for now: the write is tried again
    std::function<void()> disk_accepts;                     ///< again, after it refused
};

/// @brief One replica with its disk. Belongs to the loop's thread.
/// @since 0.2
class replica_host
{
  public:
    replica_host(boost::asio::io_context& loop, std::unique_ptr<data_folder> folder,
                 std::unique_ptr<replicated_group> group, replica_host_hooks hooks, milliseconds tick);
    ~replica_host();
    replica_host(const replica_host&) = delete;
    replica_host& operator=(const replica_host&) = delete;

    /// @brief Starts the tick.
    void start();
    /// @brief Handles a message for this replica.
    void receive(const replica_envelope& envelope);
    /// @brief Proposes an encoded command; see `replicated_group::propose`.
    void propose(wall_ms at, std::string command, replicated_group::result_handler handler);
    /// @brief Does what is due: sends, writes, applies. Cheap when nothing is.
    void pump();

    [[nodiscard]] replicated_group& group()
    {
        return *m_group;
    }
    [[nodiscard]] std::uint64_t syncs() const
    {
        return m_folder->syncs();
    }

  private:
    struct disk;

    void tick();
    void write(const replica_output& output);
    void written(const result<done, storage_error>& outcome);
    void store_snapshot_if_due();
    void run_on_disk(std::function<result<done, storage_error>()> job,
                     std::function<void(const result<done, storage_error>&)> then);

    boost::asio::io_context& m_loop;
    std::unique_ptr<data_folder> m_folder;
    std::unique_ptr<replicated_group> m_group;
    replica_host_hooks m_hooks;
    milliseconds m_tick;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_retry;
    std::unique_ptr<disk> m_disk;
    std::vector<replica_envelope> m_held; ///< sent once the write under way is done
    bool m_writing = false;
    bool m_refused = false; ///< the last write; told when one succeeds
    bool m_pumping = false;
    bool m_again = false;
    bool m_failed = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace walkthread
