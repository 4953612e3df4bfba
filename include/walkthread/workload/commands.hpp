#pragma once

/// @file
/// @brief Replicated commands of the workload group and their results.
/// @since 0.2

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <walkthread/units/result.hpp>
#include <walkthread/workload/catalogue.hpp>
#include <walkthread/workload/crash_ledger.hpp>
#include <walkthread/workload/life.hpp>
#include <walkthread/workload/submission.hpp>

namespace walkthread
{

/// @brief Errors of the workload layer.
enum class workload_code
{
    unknown_queue = 420,      ///< no queue has this host and path
    unknown_submission = 421, ///< no submission of this id in this queue
    bad_submission = 422,     ///< a field is out of range, or a dependency is not an earlier step
    bad_catalogue = 423,      ///< the configuration cannot be read whole or contradicts itself
    too_many = 424,           ///< more submissions wait than are kept
    id_in_use = 425,          ///< another queue's or organisation's submission has this id
    bad_wave = 426,           ///< a wave of upkeep names no host or no limit
    former_worker = 427,      ///< this worker's life is over; a late report changes nothing
    no_key = 428,             ///< the queue wants a key of an organisation
    unknown_key = 429,        ///< no organisation holds this key
};
using workload_error = layer_error<workload_code>;

/// @brief Replaces the configuration if its version is above the held one.
struct replace_catalogue
{
    catalogue next;
    MSGPACK_DEFINE(next)
};

/// @brief Keeps a submission; the same id again changes nothing.
struct keep_submission
{
    submission_id id{};
    std::string queue;
    submission_spec spec;
    std::string organisation; ///< whose it is; empty for nobody's
    MSGPACK_DEFINE(id, queue, spec, organisation)
};

/// @brief Ends a submission at its caller's wish.
struct cancel_submission
{
    submission_id id{};
    std::string queue;
    MSGPACK_DEFINE(id, queue)
};

/// @brief What a worker says of itself when it is first heard.
/// @since 0.2
struct worker_facts
{
    std::string id;      ///< the worker's own; a later life of it may have the same
    std::string host;    ///< the host's name
    std::string address; ///< IP number and port
    std::string pool;
    std::string hall;
    std::vector<std::string> labels;
    resources size{};
    birth_ms born{};
    friend bool operator==(const worker_facts&, const worker_facts&) = default;
    MSGPACK_DEFINE(id, host, address, pool, hall, labels, size, born)

    [[nodiscard]] life_ref life() const
    {
        return {id, born};
    }
};

/// @brief Numbers a worker's life. For a life that is known already, facts of an older report change nothing.
///
/// An older life of the same host is over. If it had another id, its runs end as lapsed: orders for it are
/// refused from now on. If it had the same id, orders for it may have been carried out by the new life, or
/// may be yet, so its runs are carried over: each may exist there until that is ruled out.
struct admit_worker
{
    worker_facts facts;
    std::uint64_t sequence{};     ///< of the report
    bool assumed{};               ///< facts of the former life: this one answers, but has not reported yet
    std::vector<lost_run> lost{}; ///< what ended with the former life of the same id
    MSGPACK_DEFINE(facts, sequence, assumed, lost)
};

/// @brief Drops a worker's life: it left, or its lease is surely over. Its runs end as lapsed.
struct drop_worker
{
    worker_life_id worker{};
    bool for_good{}; ///< it has ended; otherwise it may report again and then counts as another life
    std::vector<lost_run> lost{}; ///< what it ran, unless it left as it had said: then nothing is to blame
    MSGPACK_DEFINE(worker, for_good, lost)
};

/// @brief A worker said that it is about to leave, or that it stays after all. Of two, the one with the
/// higher sequence counts.
struct mark_leaving
{
    worker_life_id worker{};
    std::uint64_t sequence{}; ///< of the report
    bool leaving{};
    MSGPACK_DEFINE(worker, sequence, leaving)
};

/// @brief What the leader knew of a worker's runs when the worker stopped answering; nothing once it answers
/// again. The next leader does not know by itself which runs had begun there, and when.
struct note_last_word
{
    worker_life_id worker{};
    std::vector<lost_run> runs;
    MSGPACK_DEFINE(worker, runs)
};

/// @brief One start to be made.
struct planned_start
{
    task_ref task{};
    std::uint32_t run{};
    worker_life_id worker{};
    MSGPACK_DEFINE(task, run, worker)
};

/// @brief Records starts before their orders are sent. A gang's starts stand in one command.
struct record_starts
{
    std::vector<planned_start> starts;
    MSGPACK_DEFINE(starts)
};

/// @brief One run's end.
struct observed_end
{
    run_ref run{};
    std::uint8_t how{}; ///< a run_end
    std::string checkpoint;
    MSGPACK_DEFINE(run, how, checkpoint)
};

/// @brief Ends that one worker listed, and up to which of its numbers.
struct record_ends
{
    worker_life_id worker{};
    std::uint64_t listed_up_to{}; ///< 0 for ends that the worker did not list
    std::vector<observed_end> ends;
    MSGPACK_DEFINE(worker, listed_up_to, ends)
};

/// @brief Forgets final submissions.
struct forget_submissions
{
    std::vector<submission_id> ids;
    MSGPACK_DEFINE(ids)
};

/// @brief A wave of upkeep: each host once, at most `at_once` at a time.
struct begin_wave
{
    std::uint64_t wave{};
    std::vector<std::string> hosts;
    std::int64_t within_s{};
    std::uint32_t at_once{};
    MSGPACK_DEFINE(wave, hosts, within_s, at_once)
};

/// @brief How far a host of a wave is.
enum class upkeep_phase : std::uint8_t
{
    waiting,
    ordered,   ///< the order may have been sent
    under_way, ///< the platform took the order
    finished,
};

/// @brief Moves a host of a wave on.
struct advance_upkeep
{
    std::uint64_t wave{};
    std::string host;
    std::uint8_t phase{}; ///< an upkeep_phase
    MSGPACK_DEFINE(wave, host, phase)
};

using workload_command = std::variant<replace_catalogue, keep_submission, cancel_submission, admit_worker,
                                      drop_worker, record_starts, record_ends, forget_submissions, begin_wave,
                                      advance_upkeep, mark_leaving, note_last_word>;

/// @brief What applying a command gave: 0, or a workload_code.
struct workload_result
{
    std::int32_t code{};
    std::string detail;
    MSGPACK_DEFINE(code, detail)
};

/// @brief What is wrong with a submission; empty if nothing is.
[[nodiscard]] std::string find_fault(const submission_spec& spec);

} // namespace walkthread
