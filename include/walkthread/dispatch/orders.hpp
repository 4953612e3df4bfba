#pragma once

/// @file
/// @brief Orders to workers and to the placement advisor, and their answers, as the dispatcher sees them.
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

/// @brief What became of a call to a worker.
enum class order_outcome : std::uint8_t
{
    accepted,
    fenced,      ///< the worker has heard a newer leader
    outdated,    ///< this run or a newer one was stopped or ended there
    late,        ///< the order's time was over
    no_room,     ///< the worker guards its room and has none
    bad_ticket,  ///< the advisor's ticket does not count (any more)
    unhealthy,   ///< the worker did nothing and says it cannot
    other_life,  ///< another life of a worker answers at this address
    rejected,    ///< the worker cannot read the order
    unanswered,  ///< it may have been done, or may still be done
    unreachable, ///< the worker's address took no connection: it was not done, and will not be
    not_sent,    ///< no connection was free here, or no time: it was not done, and will not be
};

/// @brief Whether a call that ended so was surely not carried out, and will not be.
[[nodiscard]] constexpr bool never_left(order_outcome outcome)
{
    return outcome == order_outcome::unreachable || outcome == order_outcome::not_sent;
}

/// @brief Where and under which authority an order goes.
struct worker_address
{
    worker_life_id worker{};
    std::string id;        ///< the worker's own; its next life may have the same
    birth_ms born{};       ///< of the life that is meant
    std::string address;   ///< IP number and port
    std::uint64_t fence{}; ///< the leader's term; workers refuse lower ones
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
    bool presses{}; ///< urgent, or one of a gang that waits for all: goes first where connections are short
};

/// @brief Stops one run.
struct stop_task_order
{
    worker_address to;
    run_ref run{};
};

/// @brief Lets a run work at a share of its speed.
struct pace_task_order
{
    worker_address to;
    run_ref run{};
    std::int32_t percent{};
};

/// @brief Renews a worker's lease and asks what runs and what ended.
///
/// All of it is for the life that is meant. Another life at its address gets a bare question in its place,
/// which neither renews nor confirms anything there, and answers it with what it runs.
struct look_order
{
    worker_address to;
    std::optional<std::int64_t> until_ms; ///< on the worker's clock
    std::uint64_t last_seen{};            ///< ends up to this number may be forgotten
    std::int64_t wait_ms{};               ///< the answer may wait that long for an end
    milliseconds patience{};              ///< beyond that the look counts as lost
};

/// @brief The answer to a start, stop or pace order.
struct order_answer
{
    order_outcome outcome{};
    std::optional<std::int64_t> clock_ms; ///< the worker's clock
    bool repeated{}; ///< the order went out twice: it may have been carried out before this answer
};

/// @brief A run that a worker listed.
struct listed_run
{
    run_ref run{};
    std::string checkpoint;
    std::int32_t percent{};
    std::int64_t figure{}; ///< serving tasks: tail in milliseconds; else millicores in use
};

/// @brief An end that a worker listed.
struct listed_end
{
    std::uint64_t number{};
    run_ref run{};
    run_end how{};
    std::string checkpoint;
};

/// @brief The answer to a look.
struct look_answer
{
    order_outcome outcome{};
    birth_ms born{}; ///< of the life that answered
    std::int64_t clock_ms{};
    std::vector<listed_run> running;
    std::vector<listed_end> ended;
};

/// @brief A question to the placement advisor.
struct advice_question
{
    step_ref step{};
    std::vector<std::string> lives;
    MSGPACK_DEFINE(step, lives)
};

/// @brief One worker that may run the step, with the ticket that says so.
struct advice_grant
{
    std::string life;
    std::string ticket;
    MSGPACK_DEFINE(life, ticket)
};

/// @brief The advisor's answer.
struct advice_answer
{
    bool answered{};
    std::vector<advice_grant> good;
    duration took{};        ///< since the question left the process that asked; set on receipt, not sent
    std::int64_t took_ms{}; ///< the same as measured there, with the way to the leader still to come
    MSGPACK_DEFINE(answered, good, took_ms)
};

/// @brief What a worker reports of itself from time to time.
struct worker_report
{
    worker_facts facts;
    bool draining{};
    std::int64_t remaining_ms{}; ///< while draining: it stays at least that long
    std::int64_t clock_ms{};
    std::uint64_t sequence{};
    MSGPACK_DEFINE(facts, draining, remaining_ms, clock_ms, sequence)
};

/// @brief How the dispatcher meets the outside. Each call returns at once; answers come later.
struct dispatch_hooks
{
    std::function<void(workload_command, std::function<void(bool committed)>)> propose;
    std::function<void(const look_order&, std::function<void(const look_answer&)>)> look;
    std::function<void(const start_task_order&, std::function<void(const order_answer&)>)> start;
    std::function<void(const stop_task_order&, std::function<void(const order_answer&)>)> stop;
    std::function<void(const pace_task_order&, std::function<void(const order_answer&)>)> pace;
    /// Asks the advisor through some process of ours; `urgent` goes ahead of what waits.
    std::function<void(const advice_question&, bool urgent, std::function<void(const advice_answer&)>)>
        advise;
    /// Whether another question that is not urgent would be asked soon. Those that wait are asked in the
    /// order of the passes, not of their coming. Null: always.
    std::function<bool()> advisors_free;
    /// Whether many of the processes that ask have nothing to ask. Null: always.
    std::function<bool()> advisors_idle;
    /// Orders a host's upkeep at the platform.
    std::function<void(const std::string& host, std::uint64_t wave, std::uint64_t fence,
                       std::function<void(const order_answer&)>)>
        order_upkeep;
    /// Told for each step some tasks of which were placed: how long it waited since its turn came. May be
    /// null.
    std::function<void(const std::string& queue, duration waited)> planned;
    /// Asks for another call of `dispatcher::pass` soon.
    std::function<void()> wake;
    std::function<monotonic_time()> now; ///< when an answer is handled
};

} // namespace walkthread
