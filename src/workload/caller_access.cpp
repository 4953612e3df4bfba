#include <walkthread/workload/caller_access.hpp>

namespace walkthread
{

access_decision decide_access(const workload_state& state, std::string_view host, std::string_view path,
                              std::string_view key)
{
    const std::optional<cluster_configuration>& held = state.current_configuration();
    if (!held)
    {
        return {access_verdict::no_configuration, nullptr, {}};
    }
    const queue_spec* queue = find_queue(*held, host, path);
    if (queue == nullptr)
    {
        return {access_verdict::no_queue, nullptr, {}};
    }
    if (!held->keys_required)
    {
        return {access_verdict::allowed, queue, {}};
    }
    if (key.empty())
    {
        return {queue->open ? access_verdict::allowed : access_verdict::no_key, queue, {}};
    }
    const std::string* organisation = state.keys().find(key);
    if (organisation == nullptr)
    {
        return {access_verdict::unknown_key, queue, {}};
    }
    return {access_verdict::allowed, queue, *organisation};
}

const submission* find_for_caller(const workload_state& state, const access_decision& caller,
                                  submission_id id)
{
    const submission* known = state.find(id);
    if (known == nullptr || caller.queue == nullptr || known->queue != caller.queue->name)
    {
        return nullptr;
    }
    const bool own =
        caller.queue->open || known->organisation.empty() || known->organisation == caller.organisation;
    return own ? known : nullptr;
}

} // namespace walkthread
