#pragma once

/// @file
/// @brief The replicated state of submissions, workers, the configuration and waves of upkeep.
///
/// Deterministic: every replica that applies the same commands holds the same content.
/// @since 0.2

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <walkthread/workload/commands.hpp>

namespace walkthread
{

/// @brief A worker's life as replicated.
/// @since 0.2
struct worker_life
{
    worker_life_id id{};
    worker_facts facts;
    std::uint64_t listed_up_to{};          ///< ends that it numbered up to this are recorded
    std::map<run_ref, resources> occupied; ///< runs that may exist there, and what they take
    resources used{};                      ///< the sum of `occupied`
    bool leaving{};                        ///< it said so: nothing new goes there
    std::uint64_t leaving_sequence{};      ///< of the report that `leaving` follows
    std::uint64_t facts_sequence{};        ///< of the report that `facts` are of
    bool assumed{};           ///< `facts` are those of its former life: nothing new goes there yet
    worker_life_id follows{}; ///< the former life under the same id, whose runs it took over; 0 for none
    std::vector<lost_run> last_word; ///< its runs, as known when it stopped answering; empty while it answers
    MSGPACK_DEFINE(id, facts, listed_up_to, occupied, used, leaving, leaving_sequence, facts_sequence,
                   assumed, follows, last_word)
};

/// @brief What a life that was dropped as unheard last said about leaving; it may come back.
struct unheard_life
{
    std::string id;
    std::uint64_t leaving_sequence{}; ///< of the report that `leaving` follows
    bool leaving{};
    birth_ms born{};
    MSGPACK_DEFINE(id, leaving_sequence, leaving, born)
};

/// @brief A wave of upkeep as replicated.
struct upkeep_wave
{
    std::uint64_t wave{};
    std::map<std::string, std::uint8_t> hosts; ///< an upkeep_phase each
    wall_ms asked{};
    std::int64_t within_s{};
    std::uint32_t at_once{};
    MSGPACK_DEFINE(wave, hosts, asked, within_s, at_once)

    /// @brief Whether every host is finished. Complexity: linear in the hosts.
    [[nodiscard]] bool complete() const;
};

/// @brief The state machine of the workload group.
/// @since 0.2
class workload_state
{
  public:
    /// @brief Applies one command at the leader's wall time.
    workload_result apply(wall_ms at, const workload_command& command);

    /// @brief The content as bytes. Complexity: linear in the content.
    [[nodiscard]] std::string save() const;
    /// @brief Replaces the content. @return whether the bytes could be read
    bool load(const std::string& bytes);

    [[nodiscard]] const std::optional<catalogue>& held_catalogue() const
    {
        return m_catalogue;
    }
    /// @brief The keys of the held catalogue.
    [[nodiscard]] const key_ring& keys() const
    {
        return m_keys;
    }
    /// @brief What organisations may have running.
    [[nodiscard]] const quota_book& quotas() const
    {
        return m_quotas;
    }
    /// @brief A queue of the held catalogue, or null. Complexity: constant.
    [[nodiscard]] const queue_spec* find_queue(const std::string& name) const;
    /// @brief A submission, or null.
    [[nodiscard]] const submission* find(submission_id id) const;
    [[nodiscard]] const std::unordered_map<submission_id, submission>& submissions() const
    {
        return m_submissions;
    }
    /// @brief A worker's life, or null.
    [[nodiscard]] const worker_life* find(worker_life_id id) const;
    [[nodiscard]] const worker_life* find_life(const life_ref& life) const;
    /// @brief The life that was admitted last under an id, or null.
    [[nodiscard]] const worker_life* find_id(const std::string& id) const;
    /// @brief The life on a host, or null.
    [[nodiscard]] const worker_life* find_host(const std::string& host) const;
    [[nodiscard]] const std::map<worker_life_id, worker_life>& workers() const
    {
        return m_workers;
    }
    /// @brief Rises whenever a worker's life is admitted or dropped.
    [[nodiscard]] std::uint64_t workers_version() const
    {
        return m_workers_version;
    }
    /// @brief Steps with waiting tasks whose dependencies are done, in no order of urgency.
    [[nodiscard]] const std::set<step_ref>& ready() const
    {
        return m_ready;
    }
    /// @brief Final submissions of which runs may still exist.
    [[nodiscard]] const std::set<submission_id>& closing() const
    {
        return m_closing;
    }
    /// @brief Final submissions, oldest first, for forgetting.
    [[nodiscard]] const std::set<std::pair<wall_ms, submission_id>>& ended() const
    {
        return m_ended;
    }
    [[nodiscard]] const std::map<std::uint64_t, upkeep_wave>& waves() const
    {
        return m_waves;
    }
    /// @brief Tasks that may take down the hosts that they run on.
    [[nodiscard]] const crash_ledger& crashes() const
    {
        return m_crashes;
    }
    /// @brief Submissions of a queue none of whose tasks was started.
    [[nodiscard]] std::uint32_t queued(const std::string& queue) const;
    /// @brief Whether a run is still the one that its task needs.
    [[nodiscard]] bool wants(const run_ref& run) const;
    /// @brief A task's record; null where there is none, also once its submission is over and nothing of it
    /// runs.
    [[nodiscard]] const work_task* find(const task_ref& ref) const;
    /// @brief A step as submitted; null as above.
    [[nodiscard]] const step_spec* find(const step_ref& ref) const;

  private:
    struct image
    {
        std::optional<catalogue> held;
        std::vector<submission> submissions;
        std::vector<worker_life> workers;
        std::vector<upkeep_wave> waves;
        std::uint32_t next_worker{};
        std::vector<std::string> former_ids; ///< of snapshots that know no births
        std::vector<unheard_life> unheard;
        crash_ledger crashes;
        std::vector<life_ref> former;
        quota_book quotas;
        MSGPACK_DEFINE(held, submissions, workers, waves, next_worker, former_ids, unheard, crashes, former,
                       quotas)
    };

    workload_result handle(wall_ms at, const replace_catalogue& command);
    workload_result handle(wall_ms at, const keep_submission& command);
    workload_result handle(wall_ms at, const cancel_submission& command);
    workload_result handle(wall_ms at, const admit_worker& command);
    workload_result handle(wall_ms at, const drop_worker& command);
    workload_result handle(wall_ms at, const mark_leaving& command);
    workload_result handle(wall_ms at, const note_last_word& command);
    workload_result handle(wall_ms at, const record_starts& command);
    workload_result handle(wall_ms at, const record_ends& command);
    workload_result handle(wall_ms at, const forget_submissions& command);
    workload_result handle(wall_ms at, const begin_wave& command);
    workload_result handle(wall_ms at, const advance_upkeep& command);

    bool start(const planned_start& planned);
    [[nodiscard]] bool can_start(const planned_start& planned) const;
    void start_all_or_none(const record_starts& command);
    void take_end(wall_ms at, worker_life& worker, const observed_end& end);
    void complete_task(wall_ms at, submission& owner, const task_ref& ref);
    void complete_gang(wall_ms at, submission& owner, const run_ref& run);
    void fail_task(wall_ms at, submission& owner, const run_ref& run, worker_life_id worker);
    void release(worker_life& worker, const run_ref& run);
    void drop(wall_ms at, worker_life_id id, const std::vector<lost_run>& lost);
    void accuse(wall_ms at, const std::string& host, const std::vector<lost_run>& lost);
    [[nodiscard]] bool may_be_given_up(const run_ref& run) const;
    [[nodiscard]] bool in_upkeep(const std::string& host) const;
    void finish_upkeep(const std::string& host);
    void retire(const life_ref& life);
    void number_life(const admit_worker& command);
    void carry_over(wall_ms at, const admit_worker& command, worker_life_id former);
    void remember_unheard(const worker_life& worker);
    void recall_unheard(worker_life& worker);
    void finish(wall_ms at, submission& owner, submission_phase phase);
    static void drop_details(submission& owner);
    void set_phase(submission& owner, submission_phase phase);
    void refresh_ready(const submission& owner, round_id round, std::uint32_t step);
    void refresh_round(const submission& owner, round_id round);
    void rebuild_indexes();
    void index_catalogue();
    void index_usage();
    work_task* task_of(const task_ref& ref);

    std::optional<catalogue> m_catalogue;
    std::unordered_map<submission_id, submission> m_submissions;
    std::map<worker_life_id, worker_life> m_workers;
    std::map<std::uint64_t, upkeep_wave> m_waves;
    std::uint32_t m_next_worker = 1;
    std::vector<life_ref>
        m_former; ///< lives that are surely over, oldest first: a late report brings none back
    std::vector<unheard_life> m_unheard; ///< dropped ones that said whether they leave, oldest first
    crash_ledger m_crashes;
    quota_book m_quotas;

    // Indexes over the above; not saved.
    key_ring m_keys;
    std::uint64_t m_workers_version = 1;
    std::vector<submission_id> m_over; ///< ended by the command that is being applied
    std::unordered_map<std::string, std::size_t> m_queue_places; ///< in the catalogue, by name
    std::map<life_ref, worker_life_id> m_by_life;
    std::map<std::string, worker_life_id> m_by_host;
    std::set<step_ref> m_ready;
    std::set<submission_id> m_closing;
    std::set<std::pair<wall_ms, submission_id>> m_ended;
    std::map<std::string, std::uint32_t> m_queued;
};

/// @brief What a task of a step takes from its host: filling tasks take no processors.
[[nodiscard]] resources room_of(const step_spec& step);

} // namespace walkthread
