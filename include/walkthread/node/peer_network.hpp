#pragma once

/// @file
/// @brief TCP connections to the other processes of the cell.
///
/// Each process opens a connection to every peer and sends only on connections that it opened; it receives on
/// connections that peers opened. Send queues are bounded: a message that does not fit is dropped, and the
/// protocols above resend it.
/// @since 0.1

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <walkthread/node/messages.hpp>
#include <walkthread/observe/log.hpp>
#include <walkthread/observe/metrics.hpp>
#include <walkthread/settings/settings.hpp>

namespace walkthread
{

/// @brief Connections to all peers. `send` may be called from any thread.
/// @since 0.1
class peer_network
{
  public:
    /// @brief Receives a message and the node that sent it. Called from reader threads.
    using receiver = std::function<void(node_id, peer_message)>;

    peer_network(const settings& config, incarnation_id incarnation, timeline& events, metrics& counters,
                 receiver receive);
    ~peer_network();
    peer_network(const peer_network&) = delete;
    peer_network& operator=(const peer_network&) = delete;

    /// @brief Starts listening and connecting. @return whether the address could be bound
    [[nodiscard]] bool start();
    /// @brief Stops all threads and waits for them.
    void stop();
    /// @brief Queues a message without waiting for the network. Drops it if the queue is full.
    void send(node_id to, const peer_message& message);
    /// @brief The latest incarnation that a node has announced; 0 if none.
    [[nodiscard]] incarnation_id incarnation_of(node_id node) const;

  private:
    struct outgoing
    {
        peer_settings peer;
        std::mutex mutex;
        std::condition_variable ready;
        std::deque<std::string> queue;
        std::size_t queued_bytes = 0;
        std::thread thread;
    };
    struct incoming
    {
        int socket = -1;
        std::thread thread;
        std::atomic<bool> finished{false};
    };

    void accept_loop();
    void send_loop(outgoing& out);
    void read_loop(incoming& in);
    bool handle_body(const std::string& body, node_id& from);
    [[nodiscard]] std::string frame_of(const peer_message& message);
    [[nodiscard]] bool write_batch(int socket, outgoing& out);
    void join_finished_readers();

    const settings& m_settings;
    incarnation_id m_incarnation;
    timeline& m_events;
    metrics& m_metrics;
    receiver m_receive;
    logger m_log;
    std::atomic<bool> m_stopping{false};
    int m_listener = -1;
    std::thread m_acceptor;
    std::map<node_id, std::unique_ptr<outgoing>> m_out;
    std::mutex m_in_mutex;
    std::vector<std::unique_ptr<incoming>> m_in;
    mutable std::mutex m_incarnations_mutex;
    std::map<node_id, incarnation_id> m_incarnations;
};

} // namespace walkthread
