#pragma once

/// @file
/// @brief What the leader knows of a worker besides the replicated state: its clock, its lease, its health.
/// @since 0.2

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <walkthread/dispatch/gang_reservations.hpp>
#include <walkthread/dispatch/gathering.hpp>
#include <walkthread/dispatch/mechanisms.hpp>
#include <walkthread/dispatch/objective.hpp>
#include <walkthread/dispatch/orders.hpp>
#include <walkthread/dispatch/worker_contact.hpp>
#include <walkthread/units/time.hpp>

namespace walkthread
{

/// @brief Times and bounds of the dispatcher. Defaults suit the users' platform; settings may replace them.
/// @since 0.2
struct dispatch_settings
{
    mechanism_set mechanisms;     ///< which policies are on
    milliseconds lease{4500};     ///< longer than an election, so that a new leader renews in time
    milliseconds lease_cap{6000}; ///< workers cut longer leases to this; from the platform's settings
    milliseconds late_orders{
        12000};                   ///< an order that got no answer is carried out until then; platform's bound
    double clock_drift = 0.02;    ///< how much slower or faster a worker's clock may run; platform's bound
    milliseconds look_wait{1000}; ///< a look waits that long for an end: well under the lease
    milliseconds look_overdue{200};    ///< beyond `look_wait`: its host comes last for new work
    milliseconds look_patience{700};   ///< beyond `look_wait` before a look counts as lost
    double looks_lost_often = 0.015;   ///< part of the looks at workers that live: above, looks are short; a
                                       ///< dark tenth of the workers stays below
    milliseconds short_look_wait{200}; ///< then nothing is known of a worker for 0.4 s after a lost look, in
                                       ///< place of 1.9 s; ends of urgent runs come every 0.15 s
    milliseconds short_look_patience{200};  ///< an answer takes a few milliseconds, a lost packet 0.2 s
    std::size_t look_connections{SIZE_MAX}; ///< looks that may be under way at once; from the descriptors
    milliseconds idle_look_gap{5000}; ///< where connections are fewer than workers, those without work are
                                      ///< asked that seldom
    milliseconds look_retry{150};     ///< after an unanswered look
    milliseconds start_window{2500}; ///< an order to start that is carried out later is refused by the worker
    milliseconds order_retry{250};   ///< before an unanswered order is sent again
    int start_tries = 3;             ///< unanswered ones before the run is stopped instead
    int unsent_tries = 3;            ///< orders that could not be sent before the task goes elsewhere
    milliseconds suspect_after{1300}; ///< unheard for that long: nothing new is placed there
    /// @brief Unheard for that long, a worker is silent: it gets only questions.
    [[nodiscard]] duration silent_after() const
    {
        return suspect_after + look_wait;
    }
    milliseconds ticket_margin{150}; ///< a ticket is not used that shortly before its end: commit and way
    milliseconds advice_gap{60};     ///< least time between two questions for one step
    milliseconds advice_retry{250};  ///< after a question without an answer
    outlook_bounds outlooks{};
    milliseconds full_pass_gap{20}; ///< between passes over steps that are not urgent: their objectives are
                                    ///< seconds, and such a pass costs most of the leader's time
    milliseconds quarantine{4000};  ///< the first one; doubles each time
    milliseconds quarantine_cap{30000};
    int quarantine_failures = 3;       ///< failed runs in a row of different submissions
    milliseconds unhealthy_pause{800}; ///< after a worker said that it cannot start anything
    milliseconds stuck_after{
        2500}; ///< no progress for that long, and three times the usual: the run stands still
    milliseconds pace_settles{600};      ///< before a new pace shows: tails are of the last half second
    milliseconds pace_rise_after{1500};  ///< between steps up: disturbance shifts within seconds
    milliseconds harm_patience{1800};    ///< over its target for that long: fillers rest; under half of the
                                         ///< platform's bound
    milliseconds sharing_look_wait{400}; ///< looks at hosts where serving and filling tasks meet
    milliseconds just_began{500};       ///< before its host crashed: a task that crashes hosts does so at its
                                        ///< start; half of the shortest usual run
    milliseconds suspects_watched{700}; ///< `just_began`, after the commit and the way to the host
    milliseconds drain_stop{1000};      ///< before a draining worker goes: checkpointing runs are stopped
    milliseconds keep_final{
        150000};                    ///< final submissions are known for that long; above the platform's bound
    milliseconds upkeep_shows{300}; ///< a look sent that long after the platform took a host's upkeep meets
                                    ///< its next life: all that is there dies at once, a call takes 1 to 3 ms
    milliseconds upkeep_blocked{2000}; ///< a host that may not be emptied for that long lets others pass:
                                       ///< what lasts is at work again elsewhere by then, if it can be
    milliseconds upkeep_lost{10000};   ///< without a worker for that long: five times the platform's upkeep
    milliseconds stops_show{600}; ///< stops of an earlier leader are carried out by then: the platform allows
                                  ///< 400 ms
    gathering_bounds gathering{};
    reservation_settings reservations{}; ///< of room for gangs
    milliseconds gang_lead{4000}; ///< from first look to start: two questions and the gathering between them
    double slow_below = 0.88;     ///< of the usual speed: urgent work goes to such hosts last; between the
                                  ///< users' hosts, which differ by 1 to 1.3
    double gang_reach = 5.0; ///< a gang wants to know of hosts with room for so many times its tasks when
                             ///< nothing runs there: about a third of it is free at a time
    milliseconds hold_lasts{4000};   ///< room held for a gang that gained none for that long is given up
    double reserved_share = 0.35;    ///< of a pool's hosts kept for large tasks at a time, but one at least
    milliseconds gang_preempt{4500}; ///< below that, lesser runs with checkpoints are stopped for it
};

/// @brief A run as the leader sees it; the replicated state says that it may exist.
struct run_view
{
    monotonic_time sent{};                 ///< the last order to start it
    std::optional<monotonic_time> settled; ///< when the worker gave a definite answer about it
    bool order_in_flight{};
    int tries{};   ///< orders that left this process
    int unsent{};  ///< orders that did not
    bool ending{}; ///< that it never began waits for its commit: no order for it goes out any more
    bool stopping{};
    bool stop_in_flight{};
    monotonic_time stop_retry{};
    std::optional<monotonic_time> stop_settled;
    std::string ticket;
    std::int32_t percent{};
    monotonic_time progressed{}; ///< when the percentage last rose
    std::string checkpoint;
    std::int32_t pace = 100; ///< percent that it was told to work at
    bool pace_in_flight{};
    bool carried{};   ///< its order was for a former life under the same id, and may reach this one yet
    bool listed{};    ///< by the last look
    bool inherited{}; ///< started by an earlier leader
};

/// @brief A worker's life as the leader sees it.
/// @since 0.2
struct worker_view
{
    worker_life_id id{};
    bool answered{};                ///< under this leader's fence
    worker_contact contact;         ///< whether it can be reached
    monotonic_time answered_look{}; ///< when the newest look that was answered had been sent
    monotonic_time clock_at{};
    std::int64_t clock_ms{}; ///< the worker's clock at `clock_at` or a little before
    bool clock_known{};
    std::int64_t granted_until_ms{};    ///< the latest lease end ever sent, on the worker's clock
    monotonic_time foreign_lease_end{}; ///< what an earlier leader may have granted ends by then
    bool look_in_flight{};
    monotonic_time look_sent{};
    monotonic_time look_due{};
    bool recording{};         ///< ends wait for their commit; the next look waits for it
    bool gone{};              ///< a drop is proposed
    bool last_word_pending{}; ///< what is known of its runs, or that it answers again, waits for its commit
    bool draining{};
    monotonic_time leaves_at{}; ///< while draining: not before that
    int failures_in_row{};
    submission_id last_failed{};
    monotonic_time avoid_until{};
    milliseconds next_quarantine{};
    std::uint32_t serving{};                  ///< tasks with a latency target in the last look
    std::uint32_t filling{};                  ///< filling tasks in the last look
    std::optional<monotonic_time> over_since; ///< a tail there has been over its target since then
    std::int32_t filler_pace = 100;           ///< percent at which fillers there are to work
    monotonic_time pace_changed{};
    double speed = 1.0;       ///< learned from run times against what was expected
    resources planned{};      ///< room of starts that wait for their commit
    std::uint64_t sequence{}; ///< of the newest report
    bool reported{};          ///< to this leader; before that only the log tells whether it leaves
    bool start_noted{};       ///< a start before its first report here was written to the log
    std::map<run_ref, run_view> runs;
    std::map<step_ref, std::uint32_t> broken_gangs; ///< runs of gangs that ended here for want of a member
    std::map<run_ref, monotonic_time> late_starts;  ///< orders that got no answer, by when that was clear

    /// @brief Notes the worker's clock as read by it no later than `now`.
    void note_clock(std::int64_t ms, monotonic_time now);
    /// @brief About the worker's clock now.
    [[nodiscard]] std::int64_t clock_now(monotonic_time now) const;
    /// @brief A run of a gang ended here, as another member was lost: so do its other members here.
    void note_broken_gang(const run_ref& run);
    /// @brief Whether a run has ended here for that reason, as far as the host has told. Complexity:
    /// logarithmic in the gangs that broke here.
    [[nodiscard]] bool broke_with_gang(const run_ref& run) const;
    /// @brief The lease end to ask for, on the worker's clock; remembered as granted.
    std::int64_t grant(monotonic_time now, milliseconds lease);
    /// @brief Takes over what a former life under the same id was told to run: an order for that life may
    /// have reached this one, or may reach it yet. @param settings for how long
    void carry_over(const worker_view& former, monotonic_time now, const dispatch_settings& settings);
    /// @brief Whether it is not known yet of all that a former life was told to run whether it is here.
    [[nodiscard]] bool settles() const;
    /// @brief Whether stops that rule some of that out have no answer yet.
    [[nodiscard]] bool rules_out() const;
    /// @brief Whether it is not known yet of some start that got no answer whether it was carried out.
    [[nodiscard]] bool has_open_start() const;
    /// @brief Whether nothing can run there any more under any lease that was ever granted.
    [[nodiscard]] bool lease_surely_over(monotonic_time now, double drift) const;
};

} // namespace walkthread
