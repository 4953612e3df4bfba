#pragma once

/// @file
/// @brief The core of a process: one thread that owns all replicated groups, and calls to group leaders in
/// any process.
/// @since 0.1

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include <walkthread/node/errors.hpp>
#include <walkthread/node/messages.hpp>
#include <walkthread/node/peer_network.hpp>
#include <walkthread/observe/log.hpp>
#include <walkthread/observe/metrics.hpp>
#include <walkthread/replication/replicated_group.hpp>
#include <walkthread/settings/settings.hpp>
#include <walkthread/storage/data_folder.hpp>

namespace walkthread
{

/// @brief Receives the reply to a call. Called on the core thread, exactly once.
using reply_handler = std::function<void(reply_body)>;

/// @brief Callbacks of a group at this process, besides replication. All run on the core thread.
/// @since 0.1
struct group_callbacks
{
    /// Handles a call to the group; called only while this process leads it and holds the lease.
    std::function<void(const call_body&, reply_handler)> handle;
    /// Called every tick, on leaders and followers.
    std::function<void(monotonic_time, wall_ms)> tick;
    /// Called after log entries were applied.
    std::function<void()> applied;
};

/// @brief The core of a process.
///
/// All decisions and all replication run on one thread, so that the layers below need no locks. Other threads
/// use the functions marked as safe to call from any thread.
/// @since 0.1
class process_core
{
  public:
    process_core(const settings& config, data_folder* folder, timeline& events, metrics& counters);
    ~process_core();
    process_core(const process_core&) = delete;
    process_core& operator=(const process_core&) = delete;

    /// @brief Adds a group of which this process is a replica. Only before `start`.
    replicated_group& add_group(group_id id, state_machine_hooks hooks, group_callbacks callbacks);
    /// @brief Adds a function that is called every tick. Only before `start`.
    void add_ticker(std::function<void(monotonic_time, wall_ms)> ticker);
    /// @brief Starts the network and the core thread. @return whether the peer address could be bound
    [[nodiscard]] bool start();
    /// @brief Transfers leadership, then stops the core thread and the network.
    void stop();

    /// @brief Queues a function to run on the core thread. From any thread.
    void post(std::function<void()> work);
    /// @brief Runs a function on the core thread and waits for its result. Not from the core thread.
    template <typename T>
    T run(std::function<T()> work);
    /// @brief Calls a group's leader, in this or another process, and retries until the timeout. From any
    /// thread. After the timeout the handler gets an error reply with node_code::no_leader or timed_out.
    void call(group_id group, call_body body, milliseconds timeout, reply_handler handler);
    /// @brief Calls a given process, whether or not it leads the group. From any thread.
    void call_node(node_id node, group_id group, call_body body, milliseconds timeout, reply_handler handler);
    /// @brief Calls a group's leader and waits for the reply. Not from the core thread.
    [[nodiscard]] reply_body call_and_wait(group_id group, call_body body, milliseconds timeout);
    /// @brief Calls a given process and waits for the reply. Not from the core thread.
    [[nodiscard]] reply_body call_node_and_wait(node_id node, group_id group, call_body body,
                                                milliseconds timeout);
    /// @brief Notifies all peers that the state of a group changed. Notifications between two flushes are
    /// merged into one.
    void notify_peers(group_id group);
    /// @brief Sets the handler for change notices of peers. Only before `start`.
    void on_change_notice(std::function<void(group_id)> handler);
    /// @brief Sets the handler for calls that need no leader, such as timeline calls. Only before `start`.
    void on_local_call(std::function<reply_body(const call_body&)> handler);

    /// @brief The group if this process is a replica of it, otherwise null. On the core thread.
    [[nodiscard]] replicated_group* find_group(group_id id);
    /// @brief Whether this process leads a group and holds the leader lease. On the core thread.
    [[nodiscard]] bool leads(group_id id, monotonic_time now);
    [[nodiscard]] const settings& config() const
    {
        return m_settings;
    }
    [[nodiscard]] timeline& events()
    {
        return m_events;
    }
    [[nodiscard]] metrics& counters()
    {
        return m_metrics;
    }
    [[nodiscard]] peer_network& network()
    {
        return m_network;
    }
    /// @brief Whether storage failed, so that this process has to stop.
    [[nodiscard]] bool failed() const
    {
        return m_failed;
    }

  private:
    struct owned_group
    {
        std::unique_ptr<replicated_group> group;
        group_callbacks callbacks;
        bool led = false;
    };
    struct pending_call
    {
        group_id group{};
        call_body body;
        monotonic_time deadline{};
        monotonic_time retry_at{};
        std::optional<node_id> target_node; ///< the process to call instead of the leader
        std::size_t attempt = 0;
        bool waiting = false; ///< sent and not answered yet
        node_id sent_to{};
        reply_handler handler;
    };

    void loop();
    void run_tick(monotonic_time now);
    void flush(monotonic_time now);
    bool flush_once(monotonic_time now);
    void store_snapshots();
    void receive(node_id from, peer_message message);
    void handle_frame(node_id from, const replica_frame& frame);
    void handle_frame(node_id from, const call_frame& frame);
    void handle_frame(const reply_frame& frame);
    [[nodiscard]] static std::uint64_t random_call_id();
    void begin_call(pending_call call);
    void send_call(std::uint64_t id, pending_call& call);
    void finish_call(std::uint64_t id, reply_body reply);
    void retry_calls(monotonic_time now);
    void handle_locally(group_id group, const call_body& body, const reply_handler& handler);
    void change_members(group_id group, const members_call& change, const reply_handler& handler);
    [[nodiscard]] bool leader_has_changed(const pending_call& call) const;
    [[nodiscard]] node_id target_of(const pending_call& call) const;
    void update_leadership(owned_group& owned);
    void fail(const storage_error& error);

    const settings& m_settings;
    data_folder* m_folder;
    timeline& m_events;
    metrics& m_metrics;
    logger m_log;
    peer_network m_network;

    std::map<group_id, owned_group> m_groups;
    std::vector<std::function<void(monotonic_time, wall_ms)>> m_tickers;
    std::function<void(group_id)> m_on_change_notice;
    std::function<reply_body(const call_body&)> m_on_local_call;
    std::map<std::uint64_t, pending_call> m_calls;
    std::map<group_id, node_id> m_leader_hints;
    std::vector<group_id> m_groups_to_notify;
    std::uint64_t m_next_call_id = random_call_id();

    std::thread m_thread;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::vector<std::function<void()>> m_work;
    std::atomic<bool> m_stopping{false};
    std::atomic<bool> m_failed{false};
};

// ---------------------------------------------------------------------------------------------------------

template <typename T>
T process_core::run(std::function<T()> work)
{
    struct shared
    {
        std::mutex mutex;
        std::condition_variable ready;
        std::optional<T> value;
    };
    auto state = std::make_shared<shared>();
    post(
        [state, work = std::move(work)]
        {
            T value = work();
            const std::scoped_lock lock(state->mutex);
            state->value.emplace(std::move(value));
            state->ready.notify_all();
        });
    std::unique_lock lock(state->mutex);
    state->ready.wait(lock,
                      [&state]
                      {
                          return state->value.has_value();
                      });
    return std::move(*state->value);
}

} // namespace walkthread
