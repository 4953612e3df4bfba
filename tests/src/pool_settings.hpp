#pragma once

// Settings of a simulated pool of workers, and the faults that can be injected into a worker.

#include <cstdint>
#include <cstdlib>

#include <walkthread/dispatch/mechanisms.hpp>
#include <walkthread/units/amounts.hpp>
#include <walkthread/units/time.hpp>

namespace walkthread::test
{

// Faults of a worker.
struct worker_faults
{
    bool unresponsive = false; // answers nothing; runs continue until the lease expires
    double late = 0.0;         // share of starts that get no answer and are carried out 2 to 12 s later
    bool late_starts_reach_next_incarnation =
        false;                   // late starts are carried out even by the next incarnation under the same id
    double late_stops = 0.0;     // the same for stops
    double poll_loss = 0.0;      // share of polls that get no answer
    double refuse = 0.0;         // share of starts that are refused without effect
    double unsent = 0.0;         // share of starts that never leave the leader for lack of a connection
    bool polls_not_sent = false; // polls never leave the leader
    bool rejects_polls = false;  // answers polls, but neither renews its lease nor reports runs
    bool reports_lost = false;   // its own reports are lost
    bool fails_all = false;      // every run fails after 100 ms
    bool runs_hang = false;      // runs never end
    bool resets = false; // starts are carried out, then the connection breaks and the channel resends them
};

// Shares of the orders left unanswered by an unreachable worker, or by its crash, that are carried out later
// by the incarnation that then has its id.
struct delayed_order_settings
{
    double polls = 0.0;
    double starts = 0.0;
    double stops = 0.0;
    milliseconds earliest{50};
    milliseconds latest{12000}; // the platform's bound for unanswered orders
};

struct pool_settings
{
    std::size_t workers = 8;
    std::size_t reserve_workers = 0; // the last of them are in the pool "reserve"
    std::size_t halls = 1;           // workers are spread over them in turn: "hall0", "hall1", ...
    resources size{16000, 65536, 0, 0};
    duration commit = milliseconds(10);
    duration network_delay = milliseconds(1);
    double good_share = 0.5;
    duration question = milliseconds(10); // for one advisor query, plus 0.2 ms for each worker
    std::size_t advisor_clients =
        0; // processes that query the advisor, one query at a time each; 0: unlimited
    bool tickets_valid_from_question = false; // ticket validity starts with the query instead of the answer
    std::size_t slow_worker_interval = 0;     // every n-th worker takes 1.3 times as long; 0 for none
    duration restart = milliseconds(3000);    // time until a worker that a task crashed is back
    bool restarts_keep_ids = false;           // with the same id but without its state
    delayed_order_settings delayed_orders;
    milliseconds max_lease{6000}; // workers cut longer ones to this
    // Time for which a host is down for maintenance; 0: the order has no effect.
    duration maintenance = milliseconds(0);
    resources organisation_limit{}; // of each organisation; no limits if it is empty
    bool contended_pool = false;    // organisations compete for capacity
    std::uint64_t seed = 1;
    std::size_t poll_connections = SIZE_MAX; // maximum number of concurrent polls, as known to the leader
    state_limits state = make_state_limits(0);
    mechanism_set mechanisms;
    bool log_lines = std::getenv("WALKTHREAD_LOG") != nullptr; // prints the log, to debug one seed
};

} // namespace walkthread::test
