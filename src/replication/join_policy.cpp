#include <walkthread/replication/join_policy.hpp>

namespace walkthread
{

namespace
{
bool is_live(const replica_id& member, const join_settings& settings, const join_hooks& hooks,
             monotonic_time now)
{
    const auto heard = hooks.last_heard(member);
    return heard && now - *heard < settings.live_window;
}
} // namespace

join_decision decide_join(const membership& members, const replica_id& requester,
                          const join_settings& settings, const join_hooks& hooks, monotonic_time now)
{
    join_decision out;
    if (members.is_member(requester))
    {
        return out;
    }
    learner new_learner;
    new_learner.id = requester;
    new_learner.promote = members.voters.size() < settings.target_voters;
    for (const replica_id& voter : members.voters)
    {
        if (!hooks.same_host(voter, requester))
        {
            continue;
        }
        if (is_live(voter, settings, hooks, now))
        {
            out.live_replica = voter;
            return out;
        }
        new_learner.promote = true; // that voter's disk is lost
        new_learner.replaces = voter;
    }
    for (const learner& item : members.learners)
    {
        if (!hooks.same_host(item.id, requester))
        {
            continue;
        }
        is_live(item.id, settings, hooks, now) ? out.live_replica = item.id : out.remove = item.id;
        return out; // the replica repeats its request after the earlier one is removed
    }
    out.add = new_learner;
    return out;
}

std::optional<replica_id> find_expired_learner(const membership& members, const join_settings& settings,
                                               const join_hooks& hooks, monotonic_time now)
{
    for (const learner& item : members.learners)
    {
        const auto heard = hooks.last_heard(item.id);
        if (heard && now - *heard > settings.learner_timeout && !members.is_voter(item.id))
        {
            return item.id;
        }
    }
    return std::nullopt;
}

} // namespace walkthread
