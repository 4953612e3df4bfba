#pragma once

// What a pool of stand-ins for workers is like, and what is wrong with one of them.

#include <cstdint>
#include <cstdlib>

#include <walkthread/dispatch/mechanisms.hpp>
#include <walkthread/units/amounts.hpp>
#include <walkthread/units/time.hpp>

namespace walkthread::test
{

// What a worker does wrong.
struct worker_faults
{
    bool dark = false;          // answers nothing; what runs goes on until its lease ends
    double late = 0.0;          // share of starts that get no answer and are carried out 2 to 12 s later
    bool late_outlives = false; // these are carried out by the next life under its id, too
    double late_stops = 0.0;    // the same of stops
    double deaf = 0.0;          // share of looks that get no answer
    double refuse = 0.0;        // share of starts that are refused, nothing done
    double unsent = 0.0;        // share of starts that never leave the leader, for want of a connection
    bool unasked = false;       // looks never leave the leader
    bool rejects_looks = false; // answers them, and neither renews its lease nor tells what runs
    bool unheard = false;       // its own reports do not arrive
    bool fails_all = false;     // every run fails after 100 ms
    bool stands_still = false;  // runs never end
    bool resets = false; // starts are carried out, the connection breaks, and the channel sends them again
};

struct pool_settings
{
    std::size_t workers = 8;
    resources size{16000, 65536, 0, 0};
    duration commit = milliseconds(10);
    duration way = milliseconds(1);
    double good_share = 0.5;
    duration question = milliseconds(10); // to the advisor, besides 0.2 ms for each worker
    std::size_t askers =
        0; // processes that ask, each one question at a time; 0: as many as there are questions
    bool tickets_from_question = false;    // they count from then on, not from the answer
    std::size_t slow_every = 0;            // each so manieth worker takes 1.3 times as long; 0 for none
    duration restart = milliseconds(3000); // a worker that a task took down is back after that
    bool restarts_keep_ids = false;        // under the id that it had, knowing nothing of before
    duration upkeep = milliseconds(0);     // a host is down for that long; 0: the order has no effect
    resources organisation_limit{};        // of each organisation of the day; nothing set: there are none
    std::uint64_t seed = 1;
    std::size_t look_connections = SIZE_MAX; // looks that may be under way at once, as the leader knows it
    mechanism_set mechanisms;
    bool log_lines = std::getenv("WALKTHREAD_LOG") != nullptr; // to follow one seed by hand
};

} // namespace walkthread::test
