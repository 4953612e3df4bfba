#pragma once

/// @file
/// @brief Worker leases as tracked by the hall's leader.
///
/// A worker measures its lease from when it sent the renewal request, the leader from when it answered, and
/// both measure only durations. A lease therefore expires at the leader later than at the worker, however
/// long the answer takes. A new leader does not know which leases its predecessor granted, so it waits for
/// one whole lease duration.
/// @since 0.1

#include <set>
#include <unordered_map>
#include <vector>

#include <walkthread/units/ids.hpp>
#include <walkthread/units/time.hpp>

namespace walkthread
{

/// @brief Leases of one hall's workers.
/// @since 0.1
class lease_table
{
  public:
    /// @param lease lease duration granted to workers
    /// @param drift maximum relative clock rate error
    lease_table(duration lease, double drift);

    /// @brief Resets the table on a new leader: every worker may hold a lease granted up to now.
    void reset(const std::vector<worker_id>& workers, monotonic_time now);
    /// @brief Notes that a lease was granted or renewed. Complexity: constant.
    void granted(worker_id worker, monotonic_time now);
    /// @brief Whether a worker may be granted a lease. False while its loss is being recorded.
    [[nodiscard]] bool may_grant(worker_id worker) const;
    /// @brief Workers whose lease has newly expired. They get no lease until `forget`. Complexity: linear.
    [[nodiscard]] std::vector<worker_id> expire(monotonic_time now);
    /// @brief Removes a worker, once its loss is recorded or it has registered again.
    void forget(worker_id worker);

  private:
    duration m_expiry_delay;
    std::unordered_map<worker_id, monotonic_time> m_granted_at;
    std::set<worker_id> m_expired;
};

} // namespace walkthread
