#pragma once

/// @file
/// @brief Decides which waiting task starts on which host of a hall, and which tasks are preempted for it.
///
/// Order: urgent jobs first, then the organisation furthest below its share, then level and age. Services are
/// spread over racks, batch tasks are packed, and all tasks of a gang start together or none does. The
/// scheduler only proposes: the hall's state checks each placement again when it is applied.
/// @since 0.1

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

#include <walkthread/policy/fair_share.hpp>
#include <walkthread/policy/host_pool.hpp>
#include <walkthread/policy/job_queue.hpp>
#include <walkthread/state/hall.hpp>

namespace walkthread
{

/// @brief Selects a host for one task of a batch job or a gang.
using host_choice = std::function<std::optional<host_slot>(host_pool&, const resources&)>;

/// @brief Tuning parameters, and switches that disable a mechanism to measure its effect.
/// @since 0.1
struct scheduler_settings
{
    bool by_urgency = true;        ///< off: urgency is ignored
    bool fair = true;              ///< off: shares of organisations are ignored
    bool skip_blocked = true;      ///< off: the first job that does not fit blocks all jobs after it
    bool spread_services = true;   ///< off: services are packed like batch tasks
    bool reserve_for_gangs = true; ///< off: a gang waits until enough hosts happen to be free
    bool backfill = true;          ///< off: hosts reserved for a gang stay idle
    bool learn_run_times = true;   ///< off: declared run times are used
    bool preempt = true;           ///< off: no tasks are stopped for other work
    bool reclaim = true;           ///< off: no tasks are stopped for an organisation below its share
    wall_ms ageing_step = 300'000; ///< waiting time that raises a job by one level, never to urgent
    wall_ms reclaim_after =
        30'000;              ///< waiting time after which an organisation below its share reclaims resources
    host_choice choose_host; ///< empty for best fit
    std::map<organisation_id, double> weights; ///< weight of each organisation; 1 where missing
    std::map<team_id, resources> grants;       ///< quota of each team in this hall; unlimited where missing
};

/// @brief Settings of the baseline policy: first fit, in order of submission.
[[nodiscard]] scheduler_settings first_fit_fifo();

/// @brief Result of a planning pass, to be proposed to the hall's group.
/// @since 0.1
struct schedule
{
    std::vector<placement> placements;
    std::vector<stop_request> stops;
    [[nodiscard]] bool empty() const
    {
        return placements.empty() && stops.empty();
    }
};

/// @brief Counters of the scheduler's work, for cost limits that are independent of the machine's speed.
/// @since 0.1
struct scheduler_counters
{
    std::uint64_t placements = 0;
    std::uint64_t preemptions = 0;
    std::uint64_t jobs_examined = 0;
    std::uint64_t plans = 0;
};

/// @brief The scheduler of one hall. Runs on the hall's leader and can be rebuilt from the state at any time.
/// @since 0.1
class scheduler
{
  public:
    explicit scheduler(scheduler_settings settings, std::uint64_t seed = 1);

    /// @brief Rebuilds the scheduler from the whole state, after becoming leader. Complexity: linear in the
    /// state.
    void reset(const hall_state& state);
    /// @brief Applies changes of the state. Complexity: logarithmic for each change.
    void take(const hall_changes& changes, const hall_state& state);
    /// @brief Plans placements and preemptions. The plan must be applied, or the scheduler reset, before the
    /// next call.
    /// @param now wall time of the same clock as the times of log entries
    /// @param limit maximum placements in the plan
    [[nodiscard]] schedule plan(const hall_state& state, wall_ms now, std::size_t limit);

    /// @brief Replaces the quotas of the teams after a change of configuration.
    void set_grants(std::map<team_id, resources> grants);
    /// @brief Why a job waits; no value if it is not queued.
    [[nodiscard]] std::optional<wait_reason> reason_of(job_id job);
    /// @brief Number of waiting jobs.
    [[nodiscard]] std::size_t waiting() const
    {
        return m_queue.size();
    }
    [[nodiscard]] const scheduler_counters& counters() const
    {
        return m_counters;
    }
    [[nodiscard]] std::uint64_t hosts_examined() const
    {
        return m_pool.examined();
    }
    /// @brief Whether a task of this size fits within the largest host size in each dimension.
    [[nodiscard]] bool could_ever_run(const resources& size) const;

  private:
    struct reservation
    {
        job_id job{};
        std::vector<host_slot> hosts;
        wall_ms start{}; ///< expected start of the gang
    };
    struct cursor
    {
        organisation_id organisation{};
        std::size_t level{};
        job_queue::level_set::const_iterator next{};
        bool at_end{};
    };
    struct plan_state
    {
        const hall_state& state;
        wall_ms now{};
        std::size_t limit{};
        schedule out;
        std::map<organisation_id, resources> used;
        std::map<team_id, resources> team_used;
        std::map<organisation_id, resources> stopped;         ///< sizes of the victims in this plan
        std::unordered_map<job_id, std::uint32_t> next_index; ///< first task not examined yet
        std::uint32_t preemption_tries{};
    };

    void sync_job(job_id id, const hall_state& state);
    [[nodiscard]] std::vector<cursor> make_cursors();
    void advance_to_waiting_job(cursor& c);
    [[nodiscard]] cursor* choose(std::vector<cursor>& cursors, const plan_state& p);
    wait_reason try_job(const hall_job& job, plan_state& p);

    // Placement, in scheduler_place.cpp.
    struct spread_counts
    {
        std::map<rack_id, std::uint32_t> racks;
        std::map<host_slot, std::uint32_t> hosts;
    };
    [[nodiscard]] std::vector<host_slot> exclude_failed_hosts(const hall_job& job);
    wait_reason place_job(const hall_job& job, plan_state& p);
    wait_reason place_independent_tasks(const hall_job& job, plan_state& p);
    wait_reason place_gang(const hall_job& job, plan_state& p);
    [[nodiscard]] std::optional<host_slot> choose_batch(const hall_job& job, const plan_state& p);
    [[nodiscard]] std::optional<host_slot> choose_spread(const hall_job& job, spread_counts& used);
    [[nodiscard]] std::optional<host_slot> choose_reserved(const resources& need, wall_ms ends,
                                                           const job_id& job);
    void commit(const hall_job& job, std::uint32_t index, host_slot slot, plan_state& p);
    void reserve_for(const hall_job& job, const plan_state& p);
    void drop_reservation();
    [[nodiscard]] std::vector<wall_ms> expected_fit_times(host_slot slot, const resources& need,
                                                          const plan_state& p) const;
    [[nodiscard]] wall_ms predicted_end(const task_id& id, const plan_state& p) const;
    [[nodiscard]] std::optional<std::uint32_t> next_pending(const hall_job& job, plan_state& p) const;
    [[nodiscard]] std::int64_t predicted_ms(const job_spec& spec, const hall_state& state) const;

    // Preemption, in scheduler_preempt.cpp.
    struct victim_set
    {
        std::vector<stop_request> orders;
        resources freed{};
        std::int64_t lost_work{}; ///< milliseconds times millicores
    };
    struct preemption_attempt
    {
        wall_ms next_try{};
        bool found{};
    };
    bool preempt_for(const hall_job& job, plan_state& p);
    bool find_victims(const hall_job& job, plan_state& p);
    [[nodiscard]] std::optional<victim_set> victims_on(host_slot slot, const hall_job& job,
                                                       const plan_state& p) const;
    [[nodiscard]] bool may_preempt(const hall_job& job, const plan_state& p) const;
    [[nodiscard]] bool is_victim(const hall_job& victim, const task_record& task, const hall_job& job,
                                 const plan_state& p, const resources& already) const;

    [[nodiscard]] double guarantee_of(organisation_id organisation) const;
    [[nodiscard]] double share_of(organisation_id organisation, const plan_state& p) const;
    [[nodiscard]] resources used_by(organisation_id organisation, const plan_state& p) const;
    [[nodiscard]] bool within_grant(const hall_job& job, const plan_state& p) const;
    /// Task sizes for which no host was found since resources were last freed.
    class blocked_sizes
    {
      public:
        [[nodiscard]] bool covers(const resources& need) const;
        void add(const resources& need);
        void clear()
        {
            m_sizes.clear();
        }

      private:
        std::vector<resources> m_sizes;
    };
    void forget_blocked();

    scheduler_settings m_settings;
    fair_share<organisation_id> m_shares;
    std::mt19937_64 m_random;
    host_pool m_pool;
    job_queue m_queue;
    blocked_sizes m_blocked;          ///< among all hosts
    blocked_sizes m_reserved_blocked; ///< among the hosts reserved for a gang
    wall_ms m_next_reclaim = 0; ///< earliest time of the next search for tasks to stop to reclaim a share
    std::optional<reservation> m_reservation;
    std::unordered_map<job_id, preemption_attempt> m_preempting;
    std::size_t m_rack_cursor = 0;
    resources m_largest{};
    scheduler_counters m_counters;
};

} // namespace walkthread
