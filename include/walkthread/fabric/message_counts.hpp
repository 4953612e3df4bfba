#pragma once

/// @file
/// @brief Counts messages between processes by kind and by the sender's role, so that an operator sees which
/// of them grow with the number of processes.
/// @since 0.6

#include <array>
#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

#include <prometheus/metric_family.h>

#include <walkthread/fabric/messages.hpp>

namespace walkthread
{

/// @brief Messages and their bytes that one process sent and received.
/// @since 0.6
class message_counts
{
  public:
    /// @brief Counts a message that is handed to a link, whether or not the link drops it.
    /// @param kind index of the alternative in `mesh_message`
    void record_sent(std::size_t kind, std::size_t bytes);
    /// @brief Counts a decoded message.
    /// @param from_replica whether the sender holds a replica, according to its greeting
    void record_received(std::size_t kind, bool from_replica, std::size_t bytes);
    /// @brief Messages of a kind received from senders of one role.
    [[nodiscard]] std::uint64_t received(std::size_t kind, bool from_replica) const;
    /// @brief The counters, for `metrics_page::add`: four families, labels `kind` and for what was received
    /// `from` (`core` or `edge`). Kinds that did not occur are left out.
    [[nodiscard]] std::vector<prometheus::MetricFamily> collect() const;

  private:
    static constexpr std::size_t kinds = std::variant_size_v<mesh_message>;
    struct count
    {
        std::uint64_t messages{};
        std::uint64_t bytes{};
    };

    std::array<count, kinds> m_sent{};
    std::array<std::array<count, 2>, kinds> m_received{}; ///< by kind, then 1 for senders with a replica
};

} // namespace walkthread
