#pragma once

/// @file
/// @brief Which queues the operators have sent to another pool.
/// @since 0.9

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <walkthread/workload/cluster_configuration.hpp>

namespace walkthread
{

/// @brief A queue whose pool was replaced by another one.
/// @since 0.9
struct queue_move
{
    std::string route; ///< of the queue, which may have got another name as well
    std::string from;
    std::string to;
    friend bool operator==(const queue_move&, const queue_move&) = default;
};

/// @brief Compares each configuration with the pools that the queues had before.
/// @since 0.9
class queue_pools
{
  public:
    /// @brief Takes over a configuration. The first one moves nothing.
    /// @param has_work whether a queue that is no longer configured still has unfinished submissions: its
    /// pool is remembered, as the queue may come back with another one
    /// @return the queues that were moved, by route
    /// Complexity: constant for the version seen last, else linear in the queues.
    [[nodiscard]] std::vector<queue_move> update(const cluster_configuration& current,
                                                 const std::function<bool(const std::string&)>& has_work);

  private:
    std::uint64_t m_version = 0;
    std::map<std::string, std::string> m_pools; ///< by the queue's route
};

} // namespace walkthread
