#pragma once

/// @file
/// @brief The timeline: a ring buffer of typed events whose stamps are ordered causally across processes.
/// @since 0.1

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include <walkthread/units/ids.hpp>
#include <walkthread/units/time.hpp>

namespace walkthread
{

/// @brief A hybrid logical clock value: wall milliseconds in the upper 48 bits, a counter in the lower 16.
using hybrid_stamp = strong<struct hybrid_stamp_tag, std::uint64_t>;

/// @brief The kind of an event.
enum class event_kind : std::uint8_t
{
    process_started = 0,
    leader_elected = 1,
    configuration_accepted = 2,
    configuration_refused = 3,
    job_admitted = 4,
    task_placed = 5,
    task_started = 6,
    task_stopping = 7,
    task_ended = 8,
    job_ended = 9,
    worker_registered = 10,
    worker_lost = 11,
    worker_draining = 12,
    worker_quarantined = 13,
    request_claimed = 14,
    request_sent = 15,
    request_ended = 16,
    members_changed = 17,
    hall_cordoned = 18,
    hall_uncordoned = 19,
};

/// @brief The name of an event kind.
[[nodiscard]] const char* to_string(event_kind kind);

/// @brief One event.
/// @since 0.1
struct timeline_event
{
    hybrid_stamp stamp{};
    node_id node{};
    std::uint8_t kind{};
    organisation_id organisation{}; ///< 0 for events that concern no single organisation
    job_id job{};
    worker_id worker{};
    attempt_id request{};
    std::string text{};
    MSGPACK_DEFINE(stamp, node, kind, organisation, job, worker, request, text)
};

/// @brief Selects the events to return; 0 matches all.
/// @since 0.1
struct timeline_filter
{
    organisation_id organisation{}; ///< only this organisation's events
    job_id job{};
    worker_id worker{};
    attempt_id request{};
    std::uint32_t limit = 1000;
    MSGPACK_DEFINE(organisation, job, worker, request, limit)

    [[nodiscard]] bool accepts(const timeline_event& event) const;
};

/// @brief The timeline of one process. Thread-safe.
/// @since 0.1
class timeline
{
  public:
    timeline(node_id node, std::size_t capacity);

    /// @brief Adds an event and stamps it. Complexity: constant.
    void add(timeline_event event, wall_ms now);
    /// @brief Advances the clock past the stamp of a received message, so that later events have greater
    /// stamps.
    void merge(hybrid_stamp seen, wall_ms now);
    /// @brief A stamp for a message that is about to be sent.
    [[nodiscard]] hybrid_stamp stamp(wall_ms now);
    /// @brief The most recent events that a filter accepts, oldest first. Complexity: linear in the capacity.
    [[nodiscard]] std::vector<timeline_event> find(const timeline_filter& filter) const;

  private:
    hybrid_stamp next(wall_ms now);

    mutable std::mutex m_mutex;
    node_id m_node;
    std::size_t m_capacity;
    std::uint64_t m_last = 0;
    std::deque<timeline_event> m_events;
};

} // namespace walkthread
