#pragma once

/// @file
/// @brief Jobs that wait for hosts, ordered by organisation, level and age.
/// @since 0.1

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include <walkthread/state/model.hpp>

namespace walkthread
{

/// @brief Why a job waits, as `walkthreadctl explain` prints it.
enum class wait_reason : std::uint8_t
{
    none = 0,          ///< not examined yet
    no_room = 1,       ///< no host has enough free resources
    too_large = 2,     ///< larger than every host of the hall
    quota = 3,         ///< the team's quota in this hall is used up
    held = 4,          ///< on hold after failures on several hosts
    gang_reserved = 5, ///< hosts are reserved until the whole gang fits
    preempting = 6,    ///< other tasks are being stopped for it
    behind = 7,        ///< blocked by jobs that come first in the queue order
};

/// @brief Description of a reason as a sentence.
[[nodiscard]] const char* to_string(wait_reason reason);

/// @brief Sort key of a waiting job within its level.
/// @since 0.1
struct queue_key
{
    wall_ms submitted{};
    job_id job{};
    friend auto operator<=>(const queue_key&, const queue_key&) = default;
};

/// @brief Queue entry of a job.
/// @since 0.1
struct queue_item
{
    organisation_id organisation{};
    std::uint8_t urgency{}; ///< as requested
    std::uint8_t level{};   ///< urgency raised by ageing
    wall_ms submitted{};
    wait_reason reason{};
};

/// @brief The waiting jobs of one hall.
/// @since 0.1
class job_queue
{
  public:
    static constexpr std::size_t levels = max_urgency + 1;
    using level_set = std::set<queue_key>;

    /// @brief Adds a job; has no effect if it is queued already. Complexity: logarithmic.
    void add(job_id job, queue_item item);
    /// @brief Removes a job. Complexity: logarithmic.
    void remove(job_id job);
    /// @brief Raises jobs that have waited long by one level, never to urgent. Complexity: proportional to
    /// the jobs raised.
    /// @param step waiting time per level
    void age(wall_ms now, wall_ms step);

    [[nodiscard]] bool contains(job_id job) const
    {
        return m_items.contains(job);
    }
    [[nodiscard]] queue_item* find(job_id job);
    [[nodiscard]] std::size_t size() const
    {
        return m_items.size();
    }
    /// @brief Jobs of an organisation at a level, oldest first.
    [[nodiscard]] const level_set& jobs_of(organisation_id organisation, std::size_t level);
    /// @brief Organisations that have had a job in this queue.
    [[nodiscard]] const std::vector<organisation_id>& organisations() const
    {
        return m_organisations;
    }

  private:
    std::unordered_map<job_id, queue_item> m_items;
    std::map<organisation_id, std::array<level_set, levels>> m_levels;
    std::vector<organisation_id> m_organisations;
};

} // namespace walkthread
