#pragma once

/// @file
/// @brief Orders to workers, queries to the placement advisor, and their answers, as the dispatcher sees
/// them.
/// @since 0.2

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <walkthread/units/time.hpp>
#include <walkthread/workload/commands.hpp>

namespace walkthread
{

/// @brief The outcome of a call to a worker.
enum class order_outcome : std::uint8_t
{
    accepted,
    fenced,            ///< the worker has seen a higher fencing token
    superseded,        ///< this run or a newer one of the task was stopped or ended there
    late,              ///< the order had expired
    no_room,           ///< the worker checks its capacity and has none
    ticket_rejected,   ///< the worker does not accept the advisor's ticket, or not any more
    unhealthy,         ///< the worker did not carry out the order and reports that it can't
    wrong_incarnation, ///< another incarnation of a worker answers at this address
    rejected,          ///< the worker can't parse the order
    unanswered,        ///< it may have been carried out, or may be later
    unreachable, ///< the worker's address accepted no connection: it was not carried out and never will be
    not_sent,    ///< no connection or no time was left here: it was not carried out and never will be
};

/// @brief Whether a call with this outcome was certainly not carried out and never will be.
[[nodiscard]] constexpr bool surely_not_executed(order_outcome outcome)
{
    return outcome == order_outcome::unreachable || outcome == order_outcome::not_sent;
}

/// @brief The destination of an order and the authority under which it is sent.
struct worker_address
{
    worker_incarnation_id worker{};
    std::string id;                   ///< chosen by the worker; its next incarnation may use the same
    process_start_ms process_start{}; ///< start time of the addressed incarnation
    std::string address;              ///< IP address and port
    std::uint64_t fence{};            ///< fencing token: the leader's term; workers refuse lower ones
};

/// @brief Starts one run.
struct start_task_order
{
    worker_address to;
    run_ref run{};
    std::string payload;
    std::int64_t until_ms{}; ///< on the worker's clock
    std::string checkpoint;
    std::string ticket;
    /// Urgent, or part of a gang that waits for all its members: goes first if connections are scarce.
    bool has_priority{};
};

/// @brief Stops one run.
struct stop_task_order
{
    worker_address to;
    run_ref run{};
};

/// @brief Limits a run to a percentage of its full speed.
struct pace_task_order
{
    worker_address to;
    run_ref run{};
    std::int32_t percent{};
};

/// @brief Renews a worker's lease and asks which runs are active and which ended.
///
/// It is addressed to one incarnation. If another incarnation is found at the address, that one gets a plain
/// query instead, which neither renews a lease nor confirms ends, and answers with its runs.
struct poll_order
{
    worker_address to;
    std::optional<std::int64_t> until_ms; ///< on the worker's clock
    std::uint64_t last_seen{};            ///< ends up to this number may be discarded by the worker
    std::int64_t wait_ms{}; ///< long poll: the answer may be delayed for that long until a run ends
    milliseconds timeout{}; ///< after `wait_ms`, until the poll times out
    bool idle{};            ///< the worker is polled rarely: the next poll is several seconds away
};

/// @brief The answer to a start, stop or pace order.
struct order_answer
{
    order_outcome outcome{};
    std::optional<std::int64_t> clock_ms; ///< the worker's clock
    bool repeated{}; ///< the order was sent twice: it may have been carried out before this answer
};

/// @brief A run that a worker reports as active.
struct reported_run
{
    run_ref run{};
    std::string checkpoint;
    std::int32_t percent{};
    std::int64_t figure{}; ///< tail latency in milliseconds for serving tasks; millicores in use for others
};

/// @brief The end of a run as reported by a worker.
struct reported_end
{
    std::uint64_t number{};
    run_ref run{};
    run_end how{};
    std::string checkpoint;
};

/// @brief The answer to a poll.
struct poll_answer
{
    order_outcome outcome{};
    process_start_ms process_start{}; ///< start time of the incarnation that answered
    std::int64_t clock_ms{};
    std::vector<reported_run> running;
    std::vector<reported_end> ended;
    bool refused{}; ///< `unreachable` as the address refused the connection: no process listens there
};

/// @brief A query to the placement advisor.
struct advice_question
{
    step_ref step{};
    std::vector<std::string> incarnations;
    MSGPACK_DEFINE(step, incarnations)
};

/// @brief A worker that may run the step, with the ticket that proves it.
struct advice_grant
{
    std::string incarnation;
    std::string ticket;
    MSGPACK_DEFINE(incarnation, ticket)
};

/// @brief The advisor's answer.
struct advice_answer
{
    bool answered{};
    std::vector<advice_grant> good;
    /// Since the process that queried the advisor sent the query; set on receipt, not transmitted.
    duration took{};
    std::int64_t took_ms{}; ///< the same as measured by that process, without the transfer to the leader
    MSGPACK_DEFINE(answered, good, took_ms)
};

/// @brief A worker's periodic report of itself.
struct worker_report
{
    worker_description description;
    bool draining{};
    std::int64_t remaining_ms{}; ///< while draining: minimum time until it leaves
    std::int64_t clock_ms{};
    std::uint64_t sequence{};
    MSGPACK_DEFINE(description, draining, remaining_ms, clock_ms, sequence)
};

/// @brief Interface of the dispatcher to its environment. Each call returns at once; answers arrive later.
struct dispatch_hooks
{
    std::function<void(workload_command, std::function<void(bool committed)>)> propose;
    std::function<void(const poll_order&, std::function<void(const poll_answer&)>)> poll;
    std::function<void(const start_task_order&, std::function<void(const order_answer&)>)> start;
    std::function<void(const stop_task_order&, std::function<void(const order_answer&)>)> stop;
    std::function<void(const pace_task_order&, std::function<void(const order_answer&)>)> pace;
    /// Queries the advisor through one of the processes of the cell; `urgent` queries go first.
    std::function<void(const advice_question&, bool urgent, std::function<void(const advice_answer&)>)>
        advise;
    /// Whether another query that is not urgent would be sent soon. Pending queries are sent in the order of
    /// the passes that issued them. Null: always.
    std::function<bool()> advisors_free;
    /// Whether many of the processes that query the advisor are idle. Null: always.
    std::function<bool()> advisors_idle;
    /// Orders maintenance of a host from the platform.
    std::function<void(const std::string& host, std::uint64_t wave, std::uint64_t fence,
                       std::function<void(const order_answer&)>)>
        order_maintenance;
    /// Called for each step of which tasks were placed, with its waiting time since it became ready. May be
    /// null.
    std::function<void(const std::string& queue, duration waited)> planned;
    /// Requests another call of `dispatcher::pass` soon.
    std::function<void()> wake;
    std::function<monotonic_time()> now; ///< current time, read when an answer is handled
};

} // namespace walkthread
