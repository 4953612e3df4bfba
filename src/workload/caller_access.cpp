#include <walkthread/workload/caller_access.hpp>

#include <walkthread/workload/names.hpp>

namespace walkthread
{

namespace
{
access_decision decide(const workload_state& state, std::string_view host, std::string_view path,
                       std::string_view key)
{
    const std::optional<cluster_configuration>& held = state.current_configuration();
    if (!held)
    {
        return {access_verdict::no_configuration, nullptr, {}, {}};
    }
    const queue_spec* queue = find_queue(*held, host, path);
    if (queue == nullptr)
    {
        return {access_verdict::no_queue, nullptr, {}, {}};
    }
    if (!held->keys_required)
    {
        return {access_verdict::allowed, queue, {}, {}};
    }
    if (key.empty())
    {
        return {queue->open ? access_verdict::allowed : access_verdict::no_key, queue, {}, {}};
    }
    const std::string* organisation = state.keys().find(key);
    if (organisation == nullptr)
    {
        return {access_verdict::unknown_key, queue, {}, {}};
    }
    return {access_verdict::allowed, queue, *organisation, {}};
}

bool repeats_address(const access_decision& caller, const submission& known)
{
    const std::string name = name_of(known.id);
    return caller.address.size() == known.route.size() + name.size() &&
           caller.address.starts_with(known.route) && caller.address.ends_with(name);
}
} // namespace

access_decision decide_access(const workload_state& state, std::string_view host, std::string_view path,
                              std::string_view key)
{
    access_decision decision = decide(state, host, path, key);
    decision.address.append(host).append(path);
    return decision;
}

bool addresses(const workload_state& state, const access_decision& caller, const submission& known)
{
    const queue_spec* const queue = state.configured_queue_of(known);
    return queue != nullptr && (queue == caller.queue || repeats_address(caller, known));
}

bool addresses_removed_queue(const workload_state& state, const access_decision& caller, submission_id id)
{
    const submission* known = state.find(id);
    return known != nullptr && state.configured_queue_of(*known) == nullptr &&
           repeats_address(caller, *known);
}

const submission* find_for_caller(const workload_state& state, const access_decision& caller,
                                  submission_id id)
{
    const submission* known = state.find(id);
    if (known == nullptr || caller.queue == nullptr || !addresses(state, caller, *known))
    {
        return nullptr;
    }
    const bool own = state.configured_queue_of(*known)->open || known->organisation.empty() ||
                     known->organisation == caller.organisation;
    return own ? known : nullptr;
}

} // namespace walkthread
