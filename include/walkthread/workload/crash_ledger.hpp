#pragma once

/// @file
/// @brief Which tasks take down the hosts that they run on: evidence from each crash, and the verdict.
///
/// Replicated, as a part of `workload_state`. A host that crashes runs several tasks, of which one is at
/// fault at most: each gets a share of the blame, by what the leader knew of it. A loss counts once the host
/// is surely known to have crashed, that is when another life of a worker answers there; a host that is only
/// unheard may be cut off.
/// @since 0.4

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <walkthread/workload/life.hpp>
#include <walkthread/workload/submission.hpp>

namespace walkthread
{

/// @brief Shares of the blame for one crash. A task whose shares come to `conviction` is given up, once
/// enough hosts have surely crashed under it.
namespace blame
{
inline constexpr std::uint32_t conviction = 30;
/// Nothing but its submission had just begun there: enough twice.
inline constexpr std::uint32_t sole = 22;
/// It was of one of two submissions that had just begun there. Three times are not enough: the fourth run is
/// by itself, which tells.
inline constexpr std::uint32_t shared = 9;
/// More of them had, or it was the only run there. From this on it is started apart, so that a second crash
/// tells more.
inline constexpr std::uint32_t crowd = 8;
/// It stood beside: five crashes. The platform allows two starts after the third crash, so no share is
/// smaller.
inline constexpr std::uint32_t least = 6;
/// Crashes of runs that are known to have begun: the platform allows to give up no task before. With so few
/// it must have been the sole one each time: beside another submission, that one may be at fault.
inline constexpr std::uint32_t least_crashes = 2;
} // namespace blame

/// @brief A run that was lost with its host.
struct lost_run
{
    run_ref run{};
    bool began{};           ///< it surely did
    std::uint32_t blame{};  ///< its share, if the host has crashed
    std::string checkpoint; ///< the newest known; empty for none
    bool over{};            ///< it had ended by then, so that nothing is held against it
    MSGPACK_DEFINE(run, began, blame, checkpoint, over)
};

/// @brief What there is against a task.
struct suspicion
{
    std::uint32_t crashes{};              ///< hosts that crashed while it surely ran there
    std::uint32_t unclear{};              ///< hosts that crashed when it may have begun there
    std::uint32_t blame{};                ///< the sum of its shares in `crashes`
    std::uint32_t unproven{};             ///< losses with hosts that may have crashed or be cut off
    std::vector<std::uint32_t> charged{}; ///< runs that a crash was counted for
    MSGPACK_DEFINE(crashes, unclear, blame, unproven, charged)

    /// @brief Hosts that were lost with a run of it, whatever became of them.
    [[nodiscard]] std::uint32_t losses() const
    {
        return crashes + unclear + unproven;
    }
    /// @brief Whether that is enough to give the task up.
    [[nodiscard]] bool convicts() const
    {
        return crashes > blame::least_crashes
                   ? blame >= blame::conviction
                   : crashes == blame::least_crashes && blame >= blame::least_crashes * blame::sole;
    }
};

/// @brief A task that was given up.
struct verdict
{
    task_ref task{};
    suspicion against;
    std::string last_host; ///< the last that crashed
    MSGPACK_DEFINE(task, against, last_host)
};

/// @brief Evidence against tasks and what came of it. Deterministic; belongs to one `workload_state`.
/// @since 0.4
class crash_ledger
{
  public:
    /// @brief A life on a host went unheard for longer than its lease: it has crashed or is cut off.
    /// Complexity: linear in the lives kept, which are bounded.
    void note_unheard(const std::string& host, const life_ref& life, std::vector<lost_run> lost);
    /// @brief A life answers on a host. @return what an unheard life was running there, if it surely crashed
    [[nodiscard]] std::vector<lost_run> take_crashed(const std::string& host, const life_ref& life);
    /// @brief Counts one run's share, once for each run: leaders that follow each other may tell of the same
    /// loss. An order to a host that was down by then looks like one that crashed it before it answered, so
    /// runs that may never have begun have no share. @return whether that convicts its task
    bool accuse(const lost_run& lost, const std::string& host);
    /// @brief Nothing is held against these any more. Complexity: logarithmic in the suspects.
    void clear(const task_ref& task);
    void clear(submission_id id);

    /// @brief What there is against a task, or null.
    [[nodiscard]] const suspicion* find(const task_ref& task) const;
    [[nodiscard]] const std::map<task_ref, suspicion>& suspects() const
    {
        return m_suspects;
    }
    /// @brief The last tasks that were given up, oldest first.
    [[nodiscard]] const std::vector<verdict>& verdicts() const
    {
        return m_verdicts;
    }
    /// @brief How many there ever were.
    [[nodiscard]] std::uint64_t verdict_count() const
    {
        return m_verdict_count;
    }

  private:
    struct unheard_host
    {
        std::string host;
        std::string id;
        std::vector<lost_run> lost;
        birth_ms born{};
        MSGPACK_DEFINE(host, id, lost, born)
    };

    void forget(const unheard_host& host);

    std::map<task_ref, suspicion> m_suspects;
    std::vector<unheard_host> m_unheard; ///< oldest first
    std::vector<verdict> m_verdicts;
    std::uint64_t m_verdict_count{};

  public:
    MSGPACK_DEFINE(m_suspects, m_unheard, m_verdicts, m_verdict_count)
};

} // namespace walkthread
