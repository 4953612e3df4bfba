#pragma once

/// @file
/// @brief The replicated state of submissions, workers, the configuration and maintenance waves.
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
#include <walkthread/workload/hall_cordons.hpp>
#include <walkthread/workload/ready_index.hpp>
#include <walkthread/workload/state_size.hpp>
#include <walkthread/workload/worker_changes.hpp>

namespace walkthread
{

/// @brief Replicated state of one incarnation of a worker.
/// @since 0.2
struct worker_incarnation
{
    worker_incarnation_id id{};
    worker_description description;
    std::uint64_t ends_recorded_up_to{};   ///< its reported ends are recorded up to this sequence number
    std::map<run_ref, resources> occupied; ///< runs that may exist there, and the resources they use
    resources used{};                      ///< sum over `occupied`
    bool leaving{};                        ///< it announced that it leaves: no new starts there
    std::uint64_t leaving_sequence{};      ///< number of the report that set `leaving`
    std::uint64_t description_sequence{};  ///< number of the report with `description`
    /// `description` is that of the former incarnation, so nothing new starts there yet.
    bool assumed{};
    /// Former incarnation with the same id, whose runs were transferred to this one; 0 for none.
    worker_incarnation_id follows{};
    /// Last known state of its runs when it stopped answering; empty while it answers.
    std::vector<lost_run> last_known_runs;
    MSGPACK_DEFINE(id, description, ends_recorded_up_to, occupied, used, leaving, leaving_sequence,
                   description_sequence, assumed, follows, last_known_runs)
};

/// @brief Leaving state of an incarnation that was removed as unresponsive; it may return.
struct unresponsive_incarnation
{
    std::string id;
    std::uint64_t leaving_sequence{}; ///< number of the report that set `leaving`
    bool leaving{};
    process_start_ms process_start{};
    MSGPACK_DEFINE(id, leaving_sequence, leaving, process_start)
};

/// @brief Replicated state of a maintenance wave.
struct maintenance_wave
{
    std::uint64_t wave{};
    std::map<std::string, std::uint8_t> hosts; ///< maintenance_phase of each host
    wall_ms asked{};
    std::int64_t within_s{};
    std::uint32_t at_once{};
    MSGPACK_DEFINE(wave, hosts, asked, within_s, at_once)

    /// @brief Whether maintenance of every host has finished. Complexity: linear in the hosts.
    [[nodiscard]] bool complete() const;
};

/// @brief The state machine of the workload group.
/// @since 0.2
class workload_state
{
  public:
    /// @brief Applies one command.
    /// @param at the leader's wall time when it proposed the command
    workload_result apply(wall_ms at, const workload_command& command);

    /// @brief Serialises the state. Complexity: linear in the content.
    [[nodiscard]] std::string save() const;
    /// @brief Replaces the state by a saved one. @return whether the bytes could be decoded
    bool load(const std::string& bytes);

    [[nodiscard]] const std::optional<cluster_configuration>& current_configuration() const
    {
        return m_configuration;
    }
    /// @brief The API keys of the current configuration.
    [[nodiscard]] const api_key_index& keys() const
    {
        return m_keys;
    }
    /// @brief Usage and limits of the organisations.
    [[nodiscard]] const quota_usage& quotas() const
    {
        return m_quotas;
    }
    /// @brief A queue of the current configuration, or null. Complexity: constant.
    [[nodiscard]] const queue_spec* find_queue(const std::string& name) const;
    /// @brief The configured queue with this route, or null. Complexity: constant.
    [[nodiscard]] const queue_spec* find_route(const std::string& route) const;
    /// @brief The queue of a submission as it is configured: the one with its route, whatever its name, or
    /// with the route that its own was changed to. Null if there is none. Complexity: constant.
    [[nodiscard]] const queue_spec* configured_queue_of(const submission& owner) const;
    /// @brief The queue of a submission as it is configured, or as it was last if it is no longer. Null if it
    /// was removed and no submission of it is unfinished, or if the snapshot of a release before 0.9 lacks
    /// it. Complexity: logarithmic in the removed queues.
    [[nodiscard]] const queue_spec* queue_of(const submission& owner) const;
    /// @brief The pool whose workers run what still waits of a submission: that of its queue.
    /// Complexity: constant.
    [[nodiscard]] const std::string& pool_of(const submission& owner) const;
    /// @brief A submission, or null.
    [[nodiscard]] const submission* find(submission_id id) const;
    [[nodiscard]] const std::unordered_map<submission_id, submission>& submissions() const
    {
        return m_submissions;
    }
    /// @brief An incarnation of a worker, or null.
    [[nodiscard]] const worker_incarnation* find(worker_incarnation_id id) const;
    [[nodiscard]] const worker_incarnation* find_incarnation(const worker_incarnation_ref& incarnation) const;
    /// @brief Whether an incarnation was replaced by another one on its host or under its id. It is not added
    /// again, also if its process still runs. Complexity: linear in the ended incarnations that are kept, at
    /// most 1,000. @since 0.6
    [[nodiscard]] bool has_ended(const worker_incarnation_ref& incarnation) const;
    /// @brief The incarnation that was added last with this worker id, or null.
    [[nodiscard]] const worker_incarnation* find_id(const std::string& id) const;
    /// @brief The current incarnation on a host, or null.
    [[nodiscard]] const worker_incarnation* find_host(const std::string& host) const;
    [[nodiscard]] const std::map<worker_incarnation_id, worker_incarnation>& workers() const
    {
        return m_workers;
    }
    /// @brief Increases whenever an incarnation is added or removed or its description changes.
    [[nodiscard]] std::uint64_t workers_version() const
    {
        return m_worker_changes.version();
    }
    /// @brief Which incarnations those changes concern. @since 0.6
    [[nodiscard]] const worker_change_log& worker_changes() const
    {
        return m_worker_changes;
    }
    /// @brief Moves steps whose round is due into the index of ready steps; the replicated content stays.
    /// Complexity: logarithmic for each step that is moved, constant if none is.
    void release_due(wall_ms now) const;
    /// @brief When the next round becomes due that is not ready yet; no value if none lies ahead.
    [[nodiscard]] std::optional<wall_ms> next_due() const;
    /// @brief Memory that the state takes up, in bytes. Complexity: constant.
    [[nodiscard]] std::uint64_t bytes() const;
    /// @brief Steps with waiting tasks whose dependencies have completed and whose round was due at the last
    /// `release_due`, not ordered by urgency. Of the rounds of one submission that have not begun, the first
    /// `max_ready_rounds` can be ready.
    [[nodiscard]] const ready_index& ready() const
    {
        return m_ready;
    }
    /// @brief Final submissions whose runs may still exist.
    [[nodiscard]] const std::set<submission_id>& closing() const
    {
        return m_closing;
    }
    /// @brief Final submissions, the first to be removed first.
    [[nodiscard]] const std::set<std::pair<wall_ms, submission_id>>& ended() const
    {
        return m_ended;
    }
    [[nodiscard]] const std::map<std::uint64_t, maintenance_wave>& waves() const
    {
        return m_waves;
    }
    /// @brief Halls in which nothing new starts.
    [[nodiscard]] const hall_cordons& cordons() const
    {
        return m_cordons;
    }
    /// @brief Evidence on tasks that may crash the hosts they run on.
    [[nodiscard]] const crash_evidence_table& crashes() const
    {
        return m_crashes;
    }
    /// @brief Number of submissions of a queue that have not started any task.
    [[nodiscard]] std::uint32_t queued(const std::string& queue) const;
    /// @brief Number of submissions of the queue with this route that are not final, configured or not.
    [[nodiscard]] std::uint32_t unfinished(const std::string& route) const;
    /// @brief The present route of a submission's queue.
    [[nodiscard]] const std::string& route_of(const submission& owner) const;
    /// @brief Whether a run is the active run of its task and its submission is not final.
    [[nodiscard]] bool needs_run(const run_ref& run) const;
    /// @brief The state of a task; null if there is none, also once its submission is final and has no active
    /// runs.
    [[nodiscard]] const work_task* find(const task_ref& ref) const;
    /// @brief A step as submitted; null in the same cases as for a task.
    [[nodiscard]] const step_spec* find(const step_ref& ref) const;

  private:
    workload_result handle(wall_ms at, const replace_cluster_configuration& command);
    workload_result handle(wall_ms at, const accept_submission& command);
    workload_result handle(wall_ms at, const cancel_submission& command);
    workload_result handle(wall_ms at, const admit_worker& command);
    workload_result handle(wall_ms at, const drop_worker& command);
    workload_result handle(wall_ms at, const mark_leaving& command);
    workload_result handle(wall_ms at, const record_last_known_runs& command);
    workload_result handle(wall_ms at, const record_starts& command);
    workload_result handle(wall_ms at, const record_ends& command);
    workload_result handle(wall_ms at, const forget_submissions& command);
    workload_result handle(wall_ms at, const begin_wave& command);
    workload_result handle(wall_ms at, const advance_maintenance& command);
    workload_result handle(wall_ms at, const set_hall_cordon& command);

    bool start(const planned_start& planned);
    [[nodiscard]] bool can_start(const planned_start& planned) const;
    void start_all_or_none(const record_starts& command);
    void apply_end(wall_ms at, worker_incarnation& worker, const observed_end& end);
    void complete_task(wall_ms at, submission& owner, const task_ref& ref);
    void complete_gang(wall_ms at, submission& owner, const run_ref& run);
    void fail_task(wall_ms at, submission& owner, const run_ref& run, worker_incarnation_id worker);
    void release(worker_incarnation& worker, const run_ref& run);
    void begin_rounds(submission& owner, round_id last);
    void drop(wall_ms at, worker_incarnation_id id, const std::vector<lost_run>& lost);
    void add_crash_evidence(wall_ms at, const std::string& host, const std::vector<lost_run>& lost);
    [[nodiscard]] bool may_be_given_up(const run_ref& run) const;
    [[nodiscard]] bool in_maintenance(const std::string& host) const;
    void finish_maintenance(const std::string& host);
    void mark_former(const worker_incarnation_ref& incarnation);
    void add_incarnation(const admit_worker& command);
    void transfer_runs(wall_ms at, const admit_worker& command, worker_incarnation_id former);
    void save_leaving_state(const worker_incarnation& worker);
    void restore_leaving_state(worker_incarnation& worker);
    void finish(wall_ms at, submission& owner, submission_phase phase);
    void drop_details(submission& owner);
    void charge(submission& owner);
    void set_phase(submission& owner, submission_phase phase);
    [[nodiscard]] bool goes_first(const submission& owner, const step_spec& step) const;
    void set_ready(const submission& owner, const step_ref& ref, bool ready) const;
    void refresh_ready(const submission& owner, round_id round, std::uint32_t step) const;
    void refresh_round(const submission& owner, round_id round) const;
    void index_next_rounds(const submission& owner) const;
    void index_submission(submission& owner);
    void read_snapshot(class value_reader& in);
    void read_submission(submission owner);
    void complete_routes();
    void rebuild_indexes();
    void follow_routes(const cluster_configuration& next);
    void keep_removed_queues(const cluster_configuration& next);
    void count_submission(const submission& owner);
    void recount_submissions();
    void index_configuration();
    void rebuild_ready_groups();
    [[nodiscard]] step_requirement requirement_of(const submission& owner, const step_spec& step) const;
    [[nodiscard]] worker_incarnation_id find_worker_for(const step_requirement& needs) const;
    void index_worker(worker_incarnation_id id);
    void unindex_worker(worker_incarnation_id id);
    void index_usage();
    static task_table* tasks_of(submission& owner, const step_ref& ref);

    std::optional<cluster_configuration> m_configuration;
    std::unordered_map<submission_id, submission> m_submissions;
    std::map<worker_incarnation_id, worker_incarnation> m_workers;
    std::map<std::uint64_t, maintenance_wave> m_waves;
    std::uint32_t m_next_incarnation = 1;
    std::vector<worker_incarnation_ref>
        m_former; ///< ended incarnations, oldest first: late reports of them are rejected
    std::vector<unresponsive_incarnation>
        m_unresponsive; ///< removed incarnations with a leaving state, oldest first
    crash_evidence_table m_crashes;
    quota_usage m_quotas;
    hall_cordons m_cordons;
    /// Queues, by route, that were removed while submissions of them were unfinished: these need the settings
    /// until they end.
    std::map<std::string, queue_spec> m_removed_queues;
    /// The present routes of queues whose route was changed, by the former ones.
    std::map<std::string, std::string> m_moved_routes;

    // Indexes derived from the above; not saved.
    api_key_index m_keys;
    worker_change_log m_worker_changes;
    std::vector<submission_id> m_ended_by_command; ///< submissions ended by the command that is being applied
    std::unordered_map<std::string, std::size_t>
        m_queue_positions; ///< positions in the configuration, by name
    std::unordered_map<std::string, std::size_t> m_route_positions; ///< the same by route
    std::map<worker_incarnation_ref, worker_incarnation_id> m_by_incarnation;
    std::map<std::string, worker_incarnation_id> m_by_host;
    // What is due follows from the time as well, so these change without a command, see `release_due`.
    mutable ready_index m_ready;
    /// Submissions whose next round lies ahead, by when it is due.
    mutable std::set<std::pair<wall_ms, submission_id>> m_scheduled;
    mutable wall_ms m_released_up_to{};
    std::uint64_t m_submission_bytes = 0; ///< sum of `charged_bytes`
    std::uint64_t m_configuration_bytes = 0;
    std::set<submission_id> m_closing;
    std::set<std::pair<wall_ms, submission_id>> m_ended;
    std::map<std::string, std::uint32_t> m_queued;     ///< by present route
    std::map<std::string, std::uint32_t> m_unfinished; ///< by present route; no entry for 0
};

/// @brief Resources that a task of a step reserves on its host: best-effort (`fills`) tasks reserve no
/// processors.
[[nodiscard]] resources host_demand_of(const step_spec& step);

} // namespace walkthread
