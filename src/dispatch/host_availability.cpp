#include <walkthread/dispatch/host_availability.hpp>

namespace walkthread
{

host_availability availability_of(const worker_view& view, const worker_incarnation& worker, bool closed,
                                  bool cordoned, monotonic_time now, const dispatch_settings& settings)
{
    if (view.drop_proposed)
    {
        return host_availability::dropped;
    }
    if (!view.answered)
    {
        return host_availability::unanswered;
    }
    if (worker.assumed)
    {
        return host_availability::unreported;
    }
    if (view.contact.time_since_contact(now) >= settings.silent_after())
    {
        return host_availability::silent;
    }
    if (view.contact.doubted())
    {
        return host_availability::doubted;
    }
    if (view.draining || worker.leaving)
    {
        return host_availability::leaving;
    }
    if (now < view.avoid_until)
    {
        return host_availability::avoided;
    }
    if (closed)
    {
        return host_availability::closed;
    }
    if (cordoned)
    {
        return host_availability::cordoned;
    }
    return view.probation.active(now) ? host_availability::on_probation : host_availability::usable;
}

} // namespace walkthread
