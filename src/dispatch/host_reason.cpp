#include <walkthread/dispatch/host_reason.hpp>

namespace walkthread
{

host_reason availability_of(const worker_view& view, const worker_incarnation& worker, bool closed,
                            monotonic_time now, const dispatch_settings& settings)
{
    if (view.drop_proposed)
    {
        return host_reason::dropped;
    }
    if (!view.answered)
    {
        return host_reason::unanswered;
    }
    if (worker.assumed)
    {
        return host_reason::unreported;
    }
    if (view.contact.unheard_for(now) >= settings.silent_after())
    {
        return host_reason::silent;
    }
    if (view.contact.doubted())
    {
        return host_reason::doubted;
    }
    if (view.draining || worker.leaving)
    {
        return host_reason::leaving;
    }
    if (now < view.avoid_until)
    {
        return host_reason::avoided;
    }
    return closed ? host_reason::closed : host_reason::usable;
}

} // namespace walkthread
