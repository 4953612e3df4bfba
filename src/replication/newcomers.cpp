#include <walkthread/replication/newcomers.hpp>

namespace walkthread
{

namespace
{
bool is_present(const replica_id& member, const newcomer_settings& settings, const newcomer_hooks& hooks,
                monotonic_time now)
{
    const auto heard = hooks.last_heard(member);
    return heard && now - *heard < settings.live_window;
}
} // namespace

newcomer_decision judge_newcomer(const membership& members, const replica_id& asks,
                                 const newcomer_settings& settings, const newcomer_hooks& hooks,
                                 monotonic_time now)
{
    newcomer_decision out;
    if (members.is_member(asks))
    {
        return out;
    }
    learner newcomer;
    newcomer.id = asks;
    newcomer.promote = members.voters.size() < settings.wanted_voters;
    for (const replica_id& voter : members.voters)
    {
        if (!hooks.same_host(voter, asks))
        {
            continue;
        }
        if (is_present(voter, settings, hooks, now))
        {
            out.present = voter;
            return out;
        }
        newcomer.promote = true; // that voter's disk is lost
        newcomer.replaces = voter;
    }
    for (const learner& item : members.learners)
    {
        if (!hooks.same_host(item.id, asks))
        {
            continue;
        }
        is_present(item.id, settings, hooks, now) ? out.present = item.id : out.remove = item.id;
        return out; // the replica repeats its request after the earlier one is removed
    }
    out.add = newcomer;
    return out;
}

std::optional<replica_id> find_forgotten(const membership& members, const newcomer_settings& settings,
                                         const newcomer_hooks& hooks, monotonic_time now)
{
    for (const learner& item : members.learners)
    {
        const auto heard = hooks.last_heard(item.id);
        if (heard && now - *heard > settings.forgotten && !members.is_voter(item.id))
        {
            return item.id;
        }
    }
    return std::nullopt;
}

} // namespace walkthread
