#pragma once

/// @file
/// @brief Runs one replica on the event loop and its disk I/O on a separate thread.
///
/// One write or snapshot is in progress at a time; output produced meanwhile is batched into the next one. A
/// leader's append requests and committed entries do not wait for the leader's own disk.
/// @since 0.2

#include <functional>
#include <memory>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <walkthread/fabric/replica_storage.hpp>

namespace walkthread
{

/// @brief Callbacks of a replica host.
struct replica_host_hooks
{
    std::function<void(const replica_envelope&)> send;
    std::function<void()> changed; ///< entries were applied, or the role or membership may have changed
    std::function<void(const storage_error&)> disk_failed;  ///< permanent failure: the process has to stop
    std::function<void(const storage_error&)> disk_refuses; ///< transient failure: the write is retried
    std::function<void()> disk_accepts; ///< the first successful write after a transient failure
    /// A snapshot or a rewriting of the log ended, with success or not.
    std::function<void(const disk_report&, const result<done, storage_error>&)> maintenance_ended;
};

/// @brief One replica with its data folder. To be used from the event loop's thread only.
/// @since 0.2
class replica_host
{
  public:
    replica_host(boost::asio::io_context& loop, std::unique_ptr<data_folder> folder,
                 std::unique_ptr<replicated_group> group, replica_host_hooks hooks, milliseconds tick);
    ~replica_host();
    replica_host(const replica_host&) = delete;
    replica_host& operator=(const replica_host&) = delete;

    /// @brief Starts the periodic tick.
    void start();
    /// @brief Handles a message for this replica.
    void receive(const replica_envelope& envelope);
    /// @brief Proposes an encoded command; see `replicated_group::propose`.
    void propose(wall_ms at, std::string command, replicated_group::result_handler handler);
    /// @brief Processes pending output: sends, writes, applies. Cheap if there is none.
    void pump();

    [[nodiscard]] replicated_group& group()
    {
        return *m_group;
    }
    [[nodiscard]] const replica_storage& storage() const
    {
        return m_storage;
    }
    [[nodiscard]] std::uint64_t syncs() const
    {
        return m_storage.folder().syncs();
    }

  private:
    struct disk;

    void tick();
    void start_disk_task(monotonic_time now);
    void finish_disk_task(const result<done, storage_error>& outcome, monotonic_time now);

    boost::asio::io_context& m_loop;
    std::unique_ptr<replicated_group> m_group;
    replica_storage m_storage;
    replica_host_hooks m_hooks;
    milliseconds m_tick;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_retry;
    std::unique_ptr<disk> m_disk;
    std::vector<replica_envelope> m_held_messages; ///< sent once the write in progress is durable
    bool m_pumping = false;
    bool m_pump_again = false;
    bool m_failed = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace walkthread
