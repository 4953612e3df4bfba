#pragma once

/// @file
/// @brief Routes calls to the current leader and retries them until they are answered or time out.
/// @since 0.2

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <walkthread/fabric/leader_outage.hpp>
#include <walkthread/fabric/mesh.hpp>
#include <walkthread/fabric/outstanding_calls.hpp>
#include <walkthread/observe/metrics_page.hpp>
#include <walkthread/units/time.hpp>

namespace walkthread
{

/// @brief Pending calls to the leader. To be used from the event loop's thread only.
/// @since 0.2
class call_router
{
  public:
    /// @param peers the mesh that calls are sent over
    /// @param local_handler handles a call if this process leads; returns whether it did
    call_router(boost::asio::io_context& loop, mesh& peers,
                std::function<bool(const service_call&, const call_handler&)> local_handler);
    ~call_router();
    call_router(const call_router&) = delete;
    call_router& operator=(const call_router&) = delete;

    /// @brief Sends a call to the leader, and again if the leader changes or does not reply. Once a leader
    /// outage exceeds the hold time, calls from callers that were not sent yet get `unavailable` at once.
    /// A rejection of one copy ends the call once each other copy has a reply; if one has none 450 ms later,
    /// the reply is `unknown`, as that copy may have been accepted.
    /// @param timeout after this time the reply is `unknown`, or `unavailable` if the call was never sent
    void call(service_call body, milliseconds timeout, call_handler handler);
    /// @brief Sends a call to one peer, without retries.
    void call_peer(const std::string& peer, service_call body, milliseconds timeout, call_handler handler);
    /// @brief Handles a received reply. A reply that belongs to no pending call has no effect.
    /// @param from address of the peer that replies
    /// @return whether it belongs to a pending call, and if not, why
    reply_match handle_reply(const std::string& from, reply_message message);
    /// @brief Sets the current leader or the process that relays calls to it, empty for unknown. Pending
    /// calls are sent to it at once.
    void set_leader(const std::string& leader);

    /// @brief Sets whether this process reaches no other. When it becomes isolated, calls from callers end at
    /// once, and later ones too: as `isolated` if they had no effect, else as `unknown`.
    void set_isolated(bool isolated);
    [[nodiscard]] bool isolated() const
    {
        return m_isolated;
    }

    [[nodiscard]] const std::string& leader() const
    {
        return m_leader;
    }
    /// @brief Calls that ended as `unknown` as one copy was rejected and another has no reply.
    [[nodiscard]] std::uint64_t uncertain_rejections() const
    {
        return m_uncertain_rejections;
    }
    [[nodiscard]] std::size_t waiting() const
    {
        return m_calls.all().size();
    }
    /// @brief How long no leader has been known; zero if one is known.
    [[nodiscard]] duration leaderless_for(monotonic_time now) const
    {
        return m_outage.age(now);
    }
    /// @brief Durations of leader outages, one observation for each outage.
    [[nodiscard]] const time_histograms& outages() const
    {
        return m_outages;
    }

  private:
    [[nodiscard]] service_reply make_no_leader_reply(milliseconds timeout, monotonic_time now);
    void reject_unsent_calls(monotonic_time now);
    void end_calls_from_callers();
    void send(call_number number, const std::string& to);
    void conclude(call_number number, const std::string& from, service_reply reply);
    void retry_at_leader(call_number number, const std::string& hint);
    [[nodiscard]] service_reply make_expired_reply(const outstanding_call& call);
    void finish(call_number number, service_reply reply);
    void arm();
    void check_deadlines();

    mesh& m_mesh;
    std::function<bool(const service_call&, const call_handler&)> m_local_handler;
    boost::asio::steady_timer m_timer;
    bool m_armed = false;
    std::string m_leader;
    bool m_isolated = false;
    std::uint64_t m_uncertain_rejections = 0;
    leader_outage m_outage;
    time_histograms m_outages{
        "walkthread_leaderless_seconds", "How long no leader was known, by outage.", {}};
    std::minstd_rand m_random{std::random_device{}()};
    outstanding_calls m_calls = outstanding_calls::with_random_life();
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace walkthread
