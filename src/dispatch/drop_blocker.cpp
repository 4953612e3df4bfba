#include <walkthread/dispatch/drop_blocker.hpp>

#include <array>

namespace walkthread
{

std::string_view name_of(drop_blocker reason)
{
    constexpr std::array<std::string_view, 6> names{
        "nothing; it is dropped next",   "it answered recently",
        "its drop waits for the commit", "no poll has failed since its last answer",
        "its lease may be valid",        "no other worker answers"};
    return names.at(static_cast<std::size_t>(reason));
}

drop_blocker find_drop_blocker(const worker_view& view, const contact_streak& hearing, monotonic_time now,
                               const dispatch_settings& settings)
{
    if (view.drop_proposed)
    {
        return drop_blocker::drop_in_progress;
    }
    if (view.contact.time_since_contact(now) <= settings.silent_after())
    {
        return drop_blocker::heard;
    }
    const std::optional<monotonic_time> asked = view.contact.last_failed_poll();
    if (!asked)
    {
        return drop_blocker::no_failed_poll;
    }
    if (!view.lease.surely_expired(*asked, settings.clock_drift))
    {
        return drop_blocker::lease_may_be_valid;
    }
    // An earlier poll counts as well: polls to a host that refuses connections fail so often that the newest
    // one may always be newer than the last answer of the other workers.
    const auto others_heard = [&](std::optional<monotonic_time> poll)
    {
        return poll && *poll >= hearing.since() && hearing.last() > *poll &&
               view.lease.surely_expired(*poll, settings.clock_drift);
    };
    return others_heard(asked) || others_heard(view.contact.kept_failed_poll())
               ? drop_blocker::none
               : drop_blocker::leader_may_be_isolated;
}

} // namespace walkthread
