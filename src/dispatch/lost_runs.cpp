#include <walkthread/dispatch/lost_runs.hpp>

#include <algorithm>
#include <set>

namespace walkthread
{

namespace
{
constexpr double min_run_time_fraction = 0.5; // fraction of the expected run time, which is often inaccurate

// Time of the last answer of any kind.
monotonic_time last_contact_time(const worker_view& view)
{
    monotonic_time latest = view.contact.last_heard();
    for (const auto& [run, known] : view.runs)
    {
        latest = std::max(latest, known.inherited ? latest : known.outcome_known_at.value_or(latest));
    }
    return latest;
}

// Share of each run, by the number of submissions with tasks that had just started. Tasks of one submission
// don't share the blame: if one of them is at fault, the submission is failed as a whole.
std::uint32_t blame_per_run(std::size_t submissions)
{
    return submissions == 1   ? blame::only_recent_submission
           : submissions == 2 ? blame::one_of_two_submissions
                              : blame::one_of_many;
}
} // namespace

std::vector<lost_run> assign_blame(const worker_view& view, duration startup_crash_window,
                                   std::optional<monotonic_time> lost_by,
                                   const std::function<duration(const run_ref&)>& run_time)
{
    const monotonic_time latest = last_contact_time(view);
    // The start time of a run that an earlier leader started is unknown.
    const auto started_recently = [latest, startup_crash_window](const run_view& known)
    {
        return known.outcome_known_at && !known.inherited &&
               latest - *known.outcome_known_at <= startup_crash_window;
    };
    std::set<submission_id> recently_started;
    for (const auto& [run, known] : view.runs)
    {
        if (started_recently(known) && !view.ended_with_gang(run))
        {
            recently_started.insert(run.task.step.submission);
        }
    }
    std::vector<lost_run> out;
    for (const auto& [run, known] : view.runs)
    {
        const bool no_order_sent = known.tries == 0 && !known.outcome_known_at && !known.inherited;
        const bool blamed_already = known.carried_over && !known.listed; // when the former incarnation ended
        if (no_order_sent || blamed_already)
        {
            continue;
        }
        if (view.ended_with_gang(run))
        {
            out.push_back({run, false, blame::min_share, known.checkpoint, true});
            continue;
        }
        std::uint32_t share =
            started_recently(known) ? blame_per_run(recently_started.size()) : blame::min_share;
        if (recently_started.empty() && view.runs.size() == 1 && known.outcome_known_at)
        {
            share = blame::one_of_many;
        }
        const bool was_there = lost_by && known.outcome_known_at && *lost_by >= *known.outcome_known_at &&
                               *lost_by - *known.outcome_known_at <= run_time(run) * min_run_time_fraction;
        out.push_back({run, was_there, share, known.checkpoint, false});
    }
    return out;
}

} // namespace walkthread
