#include <walkthread/dispatch/keep_reason.hpp>

#include <array>

namespace walkthread
{

std::string_view name_of(keep_reason reason)
{
    constexpr std::array<std::string_view, 6> names{
        "nothing; it is dropped next",   "it answered recently",
        "its drop waits for the commit", "no poll has failed since its last answer",
        "its lease may be valid",        "no other worker answers"};
    return names.at(static_cast<std::size_t>(reason));
}

keep_reason why_kept(const worker_view& view, const hearing_spell& hearing, monotonic_time now,
                     const dispatch_settings& settings)
{
    if (view.drop_proposed)
    {
        return keep_reason::drop_under_way;
    }
    if (view.contact.unheard_for(now) <= settings.silent_after())
    {
        return keep_reason::heard;
    }
    const std::optional<monotonic_time> asked = view.contact.asked_in_vain();
    if (!asked)
    {
        return keep_reason::no_failed_poll;
    }
    if (!view.lease_surely_over(*asked, settings.clock_drift))
    {
        return keep_reason::lease_may_hold;
    }
    const bool others_heard = *asked >= hearing.since() && hearing.last() > *asked;
    return others_heard ? keep_reason::none : keep_reason::nobody_heard;
}

} // namespace walkthread
